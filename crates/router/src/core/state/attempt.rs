//! An attempt to run an invocation at a worker.

use cedarpulley::interface::{DispatchOutcome, Micros, WorkerIndex};

use crate::replication::DispatchPermission;

/// Whether an attempt has ended, and whether the worker can have run it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum AttemptOutcome {
    /// The attempt has not ended: it is at the worker, on its way there, or waits for permission to be sent.
    InFlight,
    /// The attempt ended, and the worker did not run it.
    NotExecuted,
    /// The attempt ended, and the worker may have run it.
    Indeterminate,
}

/// An attempt that the balancer has decided on.
pub(crate) struct NewAttempt {
    pub(crate) worker: WorkerIndex,
    /// See [`Attempt::known_scope`].
    pub(crate) known_scope: Option<u32>,
    /// See [`Attempt::timeout`].
    pub(crate) timeout: Option<Micros>,
    /// See [`Attempt::serial`].
    pub(crate) serial: u64,
}

/// An attempt (dispatch) to run an invocation at a worker.
pub(crate) struct Attempt {
    pub(crate) worker: WorkerIndex,
    /// The deduplication scope of the worker when the attempt was decided; `None` if it was not known for certain.
    pub(crate) known_scope: Option<u32>,
    /// When the balancer decided on the attempt.
    pub(crate) decided_at: Micros,
    pub(crate) outcome: AttemptOutcome,
    /// Timeout, counted from `decided_at`. If it is absent, the attempt ends when the final answer is due.
    pub(crate) timeout: Option<Micros>,
    /// Number of the attempt in requests to the group.
    pub(crate) serial: u64,
    /// Whether the group's permission is needed, requested or granted.
    pub(crate) permission: DispatchPermission,
}

impl Attempt {
    /// Whether the attempt has not ended.
    pub(crate) fn is_in_flight(&self) -> bool {
        self.outcome == AttemptOutcome::InFlight
    }

    /// Records that the group granted permission to send the attempt.
    pub(crate) fn grant_permission(&mut self, now: Micros) {
        self.permission = DispatchPermission::Granted(now);
    }

    /// Marks the attempt as ended, and returns what is known of it.
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

    /// Whether the attempt may have run at a worker, or may still run.
    pub(crate) fn may_have_run(&self) -> bool {
        self.outcome != AttemptOutcome::NotExecuted
            && self.permission != DispatchPermission::Requested
    }

    /// Whether the attempt waits for the group's permission. It has not been sent then, and cannot have run.
    pub(crate) fn awaits_permission(&self) -> bool {
        self.is_in_flight() && self.permission == DispatchPermission::Requested
    }
}

/// What is known of an attempt that has just ended.
#[derive(Clone, Copy)]
pub(crate) struct EndedAttempt {
    pub(crate) worker: WorkerIndex,
    pub(crate) took: Micros,
    /// Number of the attempt in requests to the group.
    pub(crate) serial: u64,
    pub(crate) may_have_run: bool,
}
