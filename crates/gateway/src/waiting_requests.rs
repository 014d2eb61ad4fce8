//! Requests that wait for a decision before the core receives them, by ticket.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;

use cedarpulley::interface::Micros;
use cedarpulley_router::{Delivery, IncomingInvocation};

/// A request, with when it began to wait (microseconds).
struct WaitingRequest {
    request: IncomingInvocation,
    since: Micros,
}

/// The requests that wait.
#[derive(Default)]
pub(crate) struct WaitingRequests {
    by_ticket: RefCell<HashMap<u64, WaitingRequest>>,
    next_ticket: Cell<u64>,
}

impl WaitingRequests {
    pub(crate) fn is_empty(&self) -> bool {
        self.by_ticket.borrow().is_empty()
    }

    /// A new ticket.
    pub(crate) fn issue_ticket(&self) -> u64 {
        self.next_ticket.replace(self.next_ticket.get() + 1)
    }

    /// Lets a request wait under a ticket.
    pub(crate) fn insert(&self, ticket: u64, request: IncomingInvocation, now: Micros) {
        let waiting = WaitingRequest {
            request,
            since: now,
        };
        self.by_ticket.borrow_mut().insert(ticket, waiting);
    }

    /// Takes a request out; the time that it waited here is added to it.
    pub(crate) fn release(&self, ticket: u64, now: Micros) -> Option<IncomingInvocation> {
        let WaitingRequest { mut request, since } = self.by_ticket.borrow_mut().remove(&ticket)?;
        request.waited = request.waited.saturating_add(now - since);
        Some(request)
    }

    /// Drops a request.
    pub(crate) fn remove(&self, ticket: u64) {
        self.by_ticket.borrow_mut().remove(&ticket);
    }

    /// Tickets of the requests whose deliveries match.
    pub(crate) fn tickets_of(&self, matches: impl Fn(Delivery) -> bool) -> Vec<u64> {
        let by_ticket = self.by_ticket.borrow();
        by_ticket
            .iter()
            .filter(|(_, waiting)| matches(waiting.request.delivery))
            .map(|(ticket, _)| *ticket)
            .collect()
    }
}
