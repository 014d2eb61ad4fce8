//! What invocations and load orders used of a worker: running, loading and idle times of loaded functions, written to
//! the log and sent with the answers.

use std::sync::{Arc, Mutex};
use std::time::Instant;

use hyper::Response;
use hyper::header::HeaderValue;
use serde_json::json;

use super::incarnation::Incarnation;
use super::{InvocationProfile, WorkerShared};
use crate::http::Body;
use crate::{Log, lock};

const USAGE_HEADER: &str = "cedarpulley-held";

/// Active time of a loaded function, divided among the invocations that run on it at once.
pub(super) struct SharedTime {
    /// Sum over active time, in seconds, each moment divided by how many invocations were active.
    per_invocation: f64,
    active: usize,
    since: Instant,
}

impl SharedTime {
    pub(super) fn new(since: Instant) -> Self {
        SharedTime {
            per_invocation: 0.0,
            active: 0,
            since,
        }
    }

    /// Counts from now on.
    pub(super) fn restart(&mut self) {
        self.since = Instant::now();
    }

    fn advance(&mut self) -> f64 {
        let now = Instant::now();
        let elapsed = (now - self.since).as_secs_f64();
        self.since = now;
        if self.active > 0 {
            self.per_invocation += elapsed / self.active as f64;
        }
        elapsed
    }

    /// Where a new invocation's part begins, and for how many seconds the function was idle before it.
    fn join(&mut self) -> (f64, f64) {
        let was_idle = self.active == 0;
        let elapsed = self.advance();
        self.active += 1;
        (self.per_invocation, if was_idle { elapsed } else { 0.0 })
    }

    /// The seconds that fall to an invocation that joined at `began`.
    fn leave(&mut self, began: f64) -> f64 {
        self.advance();
        self.active = self.active.saturating_sub(1);
        self.per_invocation - began
    }
}

/// What one invocation, or one load order, used; written to the log when it is dropped. Times in microseconds.
pub(super) struct Usage {
    worker: Arc<WorkerShared>,
    log: Log,
    /// Empty for a load order.
    invocation_id: String,
    account: String,
    function: String,
    bytes: u64,
    running: u64,
    loading: u64,
    idle: u64,
    /// Whether an answer reported it.
    reported: bool,
}

impl Usage {
    pub(super) fn begin(
        worker: &Arc<WorkerShared>,
        invocation_id: &str,
        account: &str,
        function: &str,
        program: &InvocationProfile,
    ) -> Arc<Mutex<Usage>> {
        Arc::new(Mutex::new(Usage {
            worker: worker.clone(),
            log: worker.log.clone(),
            invocation_id: invocation_id.to_owned(),
            account: account.to_owned(),
            function: function.to_owned(),
            bytes: (program.copy_mb * 1e6) as u64,
            running: 0,
            loading: 0,
            idle: 0,
            reported: false,
        }))
    }

    pub(super) fn add_loading(&mut self, incarnation: &mut Incarnation, seconds: f64) {
        let (time, cost) = self.cost(seconds);
        self.loading += time;
        incarnation.usage_mut(&self.account, &self.function).loading += cost;
    }

    fn add_running(&mut self, incarnation: &mut Incarnation, seconds: f64) {
        let (time, cost) = self.cost(seconds);
        self.running += time;
        incarnation.usage_mut(&self.account, &self.function).running += cost;
    }

    fn add_idle(&mut self, incarnation: &mut Incarnation, seconds: f64) {
        let (time, cost) = self.cost(seconds);
        self.idle += time;
        incarnation.usage_mut(&self.account, &self.function).idle += cost;
    }

    /// Microseconds, and byte-microseconds.
    fn cost(&self, seconds: f64) -> (u64, u128) {
        let time = (seconds * 1e6) as u64;
        (time, u128::from(self.bytes) * u128::from(time))
    }
}

impl Drop for Usage {
    fn drop(&mut self) {
        self.log.write(
            "held",
            json!({
                "id": self.invocation_id, "account": self.account, "function": self.function,
                "bytes": self.bytes, "running": self.running, "loading": self.loading, "idle": self.idle,
                "reported": self.reported,
            }),
        );
    }
}

/// A function is active for one invocation until this is dropped.
pub(super) struct ActiveUse {
    worker: Arc<WorkerShared>,
    function: String,
    began: f64,
    usage: Arc<Mutex<Usage>>,
}

impl ActiveUse {
    /// None if the function is not in memory any more.
    pub(super) fn begin(
        worker: &Arc<WorkerShared>,
        function: &str,
        usage: &Arc<Mutex<Usage>>,
    ) -> Option<Self> {
        let began = worker
            .with_incarnation(|incarnation| {
                let (began, idle) = incarnation.active_time(function)?.join();
                lock(usage).add_idle(incarnation, idle);
                Some(began)
            })
            .flatten()?;
        Some(ActiveUse {
            worker: worker.clone(),
            function: function.to_owned(),
            began,
            usage: usage.clone(),
        })
    }
}

impl Drop for ActiveUse {
    fn drop(&mut self) {
        self.worker.with_incarnation(|incarnation| {
            if let Some(active_time) = incarnation.active_time(&self.function) {
                let running = active_time.leave(self.began);
                lock(&self.usage).add_running(incarnation, running);
            }
        });
    }
}

/// Adds the totals of the account and function so far to an answer. Locks one after the other: who ends an execution
/// holds the incarnation's lock while it takes the usage's.
pub(super) fn report(response: &mut Response<Body>, usage: &Mutex<Usage>) {
    let (worker, account, function) = {
        let usage = lock(usage);
        (
            usage.worker.clone(),
            usage.account.clone(),
            usage.function.clone(),
        )
    };
    let totals = worker.with_incarnation(|incarnation| {
        let totals = incarnation.usage(&account, &function);
        format!(
            "life={}, running={}, loading={}, idle={}",
            incarnation.id(),
            totals.running,
            totals.loading,
            totals.idle
        )
    });
    if let Some(value) = totals.and_then(|totals| HeaderValue::from_str(&totals).ok()) {
        response.headers_mut().insert(USAGE_HEADER, value);
        lock(usage).reported = true;
    }
}
