//! State of one source while its records are checked.

use std::collections::{HashMap, VecDeque};

use cedarpulley::interface::{
    Arrival, DeduplicationScope, DispatchOutcome, Endpoint, EndpointState, InvocationIndex, Micros,
    WorkerIndex,
};

use super::Violation;

/// One dispatch of an invocation.
pub(super) struct Dispatch {
    pub worker: WorkerIndex,
    pub at: Micros,
    /// Absent while the dispatch is in flight.
    pub outcome: Option<DispatchOutcome>,
    /// The violation that is reported if the dispatch turns out to have been sent.
    pub pending_violation: Option<Violation>,
}

impl Dispatch {
    pub fn may_have_run(&self) -> bool {
        self.outcome.is_none_or(|outcome| !outcome.not_executed())
    }
}

/// An invocation that the balancer received; kept until its index is reused.
pub(super) struct OpenInvocation {
    pub trigger: u32,
    /// Hash of the correlation id that the client assigned.
    pub correlation_hash: Option<u64>,
    /// Router time of the client's timeout, as the balancer received it.
    pub client_deadline: Micros,
    /// Whether the invocation was answered or needs no answer.
    pub answered: bool,
    /// Dispatches by dispatch number.
    pub dispatches: Vec<Dispatch>,
}

/// A worker as given in the endpoint list.
#[derive(Clone, Copy)]
pub(super) struct ListedWorker {
    zone: u32,
    cell: u32,
    /// Router time since which the worker is listed as draining or gone; absent while it is in service.
    pub leaving_since: Option<Micros>,
}

impl ListedWorker {
    /// Whether two workers share their record of idempotency keys; two workers that are not listed are taken to share
    /// it.
    pub fn same_scope(
        scope: DeduplicationScope,
        one: Option<ListedWorker>,
        other: Option<ListedWorker>,
    ) -> bool {
        match scope {
            DeduplicationScope::All => true,
            DeduplicationScope::Zone => one.map(|p| p.zone) == other.map(|p| p.zone),
            DeduplicationScope::Cell => one.map(|p| p.cell) == other.map(|p| p.cell),
        }
    }
}

/// State of one source.
#[derive(Default)]
pub(super) struct SourceState {
    /// Router time of the last record.
    pub now: Micros,
    pub open: HashMap<InvocationIndex, OpenInvocation>,
    /// Hashes of the correlation ids of accepted invocations that the balancer has not received yet.
    pub correlation_hashes: HashMap<InvocationIndex, u64>,
    pub workers: HashMap<WorkerIndex, ListedWorker>,
    /// Router times of arrivals within the window of the load order quota.
    arrivals: VecDeque<Micros>,
    /// Router times of load orders within that window.
    orders: VecDeque<Micros>,
}

impl SourceState {
    /// Updates a worker from an entry of the endpoint list.
    pub fn endpoint(&mut self, at: Micros, endpoint: &Endpoint) {
        let known = self.workers.get(&endpoint.worker);
        let leaving_since = match endpoint.state {
            EndpointState::InService => None,
            _ => known
                .and_then(|listed_worker| listed_worker.leaving_since)
                .or(Some(at)),
        };
        let listed_worker = ListedWorker {
            zone: endpoint.zone,
            cell: endpoint.cell,
            leaving_since,
        };
        self.workers.insert(endpoint.worker, listed_worker);
    }

    /// Adds an invocation; returns the invocation that had the same index before. `window` is the window of the load
    /// order quota, 0 if there is no quota.
    pub fn arrived(
        &mut self,
        at: Micros,
        arrival: &Arrival,
        window: Micros,
    ) -> Option<OpenInvocation> {
        if window > 0 {
            self.arrivals.push_back(at);
            remove_until(&mut self.arrivals, at - window);
        }
        let open = OpenInvocation {
            trigger: arrival.trigger,
            correlation_hash: self.correlation_hashes.remove(&arrival.invocation),
            client_deadline: at.saturating_add(arrival.client_timeout_in),
            answered: false,
            dispatches: Vec::new(),
        };
        self.open.insert(arrival.invocation, open)
    }

    /// Adds a load order; returns the numbers of load orders and of arrivals within the window.
    pub fn ordered(&mut self, at: Micros, window: Micros) -> (usize, usize) {
        self.orders.push_back(at);
        remove_until(&mut self.orders, at - window);
        remove_until(&mut self.arrivals, at - window);
        (self.orders.len(), self.arrivals.len())
    }
}

/// Removes the times up to and including `until`.
fn remove_until(times: &mut VecDeque<Micros>, until: Micros) {
    while times.front().is_some_and(|time| *time <= until) {
        times.pop_front();
    }
}
