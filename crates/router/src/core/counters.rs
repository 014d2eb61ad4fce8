//! Counters of the events and decisions of the core.

use std::collections::BTreeMap;

use crate::admission_control::RejectionReason;
use crate::{AnswerReason, FinalOutcome, FrontIndex};

/// Counters of events and decisions since the start. No decision depends on them.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RouterCounters {
    /// Whole messages that arrived, however they were answered.
    pub arrived: u64,
    /// Invocations that the balancer queued: neither dispatched nor answered at once.
    pub queued: u64,
    /// Dispatches sent.
    pub dispatches: u64,
    /// Load orders sent.
    pub orders: u64,
    /// Health checks sent to workers.
    pub health_checks: u64,
    /// Health checks that failed.
    pub health_checks_failed: u64,
    /// Dispatches that the balancer cancelled.
    pub cancelled: u64,
    /// Messages that were delivered again while their invocation was open, and joined it.
    pub joined: u64,
    /// Client retries that joined an open invocation with the same idempotency key.
    pub joined_by_idempotency_key: u64,
    /// Client retries that were given the answer cached for their idempotency key.
    pub answered_from_cache: u64,
    /// Messages that were delivered again and given the stored answer again.
    pub repeated: u64,
    /// Redelivered messages that were answered with an error, as they may have run.
    pub refused_redelivered: u64,
    /// Deliveries of a message while an earlier delivery of it still waited, see
    /// [`Output::Discard`](super::Output::Discard).
    pub discarded: u64,
    /// Open invocations that lost their last waiting delivery when a front lost its connection.
    pub orphaned: u64,
    /// Results of dispatches that had already ended or are not known.
    pub too_late: u64,
    /// Decisions of the group that an invocation has to wait for its answer from another router.
    pub joined_elsewhere: u64,
    /// Invocations answered with the answer that another router had given.
    pub answered_elsewhere: u64,
    /// Requests for permission to send an attempt that the group refused.
    pub permissions_refused: u64,
    /// Permissions to send an attempt that expired before they were used. Not counted at present: always 0.
    pub permissions_expired: u64,
    /// Final answers, by outcome and reason.
    pub answers: BTreeMap<(FinalOutcome, AnswerReason), u64>,
    /// Requests rejected before their body was read, by front and reason.
    pub rejected: BTreeMap<(FrontIndex, RejectionReason), u64>,
}

impl RouterCounters {
    /// Number of final answers for this reason.
    pub fn answers_for(&self, reason: AnswerReason) -> u64 {
        let counted = self
            .answers
            .iter()
            .filter(|((_, found), _)| *found == reason);
        counted.map(|(_, count)| count).sum()
    }
}
