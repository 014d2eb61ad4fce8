//! One stand-in in the foreground, for trying things out by hand.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use cedarpulley_emulators::Host;
use cedarpulley_emulators::broker::Broker;
use cedarpulley_emulators::endpoint_list::{EndpointList, EndpointRecord};
use cedarpulley_emulators::store::{self, Store};
use cedarpulley_emulators::worker::{IdempotencyStore, InvocationProfile, Worker, WorkerProfile};
use clap::Subcommand;

use crate::wrong::Wrong;

#[derive(Subcommand)]
pub enum Kind {
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

/// Standing still until the process is ended.
fn forever(what: &str, at: SocketAddr) -> ! {
    say!("{what} at {at}");
    loop {
        std::thread::park();
    }
}

pub fn loopback(address: SocketAddr) -> Result<SocketAddr, Wrong> {
    if address.ip().is_loopback() {
        Ok(address)
    } else {
        Err(Wrong::Outside { address })
    }
}

pub fn run(kind: Kind) -> Result<(), Wrong> {
    let ground = |logs: Option<PathBuf>| Host::new(2, logs.as_deref()).map_err(Wrong::Standin);
    match kind {
        Kind::Broker {
            listen,
            queue,
            logs,
        } => {
            let broker = Broker::start(&ground(logs)?, "broker", loopback(listen)?)
                .map_err(Wrong::Standin)?;
            queue.iter().for_each(|q| broker.declare(q));
            forever("broker", broker.address)
        }
        Kind::Worker {
            listen,
            store,
            trigger,
            work_ms,
            lanes,
            cores,
            logs,
        } => {
            let nature = WorkerProfile::unlimited(cores);
            let program = InvocationProfile {
                mean_work: Duration::from_secs_f64(work_ms / 1e3),
                copy_mb: 1.0,
                start_up_time: Duration::from_millis(10),
                lanes,
                idempotency_window: None,
                prefix_rebuild_work: Duration::ZERO,
            };
            let programs = HashMap::from([(trigger, program)]);
            let (listen, store, ground) = (loopback(listen)?, loopback(store)?, ground(logs)?);
            let worker = Worker::start(
                &ground,
                "worker",
                listen,
                1,
                nature,
                store,
                programs,
                IdempotencyStore::default(),
            );
            forever("worker", worker.map_err(Wrong::Standin)?.address)
        }
        Kind::Store { listen, logs } => {
            let nature = store::StoreProfile {
                mb_per_s: 1000.0,
                full_rate_fetches: 8,
                max_fetches: 1000,
            };
            let store = Store::start(&ground(logs)?, "store", loopback(listen)?, nature)
                .map_err(Wrong::Standin)?;
            forever("store", store.server.address)
        }
        Kind::List {
            listen,
            worker,
            logs,
        } => {
            let list = EndpointList::start(&ground(logs)?, "list", loopback(listen)?)
                .map_err(Wrong::Standin)?;
            for (n, address) in worker.into_iter().enumerate() {
                list.publish(
                    &format!("worker-{n}"),
                    EndpointRecord {
                        address,
                        zone: String::new(),
                        kind: String::new(),
                        cell: 0,
                        draining: false,
                        start: 1,
                        started_us: 0,
                    },
                );
            }
            forever("list", list.server.address)
        }
    }
}
