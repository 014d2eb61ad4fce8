//! The workers of the endpoint list: their indices, names and locations, and whether they accept new work.

use cedarpulley::ids::{Interner, fingerprint};
use cedarpulley::interface::{
    DeduplicationScope, Effect, Endpoint, EndpointListKind, Micros, WorkerIndex,
};

use crate::drain_gate::DrainGate;
use crate::endpoint_list::ListedWorker;
use crate::worker_index_allocator::WorkerIndexAllocator;

/// Where a worker runs, as the endpoint list says.
#[derive(Clone, Copy, Debug, Default)]
struct Location {
    zone: u32,
    cell: u32,
}

/// All workers that have an index.
pub(crate) struct WorkerDirectory {
    /// Names in the endpoint list.
    names: Interner<String>,
    /// By worker index.
    locations: Vec<Location>,
    drain_gate: DrainGate,
    indices: WorkerIndexAllocator,
}

impl WorkerDirectory {
    pub(crate) fn new(drain_grace: Micros) -> Self {
        WorkerDirectory {
            names: Interner::default(),
            locations: Vec::new(),
            drain_gate: DrainGate::new(drain_grace),
            indices: WorkerIndexAllocator::default(),
        }
    }

    /// Takes over a list or its changes, and gives each worker its index.
    pub(crate) fn update(
        &mut self,
        now: Micros,
        kind: EndpointListKind,
        workers: &[ListedWorker],
    ) -> Vec<Endpoint> {
        let endpoints: Vec<Endpoint> = workers.iter().map(|worker| self.endpoint(worker)).collect();
        for endpoint in &endpoints {
            self.set_location(endpoint);
        }
        self.drain_gate.update(now, kind, &endpoints);
        self.indices.update(kind, &endpoints);
        endpoints
    }

    fn endpoint(&mut self, listed: &ListedWorker) -> Endpoint {
        Endpoint {
            worker: self.names.intern(listed.address.as_str()),
            fingerprint: fingerprint(&listed.address),
            zone: listed.zone,
            machine_kind: listed.machine_kind,
            cell: listed.cell,
            state: listed.state,
            weight: listed.weight,
            started_at: listed.started_at,
        }
    }

    fn set_location(&mut self, endpoint: &Endpoint) {
        let index = endpoint.worker as usize;
        if self.locations.len() <= index {
            self.locations.resize(index + 1, Location::default());
        }
        self.locations[index] = Location {
            zone: endpoint.zone,
            cell: endpoint.cell,
        };
    }

    /// Names by worker index.
    pub(crate) fn names(&self) -> &Interner<String> {
        &self.names
    }

    /// The worker's name in the endpoint list.
    pub(crate) fn name(&self, worker: WorkerIndex) -> Option<&str> {
        self.names.id(worker).map(String::as_str)
    }

    /// The worker with this name in the endpoint list.
    pub(crate) fn find(&self, name: &str) -> Option<WorkerIndex> {
        self.names.find(name)
    }

    /// Whether new work may be sent to the worker.
    pub(crate) fn accepts(&self, now: Micros, worker: WorkerIndex) -> bool {
        self.drain_gate.accepts(now, worker)
    }

    /// The list is up to date, and says all that is announced until then.
    pub(crate) fn renew_lease(&mut self, until: Micros) {
        self.drain_gate.renew_lease(until);
    }

    /// The worker has passed a health check that was sent at `sent_at`.
    pub(crate) fn passed_health_check(&mut self, worker: WorkerIndex, sent_at: Micros) {
        self.drain_gate.passed_health_check(worker, sent_at);
    }

    /// The group of workers that recognise repeats of what is sent to this one; 0 where there is only one group.
    pub(crate) fn deduplication_domain(&self, worker: WorkerIndex, effect: Effect) -> u32 {
        let location = self.locations.get(worker as usize);
        let location = location.copied().unwrap_or_default();
        match effect {
            Effect::IdempotentByKey {
                scope: DeduplicationScope::Zone,
                ..
            } => location.zone,
            Effect::IdempotentByKey {
                scope: DeduplicationScope::Cell,
                ..
            } => location.cell,
            _ => 0,
        }
    }

    /// Counts a reference to the worker: its index is not reused until it is ended.
    pub(crate) fn reserve(&mut self, worker: WorkerIndex) {
        self.indices.reserve(worker);
    }

    /// Ends a reference to the worker.
    pub(crate) fn unreserve(&mut self, worker: WorkerIndex) {
        self.indices.unreserve(worker);
    }

    /// Lets the indices of workers be reused that are gone and to which nothing refers any more.
    pub(crate) fn release_unused(&mut self) {
        for worker in self.indices.take_released() {
            self.names.release(worker);
            self.drain_gate.forget(worker);
        }
    }
}
