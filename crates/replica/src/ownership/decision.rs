//! What ownership decides on an invocation, and why.

use bytes::Bytes;
use cedarpulley::interface::Micros;

/// What other members have to store before a dispatch is sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Durability {
    /// Nothing: the invocation may run twice.
    Local,
    /// A majority stores the intent first.
    Majority,
}

/// Why there is no majority, or no permission.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum NoMajorityReason {
    /// This member does not remember enough to vote yet.
    Recovering,
    /// Too few members are alive.
    Unreachable,
    /// Too few members answered in time.
    TimedOut,
    /// The store of this member is full.
    StoreFull,
    /// Another owner has the invocation; a decision follows.
    OwnedElsewhere,
}

/// Why an invocation counts as one that may have run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum IndeterminateReason {
    /// A dispatch ended without a certain outcome.
    DispatchIndeterminate,
    /// Its owner is gone, and a dispatch was permitted.
    OwnerGone,
    /// No member is known to have taken it, so none can say that it was not dispatched.
    Unknown,
    /// All members that knew of it have restarted.
    StateLost,
    /// Its answer was delivered for good.
    Closed,
    /// Its answer was too long to be stored.
    AnswerTooLarge,
    /// Two different answers are known.
    ConflictingAnswers,
}

/// What is to be done with an invocation that was taken.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum OwnershipDecision {
    /// It may be dispatched by this router.
    Dispatch {
        /// Where an earlier dispatch may have run: the time since the first one.
        first_dispatch_ago: Option<Micros>,
    },
    /// Another owner has dispatched it: a further decision follows when that has ended.
    Wait,
    /// The answer that was given before.
    Answer(Bytes),
    /// It may have run; it is not dispatched again.
    Indeterminate(IndeterminateReason),
    /// It cannot be decided at present.
    NoMajority(NoMajorityReason),
}
