//! Placement: the preferred workers of a function, by rendezvous hashing, and where its next copy is loaded.

use super::Balancer;
use super::estimates::hash_pair;
use super::workers;
use crate::interface::*;

/// Preferred workers of a function for each worker's worth of work.
const PREFERRED_PER_WORKER_OF_WORK: f64 = 2.0;
/// More with so many invocations a lane at one of them.
const CROWDED_PER_LANE: u32 = 2;

impl Balancer {
    /// Symptom: many routers bring a busy function to the same first workers. It gets preferred workers by its part of
    /// the work accepted here, a power of two so that few move; this router's position tells which one is its first.
    pub(super) fn update_placement(&mut self, function: FunctionIndex) {
        let decay_time = self.settings.loads.idle_retention.max(1) as f64;
        let work = self.service_time(&self.functions[function as usize]).mean as f64;
        let state = &mut self.functions[function as usize];
        let workers = state.ranked_workers.len().max(1);
        let accepted = state.accepted.add(self.now, decay_time, 1.0);
        let all_work = self.work_accepted.add(self.now, decay_time, work);
        let wanted =
            PREFERRED_PER_WORKER_OF_WORK * workers as f64 * accepted * work / all_work.max(1.0);
        self.grow_placement(function, wanted.ceil() as usize);
    }

    /// A dispatch sent at `sent_at` found so many of the function in flight at its worker.
    pub(super) fn record_function_load(
        &mut self,
        function: FunctionIndex,
        in_flight: Option<u32>,
        sent_at: Micros,
    ) {
        let state = &self.functions[function as usize];
        let crowd = in_flight.unwrap_or(0) / (CROWDED_PER_LANE * state.lanes);
        if crowd > 0 && sent_at >= state.preferred_since {
            self.grow_placement(function, state.preferred_workers * crowd as usize * 2);
        }
    }

    fn grow_placement(&mut self, function: FunctionIndex, wanted: usize) {
        let position = self.settings.fleet.position as usize;
        let state = &mut self.functions[function as usize];
        let wanted = wanted
            .clamp(1, state.ranked_workers.len().max(1))
            .next_power_of_two();
        if wanted > state.preferred_workers {
            let moved = state.preferred_workers > 0
                && position % wanted != position % state.preferred_workers;
            (state.preferred_workers, state.preferred_since) = (wanted, self.now);
            if moved {
                (0..state.at_workers.len()).for_each(|worker| state.set_cold(worker));
            }
        }
    }

    /// A load was needed at a preferred worker: where there are many, none is used often enough to keep its copy.
    pub(super) fn shrink_placement(&mut self, function: FunctionIndex) {
        let state = &mut self.functions[function as usize];
        if state.preferred_workers > 1
            && self.now - state.preferred_since > self.settings.loads.idle_retention
        {
            state.preferred_workers /= 2;
            state.preferred_since = self.now;
        }
    }

    /// Sorts the workers in service by the hash order of the function: the same at every router.
    pub(super) fn rank_workers(&mut self, function: FunctionIndex) {
        let (workers, state) = (&self.workers, &mut self.functions[function as usize]);
        state.ranked_workers = workers::in_service(workers)
            .map(|worker| worker as WorkerIndex)
            .collect();
        state.ranked_workers.sort_by_cached_key(|&worker| {
            hash_pair((workers[worker as usize].fingerprint, state.fingerprint))
        });
    }

    /// Where a new load goes: this router's preferred worker, the other ones, then the shared order, so that routers
    /// find each other's copies. One load in progress per function and, for its usual time, per worker.
    pub(super) fn pick_load_target(&self, index: InvocationIndex) -> Option<usize> {
        let (invocation, function) = self.find_invocation(index)?;
        if function.loading_on.is_some()
            || self.now < function.no_load_before
            || !self.has_order_quota() && !self.loads_on_dispatch(index)
        {
            return None;
        }
        let fleet = &self.settings.fleet;
        let mean_load = self.mean_load();
        let ranked = &function.ranked_workers;
        let preferred = function.preferred_workers.min(ranked.len());
        let first = fleet.position as usize % function.preferred_workers.max(1);
        let mut candidates = (0..preferred)
            .map(|rank| (first + rank) % preferred)
            .chain(preferred..ranked.len())
            .map(|rank| ranked[rank] as usize);
        let can_load = |worker: &usize| {
            self.workers[*worker].no_load_until < self.now
                && !function.is_warm(*worker, self.now)
                && !self.is_crowded(*worker, mean_load)
                && self.is_eligible(invocation, *worker)
        };
        let is_near = |worker: &usize| self.workers[*worker].zone == fleet.zone && can_load(worker);
        // Those in its own zone first, where each preferred worker still has two routers or more.
        let zone_first = if preferred * 2 <= fleet.routers as usize {
            preferred
        } else {
            0
        };
        candidates
            .clone()
            .take(zone_first)
            .find(is_near)
            .or_else(|| candidates.find(can_load))
    }
}
