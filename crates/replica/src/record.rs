//! What is shared, and the rule for two copies that differ: [`Record::join`]. Joining is the same in any order and any
//! number of times, so copies that have heard the same things are the same.
//!
//! | kind | what it is of | copies that differ |
//! | --- | --- | --- |
//! | [`Effect`] | an invocation, or a token | states only advance; the higher owner; two answers are a fault |
//! | [`Choice`] | what a majority decided once, or term after term | the higher ballot |
//! | [`Note`] | what somebody observed | the higher version |

use std::collections::BTreeMap;

use bytes::Bytes;
use cedarpulley_membership::MemberIndex;
use serde::{Deserialize, Serialize};

/// Under which a member acts; any two can be told apart, and there is always a higher one.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize,
)]
pub struct Ballot {
    pub number: u32,
    pub member: MemberIndex,
    /// Of its process: what an earlier process of the same member knew is not known any more.
    pub nonce: u64,
}

/// The first: taken without asking anybody, valid only where nobody else has the record.
pub const FIRST: u32 = 1;

/// What became of one dispatch. The order is that in which it advances, and of caution.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Sent {
    /// It may leave, or has left.
    Intended,
    NeverRan,
    MayHaveRun,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Sending {
    pub member: MemberIndex,
    pub state: Sent,
    /// Of workers that drop repeats of it, where there are several groups.
    pub place: u32,
}

/// Of which process, and which of its dispatches.
pub type SendingIx = (u64, u64);

#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Answered {
    Kept(Bytes),
    /// It was given, and is larger than what is kept of answers.
    TooLarge,
}

#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize,
)]
pub struct Owner {
    pub ballot: Ballot,
    /// It holds it no more: its client or its front has left it.
    pub let_go: bool,
}

#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Effect {
    pub owner: Owner,
    /// Somebody has taken it. Without, it is only a place where a promise is kept.
    pub taken: bool,
    /// What is not here may be forgotten: that there is no sending proves nothing.
    pub doubtful: bool,
    pub sendings: BTreeMap<SendingIx, Sending>,
    pub answer: Option<Answered>,
    /// The answer is out for good; nothing else is kept of it.
    pub closed: bool,
    /// Two different answers were given, and neither is out for good.
    pub fault: bool,
}

impl Effect {
    fn settle(&mut self) {
        if self.closed {
            (self.taken, self.answer, self.doubtful, self.fault) = (true, None, false, false);
            self.sendings.clear();
        }
    }

    fn join(&mut self, other: &Effect) {
        self.owner = self.owner.max(other.owner);
        self.taken |= other.taken;
        self.doubtful |= other.doubtful;
        self.closed |= other.closed;
        self.fault |= other.fault;
        for (ix, theirs) in &other.sendings {
            let ours = self.sendings.entry(*ix).or_insert(*theirs);
            ours.state = ours.state.max(theirs.state);
        }
        match (&self.answer, &other.answer) {
            (Some(ours), Some(theirs)) if ours != theirs => {
                self.fault = true;
                self.answer = Some(ours.min(theirs).clone());
            }
            (None, Some(theirs)) => self.answer = Some(theirs.clone()),
            _ => {}
        }
        self.settle();
    }

    pub fn close(&mut self) {
        self.closed = true;
        self.settle();
    }
}

#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Choice {
    /// Nothing below it is accepted any more.
    pub promised: Ballot,
    pub accepted: Option<(Ballot, Bytes)>,
}

impl Choice {
    fn join(&mut self, other: &Choice) {
        self.promised = self.promised.max(other.promised);
        if other.accepted > self.accepted {
            self.accepted.clone_from(&other.accepted);
        }
    }
}

#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Note {
    /// The first part goes before the second: a worker's start before what was seen of it since.
    pub version: (u64, u64),
    pub value: Bytes,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Record {
    Effect(Effect),
    Choice(Choice),
    Note(Note),
}

impl Record {
    /// True if this copy has changed. Records of different kinds have different keys; one that does not fit changes
    /// nothing.
    pub fn join(&mut self, other: &Record) -> bool {
        let before = self.clone();
        match (&mut *self, other) {
            (Record::Effect(ours), Record::Effect(theirs)) => ours.join(theirs),
            (Record::Choice(ours), Record::Choice(theirs)) => ours.join(theirs),
            (Record::Note(ours), Record::Note(theirs)) if theirs > ours => ours.clone_from(theirs),
            _ => {}
        }
        *self != before
    }

    /// Whose word it is: while that is the same, so is how long it is kept.
    pub fn owner(&self) -> Option<Ballot> {
        match self {
            Record::Effect(e) => Some(e.owner.ballot),
            _ => None,
        }
    }
}
