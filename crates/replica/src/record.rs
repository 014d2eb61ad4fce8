//! The kinds of records, and the rule for merging two copies of a record: [`Record::merge`]. Merging is commutative,
//! associative and idempotent, so copies that have received the same updates in any order are equal.
//!
//! | kind | content | result of merging copies that differ |
//! | --- | --- | --- |
//! | [`Invocation`] | an invocation, or an idempotency key | later states, the higher owner; two answers are a conflict |
//! | [`Choice`] | a value that a majority agreed on, once or in successive terms | the higher ballot |
//! | [`Note`] | an observation of one member | the higher version |

use std::collections::BTreeMap;

use bytes::Bytes;
use cedarpulley_membership::MemberIndex;
use serde::{Deserialize, Serialize};

/// A ballot number as in Paxos: all ballots are different and ordered, and there is always a higher one.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize,
)]
pub struct Ballot {
    /// The round; compared first.
    pub number: u32,
    /// The proposer.
    pub member: MemberIndex,
    /// The proposer's process: an earlier process of the same member is a different proposer.
    pub nonce: u64,
}

/// The number of a first ballot. A first ballot is used without a promise and is valid only where the record has no
/// other owner.
pub const FIRST_BALLOT_NUMBER: u32 = 1;

/// The state of one dispatch. A state is only replaced by a later one in this order; the later state is the more
/// cautious assumption.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub enum IntentState {
    /// The dispatch may be sent, or was sent.
    Intended,
    /// The dispatch certainly did not run.
    NotExecuted,
    /// The dispatch may have run.
    Indeterminate,
}

/// The record of a dispatch that a member intends to send, or has sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct DispatchIntent {
    /// The member that sends the dispatch.
    pub member: MemberIndex,
    /// The state of the dispatch.
    pub state: IntentState,
    /// The deduplication scope of the worker, if there are several scopes.
    pub deduplication_scope: u32,
}

/// Identifies a dispatch: the nonce of the sending process, and the number of the dispatch within that process.
pub type DispatchId = (u64, u64);

/// The answer to an invocation, as it is stored.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub enum StoredAnswer {
    /// The encoded answer.
    Stored(Bytes),
    /// The invocation was answered, but the answer was too long to be stored.
    TooLarge,
}

/// Which member may dispatch an invocation.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize,
)]
pub struct Owner {
    /// The highest promised ballot. The owner is the proposer of this ballot.
    pub ballot: Ballot,
    /// Whether the owner has released the invocation, because no client waits for it there any more or because the
    /// owner obtained no majority. The owner will not dispatch the invocation any more.
    pub released: bool,
}

/// The state of an invocation.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Invocation {
    /// The member that may dispatch the invocation.
    pub owner: Owner,
    /// Whether a member has taken the invocation. Otherwise the record only stores a promise.
    pub taken: bool,
    /// Whether intents may be lost, so that the absence of an intent proves nothing.
    pub may_lack_intents: bool,
    /// The dispatches that this copy of the record contains.
    pub intents: BTreeMap<DispatchId, DispatchIntent>,
    /// The answer, if the invocation was answered and is not closed.
    pub answer: Option<StoredAnswer>,
    /// Whether the delivery of the answer is final; dispatches and answer are then dropped.
    pub closed: bool,
    /// Whether two different answers were given, and the delivery of neither is final.
    pub has_conflict: bool,
}

impl Invocation {
    fn drop_details_if_closed(&mut self) {
        if self.closed {
            (
                self.taken,
                self.answer,
                self.may_lack_intents,
                self.has_conflict,
            ) = (true, None, false, false);
            self.intents.clear();
        }
    }

    fn merge(&mut self, other: &Invocation) {
        self.owner = self.owner.max(other.owner);
        self.taken |= other.taken;
        self.may_lack_intents |= other.may_lack_intents;
        self.closed |= other.closed;
        self.has_conflict |= other.has_conflict;
        for (dispatch_id, theirs) in &other.intents {
            let ours = self.intents.entry(*dispatch_id).or_insert(*theirs);
            ours.state = ours.state.max(theirs.state);
        }
        match (&self.answer, &other.answer) {
            (Some(ours), Some(theirs)) if ours != theirs => {
                self.has_conflict = true;
                self.answer = Some(ours.min(theirs).clone());
            }
            (None, Some(theirs)) => self.answer = Some(theirs.clone()),
            _ => {}
        }
        self.drop_details_if_closed();
    }

    /// Records that the delivery of the answer is final, and drops the details.
    pub fn close(&mut self) {
        self.closed = true;
        self.drop_details_if_closed();
    }
}

/// The state of a Paxos acceptor for one key.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Choice {
    /// The promised ballot: lower ballots are rejected.
    pub promised: Ballot,
    /// The accepted value with the highest ballot, and that ballot.
    pub accepted: Option<(Ballot, Bytes)>,
}

impl Choice {
    fn merge(&mut self, other: &Choice) {
        self.promised = self.promised.max(other.promised);
        if other.accepted > self.accepted {
            self.accepted.clone_from(&other.accepted);
        }
    }
}

/// An observation that a member published.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Note {
    /// The version, compared in the order of its parts: for a worker, its start and then the number of the observation.
    pub version: (u64, u64),
    /// The encoded observation.
    pub value: Bytes,
}

/// The content of a record, which is stored under one key.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Record {
    /// An invocation.
    Invocation(Invocation),
    /// A value that a majority agreed on.
    Choice(Choice),
    /// An observation of one member.
    Note(Note),
}

impl Record {
    /// Merges another copy into this one, and returns whether this copy has changed. Records of different kinds have
    /// different keys; a record of another kind is ignored.
    pub fn merge(&mut self, other: &Record) -> bool {
        let before = self.clone();
        match (&mut *self, other) {
            (Record::Invocation(ours), Record::Invocation(theirs)) => ours.merge(theirs),
            (Record::Choice(ours), Record::Choice(theirs)) => ours.merge(theirs),
            (Record::Note(ours), Record::Note(theirs)) if theirs > ours => ours.clone_from(theirs),
            _ => {}
        }
        *self != before
    }

    /// The state of the invocation, if this is the record of an invocation.
    pub fn invocation(&self) -> Option<&Invocation> {
        match self {
            Record::Invocation(invocation) => Some(invocation),
            _ => None,
        }
    }

    /// The owner's ballot, if this is the record of an invocation. A change of owner
    /// replaces the record's expiry.
    pub fn owner(&self) -> Option<Ballot> {
        self.invocation().map(|invocation| invocation.owner.ballot)
    }
}
