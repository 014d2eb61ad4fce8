//! The endpoint list: workers that come, drain, restart and go.

use super::Balancer;
use super::estimates::LONG_AGO;
use super::workers::WorkerState;
use crate::interface::*;

impl Balancer {
    /// The endpoint list, or a change of it.
    pub(super) fn on_endpoint_list(
        &mut self,
        kind: EndpointListKind,
        endpoints: &[Endpoint],
        out: &mut Vec<Action>,
    ) {
        let failed = kind == EndpointListKind::Failed;
        let stale = kind == EndpointListKind::Cached && self.settings.rules.list_on_request;
        if failed || stale {
            out.push(Action::RequestEndpointList { watch: true });
        }
        if failed {
            return;
        }
        self.make_room_for(endpoints);
        let mut emptied = if kind == EndpointListKind::Changes {
            Vec::new()
        } else {
            self.mark_missing_gone(endpoints)
        };
        let changed = endpoints
            .iter()
            .filter(|endpoint| self.update_worker(endpoint))
            .map(|endpoint| endpoint.worker as usize);
        emptied.extend(changed);
        for worker in emptied {
            self.forget_copies(worker);
        }
        for function in 0..self.functions.len() {
            if self.functions[function].known {
                self.rank_workers(function as FunctionIndex);
            }
        }
        self.retry_queued(None, out);
    }

    fn make_room_for(&mut self, endpoints: &[Endpoint]) {
        let workers = endpoints
            .iter()
            .map(|endpoint| endpoint.worker as usize + 1)
            .fold(self.workers.len(), usize::max);
        self.workers.resize_with(workers, WorkerState::default);
        self.outliers.grow(workers);
        self.readiness.grow(workers);
        for function in &mut self.functions {
            function.grow(workers);
        }
    }

    /// Marks the workers that a complete list does not name, and returns them.
    fn mark_missing_gone(&mut self, endpoints: &[Endpoint]) -> Vec<usize> {
        let is_missing = |worker: &usize| {
            !endpoints
                .iter()
                .any(|endpoint| endpoint.worker as usize == *worker)
        };
        let missing: Vec<usize> = (0..self.workers.len()).filter(is_missing).collect();
        for &worker in &missing {
            self.workers[worker].state = EndpointState::Gone;
        }
        missing
    }

    /// Takes in one worker's entry; true if its process is another one now, or gone.
    fn update_worker(&mut self, endpoint: &Endpoint) -> bool {
        let worker = endpoint.worker as usize;
        let is_another = self.workers[worker].fingerprint != endpoint.fingerprint;
        if is_another {
            // The index of one that is gone was given out again: nothing of it is the new one's.
            self.workers[worker] = WorkerState::default();
            self.outliers.reset(worker);
            self.readiness.reset(worker);
        }
        let state = &mut self.workers[worker];
        let started_at = endpoint.started_at.unwrap_or(state.started_at);
        let is_restarted = state.started_at != started_at;
        if endpoint.state == EndpointState::Draining && state.state == EndpointState::InService {
            // A quarter of the grace is left as a margin.
            state.drains_until = self.now + self.settings.rules.drain_grace * 3 / 4;
        }
        state.fingerprint = endpoint.fingerprint;
        state.zone = endpoint.zone;
        state.cell = endpoint.cell;
        state.machine_kind = endpoint.machine_kind;
        state.state = endpoint.state;
        state.started_at = started_at;
        self.slowness.add_kind(endpoint.machine_kind);
        is_another || is_restarted || endpoint.state == EndpointState::Gone
    }

    /// A restarted process has no copies, and its outcomes do not count yet.
    pub(super) fn forget_copies(&mut self, worker: usize) {
        self.outliers.forget_outcomes(worker);
        self.workers[worker].no_load_until = LONG_AGO;
        for function in &mut self.functions {
            function.set_cold(worker);
            function
                .loading_on
                .take_if(|loading| *loading as usize == worker);
        }
    }
}
