//! Votes on choices that wait until the state that backs them is on this member's disk. A promise or an acceptance
//! binds this member for all later proposals, so it has to survive a crash of the process: otherwise a majority that
//! crashes and restarts at the same time could choose a second, different value.
//!
//! 1. Changes are written to the disk in batches, and each batch has a serial. A vote waits for the batch that contains
//!    its record, so all votes given while one batch is written are released together by the next batch.
//! 2. The proposer's own vote waits like any other vote; the requests to the other members are sent in the meantime.
//! 3. The number of waiting votes is bounded. The oldest vote is dropped first. For the proposer this is equivalent to
//!    a lost message, and it sends its request again.
//!
//! Without a disk no vote waits. Votes on invocations never wait, because their proofs do not rely on the disk.

use std::collections::{BTreeSet, VecDeque};

use cedarpulley_membership::MemberIndex;

use crate::hashed;
use crate::record::Ballot;
use crate::store::Key;
use crate::wire::Message;

/// The maximum number of waiting votes: enough for a few seconds at a thousand choices per second while the disk hangs.
const MAX_WAITING_VOTES: usize = 4096;

/// A vote that was given but not yet counted or sent.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) enum PendingVote {
    /// A vote for a proposal of another member, with the message to send.
    Remote { to: MemberIndex, message: Message },
    /// A vote for a proposal of this member. `value_hash`: the hash of the accepted value; absent for a promise.
    Own {
        ballot: Ballot,
        value_hash: Option<u64>,
    },
}

/// Why a vote is not sent now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Withheld {
    /// The vote waits for the disk.
    Deferred {
        /// Whether the oldest waiting vote was dropped to make room.
        dropped_oldest: bool,
    },
    /// The same vote is waiting already.
    Duplicate,
}

/// The votes that wait for the disk, and the serials of the batches of changes.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub(crate) struct VotesAwaitingDisk {
    last_batch: u64,
    last_persisted: u64,
    waiting: VecDeque<WaitingVote>,
    /// Hashes of the waiting votes, so that no vote is queued twice.
    hashes: BTreeSet<u64>,
}

/// A vote, and the batch for which it waits.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct WaitingVote {
    /// The serial of the batch that contains the vote's record.
    batch: u64,
    key: Key,
    vote: PendingVote,
    hash: u64,
}

impl VotesAwaitingDisk {
    /// Returns the vote if it may be sent now, and queues it otherwise. `is_dirty`: the vote's record has changes that
    /// are not in a batch yet. `must_persist`: whether votes have to wait for the disk.
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
        // Without this check, votes on requests that are resent every tenth of a second would displace other votes
        // while the disk is slow.
        let hash = hashed((key, &vote));
        if !self.hashes.insert(hash) {
            return Err(Withheld::Duplicate);
        }
        let mut dropped_oldest = false;
        if self.waiting.len() >= MAX_WAITING_VOTES
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

    /// Notes that all batches up to this serial are on disk, and returns the votes that may be sent now.
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

    /// Whether a vote waits for a batch that has not been begun.
    pub(crate) fn needs_batch(&self) -> bool {
        self.waiting
            .back()
            .is_some_and(|w| w.batch > self.last_batch)
    }

    /// Begins a batch if there are changes, and returns the serial of the last batch.
    pub(crate) fn begin_batch(&mut self, has_changes: bool) -> u64 {
        self.last_batch += u64::from(has_changes);
        self.last_batch
    }
}
