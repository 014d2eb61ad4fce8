//! The state of unfinished invocations (those without a final answer or with dispatches in flight) and of their
//! dispatches.

use super::deduplication::KeyRecord;
use crate::interface::*;

/// The state of a dispatch.
#[derive(Clone, Copy, PartialEq)]
pub(super) enum DispatchState {
    /// It has not ended.
    InFlight,
    /// It certainly did not run.
    NotExecuted,
    /// It did not run because the worker rejected it for lack of capacity.
    Overloaded,
    /// It did not run because this router had no connection for it.
    NoConnection,
    /// It ran or may have run, and its worker has answered.
    Indeterminate,
    /// It may have run, and its worker has not answered: the process there may have gone since.
    Lost,
}

impl DispatchState {
    /// The state of a dispatch that ended with this outcome.
    pub(super) fn after(outcome: DispatchOutcome) -> Self {
        match outcome {
            DispatchOutcome::Rejected => DispatchState::Overloaded,
            DispatchOutcome::NoConnection => DispatchState::NoConnection,
            _ if outcome.not_executed() => DispatchState::NotExecuted,
            DispatchOutcome::ConnectionLost | DispatchOutcome::TimedOut => DispatchState::Lost,
            _ => DispatchState::Indeterminate,
        }
    }

    /// Whether the dispatch certainly did not run.
    pub(super) fn not_executed(self) -> bool {
        matches!(
            self,
            DispatchState::NotExecuted | DispatchState::Overloaded | DispatchState::NoConnection
        )
    }
}

/// One attempt of an invocation, sent to a worker.
pub(super) struct Dispatch {
    pub(super) worker: WorkerIndex,
    pub(super) sent_at: Micros,
    pub(super) state: DispatchState,
    /// The record of idempotency keys of its worker when it was sent.
    pub(super) key_record: KeyRecord,
    /// Whether the dispatch makes the worker load the function.
    pub(super) loads_copy: bool,
}

/// An accepted invocation.
#[derive(Default)]
pub(super) struct Invocation {
    pub(super) function: FunctionIndex,
    /// Index of its [`TriggerType`].
    pub(super) trigger: usize,
    /// Whether it is beyond its account's quota.
    pub(super) over_quota: bool,
    /// Whether its client's timeout is shorter than the latency objective.
    pub(super) short_timeout: bool,
    /// The expected work according to the client's cost hint; 0 if there is no hint.
    pub(super) work_hint: Micros,
    /// The worker that has the state of the invocation's session.
    pub(super) preferred_worker: Option<WorkerIndex>,
    pub(super) arrived_at: Micros,
    /// An answer after this is late.
    pub(super) objective_at: Micros,
    /// When the client stops waiting.
    pub(super) client_timeout_at: Micros,
    /// Whether it has its final answer or its client has left.
    pub(super) answered: bool,
    /// All its dispatches, by their number.
    pub(super) dispatches: Vec<Dispatch>,
    /// While it is queued, the earliest time of its next dispatch or load.
    pub(super) retry_from: Micros,
}

impl Invocation {
    /// Whether a dispatch of the invocation is in flight.
    pub(super) fn in_flight(&self) -> bool {
        self.dispatches
            .iter()
            .any(|dispatch| dispatch.state == DispatchState::InFlight)
    }

    /// Number of dispatches that this router had a connection for.
    pub(super) fn attempts(&self) -> u32 {
        self.dispatches.len() as u32 - self.dispatches_without_connection()
    }

    /// Number of dispatches that this router had no connection for.
    pub(super) fn dispatches_without_connection(&self) -> u32 {
        let dispatches = self.dispatches.iter();
        dispatches
            .filter(|dispatch| dispatch.state == DispatchState::NoConnection)
            .count() as u32
    }

    /// Whether this worker has rejected the invocation for lack of capacity. Without this check, a full worker, which
    /// rejects at once and so has the fewest dispatches in flight, is sent the same invocation again until its
    /// dispatches are used up. The worker's copy still counts as loaded.
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
    /// Stores an invocation under this index.
    pub(super) fn insert(&mut self, index: InvocationIndex, invocation: Invocation) {
        if self.slots.len() <= index as usize {
            self.slots.resize_with(index as usize + 1, || None);
        }
        self.slots[index as usize] = Some(invocation);
    }

    /// The number of invocations, and the memory of the table in bytes.
    pub(super) fn size(&self) -> (usize, usize) {
        let dispatches = |invocation: &Invocation| invocation.dispatches.capacity();
        let dispatches: usize = self.slots.iter().flatten().map(dispatches).sum();
        let bytes = self.slots.capacity() * size_of::<Option<Invocation>>();
        (
            self.slots.iter().flatten().count(),
            bytes + dispatches * size_of::<Dispatch>(),
        )
    }

    /// Returns the invocation with this index, unless it has been removed.
    pub(super) fn get(&self, index: InvocationIndex) -> Option<&Invocation> {
        self.slots[index as usize].as_ref()
    }

    /// Returns the invocation with this index for changes, unless it has been removed.
    pub(super) fn get_mut(&mut self, index: InvocationIndex) -> Option<&mut Invocation> {
        self.slots[index as usize].as_mut()
    }

    /// Removes and returns the invocation if it is answered and has no dispatch in flight.
    pub(super) fn take_if_finished(&mut self, index: InvocationIndex) -> Option<Invocation> {
        self.slots[index as usize]
            .take_if(|invocation| invocation.answered && !invocation.in_flight())
    }
}
