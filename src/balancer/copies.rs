//! The copies of one function: where this router expects one, and its dispatches in flight there.
//!
//! Only workers with a copy or with a dispatch in flight have an entry, so that a function takes memory for the workers
//! that it uses, not for all that are listed.

use super::estimates::DISTANT_PAST;
use super::workers::WorkerState;
use crate::interface::{Micros, WorkerIndex};

/// A worker process that has, or may get, a copy.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(super) struct WorkerProcess {
    pub(super) worker: WorkerIndex,
    /// The worker's [`WorkerState::incarnation`].
    pub(super) incarnation: u32,
}

/// The state of a function at one worker.
#[derive(Clone, Copy)]
struct CopyState {
    process: WorkerProcess,
    /// This router's dispatches of the function in flight there.
    in_flight: u32,
    /// A copy is expected to be loaded in the process until this time.
    warm_until: Micros,
}

impl CopyState {
    fn new(process: WorkerProcess) -> Self {
        CopyState {
            process,
            in_flight: 0,
            warm_until: DISTANT_PAST,
        }
    }

    /// Whether the entry says no more than a missing one.
    fn is_unused(&self, now: Micros) -> bool {
        self.in_flight == 0 && self.warm_until <= now
    }
}

/// The state of a function at each worker that has a copy of it or a dispatch in flight.
#[derive(Default)]
pub(super) struct CopyTable {
    /// In ascending order of their worker indices.
    states: Vec<CopyState>,
}

impl CopyTable {
    /// Memory that one entry may take, in bytes; the table grows by doubling.
    pub(super) const BYTES_PER_ENTRY: usize = 2 * size_of::<CopyState>();

    /// Number of entries.
    pub(super) fn len(&self) -> usize {
        self.states.len()
    }

    fn find(&self, worker: WorkerIndex) -> Result<usize, usize> {
        self.states
            .binary_search_by_key(&worker, |state| state.process.worker)
    }

    /// This router's dispatches of the function in flight at the worker.
    pub(super) fn in_flight(&self, worker: usize) -> u32 {
        self.find(worker as WorkerIndex)
            .map_or(0, |position| self.states[position].in_flight)
    }

    /// Whether a copy is expected to be loaded at this worker: its idle retention has not ended, or dispatches in flight
    /// keep it in use.
    pub(super) fn is_warm(&self, workers: &[WorkerState], worker: usize, now: Micros) -> bool {
        self.find(worker as WorkerIndex)
            .is_ok_and(|position| is_warm(&self.states[position], workers, now))
    }

    /// The workers where a copy is expected to be loaded, in ascending order.
    pub(super) fn warm_workers(
        &self,
        workers: &[WorkerState],
        now: Micros,
    ) -> impl Iterator<Item = usize> {
        self.states
            .iter()
            .filter(move |state| is_warm(state, workers, now))
            .map(|state| state.process.worker as usize)
    }

    /// The entry of a worker process, which is added if it is missing. What was expected of an earlier process of the
    /// worker does not hold for this one.
    fn entry(&mut self, process: WorkerProcess, now: Micros) -> &mut CopyState {
        if self.states.len() == self.states.capacity() {
            self.states.retain(|state| !state.is_unused(now));
        }
        let position = self.find(process.worker).unwrap_or_else(|position| {
            self.states.insert(position, CopyState::new(process));
            position
        });
        let state = &mut self.states[position];
        if state.process != process {
            *state = CopyState {
                in_flight: state.in_flight,
                ..CopyState::new(process)
            };
        }
        state
    }

    /// Records that a dispatch was sent, which keeps the copy loaded until `warm_until` or later.
    pub(super) fn dispatched(&mut self, process: WorkerProcess, now: Micros, warm_until: Micros) {
        let state = self.entry(process, now);
        state.in_flight += 1;
        state.warm_until = warm_until;
    }

    /// Records that a dispatch ended.
    pub(super) fn dispatch_ended(&mut self, worker: usize) {
        if let Ok(position) = self.find(worker as WorkerIndex) {
            let state = &mut self.states[position];
            state.in_flight = state.in_flight.saturating_sub(1);
        }
    }

    /// Records that a copy is expected to be loaded until `until`.
    pub(super) fn set_warm_until(&mut self, process: WorkerProcess, now: Micros, until: Micros) {
        self.entry(process, now).warm_until = until;
    }

    /// Records that a copy is expected to be loaded until `until` or later.
    pub(super) fn extend_warm_until(&mut self, process: WorkerProcess, now: Micros, until: Micros) {
        let state = self.entry(process, now);
        state.warm_until = state.warm_until.max(until);
    }

    /// Records that no copy is expected to be loaded at this worker.
    pub(super) fn set_cold(&mut self, worker: usize) {
        if let Ok(position) = self.find(worker as WorkerIndex) {
            self.states[position].warm_until = DISTANT_PAST;
        }
    }

    /// Records that no copy is expected to be loaded at any worker, and keeps only the entries with dispatches in flight.
    pub(super) fn set_all_cold(&mut self) {
        self.states.retain(|state| state.in_flight > 0);
        for state in &mut self.states {
            state.warm_until = DISTANT_PAST;
        }
    }

    /// Drops the entries of workers without a dispatch in flight.
    pub(super) fn keep_in_flight(&mut self) {
        self.states.retain(|state| state.in_flight > 0);
        self.states.shrink_to_fit();
    }
}

fn is_warm(state: &CopyState, workers: &[WorkerState], now: Micros) -> bool {
    let process = state.process;
    let in_use = state.in_flight > 0 && state.warm_until > DISTANT_PAST;
    workers[process.worker as usize].incarnation == process.incarnation
        && (in_use || state.warm_until > now)
}
