//! All records of one member under their keys, how long each is kept, and digests by which two members find what they
//! do not have in common. Called with [`Store::join`], [`Store::change`] and [`Store::expire`].
//!
//! Mechanisms:
//! 1. Keys fall into leaves by their hash, leaves into groups; each has a digest that is kept up with every change.
//! 2. What is forgotten of a process's invocations is remembered as one number: its records are forgotten in the order in which they
//!    were made, and none of them comes back from a member that was away.
//! 3. A record that is told is kept for no longer than at the one that tells: what it was under way counts.

use std::collections::{BTreeMap, BTreeSet};
use std::hash::{BuildHasher, BuildHasherDefault, DefaultHasher};
use std::sync::Arc;

use cedarpulley::interface::Micros;
use serde::{Deserialize, Serialize};

use crate::record::{Effect, Record};

pub type Key = Arc<str>;
/// Leaves by the highest bits of a key's hash; a hundred thousand records are some two dozen in each.
pub type Leaf = u16;
pub const LEAF_BITS: u32 = 12;
pub const LEAVES: Leaf = 1 << LEAF_BITS;
/// Leaves of one group are neighbours, and so many.
pub const IN_GROUP: Leaf = 64;
pub const GROUPS: Leaf = LEAVES / IN_GROUP;
/// Processes whose forgotten records are remembered; the ones not heard of for longest go first. A member starts anew
/// some times a day.
const MOST_FORGOTTEN: usize = 4096;

/// Which record of which process: they are made in this order.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize,
)]
pub struct Origin {
    pub nonce: u64,
    pub serial: u64,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Slot {
    pub record: Record,
    pub origin: Origin,
    /// Kept until then.
    pub until: Micros,
    /// When the first dispatch left, where that counts.
    pub first: Option<Micros>,
    /// Until then somebody who has nothing of it had never anything, and new dispatches may leave. However often it is
    /// taken over, this is not put off.
    pub proves: Option<Micros>,
}

/// A record on its way between members, its times as times from now.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Shared {
    pub record: Record,
    pub origin: Origin,
    pub left: Micros,
    pub first_ago: Option<Micros>,
    pub proves_left: Option<Micros>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Joined {
    Nothing,
    Changed,
    /// It had been forgotten here, or its time is over.
    Forgotten,
    /// No room for one more.
    Full,
}

#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct Store {
    most: usize,
    slots: BTreeMap<(Leaf, Key), Slot>,
    ends: BTreeSet<(Micros, Leaf, Key)>,
    /// Of leaves that are not empty.
    digests: BTreeMap<Leaf, u64>,
    /// By process: the last forgotten, and when.
    forgotten: BTreeMap<u64, (u64, Micros)>,
    /// Changed since they were last asked for, where they are written somewhere.
    dirty: Option<BTreeSet<Key>>,
    pub faults: u64,
}

fn hashed(of: impl std::hash::Hash) -> u64 {
    BuildHasherDefault::<DefaultHasher>::default().hash_one(of)
}

pub fn leaf(key: &str) -> Leaf {
    (hashed(key) >> (u64::BITS - LEAF_BITS)) as Leaf
}

fn digest(key: &str, record: &Record) -> u64 {
    hashed((key, record))
}

impl Store {
    /// `most`: records at once; `written`: whether changes are gathered for a folder.
    pub fn new(most: usize, written: bool) -> Self {
        Store {
            most,
            dirty: written.then(BTreeSet::new),
            ..Store::default()
        }
    }

    pub fn len(&self) -> usize {
        self.slots.len()
    }

    pub fn is_empty(&self) -> bool {
        self.slots.is_empty()
    }

    pub fn is_full(&self) -> bool {
        self.slots.len() >= self.most
    }

    pub fn get(&self, key: &str) -> Option<&Slot> {
        // A key is looked up by value; it is not copied for that.
        self.slots.get(&(leaf(key), Key::from(key)))
    }

    pub fn effect(&self, key: &str) -> Option<&Effect> {
        match self.get(key).map(|s| &s.record) {
            Some(Record::Effect(e)) => Some(e),
            _ => None,
        }
    }

    pub fn all(&self) -> impl Iterator<Item = (&Key, &Slot)> {
        self.slots.iter().map(|((_, key), slot)| (key, slot))
    }

    /// The rest of a leaf after this key, or of the leaves behind it.
    pub fn from(
        &self,
        leaf: Leaf,
        after: Option<&Key>,
    ) -> impl Iterator<Item = (&(Leaf, Key), &Slot)> {
        let from = (leaf, after.cloned().unwrap_or_else(|| Key::from("")));
        let skipped = from.clone();
        self.slots
            .range(from..)
            .filter(move |(at, _)| **at != skipped)
    }

    pub fn was_forgotten(&self, origin: Origin) -> bool {
        self.forgotten
            .get(&origin.nonce)
            .is_some_and(|(last, _)| origin.serial <= *last)
    }

    pub fn shared(&self, now: Micros, key: &str) -> Option<Shared> {
        self.get(key).map(|s| s.shared(now))
    }

    /// `transit`: it has been under way for no longer.
    pub fn join(&mut self, now: Micros, key: &Key, theirs: &Shared, transit: Micros) -> Joined {
        let until = now.saturating_add(theirs.left.saturating_sub(transit));
        let first = theirs
            .first_ago
            .map(|ago| now.saturating_sub(ago.saturating_add(transit)));
        let proves = theirs
            .proves_left
            .map(|left| now.saturating_add(left.saturating_sub(transit)));
        // Symptom: a member that was cut off never hears of a plan that began long ago, as what was taken after that
        // is over. Only effects are forgotten in the order in which they were made.
        let over = matches!(theirs.record, Record::Effect(_)) && self.was_forgotten(theirs.origin);
        if until <= now || over {
            return Joined::Forgotten;
        }
        let at = (leaf(key), key.clone());
        let Some(slot) = self.slots.get_mut(&at) else {
            if self.is_full() {
                return Joined::Full;
            }
            let slot = Slot {
                record: theirs.record.clone(),
                origin: theirs.origin,
                until,
                first,
                proves,
            };
            self.put(at, slot);
            return Joined::Changed;
        };
        let (before, owner, ended) = (digest(key, &slot.record), slot.record.owner(), slot.until);
        let had_fault = fault(&slot.record);
        let changed = slot.record.join(&theirs.record);
        (slot.first, slot.proves) = (earlier(slot.first, first), earlier(slot.proves, proves));
        if slot.record.owner() != owner {
            (slot.origin, slot.until) = (theirs.origin, until);
        } else if theirs.record.owner() == owner {
            slot.until = slot.until.max(until);
        }
        let (after, now_fault, until) =
            (digest(key, &slot.record), fault(&slot.record), slot.until);
        self.faults += u64::from(now_fault && !had_fault);
        self.moved(at, before ^ after, ended, until, changed);
        if changed {
            Joined::Changed
        } else {
            Joined::Nothing
        }
    }

    /// Changes a record here, or makes one. False if there is no room for it.
    pub fn change(
        &mut self,
        key: &Key,
        absent: impl FnOnce() -> Slot,
        change: impl FnOnce(&mut Slot),
    ) -> bool {
        let at = (leaf(key), key.clone());
        if !self.slots.contains_key(&at) {
            if self.is_full() {
                return false;
            }
            self.put(at.clone(), absent());
        }
        let Some(slot) = self.slots.get_mut(&at) else {
            return false;
        };
        let (before, ended, was) = (digest(key, &slot.record), slot.until, slot.clone());
        change(slot);
        let (after, until, changed) = (digest(key, &slot.record), slot.until, *slot != was);
        self.moved(at, before ^ after, ended, until, changed);
        true
    }

    /// Forgets what is over; their keys.
    pub fn expire(&mut self, now: Micros) -> Vec<Key> {
        let mut over = Vec::new();
        while let Some((until, leaf, key)) = self.ends.first().cloned()
            && until <= now
        {
            self.ends.pop_first();
            let at = (leaf, key);
            if let Some(slot) = self.slots.remove(&at) {
                self.touch(&at, digest(&at.1, &slot.record), true);
                if let Record::Effect(_) = slot.record {
                    let last = self.forgotten.entry(slot.origin.nonce).or_default();
                    *last = (last.0.max(slot.origin.serial), now);
                }
            }
            over.push(at.1);
        }
        while self.forgotten.len() > MOST_FORGOTTEN
            && let Some(nonce) = self.forgotten.iter().min_by_key(|f| f.1.1).map(|f| *f.0)
        {
            self.forgotten.remove(&nonce);
        }
        over
    }

    pub fn next_end(&self) -> Micros {
        self.ends.first().map_or(Micros::MAX, |e| e.0)
    }

    /// Keys that have changed or gone since this was last asked, where that is kept.
    pub fn take_dirty(&mut self) -> BTreeSet<Key> {
        self.dirty.as_mut().map(std::mem::take).unwrap_or_default()
    }

    /// It has changed since then.
    pub fn is_dirty(&self, key: &str) -> bool {
        self.dirty.as_ref().is_some_and(|dirty| dirty.contains(key))
    }

    pub fn group_digests(&self) -> Vec<u64> {
        let mut groups = vec![0; GROUPS as usize];
        for (leaf, digest) in &self.digests {
            // Leaves of one group must not cancel each other out.
            groups[(leaf / IN_GROUP) as usize] ^= hashed((leaf, digest));
        }
        groups
    }

    pub fn leaf_digests(&self, group: Leaf) -> Vec<u64> {
        let first = group * IN_GROUP;
        (first..first + IN_GROUP)
            .map(|l| self.leaf_digest(l))
            .collect()
    }

    pub fn leaf_digest(&self, leaf: Leaf) -> u64 {
        self.digests.get(&leaf).copied().unwrap_or(0)
    }

    /// What stands in a leaf: of each key its hash, and a digest of its record.
    pub fn entries(&self, leaf: Leaf) -> BTreeMap<u64, u64> {
        let within = (leaf, Key::from(""))..(leaf + 1, Key::from(""));
        self.slots
            .range(within)
            .map(|((_, k), s)| (hashed(&**k), digest(k, &s.record)))
            .collect()
    }

    /// The hash and digest under which [`Store::entries`] lists this one.
    pub fn entry(key: &str, slot: &Slot) -> (u64, u64) {
        (hashed(key), digest(key, &slot.record))
    }

    fn put(&mut self, at: (Leaf, Key), slot: Slot) {
        let digest = digest(&at.1, &slot.record);
        self.ends.insert((slot.until, at.0, at.1.clone()));
        self.slots.insert(at.clone(), slot);
        self.touch(&at, digest, true);
    }

    fn moved(
        &mut self,
        at: (Leaf, Key),
        digests: u64,
        ended: Micros,
        until: Micros,
        changed: bool,
    ) {
        if ended != until {
            self.ends.remove(&(ended, at.0, at.1.clone()));
            self.ends.insert((until, at.0, at.1.clone()));
        }
        self.touch(&at, digests, changed || ended != until);
    }

    fn touch(&mut self, at: &(Leaf, Key), digests: u64, write: bool) {
        let digest = self.digests.entry(at.0).or_default();
        *digest ^= digests;
        if *digest == 0 {
            self.digests.remove(&at.0);
        }
        if let Some(dirty) = self.dirty.as_mut().filter(|_| write) {
            dirty.insert(at.1.clone());
        }
    }
}

fn earlier(a: Option<Micros>, b: Option<Micros>) -> Option<Micros> {
    a.zip(b).map(|(a, b)| a.min(b)).or(a).or(b)
}

fn fault(record: &Record) -> bool {
    matches!(record, Record::Effect(Effect { fault: true, .. }))
}

impl Slot {
    pub fn shared(&self, now: Micros) -> Shared {
        Shared {
            record: self.record.clone(),
            origin: self.origin,
            left: self.until.saturating_sub(now),
            first_ago: self.first.map(|first| now.saturating_sub(first)),
            proves_left: self.proves.map(|until| until.saturating_sub(now)),
        }
    }
}
