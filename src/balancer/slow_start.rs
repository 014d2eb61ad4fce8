//! Slow start (rule 4): what a worker that has just started is sent.

use super::Balancer;
use super::estimates::hash_pair;
use super::workers;
use crate::interface::Micros;

/// The part of the budget that is used, as arrivals are uneven.
const BUDGET_FRACTION: f64 = 0.7;
/// The throughput of workers is averaged over so many overload windows.
const THROUGHPUT_WINDOWS: f64 = 3.0;

impl Balancer {
    /// Rule 4: the capacity that a worker in slow start surely has is its part, at its age, of what this router has
    /// seen one carry on average, and of what one core does; all routers doing so keep to the whole budget. A
    /// part under one dispatch is granted by chance, anew in each window.
    pub(super) fn has_slow_start_budget(&self, worker: usize) -> bool {
        let rules = &self.settings.rules;
        let window = rules.overload_window.max(1);
        let state = &self.workers[worker];
        if self.now - state.started_at >= rules.slow_start_duration {
            return true;
        }
        let carried = self.completions_per_worker.value() / THROUGHPUT_WINDOWS;
        let per_core = self.core_throughput(window);
        let budget = BUDGET_FRACTION
            * rules.overload_multiple
            * self.capacity_fraction(worker)
            * carried.max(per_core);
        let sent = state.recent_dispatches.count_after(self.now - window) as f64;
        let turn = (
            state.fingerprint ^ u64::from(self.settings.fleet.position),
            (self.now / window) as u64,
        );
        sent + 1.0 <= budget || sent == 0.0 && hash_pair(turn) as f64 / (u64::MAX as f64) < budget
    }

    /// This router's part of the invocations that one core runs in a window.
    fn core_throughput(&self, window: Micros) -> f64 {
        let service = self
            .latencies
            .longest_service(&self.settings.triggers)
            .unwrap_or(window)
            .max(1);
        window as f64 / service as f64 / f64::from(self.settings.fleet.routers.max(1))
    }

    /// The fraction of its full capacity that a worker surely has at its age.
    pub(super) fn capacity_fraction(&self, worker: usize) -> f64 {
        let rules = &self.settings.rules;
        let progress = (self.now - self.workers[worker].started_at).max(0) as f64
            / rules.slow_start_duration.max(1) as f64;
        rules.slow_start_fraction + (1.0 - rules.slow_start_fraction) * progress.min(1.0)
    }

    /// An invocation succeeded: the workers carry as much. Symptom: many workers go at once, and what all of them
    /// carried counts as carried by those that are left. So it is divided by those that are there now.
    pub(super) fn record_completion(&mut self) {
        let window = self.settings.rules.overload_window.max(1) as f64;
        let in_service = workers::in_service(&self.workers).count().max(1);
        self.completions_per_worker.add(
            self.now,
            THROUGHPUT_WINDOWS * window,
            1.0 / in_service as f64,
        );
    }
}
