//! The state that this router keeps for each worker, and the limit on its own concurrency at the worker.

use super::estimates::{DISTANT_PAST, SlidingWindow};
use crate::interface::*;

/// An answer after the latency objective, or a rejection, multiplies the concurrency limit by this factor.
const DECREASE_FACTOR: f64 = 0.8;

/// An estimate of how many concurrent dispatches of this router a worker answers in time. It is adapted by additive
/// increase and multiplicative decrease.
pub(super) struct ConcurrencyLimit {
    limit: f64,
    decreased_at: Micros,
}

impl Default for ConcurrencyLimit {
    fn default() -> Self {
        ConcurrencyLimit {
            limit: f64::INFINITY,
            decreased_at: DISTANT_PAST,
        }
    }
}

impl ConcurrencyLimit {
    /// Whether `in_flight` dispatches reach the limit, so that no further one may be sent.
    pub(super) fn is_reached(&self, in_flight: f64) -> bool {
        in_flight >= self.limit
    }

    /// Records an answer from a loaded copy. If it is late, the limit falls below the number of dispatches that were
    /// in flight; if it is in time, the limit grows slowly. The limit falls at most once within the time of an
    /// answer.
    pub(super) fn record(
        &mut self,
        now: Micros,
        in_flight: f64,
        took: Micros,
        latency_objective: Micros,
    ) {
        if took > latency_objective {
            if now - self.decreased_at > took.min(latency_objective) {
                self.limit = (self.limit.min(in_flight) * DECREASE_FACTOR).max(1.0);
                self.decreased_at = now;
            }
        } else if in_flight >= self.limit {
            self.limit += 1.0 / self.limit;
        }
    }

    /// Records a rejection, which counts as an answer later than any objective. Without this, a full worker would look
    /// idle, as it rejects faster than other workers answer.
    pub(super) fn record_rejection(
        &mut self,
        now: Micros,
        in_flight: f64,
        latency_objective: Micros,
    ) {
        self.record(now, in_flight, Micros::MAX / 8, latency_objective);
    }
}

/// The state of one worker.
pub(super) struct WorkerState {
    /// A hash of the worker's name, the same at every router.
    pub(super) fingerprint: u64,
    pub(super) zone: u32,
    pub(super) cell: u32,
    pub(super) machine_kind: u32,
    pub(super) state: EndpointState,
    pub(super) started_at: Micros,
    /// Incremented whenever the worker's process is replaced or gone: what was known of an earlier process no longer holds.
    pub(super) incarnation: u32,
    /// While the worker drains, the time until which it is given new work.
    pub(super) drains_until: Micros,
    pub(super) concurrency_limit: ConcurrencyLimit,
    /// This router starts no load at the worker until this time, as one is in progress or the worker has no capacity.
    pub(super) no_load_until: Micros,
    /// This router's dispatches to the worker within the overload window.
    pub(super) recent_dispatches: SlidingWindow,
}

impl Default for WorkerState {
    fn default() -> Self {
        WorkerState {
            fingerprint: 0,
            zone: 0,
            cell: 0,
            machine_kind: 0,
            state: EndpointState::Gone,
            started_at: DISTANT_PAST,
            incarnation: 0,
            drains_until: DISTANT_PAST,
            concurrency_limit: ConcurrencyLimit::default(),
            no_load_until: DISTANT_PAST,
            recent_dispatches: SlidingWindow::default(),
        }
    }
}

impl WorkerState {
    /// Rule 3: whether the worker is in service, or is draining and within the drain grace.
    pub(super) fn accepts_new_work(&self, now: Micros) -> bool {
        match self.state {
            EndpointState::InService => true,
            EndpointState::Draining => now < self.drains_until,
            EndpointState::Gone => false,
        }
    }
}

/// The indices of the workers in service.
pub(super) fn in_service(workers: &[WorkerState]) -> impl Iterator<Item = usize> + Clone {
    (0..workers.len()).filter(|&worker| workers[worker].state == EndpointState::InService)
}
