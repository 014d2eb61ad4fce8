//! Votes on choices that wait until this member's disk has what they promise. A promise or an acceptance binds this
//! member against every later proposal, so it has to outlive the process: otherwise a majority that crashes at once
//! and restarts could choose a second, different value.
//!
//! 1. Changes go to the disk in batches, and each batch has a serial. A vote waits for the batch with its record, so
//!    that all votes given while one batch is written are released by the next.
//! 2. The proposer's own vote waits like any other; the requests to the others are sent meanwhile.
//! 3. The number of waiting votes is bounded. The oldest is dropped first: to the proposer it is a lost message, and it
//!    asks again.
//!
//! Without a disk nothing waits. Votes on invocations do not wait either, as their proof does not rely on the disk.

use std::collections::{BTreeSet, VecDeque};

use cedarpulley_membership::MemberIndex;

use crate::hashed;
use crate::record::Ballot;
use crate::store::Key;
use crate::wire::Message;

/// A few seconds of a thousand choices a second, on a disk that hangs.
const MAX_WAITING: usize = 4096;

/// A vote that was given, but not counted or sent yet.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) enum PendingVote {
    /// For another member.
    Remote { to: MemberIndex, message: Message },
    /// For a proposal of this member; `value_hash`: of the accepted value, or nothing for a promise.
    Own {
        ballot: Ballot,
        value_hash: Option<u64>,
    },
}

/// Why a vote is not sent now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Withheld {
    /// It waits for the disk.
    Deferred {
        /// The oldest waiting vote was dropped for it.
        dropped_oldest: bool,
    },
    /// The same vote waits already.
    Duplicate,
}

/// The votes that wait for the disk, and the serials of the batches that go there.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub(crate) struct VotesAwaitingDisk {
    last_batch: u64,
    last_persisted: u64,
    waiting: VecDeque<WaitingVote>,
    /// Hashes of the waiting votes, so that none waits twice.
    hashes: BTreeSet<u64>,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct WaitingVote {
    /// The batch with the vote's record.
    batch: u64,
    key: Key,
    vote: PendingVote,
    hash: u64,
}

impl VotesAwaitingDisk {
    /// Returns the vote if it may be sent now. `is_dirty`: the vote's record has changes that are in no batch yet; `must_persist`: whether votes wait at all.
    pub(crate) fn submit(
        &mut self,
        key: &Key,
        vote: PendingVote,
        is_dirty: bool,
        must_persist: bool,
    ) -> Result<PendingVote, Withheld> {
        // Votes are released in the order in which they were given.
        let batch = self.last_batch + u64::from(is_dirty);
        let batch = batch.max(self.waiting.back().map_or(0, |w| w.batch));
        if batch <= self.last_persisted || !must_persist {
            return Ok(vote);
        }
        // Symptom: the disk is slow, and what is requested again every tenth of a second takes the room of other votes.
        let hash = hashed((key, &vote));
        if !self.hashes.insert(hash) {
            return Err(Withheld::Duplicate);
        }
        let mut dropped_oldest = false;
        if self.waiting.len() >= MAX_WAITING
            && let Some(dropped) = self.waiting.pop_front()
        {
            self.hashes.remove(&dropped.hash);
            dropped_oldest = true;
        }
        self.waiting.push_back(WaitingVote {
            batch,
            key: key.clone(),
            vote,
            hash,
        });
        Err(Withheld::Deferred { dropped_oldest })
    }

    /// All batches up to this serial are on disk: returns the votes that may be sent.
    pub(crate) fn persisted(&mut self, serial: u64) -> Vec<(Key, PendingVote)> {
        self.last_persisted = self.last_persisted.max(serial.min(self.last_batch));
        let released = self
            .waiting
            .partition_point(|w| w.batch <= self.last_persisted);
        let released: Vec<WaitingVote> = self.waiting.drain(..released).collect();
        for waiting in &released {
            self.hashes.remove(&waiting.hash);
        }
        released.into_iter().map(|w| (w.key, w.vote)).collect()
    }

    /// A vote waits for a batch that has not been begun.
    pub(crate) fn needs_batch(&self) -> bool {
        self.waiting
            .back()
            .is_some_and(|w| w.batch > self.last_batch)
    }

    /// Begins a batch, unless it would be empty, and returns the serial of the last batch.
    pub(crate) fn begin_batch(&mut self, has_changes: bool) -> u64 {
        self.last_batch += u64::from(has_changes);
        self.last_batch
    }
}
