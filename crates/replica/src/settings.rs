//! Limits and intervals of a replica, and the safety checks that tests can disable. Times are in microseconds.

use cedarpulley::interface::Micros;

/// Unanswered requests are sent again at this interval, which is a few round trips of a slow link.
const RESEND_INTERVAL: Micros = 100_000;
/// Changed records are collected for this time and broadcast together. No invocation waits for the broadcast.
const BROADCAST_DELAY: Micros = 2_000;
/// The interval between two comparisons. Members find differences left by lost messages within a few intervals.
const COMPARISON_INTERVAL: Micros = 2_000_000;
/// If a member does not answer a comparison within this time, the next comparison is with another member.
const COMPARISON_TIMEOUT: Micros = 1_000_000;
/// The upper bound of the first backoff of a proposer that competes with another proposer for a key.
const MAX_FIRST_BACKOFF: Micros = 20_000;
/// The clocks of two members may diverge by the retention time divided by this number.
pub(crate) const CLOCK_DRIFT_DIVISOR: Micros = 8;
/// A request for a vote is rejected if it was in transit for longer than the retention time divided by this number. The
/// time in transit may use half of the divergence allowed between clocks; the other half is left for the clocks.
pub(crate) const MAX_TRANSIT_DIVISOR: Micros = 2 * CLOCK_DRIFT_DIVISOR;
/// The default limit for stored answers, in bytes. Longer answers are not stored.
const MAX_ANSWER_BYTES: usize = 64 << 10;

/// The retention time with which new dispatches may be sent, and the absence of a record is a proof, for at least the
/// time `wanted`.
pub fn retention_for(wanted: Micros) -> Micros {
    wanted
        .saturating_add(wanted / (CLOCK_DRIFT_DIVISOR - 1))
        .saturating_add(1_000)
}

/// The settings of a replica.
#[derive(Clone, Copy, Debug)]
pub struct ReplicaSettings {
    /// How long the record of an invocation is retained after the invocation was taken or taken over. This is longer
    /// than any client waits for an answer.
    pub retention: Micros,
    /// An intent, a takeover or a proposal that has no majority after this time is abandoned.
    pub replication_timeout: Micros,
    /// Unanswered requests are sent again at this interval.
    pub resend_interval: Micros,
    /// Changed records are broadcast after this delay.
    pub broadcast_delay: Micros,
    /// The interval between two comparisons with other members.
    pub comparison_interval: Micros,
    /// A comparison whose request is not answered within this time is abandoned.
    pub comparison_timeout: Micros,
    /// The upper bound of the first backoff after a rejection because of a higher ballot. The bound doubles with each
    /// further backoff.
    pub backoff: Micros,
    /// The maximum number of stored records.
    pub max_records: usize,
    /// The longest answer stored, in bytes.
    pub max_answer_bytes: usize,
    /// The maximum transfer rate of catching up in bytes per second, applied separately to each direction.
    pub catch_up_bytes_per_s: u64,
    /// Whether records are persisted: changes are collected for the disk, and votes on choices wait for the disk.
    pub is_persistent: bool,
    /// The seed of backoffs and of the jitter of comparisons.
    pub seed: u64,
    /// The safety check that is disabled. Only tests of the explorer and of the invariant checker set it.
    pub disabled_check: Option<SafetyCheck>,
}

impl ReplicaSettings {
    /// Settings with the default intervals and limits, without persistence.
    pub fn with_defaults(retention: Micros, replication_timeout: Micros, seed: u64) -> Self {
        ReplicaSettings {
            retention,
            replication_timeout,
            resend_interval: RESEND_INTERVAL,
            broadcast_delay: BROADCAST_DELAY,
            comparison_interval: COMPARISON_INTERVAL,
            comparison_timeout: COMPARISON_TIMEOUT,
            backoff: MAX_FIRST_BACKOFF,
            max_records: 200_000,
            max_answer_bytes: MAX_ANSWER_BYTES,
            catch_up_bytes_per_s: 16 << 20,
            is_persistent: false,
            seed,
            disabled_check: None,
        }
    }
}

/// A safety check that tests can disable. The explorer and the invariant checker must detect that a check is disabled.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum SafetyCheck {
    /// A majority stores an intent before its dispatch is sent.
    MajorityBeforeDispatch,
    /// An intent under a first ballot is rejected where the record has another owner.
    FirstBallotAlone,
    /// A takeover fences the previous owner at a majority.
    FencedTakeover,
    /// An acceptor rejects ballots below its promise.
    KeptPromise,
    /// A member that lost its state does not vote.
    NoVoteWithoutState,
    /// Votes whose voters know different processes of one member are not counted together.
    AgreeingVoters,
    /// An invocation that no member is known to have taken is not dispatched again.
    UnknownIsNotDispatched,
    /// After restarts in which intents may have been lost, the absence of an intent proves nothing.
    IntentsMayBeLostAfterRestarts,
    /// A member that has not answered is assumed to have stored an intent.
    UnansweredMayHold,
    /// A dispatch that may have been permitted for an owner whose process is gone is treated as one that may have run.
    GoneOwnerMayHaveRun,
    /// A proposer adopts the value that was accepted under the highest earlier ballot.
    AdoptAcceptedValue,
    /// Requests that arrive late get no vote. In the last part of a record's retention time, the absence of a record is
    /// no proof, and no new dispatch is permitted.
    RejectLateRequests,
    /// A vote on a choice waits until the state that backs it is on disk.
    PersistBeforeVote,
    /// The promise of a ballot outlives the record that expires.
    PromiseOutlivesRecord,
    /// A member that lost its store votes on choices only once it has reached every member that may remember any.
    ChoicesOutliveRecovery,
}
