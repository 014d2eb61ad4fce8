//! The emulated broker, store and workers, and the clients that publish to the broker.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use async_executor::Task;
use cedarpulley_emulators::Host;
use cedarpulley_emulators::broker::Broker;
use cedarpulley_emulators::store::{self, Store};
use cedarpulley_emulators::worker::{IdempotencyStore, InvocationProfile, Worker, WorkerProfile};
use cedarpulley_test_cluster::amqp_client::{AmqpClient, Arrival, LatencyRecorder};

use super::{ANY_PORT, BODY, MeasureArgs, QUEUE, TIMEOUT_MS, TRIGGER, WARM_UP, function};
use crate::error::CliError;

const WORKERS: usize = 4;
const CLIENTS: usize = 2;
/// Threads that run the tasks of emulators and clients.
const THREADS: usize = 3;

/// The emulators, which run in this process. Fields are dropped in the order of their declaration.
pub struct EmulatedEnvironment {
    /// The emulated workers.
    pub workers: Vec<Worker>,
    /// Kept alive for the workers, which load from it.
    _store: Store,
    /// The emulated broker.
    pub broker: Broker,
    /// Runs the tasks of emulators and clients.
    pub host: Host,
}

impl EmulatedEnvironment {
    /// Starts all emulators on free ports.
    pub fn start(args: &MeasureArgs) -> Result<Self, CliError> {
        let host = Host::new(THREADS, None).map_err(CliError::EmulatorStart)?;
        let broker =
            Broker::start(&host, "broker", ANY_PORT.into()).map_err(CliError::EmulatorStart)?;
        broker.declare(QUEUE);
        let profile = store::StoreProfile {
            mb_per_s: 1e6,
            full_rate_fetches: 100,
            max_fetches: 1000,
        };
        let store = Store::start(&host, "store", ANY_PORT.into(), profile)
            .map_err(CliError::EmulatorStart)?;
        let mut workers = Vec::new();
        for index in 0..WORKERS {
            let invocation_profile = InvocationProfile {
                mean_work: Duration::from_secs_f64(args.work_ms / 1e3),
                copy_mb: 1.0,
                start_up_time: Duration::from_millis(1),
                lanes: args.lanes as usize,
                idempotency_window: None,
                prefix_rebuild_work: Duration::ZERO,
            };
            let worker = Worker::start(
                &host,
                &format!("worker-{index}"),
                ANY_PORT.into(),
                1,
                WorkerProfile::unlimited(1e6),
                store.server.address,
                HashMap::from([(TRIGGER.to_owned(), invocation_profile)]),
                IdempotencyStore::default(),
            );
            workers.push(worker.map_err(CliError::EmulatorStart)?);
        }
        Ok(EmulatedEnvironment {
            workers,
            _store: store,
            broker,
            host,
        })
    }

    /// Starts the clients, which publish at the given rate from `began` on. They run until their tasks are dropped.
    pub fn start_clients(
        &self,
        args: &MeasureArgs,
        began: Instant,
        latencies: &LatencyRecorder,
    ) -> Vec<Task<()>> {
        let invocations = ((WARM_UP.as_secs_f64() + args.seconds) * args.rate) as usize;
        let arrival = |number: usize| Arrival {
            at: Duration::from_secs_f64(number as f64 / args.rate),
            id: format!("m{number}"),
            trigger_type: TRIGGER.into(),
            function: function(number as u64),
            account: String::new(),
            queue: QUEUE.into(),
            timeout_ms: TIMEOUT_MS,
            copy_mb: 1.0,
            lanes: args.lanes,
            body: BODY.into(),
            retries: 0,
            over_kserve: false,
            turn: None,
        };
        let start_client = |client: usize| {
            let client = AmqpClient {
                broker: self.broker.address,
                from: [127, 0, 2, 1 + client as u8].into(),
                reply_queue: format!("replies-{client}"),
                began,
                arrivals: (client..invocations)
                    .step_by(CLIENTS)
                    .map(arrival)
                    .collect(),
                latencies: Some(latencies.clone()),
                answers: None,
                function_override: None,
            };
            self.host.executor.spawn(client.run())
        };
        (0..CLIENTS).map(start_client).collect()
    }
}
