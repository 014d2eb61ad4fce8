//! `cedarpulley measure`: measures the latency that one router adds on the warm path, and what limits the router.
//!
//! Runs an emulated broker and workers, which do no work by default, one router process and open-loop clients, and
//! sends the same call directly to a worker as the baseline. All of it runs on this machine, and the emulators write no
//! logs.

mod direct;
mod environment;
mod latency;
mod open_loop;
mod resources;
mod router;

use std::net::{Ipv4Addr, SocketAddr};
use std::path::PathBuf;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use async_io::Timer;
use cedarpulley_emulators::lock;
use cedarpulley_gateway::client_listener::Protocol;
use cedarpulley_test_cluster::amqp_client::LatencyRecorder;
use clap::Args;
use hdrhistogram::Histogram;
use serde_json::{Value, json};

use crate::error::CliError;
use environment::EmulatedEnvironment;
use latency::{added_us, histogram, per_invocation, quantiles};
use open_loop::OpenLoopClient;
use resources::{GroupTraffic, ProcessUsage, cpu_between_us};
use router::{RETAINED_MS, RouterProcess, RouterSettings, free_address};

const ANY_PORT: (Ipv4Addr, u16) = (Ipv4Addr::LOCALHOST, 0);
const QUEUE: &str = "triggers";
const TRIGGER: &str = "warm";
/// Number of functions that are called in turn.
const FUNCTIONS: u64 = 8;
/// Time at the beginning of a run in which copies are loaded and connections are opened. Calls that are due in this
/// time are not counted.
const WARM_UP: Duration = Duration::from_secs(2);
/// Client timeout and latency objective, in milliseconds; longer than any invocation waits in a run.
const TIMEOUT_MS: u64 = 5_000;
const BODY: &str =
    r#"{"inputs":[{"name":"x","shape":[4],"datatype":"FP32","data":[0.1,0.2,0.3,0.4]}]}"#;

/// The function of the invocation with this number.
fn function(number: u64) -> String {
    format!("{TRIGGER}:{}", number % FUNCTIONS)
}

// No doc comment: clap would print it as the help of the subcommand.
#[derive(Args)]
pub struct MeasureArgs {
    #[arg(long, default_value_t = 1000.0)]
    rate: f64,
    #[arg(long, default_value_t = 10.0)]
    seconds: f64,
    #[arg(long, default_value_t = 0.0)]
    work_ms: f64,
    /// Of each copy of a function.
    #[arg(long, default_value_t = 10_000)]
    lanes: u32,
    #[arg(long, default_value = "target/measure")]
    folder: PathBuf,
    /// The router keeps a trace.
    #[arg(long)]
    trace: bool,
    /// Of its invocations: idempotent, non-idempotent.
    #[arg(long, default_value = "idempotent")]
    effect: String,
    /// Members of its group, the others as witnesses; 0: it has none.
    #[arg(long, default_value_t = 0)]
    peers: usize,
}

/// Measures one run with the given rate and time, and prints the result as one JSON object.
pub fn run(args: &MeasureArgs) -> Result<(), CliError> {
    std::fs::create_dir_all(&args.folder).map_err(CliError::file(&args.folder))?;
    let environment = EmulatedEnvironment::start(args)?;
    let mut client_listeners = Vec::new();
    for protocol in [Protocol::Rest, Protocol::Grpc] {
        client_listeners.push((protocol, free_address()?));
    }
    let mut group = Vec::new();
    for _ in 0..args.peers {
        group.push(free_address()?);
    }
    let witnesses = start_witnesses(args, &environment, &group)?;
    let settings = RouterSettings {
        broker: Some(environment.broker.address),
        workers: &environment.workers,
        client_listeners: &client_listeners,
        effect: &args.effect,
        group: (args.peers > 0).then_some((&group, 0)),
        trace: args.trace,
    };
    let router = start_router(args, &settings, "router")?;
    let measurement = Measurement {
        args,
        environment: &environment,
        client_listeners: &client_listeners,
        group: &group,
        witnesses: &witnesses,
        router_pid: router.pid(),
    };
    let result = async_io::block_on(measurement.run());
    drop(router);
    print_line!("{}", serde_json::to_string_pretty(&result)?);
    Ok(())
}

/// Starts all members of the group except the first, which is the measured router.
fn start_witnesses(
    args: &MeasureArgs,
    environment: &EmulatedEnvironment,
    group: &[SocketAddr],
) -> Result<Vec<RouterProcess>, CliError> {
    let mut witnesses = Vec::new();
    for member in 1..group.len() {
        let settings = RouterSettings {
            broker: None,
            workers: &environment.workers,
            client_listeners: &[],
            effect: &args.effect,
            group: Some((group, member)),
            trace: false,
        };
        witnesses.push(start_router(args, &settings, &format!("witness-{member}"))?);
    }
    Ok(witnesses)
}

/// Starts a router; its settings and its log are written into the folder under this name.
fn start_router(
    args: &MeasureArgs,
    settings: &RouterSettings,
    name: &str,
) -> Result<RouterProcess, CliError> {
    let file = args.folder.join(format!("{name}.toml"));
    std::fs::write(&file, settings.to_toml()).map_err(CliError::file(&file))?;
    RouterProcess::start(&file, &args.folder.join(format!("{name}.log")))
}

/// A run whose emulators and routers have been started.
struct Measurement<'a> {
    args: &'a MeasureArgs,
    environment: &'a EmulatedEnvironment,
    client_listeners: &'a [(Protocol, SocketAddr)],
    group: &'a [SocketAddr],
    witnesses: &'a [RouterProcess],
    router_pid: u32,
}

impl Measurement<'_> {
    async fn run(&self) -> Value {
        let (args, broker) = (self.args, &self.environment.broker);
        self.wait_until_ready().await;
        let began = Instant::now();
        let recorder: LatencyRecorder = Arc::new(Mutex::new((histogram(), began + WARM_UP)));
        // The clients run until these tasks are dropped at the end of this function.
        let _clients = self.environment.start_clients(args, began, &recorder);
        Timer::at(began + WARM_UP).await;
        let group_before = GroupTraffic::of(self.group);
        let witnesses_before_us = self.witnesses_cpu_us();
        let router_before = ProcessUsage::of(self.router_pid);
        let own_before = ProcessUsage::of(std::process::id());
        let direct = direct::latencies(self.environment.workers[0].address, args.seconds).await;
        Timer::at(began + WARM_UP + Duration::from_secs_f64(args.seconds)).await;
        let router_after = ProcessUsage::of(self.router_pid);
        let left_at_broker = broker.ready_messages(QUEUE);
        let own_cpu_us = cpu_between_us(own_before, ProcessUsage::of(std::process::id()));
        let witnesses_cpu_us = self.witnesses_cpu_us() - witnesses_before_us;
        let group_traffic = GroupTraffic::of(self.group).since(group_before);
        let unacknowledged = broker.unacked();
        Timer::after(Duration::from_secs(1)).await;
        let latencies = lock(&recorder).0.clone();
        let router_cpu_us = cpu_between_us(router_before, router_after);
        let per_invocation = |total| per_invocation(total, &latencies);
        let callers = self.measure_client_listeners(&direct).await;
        json!({
            "callers": callers,
            "rate_per_s": args.rate, "seconds": args.seconds, "work_ms": args.work_ms,
            "answered_per_s": latencies.len() as f64 / args.seconds, "left_at_broker": left_at_broker,
            "through": quantiles(&latencies), "straight": quantiles(&direct),
            "added_p50_us": added_us(&latencies, &direct, 0.5),
            "added_p99_us": added_us(&latencies, &direct, 0.99),
            "router_cpu_us_per_invocation": per_invocation(router_cpu_us),
            "router_cpu_part": router_cpu_us as f64 / 1e6 / args.seconds,
            "standins_cpu_part": own_cpu_us as f64 / 1e6 / args.seconds, "taken_at_end": unacknowledged,
            "effect": args.effect, "members": args.peers,
            "witnesses_cpu_us_per_invocation": per_invocation(witnesses_cpu_us),
            "group_bytes_per_invocation": per_invocation(group_traffic.bytes),
            "group_posts_per_invocation": per_invocation(group_traffic.posts),
            "router_rss_kb": router_after.map_or(0, |usage| usage.resident_kb),
        })
    }

    /// Waits until the router consumes from the broker and its group can decide.
    async fn wait_until_ready(&self) {
        while self.environment.broker.consumers() == 0 {
            Timer::after(Duration::from_millis(20)).await;
        }
        if !self.group.is_empty() {
            // After a start, a member votes only once all records that it may have lost have expired.
            Timer::after(Duration::from_millis(RETAINED_MS + RETAINED_MS / 4)).await;
        }
    }

    fn witnesses_cpu_us(&self) -> u64 {
        self.witnesses
            .iter()
            .filter_map(|witness| ProcessUsage::of(witness.pid()))
            .map(|usage| usage.cpu_us)
            .sum()
    }

    /// Measures the listeners for clients one after the other, on the same router.
    async fn measure_client_listeners(
        &self,
        direct: &Histogram<u64>,
    ) -> serde_json::Map<String, Value> {
        let mut results = serde_json::Map::new();
        for (protocol, address) in self.client_listeners {
            let result = self.measure_client_listener(*protocol, *address, direct);
            results.insert(format!("{protocol:?}").to_lowercase(), result.await);
        }
        results
    }

    async fn measure_client_listener(
        &self,
        protocol: Protocol,
        address: SocketAddr,
        direct: &Histogram<u64>,
    ) -> Value {
        let executor = &self.environment.host.executor;
        let duration = Duration::from_secs_f64(self.args.seconds);
        let client = Arc::new(OpenLoopClient::new(
            protocol,
            address,
            self.args.rate,
            self.args.lanes,
            executor,
        ));
        let counted_from = Instant::now() + WARM_UP;
        let running = executor.spawn(client.run(WARM_UP + duration, counted_from));
        Timer::at(counted_from).await;
        let before = ProcessUsage::of(self.router_pid);
        Timer::after(duration).await;
        let after = ProcessUsage::of(self.router_pid);
        let (latencies, failed) = running.await;
        let router_cpu_us = cpu_between_us(before, after);
        json!({
            "through": quantiles(&latencies), "without_success": failed,
            "added_p50_us": added_us(&latencies, direct, 0.5),
            "added_p99_us": added_us(&latencies, direct, 0.99),
            "router_cpu_us_per_invocation": per_invocation(router_cpu_us, &latencies),
        })
    }
}
