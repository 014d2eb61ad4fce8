//! What is known of one source while its records are read.

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
    /// Absent while it is in flight.
    pub outcome: Option<DispatchOutcome>,
    /// A violation, if it turns out that it was sent.
    pub suspicion: Option<Violation>,
}

impl Dispatch {
    pub fn may_have_run(&self) -> bool {
        self.outcome.is_none_or(|outcome| !outcome.not_executed())
    }
}

/// An invocation that the decision module received, until its index is assigned again.
pub(super) struct OpenInvocation {
    pub trigger: u32,
    /// Hash of the correlation id that its client gave it.
    pub key: Option<u64>,
    pub client_deadline: Micros,
    pub answered: bool,
    /// By dispatch number.
    pub dispatches: Vec<Dispatch>,
}

/// Where a worker stands, as the endpoint list says.
#[derive(Clone, Copy)]
pub(super) struct WorkerPlace {
    zone: u32,
    cell: u32,
    /// Since when it is listed as draining or gone.
    pub leaving_since: Option<Micros>,
}

impl WorkerPlace {
    /// Two workers that deduplicate together; two that are in no list count as such.
    pub fn same_scope(
        scope: DeduplicationScope,
        one: Option<WorkerPlace>,
        other: Option<WorkerPlace>,
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
    /// Time of its last record.
    pub now: Micros,
    pub open: HashMap<InvocationIndex, OpenInvocation>,
    /// Hashes of correlation ids, of invocations that the module receives next.
    pub keys: HashMap<InvocationIndex, u64>,
    pub workers: HashMap<WorkerIndex, WorkerPlace>,
    /// Times of arrivals within the window of the load order quota.
    arrivals: VecDeque<Micros>,
    /// Times of load orders within that window.
    orders: VecDeque<Micros>,
}

impl SourceState {
    pub fn endpoint(&mut self, at: Micros, endpoint: &Endpoint) {
        let known = self.workers.get(&endpoint.worker);
        let leaving_since = match endpoint.state {
            EndpointState::InService => None,
            _ => known.and_then(|place| place.leaving_since).or(Some(at)),
        };
        let place = WorkerPlace {
            zone: endpoint.zone,
            cell: endpoint.cell,
            leaving_since,
        };
        self.workers.insert(endpoint.worker, place);
    }

    /// Returns the invocation that had this index before. `window`: that of the load order quota, 0 for none.
    pub fn arrived(
        &mut self,
        at: Micros,
        arrival: &Arrival,
        window: Micros,
    ) -> Option<OpenInvocation> {
        if window > 0 {
            self.arrivals.push_back(at);
            forget_until(&mut self.arrivals, at - window);
        }
        let open = OpenInvocation {
            trigger: arrival.trigger,
            key: self.keys.remove(&arrival.invocation),
            client_deadline: at.saturating_add(arrival.client_timeout_in),
            answered: false,
            dispatches: Vec::new(),
        };
        self.open.insert(arrival.invocation, open)
    }

    /// Returns the numbers of load orders and of arrivals within the window.
    pub fn ordered(&mut self, at: Micros, window: Micros) -> (usize, usize) {
        self.orders.push_back(at);
        forget_until(&mut self.orders, at - window);
        forget_until(&mut self.arrivals, at - window);
        (self.orders.len(), self.arrivals.len())
    }
}

fn forget_until(times: &mut VecDeque<Micros>, until: Micros) {
    while times.front().is_some_and(|time| *time <= until) {
        times.pop_front();
    }
}
