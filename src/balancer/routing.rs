//! The ordinary path of an invocation, after Saarthi's adaptive request balancer (docs/design.md).

use super::Balancer;
use crate::interface::*;

/// When all warm lanes are busy, one invocation in this many loads another copy (20% in the Saarthi paper).
const EXPLORE_ONE_IN: u64 = 5;

impl Balancer {
    /// Decides what happens to an invocation that has no dispatch in flight: it is answered, dispatched or queued.
    pub(super) fn route(&mut self, index: InvocationIndex, out: &mut Vec<Action>) {
        let Some((invocation, function)) = self.find_invocation(index) else {
            return;
        };
        if self.refuses_new_work() {
            return self.answer_without_success(index, out);
        }
        let first_attempt = invocation.dispatches.is_empty();
        // Attempts with too little time for the work would fill the workers with invocations whose clients no longer
        // wait. Under pressure, work that is beyond an account's quota or too late for its objective would displace
        // work that is within its quota and in time.
        let (now, service) = (self.now, self.service_time(function).mean);
        let late = invocation.objective_at - now <= service;
        if invocation.client_timeout_at - now <= service
            || self.cost_exceeds_value(invocation, late)
        {
            return self.answer_without_success(index, out);
        }
        // First choice: a warm worker with a free lane.
        if let Some(worker) = self.pick_free_lane(index) {
            return self.dispatch(index, worker, false, out);
        }
        // Without a warm worker a copy is loaded at once, within the quota of load orders. If all lanes are busy, one
        // invocation in five loads a further copy.
        let is_warm = self.has_warm_worker(index);
        let explores = first_attempt
            && self.load_shedder.allows_exploration()
            && self.draws.draw().is_multiple_of(EXPLORE_ONE_IN);
        if (!is_warm || explores)
            && let Some(worker) = self.pick_load_target(index)
        {
            self.begin_load(index, worker, out);
            if self
                .find_invocation(index)
                .is_none_or(|(invocation, _)| invocation.in_flight())
            {
                return;
            }
        }
        // Otherwise the invocation waits for a lane while the queue has room.
        if self.queue_has_room(index) {
            return self.enqueue(index);
        }
        // If the queue is full, the invocation goes to the least busy warm worker.
        match self.pick_least_busy(index) {
            Some(worker) => self.dispatch(index, worker, false, out),
            None => self.enqueue(index),
        }
    }

    /// Picks a warm worker with a free lane: the one with the session's state, else one of those with the fewest of
    /// this router's dispatches in flight, chosen by a pseudo-random draw. A draw is made even if it is not needed.
    pub(super) fn pick_free_lane(&mut self, index: InvocationIndex) -> Option<usize> {
        let draw = self.draws.draw();
        let (invocation, function) = self.find_invocation(index)?;
        let mean_load = self.mean_load();
        let has_free_lane = |worker: &usize| {
            let loading =
                self.settings.loads.load_orders && function.is_loading_on(&self.workers, *worker);
            !loading
                && function.copies().in_flight(*worker) < function.lanes
                && !self.is_crowded(*worker, mean_load)
                && !invocation.was_rejected_by(*worker)
                && self.is_eligible(invocation, *worker)
        };
        let warm = function.copies().warm_workers(&self.workers, self.now);
        let mut candidates: Vec<usize> = warm.filter(has_free_lane).collect();
        // At another worker, the session's state would have to be rebuilt.
        let preferred = invocation.preferred_worker.map(|worker| worker as usize);
        if let Some(worker) = preferred.filter(|worker| candidates.contains(worker)) {
            return Some(worker);
        }
        let best_readiness = candidates.iter().map(|&worker| self.readiness_of(worker));
        let best_readiness = best_readiness.min()?;
        candidates.retain(|&worker| self.readiness_of(worker) == best_readiness);
        let in_flight = |worker: usize| self.outliers.in_flight(worker);
        let fewest = candidates.iter().copied().map(in_flight).min()?;
        candidates.retain(|&worker| in_flight(worker) == fewest);
        Some(candidates[(draw % candidates.len() as u64) as usize])
    }

    /// Whether an eligible worker is expected to have a copy, busy or not.
    pub(super) fn has_warm_worker(&self, index: InvocationIndex) -> bool {
        self.find_invocation(index)
            .is_some_and(|(invocation, function)| {
                function
                    .copies()
                    .warm_workers(&self.workers, self.now)
                    .any(|worker| self.is_eligible(invocation, worker))
            })
    }

    /// Picks the warm worker with the fewest of this router's dispatches of the function in flight, among those below
    /// their concurrency limit.
    fn pick_least_busy(&self, index: InvocationIndex) -> Option<usize> {
        let (invocation, function) = self.find_invocation(index)?;
        function
            .copies()
            .warm_workers(&self.workers, self.now)
            .filter(|&worker| {
                !self.concurrency_limit_reached(worker)
                    && !invocation.was_rejected_by(worker)
                    && self.is_eligible(invocation, worker)
            })
            .min_by_key(|&worker| {
                let in_flight = function.copies().in_flight(worker);
                (self.readiness_of(worker), in_flight)
            })
    }
}
