//! The queue of invocations that wait for a lane.

use std::collections::BTreeMap;
use std::collections::btree_map::Entry;

use super::Balancer;
use crate::interface::*;

/// The queued invocations of each function, in the order in which they were queued.
#[derive(Default)]
pub(super) struct WaitingQueue {
    /// The functions that have queued invocations.
    by_function: BTreeMap<FunctionIndex, Vec<InvocationIndex>>,
    /// Number of queued invocations of all functions.
    waiting: u32,
}

impl WaitingQueue {
    /// Appends an invocation, unless it is queued already.
    fn push(&mut self, function: FunctionIndex, invocation: InvocationIndex) {
        let queue = self.by_function.entry(function).or_default();
        if !queue.contains(&invocation) {
            queue.push(invocation);
            self.waiting += 1;
        }
    }

    /// Removes an invocation if it is queued.
    fn remove(&mut self, function: FunctionIndex, invocation: InvocationIndex) {
        if let Entry::Occupied(mut queue) = self.by_function.entry(function) {
            let waiting = queue.get_mut();
            let removed = waiting.extract_if(.., |waiting| *waiting == invocation);
            self.waiting -= removed.count() as u32;
            if waiting.is_empty() {
                queue.remove();
            }
        }
    }

    /// The queued invocations of a function.
    pub(super) fn of(&self, function: FunctionIndex) -> &[InvocationIndex] {
        self.by_function.get(&function).map_or(&[], Vec::as_slice)
    }

    /// The queued invocations of all functions.
    fn all(&self) -> impl Iterator<Item = InvocationIndex> {
        self.by_function.values().flatten().copied()
    }

    /// Whether no invocation is queued.
    pub(super) fn is_empty(&self) -> bool {
        self.waiting == 0
    }
}

impl Balancer {
    /// Whether the invocation, if queued, is expected to leave the queue in time to meet its latency objective.
    pub(super) fn queue_has_room(&self, index: InvocationIndex) -> bool {
        let Some((invocation, function)) = self.find_invocation(index) else {
            return false;
        };
        let service = self.service_time(function).mean.max(1);
        let warm = function.copies().warm_workers(&self.workers, self.now);
        let copies = warm.count() as Micros;
        let waiting = self.queue.of(invocation.function).len() as Micros;
        let wait = waiting * service / (copies * Micros::from(function.lanes)).max(1);
        wait < (invocation.objective_at - self.now - service).max(0)
    }

    /// Queues the invocation until a lane is free or a health check ends. An invocation that is already queued keeps
    /// its place.
    pub(super) fn enqueue(&mut self, index: InvocationIndex) {
        if let Some(invocation) = self.invocations.get(index) {
            self.queue.push(invocation.function, index);
        }
    }

    /// Removes the invocation from the queue.
    pub(super) fn dequeue(&mut self, index: InvocationIndex) {
        if let Some(invocation) = self.invocations.get(index) {
            self.queue.remove(invocation.function, index);
        }
    }

    /// Retries the queued invocations of the function `only`, or of all functions, in descending order of value and
    /// then by age.
    pub(super) fn retry_queued(&mut self, only: Option<FunctionIndex>, out: &mut Vec<Action>) {
        let mut waiting: Vec<InvocationIndex> = match only {
            Some(function) => self.queue.of(function).to_vec(),
            None => self.queue.all().collect(),
        };
        waiting.sort_by_cached_key(|&index| {
            self.find_invocation(index)
                .map_or((0, 0, index), |(invocation, _)| {
                    let priority = self.queue_priority(invocation);
                    (-priority, invocation.arrived_at, index)
                })
        });
        for index in waiting {
            self.retry_one_queued(index, out);
        }
    }

    /// Answers a queued invocation if its time has run out or all new work is refused; otherwise dispatches it or starts
    /// a load if possible.
    fn retry_one_queued(&mut self, index: InvocationIndex, out: &mut Vec<Action>) {
        let Some((invocation, function)) = self.find_invocation(index) else {
            return;
        };
        let service = self.service_time(function);
        // Under pressure, an invocation that can only be answered late displaces one that could be answered in time.
        // It is therefore kept only until its latency objective, not until its client's timeout.
        let ends_at = match self.cost_exceeds_value(invocation, true) {
            true if self.load_shedder.is_overloaded() => {
                invocation.objective_at - service.deviation
            }
            true => invocation.objective_at,
            false => invocation.client_timeout_at,
        };
        if ends_at - self.now <= service.mean || self.refuses_new_work() {
            self.answer_without_success(index, out);
        } else if self.now < invocation.retry_from {
            // It waits for a connection of this router.
        } else if let Some(worker) = self.pick_free_lane(index) {
            self.dispatch(index, worker, false, out);
        } else if !self.has_warm_worker(index)
            && let Some(worker) = self.pick_load_target(index)
        {
            self.begin_load(index, worker, out);
        }
    }
}
