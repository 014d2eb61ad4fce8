//! Counters of what the core decided.

use std::collections::BTreeMap;

use crate::admission_control::RejectionReason;
use crate::{AnswerReason, FinalOutcome, FrontIndex};

/// Counters of what was decided, since the start. No decision reads them back.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RouterCounters {
    /// Messages that arrived, whatever became of them.
    pub arrived: u64,
    /// Invocations that the module queued: neither dispatched nor answered at once.
    pub queued: u64,
    /// Dispatches sent.
    pub dispatches: u64,
    /// Load orders that were sent.
    pub orders: u64,
    /// Health checks of workers that were sent.
    pub health_checks: u64,
    /// Health checks that were not passed.
    pub health_checks_failed: u64,
    /// Dispatches that the module cancelled.
    pub cancelled: u64,
    /// Messages delivered again while their invocation was open: they join it.
    pub joined: u64,
    /// Retries of a client that joined an open invocation by their idempotency key.
    pub joined_by_idempotency_key: u64,
    /// Retries of a client that were given the answer cached for their idempotency key.
    pub answered_from_cache: u64,
    /// Messages delivered again that were given the same answer again.
    pub repeated: u64,
    /// Redelivered messages that were refused, as they may have run.
    pub refused_redelivered: u64,
    /// Messages delivered twice at once, see [`Output::Discard`](super::Output::Discard).
    pub discarded: u64,
    /// Open invocations whose front lost its connection.
    pub orphaned: u64,
    /// Ends of dispatches that had ended before, or of unknown ones.
    pub too_late: u64,
    /// Invocations that waited for their answer at another router.
    pub joined_elsewhere: u64,
    /// Invocations answered as another router had answered them.
    pub answered_elsewhere: u64,
    /// Requests for permission to send that the group refused.
    pub permissions_refused: u64,
    /// Permissions to send that expired before they were used.
    pub permissions_expired: u64,
    /// Final answers, by outcome and reason.
    pub answers: BTreeMap<(FinalOutcome, AnswerReason), u64>,
    /// Requests rejected before their body was read, by front and reason.
    pub rejected: BTreeMap<(FrontIndex, RejectionReason), u64>,
}
