//! What members say to each other. Every message may be lost, doubled, late or out of order; none of them is needed
//! for a proof but the votes, and a vote is a fact whenever it comes.

use std::collections::BTreeMap;

use bytes::Bytes;
use cedarpulley_membership::MemberIndex;
use serde::{Deserialize, Serialize};

use crate::record::{Ballot, Choice, Record};
use crate::store::{Key, Leaf, Origin, Shared};

/// Raised with every change of a message: members of different versions refuse each other.
pub const VERSION: u16 = 3;

/// How much a member remembers.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize,
)]
#[serde(rename_all = "kebab-case")]
pub enum Memory {
    /// It began with nothing: what it once promised it does not know.
    #[default]
    Lost,
    /// It began from its folder, which may be older than what it once promised.
    Kept,
    Whole,
}

/// Which process the voter holds each member for, in their order. A vote counts beside others only if they all mean the
/// same processes.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Views(pub Vec<u32>);

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Refusal {
    /// Another owner has it.
    Owned,
    /// No room for one more record.
    Full,
    /// The voter does not remember enough to vote.
    Returning,
    /// Its time is over here.
    Forgotten,
    /// The question came too late to be answered.
    Late,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Message {
    /// An intent to dispatch, to be held. `blind`: valid only where nobody else has the record.
    Intend {
        key: Key,
        ballot: Ballot,
        sending: u64,
        blind: bool,
        shared: Shared,
    },
    Holds {
        key: Key,
        ballot: Ballot,
        sending: u64,
        views: Views,
    },
    /// Nothing below this ballot is to be held any more.
    Fence {
        key: Key,
        ballot: Ballot,
        origin: Origin,
        left: i64,
    },
    Fenced {
        key: Key,
        ballot: Ballot,
        shared: Option<Shared>,
        views: Views,
    },
    /// To an intent (its sending is named) or a fence.
    Refused {
        key: Key,
        ballot: Ballot,
        sending: Option<u64>,
        why: Refusal,
        shared: Option<Shared>,
    },
    /// For what is decided by a majority: first the promise, then the value.
    Prepare {
        key: Key,
        ballot: Ballot,
        left: i64,
    },
    Prepared {
        key: Key,
        ballot: Ballot,
        choice: Choice,
        views: Views,
    },
    Accept {
        key: Key,
        ballot: Ballot,
        value: Bytes,
        left: i64,
    },
    /// `of`: of the value. Symptom: a late acceptance of one value was counted for the next of the same term.
    Accepted {
        key: Key,
        ballot: Ballot,
        of: u64,
        views: Views,
    },
    Overtaken {
        key: Key,
        ballot: Ballot,
        choice: Option<Choice>,
        why: Refusal,
    },
    Tell {
        key: Key,
        shared: Shared,
    },
    /// Digests of all groups of leaves; the one that asks wants to know what it lacks.
    Compare {
        serial: u64,
        groups: Vec<u64>,
    },
    /// Leaf digests of the groups that differ, and whom the one that answers holds the asker for.
    Differ {
        serial: u64,
        memory: Memory,
        you: u32,
        groups: BTreeMap<Leaf, Vec<u64>>,
    },
    /// Of these leaves, what is not listed with the same digest; of a leaf without a list, everything.
    Want {
        serial: u64,
        leaves: Vec<(Leaf, Option<BTreeMap<u64, u64>>)>,
        after: Option<(Leaf, Key)>,
    },
    /// `more`: to be asked for from there on.
    Have {
        serial: u64,
        records: Vec<(Key, Shared)>,
        more: Option<(Leaf, Key)>,
    },
}

impl Message {
    /// Carries many records, or asks for them: it waits behind what somebody waits for.
    pub fn is_bulk(&self) -> bool {
        matches!(
            self,
            Message::Compare { .. }
                | Message::Differ { .. }
                | Message::Want { .. }
                | Message::Have { .. }
        )
    }

    /// If it is lost, a later comparison makes up for it.
    pub fn is_made_up_for(&self) -> bool {
        matches!(self, Message::Tell { .. }) || self.is_bulk()
    }
}

/// Votes for one thing: a majority of them counts once its voters mean the same processes. Symptom: a member promises,
/// starts anew without memory and votes again; the promise of its earlier process must not be added to others' newer
/// votes.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct Votes(BTreeMap<MemberIndex, (u32, Views)>);

impl Votes {
    /// `process`: of the voter, as it says itself.
    pub fn put(&mut self, from: MemberIndex, process: u32, views: Views) {
        self.0.insert(from, (process, views));
    }

    pub fn voters(&self) -> impl Iterator<Item = MemberIndex> + '_ {
        self.0.keys().copied()
    }

    pub fn has(&self, member: MemberIndex) -> bool {
        self.0.contains_key(&member)
    }

    pub fn len(&self) -> usize {
        self.0.len()
    }

    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// The voters that all mean the same processes of each other, beginning with the proposer.
    pub fn agreeing(&self, first: MemberIndex) -> Vec<MemberIndex> {
        let mean = |a: MemberIndex, b: MemberIndex| {
            self.0
                .get(&a)
                .zip(self.0.get(&b))
                .is_some_and(|((_, views), (process, _))| views.0.get(b as usize) == Some(process))
        };
        let mut agreed: Vec<MemberIndex> = Vec::new();
        let order = self
            .0
            .keys()
            .copied()
            .filter(|m| *m == first)
            .chain(self.0.keys().copied().filter(|m| *m != first));
        for m in order {
            if agreed.iter().all(|a| mean(m, *a) && mean(*a, m)) {
                agreed.push(m);
            }
        }
        agreed
    }
}

/// A process's nonce as it is compared in votes.
pub fn short(nonce: u64) -> u32 {
    (nonce ^ nonce >> 32) as u32
}

/// What of a record of one kind is sent with a refusal.
pub fn choice(record: &Record) -> Option<Choice> {
    match record {
        Record::Choice(c) => Some(c.clone()),
        _ => None,
    }
}
