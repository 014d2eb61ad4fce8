//! Tells what shows that a worker may get new work although it may have been told to drain.

use cedarpulley::interface::Micros;

use super::Router;
use crate::drain_gate::DrainBasis;
use crate::{LoadOrderTicket, Ticket};

impl Router {
    /// What shows whether the drain grace of an attempt's worker is over; `None` if the attempt has ended.
    pub fn drain_basis_of_attempt(&self, now: Micros, ticket: Ticket) -> Option<DrainBasis> {
        let attempt = self.invocations.attempt_in_flight(ticket)?;
        Some(self.workers.drain_basis(now, attempt.worker))
    }

    /// What shows whether the drain grace of a load order's worker is over.
    pub fn drain_basis_of_load_order(&self, now: Micros, ticket: LoadOrderTicket) -> DrainBasis {
        self.workers.drain_basis(now, ticket.worker)
    }

    /// Whether health checks may be sent to workers.
    pub fn allows_health_checks(&self) -> bool {
        self.balancer.allows_health_checks()
    }

    /// Whether all new work is refused: discovery is unreachable, the endpoint list may lack drains whose grace is over,
    /// and health checks, which would show them, are not allowed.
    pub fn refuses_new_work(&self, now: Micros) -> bool {
        self.discovery_lost && !self.workers.list_covers_drains(now)
    }
}
