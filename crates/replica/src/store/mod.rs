//! All records of one member, their expiry, and the digests by which two members find their differences.
//!
//! 1. Keys are assigned to leaves by their hash, and leaves to groups: a hash tree of two levels. Each leaf has a
//!    digest that is updated with every change.
//! 2. For expired invocations, only one serial number per process is stored. The invocations of a process expire in the
//!    order in which it created them, so the number is enough to reject copies of all expired invocations, for example
//!    from a member that was disconnected.
//! 3. A copy expires no later than the record from which it was made, because the time in transit is subtracted.
//! 4. A promise of a ballot outlives its record ([`ballot_floor`]).

mod ballot_floor;
mod stored_record;

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use cedarpulley::interface::Micros;

use crate::hashed;
use crate::record::{Invocation, Record};

pub(crate) use ballot_floor::BALLOT_FLOOR_KEY;
pub use stored_record::{Origin, RecordCopy, StoredRecord};

/// The key of a record.
pub type Key = Arc<str>;
/// The index of a leaf of the hash tree, given by the highest bits of a key's hash. With a hundred thousand records, a
/// leaf has about two dozen records. Groups of leaves are numbered with the same type.
pub type Leaf = u16;
/// The number of bits of a key's hash that select its leaf.
pub const LEAF_BITS: u32 = 12;
/// The number of leaves.
pub const LEAVES: Leaf = 1 << LEAF_BITS;
/// The number of adjacent leaves in one group.
pub const LEAVES_PER_GROUP: Leaf = 64;
/// The number of groups.
pub const GROUPS: Leaf = LEAVES / LEAVES_PER_GROUP;
/// The maximum number of processes for which the last expired record is stored; processes whose records expired longest
/// ago are dropped first. A member restarts only a few times a day.
const MAX_EXPIRED_PROCESSES: usize = 4096;

/// The result of merging a copy into the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MergeOutcome {
    /// The stored record has not changed.
    Unchanged,
    /// The stored record has changed, or is new.
    Changed,
    /// The record has expired here or in transit.
    Expired,
    /// The store is full, and the record is new.
    StoreFull,
}

/// The expired invocations of a process: the serial of the last one, and the time of the last expiry.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
struct ExpiredRecords {
    last_serial: u64,
    expired_at: Micros,
}

/// The records of one member. [`Store::merge`] applies copies from other members, and [`Store::change`] applies changes
/// by this member.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct Store {
    max_records: usize,
    records: BTreeMap<(Leaf, Key), StoredRecord>,
    /// The index of records by expiry time.
    expiries: BTreeSet<(Micros, Leaf, Key)>,
    /// The digests of the leaves that are not empty.
    digests: BTreeMap<Leaf, u64>,
    /// The expired invocations by the nonce of the process.
    expired: BTreeMap<u64, ExpiredRecords>,
    /// The keys of changes that [`Store::take_dirty`] has not returned yet; absent if records are not persisted.
    dirty: Option<BTreeSet<Key>>,
    conflicts: u64,
    /// Whether promises outlive their records. Only tests unset it.
    keeps_promises: bool,
}

/// The leaf that a key belongs to.
pub fn leaf(key: &str) -> Leaf {
    (hashed(key) >> (u64::BITS - LEAF_BITS)) as Leaf
}

/// The digest of a record. The digest of a leaf is the XOR of the digests of its records.
fn digest(key: &str, record: &Record) -> u64 {
    hashed((key, record))
}

impl Store {
    /// Creates an empty store. `max_records`: the maximum number of records. `persisted`: whether changes are collected
    /// for the disk.
    pub fn new(max_records: usize, persisted: bool) -> Self {
        Store {
            max_records,
            dirty: persisted.then(BTreeSet::new),
            keeps_promises: true,
            ..Store::default()
        }
    }

    /// The number of records.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Whether there are no records.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// Whether the store has the maximum number of records.
    pub fn is_full(&self) -> bool {
        self.records.len() >= self.max_records
    }

    /// The record under a key.
    pub fn get(&self, key: &str) -> Option<&StoredRecord> {
        self.records.get(&(leaf(key), Key::from(key)))
    }

    /// The invocation under a key.
    pub fn invocation(&self, key: &str) -> Option<&Invocation> {
        self.get(key)?.record.invocation()
    }

    /// All records, in the order of their leaves.
    pub fn all(&self) -> impl Iterator<Item = (&Key, &StoredRecord)> {
        self.records.iter().map(|((_, key), stored)| (key, stored))
    }

    /// The records of a leaf: those that follow the key `after`, or all of them.
    pub fn records_in_leaf(
        &self,
        leaf: Leaf,
        after: Option<&Key>,
    ) -> impl Iterator<Item = (&Key, &StoredRecord)> {
        let start = (leaf, after.cloned().unwrap_or_else(|| Key::from("")));
        let skipped = start.clone();
        self.records
            .range(start..)
            .filter(move |(at, _)| **at != skipped)
            .take_while(move |((l, _), _)| *l == leaf)
            .map(|((_, key), stored)| (key, stored))
    }

    /// Whether an invocation of this origin has expired here.
    pub fn has_expired(&self, origin: Origin) -> bool {
        self.expired
            .get(&origin.nonce)
            .is_some_and(|expired| origin.serial <= expired.last_serial)
    }

    /// A copy of the record under a key, for other members or the disk.
    pub fn copy(&self, now: Micros, key: &str) -> Option<RecordCopy> {
        self.get(key).map(|stored| stored.to_copy(now))
    }

    /// The number of times that two different answers to one invocation were found.
    pub fn conflicts(&self) -> u64 {
        self.conflicts
    }

    pub(crate) fn count_conflict(&mut self) {
        self.conflicts += 1;
    }

    /// Merges a copy from another member. `transit`: an upper bound of the time that the copy was in transit.
    pub fn merge(
        &mut self,
        now: Micros,
        key: &Key,
        copy: &RecordCopy,
        transit: Micros,
    ) -> MergeOutcome {
        let theirs = StoredRecord::from_copy(now, copy, transit);
        // Only invocations expire in the order in which they were created. If this check applied to other records, a
        // member that was cut off would never learn of a rollout plan that began long ago, because later records of the
        // same process have expired.
        let is_invocation = matches!(theirs.record, Record::Invocation(_));
        if theirs.expires_at <= now || is_invocation && self.has_expired(theirs.origin) {
            return MergeOutcome::Expired;
        }
        let at = (leaf(key), key.clone());
        let Some(ours) = self.records.get_mut(&at) else {
            if self.is_full() {
                return MergeOutcome::StoreFull;
            }
            self.insert(at, theirs);
            return MergeOutcome::Changed;
        };
        let (old_digest, old_expiry) = (digest(key, &ours.record), ours.expires_at);
        let had_conflict = ours.has_conflict();
        let changed = ours.merge(&theirs);
        self.conflicts += u64::from(ours.has_conflict() && !had_conflict);
        let (new_digest, new_expiry) = (digest(key, &ours.record), ours.expires_at);
        self.reindex(at, old_digest ^ new_digest, old_expiry, new_expiry, changed);
        match changed {
            true => MergeOutcome::Changed,
            false => MergeOutcome::Unchanged,
        }
    }

    /// Changes the record under a key, after inserting `absent` if there is none. Returns false if the store is full.
    pub fn change(
        &mut self,
        key: &Key,
        absent: impl FnOnce() -> StoredRecord,
        change: impl FnOnce(&mut StoredRecord),
    ) -> bool {
        let at = (leaf(key), key.clone());
        if !self.records.contains_key(&at) {
            if self.is_full() {
                return false;
            }
            self.insert(at, absent());
        }
        self.update(key, change)
    }

    /// Changes the record under a key. Returns false if there is none.
    pub fn update(&mut self, key: &Key, change: impl FnOnce(&mut StoredRecord)) -> bool {
        let at = (leaf(key), key.clone());
        let Some(stored) = self.records.get_mut(&at) else {
            return false;
        };
        let before = stored.clone();
        change(stored);
        let digests = digest(key, &before.record) ^ digest(key, &stored.record);
        let (expires_at, changed) = (stored.expires_at, *stored != before);
        self.reindex(at, digests, before.expires_at, expires_at, changed);
        true
    }

    /// Removes expired records, and returns their keys.
    pub fn expire(&mut self, now: Micros) -> Vec<Key> {
        let mut removed = Vec::new();
        while let Some((expires_at, leaf, key)) = self.expiries.first().cloned()
            && expires_at <= now
        {
            self.expiries.pop_first();
            let at = (leaf, key);
            if let Some(stored) = self.records.remove(&at) {
                self.update_digest(&at, digest(&at.1, &stored.record), true);
                self.keep_promise_of(&at.1, &stored.record);
                if let Record::Invocation(_) = stored.record {
                    let expired = self.expired.entry(stored.origin.nonce).or_default();
                    expired.last_serial = expired.last_serial.max(stored.origin.serial);
                    expired.expired_at = now;
                }
            }
            removed.push(at.1);
        }
        while self.expired.len() > MAX_EXPIRED_PROCESSES
            && let Some(oldest) = self.expired.iter().min_by_key(|(_, e)| e.expired_at)
        {
            let nonce = *oldest.0;
            self.expired.remove(&nonce);
        }
        removed
    }

    /// When the next record expires.
    pub fn next_expiry(&self) -> Micros {
        self.expiries.first().map_or(Micros::MAX, |expiry| expiry.0)
    }

    /// The keys of records that have changed or expired since the last call; empty if records are not persisted.
    pub fn take_dirty(&mut self) -> BTreeSet<Key> {
        self.dirty.as_mut().map(std::mem::take).unwrap_or_default()
    }

    /// Whether the record has changed since the last [`Store::take_dirty`].
    pub fn is_dirty(&self, key: &str) -> bool {
        self.dirty.as_ref().is_some_and(|dirty| dirty.contains(key))
    }

    /// The digests of all groups.
    pub fn group_digests(&self) -> Vec<u64> {
        let mut groups = vec![0; GROUPS as usize];
        for (leaf, digest) in &self.digests {
            // The leaf is hashed with its digest, because equal digests of two leaves would cancel each other out.
            groups[(leaf / LEAVES_PER_GROUP) as usize] ^= hashed((leaf, digest));
        }
        groups
    }

    /// The digests of the leaves of one group.
    pub fn leaf_digests(&self, group: Leaf) -> Vec<u64> {
        let first = group * LEAVES_PER_GROUP;
        (first..first + LEAVES_PER_GROUP)
            .map(|l| self.leaf_digest(l))
            .collect()
    }

    /// The digest of a leaf; 0 if the leaf is empty.
    pub fn leaf_digest(&self, leaf: Leaf) -> u64 {
        self.digests.get(&leaf).copied().unwrap_or(0)
    }

    /// The entries of a leaf: the hash of each key, with the digest of its record.
    pub fn entries(&self, leaf: Leaf) -> BTreeMap<u64, u64> {
        let within = (leaf, Key::from(""))..(leaf + 1, Key::from(""));
        self.records
            .range(within)
            .map(|((_, key), stored)| Store::entry(key, stored))
            .collect()
    }

    /// The hash of the key and the digest of the record that [`Store::entries`] lists for a record.
    pub fn entry(key: &str, stored: &StoredRecord) -> (u64, u64) {
        (hashed(key), digest(key, &stored.record))
    }

    fn insert(&mut self, at: (Leaf, Key), stored: StoredRecord) {
        let digest = digest(&at.1, &stored.record);
        self.expiries
            .insert((stored.expires_at, at.0, at.1.clone()));
        self.records.insert(at.clone(), stored);
        self.update_digest(&at, digest, true);
    }

    /// Updates the index of expiry times, the leaf's digest and the dirty keys after a change of a record.
    /// `digests`: the old and the new digest of the record, combined by XOR.
    fn reindex(
        &mut self,
        at: (Leaf, Key),
        digests: u64,
        old_expiry: Micros,
        new_expiry: Micros,
        changed: bool,
    ) {
        if old_expiry != new_expiry {
            self.expiries.remove(&(old_expiry, at.0, at.1.clone()));
            self.expiries.insert((new_expiry, at.0, at.1.clone()));
        }
        self.update_digest(&at, digests, changed || old_expiry != new_expiry);
    }

    /// Combines `digests` with the leaf's digest by XOR, and marks the key as dirty if `persist` is set.
    fn update_digest(&mut self, at: &(Leaf, Key), digests: u64, persist: bool) {
        let digest = self.digests.entry(at.0).or_default();
        *digest ^= digests;
        if *digest == 0 {
            self.digests.remove(&at.0);
        }
        if let Some(dirty) = self.dirty.as_mut().filter(|_| persist) {
            dirty.insert(at.1.clone());
        }
    }
}
