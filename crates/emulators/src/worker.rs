//! An emulated worker: KServe v2 with the model repository extension over HTTP/1.1.
//!
//! - The running invocations share the cores.
//! - Functions are loaded from the store into bounded memory. Each loaded function has a number of lanes, which limits
//!   its concurrent invocations.
//! - A worker in slow start has only part of its capacity and crashes when it is overloaded.
//! - A repeated idempotency key is not executed again within a window.
//!
//! Modules:
//! 1. `incarnation`: state of one process: loaded functions, memory, slow start, overload. Versions of a model are
//!    separate functions (`m/versions/2`).
//! 2. `routes`, `orders`, `inference`, `answers`: the HTTP endpoints. `in_flight`: counts that are decremented, and the
//!    log line that is written, when an invocation ends.
//! 3. `execution`: how long an invocation runs, and how the cores are shared.
//! 4. `idempotency`: idempotency keys that a group of workers remembers.
//! 5. `prefix_cache`: prefixes of sequences. An invocation that finds the cached prefix of its sequence needs less
//!    work.
//! 6. `usage`: running, loading and idle times for billing.
//! 7. `index`: the repository index. `injected_faults`: faults that make the loaded functions or the index differ from
//!    what routers record.

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
pub use index::{LoadedFunctionInfo, OrderIssuer};
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

/// Step in which running invocations advance, and interval at which conditions are polled.
const TIME_STEP: Duration = Duration::from_millis(10);
/// The listener of a crashed process is closed within this time, also on a busy machine.
const LISTENER_CLOSE_TIMEOUT: Duration = Duration::from_secs(10);

/// Properties of the invocations of one trigger type and of the functions that they call.
#[derive(Clone, Debug)]
pub struct InvocationProfile {
    /// Mean processor time of an invocation.
    pub mean_work: Duration,
    /// Memory of one loaded copy, in MB.
    pub copy_mb: f64,
    /// Time from the end of the fetch until the copy is ready.
    pub start_up_time: Duration,
    /// Number of invocations that a copy runs concurrently.
    pub lanes: usize,
    /// How long a repeated idempotency key is not executed again; absent if the worker ignores idempotency keys.
    pub idempotency_window: Option<Duration>,
    /// Additional processor time of an invocation that does not find the cached prefix of its sequence.
    pub prefix_rebuild_work: Duration,
}

/// Capacity and limits of a worker.
#[derive(Clone, Debug)]
pub struct WorkerProfile {
    /// Number of cores, which the running invocations share.
    pub cores: f64,
    /// Memory for loaded functions, in MB.
    pub memory_mb: f64,
    /// Invocations are rejected while this many are waiting.
    pub max_waiting: usize,
    /// Largest number of concurrent loads.
    pub max_loads: usize,
    /// Whether an invocation of a function that is not loaded triggers its load.
    pub loads_when_absent: bool,
    /// Share of the cores that a worker has right after a restart.
    pub slow_start_share: f64,
    /// Time over which the share of a restarted worker grows to all cores.
    pub slow_start: Duration,
    /// During slow start, a worker crashes if more work than this multiple of its capacity arrives within
    /// `overload_window`.
    pub overload_multiple: f64,
    /// Time window over which arriving work is summed for `overload_multiple`.
    pub overload_window: Duration,
}

impl WorkerProfile {
    /// Creates the profile of a worker with practically unlimited memory and queue, and without slow start.
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

/// Faults and states of the whole worker that tests set.
#[derive(Clone, Debug)]
struct WorkerFaults {
    /// Invocations are accepted and executed, but not answered.
    hanging: bool,
    /// Running invocations do not advance.
    paused: bool,
    /// Factor by which the duration of invocations is multiplied.
    slowdown: f64,
    /// Trigger type whose invocations are executed but not answered.
    unanswered_type: Option<String>,
    /// New invocations and loads are rejected.
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

/// State shared by the handle of the worker and its request handlers.
struct WorkerShared {
    name: String,
    host: Host,
    log: Log,
    /// Seed of the work of invocations and of version faults.
    seed: u64,
    profile: WorkerProfile,
    store: SocketAddr,
    /// By trigger type.
    programs: HashMap<String, InvocationProfile>,
    idempotency: IdempotencyStore,
    partition: Partition,
    faults: Mutex<WorkerFaults>,
    injected: Mutex<InjectedFaults>,
    /// State of the current process; absent after [`Worker::crash`]. After a crash by overload, the old state stays
    /// until the restart.
    incarnation: Mutex<Option<Incarnation>>,
    server: Mutex<Option<Server>>,
    /// How often a process has been started.
    starts: Mutex<u32>,
}

impl WorkerShared {
    /// Reads or changes the state of the current process under its lock; returns nothing if there
    /// is no state.
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
            Timer::after(TIME_STEP).await;
        }
    }
}

/// Handle of an emulated worker; clones refer to the same worker.
#[derive(Clone)]
pub struct Worker {
    /// The address that the worker listens on.
    pub address: SocketAddr,
    shared: Arc<WorkerShared>,
}

impl Worker {
    /// Starts a worker that is warm, which means that it is not in slow start. The keys of `programs` are trigger
    /// types.
    ///
    /// # Errors
    /// Fails if the log cannot be created or the address cannot be bound.
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

    /// Ends the process at once; all its state is lost.
    pub fn crash(&self) {
        self.shared.log.write("down", json!({}));
        let server = lock(&self.shared.server).take();
        drop(server);
        *lock(&self.shared.incarnation) = None;
    }

    /// Starts a new process, in slow start and without loaded functions, at the same address.
    ///
    /// # Errors
    /// Fails if the address cannot be bound within ten seconds.
    pub fn restart(&self) -> std::io::Result<()> {
        let deadline = Instant::now() + LISTENER_CLOSE_TIMEOUT;
        // Without the retries, a restart right after a crash fails with `AddrInUse`, because the executor has not
        // dropped the listener yet.
        loop {
            match self.start_process(false) {
                Err(e)
                    if e.kind() == std::io::ErrorKind::AddrInUse && Instant::now() < deadline =>
                {
                    std::thread::sleep(TIME_STEP);
                }
                started => return started.map(|_| lock(&self.shared.faults).draining = false),
            }
        }
    }

    /// How often the worker has been started.
    pub fn starts(&self) -> u32 {
        *lock(&self.shared.starts)
    }

    /// Whether a process of the worker is listening.
    pub fn is_up(&self) -> bool {
        lock(&self.shared.server).is_some()
    }

    /// While `on`, invocations are accepted and executed, but not answered.
    pub fn set_hanging(&self, on: bool) {
        lock(&self.shared.faults).hanging = on;
    }

    /// While `on`, running invocations do not advance.
    pub fn set_paused(&self, on: bool) {
        lock(&self.shared.faults).paused = on;
    }

    /// Sets the factor by which the duration of invocations is multiplied.
    pub fn set_slowdown(&self, factor: f64) {
        lock(&self.shared.faults).slowdown = factor;
    }

    /// Sets the trigger type whose invocations are executed but not answered; `None` answers all.
    pub fn stop_answering(&self, trigger_type: Option<&str>) {
        lock(&self.shared.faults).unanswered_type = trigger_type.map(str::to_owned);
    }

    /// Rejects new invocations and loads from now on, until the worker is restarted.
    pub fn drain(&self) {
        lock(&self.shared.faults).draining = true;
    }

    /// Partitions the worker from these zones, one bit each, and heals the partitions from all others.
    pub fn partition_from(&self, zones: u64) {
        self.shared.partition.set(zones);
    }

    /// Evicts all functions that are idle.
    pub fn evict_all_idle(&self) {
        self.shared
            .remove_idle("evicted", |_| true, &json!({"why": "flush"}));
    }

    /// Start of the current process, as Unix time in microseconds; 0 if the worker was never restarted, or
    /// after [`Worker::crash`].
    pub fn started_us(&self) -> i64 {
        self.shared
            .with_incarnation(|incarnation| incarnation.age_since_restart())
            .flatten()
            .map_or(0, |age| unix_time_us() - age.as_micros() as i64)
    }

    /// Writes buffered log lines to the log file.
    pub fn flush(&self) {
        self.shared.log.flush();
    }
}

impl std::fmt::Debug for Worker {
    fn fmt(&self, f: &mut std::fmt::Formatter) -> std::fmt::Result {
        write!(f, "worker {} at {}", self.shared.name, self.address)
    }
}
