//! Limits and intervals of a replica, and the switches that disable one safety check in tests.

use cedarpulley::interface::Micros;

/// Requests without an answer are sent again at this interval: some round trips of a slow link.
const RESEND_INTERVAL: Micros = 100_000;
/// Changes that nobody waits for are collected for this long and broadcast together.
const BROADCAST_DELAY: Micros = 2_000;
/// Two members find differences left by lost messages within a few of these intervals.
const COMPARISON_INTERVAL: Micros = 2_000_000;
/// A member that does not answer a comparison within this time is passed over.
const COMPARISON_TIMEOUT: Micros = 1_000_000;
/// Upper bound of the first backoff between two proposers that compete for one key.
const BACKOFF: Micros = 20_000;
/// Clocks of two members may diverge by this fraction (one part in so many) of the retention time.
pub(crate) const DRIFT_FRACTION: Micros = 8;
/// A request for a vote is rejected if it was under way for more than this fraction of the retention time: half of
/// the divergence allowed between clocks is left for the clocks themselves.
pub(crate) const LATE_FRACTION: Micros = 2 * DRIFT_FRACTION;
/// Longer answers are not stored.
const MAX_ANSWER_BYTES: usize = 64 << 10;

/// The retention time that leaves at least `wanted` during which new dispatches may be sent and the absence of a
/// record is a proof.
pub fn retention_for(wanted: Micros) -> Micros {
    wanted
        .saturating_add(wanted / (DRIFT_FRACTION - 1))
        .saturating_add(1_000)
}

/// The settings of a replica.
#[derive(Clone, Copy, Debug)]
pub struct ReplicaSettings {
    /// How long a record of an invocation is retained after it was taken or taken over: longer than any client waits.
    pub retention: Micros,
    /// An intent or a proposal without a majority after this time is abandoned.
    pub replication_timeout: Micros,
    /// Requests without an answer are sent again at this interval.
    pub resend_interval: Micros,
    /// Changed records are broadcast after this delay.
    pub broadcast_delay: Micros,
    /// Interval between two comparisons with other members.
    pub comparison_interval: Micros,
    /// A comparison without an answer for this long is abandoned.
    pub comparison_timeout: Micros,
    /// Upper bound of the first backoff after a higher ballot was met; it doubles with each try.
    pub backoff: Micros,
    /// The most records stored at once.
    pub max_records: usize,
    /// The longest answer stored, in bytes.
    pub max_answer_bytes: usize,
    /// Catching up transfers no more than this, separately for each direction.
    pub catch_up_bytes_per_s: u64,
    /// Records are persisted: changes are collected for the disk, and votes on choices wait for it.
    pub is_persistent: bool,
    /// Seed of backoffs and of the spread of comparisons.
    pub seed: u64,
    /// Tests of the explorer and of the invariant checker only: this safety check is disabled.
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
            backoff: BACKOFF,
            max_records: 200_000,
            max_answer_bytes: MAX_ANSWER_BYTES,
            catch_up_bytes_per_s: 16 << 20,
            is_persistent: false,
            seed,
            disabled_check: None,
        }
    }
}

/// A safety check that tests can disable: the explorer and the invariant checker must find each one's absence.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum SafetyCheck {
    /// A majority stores an intent before its dispatch is sent.
    MajorityBeforeDispatch,
    /// An intent under a first ballot is rejected where another owner has the record.
    FirstBallotAlone,
    /// A takeover fences the previous owner at a majority.
    FencedTakeover,
    /// An acceptor rejects ballots below its promise.
    KeptPromise,
    /// A member that lost its state does not vote.
    NoVoteWithoutState,
    /// Votes that refer to different processes of one member are not added up.
    AgreeingVoters,
    /// An invocation that no member is known to have taken is not dispatched again.
    KnownToBeTaken,
    /// After a restart of all members, the absence of an intent proves nothing.
    DoubtAfterRestarts,
    /// A member that has not answered may have stored an intent.
    UnansweredMayHold,
    /// A dispatch permitted by an owner that is gone may have run.
    GoneOwnerMayHaveRun,
    /// A proposer adopts the value that was accepted under the highest earlier ballot.
    AdoptAcceptedValue,
    /// Requests that arrive late get no vote, and the last part of a record's time neither proves nor permits anything.
    NotTooLate,
    /// A vote on a choice waits until the disk has what the vote promises.
    PersistBeforeVote,
}
