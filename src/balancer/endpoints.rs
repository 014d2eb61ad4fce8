//! The endpoint list: workers that join, drain, restart and leave.

use std::collections::HashSet;

use super::Balancer;
use super::estimates::DISTANT_PAST;
use super::workers::WorkerState;
use crate::interface::*;

impl Balancer {
    /// Handles a complete endpoint list or a change of it.
    pub(super) fn on_endpoint_list(
        &mut self,
        kind: EndpointListKind,
        endpoints: &[Endpoint],
        out: &mut Vec<Action>,
    ) {
        let failed = kind == EndpointListKind::Failed;
        self.readiness.list_received(kind);
        let stale = kind == EndpointListKind::Cached && self.settings.rules.list_on_request;
        if failed || stale {
            out.push(Action::RequestEndpointList { watch: true });
        }
        if failed {
            return;
        }
        self.grow_for(endpoints);
        let mut workers_without_copies = if kind == EndpointListKind::Changes {
            Vec::new()
        } else {
            self.mark_missing_gone(endpoints)
        };
        let changed = endpoints
            .iter()
            .filter(|endpoint| self.update_worker(endpoint))
            .map(|endpoint| endpoint.worker as usize);
        workers_without_copies.extend(changed);
        for worker in workers_without_copies {
            self.forget_copies(worker);
        }
        self.retry_queued(None, out);
    }

    /// Extends all tables that are indexed by worker to include these endpoints.
    fn grow_for(&mut self, endpoints: &[Endpoint]) {
        let workers = endpoints
            .iter()
            .map(|endpoint| endpoint.worker as usize + 1)
            .fold(self.workers.len(), usize::max);
        self.workers.resize_with(workers, WorkerState::default);
        self.outliers.grow(workers);
        self.readiness.grow(workers);
    }

    /// Marks the workers that are missing from a complete list as gone, and returns them.
    fn mark_missing_gone(&mut self, endpoints: &[Endpoint]) -> Vec<usize> {
        let listed: HashSet<usize> = endpoints
            .iter()
            .map(|endpoint| endpoint.worker as usize)
            .collect();
        let missing: Vec<usize> = (0..self.workers.len())
            .filter(|worker| !listed.contains(worker))
            .collect();
        for &worker in &missing {
            let state = &mut self.workers[worker];
            let was_in_service = state.state == EndpointState::InService;
            state.state = EndpointState::Gone;
            self.in_service
                .changed(worker as WorkerIndex, was_in_service, false);
        }
        missing
    }

    /// Updates a worker from its entry in the list; true if its process has been replaced or restarted, or is gone.
    fn update_worker(&mut self, endpoint: &Endpoint) -> bool {
        let worker = endpoint.worker as usize;
        let is_new_worker = self.workers[worker].fingerprint != endpoint.fingerprint;
        let was_in_service = self.workers[worker].state == EndpointState::InService;
        if is_new_worker {
            // The index of a removed worker has been reused: the new worker must not inherit its state.
            self.workers[worker] = WorkerState {
                incarnation: self.workers[worker].incarnation,
                ..WorkerState::default()
            };
            self.outliers.reset(worker);
            self.readiness.reset(worker);
        }
        let state = &mut self.workers[worker];
        let started_at = endpoint.started_at.unwrap_or(state.started_at);
        let process_restarted = state.started_at != started_at;
        if endpoint.state == EndpointState::Draining && state.state == EndpointState::InService {
            // A quarter of the drain grace is kept as a safety margin.
            state.drains_until = self.now + self.settings.rules.drain_grace * 3 / 4;
        }
        state.fingerprint = endpoint.fingerprint;
        state.zone = endpoint.zone;
        state.cell = endpoint.cell;
        state.machine_kind = endpoint.machine_kind;
        state.state = endpoint.state;
        state.started_at = started_at;
        let is_in_service = endpoint.state == EndpointState::InService;
        if is_new_worker || was_in_service != is_in_service {
            self.in_service
                .changed(endpoint.worker, was_in_service, is_in_service);
        }
        self.slowness.add_kind(endpoint.machine_kind);
        is_new_worker || process_restarted || endpoint.state == EndpointState::Gone
    }

    /// Drops the expected copies and the recorded outcomes of a worker whose process has been restarted or is gone.
    pub(super) fn forget_copies(&mut self, worker: usize) {
        self.outliers.forget_outcomes(worker);
        let state = &mut self.workers[worker];
        state.no_load_until = DISTANT_PAST;
        // Copies and loads name the incarnation to which they belong.
        state.incarnation = state.incarnation.wrapping_add(1);
    }
}
