//! `cedarpulley standin ...`: one emulator of a surrounding system in the foreground, for trials by hand.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use cedarpulley_emulators::Ground;
use cedarpulley_emulators::broker::Broker;
use cedarpulley_emulators::list::{List, Row};
use cedarpulley_emulators::store::{self, Store};
use cedarpulley_emulators::worker::{Memory, Nature, Program, Worker};
use clap::Subcommand;

use crate::error::CliError;

#[derive(Subcommand)]
pub enum EmulatorCommand {
    /// A broker with these queues.
    Broker {
        #[arg(long, default_value = "127.0.0.1:5672")]
        listen: SocketAddr,
        #[arg(long, required = true)]
        queue: Vec<String>,
        #[arg(long)]
        logs: Option<PathBuf>,
    },
    /// A worker that serves one trigger type.
    Worker {
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
    },
    /// The store that workers load from.
    Store {
        #[arg(long, default_value = "127.0.0.1:8090")]
        listen: SocketAddr,
        #[arg(long)]
        logs: Option<PathBuf>,
    },
    /// A worker list with these workers, all in service.
    List {
        #[arg(long, default_value = "127.0.0.1:8070")]
        listen: SocketAddr,
        #[arg(long, required = true)]
        worker: Vec<SocketAddr>,
        #[arg(long)]
        logs: Option<PathBuf>,
    },
}

/// Prints where the emulator listens, and keeps it alive until the process is ended.
fn run_forever(name: &str, address: SocketAddr) -> ! {
    print_line!("{name} at {address}");
    loop {
        std::thread::park();
    }
}

/// Emulators have no access control: they listen on loopback only.
fn require_loopback(address: SocketAddr) -> Result<SocketAddr, CliError> {
    if address.ip().is_loopback() {
        Ok(address)
    } else {
        Err(CliError::NotLoopback { address })
    }
}

fn host(logs: Option<PathBuf>) -> Result<Ground, CliError> {
    Ground::new(2, logs.as_deref()).map_err(CliError::EmulatorStart)
}

/// Starts one emulator; returns only if it cannot start.
pub fn run(command: EmulatorCommand) -> Result<(), CliError> {
    match command {
        EmulatorCommand::Broker {
            listen,
            queue,
            logs,
        } => {
            let broker = Broker::start(&host(logs)?, "broker", require_loopback(listen)?)
                .map_err(CliError::EmulatorStart)?;
            queue.iter().for_each(|queue| broker.declare(queue));
            run_forever("broker", broker.address)
        }
        EmulatorCommand::Worker {
            listen,
            store,
            trigger,
            work_ms,
            lanes,
            cores,
            logs,
        } => {
            let program = Program {
                work: Duration::from_secs_f64(work_ms / 1e3),
                copy_mb: 1.0,
                start_up: Duration::from_millis(10),
                lanes,
                window: None,
                prefix: Duration::ZERO,
            };
            let (listen, store) = (require_loopback(listen)?, require_loopback(store)?);
            let worker = Worker::start(
                &host(logs)?,
                "worker",
                listen,
                1,
                Nature::roomy(cores),
                store,
                HashMap::from([(trigger, program)]),
                Memory::default(),
            )
            .map_err(CliError::EmulatorStart)?;
            run_forever("worker", worker.address)
        }
        EmulatorCommand::Store { listen, logs } => {
            let profile = store::Nature {
                mb_per_s: 1000.0,
                abreast: 8,
                most: 1000,
            };
            let store = Store::start(&host(logs)?, "store", require_loopback(listen)?, profile)
                .map_err(CliError::EmulatorStart)?;
            run_forever("store", store.server.address)
        }
        EmulatorCommand::List {
            listen,
            worker,
            logs,
        } => {
            let list = List::start(&host(logs)?, "list", require_loopback(listen)?)
                .map_err(CliError::EmulatorStart)?;
            for (index, address) in worker.into_iter().enumerate() {
                list.put(&format!("worker-{index}"), in_service(address));
            }
            run_forever("list", list.server.address)
        }
    }
}

/// The list entry of a worker in service.
fn in_service(address: SocketAddr) -> Row {
    Row {
        address,
        zone: String::new(),
        kind: String::new(),
        cell: 0,
        draining: false,
        start: 1,
        started_us: 0,
    }
}
