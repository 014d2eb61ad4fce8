//! The messages between members. Each may be lost, duplicated, delayed or reordered. Proofs rest on votes alone, and a
//! vote states a fact whenever it arrives.

use std::collections::BTreeMap;

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use crate::record::{Ballot, Choice};
use crate::store::{Key, Leaf, Origin, RecordCopy};
use crate::votes::Views;

/// Raised with every change of a message: members of different versions reject each other.
pub const VERSION: u16 = 3;

/// How much of its earlier votes a member remembers.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize,
)]
#[serde(rename_all = "kebab-case")]
pub enum RecoveryState {
    /// It started without records.
    #[default]
    #[serde(rename = "lost")]
    Empty,
    /// It started from its disk, which may be older than its last votes.
    #[serde(rename = "kept")]
    Restored,
    /// It remembers all that it has voted for; nothing is missing.
    #[serde(rename = "whole")]
    Complete,
}

/// Why an acceptor gave no vote.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum RejectionReason {
    /// A higher ballot was promised, or another owner has the record.
    #[serde(rename = "owned")]
    HigherBallot,
    /// The acceptor's store is full.
    #[serde(rename = "full")]
    StoreFull,
    /// The acceptor does not remember enough to vote.
    #[serde(rename = "returning")]
    Recovering,
    /// The record has expired at the acceptor.
    #[serde(rename = "forgotten")]
    Expired,
    /// The request was under way for too long.
    #[serde(rename = "late")]
    TooLate,
}

/// A message between members. Members exchange variants by their position: their order never changes.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Message {
    /// An owner asks to have the intent of a dispatch stored.
    StoreIntent {
        /// The invocation's key.
        key: Key,
        /// The owner's ballot.
        ballot: Ballot,
        /// The dispatch.
        dispatch: u64,
        /// The ballot is a first one, valid only where no other owner has the record.
        is_first_ballot: bool,
        /// The record with the intent.
        record: RecordCopy,
    },
    /// The vote on [`Message::StoreIntent`]: the intent is stored.
    IntentStored {
        /// The invocation's key.
        key: Key,
        /// The owner's ballot.
        ballot: Ballot,
        /// The dispatch.
        dispatch: u64,
        /// Which processes the voter knows.
        views: Views,
    },
    /// A new owner asks for the promise to store nothing under a lower ballot.
    Fence {
        /// The invocation's key.
        key: Key,
        /// The new owner's ballot.
        ballot: Ballot,
        /// The origin of the record under this ballot.
        origin: Origin,
        /// How long the promise is to be kept.
        lifetime: i64,
    },
    /// The vote on [`Message::Fence`]: the promise, and the record as it was before.
    Fenced {
        /// The invocation's key.
        key: Key,
        /// The new owner's ballot.
        ballot: Ballot,
        /// The voter's record.
        record: Option<RecordCopy>,
        /// Which processes the voter knows.
        views: Views,
    },
    /// No vote on [`Message::StoreIntent`] or [`Message::Fence`].
    Rejected {
        /// The invocation's key.
        key: Key,
        /// The ballot that was rejected.
        ballot: Ballot,
        /// The dispatch whose intent was rejected; absent for a fence.
        dispatch: Option<u64>,
        /// Why there is no vote.
        reason: RejectionReason,
        /// The acceptor's record.
        record: Option<RecordCopy>,
    },
    /// Phase 1 of Paxos: a proposer asks for a promise.
    Prepare {
        /// The choice's key.
        key: Key,
        /// The proposal's ballot.
        ballot: Ballot,
        /// How long the promise is to be kept.
        lifetime: i64,
    },
    /// The vote on [`Message::Prepare`].
    Promise {
        /// The choice's key.
        key: Key,
        /// The proposal's ballot.
        ballot: Ballot,
        /// What the voter promised and accepted.
        choice: Choice,
        /// Which processes the voter knows.
        views: Views,
    },
    /// Phase 2 of Paxos: a proposer asks to have a value accepted.
    Accept {
        /// The choice's key.
        key: Key,
        /// The proposal's ballot.
        ballot: Ballot,
        /// The value.
        value: Bytes,
        /// How long the choice is to be kept.
        lifetime: i64,
    },
    /// The vote on [`Message::Accept`].
    Accepted {
        /// The choice's key.
        key: Key,
        /// The proposal's ballot.
        ballot: Ballot,
        /// The hash of the value. Symptom: a late acceptance of one value was counted for the next of the same term.
        value_hash: u64,
        /// Which processes the voter knows.
        views: Views,
    },
    /// No vote on [`Message::Prepare`] or [`Message::Accept`].
    Nack {
        /// The choice's key.
        key: Key,
        /// The ballot that was rejected.
        ballot: Ballot,
        /// What the acceptor promised and accepted.
        choice: Option<Choice>,
        /// Why there is no vote.
        reason: RejectionReason,
    },
    /// A record that the sender has changed.
    Update {
        /// The record's key.
        key: Key,
        /// The record.
        record: RecordCopy,
    },
    /// Begins a comparison: the sender asks which of its groups of leaves differ.
    CompareDigests {
        /// The sender's number of this request.
        serial: u64,
        /// The digests of all groups.
        groups: Vec<u64>,
    },
    /// The answer to [`Message::CompareDigests`].
    DifferingGroups {
        /// The number of the request.
        serial: u64,
        /// How much the answering member remembers.
        memory: RecoveryState,
        /// Which process the answering member takes the asking one for.
        your_process: u32,
        /// The leaf digests of each group that differs.
        groups: BTreeMap<Leaf, Vec<u64>>,
    },
    /// Asks for the records of some leaves.
    FetchRecords {
        /// The sender's number of this request.
        serial: u64,
        /// Each leaf with the entries that the sender has, which are left out if they are the same; without entries,
        /// all records of the leaf are sent.
        leaves: Vec<(Leaf, Option<BTreeMap<u64, u64>>)>,
        /// Continue after this record.
        after: Option<(Leaf, Key)>,
    },
    /// The answer to [`Message::FetchRecords`].
    FetchedRecords {
        /// The number of the request.
        serial: u64,
        /// The records.
        records: Vec<(Key, RecordCopy)>,
        /// There are more: ask again, continuing after this record.
        more: Option<(Leaf, Key)>,
    },
}

impl Message {
    /// Carries many records, or asks for them: it is sent after messages that somebody waits for.
    pub fn is_bulk(&self) -> bool {
        matches!(
            self,
            Message::CompareDigests { .. }
                | Message::DifferingGroups { .. }
                | Message::FetchRecords { .. }
                | Message::FetchedRecords { .. }
        )
    }

    /// If it is lost, a later comparison makes up for it.
    pub fn is_made_up_for(&self) -> bool {
        matches!(self, Message::Update { .. }) || self.is_bulk()
    }
}
