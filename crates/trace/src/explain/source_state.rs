//! State of one source while its records are read.

use std::collections::{HashMap, HashSet};

use cedarpulley::interface::{
    Action, Arrival, CopyStatus, DispatchEnded, DispatchOutcome, FunctionIndex, InvocationIndex,
    LoadOrderResult, Micros, WorkerIndex,
};

use crate::start::Source;

/// An invocation that has not been answered.
pub(super) struct OpenInvocation {
    pub trigger: u32,
    pub function: FunctionIndex,
    /// Router time of its arrival.
    pub at: Micros,
    /// Time that the invocation had waited before it arrived at the router.
    pub waited: Micros,
    /// Latency objective, including the part that depends on the invocation's own work.
    pub objective: Micros,
    /// Time from its arrival to its first dispatch; absent before that.
    pub queued_for: Option<Micros>,
    /// The most severe failure of a dispatch, and its worker.
    pub failed: Option<(DispatchOutcome, WorkerIndex)>,
    /// The worker of the last dispatch.
    pub dispatched_to: Option<WorkerIndex>,
}

impl OpenInvocation {
    pub fn new(source: &Source, at: Micros, arrival: &Arrival) -> OpenInvocation {
        let trigger = source.start.startup.triggers.get(arrival.trigger as usize);
        let objective = trigger.map_or(Micros::MAX, |t| {
            let work = arrival.cost_hint.unwrap_or(0) as f64 * t.objective_work_multiple;
            t.latency_objective.saturating_add(work as Micros)
        });
        OpenInvocation {
            trigger: arrival.trigger,
            function: arrival.function,
            at,
            waited: arrival.waited,
            objective,
            queued_for: None,
            failed: None,
            dispatched_to: None,
        }
    }

    /// Records a failed dispatch unless a more severe failure is recorded: a dispatch that was not executed, for
    /// example because it was rejected, counts only if no other dispatch failed.
    pub fn dispatch_ended(&mut self, ended: &DispatchEnded) {
        if let DispatchOutcome::Succeeded
        | DispatchOutcome::Cancelled
        | DispatchOutcome::NotSent
        | DispatchOutcome::NoConnection = ended.outcome
        {
            return;
        }
        let worse = self
            .failed
            .is_none_or(|(previous, _)| previous.not_executed() && !ended.outcome.not_executed());
        if worse {
            self.failed = Some((ended.outcome, ended.worker));
        }
    }
}

/// The dispatch that resulted in a late answer.
pub(super) struct LastDispatch {
    pub worker: WorkerIndex,
    pub took: Micros,
    pub copy_status: CopyStatus,
}

/// Load orders of one function.
struct FunctionLoads {
    /// Number of workers at which an order is in flight.
    in_flight: u32,
    /// Router time at which the last order ended.
    last_ended: Micros,
}

/// State of one source.
#[derive(Default)]
pub(super) struct SourceState {
    pub open: HashMap<InvocationIndex, OpenInvocation>,
    /// Invocations that were answered late, with the router time of the answer. They are kept until the end of the last
    /// dispatch, which reports the status of the copy.
    pub late: HashMap<InvocationIndex, (OpenInvocation, Micros)>,
    pub workers: HashMap<WorkerIndex, String>,
    pub functions: HashMap<FunctionIndex, String>,
    /// Trigger types of invocations that were answered in time, kept until the end of the last dispatch, from which the
    /// usual time is learned.
    pub in_time: HashMap<InvocationIndex, u32>,
    /// Functions for which the last load order found no capacity or failed.
    pub without_capacity: HashSet<FunctionIndex>,
    /// Load orders in flight. Queries of the number of copies are not included, although they end with the same event.
    orders: HashSet<(WorkerIndex, FunctionIndex)>,
    loads: HashMap<FunctionIndex, FunctionLoads>,
}

impl SourceState {
    pub fn worker(&self, index: WorkerIndex) -> String {
        name_or_number(&self.workers, index)
    }

    pub fn function(&self, index: FunctionIndex) -> String {
        name_or_number(&self.functions, index)
    }

    /// Whether a load of the invocation's function was in flight while it was queued.
    pub fn waited_for_load(&self, open: &OpenInvocation) -> bool {
        self.loads
            .get(&open.function)
            .is_some_and(|loads| loads.in_flight > 0 || loads.last_ended >= open.at)
    }

    /// Updates the state with an action of the router.
    pub fn action(&mut self, at: Micros, action: &Action) {
        match *action {
            Action::Dispatch {
                invocation, worker, ..
            } => {
                if let Some(open) = self.open.get_mut(&invocation) {
                    open.queued_for.get_or_insert(at - open.at);
                    open.dispatched_to = Some(worker);
                }
            }
            Action::LoadOrder {
                worker,
                function,
                copies: 1..,
            } if self.orders.insert((worker, function)) => {
                let loads = self.loads.entry(function).or_insert(FunctionLoads {
                    in_flight: 0,
                    last_ended: Micros::MIN,
                });
                loads.in_flight += 1;
            }
            _ => {}
        }
    }

    /// Updates the state with the end of a load order or of a query of the number of copies.
    pub fn order_ended(
        &mut self,
        at: Micros,
        worker: WorkerIndex,
        function: FunctionIndex,
        result: LoadOrderResult,
    ) {
        if self.orders.remove(&(worker, function))
            && let Some(loads) = self.loads.get_mut(&function)
        {
            loads.in_flight = loads.in_flight.saturating_sub(1);
            loads.last_ended = at;
        }
        match result {
            LoadOrderResult::Loaded => {
                self.without_capacity.remove(&function);
            }
            LoadOrderResult::NoCapacity | LoadOrderResult::LoadFailed => {
                self.without_capacity.insert(function);
            }
            _ => {}
        }
    }
}

fn name_or_number(names: &HashMap<u32, String>, index: u32) -> String {
    names
        .get(&index)
        .cloned()
        .unwrap_or_else(|| index.to_string())
}
