//! Votes on choices that wait for this member's folder. Whatever is promised or accepted stands against every later
//! choice, so it has to outlive the process that says so: a majority that dies at once and starts again would else
//! decide once more, and differently. Called with [`Replica::votes_on`] for a vote, [`Replica::changes`] when the folder
//! takes what has changed, and [`crate::Input::Kept`] when that is on disk.
//!
//! Mechanisms:
//! 1. Each taking of changes has a serial. A vote waits for the taking that its record is part of, so that all votes
//!    of the time that one writing needs go by the next.
//! 2. The proposer's own vote waits like any other; the others are asked meanwhile.
//! 3. What waits is bounded. The oldest goes first: to whoever asked it is a vote that was lost, and asked for again.
//!
//! Without a folder nothing waits. What stands of invocations does not wait either: its proof does not rest on folders.

use std::collections::{BTreeSet, VecDeque};

use cedarpulley::interface::Micros;
use cedarpulley_membership::MemberIndex;

use crate::record::Ballot;
use crate::replica::{Guard, Output, Replica, hashed};
use crate::store::{Key, Shared};
use crate::wire::Message;

/// Some seconds of a thousand choices a second, on a disk that hangs.
const MOST_WAITING: usize = 4096;

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) enum Vote {
    Given {
        to: MemberIndex,
        message: Message,
    },
    /// To itself, as the one that asks; `accepts`: which value.
    Own {
        ballot: Ballot,
        accepts: Option<u64>,
    },
}

/// Serials of takings: the last, and the last that is on disk.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct Keeping {
    taken: u64,
    kept: u64,
    waiting: VecDeque<Waits>,
    /// Of those that wait, so that none waits twice.
    marks: BTreeSet<u64>,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Waits {
    /// The taking.
    needs: u64,
    key: Key,
    vote: Vote,
    mark: u64,
}

impl Replica {
    /// A vote on what was just promised or accepted here.
    pub(crate) fn votes_on(&mut self, now: Micros, key: &Key, vote: Vote, out: &mut Vec<Output>) {
        let needs = self.keeping.taken + u64::from(self.store.is_dirty(key));
        // In the order in which they were given.
        let needs = needs.max(self.keeping.waiting.back().map_or(0, |w| w.needs));
        if needs <= self.keeping.kept || !self.terms.written || self.without(Guard::Kept) {
            return self.casts(now, key, vote, out);
        }
        // Symptom: the disk is slow, and what is asked again every tenth of a second takes the room of other votes.
        let mark = hashed((key, &vote));
        let Keeping { waiting, marks, .. } = &mut self.keeping;
        if !marks.insert(mark) {
            return;
        }
        if waiting.len() >= MOST_WAITING
            && let Some(dropped) = waiting.pop_front()
        {
            marks.remove(&dropped.mark);
            self.counts.votes_dropped += 1;
        }
        self.counts.votes_withheld += 1;
        waiting.push_back(Waits {
            needs,
            key: key.clone(),
            vote,
            mark,
        });
    }

    fn casts(&mut self, now: Micros, key: &Key, vote: Vote, out: &mut Vec<Output>) {
        match vote {
            Vote::Given { to, message } => out.push(Output::Send { to, message }),
            Vote::Own { ballot, accepts } => self.votes_itself(now, key, ballot, accepts, out),
        }
    }

    /// All takings up to this one are on disk.
    pub(crate) fn kept(&mut self, now: Micros, serial: u64, out: &mut Vec<Output>) {
        self.keeping.kept = self.keeping.kept.max(serial.min(self.keeping.taken));
        let Keeping {
            kept,
            waiting,
            marks,
            ..
        } = &mut self.keeping;
        let ready = waiting.partition_point(|w| w.needs <= *kept);
        let ready: Vec<Waits> = waiting.drain(..ready).collect();
        ready.iter().for_each(|w| {
            marks.remove(&w.mark);
        });
        for w in ready {
            self.casts(now, &w.key, w.vote, out);
        }
    }

    /// A vote waits for a taking that has not been made.
    pub fn awaits_folder(&self) -> bool {
        self.keeping
            .waiting
            .back()
            .is_some_and(|w| w.needs > self.keeping.taken)
    }

    /// What has changed since it was last asked, for a folder: the record, or that it is gone. And the serial by which
    /// [`crate::Input::Kept`] is to say that this is on disk, and all before.
    pub fn changes(&mut self, now: Micros) -> (u64, Vec<(Key, Option<Shared>)>) {
        let dirty = self.store.take_dirty();
        self.keeping.taken += u64::from(!dirty.is_empty());
        let changes = dirty
            .into_iter()
            .map(|key| (key.clone(), self.store.shared(now, &key)))
            .collect();
        (self.keeping.taken, changes)
    }
}
