//! A worker: KServe v2 with the model repository extension over HTTP/1.1.
//!
//! Cores are shared among the running invocations. Functions are loaded through the store into bounded memory, each
//! loaded function has a number of lanes (concurrent invocations), a worker in slow start has only part of its
//! capacity and crashes when pushed beyond it, and repeats of an idempotency key are not executed within a window.
//!
//! Modules, one concern each:
//! 1. `incarnation`: state of one process: loaded functions, memory, slow start, overload. Versions of a model are
//!    functions side by side (`m/versions/2`).
//! 2. `routes`, `orders`, `inference`, `answers`: the HTTP endpoints; `in_flight`: what is given back or logged as an
//!    invocation ends.
//! 3. `execution`: how long an invocation runs, and how the cores are shared.
//! 4. `idempotency`: keys that a group of workers remembers.
//! 5. `prefix_cache`: what earlier invocations of a sequence left in a loaded function makes the next one there cheap.
//! 6. `usage`: running, loading and idle times, as they are billed.
//! 7. `index`: the repository index; `injected_faults`: faults that make it differ from what routers believe.

mod answers;
mod execution;
mod idempotency;
mod in_flight;
mod incarnation;
mod index;
mod inference;
mod injected_faults;
mod orders;
mod prefix_cache;
mod routes;
mod usage;

pub use idempotency::IdempotencyStore;
pub use index::{LoadedFunctionInfo, Orderer};
pub use injected_faults::FalseReport;

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use async_io::Timer;
use serde_json::json;

use self::incarnation::Incarnation;
use self::injected_faults::InjectedFaults;
use crate::http::{Partition, Server};
use crate::{Host, Log, lock, unix_time_us};

/// Running invocations are advanced, and waiting conditions polled, in steps of this length.
const STEP: Duration = Duration::from_millis(10);
/// The listener of a process that ended is closed within this time, however busy the machine.
const LISTENER_CLOSE_TIMEOUT: Duration = Duration::from_secs(10);

/// What invocations of one trigger type are like.
#[derive(Clone, Debug)]
pub struct InvocationProfile {
    /// Mean processor time of an invocation.
    pub mean_work: Duration,
    /// Memory of one loaded copy, in MB.
    pub copy_mb: f64,
    /// Time from the end of the fetch until the copy is ready.
    pub start_up_time: Duration,
    /// Invocations that a copy runs at once.
    pub lanes: usize,
    /// For invocations with an idempotency key: how long repeats are not executed again.
    pub idempotency_window: Option<Duration>,
    /// Additional work of an invocation that does not find its sequence's cached prefix.
    pub prefix_rebuild_work: Duration,
}

/// Capacity and limits of a worker.
#[derive(Clone, Debug)]
pub struct WorkerProfile {
    /// Cores shared among the running invocations.
    pub cores: f64,
    /// Memory for loaded functions, in MB.
    pub memory_mb: f64,
    /// Invocations waiting beyond this are rejected.
    pub max_waiting: usize,
    /// Loads that may be under way at once.
    pub max_loads: usize,
    /// Whether an invocation of a function that is not loaded loads it.
    pub loads_when_absent: bool,
    /// Share of the cores that a restarted worker begins with.
    pub slow_start_share: f64,
    /// Time over which a restarted worker's share grows to all cores.
    pub slow_start: Duration,
    /// During slow start, more work than this multiple of the capacity within `overload_window` crashes the worker.
    pub overload_multiple: f64,
    /// Window over which arriving work is summed for `overload_multiple`.
    pub overload_window: Duration,
}

impl WorkerProfile {
    /// A worker that has memory for everything and no slow start.
    pub fn unlimited(cores: f64) -> Self {
        WorkerProfile {
            cores,
            memory_mb: 1e6,
            max_waiting: 100_000,
            max_loads: 8,
            loads_when_absent: true,
            slow_start_share: 1.0,
            slow_start: Duration::ZERO,
            overload_multiple: f64::MAX,
            overload_window: Duration::from_secs(1),
        }
    }
}

/// Faults and states of the whole worker that a test sets.
#[derive(Clone, Debug)]
struct WorkerFaults {
    /// Requests are accepted and executed, but not answered.
    hanging: bool,
    /// Nothing advances.
    paused: bool,
    /// Factor on the duration of invocations.
    slowdown: f64,
    /// Trigger type whose invocations are not answered.
    unanswered_type: Option<String>,
    draining: bool,
}

impl Default for WorkerFaults {
    fn default() -> Self {
        WorkerFaults {
            hanging: false,
            paused: false,
            slowdown: 1.0,
            unanswered_type: None,
            draining: false,
        }
    }
}

/// What the worker's handle and its request handlers share.
struct WorkerShared {
    name: String,
    host: Host,
    log: Log,
    seed: u64,
    profile: WorkerProfile,
    store: SocketAddr,
    programs: HashMap<String, InvocationProfile>,
    idempotency: IdempotencyStore,
    partition: Partition,
    faults: Mutex<WorkerFaults>,
    injected: Mutex<InjectedFaults>,
    /// State of the present process; none while the worker is down.
    incarnation: Mutex<Option<Incarnation>>,
    server: Mutex<Option<Server>>,
    starts: Mutex<u32>,
}

impl WorkerShared {
    /// Reads or changes the present process's state under its lock; none while the worker is down.
    fn with_incarnation<R>(&self, action: impl FnOnce(&mut Incarnation) -> R) -> Option<R> {
        lock(&self.incarnation).as_mut().map(action)
    }

    fn faults(&self) -> WorkerFaults {
        lock(&self.faults).clone()
    }

    /// Waits while the worker is paused or hanging.
    async fn until_responsive(&self) {
        loop {
            let faults = self.faults();
            if !faults.hanging && !faults.paused {
                return;
            }
            Timer::after(STEP).await;
        }
    }
}

/// Handle of an emulated worker; clones stand for the same one.
#[derive(Clone)]
pub struct Worker {
    /// Where it listens.
    pub address: SocketAddr,
    shared: Arc<WorkerShared>,
}

impl Worker {
    /// Starts a worker that is warm, that is: not in slow start. `programs` are by trigger type.
    ///
    /// # Errors
    /// When its log cannot be created or its address cannot be bound.
    #[expect(
        clippy::too_many_arguments,
        reason = "callers outside this package name them in this order"
    )]
    pub fn start(
        host: &Host,
        name: &str,
        address: SocketAddr,
        seed: u64,
        profile: WorkerProfile,
        store: SocketAddr,
        programs: HashMap<String, InvocationProfile>,
        idempotency: IdempotencyStore,
    ) -> std::io::Result<Worker> {
        let shared = Arc::new(WorkerShared {
            name: name.to_owned(),
            host: host.clone(),
            log: host.log(name)?,
            seed,
            profile,
            store,
            programs,
            idempotency,
            partition: Partition::default(),
            faults: Mutex::default(),
            injected: Mutex::default(),
            incarnation: Mutex::new(None),
            server: Mutex::new(None),
            starts: Mutex::new(0),
        });
        let mut worker = Worker { address, shared };
        worker.address = worker.start_process(true)?;
        Ok(worker)
    }

    fn start_process(&self, warm: bool) -> std::io::Result<SocketAddr> {
        let shared = &self.shared;
        let weak = Arc::downgrade(shared);
        let handle = move |from: SocketAddr, request| routes::serve(weak.clone(), from, request);
        *lock(&shared.incarnation) = Some(Incarnation::new(warm));
        let server = Server::start(&shared.host, self.address, shared.partition.clone(), handle)
            .inspect_err(|_| *lock(&shared.incarnation) = None)?;
        let address = server.address;
        *lock(&shared.server) = Some(server);
        *lock(&shared.starts) += 1;
        shared.log.write(
            "up",
            json!({"address": address.to_string(), "cores": shared.profile.cores, "cold": !warm}),
        );
        Ok(address)
    }

    /// The process ends at once; all its state is lost.
    pub fn crash(&self) {
        self.shared.log.write("down", json!({}));
        let server = lock(&self.shared.server).take();
        drop(server);
        *lock(&self.shared.incarnation) = None;
    }

    /// Starts a new process, in slow start and without loaded functions, at the same address.
    ///
    /// # Errors
    /// When the address cannot be bound within ten seconds.
    pub fn restart(&self) -> std::io::Result<()> {
        let deadline = Instant::now() + LISTENER_CLOSE_TIMEOUT;
        // Symptom: `AddrInUse` just after a crash, as the executor has yet to drop the listener.
        loop {
            match self.start_process(false) {
                Err(e)
                    if e.kind() == std::io::ErrorKind::AddrInUse && Instant::now() < deadline =>
                {
                    std::thread::sleep(STEP);
                }
                started => return started.map(|_| lock(&self.shared.faults).draining = false),
            }
        }
    }

    /// How often it has been started.
    pub fn starts(&self) -> u32 {
        *lock(&self.shared.starts)
    }

    /// Whether a process of it is listening.
    pub fn is_up(&self) -> bool {
        lock(&self.shared.server).is_some()
    }

    /// While on, invocations are accepted and executed, and none is answered.
    pub fn set_hanging(&self, on: bool) {
        lock(&self.shared.faults).hanging = on;
    }

    /// While on, running invocations do not advance.
    pub fn set_paused(&self, on: bool) {
        lock(&self.shared.faults).paused = on;
    }

    /// Invocations take this many times as long.
    pub fn set_slowdown(&self, times: f64) {
        lock(&self.shared.faults).slowdown = times;
    }

    /// Invocations of this trigger type are executed and not answered.
    pub fn stop_answering(&self, kind: Option<&str>) {
        lock(&self.shared.faults).unanswered_type = kind.map(str::to_owned);
    }

    /// Rejects new invocations and loads from now on.
    pub fn drain(&self) {
        lock(&self.shared.faults).draining = true;
    }

    /// Partitions it from these zones, a bit each.
    pub fn partition_from(&self, zones: u64) {
        self.shared.partition.set(zones);
    }

    /// Evicts all idle functions.
    pub fn evict_all_idle(&self) {
        self.shared
            .remove_idle("evicted", |_| true, &json!({"why": "flush"}));
    }

    /// When its present process began, in microseconds of Unix time; 0 for one that was there all along.
    pub fn began_us(&self) -> i64 {
        self.shared
            .with_incarnation(|incarnation| incarnation.age_since_restart())
            .flatten()
            .map_or(0, |age| unix_time_us() - age.as_micros() as i64)
    }

    /// Writes buffered log lines out.
    pub fn flush(&self) {
        self.shared.log.flush();
    }
}

impl std::fmt::Debug for Worker {
    fn fmt(&self, f: &mut std::fmt::Formatter) -> std::fmt::Result {
        write!(f, "worker {} at {}", self.shared.name, self.address)
    }
}
