#!/usr/bin/env bash
# Starts store, worker and one router with REST and gRPC fronts on loopback, runs public clients, stops them.
set -euo pipefail
cd "$(dirname "$0")/.."
cargo build --release --locked
bin=target/release/cedarpulley
out=target/interop
mkdir -p "$out"
[ -d "$out/python" ] || { python3 -m venv "$out/python" && "$out/python/bin/pip" install -q -r interop/requirements.txt; }
pids=()
trap 'kill "${pids[@]}" 2>/dev/null || true' EXIT
$bin standin store --listen 127.0.0.1:45690 > "$out/store.log" 2>&1 & pids+=($!)
$bin standin worker --listen 127.0.0.1:45680 --store 127.0.0.1:45690 > "$out/worker.log" 2>&1 & pids+=($!)
cat > "$out/kserve.toml" <<TOML
[[trigger]]
name = "estimate"
effect = "idempotent"
latency_objective_ms = 2000
client_timeout_ms = 6000

[[kserve]]
listen = "127.0.0.1:45601"

[[kserve]]
listen = "127.0.0.1:45602"
protocol = "grpc"
most_streams = 100

[workers]
list = [{ address = "127.0.0.1:45680" }]
TOML
$bin serve "$out/kserve.toml" > "$out/kserve.log" 2>&1 & pids+=($!)
sleep 1
"$out/python/bin/python" interop/kserve_client.py 127.0.0.1:45601 127.0.0.1:45602
# A plain HTTP tool.
rest=http://127.0.0.1:45601/v2
[ "$(curl -s -o /dev/null -w '%{http_code}' $rest/health/live)" = 200 ]
body='{"inputs":[{"name":"x","datatype":"FP32","shape":[1],"data":[1]}]}'
curl -sf -H 'cedarpulley-trigger-type: estimate' -d "$body" $rest/models/estimate%3Aroof/infer | grep -q '"model_name":"estimate:roof"'
[ "$(curl -s -o /dev/null -w '%{http_code}' -d "$body" $rest/models/estimate%3Aroof/infer)" = 400 ]
[ "$(curl -s -o /dev/null -w '%{http_code}' -X DELETE $rest/models/estimate%3Aroof)" = 405 ]
[ "$(curl -s -o /dev/null -w '%{http_code}' -H 'transfer-encoding: chunked' -H 'cedarpulley-trigger-type: estimate' -d "$body" $rest/models/estimate%3Aroof/infer)" = 200 ]
echo "curl: 5 of 5"
