//! Placement: chooses the preferred workers of a function by rendezvous hashing, and the worker for its next load.

use super::Balancer;
use super::copies::CopyTable;
use crate::interface::*;

/// Number of preferred workers of a function for each worker that its part of the work would keep busy.
const PREFERRED_PER_WORKER_OF_WORK: f64 = 2.0;
/// The number of preferred workers grows when one of them reports this many invocations in flight per lane.
const CROWDED_INVOCATIONS_PER_LANE: u32 = 2;

impl Balancer {
    /// Sets the number of preferred workers from the function's part of the work that this router has accepted. The
    /// number is a power of two, so that few routers change their first worker when it grows. This router's position
    /// determines its first preferred worker: without that, many routers would send a busy function to the same
    /// first workers.
    pub(super) fn update_placement(&mut self, function: FunctionIndex) {
        let decay_time = self.settings.loads.idle_retention.max(1) as f64;
        let work = self.service_time(&self.functions[function]).mean as f64;
        let state = &mut self.functions[function];
        let workers = self.in_service.count().max(1);
        let accepted = state.accepted.add(self.now, decay_time, 1.0);
        let all_work = self.work_accepted.add(self.now, decay_time, work);
        let wanted =
            PREFERRED_PER_WORKER_OF_WORK * workers as f64 * accepted * work / all_work.max(1.0);
        self.grow_placement(function, wanted.ceil() as usize);
    }

    /// Increases the number of preferred workers if a worker reports many invocations of the function in flight.
    /// Dispatches sent before the number last changed are ignored.
    pub(super) fn record_function_load(
        &mut self,
        function: FunctionIndex,
        in_flight: Option<u32>,
        sent_at: Micros,
    ) {
        let state = &self.functions[function];
        let overload_factor = in_flight.unwrap_or(0) / (CROWDED_INVOCATIONS_PER_LANE * state.lanes);
        if overload_factor > 0 && sent_at >= state.preferred_since {
            self.grow_placement(
                function,
                state.preferred_workers * overload_factor as usize * 2,
            );
        }
    }

    /// Raises the number of preferred workers to `wanted`, rounded up to a power of two. If this changes the router's
    /// first worker, no copy counts as loaded any longer.
    fn grow_placement(&mut self, function: FunctionIndex, wanted: usize) {
        let position = self.settings.fleet.position as usize;
        let state = &mut self.functions[function];
        let wanted = wanted
            .clamp(1, self.in_service.count().max(1))
            .next_power_of_two();
        if wanted > state.preferred_workers {
            let moved = state.preferred_workers > 0
                && position % wanted != position % state.preferred_workers;
            (state.preferred_workers, state.preferred_since) = (wanted, self.now);
            if moved {
                self.functions
                    .edit_copies(function, CopyTable::set_all_cold);
            }
        }
    }

    /// Halves the number of preferred workers after a load was needed: with too many of them, each is used too rarely
    /// to keep its copy. The number stays for at least the idle retention time after a change.
    pub(super) fn shrink_placement(&mut self, function: FunctionIndex) {
        let state = &mut self.functions[function];
        if state.preferred_workers > 1
            && self.now - state.preferred_since > self.settings.loads.idle_retention
        {
            state.preferred_workers /= 2;
            state.preferred_since = self.now;
        }
    }

    /// Chooses the worker for a new load: this router's first preferred worker, then the other preferred workers, then
    /// the rest of the rendezvous order, so that routers find each other's copies. A function has one load in progress
    /// at a time, and a worker is given no second load within the expected time of the first.
    pub(super) fn pick_load_target(&mut self, index: InvocationIndex) -> Option<usize> {
        let (invocation, function) = self.find_invocation(index)?;
        if function.loading_on(&self.workers).is_some()
            || self.now < function.no_load_before
            || !self.has_order_quota() && !self.loads_on_dispatch(index)
        {
            return None;
        }
        let (function_index, fingerprint) = (invocation.function, function.fingerprint);
        self.rankings
            .update(function_index, fingerprint, &self.in_service, &self.workers);
        let (invocation, function) = self.find_invocation(index)?;
        let fleet = &self.settings.fleet;
        let mean_load = self.mean_load();
        let ranked = self.rankings.of(function_index);
        let preferred = function.preferred_workers.min(ranked.len());
        let first = fleet.position as usize % function.preferred_workers.max(1);
        let mut candidates = (0..preferred)
            .map(|rank| (first + rank) % preferred)
            .chain(preferred..ranked.len())
            .map(|rank| ranked[rank] as usize);
        let can_load = |worker: &usize| {
            self.workers[*worker].no_load_until < self.now
                && !function.copies().is_warm(&self.workers, *worker, self.now)
                && !self.is_crowded(*worker, mean_load)
                && self.is_eligible(invocation, *worker)
        };
        let is_near = |worker: &usize| self.workers[*worker].zone == fleet.zone && can_load(worker);
        // Preferred workers in the router's own zone come first, provided that there are at least two routers for each
        // preferred worker.
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
