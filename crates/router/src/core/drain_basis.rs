//! The leases of the endpoint list, and what shows that a worker may get new work although it may have been told to drain.

use cedarpulley::interface::{DrainLease, Event, Micros};

use super::{Output, Router};
use crate::drain_gate::DrainBasis;
use crate::{LoadOrderTicket, Ticket};

impl Router {
    /// Records that the endpoint list is up to date until then. Where health checks are allowed, its drains are too.
    pub(super) fn renew_list_lease(&mut self, until: Micros, out: &mut Vec<Output>) {
        self.workers.renew_lease(until);
        if self.allows_health_checks() {
            self.workers.renew_drain_lease(until);
        }
        self.decide(&Event::EndpointListLease { until }, out);
    }

    /// Records until when the endpoint list holds all announced drains; ignored where health checks are allowed.
    pub(super) fn renew_drain_lease(&mut self, lease: DrainLease, out: &mut Vec<Output>) {
        if !self.allows_health_checks() {
            self.workers.renew_drain_lease(lease.until);
            self.discovery_lost = lease.discovery_lost;
            self.decide(&Event::DrainLease(lease), out);
        }
    }

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
