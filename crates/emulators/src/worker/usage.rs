//! Usage of a worker by invocations and load orders: running, loading and idle times of loaded functions. The usage is
//! logged and reported in response headers.

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

/// Active time of a loaded function, divided equally among the invocations that run concurrently.
pub(super) struct SharedTime {
    /// Seconds of active time per invocation: the integral over time of 1 / (number of active invocations).
    per_invocation: f64,
    /// Number of active invocations.
    active: usize,
    /// Time up to which `per_invocation` is computed.
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

    /// Starts counting from the current time.
    pub(super) fn restart(&mut self) {
        self.since = Instant::now();
    }

    /// Counts the time since the last update; returns it in seconds.
    fn advance(&mut self) -> f64 {
        let now = Instant::now();
        let elapsed = (now - self.since).as_secs_f64();
        self.since = now;
        if self.active > 0 {
            self.per_invocation += elapsed / self.active as f64;
        }
        elapsed
    }

    /// Adds an invocation. Returns `per_invocation` at its start, and the number of seconds for which the function was
    /// idle before.
    fn join(&mut self) -> (f64, f64) {
        let was_idle = self.active == 0;
        let elapsed = self.advance();
        self.active += 1;
        (self.per_invocation, if was_idle { elapsed } else { 0.0 })
    }

    /// Removes an invocation; returns its part of the active time in seconds. `began` is `per_invocation` at its start.
    fn leave(&mut self, began: f64) -> f64 {
        self.advance();
        self.active = self.active.saturating_sub(1);
        self.per_invocation - began
    }
}

/// Usage of one invocation or one load order; logged when it is dropped. Times are in microseconds.
pub(super) struct Usage {
    worker: Arc<WorkerShared>,
    log: Log,
    /// Empty for a load order.
    invocation_id: String,
    account: String,
    function: String,
    /// Memory of a copy.
    bytes: u64,
    running: u64,
    loading: u64,
    idle: u64,
    /// Whether a response reported the usage.
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

    /// Converts seconds to microseconds and byte-microseconds.
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

/// Guard that counts a function as active for one invocation until it is dropped.
pub(super) struct ActiveUse {
    worker: Arc<WorkerShared>,
    function: String,
    began: f64,
    usage: Arc<Mutex<Usage>>,
}

impl ActiveUse {
    /// Returns nothing if the function is not in memory any more.
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

/// Adds the totals of the account and function to a response. The two locks are taken one after the other and never
/// together, because the end of an execution takes the lock of the usage while it holds the lock of the incarnation.
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
