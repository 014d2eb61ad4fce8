//! Requests that wait for a decision before the core receives them, by ticket.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;

use cedarpulley::interface::Micros;
use cedarpulley_router::{Delivery, IncomingInvocation};

/// A waiting request, with the time at which it began to wait, in microseconds.
struct WaitingRequest {
    request: IncomingInvocation,
    since: Micros,
}

/// The waiting requests, by ticket.
#[derive(Default)]
pub(crate) struct WaitingRequests {
    by_ticket: RefCell<HashMap<u64, WaitingRequest>>,
    next_ticket: Cell<u64>,
}

impl WaitingRequests {
    /// Returns whether no request is waiting.
    pub(crate) fn is_empty(&self) -> bool {
        self.by_ticket.borrow().is_empty()
    }

    /// Creates a unique ticket.
    pub(crate) fn issue_ticket(&self) -> u64 {
        self.next_ticket.replace(self.next_ticket.get() + 1)
    }

    /// Adds a waiting request under a ticket.
    pub(crate) fn insert(&self, ticket: u64, request: IncomingInvocation, now: Micros) {
        let waiting = WaitingRequest {
            request,
            since: now,
        };
        self.by_ticket.borrow_mut().insert(ticket, waiting);
    }

    /// Removes and returns a request; its waiting time here is added to [`IncomingInvocation::waited`].
    pub(crate) fn release(&self, ticket: u64, now: Micros) -> Option<IncomingInvocation> {
        let WaitingRequest { mut request, since } = self.by_ticket.borrow_mut().remove(&ticket)?;
        request.waited = request.waited.saturating_add(now - since);
        Some(request)
    }

    /// Removes and drops a request.
    pub(crate) fn remove(&self, ticket: u64) {
        self.by_ticket.borrow_mut().remove(&ticket);
    }

    /// The tickets of the requests whose deliveries match.
    pub(crate) fn tickets_of(&self, matches: impl Fn(Delivery) -> bool) -> Vec<u64> {
        let by_ticket = self.by_ticket.borrow();
        by_ticket
            .iter()
            .filter(|(_, waiting)| matches(waiting.request.delivery))
            .map(|(ticket, _)| *ticket)
            .collect()
    }
}
