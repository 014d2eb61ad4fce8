//! Readiness: decides which workers get new work while the endpoint list may be out of date.
//!
//! During an outage of discovery, workers drain or restart and the router does not learn of it. The router therefore
//! relies on the list only until its lease ends ([`Event::EndpointListLease`]). After that, a worker gets new work
//! only for a limited time after it has passed a health check. A worker is checked only when there is work for it, so
//! that a large fleet is not probed as a whole; the invocation waits in the queue meanwhile.
//!
//! Where health checks are not allowed, nothing shows whether a worker drains once the list may lack announced drains
//! ([`Event::DrainLease`]). After the drain grace that follows the end of that lease, invocations are answered without
//! being sent, until the list is heard again. If only this router stood still, they wait in the queue for the list.

use super::Balancer;
use crate::interface::*;

/// How long the result of a health check is valid, as a fraction (numerator, denominator) of the drain grace. A worker
/// that began to drain right after the check may still be sent work for the whole of the drain grace.
const CHECK_VALIDITY_OF_DRAIN_GRACE: (Micros, Micros) = (3, 4);
/// A worker that was not ready for at least this time may have been restarted.
const MIN_RESTART_TIME: Micros = 1_000_000;

/// Whether a worker accepts new work, as far as this router knows; ordered from best to worst.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Readiness {
    /// The list can be relied on, or the worker has recently passed a health check.
    Ready,
    /// There is no recent information about the worker.
    Unknown,
    /// A health check is in flight.
    Checking,
    /// The worker has recently failed a health check.
    NotReady,
}

/// The health checks of one worker.
#[derive(Clone, Default)]
struct HealthCheck {
    in_flight: bool,
    passed: bool,
    /// When the last result ceases to be valid.
    valid_until: Micros,
    /// Since when the worker has failed its checks; `None` if it passed the last one.
    not_ready_since: Option<Micros>,
}

/// The lease of the endpoint list, and the health checks since it ended.
#[derive(Default)]
pub(super) struct ReadinessChecks {
    /// When the lease of the list ends; without a lease the list can always be relied on.
    lease_until: Option<Micros>,
    /// Until when the list holds all drains that count as announced; without a lease it always does.
    drain_lease: Option<DrainLease>,
    /// Whether the list could not be obtained when it was requested last.
    list_failed: bool,
    /// By worker index.
    checks: Vec<HealthCheck>,
}

impl ReadinessChecks {
    /// Extends the table to this number of workers.
    pub(super) fn grow(&mut self, workers: usize) {
        self.checks.resize(workers, HealthCheck::default());
    }

    /// Drops the checks of a worker whose index has been given to another worker.
    pub(super) fn reset(&mut self, worker: usize) {
        self.checks[worker] = HealthCheck::default();
    }

    /// Records whether the list could be obtained.
    pub(super) fn list_received(&mut self, kind: EndpointListKind) {
        self.list_failed = kind == EndpointListKind::Failed;
    }

    /// Whether a worker may have been replaced without this router knowing.
    pub(super) fn list_may_be_out_of_date(&self, now: Micros) -> bool {
        self.list_failed || !self.list_is_current(now)
    }

    /// Whether the list can be relied on for the states of workers.
    fn list_is_current(&self, now: Micros) -> bool {
        self.lease_until.is_none_or(|until| now < until)
    }

    /// Whether the list holds all drains whose grace is over.
    fn knows_ended_drains(&self, now: Micros, drain_grace: Micros) -> bool {
        self.drain_lease
            .is_none_or(|lease| now < lease.until.saturating_add(drain_grace))
    }

    /// Renews the lease of the list. An up-to-date list takes precedence over earlier health checks, so their results
    /// are dropped.
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

    /// The readiness of a worker according to its health checks.
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

    /// Marks a check as in flight; false if one already was.
    fn begin(&mut self, worker: usize) -> bool {
        !std::mem::replace(&mut self.checks[worker].in_flight, true)
    }

    /// Records the result of a check; true if the worker may have been restarted since it was last ready.
    fn record(&mut self, worker: usize, now: Micros, ended: &CheckResult) -> bool {
        let check = &mut self.checks[worker];
        check.passed = ended.passed;
        if !ended.passed {
            check.valid_until = now + ended.validity;
            check.not_ready_since.get_or_insert(now);
            return false;
        }
        check.valid_until = ended.sent_at + ended.validity;
        let not_ready_since = check.not_ready_since.take();
        not_ready_since.is_some_and(|since| now - since >= MIN_RESTART_TIME)
    }
}

/// The result of a health check.
struct CheckResult {
    passed: bool,
    sent_at: Micros,
    /// How long the result is valid: a pass counts from `sent_at`, a failure from the end of the check.
    validity: Micros,
}

impl Balancer {
    /// Handles a lease: the endpoint list is up to date and can be relied on until `until`.
    pub(super) fn on_list_lease(&mut self, until: Micros, out: &mut Vec<Action>) {
        let was_current = self.readiness.list_is_current(self.now);
        self.readiness.renew(until);
        if !was_current {
            self.retry_queued(None, out);
        }
    }

    /// Handles a drain lease: the endpoint list holds all drains that count as announced before it ends.
    pub(super) fn on_drain_lease(&mut self, lease: DrainLease, out: &mut Vec<Action>) {
        let knew_drains = self.knows_ended_drains();
        self.readiness.drain_lease = Some(lease);
        if !knew_drains {
            self.retry_queued(None, out);
        }
    }

    /// Rule 3: whether every drain whose grace is over is known. If not, any worker may be such a worker, and none gets new
    /// work.
    pub(super) fn knows_ended_drains(&self) -> bool {
        let drain_grace = self.settings.rules.drain_grace;
        self.readiness.knows_ended_drains(self.now, drain_grace)
    }

    /// Whether all new work is refused: no worker may get any, and waiting for the list would take too long.
    pub(super) fn refuses_new_work(&self) -> bool {
        let lease = self.readiness.drain_lease;
        lease.is_some_and(|lease| lease.discovery_lost) && !self.knows_ended_drains()
    }

    /// Whether no worker may get new work until the list is heard, which is expected at once.
    pub(super) fn awaits_list(&self) -> bool {
        !self.knows_ended_drains() && !self.refuses_new_work()
    }

    /// The readiness of a worker: ready while the list can be relied on, or if no health checks are allowed; otherwise
    /// according to its health checks.
    pub(super) fn readiness_of(&self, worker: usize) -> Readiness {
        if !self.allows_health_checks() || self.readiness.list_is_current(self.now) {
            Readiness::Ready
        } else {
            self.readiness.of(worker, self.now)
        }
    }

    /// Rule 3: whether the worker may get new work, if necessary after it has passed a health check.
    pub(super) fn accepts_new_work(&self, worker: usize) -> bool {
        self.workers[worker].accepts_new_work(self.now)
            && self.knows_ended_drains()
            && self.readiness_of(worker) != Readiness::NotReady
    }

    /// Queues the invocation until the worker has answered a health check.
    pub(super) fn await_readiness(
        &mut self,
        index: InvocationIndex,
        worker: usize,
        out: &mut Vec<Action>,
    ) {
        self.enqueue(index);
        self.check_readiness(worker, out);
    }

    /// Sends a health check to the worker, unless one is in flight.
    pub(super) fn check_readiness(&mut self, worker: usize, out: &mut Vec<Action>) {
        if self.readiness.begin(worker) {
            out.push(Action::Probe {
                worker: worker as WorkerIndex,
            });
        }
    }

    /// Handles the end of a health check.
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
        // A check that was not sent is no evidence about the worker. The next tick sends another one: a check sent
        // here at once could fail in the same way, in an endless loop.
        if matches!(
            outcome,
            DispatchOutcome::NotSent | DispatchOutcome::NoConnection
        ) {
            return;
        }
        let (numerator, denominator) = CHECK_VALIDITY_OF_DRAIN_GRACE;
        let ended = CheckResult {
            passed: outcome == DispatchOutcome::Succeeded,
            sent_at: self.now - took,
            validity: self.settings.rules.drain_grace * numerator / denominator,
        };
        if self.readiness.record(worker, self.now, &ended) {
            self.assume_restarted(worker);
        }
        // A result that is not valid any more lets nothing be decided. The next tick checks the worker again.
        let is_decisive = self.readiness.of(worker, self.now) != Readiness::Unknown;
        if is_decisive && !self.readiness.list_is_current(self.now) {
            self.retry_queued(None, out);
        }
    }

    /// Treats a worker as just started. Without this, a worker that restarts while discovery is unreachable would be
    /// sent as much work as before, as the restart is not announced.
    fn assume_restarted(&mut self, worker: usize) {
        self.workers[worker].started_at = self.now;
        self.forget_copies(worker);
    }
}
