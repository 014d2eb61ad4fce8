//! Decides whether new work may still be sent to a worker. This is the last check right before a dispatch is sent,
//! because the worker may have begun to drain since the dispatch was decided.
//!
//! The caller reports each endpoint list to [`DrainGate::update`], each confirmation that the list is up to date to
//! [`DrainGate::renew_lease`], and each passed health check to [`DrainGate::passed_health_check`].
//! [`DrainGate::accepts`] returns the decision, [`DrainGate::basis`] what it rests on.

use std::collections::HashSet;

use cedarpulley::interface::{Endpoint, EndpointListKind, EndpointState, Micros, WorkerIndex};

/// A point in time before all others, for events that have not happened yet.
const DISTANT_PAST: Micros = Micros::MIN;

/// What shows whether a worker drains and its drain grace is over.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DrainBasis {
    /// The endpoint list says that the worker has left, or drains and its grace is over.
    Listed,
    /// No lease is used: the endpoint list is always relied on.
    ListWithoutLease,
    /// The endpoint list holds all announced drains.
    CurrentList,
    /// The lease of the endpoint list has ended, but a drain announced since then would be within its grace.
    DrainGrace,
    /// The worker passed a health check that was sent this long ago, in microseconds.
    HealthCheck {
        /// Time since the check was sent.
        age: Micros,
    },
    /// Nothing: the worker may have been told to drain, and its grace may be over.
    Unknown,
}

impl DrainBasis {
    /// Whether new work may be sent to the worker.
    pub fn allows_new_work(self) -> bool {
        !matches!(self, DrainBasis::Listed | DrainBasis::Unknown)
    }
}

/// Records for each worker the time from which it accepts no new work.
#[derive(Debug, Default)]
pub struct DrainGate {
    /// How long a worker may still be sent work after it was reported as draining.
    drain_grace: Micros,
    /// When each worker stops accepting new work, by worker index.
    closes_at: Vec<Micros>,
    /// Until when the endpoint list is known to contain all announced drains. `None`: no lease is used, and the list is
    /// always relied on.
    lease_until: Option<Micros>,
    /// When the last health check that each worker passed was sent, by worker index.
    healthy_at: Vec<Micros>,
}

impl DrainGate {
    /// Creates a gate that accepts no worker yet. `drain_grace`: how long a worker may still be sent work after it was
    /// reported as draining, in microseconds.
    pub fn new(drain_grace: Micros) -> Self {
        DrainGate {
            drain_grace,
            ..DrainGate::default()
        }
    }

    /// Applies the workers' states from an endpoint list received at `now`.
    pub fn update(&mut self, now: Micros, kind: EndpointListKind, endpoints: &[Endpoint]) {
        if kind == EndpointListKind::Failed {
            return;
        }
        let grace_ends = now + self.drain_grace;
        if kind != EndpointListKind::Changes {
            // A worker that is missing from a complete list is gone, the same as one that is reported as gone.
            let workers = endpoints.iter();
            let named: HashSet<usize> = workers.map(|endpoint| endpoint.worker as usize).collect();
            (0..self.closes_at.len())
                .filter(|index| !named.contains(index))
                .for_each(|index| self.closes_at[index] = self.closes_at[index].min(now));
        }
        for endpoint in endpoints {
            let index = endpoint.worker as usize;
            if self.closes_at.len() <= index {
                self.closes_at.resize(index + 1, DISTANT_PAST);
            }
            let closes_at = self.closes_at[index];
            self.closes_at[index] = match endpoint.state {
                EndpointState::InService => Micros::MAX,
                // If a drain grace began now, a worker that drained and was removed while the list was unreachable
                // would still be sent the dispatches that wait for a connection to it, although its grace has ended
                // long ago. Holding them back loses nothing, since the worker can no longer run them.
                EndpointState::Gone => closes_at.min(now),
                // The grace starts with the first report of the drain; further reports do not extend it.
                EndpointState::Draining if closes_at == DISTANT_PAST => grace_ends,
                EndpointState::Draining => closes_at.min(grace_ends),
            };
        }
    }

    /// Records that the endpoint list is up to date and can be relied on until `until`.
    pub fn renew_lease(&mut self, until: Micros) {
        self.lease_until = Some(until);
    }

    /// Records that the worker passed a health check that was sent at `sent_at`, so it had not begun to drain by then.
    pub fn passed_health_check(&mut self, worker: WorkerIndex, sent_at: Micros) {
        let index = worker as usize;
        if self.healthy_at.len() <= index {
            self.healthy_at.resize(index + 1, DISTANT_PAST);
        }
        self.healthy_at[index] = sent_at;
    }

    /// Forgets a worker whose index may be reused for another worker.
    pub fn forget(&mut self, worker: WorkerIndex) {
        if let Some(healthy_at) = self.healthy_at.get_mut(worker as usize) {
            *healthy_at = DISTANT_PAST;
        }
        if let Some(closes_at) = self.closes_at.get_mut(worker as usize) {
            *closes_at = DISTANT_PAST;
        }
    }

    /// Returns whether new work may be sent to the worker at `now`.
    pub fn accepts(&self, now: Micros, worker: WorkerIndex) -> bool {
        self.basis(now, worker).allows_new_work()
    }

    /// Returns what shows whether the worker's drain grace is over at `now`: the endpoint list while its lease lasts, or a
    /// health check after the lease has ended.
    pub fn basis(&self, now: Micros, worker: WorkerIndex) -> DrainBasis {
        let index = worker as usize;
        if self.closes_at.get(index).is_none_or(|at| now >= *at) {
            return DrainBasis::Listed;
        }
        let Some(lease_until) = self.lease_until else {
            return DrainBasis::ListWithoutLease;
        };
        let healthy_at = self.healthy_at.get(index).copied();
        let healthy_at = healthy_at.unwrap_or(DISTANT_PAST);
        if now < lease_until {
            DrainBasis::CurrentList
        } else if self.list_covers_drains(now) {
            DrainBasis::DrainGrace
        } else if now < healthy_at.saturating_add(self.drain_grace) {
            let age = now - healthy_at;
            DrainBasis::HealthCheck { age }
        } else {
            DrainBasis::Unknown
        }
    }

    /// Returns whether the endpoint list shows every drain whose grace is over at `now`.
    pub fn list_covers_drains(&self, now: Micros) -> bool {
        self.lease_until
            .is_none_or(|until| now < until.saturating_add(self.drain_grace))
    }
}
