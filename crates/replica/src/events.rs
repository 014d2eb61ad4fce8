//! The inputs and outputs of [`crate::Replica::handle`], and the counters of a replica.

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
    /// This router has accepted an invocation. [`Output::Decision`] is the answer.
    Announce {
        /// The invocation's key.
        key: Key,
        /// Whether a dispatch needs a majority.
        durability: Durability,
        /// Whether the message was delivered before, to this router or another one.
        redelivered: bool,
    },
    /// The router requests permission for a dispatch. [`Output::DispatchPermission`] is the answer.
    RequestDispatch {
        /// The invocation's key.
        key: Key,
        /// The dispatch, unique within this process.
        dispatch: u64,
        /// The deduplication scope of the worker, if there are several scopes.
        deduplication_scope: u32,
        /// Whether to permit the dispatch even if no majority can be reached.
        without_majority: bool,
    },
    /// A dispatch that does not need a majority was sent without a request for permission.
    Dispatched {
        /// The invocation's key.
        key: Key,
        /// The dispatch, unique within this process.
        dispatch: u64,
        /// The deduplication scope of the worker, if there are several scopes.
        deduplication_scope: u32,
    },
    /// A dispatch has ended.
    DispatchEnded {
        /// The invocation's key.
        key: Key,
        /// The dispatch, unique within this process.
        dispatch: u64,
        /// Whether the dispatch may have run; otherwise it certainly did not run.
        may_have_run: bool,
    },
    /// The invocation has an answer.
    Answered {
        /// The invocation's key.
        key: Key,
        /// The encoded answer.
        answer: Bytes,
    },
    /// The delivery of the answer is final.
    DeliveryFinal {
        /// The invocation's key.
        key: Key,
    },
    /// No client of this router waits for the invocation any more.
    Abandoned {
        /// The invocation's key.
        key: Key,
    },
    /// This member publishes an observation.
    PublishNote {
        /// The note's key.
        key: Key,
        /// The version, higher than those of all earlier notes under this key.
        version: (u64, u64),
        /// The encoded observation.
        value: Bytes,
        /// How long the note is retained, in microseconds.
        retention: Micros,
    },
    /// Propose this value under a key whose value is chosen once. If a value was chosen already, learn that value.
    Choose {
        /// The choice's key.
        key: Key,
        /// The proposed value.
        value: Bytes,
        /// How long the choice is retained, in microseconds.
        retention: Micros,
    },
    /// Become the leader that writes this key, in a new term.
    RequestLeadership {
        /// The choice's key.
        key: Key,
        /// How long the choice is retained, in microseconds.
        retention: Micros,
    },
    /// Write a value in a term that this member won.
    Write {
        /// The choice's key.
        key: Key,
        /// The term.
        ballot: Ballot,
        /// The value. It must compare greater, byte by byte, than the values written earlier in this term.
        value: Bytes,
        /// How long the choice is retained, in microseconds.
        retention: Micros,
    },
    /// A message from another member has arrived.
    MessageReceived {
        /// The sender.
        from: MemberIndex,
        /// The nonce of the sender's process.
        nonce: u64,
        /// An upper bound of the time that the message was in transit, in microseconds.
        transit: Micros,
        /// The message.
        message: Message,
    },
    /// The membership service reports a member's state.
    MemberChanged {
        /// The member.
        member: MemberIndex,
        /// The nonce of the member's current process.
        nonce: u64,
        /// Whether the membership service considers the member alive.
        alive: bool,
    },
    /// All batches of [`crate::Replica::changes`] up to this serial are on disk.
    Persisted {
        /// The serial.
        serial: u64,
    },
    /// Time has passed: handle everything that is due (see [`crate::Replica::next_due`]).
    Tick,
}

/// An action that a replica requests, or an event that it reports.
#[derive(Clone, Debug, PartialEq)]
pub enum Output {
    /// Send a message.
    Send {
        /// The receiver.
        to: MemberIndex,
        /// The message.
        message: Message,
    },
    /// The decision on an invocation that this router announced.
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
        /// The dispatch for which permission was requested.
        dispatch: u64,
        /// `Ok(false)`: a majority has stored the intent. `Ok(true)`: no majority has stored the intent in time, and
        /// the operator allows dispatches without a majority.
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
    /// Recovery is complete: this member votes from this time on.
    Recovered,
}

/// Counters since the start of the process. Their keys in `/state` are their names in the `serde` encoding.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Counts {
    /// Invocations that this router announced ([`Input::Announce`]).
    pub taken: u64,
    /// Dispatches for which permission was requested.
    pub intents: u64,
    /// Intents that a majority has stored.
    #[serde(rename = "held")]
    pub intents_replicated: u64,
    /// Decisions and permissions that were refused because there was no majority.
    #[serde(rename = "lacking_majority")]
    pub without_majority: u64,
    /// Dispatches permitted without a majority.
    #[serde(rename = "left_alone")]
    pub dispatched_without_majority: u64,
    /// Takeovers begun.
    pub takeovers: u64,
    /// Invocations for which this router waited for the outcome at another owner.
    #[serde(rename = "joined")]
    pub awaiting_other_owner: u64,
    /// Stored answers that were returned again.
    #[serde(rename = "answers_known")]
    pub answers_repeated: u64,
    /// Takeovers that proved that no earlier dispatch may have run.
    #[serde(rename = "proven_unsent")]
    pub proven_not_dispatched: u64,
    /// Decisions that an invocation may have run.
    #[serde(rename = "may_have_run")]
    pub indeterminate: u64,
    /// Invocations whose ownership was lost to another owner.
    #[serde(rename = "lost_to_others")]
    pub ownership_lost: u64,
    /// Requests for votes on invocations that this member rejected.
    #[serde(rename = "refusals_given")]
    pub rejections_sent: u64,
    /// Records broadcast, counted once for each receiver.
    #[serde(rename = "told")]
    pub broadcasts_sent: u64,
    /// Records received after they had expired here.
    #[serde(rename = "forgotten_offers")]
    pub expired_records_received: u64,
    /// Records rejected because the store was full.
    #[serde(rename = "full")]
    pub rejected_store_full: u64,
    /// Answers too long to be stored.
    pub answers_too_large: u64,
    /// Comparisons of records that this member began with other members.
    pub comparisons: u64,
    /// Records received in comparisons.
    pub records_fetched: u64,
    /// Comparisons that fetched whole leaves.
    pub snapshots: u64,
    /// Requests for records that were dropped.
    #[serde(rename = "wants_dropped")]
    pub fetch_requests_dropped: u64,
    /// Comparisons rejected because the sender's store has a different number of groups of records.
    #[serde(rename = "misfits")]
    pub malformed_comparisons: u64,
    /// Votes on choices that waited for the disk.
    #[serde(rename = "votes_withheld")]
    pub votes_deferred: u64,
    /// Votes on choices that waited for the disk and were dropped because too many votes waited.
    pub votes_dropped: u64,
}
