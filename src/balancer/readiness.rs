//! Readiness: which workers get new work while the endpoint list may be out of date.
//!
//! Symptom: discovery is out of reach, workers drain or restart, and this router goes on by the last list for as long as
//! the outage lasts. The list is relied on until its lease ends ([`Event::EndpointListLease`]). From then on a worker
//! gets new work only for a while after it has passed a health check. Workers are checked as work is wanted there, so
//! that a large fleet is not probed as a whole; what wants to go there waits in the queue meanwhile.

use super::Balancer;
use crate::interface::*;

/// The answer of a health check counts for this part (numerator, denominator) of the drain grace: a worker that began
/// to drain right after it may still be sent work for the whole of it.
const CHECK_VALIDITY: (Micros, Micros) = (3, 4);
/// A worker that was not ready for at least so long may have been restarted meanwhile.
const RESTART_TIME: Micros = 1_000_000;

/// Whether a worker takes new work, as far as this router knows; the better ones first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Readiness {
    /// The list can be relied on, or the worker has just passed a health check.
    Ready,
    /// Nothing recent is known.
    Unknown,
    /// A health check is in flight.
    Checking,
    /// It has just failed a health check.
    NotReady,
}

/// The health checks of one worker.
#[derive(Clone, Default)]
struct HealthCheck {
    in_flight: bool,
    passed: bool,
    /// The last answer counts until then.
    valid_until: Micros,
    /// Since when it has failed its checks.
    not_ready_since: Option<Micros>,
}

/// The lease of the endpoint list, and the health checks since it ended.
#[derive(Default)]
pub(super) struct ReadinessChecks {
    /// The list can be relied on until then; without a lease, always.
    lease_until: Option<Micros>,
    /// By worker index.
    checks: Vec<HealthCheck>,
}

impl ReadinessChecks {
    /// Makes room for so many workers.
    pub(super) fn grow(&mut self, workers: usize) {
        self.checks.resize(workers, HealthCheck::default());
    }

    /// The worker's index was given to another worker.
    pub(super) fn reset(&mut self, worker: usize) {
        self.checks[worker] = HealthCheck::default();
    }

    fn list_is_current(&self, now: Micros) -> bool {
        self.lease_until.is_none_or(|until| now < until)
    }

    /// The list is up to date, and says more than any check before.
    fn renew(&mut self, until: Micros) {
        self.lease_until = Some(until);
        for check in &mut self.checks {
            let in_flight = check.in_flight;
            *check = HealthCheck {
                in_flight,
                ..HealthCheck::default()
            };
        }
    }

    fn of(&self, worker: usize, now: Micros) -> Readiness {
        let check = &self.checks[worker];
        let is_valid = now < check.valid_until;
        match (is_valid, check.passed) {
            (true, true) => Readiness::Ready,
            (true, false) => Readiness::NotReady,
            (false, _) if check.in_flight => Readiness::Checking,
            (false, _) => Readiness::Unknown,
        }
    }

    /// True if a check is to be sent now; false while one is in flight.
    fn begin(&mut self, worker: usize) -> bool {
        !std::mem::replace(&mut self.checks[worker].in_flight, true)
    }

    /// A check that was sent at `sent_at` has passed or failed; true if the worker may have been restarted since it was
    /// ready before.
    fn record(&mut self, worker: usize, now: Micros, ended: &EndedCheck) -> bool {
        let check = &mut self.checks[worker];
        check.passed = ended.passed;
        if !ended.passed {
            check.valid_until = now + ended.validity;
            check.not_ready_since.get_or_insert(now);
            return false;
        }
        check.valid_until = ended.sent_at + ended.validity;
        let not_ready_since = check.not_ready_since.take();
        not_ready_since.is_some_and(|since| now - since >= RESTART_TIME)
    }
}

/// How a health check ended.
struct EndedCheck {
    passed: bool,
    sent_at: Micros,
    validity: Micros,
}

impl Balancer {
    /// The endpoint list is up to date, and may be relied on until then.
    pub(super) fn on_list_lease(&mut self, until: Micros, out: &mut Vec<Action>) {
        let was_current = self.readiness.list_is_current(self.now);
        self.readiness.renew(until);
        if !was_current {
            self.retry_queued(None, out);
        }
    }

    /// Whether the worker takes new work, as far as is known.
    pub(super) fn readiness_of(&self, worker: usize) -> Readiness {
        if self.readiness.list_is_current(self.now) {
            Readiness::Ready
        } else {
            self.readiness.of(worker, self.now)
        }
    }

    /// Rule 3: whether new work may go there, once it is known to be ready.
    pub(super) fn accepts_new_work(&self, worker: usize) -> bool {
        self.workers[worker].accepts_new_work(self.now)
            && self.readiness_of(worker) != Readiness::NotReady
    }

    /// The invocation waits until the worker has answered a health check.
    pub(super) fn await_readiness(
        &mut self,
        index: InvocationIndex,
        worker: usize,
        out: &mut Vec<Action>,
    ) {
        self.enqueue(index);
        self.check_readiness(worker, out);
    }

    /// Has a worker checked, unless that is under way.
    pub(super) fn check_readiness(&mut self, worker: usize, out: &mut Vec<Action>) {
        if self.readiness.begin(worker) {
            out.push(Action::Probe {
                worker: worker as WorkerIndex,
            });
        }
    }

    /// A health check ended.
    pub(super) fn on_probe_ended(
        &mut self,
        worker: usize,
        outcome: DispatchOutcome,
        took: Micros,
        out: &mut Vec<Action>,
    ) {
        if worker >= self.workers.len() {
            return;
        }
        self.readiness.checks[worker].in_flight = false;
        // One that did not leave says nothing about the worker. The next tick sends another: at once it could end in
        // the same way again, and again, without a pause.
        if outcome == DispatchOutcome::NotSent {
            return;
        }
        let (numerator, denominator) = CHECK_VALIDITY;
        let ended = EndedCheck {
            passed: outcome == DispatchOutcome::Succeeded,
            sent_at: self.now - took,
            validity: self.settings.rules.drain_grace * numerator / denominator,
        };
        if self.readiness.record(worker, self.now, &ended) {
            self.assume_restarted(worker);
        }
        if !self.readiness.list_is_current(self.now) {
            self.retry_queued(None, out);
        }
    }

    /// Symptom: a worker restarts during the outage, its start counts as announced, and it is sent as much as before.
    fn assume_restarted(&mut self, worker: usize) {
        self.workers[worker].started_at = self.now;
        self.forget_copies(worker);
    }
}
