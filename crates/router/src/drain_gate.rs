//! Until when new work may be sent to a worker: a last check for dispatches that were decided a while ago and are
//! about to be sent. Call [`DrainGate::update`] with each endpoint list, [`DrainGate::renew_lease`] whenever the list is
//! known to be up to date, and [`DrainGate::passed_health_check`]; [`DrainGate::accepts`] answers.

use cedarpulley::interface::{Endpoint, EndpointListKind, EndpointState, Micros, WorkerIndex};

/// Before any time.
const NEVER: Micros = Micros::MIN;

/// The time from which each worker accepts no new work.
#[derive(Debug, Default)]
pub struct DrainGate {
    drain_grace: Micros,
    /// By worker index.
    closes_at: Vec<Micros>,
    /// Until then the list says all that was announced; `None`: always.
    lease_until: Option<Micros>,
    /// By worker index: when the last health check that it passed was sent.
    healthy_at: Vec<Micros>,
}

impl DrainGate {
    /// `drain_grace`: for how long a worker may still be sent work after it was reported draining.
    pub fn new(drain_grace: Micros) -> Self {
        DrainGate {
            drain_grace,
            ..DrainGate::default()
        }
    }

    /// Takes over the states of the endpoint list.
    pub fn update(&mut self, now: Micros, kind: EndpointListKind, endpoints: &[Endpoint]) {
        if kind == EndpointListKind::Failed {
            return;
        }
        let grace_ends = now + self.drain_grace;
        if kind != EndpointListKind::Changes {
            // A worker that a complete list does not name is gone, like one that is reported gone.
            let is_named = |index: usize| {
                endpoints
                    .iter()
                    .any(|endpoint| endpoint.worker as usize == index)
            };
            (0..self.closes_at.len())
                .filter(|&index| !is_named(index))
                .for_each(|index| self.closes_at[index] = self.closes_at[index].min(now));
        }
        for endpoint in endpoints {
            let index = endpoint.worker as usize;
            if self.closes_at.len() <= index {
                self.closes_at.resize(index + 1, NEVER);
            }
            let closes_at = self.closes_at[index];
            self.closes_at[index] = match endpoint.state {
                EndpointState::InService => Micros::MAX,
                // Symptom: the worker drained and was removed while the list was unreachable, and dispatches
                // that wait for a connection leave within a grace that ended long ago. Holding them back loses
                // nothing: nobody is there to serve them.
                EndpointState::Gone => closes_at.min(now),
                // The first report counts: of a worker first heard of now, or one that is reported again.
                EndpointState::Draining if closes_at == NEVER => grace_ends,
                EndpointState::Draining => closes_at.min(grace_ends),
            };
        }
    }

    /// The list is up to date, and says all that is announced until then.
    pub fn renew_lease(&mut self, until: Micros) {
        self.lease_until = Some(until);
    }

    /// The worker has passed a health check that was sent at `sent_at`: it had not begun to drain by then.
    pub fn passed_health_check(&mut self, worker: WorkerIndex, sent_at: Micros) {
        let index = worker as usize;
        if self.healthy_at.len() <= index {
            self.healthy_at.resize(index + 1, NEVER);
        }
        self.healthy_at[index] = sent_at;
    }

    /// The index will be reused for another worker.
    pub fn forget(&mut self, worker: WorkerIndex) {
        if let Some(healthy_at) = self.healthy_at.get_mut(worker as usize) {
            *healthy_at = NEVER;
        }
        if let Some(closes_at) = self.closes_at.get_mut(worker as usize) {
            *closes_at = NEVER;
        }
    }

    /// Whether new work may be sent to the worker.
    pub fn accepts(&self, now: Micros, worker: WorkerIndex) -> bool {
        let closes_at = self.closes_at.get(worker as usize);
        closes_at.is_some_and(|closes_at| now < *closes_at) && self.announcements_known(now, worker)
    }

    /// Whether a drain of this worker would have been heard, but for one whose grace still runs: by the list, or by a
    /// health check after the list's lease has ended.
    fn announcements_known(&self, now: Micros, worker: WorkerIndex) -> bool {
        let Some(lease_until) = self.lease_until else {
            return true;
        };
        let healthy_at = self.healthy_at.get(worker as usize);
        let known_until = lease_until.max(healthy_at.copied().unwrap_or(NEVER));
        now < known_until.saturating_add(self.drain_grace)
    }
}
