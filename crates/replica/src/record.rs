//! The kinds of records, and the rule that merges two copies: [`Record::merge`]. Merging is commutative, associative and
//! idempotent, so copies that have received the same updates in any order are equal.
//!
//! | kind | what it describes | copies that differ |
//! | --- | --- | --- |
//! | [`Invocation`] | an invocation, or an idempotency key | states only advance; the higher owner; two answers are a conflict |
//! | [`Choice`] | a value that a majority agreed on, once or term after term | the higher ballot |
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

/// The number of a first ballot: used without a promise, valid only where no other owner has the record.
pub const FIRST: u32 = 1;

/// The state of one dispatch. States only advance in this order, and the later one is the more cautious.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub enum IntentState {
    /// It may be sent, or was sent.
    Intended,
    /// It certainly did not run.
    NotExecuted,
    /// It may have run.
    Indeterminate,
}

/// A dispatch that a member intends to send, or has sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct DispatchIntent {
    /// The member that sends it.
    pub member: MemberIndex,
    /// How far it has come.
    pub state: IntentState,
    /// The deduplication scope of its worker, where there are several.
    pub deduplication_scope: u32,
}

/// A dispatch: the nonce of the sending process, and the dispatch's number there.
pub type DispatchId = (u64, u64);

/// The answer to an invocation, as it is stored.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub enum StoredAnswer {
    /// The encoded answer.
    Stored(Bytes),
    /// There was an answer, but it was too long to be stored.
    TooLarge,
}

/// Which member may dispatch an invocation.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize,
)]
pub struct Owner {
    /// The highest ballot promised; the owner is its proposer.
    pub ballot: Ballot,
    /// The owner has released the invocation, as nobody waits for it there any more.
    pub released: bool,
}

/// The state of an invocation.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Invocation {
    /// Who may dispatch it.
    pub owner: Owner,
    /// A member has taken the invocation. Otherwise the record only stores a promise.
    pub taken: bool,
    /// Intents may be lost: the absence of an intent proves nothing.
    pub may_lack_intents: bool,
    /// The dispatches known here.
    pub intents: BTreeMap<DispatchId, DispatchIntent>,
    /// The answer, if there was one.
    pub answer: Option<StoredAnswer>,
    /// The answer was delivered for good; dispatches and answer are dropped.
    pub closed: bool,
    /// Two different answers were given, and neither was delivered for good.
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

    /// The answer was delivered for good.
    pub fn close(&mut self) {
        self.closed = true;
        self.drop_details_if_closed();
    }
}

/// The state of a Paxos acceptor for one key.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Choice {
    /// Lower ballots are rejected.
    pub promised: Ballot,
    /// The value accepted under the highest ballot, and that ballot.
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
    /// Compared in order: for a worker, its start and then the number of the observation.
    pub version: (u64, u64),
    /// The encoded observation.
    pub value: Bytes,
}

/// What is stored under one key.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Record {
    /// An invocation.
    Invocation(Invocation),
    /// A value agreed on.
    Choice(Choice),
    /// An observation.
    Note(Note),
}

impl Record {
    /// True if this copy has changed. Records of different kinds have different keys; a record of another kind changes
    /// nothing.
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

    /// The state of an invocation.
    pub fn effect(&self) -> Option<&Invocation> {
        match self {
            Record::Invocation(effect) => Some(effect),
            _ => None,
        }
    }

    /// The owner of an invocation. As long as it stays the same, so does the record's expiry.
    pub fn owner(&self) -> Option<Ballot> {
        self.effect().map(|effect| effect.owner.ballot)
    }
}
