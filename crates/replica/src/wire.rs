//! The messages between members. A message may be lost, duplicated, delayed or reordered. Proofs rely only on votes,
//! and a vote states a fact that remains true no matter when the vote arrives.

use std::collections::BTreeMap;

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use crate::record::{Ballot, Choice};
use crate::store::{Key, Leaf, Origin, RecordCopy};
use crate::votes::KnownProcesses;

/// The version of the message format. It is incremented with every change of a message; members of different versions
/// reject each other's messages.
pub const VERSION: u16 = 3;

/// How much a member remembers of its earlier votes.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize,
)]
#[serde(rename_all = "kebab-case")]
pub enum RecoveryState {
    /// The member started without records.
    #[default]
    #[serde(rename = "lost")]
    Empty,
    /// The member started with the records on its disk, which may be older than its last votes.
    #[serde(rename = "kept")]
    Restored,
    /// The member remembers everything that it has voted for.
    #[serde(rename = "whole")]
    Complete,
}

/// Why an acceptor did not vote for a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum RejectionReason {
    /// A higher ballot was promised, or the record has another owner.
    #[serde(rename = "owned")]
    HigherBallot,
    /// The acceptor's store is full.
    #[serde(rename = "full")]
    StoreFull,
    /// The acceptor is recovering and does not vote yet.
    #[serde(rename = "returning")]
    Recovering,
    /// The record has expired at the acceptor.
    #[serde(rename = "forgotten")]
    Expired,
    /// The request was in transit for too long.
    #[serde(rename = "late")]
    TooLate,
}

/// A message between members. Variants are encoded by their position, so their order must never change.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Message {
    /// An owner requests that the intent of a dispatch be stored.
    StoreIntent {
        /// The invocation's key.
        key: Key,
        /// The owner's ballot.
        ballot: Ballot,
        /// The dispatch.
        dispatch: u64,
        /// Whether the ballot is a first ballot, which is valid only where the record has no other owner.
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
        /// The processes of all members as the voter knows them.
        views: KnownProcesses,
    },
    /// A new owner requests the promise not to store any intent under a lower ballot.
    Fence {
        /// The invocation's key.
        key: Key,
        /// The new owner's ballot.
        ballot: Ballot,
        /// The origin of the record under this ballot.
        origin: Origin,
        /// How long the promise is to be kept, in microseconds.
        lifetime: i64,
    },
    /// The vote on [`Message::Fence`]: the promise, with the record as it was before the promise.
    Fenced {
        /// The invocation's key.
        key: Key,
        /// The new owner's ballot.
        ballot: Ballot,
        /// The voter's record.
        record: Option<RecordCopy>,
        /// The processes of all members as the voter knows them.
        views: KnownProcesses,
    },
    /// The rejection of a [`Message::StoreIntent`] or [`Message::Fence`].
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
    /// Phase 1 of Paxos: a proposer requests a promise.
    Prepare {
        /// The choice's key.
        key: Key,
        /// The proposal's ballot.
        ballot: Ballot,
        /// How long the promise is to be kept, in microseconds.
        lifetime: i64,
    },
    /// The vote on [`Message::Prepare`].
    Promise {
        /// The choice's key.
        key: Key,
        /// The proposal's ballot.
        ballot: Ballot,
        /// The ballot that the voter has promised, and the value that it has accepted.
        choice: Choice,
        /// The processes of all members as the voter knows them.
        views: KnownProcesses,
    },
    /// Phase 2 of Paxos: a proposer requests that a value be accepted.
    Accept {
        /// The choice's key.
        key: Key,
        /// The proposal's ballot.
        ballot: Ballot,
        /// The value.
        value: Bytes,
        /// How long the choice is to be kept, in microseconds.
        lifetime: i64,
    },
    /// The vote on [`Message::Accept`].
    Accepted {
        /// The choice's key.
        key: Key,
        /// The proposal's ballot.
        ballot: Ballot,
        /// The hash of the value. Without it, a delayed acceptance of one value would be counted for the next value of
        /// the same term.
        value_hash: u64,
        /// The processes of all members as the voter knows them.
        views: KnownProcesses,
    },
    /// The rejection of a [`Message::Prepare`] or [`Message::Accept`].
    Nack {
        /// The choice's key.
        key: Key,
        /// The ballot that was rejected.
        ballot: Ballot,
        /// The ballot that the acceptor has promised, and the value that it has accepted.
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
    /// Begins a comparison: the sender requests the groups of leaves that differ.
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
        /// The recovery state of the answering member.
        memory: RecoveryState,
        /// The process tag by which the answering member knows the requesting member.
        your_process: u32,
        /// The leaf digests of each group that differs.
        groups: BTreeMap<Leaf, Vec<u64>>,
    },
    /// Requests the records of some leaves.
    FetchRecords {
        /// The sender's number of this request.
        serial: u64,
        /// Each leaf with the entries that the sender has. Records that equal one of these entries are left out of the
        /// answer; without entries, all records of the leaf are sent.
        leaves: Vec<(Leaf, Option<BTreeMap<u64, u64>>)>,
        /// The answer continues after this record.
        after: Option<(Leaf, Key)>,
    },
    /// The answer to [`Message::FetchRecords`].
    FetchedRecords {
        /// The number of the request.
        serial: u64,
        /// The records.
        records: Vec<(Key, RecordCopy)>,
        /// The last record of this batch, if there are more records. The next request continues after this record.
        more: Option<(Leaf, Key)>,
    },
}

impl Message {
    /// Whether the message belongs to a comparison of digests or a transfer of records. Such messages are sent with
    /// lower priority, as no invocation waits for them.
    pub fn is_bulk(&self) -> bool {
        matches!(
            self,
            Message::CompareDigests { .. }
                | Message::DifferingGroups { .. }
                | Message::FetchRecords { .. }
                | Message::FetchedRecords { .. }
        )
    }

    /// Whether the message may be dropped, because a later comparison restores what it would have transferred.
    pub fn is_recoverable(&self) -> bool {
        matches!(self, Message::Update { .. }) || self.is_bulk()
    }
}
