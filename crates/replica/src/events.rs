//! What goes into [`crate::Replica::handle`] and what comes out, and the counters of what was done.

use bytes::Bytes;
use cedarpulley::interface::Micros;
use cedarpulley_membership::MemberIndex;
use serde::Serialize;

use crate::consensus::Outcome;
use crate::ownership::{Durability, NoMajorityReason, OwnershipDecision};
use crate::record::Ballot;
use crate::store::Key;
use crate::wire::Message;

/// An event that a replica handles.
#[derive(Clone, Debug, PartialEq)]
pub enum Input {
    /// This router took an invocation; [`Output::Verdict`] says what to do with it.
    Take {
        /// The invocation's key.
        key: Key,
        /// Whether a dispatch needs a majority.
        durability: Durability,
        /// The message was delivered before, here or elsewhere.
        redelivered: bool,
    },
    /// A dispatch asks for permission; [`Output::Leave`] answers.
    RequestDispatch {
        /// The invocation's key.
        key: Key,
        /// The dispatch, unique within this process.
        dispatch: u64,
        /// Deduplication scope of the worker, where there are several.
        deduplication_scope: u32,
        /// Permit the dispatch even if no majority can be reached.
        without_majority: bool,
    },
    /// A dispatch was sent without asking, as it does not need a majority.
    Dispatched {
        /// The invocation's key.
        key: Key,
        /// The dispatch, unique within this process.
        dispatch: u64,
        /// Deduplication scope of the worker, where there are several.
        deduplication_scope: u32,
    },
    /// A dispatch has ended.
    DispatchEnded {
        /// The invocation's key.
        key: Key,
        /// The dispatch, unique within this process.
        dispatch: u64,
        /// Whether it may have run; otherwise it certainly did not.
        may_have_run: bool,
    },
    /// The invocation has an answer.
    Answered {
        /// The invocation's key.
        key: Key,
        /// The encoded answer.
        answer: Bytes,
    },
    /// The answer was delivered for good.
    Closed {
        /// The invocation's key.
        key: Key,
    },
    /// Nobody waits for the invocation at this router any more.
    Dropped {
        /// The invocation's key.
        key: Key,
    },
    /// This member publishes an observation.
    PublishNote {
        /// The note's key.
        key: Key,
        /// Higher than the version of each earlier note under this key.
        version: (u64, u64),
        /// The encoded observation.
        value: Bytes,
        /// How long it is retained.
        retention: Micros,
    },
    /// Agree on this value, or learn the value that was agreed on.
    Choose {
        /// The choice's key.
        key: Key,
        /// The proposed value.
        value: Bytes,
        /// How long the choice is retained.
        retention: Micros,
    },
    /// Become the leader that writes this key, in a term of its own.
    Lead {
        /// The choice's key.
        key: Key,
        /// How long the choice is retained.
        retention: Micros,
    },
    /// Write a value in a term that this member won.
    Write {
        /// The choice's key.
        key: Key,
        /// The term.
        ballot: Ballot,
        /// The value; it extends the values written earlier in this term.
        value: Bytes,
        /// How long the choice is retained.
        retention: Micros,
    },
    /// A message of another member has arrived.
    MessageReceived {
        /// The sender.
        from: MemberIndex,
        /// The sender's process.
        nonce: u64,
        /// An upper bound of the time that the message was under way.
        transit: Micros,
        /// The message.
        message: Message,
    },
    /// The membership service reports a member's state.
    MemberChanged {
        /// The member.
        member: MemberIndex,
        /// Its current process.
        nonce: u64,
        /// Whether it is believed to be alive.
        alive: bool,
    },
    /// All changes up to this serial of [`crate::Replica::changes`] are on disk.
    Persisted {
        /// The serial.
        serial: u64,
    },
    /// Time has passed; see [`crate::Replica::next_due`].
    Tick,
}

/// What a replica wants done, or reports.
#[derive(Clone, Debug, PartialEq)]
pub enum Output {
    /// Send a message.
    Send {
        /// The receiver.
        to: MemberIndex,
        /// The message.
        message: Message,
    },
    /// What to do with an invocation that was taken.
    Decision {
        /// The invocation's key.
        key: Key,
        /// The decision.
        decision: OwnershipDecision,
    },
    /// Whether a dispatch may be sent.
    DispatchPermission {
        /// The invocation's key.
        key: Key,
        /// The dispatch that asked.
        dispatch: u64,
        /// `Ok(false)`: a majority has stored the intent; `Ok(true)`: no other member has, which the operator allows.
        permission: Result<bool, NoMajorityReason>,
    },
    /// The outcome of a proposal of this member.
    ProposalEnded {
        /// The choice's key.
        key: Key,
        /// The outcome.
        outcome: Outcome,
    },
    /// Another member changed a note or a choice under this key.
    RecordChanged(Key),
    /// Recovery is complete: this member votes from now on.
    Recovered,
}

/// Counters since the start. Their keys in `/state` are the names given by `serde`.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Counts {
    /// Invocations taken.
    pub taken: u64,
    /// Dispatches that asked for permission.
    pub intents: u64,
    /// Intents that a majority has stored.
    #[serde(rename = "held")]
    pub intents_replicated: u64,
    /// Decisions and permissions refused for want of a majority.
    #[serde(rename = "lacking_majority")]
    pub without_majority: u64,
    /// Dispatches permitted without a majority.
    #[serde(rename = "left_alone")]
    pub dispatched_without_majority: u64,
    /// Takeovers begun.
    pub takeovers: u64,
    /// Invocations for which the outcome at another owner is awaited.
    #[serde(rename = "joined")]
    pub awaiting_other_owner: u64,
    /// Stored answers given again.
    #[serde(rename = "answers_known")]
    pub answers_repeated: u64,
    /// Takeovers that proved that no dispatch was sent.
    #[serde(rename = "proven_unsent")]
    pub proven_not_dispatched: u64,
    /// Decisions that an invocation may have run.
    #[serde(rename = "may_have_run")]
    pub indeterminate: u64,
    /// Claims lost to another owner.
    #[serde(rename = "lost_to_others")]
    pub ownership_lost: u64,
    /// Requests on invocations that this member rejected.
    #[serde(rename = "refusals_given")]
    pub rejections_sent: u64,
    /// Records broadcast, counted once for each receiver.
    #[serde(rename = "told")]
    pub broadcasts_sent: u64,
    /// Records received after they had expired here.
    #[serde(rename = "forgotten_offers")]
    pub expired_records_received: u64,
    /// Records rejected as the store was full.
    #[serde(rename = "full")]
    pub rejected_store_full: u64,
    /// Answers too long to be stored.
    pub answers_too_large: u64,
    /// Comparisons begun.
    pub comparisons: u64,
    /// Records received in comparisons.
    pub records_fetched: u64,
    /// Comparisons that fetched whole leaves.
    pub snapshots: u64,
    /// Requests for records that were dropped.
    #[serde(rename = "wants_dropped")]
    pub fetch_requests_dropped: u64,
    /// Comparisons with another number of digests.
    #[serde(rename = "misfits")]
    pub malformed_comparisons: u64,
    /// Votes on choices that waited for the disk.
    #[serde(rename = "votes_withheld")]
    pub votes_deferred: u64,
    /// Of these, votes dropped for want of room.
    pub votes_dropped: u64,
}
