//! Invocations without a final answer or with dispatches in flight, and what is known of each dispatch.

use crate::interface::*;

/// What is known of a dispatch.
#[derive(Clone, Copy, PartialEq)]
pub(super) enum DispatchState {
    /// It has not ended.
    InFlight,
    /// It surely did not run.
    NotExecuted,
    /// It did not run, as the worker was full.
    Overloaded,
    /// It ran or may have run.
    Indeterminate,
}

impl DispatchState {
    /// The state that an outcome leaves.
    pub(super) fn after(outcome: DispatchOutcome) -> Self {
        match outcome {
            DispatchOutcome::Rejected => DispatchState::Overloaded,
            _ if outcome.not_executed() => DispatchState::NotExecuted,
            _ => DispatchState::Indeterminate,
        }
    }

    /// Whether it surely did not run.
    pub(super) fn not_executed(self) -> bool {
        matches!(self, DispatchState::NotExecuted | DispatchState::Overloaded)
    }
}

/// One attempt of an invocation, sent to a worker.
pub(super) struct Dispatch {
    pub(super) worker: WorkerIndex,
    pub(super) sent_at: Micros,
    pub(super) state: DispatchState,
    /// It makes the worker load the function.
    pub(super) loads_copy: bool,
}

/// An accepted invocation.
#[derive(Default)]
pub(super) struct Invocation {
    pub(super) function: FunctionIndex,
    /// Index of its [`TriggerType`].
    pub(super) trigger: usize,
    /// It is beyond its account's quota.
    pub(super) over_quota: bool,
    /// Its client leaves before the latency objective.
    pub(super) short_timeout: bool,
    /// Its work by the client's cost hint; 0 where there is none.
    pub(super) work_hint: Micros,
    /// The worker that has its session's state.
    pub(super) preferred_worker: Option<WorkerIndex>,
    pub(super) arrived_at: Micros,
    /// An answer after this is late.
    pub(super) objective_at: Micros,
    /// The client waits no longer than this.
    pub(super) client_timeout_at: Micros,
    /// It has its final answer, or its client has left.
    pub(super) answered: bool,
    /// All its dispatches, by their number.
    pub(super) dispatches: Vec<Dispatch>,
}

impl Invocation {
    /// Whether a dispatch of it is in flight.
    pub(super) fn in_flight(&self) -> bool {
        self.dispatches
            .iter()
            .any(|dispatch| dispatch.state == DispatchState::InFlight)
    }

    /// Symptom: a full worker answers at once, has the fewest in flight, and is sent the same invocation
    /// again until its dispatches are used up. Its copy is loaded all the same.
    pub(super) fn was_rejected_by(&self, worker: usize) -> bool {
        self.dispatches.iter().any(|dispatch| {
            dispatch.state == DispatchState::Overloaded && dispatch.worker as usize == worker
        })
    }
}

/// All invocations by their index.
#[derive(Default)]
pub(super) struct Invocations {
    slots: Vec<Option<Invocation>>,
}

impl Invocations {
    pub(super) fn insert(&mut self, index: InvocationIndex, invocation: Invocation) {
        if self.slots.len() <= index as usize {
            self.slots.resize_with(index as usize + 1, || None);
        }
        self.slots[index as usize] = Some(invocation);
    }

    pub(super) fn get(&self, index: InvocationIndex) -> Option<&Invocation> {
        self.slots[index as usize].as_ref()
    }

    pub(super) fn get_mut(&mut self, index: InvocationIndex) -> Option<&mut Invocation> {
        self.slots[index as usize].as_mut()
    }

    /// Removes it if it is answered and no dispatch is in flight.
    pub(super) fn take_if_finished(&mut self, index: InvocationIndex) -> Option<Invocation> {
        self.slots[index as usize]
            .take_if(|invocation| invocation.answered && !invocation.in_flight())
    }
}
