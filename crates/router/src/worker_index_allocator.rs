//! Determines when the index of a removed worker may be reused: once nothing refers to it any more. Without reuse, all
//! state that is stored by worker index would grow without bound as new workers replace old ones.
//!
//! The caller reports each endpoint list to [`WorkerIndexAllocator::update`], and each reference to a worker to
//! [`WorkerIndexAllocator::reserve`] and [`WorkerIndexAllocator::unreserve`]. [`WorkerIndexAllocator::take_released`]
//! returns the indices that have become free.

use cedarpulley::interface::{Endpoint, EndpointListKind, EndpointState, WorkerIndex};

/// The state of one worker index.
#[derive(Clone, Copy, Debug, Default)]
struct IndexState {
    /// Number of references by invocations, load orders and health checks.
    references: u32,
    /// Whether its worker is in the endpoint list.
    listed: bool,
    /// Whether the index is assigned to a worker and was not released yet.
    assigned: bool,
}

/// Counts the references to each worker index.
#[derive(Debug, Default)]
pub struct WorkerIndexAllocator {
    /// The state of each index, by worker index.
    states: Vec<IndexState>,
    /// The indices released since the last call of [`WorkerIndexAllocator::take_released`].
    released: Vec<WorkerIndex>,
}

impl WorkerIndexAllocator {
    /// Applies an endpoint list: records which workers are in it, and releases unused indices.
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

    /// Counts a reference to the worker: a load order, query or health check in flight, or a dispatch of an open
    /// invocation, even one that has ended.
    pub fn reserve(&mut self, worker: WorkerIndex) {
        if let Some(state) = self.states.get_mut(worker as usize) {
            state.references += 1;
        }
    }

    /// Removes a reference counted by [`WorkerIndexAllocator::reserve`].
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

    /// Returns the indices released since the last call.
    pub fn take_released(&mut self) -> Vec<WorkerIndex> {
        std::mem::take(&mut self.released)
    }
}
