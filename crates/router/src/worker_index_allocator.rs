//! When the index of a removed worker may be reused: once nothing refers to it. Symptom: over a long day new
//! workers replace old ones, and all state that is kept by worker grows without bound.
//!
//! Call [`WorkerIndexAllocator::update`] with each endpoint list, and [`WorkerIndexAllocator::reserve`] and
//! [`WorkerIndexAllocator::unreserve`] for each reference to a worker; [`WorkerIndexAllocator::take_released`]
//! returns the indices that have become free.

use cedarpulley::interface::{Endpoint, EndpointListKind, EndpointState, WorkerIndex};

#[derive(Clone, Copy, Debug, Default)]
struct IndexState {
    /// References by invocations and load orders.
    references: u32,
    listed: bool,
    /// Assigned to a worker and not released yet.
    assigned: bool,
}

/// Reference counts of worker indices.
#[derive(Debug, Default)]
pub struct WorkerIndexAllocator {
    /// By worker index.
    states: Vec<IndexState>,
    released: Vec<WorkerIndex>,
}

impl WorkerIndexAllocator {
    /// Takes over which workers are in the endpoint list.
    pub fn update(&mut self, kind: EndpointListKind, endpoints: &[Endpoint]) {
        if kind == EndpointListKind::Failed {
            return;
        }
        if kind != EndpointListKind::Changes {
            self.states
                .iter_mut()
                .for_each(|state| state.listed = false);
        }
        for endpoint in endpoints {
            let index = endpoint.worker as usize;
            if self.states.len() <= index {
                self.states.resize(index + 1, IndexState::default());
            }
            self.states[index].assigned = true;
            self.states[index].listed = endpoint.state != EndpointState::Gone;
        }
        (0..self.states.len() as WorkerIndex).for_each(|worker| self.release_if_unused(worker));
    }

    /// Counts a reference: a load order in flight, or a dispatch (ended or not) of an open invocation.
    pub fn reserve(&mut self, worker: WorkerIndex) {
        if let Some(state) = self.states.get_mut(worker as usize) {
            state.references += 1;
        }
    }

    /// Ends a reference counted by [`WorkerIndexAllocator::reserve`].
    pub fn unreserve(&mut self, worker: WorkerIndex) {
        if let Some(state) = self.states.get_mut(worker as usize) {
            state.references = state.references.saturating_sub(1);
            self.release_if_unused(worker);
        }
    }

    fn release_if_unused(&mut self, worker: WorkerIndex) {
        let state = &mut self.states[worker as usize];
        if state.assigned && !state.listed && state.references == 0 {
            state.assigned = false;
            self.released.push(worker);
        }
    }

    /// The indices released since the last call.
    pub fn take_released(&mut self) -> Vec<WorkerIndex> {
        std::mem::take(&mut self.released)
    }
}
