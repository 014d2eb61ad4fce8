//! `cedarpulley standin ...`: runs one emulator (a broker, a worker, a store or an endpoint list) in the foreground,
//! for manual trials.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use cedarpulley_emulators::Host;
use cedarpulley_emulators::broker::Broker;
use cedarpulley_emulators::endpoint_list::{EndpointList, EndpointRecord};
use cedarpulley_emulators::store::{self, Store};
use cedarpulley_emulators::worker::{IdempotencyStore, InvocationProfile, Worker, WorkerProfile};
use clap::{Args, Subcommand};

use crate::error::CliError;

#[derive(Subcommand)]
pub enum EmulatorCommand {
    /// A broker with these queues.
    Broker(BrokerArgs),
    /// A worker that serves one trigger type.
    Worker(WorkerArgs),
    /// The store that workers load from.
    Store(StoreArgs),
    /// A worker list with these workers, all in service.
    List(ListArgs),
}

// The argument types have no doc comments: clap would print them as the help of the subcommands.

#[derive(Args)]
pub struct BrokerArgs {
    #[arg(long, default_value = "127.0.0.1:5672")]
    listen: SocketAddr,
    #[arg(long, required = true)]
    queue: Vec<String>,
    #[arg(long)]
    logs: Option<PathBuf>,
}

#[derive(Args)]
pub struct WorkerArgs {
    #[arg(long, default_value = "127.0.0.1:8080")]
    listen: SocketAddr,
    #[arg(long, default_value = "127.0.0.1:8090")]
    store: SocketAddr,
    #[arg(long, default_value = "estimate")]
    trigger: String,
    #[arg(long, default_value_t = 10.0)]
    work_ms: f64,
    #[arg(long, default_value_t = 16)]
    lanes: usize,
    #[arg(long, default_value_t = 4.0)]
    cores: f64,
    #[arg(long)]
    logs: Option<PathBuf>,
}

#[derive(Args)]
pub struct StoreArgs {
    #[arg(long, default_value = "127.0.0.1:8090")]
    listen: SocketAddr,
    #[arg(long)]
    logs: Option<PathBuf>,
}

#[derive(Args)]
pub struct ListArgs {
    #[arg(long, default_value = "127.0.0.1:8070")]
    listen: SocketAddr,
    #[arg(long, required = true)]
    worker: Vec<SocketAddr>,
    #[arg(long)]
    logs: Option<PathBuf>,
}

/// Prints the address at which the emulator listens, and keeps it running until the process is killed.
fn run_forever(name: &str, address: SocketAddr) -> ! {
    print_line!("{name} at {address}");
    loop {
        std::thread::park();
    }
}

/// Rejects an address that is not a loopback address, because emulators have no access control.
fn require_loopback(address: SocketAddr) -> Result<SocketAddr, CliError> {
    if address.ip().is_loopback() {
        Ok(address)
    } else {
        Err(CliError::NotLoopback { address })
    }
}

/// Creates the runtime of an emulator, which writes its logs into the folder `logs` if one is given.
fn host(logs: Option<PathBuf>) -> Result<Host, CliError> {
    Host::new(2, logs.as_deref()).map_err(CliError::EmulatorStart)
}

/// Starts one emulator; returns only if it cannot start.
pub fn run(command: EmulatorCommand) -> Result<(), CliError> {
    match command {
        EmulatorCommand::Broker(args) => run_broker(args),
        EmulatorCommand::Worker(args) => run_worker(args),
        EmulatorCommand::Store(args) => run_store(args),
        EmulatorCommand::List(args) => run_list(args),
    }
}

fn run_broker(args: BrokerArgs) -> Result<(), CliError> {
    let broker = Broker::start(&host(args.logs)?, "broker", require_loopback(args.listen)?)
        .map_err(CliError::EmulatorStart)?;
    args.queue.iter().for_each(|queue| broker.declare(queue));
    run_forever("broker", broker.address)
}

fn run_worker(args: WorkerArgs) -> Result<(), CliError> {
    let invocation_profile = InvocationProfile {
        mean_work: Duration::from_secs_f64(args.work_ms / 1e3),
        copy_mb: 1.0,
        start_up_time: Duration::from_millis(10),
        lanes: args.lanes,
        idempotency_window: None,
        prefix_rebuild_work: Duration::ZERO,
    };
    let (listen, store) = (
        require_loopback(args.listen)?,
        require_loopback(args.store)?,
    );
    let worker = Worker::start(
        &host(args.logs)?,
        "worker",
        listen,
        1,
        WorkerProfile::unlimited(args.cores),
        store,
        HashMap::from([(args.trigger, invocation_profile)]),
        IdempotencyStore::default(),
    )
    .map_err(CliError::EmulatorStart)?;
    run_forever("worker", worker.address)
}

fn run_store(args: StoreArgs) -> Result<(), CliError> {
    let profile = store::StoreProfile {
        mb_per_s: 1000.0,
        full_rate_fetches: 8,
        max_fetches: 1000,
    };
    let listen = require_loopback(args.listen);
    let store = Store::start(&host(args.logs)?, "store", listen?, profile)
        .map_err(CliError::EmulatorStart)?;
    run_forever("store", store.server.address)
}

fn run_list(args: ListArgs) -> Result<(), CliError> {
    let listen = require_loopback(args.listen);
    let list =
        EndpointList::start(&host(args.logs)?, "list", listen?).map_err(CliError::EmulatorStart)?;
    for (index, address) in args.worker.into_iter().enumerate() {
        list.publish(&format!("worker-{index}"), in_service(address));
    }
    run_forever("list", list.server.address)
}

/// The endpoint list's entry for a worker that is in service.
fn in_service(address: SocketAddr) -> EndpointRecord {
    EndpointRecord {
        address,
        zone: String::new(),
        kind: String::new(),
        cell: 0,
        draining: false,
        start: 1,
        started_us: 0,
    }
}
