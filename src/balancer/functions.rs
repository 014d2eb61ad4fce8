//! The state that this router keeps for each function, and for each function at each worker.

use super::estimates::{DISTANT_PAST, DecayingSum, LatencyEstimate};
use crate::interface::*;

/// The state of a function at one worker.
#[derive(Clone)]
pub(super) struct FunctionWorkerState {
    /// This router's dispatches of the function in flight there.
    pub(super) in_flight: u32,
    /// A copy is expected to be loaded there until this time.
    pub(super) warm_until: Micros,
}

impl Default for FunctionWorkerState {
    fn default() -> Self {
        FunctionWorkerState {
            in_flight: 0,
            warm_until: DISTANT_PAST,
        }
    }
}

impl FunctionWorkerState {
    /// Whether a copy is expected to be loaded: its idle retention has not ended, or dispatches in flight keep it in
    /// use.
    fn is_warm(&self, now: Micros) -> bool {
        self.in_flight > 0 && self.warm_until > DISTANT_PAST || self.warm_until > now
    }
}

/// The state of a function or model.
#[derive(Default)]
pub(super) struct Function {
    /// Whether the index is in use.
    pub(super) known: bool,
    /// A hash of the function's name, the same at every router.
    pub(super) fingerprint: u64,
    /// Invocations that one copy runs at a time.
    pub(super) lanes: u32,
    /// Index of the [`TriggerType`] of its invocations.
    pub(super) trigger: usize,
    pub(super) last_used_at: Micros,
    /// Its invocations that are not finished.
    pub(super) open_invocations: u32,
    pub(super) service_time: LatencyEstimate,
    pub(super) load_time: LatencyEstimate,
    /// The workers in service, in the function's rendezvous order, which is the same at every router.
    pub(super) ranked_workers: Vec<WorkerIndex>,
    /// Number of accepted invocations, decaying with the idle retention time.
    pub(super) accepted: DecayingSum,
    /// How many of the first workers in the rendezvous order are preferred workers.
    pub(super) preferred_workers: usize,
    /// When `preferred_workers` last changed.
    pub(super) preferred_since: Micros,
    /// The worker where a load is in progress.
    pub(super) loading_on: Option<WorkerIndex>,
    /// No load of this function starts before this time.
    pub(super) no_load_before: Micros,
    pub(super) orders_in_flight: u32,
    /// The state of the function at each worker, by worker index.
    pub(super) at_workers: Vec<FunctionWorkerState>,
}

impl Function {
    /// Memory of its state, in bytes.
    pub(super) fn bytes(&self) -> usize {
        size_of::<Function>()
            + self.at_workers.capacity() * size_of::<FunctionWorkerState>()
            + self.ranked_workers.capacity() * size_of::<WorkerIndex>()
    }

    /// Extends the table of workers to this number of workers.
    pub(super) fn grow(&mut self, workers: usize) {
        self.at_workers
            .resize(workers, FunctionWorkerState::default());
    }

    /// Estimates the load time from a client's hint, unless a load has already been measured.
    pub(super) fn hint_load_time(&mut self, hint: Option<Micros>) {
        if let Some(hint) = hint.filter(|_| self.load_time.mean == 0) {
            self.load_time = LatencyEstimate::from_hint(hint);
        }
    }

    /// Whether a copy is expected to be loaded at this worker.
    pub(super) fn is_warm(&self, worker: usize, now: Micros) -> bool {
        self.at_workers[worker].is_warm(now)
    }

    /// The workers where a copy is expected to be loaded.
    pub(super) fn warm_workers(&self, now: Micros) -> impl Iterator<Item = usize> {
        (0..self.at_workers.len()).filter(move |&worker| self.is_warm(worker, now))
    }

    /// Records that a copy is expected to be loaded at this worker until `until`.
    pub(super) fn set_warm_until(&mut self, worker: usize, until: Micros) {
        self.at_workers[worker].warm_until = until;
    }

    /// Records that a copy is expected to be loaded at this worker until `until` or later.
    pub(super) fn extend_warm_until(&mut self, worker: usize, until: Micros) {
        let state = &mut self.at_workers[worker];
        state.warm_until = state.warm_until.max(until);
    }

    /// Records that no copy is expected to be loaded at this worker.
    pub(super) fn set_cold(&mut self, worker: usize) {
        self.at_workers[worker].warm_until = DISTANT_PAST;
    }

    /// Whether a load is in progress at this worker.
    pub(super) fn is_loading_on(&self, worker: usize) -> bool {
        self.loading_on
            .is_some_and(|loading| loading as usize == worker)
    }
}
