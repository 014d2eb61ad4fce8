#!/usr/bin/env bash
# Starts broker, store, worker and one router on loopback, runs the client, stops them.
set -euo pipefail
cd "$(dirname "$0")/.."
cargo build --release --locked
bin=target/release/cedarpulley
out=target/interop
mkdir -p "$out"
pids=()
trap 'kill "${pids[@]}" 2>/dev/null || true' EXIT
$bin standin broker --listen 127.0.0.1:45672 --queue triggers --logs "$out" > "$out/broker.log" 2>&1 & pids+=($!)
$bin standin store --listen 127.0.0.1:45690 > "$out/store.log" 2>&1 & pids+=($!)
$bin standin worker --listen 127.0.0.1:45680 --store 127.0.0.1:45690 > "$out/worker.log" 2>&1 & pids+=($!)
cat > "$out/router.toml" <<TOML
[[trigger]]
name = "estimate"
effect = "idempotent"
latency_objective_ms = 800
client_timeout_ms = 4000

[[amqp]]
broker = "127.0.0.1:45672"
queue = "triggers"

[workers]
list = [{ address = "127.0.0.1:45680" }]
TOML
$bin serve "$out/router.toml" > "$out/router.log" 2>&1 & pids+=($!)
sleep 1
node interop/amqp_client.mjs 45672
