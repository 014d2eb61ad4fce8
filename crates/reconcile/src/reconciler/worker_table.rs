//! All workers of the endpoint list, and the bound on the beliefs about all of them together: what is beyond is not
//! followed.

use std::collections::BTreeMap;
use std::sync::Arc;

use super::PolledWorker;
use super::worker_state::WorkerState;

/// Beliefs over all workers; what is beyond is not followed, and counted.
const MAX_BELIEFS: usize = 200_000;

/// Beliefs of all workers, against their bound.
#[derive(Debug, Default)]
pub(super) struct BeliefBudget(usize);

impl BeliefBudget {
    pub(super) fn reserve(&mut self) -> bool {
        let fits = self.0 < MAX_BELIEFS;
        self.0 += usize::from(fits);
        fits
    }

    pub(super) fn release(&mut self, beliefs: usize) {
        self.0 -= beliefs;
    }
}

/// All workers of the list, by this router's name for them.
#[derive(Debug, Default)]
pub(super) struct WorkerTable {
    workers: BTreeMap<Arc<str>, WorkerState>,
    by_id: BTreeMap<Arc<str>, Arc<str>>,
    budget: BeliefBudget,
}

impl WorkerTable {
    /// Updates a worker that is known by this name and id; false if there is none.
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

    /// Adds a worker; `before` is the process that had its name.
    pub(super) fn insert(&mut self, listed: &PolledWorker, before: Option<WorkerState>) {
        let mut state = WorkerState::new(listed);
        if let Some(before) = before {
            state.inherit(before);
        }
        self.by_id.insert(listed.id.clone(), listed.worker.clone());
        self.workers.insert(listed.worker.clone(), state);
    }

    pub(super) fn remove(&mut self, worker: &str) -> Option<WorkerState> {
        let state = self.workers.remove(worker)?;
        self.by_id.remove(state.id());
        self.budget.release(state.followed());
        Some(state)
    }

    pub(super) fn get(&self, worker: &str) -> Option<&WorkerState> {
        self.workers.get(worker)
    }

    pub(super) fn get_mut(
        &mut self,
        worker: &str,
    ) -> Option<(Arc<str>, &mut WorkerState, &mut BeliefBudget)> {
        let name = self.workers.get_key_value(worker)?.0.clone();
        let state = self.workers.get_mut(worker)?;
        Some((name, state, &mut self.budget))
    }

    pub(super) fn worker_of(&self, id: &str) -> Option<&Arc<str>> {
        self.by_id.get(id)
    }

    pub(super) fn iter(&self) -> impl Iterator<Item = (&Arc<str>, &WorkerState)> {
        self.workers.iter()
    }
}
