//! The decisions of ownership on an invocation, and their reasons.

use bytes::Bytes;
use cedarpulley::interface::Micros;

/// How durably the group must have recorded an intent before its dispatch is sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Durability {
    /// Nothing has to be stored at other members: the invocation may run twice.
    Local,
    /// A majority must have stored the intent.
    Majority,
}

/// Why no majority was obtained, or no permission was given.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum NoMajorityReason {
    /// This member is recovering and does not vote yet.
    Recovering,
    /// Too few members are alive.
    Unreachable,
    /// Too few members voted in time.
    TimedOut,
    /// The store of this member is full.
    StoreFull,
    /// The invocation has another owner; a decision follows.
    OwnedElsewhere,
}

/// Why an invocation is treated as one that may have run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum IndeterminateReason {
    /// A dispatch ended without a certain outcome.
    DispatchIndeterminate,
    /// The process of its owner is gone, and a dispatch may have been permitted.
    OwnerGone,
    /// No member is known to have taken it, or records of it may have expired, so there is no proof that it was not
    /// dispatched.
    Unknown,
    /// Members restarted, and intents of it may be lost.
    StateLost,
    /// The delivery of its answer is final, and the answer is no longer stored.
    Closed,
    /// Its answer was too long to be stored.
    AnswerTooLarge,
    /// Two different answers are known.
    ConflictingAnswers,
}

/// How this router proceeds with an invocation that it took.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum OwnershipDecision {
    /// This router may dispatch the invocation.
    Dispatch {
        /// If an earlier dispatch may have run: the time since the first dispatch, in microseconds.
        first_dispatch_ago: Option<Micros>,
    },
    /// Another owner has the invocation. A further decision follows when the outcome at that owner is known.
    Wait,
    /// The invocation was answered before; this is the encoded answer.
    Answer(Bytes),
    /// The invocation may have run and is not dispatched again.
    Indeterminate(IndeterminateReason),
    /// There is no majority, so no decision is possible at present.
    NoMajority(NoMajorityReason),
}
