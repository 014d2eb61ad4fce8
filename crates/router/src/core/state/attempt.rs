//! One attempt to have a worker run an invocation.

use cedarpulley::interface::{DispatchOutcome, Micros, WorkerIndex};

use crate::replication::DispatchPermission;

/// How far an attempt is, and what its end proves.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum AttemptOutcome {
    /// It has not ended: it is at the worker, on its way there, or waits for permission to be sent.
    InFlight,
    /// It ended, and the worker did not run it.
    NotExecuted,
    /// It ended, and the worker may have run it.
    Indeterminate,
}

/// One attempt (dispatch) to have a worker run the invocation.
pub(crate) struct Attempt {
    pub(crate) worker: WorkerIndex,
    /// When the module decided it.
    pub(crate) decided_at: Micros,
    pub(crate) outcome: AttemptOutcome,
    /// Timeout counted from `decided_at`; absent: it ends when the answer is due.
    pub(crate) timeout: Option<Micros>,
    /// Number by which the group knows this attempt.
    pub(crate) serial: u64,
    /// Whether the group's permission is needed, requested or granted.
    pub(crate) permission: DispatchPermission,
}

impl Attempt {
    /// It has not ended.
    pub(crate) fn is_in_flight(&self) -> bool {
        self.outcome == AttemptOutcome::InFlight
    }

    /// The group permits it.
    pub(crate) fn grant_permission(&mut self, now: Micros) {
        self.permission = DispatchPermission::Granted(now);
    }

    /// It ends. What is known of it then.
    pub(crate) fn end(&mut self, now: Micros, outcome: DispatchOutcome) -> EndedAttempt {
        self.outcome = if outcome.not_executed() {
            AttemptOutcome::NotExecuted
        } else {
            AttemptOutcome::Indeterminate
        };
        self.permission = DispatchPermission::NotNeeded;
        EndedAttempt {
            worker: self.worker,
            took: now - self.decided_at,
            serial: self.serial,
            may_have_run: self.outcome == AttemptOutcome::Indeterminate,
        }
    }

    /// It may have run at a worker, or may run yet.
    pub(crate) fn may_have_run(&self) -> bool {
        self.outcome != AttemptOutcome::NotExecuted
            && self.permission != DispatchPermission::Requested
    }

    /// It waits for the group's permission: nothing of it can have reached a worker.
    pub(crate) fn awaits_permission(&self) -> bool {
        self.is_in_flight() && self.permission == DispatchPermission::Requested
    }
}

/// What is known of an attempt that has just ended.
#[derive(Clone, Copy)]
pub(crate) struct EndedAttempt {
    pub(crate) worker: WorkerIndex,
    pub(crate) took: Micros,
    /// Number by which the group knows it.
    pub(crate) serial: u64,
    pub(crate) may_have_run: bool,
}
