//! Filters for workers: those to which the rules allow an invocation to be sent, those eligible for it, and those
//! with capacity.

use super::Balancer;
use super::invocations::Invocation;
use super::workers;
use crate::interface::*;

/// A worker is crowded when this router's dispatches in flight there reach this multiple of the mean load, plus
/// [`CROWDED_MIN_DISPATCHES`].
const CROWDED_MEAN_LOAD_MULTIPLE: f64 = 1.5;
/// Dispatches in flight that every worker is allowed, whatever the mean load.
const CROWDED_MIN_DISPATCHES: f64 = 1.0;

impl Balancer {
    /// Rules 2 and 3: whether the invocation may be sent to this worker at all.
    pub(super) fn may_dispatch(&self, invocation: &Invocation, worker: usize) -> bool {
        self.accepts_new_work(worker) && self.may_attempt(invocation, worker)
    }

    /// Rule 2: whether the invocation may have a further attempt at this worker, if the worker gets new work.
    fn may_attempt(&self, invocation: &Invocation, worker: usize) -> bool {
        !invocation.answered
            && !invocation.in_flight()
            && invocation.attempts() < self.settings.limits.max_dispatches
            && self.drops_repeats(invocation, worker)
    }

    /// Whether the invocation may have a further attempt: now, or once the endpoint list is heard if that is expected at
    /// once.
    pub(super) fn may_retry(&self, invocation: &Invocation) -> bool {
        let awaits_list = self.awaits_list();
        (0..self.workers.len()).any(|worker| {
            let is_listed = self.workers[worker].accepts_new_work(self.now);
            self.may_dispatch(invocation, worker)
                || awaits_list && is_listed && self.may_attempt(invocation, worker)
        })
    }

    /// Whether the worker is eligible for this invocation: it is allowed by the rules, fast enough, within its
    /// slow-start budget, and not an outlier. An outlier is eligible if a probe is due and this is the first
    /// dispatch of an invocation that may be repeated elsewhere.
    pub(super) fn is_eligible(&self, invocation: &Invocation, worker: usize) -> bool {
        if !self.may_dispatch(invocation, worker)
            || !self.has_slow_start_budget(worker)
            || self.is_too_slow(invocation, worker)
        {
            return false;
        }
        if !self
            .outliers
            .is_outlier(worker, invocation.trigger, self.now)
        {
            return true;
        }
        let repeatable = self.settings.triggers[invocation.trigger].effect != Effect::NonIdempotent;
        repeatable
            && invocation.dispatches.is_empty()
            && self
                .outliers
                .probe_due(worker, invocation.trigger, self.now)
    }

    /// Whether the worker's machine kind is too slow for the invocation's latency objective while another kind is
    /// fast enough. Without this check, heavy invocations, which are valuable where the value grows with the work,
    /// are answered late by slow machines even if these are idle. Such an invocation waits for a faster machine, but
    /// no longer than its own expected work takes.
    fn is_too_slow(&self, invocation: &Invocation, worker: usize) -> bool {
        let time_left = (invocation.objective_at - self.now) as f64;
        let work = invocation.work_hint as f64;
        let kind = self.workers[worker].machine_kind;
        let (slowness, fastest) = self.slowness.of_kind_and_fastest(kind);
        work * slowness > time_left
            && work * fastest < time_left
            && self.now - invocation.arrived_at < invocation.work_hint
    }

    /// The mean number of this router's dispatches in flight per worker in service, where a worker in slow start
    /// counts as the fraction of its full capacity.
    pub(super) fn mean_load(&self) -> f64 {
        let (in_flight, capacity) =
            workers::in_service(&self.workers).fold((0.0, 0.0), |(in_flight, capacity), worker| {
                (
                    in_flight + f64::from(self.outliers.in_flight(worker)),
                    capacity + self.capacity_fraction(worker),
                )
            });
        in_flight / f64::max(capacity, 0.1)
    }

    /// Whether the worker has clearly more of this router's dispatches in flight than the mean for its capacity, or
    /// has reached its concurrency limit. A lane of a crowded worker does not count as free: its cores may all be
    /// busy, as many functions are loaded there, or as the worker is slow or in slow start.
    pub(super) fn is_crowded(&self, worker: usize, mean_load: f64) -> bool {
        let in_flight = f64::from(self.outliers.in_flight(worker));
        let fair_share = CROWDED_MEAN_LOAD_MULTIPLE * mean_load * self.capacity_fraction(worker);
        self.concurrency_limit_reached(worker) || in_flight >= fair_share + CROWDED_MIN_DISPATCHES
    }

    /// Whether this router's dispatches in flight at the worker have reached the concurrency limit.
    pub(super) fn concurrency_limit_reached(&self, worker: usize) -> bool {
        let in_flight = f64::from(self.outliers.in_flight(worker));
        self.workers[worker].concurrency_limit.is_reached(in_flight)
    }
}
