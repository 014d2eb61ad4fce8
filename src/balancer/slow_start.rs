//! Slow start (rule 4): limits the dispatches to a worker that has just started.

use super::Balancer;
use super::estimates::hash_pair;
use crate::interface::Micros;

/// The fraction of the budget that is used. The rest is a margin for uneven arrivals.
const BUDGET_FRACTION: f64 = 0.7;
/// The time constant over which the throughput of workers is averaged, in overload windows.
const THROUGHPUT_WINDOWS: f64 = 3.0;

impl Balancer {
    /// Rule 4: whether this router may send one more dispatch to the worker within the overload window.
    ///
    /// The budget is a fraction, which grows with the worker's age, of the mean throughput per worker that this router
    /// has observed, or of this router's part of one core's throughput if that is higher. If all routers do the same,
    /// they keep to the whole budget together. A budget below one dispatch is granted with that probability, drawn
    /// again in each window.
    pub(super) fn has_slow_start_budget(&self, worker: usize) -> bool {
        let rules = &self.settings.rules;
        let window = rules.overload_window.max(1);
        let state = &self.workers[worker];
        if self.now - state.started_at >= rules.slow_start_duration {
            return true;
        }
        let mean_throughput = self.completions_per_worker.value() / THROUGHPUT_WINDOWS;
        let per_core = self.core_throughput(window);
        let budget = BUDGET_FRACTION
            * rules.overload_multiple
            * self.capacity_fraction(worker)
            * mean_throughput.max(per_core);
        let sent = state.recent_dispatches.count_after(self.now - window) as f64;
        let draw_key = (
            state.fingerprint ^ u64::from(self.settings.fleet.position),
            (self.now / window) as u64,
        );
        sent + 1.0 <= budget
            || sent == 0.0 && hash_pair(draw_key) as f64 / (u64::MAX as f64) < budget
    }

    /// This router's part of the number of invocations that one core runs in a window (microseconds).
    fn core_throughput(&self, window: Micros) -> f64 {
        let service = self
            .latencies
            .longest_service(&self.settings.triggers)
            .unwrap_or(window)
            .max(1);
        window as f64 / service as f64 / f64::from(self.settings.fleet.routers.max(1))
    }

    /// The fraction of its full capacity that a worker is sure to have at its age.
    pub(super) fn capacity_fraction(&self, worker: usize) -> f64 {
        let rules = &self.settings.rules;
        let progress = (self.now - self.workers[worker].started_at).max(0) as f64
            / rules.slow_start_duration.max(1) as f64;
        rules.slow_start_fraction + (1.0 - rules.slow_start_fraction) * progress.min(1.0)
    }

    /// Records a success in the mean throughput per worker. Each success is divided by the number of workers in
    /// service at that time. Otherwise, when many workers leave at once, the throughput of all of them would be
    /// attributed to the remaining ones.
    pub(super) fn record_completion(&mut self) {
        let window = self.settings.rules.overload_window.max(1) as f64;
        let in_service = self.in_service.count().max(1);
        self.completions_per_worker.add(
            self.now,
            THROUGHPUT_WINDOWS * window,
            1.0 / in_service as f64,
        );
    }
}
