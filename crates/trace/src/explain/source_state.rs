//! What is known of one source while its records are read.

use std::collections::{HashMap, HashSet};

use cedarpulley::interface::{
    Action, Arrival, CopyStatus, DispatchEnded, DispatchOutcome, FunctionIndex, InvocationIndex,
    LoadOrderResult, Micros, WorkerIndex,
};

use crate::start::Source;

/// An invocation without an answer.
pub(super) struct OpenInvocation {
    pub trigger: u32,
    pub function: FunctionIndex,
    pub at: Micros,
    /// How long it waited before it arrived here.
    pub waited: Micros,
    /// Latency objective with the part for its own work.
    pub objective: Micros,
    /// Until its first dispatch.
    pub queued_for: Option<Micros>,
    /// The worst failed dispatch.
    pub failed: Option<(DispatchOutcome, WorkerIndex)>,
    /// The last worker it was dispatched to.
    pub dispatched_to: Option<WorkerIndex>,
}

impl OpenInvocation {
    pub fn new(of: &Source, at: Micros, arrival: &Arrival) -> OpenInvocation {
        let trigger = of.start.startup.triggers.get(arrival.trigger as usize);
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

    /// Remembers a failure, unless a worse one came before: a rejection counts only where nothing else failed.
    pub fn dispatch_ended(&mut self, ended: &DispatchEnded) {
        if let DispatchOutcome::Succeeded | DispatchOutcome::Cancelled | DispatchOutcome::NotSent =
            ended.outcome
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

/// The dispatch that brought a late answer.
pub(super) struct LastDispatch {
    pub worker: WorkerIndex,
    pub took: Micros,
    pub copy_status: CopyStatus,
}

/// Load orders of one function.
struct FunctionLoads {
    /// At how many workers an order is in flight.
    in_flight: u32,
    last_ended: Micros,
}

/// State of one source.
#[derive(Default)]
pub(super) struct SourceState {
    pub open: HashMap<InvocationIndex, OpenInvocation>,
    /// Answered late, with the time of the answer; what the last dispatch found comes with its end.
    pub late: HashMap<InvocationIndex, (OpenInvocation, Micros)>,
    pub workers: HashMap<WorkerIndex, String>,
    pub functions: HashMap<FunctionIndex, String>,
    /// Trigger types of those answered in time, until the last dispatch's end: from it the usual time is learned.
    pub in_time: HashMap<InvocationIndex, u32>,
    /// Functions for which the last load order found no capacity or failed.
    pub without_capacity: HashSet<FunctionIndex>,
    /// Load orders in flight; a query for how many copies there are ends alike, and is not among these.
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

    /// A load of its function was in flight while it was queued.
    pub fn waited_for_load(&self, open: &OpenInvocation) -> bool {
        self.loads
            .get(&open.function)
            .is_some_and(|loads| loads.in_flight > 0 || loads.last_ended >= open.at)
    }

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
