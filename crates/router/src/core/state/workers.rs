//! The workers of the endpoint list: their indices, names and locations, and whether they accept new work.

use cedarpulley::ids::{Interner, fingerprint};
use cedarpulley::interface::{
    DeduplicationScope, Effect, Endpoint, EndpointListKind, Micros, WorkerIndex,
};

use crate::drain_gate::{DrainBasis, DrainGate};
use crate::endpoint_list::ListedWorker;
use crate::worker_index_allocator::WorkerIndexAllocator;

/// The zone and cell of a worker, from the endpoint list.
#[derive(Clone, Copy, Debug, Default)]
struct Location {
    zone: u32,
    cell: u32,
}

/// All workers to which an index is assigned.
pub(crate) struct WorkerDirectory {
    /// Names in the endpoint list, by worker index.
    names: Interner<String>,
    /// Locations by worker index.
    locations: Vec<Location>,
    drain_gate: DrainGate,
    /// Until when the endpoint list is known to be up to date; `None` if no lease is used.
    lease_until: Option<Micros>,
    /// Whether the list could not be obtained when it was requested last.
    list_failed: bool,
    indices: WorkerIndexAllocator,
}

impl WorkerDirectory {
    pub(crate) fn new(drain_grace: Micros) -> Self {
        WorkerDirectory {
            names: Interner::default(),
            locations: Vec::new(),
            drain_gate: DrainGate::new(drain_grace),
            lease_until: None,
            list_failed: false,
            indices: WorkerIndexAllocator::default(),
        }
    }

    /// Applies an endpoint list or changes of it, and assigns an index to each worker.
    pub(crate) fn update(
        &mut self,
        now: Micros,
        kind: EndpointListKind,
        workers: &[ListedWorker],
    ) -> Vec<Endpoint> {
        self.list_failed = kind == EndpointListKind::Failed;
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

    /// What shows whether the worker's drain grace is over.
    pub(crate) fn drain_basis(&self, now: Micros, worker: WorkerIndex) -> DrainBasis {
        self.drain_gate.basis(now, worker)
    }

    /// Whether the endpoint list shows every drain whose grace is over.
    pub(crate) fn list_covers_drains(&self, now: Micros) -> bool {
        self.drain_gate.list_covers_drains(now)
    }

    /// Extends the lease of the endpoint list: the list is up to date and remains valid until then.
    pub(crate) fn renew_lease(&mut self, until: Micros) {
        self.lease_until = Some(until);
    }

    /// Extends the lease for drains: the endpoint list holds all drains that count as announced before then.
    pub(crate) fn renew_drain_lease(&mut self, until: Micros) {
        self.drain_gate.renew_lease(until);
    }

    /// Whether the endpoint list is known to be up to date.
    fn list_is_current(&self, now: Micros) -> bool {
        !self.list_failed && self.lease_until.is_none_or(|until| now < until)
    }

    /// Records that the worker passed a health check that was sent at `sent_at`.
    pub(crate) fn passed_health_check(&mut self, worker: WorkerIndex, sent_at: Micros) {
        self.drain_gate.passed_health_check(worker, sent_at);
    }

    /// Identifies the workers that share the record of idempotency keys with this one: its zone or cell, depending on
    /// the deduplication scope, or 0 if all workers share one record.
    pub(crate) fn deduplication_scope(&self, worker: WorkerIndex, effect: Effect) -> u32 {
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

    /// As [`WorkerDirectory::deduplication_scope`]; `None` if the workers share no single record and another worker may
    /// have taken the place of this one, as the endpoint list may be out of date.
    pub(crate) fn known_scope(
        &self,
        now: Micros,
        worker: WorkerIndex,
        effect: Effect,
    ) -> Option<u32> {
        let is_shared = !matches!(
            effect,
            Effect::IdempotentByKey {
                scope: DeduplicationScope::Zone | DeduplicationScope::Cell,
                ..
            }
        );
        let is_known = is_shared || self.list_is_current(now);
        is_known.then(|| self.deduplication_scope(worker, effect))
    }

    /// Adds a reference to the worker. Its index is not reused until all references are removed.
    pub(crate) fn reserve(&mut self, worker: WorkerIndex) {
        self.indices.reserve(worker);
    }

    /// Removes a reference to the worker.
    pub(crate) fn unreserve(&mut self, worker: WorkerIndex) {
        self.indices.unreserve(worker);
    }

    /// Releases the indices of workers that have left the endpoint list and have no references left.
    pub(crate) fn release_unused(&mut self) {
        for worker in self.indices.take_released() {
            self.names.release(worker);
            self.drain_gate.forget(worker);
        }
    }
}
