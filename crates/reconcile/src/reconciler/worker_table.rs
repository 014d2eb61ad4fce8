//! All workers of the endpoint list, and the limit on the number of records of all workers together: functions beyond
//! the limit get no record.

use std::collections::BTreeMap;
use std::sync::Arc;

use super::PolledWorker;
use super::worker_state::WorkerState;

/// Most records of all workers together; functions above the limit get no record, and that is counted.
const MAX_RECORDS: usize = 200_000;

/// The number of records of all workers, which is kept within [`MAX_RECORDS`].
#[derive(Debug, Default)]
pub(super) struct RecordBudget(usize);

impl RecordBudget {
    /// Reserves room for one record; returns false if the limit is reached.
    pub(super) fn reserve(&mut self) -> bool {
        let fits = self.0 < MAX_RECORDS;
        self.0 += usize::from(fits);
        fits
    }

    /// Releases the room of this number of records.
    pub(super) fn release(&mut self, records: usize) {
        self.0 -= records;
    }
}

/// All workers of the endpoint list, by this router's names for them.
#[derive(Debug, Default)]
pub(super) struct WorkerTable {
    workers: BTreeMap<Arc<str>, WorkerState>,
    by_id: BTreeMap<Arc<str>, Arc<str>>,
    budget: RecordBudget,
}

impl WorkerTable {
    /// Updates the worker with this name and id; returns false if there is none.
    pub(super) fn update(&mut self, listed: &PolledWorker) -> bool {
        let known = self
            .workers
            .get_mut(&listed.worker)
            .filter(|state| *state.id() == listed.id);
        let Some(state) = known else {
            return false;
        };
        state.set_memory_mb(listed.memory_mb);
        true
    }

    /// Adds a worker; `before` is the state of the previous process with its name.
    pub(super) fn insert(&mut self, listed: &PolledWorker, before: Option<WorkerState>) {
        let mut state = WorkerState::new(listed);
        if let Some(before) = before {
            state.inherit_from(before);
        }
        self.by_id.insert(listed.id.clone(), listed.worker.clone());
        self.workers.insert(listed.worker.clone(), state);
    }

    /// Removes a worker and releases the room of its records.
    pub(super) fn remove(&mut self, worker: &str) -> Option<WorkerState> {
        let state = self.workers.remove(worker)?;
        self.by_id.remove(state.id());
        self.budget.release(state.record_count());
        Some(state)
    }

    pub(super) fn get(&self, worker: &str) -> Option<&WorkerState> {
        self.workers.get(worker)
    }

    /// The stored name of a worker, its state, and the number of records of all workers.
    pub(super) fn get_mut(
        &mut self,
        worker: &str,
    ) -> Option<(Arc<str>, &mut WorkerState, &mut RecordBudget)> {
        let name = self.workers.get_key_value(worker)?.0.clone();
        let state = self.workers.get_mut(worker)?;
        Some((name, state, &mut self.budget))
    }

    /// This router's name for the worker with this id.
    pub(super) fn worker_of(&self, id: &str) -> Option<&Arc<str>> {
        self.by_id.get(id)
    }

    pub(super) fn iter(&self) -> impl Iterator<Item = (&Arc<str>, &WorkerState)> {
        self.workers.iter()
    }
}
