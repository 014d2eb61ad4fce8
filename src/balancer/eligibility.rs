//! Which workers an invocation may go to by the rules, which are fit for it, and which have capacity.

use super::Balancer;
use super::invocations::Invocation;
use super::workers;
use crate::interface::*;

/// A worker is crowded with so many times the mean load, and so many dispatches in any case.
const CROWDED_FACTOR: f64 = 1.5;
const CROWDED_MIN: f64 = 1.0;

impl Balancer {
    /// Rules 2 and 3: whether the rules let this invocation go to this worker, ever.
    pub(super) fn may_dispatch(&self, invocation: &Invocation, worker: usize) -> bool {
        if invocation.answered
            || invocation.in_flight()
            || invocation.dispatches.len() as u32 >= self.settings.limits.max_dispatches
            || !self.accepts_new_work(worker)
        {
            return false;
        }
        let mut may_have_run = invocation
            .dispatches
            .iter()
            .filter(|dispatch| !dispatch.state.not_executed());
        match self.settings.triggers[invocation.trigger].effect {
            Effect::Idempotent => true,
            Effect::NonIdempotent => may_have_run.next().is_none(),
            Effect::IdempotentByKey { scope, window } => may_have_run.all(|dispatch| {
                self.shares_keys(scope, dispatch.worker as usize, worker)
                    && self.now - dispatch.sent_at < window
            }),
        }
    }

    /// Whether `worker` recognizes the idempotency keys of what `earlier` ran.
    fn shares_keys(&self, scope: DeduplicationScope, earlier: usize, worker: usize) -> bool {
        let (earlier, worker) = (&self.workers[earlier], &self.workers[worker]);
        match scope {
            DeduplicationScope::All => true,
            DeduplicationScope::Zone => earlier.zone == worker.zone,
            DeduplicationScope::Cell => earlier.cell == worker.cell,
        }
    }

    /// Fit for this invocation: allowed, fast enough, within its slow-start budget, and no outlier, or an outlier
    /// due for a probe with what can go elsewhere afterwards.
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

    /// Symptom: heavy invocations, dear where value goes by work, come late from slow machines even when
    /// idle. For a while they wait for a machine kind on which their time suffices, if there is one.
    fn is_too_slow(&self, invocation: &Invocation, worker: usize) -> bool {
        let left = (invocation.objective_at - self.now) as f64;
        let work = invocation.work_hint as f64;
        let kind = self.workers[worker].machine_kind;
        let (slowness, fastest) = self.slowness.of_kind_and_fastest(kind);
        work * slowness > left
            && work * fastest < left
            && self.now - invocation.arrived_at < invocation.work_hint
    }

    /// This router's dispatches in flight for each worker of full capacity, over the workers in service.
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

    /// Symptom: lanes are free but the cores behind them are not (many functions there, a worker in slow start or a
    /// slow one): more of this router's work than its part of all of it. A lane there does not count as free.
    pub(super) fn is_crowded(&self, worker: usize, mean_load: f64) -> bool {
        let in_flight = f64::from(self.outliers.in_flight(worker));
        let fair_part = CROWDED_FACTOR * mean_load * self.capacity_fraction(worker);
        self.concurrency_limit_reached(worker) || in_flight >= fair_part + CROWDED_MIN
    }

    /// Whether this router has as much in flight at the worker as that was seen to answer in time.
    pub(super) fn concurrency_limit_reached(&self, worker: usize) -> bool {
        let in_flight = f64::from(self.outliers.in_flight(worker));
        self.workers[worker].concurrency_limit.is_reached(in_flight)
    }
}
