//! Loads of copies, caused by load orders or by dispatches; the quota of load orders; the loads in progress.

use super::Balancer;
use super::copies::WorkerProcess;
use super::estimates::{DISTANT_PAST, SlidingWindow};
use super::readiness::Readiness;
use crate::interface::*;

/// If a load took less than its expected time divided by this, the copy was already loaded.
pub(super) const IMMEDIATE_DIVISOR: Micros = 8;

/// Most accepted invocations that are recorded: with fewer of them the quota is smaller, so the rule is kept.
const MAX_RECORDED_INVOCATIONS: usize = 1 << 16;

/// The load orders and the accepted invocations within the quota's window.
#[derive(Default)]
pub(super) struct LoadOrderQuota {
    ordered: SlidingWindow,
    accepted: SlidingWindow,
}

impl LoadOrderQuota {
    /// Records an accepted invocation, which increases the quota.
    pub(super) fn record_accepted(&mut self, now: Micros) {
        self.accepted.record_within(now, MAX_RECORDED_INVOCATIONS);
    }

    /// Drops orders and invocations up to and including `until`.
    pub(super) fn forget_until(&mut self, until: Micros) {
        self.ordered.forget_until(until);
        self.accepted.forget_until(until);
    }

    /// Drops an order of `ordered_at` that was not sent: only orders that reach a worker count.
    fn forget_order(&mut self, ordered_at: Micros) {
        self.ordered.forget_one_at(ordered_at);
    }

    /// Rule 5: whether one more order is within the quota.
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
    /// Rule 5: whether one more order is within the quota.
    pub(super) fn has_order_quota(&self) -> bool {
        self.order_quota
            .allows_one_more(self.now, &self.settings.loads)
    }

    /// Whether the next load for this invocation is caused by a dispatch and needs no order. This is so if orders are
    /// not allowed, or if no worker is expected to have a copy and workers load functions on demand. Otherwise, with
    /// hundreds of routers, each router would order a copy of every function new to it, and nearly all of these
    /// copies are already loaded.
    pub(super) fn loads_on_dispatch(&self, index: InvocationIndex) -> bool {
        let loads = &self.settings.loads;
        !loads.load_orders || loads.loads_when_absent && !self.has_warm_worker(index)
    }

    /// Starts a load at the worker. If the load is ordered, the invocation is not dispatched with it and takes the
    /// first lane that becomes free, at any worker.
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

    /// Orders one copy of the function at the worker.
    fn order_copy(&mut self, worker: usize, function: FunctionIndex, out: &mut Vec<Action>) {
        self.order_quota.ordered.record(self.now);
        out.push(Action::LoadOrder {
            worker: worker as WorkerIndex,
            function,
            copies: 1,
        });
        self.functions.order_sent(function);
        let (process, now) = (self.process_of(worker), self.now);
        let warm_until = now + self.settings.loads.idle_retention;
        self.functions.edit_copies(function, |copies| {
            copies.set_warm_until(process, now, warm_until);
        });
    }

    /// Handles a request for a copy that no invocation needs yet, as from the plan of an upgrade. Such a load is
    /// subject to the same conditions as any other load, so that it neither exceeds the quota nor goes to a crowded
    /// worker; if they are not met, it is skipped. A copy that is already loaded is ordered again to renew its idle
    /// retention.
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
        self.functions.register(info, self.now);
        let function = &self.functions[info.function];
        let is_warm = function.copies().is_warm(&self.workers, worker, self.now);
        let can_load = function.loading_on(&self.workers).is_none()
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

    /// Handles a worker's report of its loaded copies. Only such reports reveal evicted copies and copies loaded by
    /// other routers. Queued invocations of the function are retried: they use a reported copy or start a new load.
    pub(super) fn on_copies_reported(
        &mut self,
        worker: usize,
        function: FunctionIndex,
        copies: u32,
        out: &mut Vec<Action>,
    ) {
        let state = self
            .functions
            .get(function)
            .filter(|_| worker < self.workers.len());
        if state.is_none_or(|state| state.is_loading_on(&self.workers, worker)) {
            return;
        }
        match copies {
            0 => self.set_cold(function, worker),
            _ => self.extend_warm(function, worker),
        }
        self.retry_queued(Some(function), out);
    }

    /// The worker's present process.
    pub(super) fn process_of(&self, worker: usize) -> WorkerProcess {
        WorkerProcess {
            worker: worker as WorkerIndex,
            incarnation: self.workers[worker].incarnation,
        }
    }

    /// Records that a copy of the function is loaded at the worker now.
    fn extend_warm(&mut self, function: FunctionIndex, worker: usize) {
        let (process, now) = (self.process_of(worker), self.now);
        let warm_until = now + self.settings.loads.idle_retention;
        self.functions.edit_copies(function, |copies| {
            copies.extend_warm_until(process, now, warm_until);
        });
    }

    /// Records that no copy of the function is expected to be loaded at the worker.
    pub(super) fn set_cold(&mut self, function: FunctionIndex, worker: usize) {
        self.functions
            .edit_copies(function, |copies| copies.set_cold(worker));
    }

    /// Records that a load of this function has started at the worker.
    pub(super) fn load_started(&mut self, function: FunctionIndex, worker: usize) {
        let expected_load_time = self.load_time(&self.functions[function]).mean;
        self.functions[function].loading = Some(self.process_of(worker));
        self.workers[worker].no_load_until = self.now + expected_load_time;
    }

    /// Records the end of the load of this function at the worker; false if none was in progress.
    pub(super) fn load_finished(&mut self, function: FunctionIndex, worker: usize) -> bool {
        let state = &mut self.functions[function];
        let was_loading = state.is_loading_on(&self.workers, worker);
        if was_loading {
            state.loading = None;
            self.workers[worker].no_load_until = DISTANT_PAST;
        }
        was_loading
    }

    /// Records that a load of the function took `took`.
    pub(super) fn record_load(&mut self, function: FunctionIndex, took: Micros) {
        self.latencies
            .record_load(&mut self.functions[function], took);
        self.shrink_placement(function);
    }

    /// Delays the next load of the function after a failed one; the failed load and the delay last the expected load
    /// time together. Without the delay, a function that no worker can load fails at one worker after the other, and
    /// if each of them then counts as an outlier, no worker is left for other loads.
    pub(super) fn delay_loads(&mut self, function: FunctionIndex, took: Micros) {
        let expected_load_time = self.load_time(&self.functions[function]).mean;
        self.functions[function].no_load_before = self.now + expected_load_time - took;
    }

    /// Delays the next load at a worker that could not be reached, for as long as a connection may take to fail. A worker
    /// that refuses connections fails at once. Without the delay it would be sent one order after the other until it is
    /// an outlier, which a worker that has recently answered invocations does not become by failed orders.
    fn delay_order_after_failure(&mut self, worker: usize) {
        self.workers[worker].no_load_until = self.now + self.settings.limits.connect_timeout;
    }

    /// Handles an order that was not sent. It tells nothing about the worker, and the next tick retries the load: an order
    /// given here could end in the same way, in an endless loop.
    fn on_order_not_sent(&mut self, ended: &OrderEnded) {
        self.order_quota.forget_order(self.now - ended.took);
        if self.functions.get(ended.function).is_none() {
            return;
        }
        self.functions.order_ended(ended.function);
        if self.load_finished(ended.function, ended.worker) {
            self.set_cold(ended.function, ended.worker);
        }
    }

    /// Handles the end of a load order.
    pub(super) fn on_order_ended(&mut self, ended: &OrderEnded, out: &mut Vec<Action>) {
        let &OrderEnded {
            worker,
            function,
            result,
            took,
            copies,
        } = ended;
        if result == LoadOrderResult::NotSent {
            return self.on_order_not_sent(ended);
        }
        let Some(state) = self.functions.get(function) else {
            return;
        };
        let expected_load_time = self.load_time(state).mean;
        let was_loading = self.load_finished(function, worker);
        self.functions.order_ended(function);
        let answered = matches!(
            result,
            LoadOrderResult::Loaded | LoadOrderResult::NoCapacity
        );
        if answered && copies > 0 {
            self.extend_warm(function, worker);
            // If the order ended sooner than a load could take, the copy was already loaded.
            if was_loading && took > expected_load_time / IMMEDIATE_DIVISOR {
                self.record_load(function, took);
            }
        } else if result != LoadOrderResult::Loaded
            || self.functions[function].copies().in_flight(worker) == 0
        {
            self.set_cold(function, worker);
        }
        match result {
            LoadOrderResult::Loaded if copies > 0 => {}
            LoadOrderResult::NotSent => {}
            // A worker without capacity for the copy, or without the copy that it reports as loaded, answers at once.
            // Without this pause of the expected load time, it would be sent the next order at once.
            LoadOrderResult::Loaded | LoadOrderResult::NoCapacity => {
                self.workers[worker].no_load_until = self.now + expected_load_time;
            }
            LoadOrderResult::LoadFailed => self.delay_loads(function, took),
            LoadOrderResult::ConnectionLost | LoadOrderResult::Unreachable => {
                self.outliers.record_order_failure(worker, self.now);
                self.delay_order_after_failure(worker);
            }
            LoadOrderResult::TimedOut => self.outliers.record_order_failure(worker, self.now),
        }
        self.retry_queued(Some(function), out);
    }
}
