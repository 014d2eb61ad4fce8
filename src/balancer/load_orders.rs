//! Loads of copies: by order or by dispatch, the quota of orders, and the loads in progress.

use super::Balancer;
use super::estimates::{DISTANT_PAST, SlidingWindow};
use super::readiness::Readiness;
use crate::interface::*;

/// A load that took less than this part of its usual time found the copy loaded.
pub(super) const IMMEDIATE_DIVISOR: Micros = 8;

/// The load orders and the invocations accepted within the window of the quota.
#[derive(Default)]
pub(super) struct LoadOrderQuota {
    ordered: SlidingWindow,
    accepted: SlidingWindow,
}

impl LoadOrderQuota {
    pub(super) fn record_accepted(&mut self, now: Micros) {
        self.accepted.record(now);
    }

    pub(super) fn forget_until(&mut self, until: Micros) {
        self.ordered.forget_until(until);
        self.accepted.forget_until(until);
    }

    /// Rule 5: one more order is within the quota of its window.
    fn allows_one_more(&self, now: Micros, loads: &LoadSettings) -> bool {
        let since = now - loads.order_quota_window;
        let accepted = self.accepted.count_after(since) as f64;
        loads.order_quota_window <= 0
            || self.ordered.count_after(since) as f64 + 1.0
                <= loads.order_quota_base + loads.order_quota_per_invocation * accepted
    }
}

/// The end of a load order.
pub(super) struct OrderEnded {
    pub(super) worker: usize,
    pub(super) function: FunctionIndex,
    pub(super) result: LoadOrderResult,
    pub(super) took: Micros,
    /// Copies loaded at the worker now.
    pub(super) copies: u32,
}

impl Balancer {
    /// Rule 5: one more order is within the quota.
    pub(super) fn has_order_quota(&self) -> bool {
        self.order_quota
            .allows_one_more(self.now, &self.settings.loads)
    }

    /// Symptom: of hundreds of routers each orders a copy that is loaded already, for each function it meets.
    /// With no copy known and workers that load by themselves, the invocation goes there without an order.
    pub(super) fn loads_on_dispatch(&self, index: InvocationIndex) -> bool {
        let loads = &self.settings.loads;
        !loads.load_orders || loads.loads_when_absent && !self.has_warm_worker(index)
    }

    /// Begins a load; where it is ordered the invocation stays, for whichever lane is free first.
    pub(super) fn begin_load(
        &mut self,
        index: InvocationIndex,
        worker: usize,
        out: &mut Vec<Action>,
    ) {
        if self.readiness_of(worker) != Readiness::Ready {
            self.await_readiness(index, worker, out);
        } else if self.loads_on_dispatch(index) {
            self.dispatch(index, worker, true, out);
        } else if let Some((invocation, _)) = self.find_invocation(index) {
            let function = invocation.function;
            self.load_started(function, worker);
            self.order_copy(worker, function, out);
        }
    }

    fn order_copy(&mut self, worker: usize, function: FunctionIndex, out: &mut Vec<Action>) {
        self.order_quota.ordered.record(self.now);
        out.push(Action::LoadOrder {
            worker: worker as WorkerIndex,
            function,
            copies: 1,
        });
        let state = &mut self.functions[function as usize];
        state.orders_in_flight += 1;
        state.set_warm_until(worker, self.now + self.settings.loads.idle_retention);
    }

    /// Symptom: an upgrade's plan loads beside the invocations, beyond the quota, onto crowded workers. What
    /// it wants is ordered as any other load, or not at all; a copy that is loaded there is renewed.
    pub(super) fn on_copy_wanted(
        &mut self,
        worker: usize,
        info: &FunctionInfo,
        out: &mut Vec<Action>,
    ) {
        if !self.settings.loads.load_orders
            || worker >= self.workers.len()
            || !self.accepts_new_work(worker)
        {
            return;
        }
        if self.readiness_of(worker) != Readiness::Ready {
            return self.check_readiness(worker, out);
        }
        self.register_function(info);
        let function = &self.functions[info.function as usize];
        let is_warm = function.is_warm(worker, self.now);
        let can_load = function.loading_on.is_none()
            && self.now >= function.no_load_before
            && self.workers[worker].no_load_until < self.now;
        let has_capacity = can_load && !self.is_crowded(worker, self.mean_load());
        if (is_warm || has_capacity) && self.has_order_quota() {
            if !is_warm {
                self.load_started(info.function, worker);
            }
            self.order_copy(worker, info.function, out);
        }
    }

    /// Symptom: a copy was evicted, or another router loaded one; no event here tells of either. What waits
    /// leaves for a copy that is there, and loads one anew where none is.
    pub(super) fn on_copies_reported(
        &mut self,
        worker: usize,
        function: FunctionIndex,
        copies: u32,
        out: &mut Vec<Action>,
    ) {
        let warm_until = self.now + self.settings.loads.idle_retention;
        let state = self
            .functions
            .get_mut(function as usize)
            .filter(|state| state.known && worker < state.at_workers.len());
        let Some(state) = state.filter(|state| !state.is_loading_on(worker)) else {
            return;
        };
        match copies {
            0 => state.set_cold(worker),
            _ => state.extend_warm_until(worker, warm_until),
        }
        self.retry_queued(Some(function), out);
    }

    /// A load of this function there is in progress.
    pub(super) fn load_started(&mut self, function: FunctionIndex, worker: usize) {
        let usual = self.load_time(&self.functions[function as usize]).mean;
        self.functions[function as usize].loading_on = Some(worker as WorkerIndex);
        self.workers[worker].no_load_until = self.now + usual;
    }

    /// The load of this function there, if one was in progress, is over; true if so.
    pub(super) fn load_finished(&mut self, function: FunctionIndex, worker: usize) -> bool {
        let state = &mut self.functions[function as usize];
        let was_loading = state.is_loading_on(worker);
        if was_loading {
            state.loading_on = None;
            self.workers[worker].no_load_until = DISTANT_PAST;
        }
        was_loading
    }

    /// A load of the function took so long.
    pub(super) fn record_load(&mut self, function: FunctionIndex, took: Micros) {
        self.latencies
            .record_load(&mut self.functions[function as usize], took);
        self.shrink_placement(function);
    }

    /// Symptom: a function that nobody can load fails at once on one worker after the other, and with each of
    /// them an outlier none is left for other loads. It waits itself, a load's usual time in all.
    pub(super) fn delay_loads(&mut self, function: FunctionIndex, took: Micros) {
        let usual = self.load_time(&self.functions[function as usize]).mean;
        self.functions[function as usize].no_load_before = self.now + usual - took;
    }

    /// A load order ended.
    pub(super) fn on_order_ended(&mut self, ended: &OrderEnded, out: &mut Vec<Action>) {
        let &OrderEnded {
            worker,
            function,
            result,
            took,
            copies,
        } = ended;
        if !self.functions[function as usize].known {
            return;
        }
        let usual = self.load_time(&self.functions[function as usize]).mean;
        let was_loading = self.load_finished(function, worker);
        let state = &mut self.functions[function as usize];
        state.orders_in_flight = state.orders_in_flight.saturating_sub(1);
        let answered = matches!(
            result,
            LoadOrderResult::Loaded | LoadOrderResult::NoCapacity
        );
        if answered && copies > 0 {
            state.extend_warm_until(worker, self.now + self.settings.loads.idle_retention);
            // One answered at once found the copy loaded.
            if was_loading && took > usual / IMMEDIATE_DIVISOR {
                self.record_load(function, took);
            }
        } else if result != LoadOrderResult::Loaded || state.at_workers[worker].in_flight == 0 {
            state.set_cold(worker);
        }
        match result {
            LoadOrderResult::Loaded => {}
            // Symptom: a worker without capacity for a copy says so at once and is asked again at once. It takes
            // no load from here for a load's usual time.
            LoadOrderResult::NoCapacity => {
                self.workers[worker].no_load_until = self.now + usual;
            }
            LoadOrderResult::LoadFailed => self.delay_loads(function, took),
            LoadOrderResult::ConnectionLost
            | LoadOrderResult::Unreachable
            | LoadOrderResult::TimedOut => self.outliers.record_order_failure(worker, self.now),
        }
        self.retry_queued(Some(function), out);
    }
}
