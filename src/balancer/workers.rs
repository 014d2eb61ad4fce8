//! What this router knows of each worker, and the limit on its own concurrency there.

use super::estimates::{DISTANT_PAST, SlidingWindow};
use crate::interface::*;

/// An answer after the latency objective, or a rejection, leaves so much of a concurrency limit.
const DECREASE_FACTOR: f64 = 0.8;

/// How many dispatches of this router a worker answers in time, as far as has been seen (additive increase,
/// multiplicative decrease).
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
    /// Whether so many in flight leave no capacity for one more.
    pub(super) fn is_reached(&self, in_flight: f64) -> bool {
        in_flight >= self.limit
    }

    /// Symptom: answers late though the copy was loaded. The worker's limit is then less than what was in
    /// flight there; with answers in time it grows slowly.
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

    /// A rejection counts as an answer later than any objective. Symptom: a full worker answers fastest of
    /// all and so looks idle.
    pub(super) fn record_rejection(
        &mut self,
        now: Micros,
        in_flight: f64,
        latency_objective: Micros,
    ) {
        self.record(now, in_flight, Micros::MAX / 8, latency_objective);
    }
}

/// One worker.
pub(super) struct WorkerState {
    pub(super) fingerprint: u64,
    pub(super) zone: u32,
    pub(super) cell: u32,
    pub(super) machine_kind: u32,
    pub(super) state: EndpointState,
    pub(super) started_at: Micros,
    /// While it drains: it is given work until then.
    pub(super) drains_until: Micros,
    pub(super) concurrency_limit: ConcurrencyLimit,
    /// It takes no further load from here until then: one is in progress, or it has no capacity.
    pub(super) no_load_until: Micros,
    /// Dispatches within the overload window.
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
            drains_until: DISTANT_PAST,
            concurrency_limit: ConcurrencyLimit::default(),
            no_load_until: DISTANT_PAST,
            recent_dispatches: SlidingWindow::default(),
        }
    }
}

impl WorkerState {
    /// Rule 3: in service, or told to drain so short a time ago that the grace still runs.
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
