//! The queue of changed records to be broadcast to the other members. If a broadcast is lost, a later comparison of
//! digests finds the difference ([`crate::catch_up`]).

use std::collections::BTreeSet;

use cedarpulley::interface::Micros;

use crate::store::Key;

/// The keys of changed records, collected until the next broadcast.
#[derive(Clone, Debug)]
pub(crate) struct BroadcastQueue {
    keys: BTreeSet<Key>,
    due: Micros,
}

impl BroadcastQueue {
    pub(crate) fn new() -> Self {
        BroadcastQueue {
            keys: BTreeSet::new(),
            due: Micros::MAX,
        }
    }

    /// Adds a record to the next broadcast, which takes place no later than `due`.
    pub(crate) fn add(&mut self, key: &Key, due: Micros) {
        self.keys.insert(key.clone());
        self.due = self.due.min(due);
    }

    pub(crate) fn remove(&mut self, key: &Key) {
        self.keys.remove(key);
    }

    pub(crate) fn next_due(&self) -> Micros {
        self.due
    }

    /// Removes and returns the keys to broadcast now. Returns no keys before the broadcast is due.
    pub(crate) fn take_due(&mut self, now: Micros) -> BTreeSet<Key> {
        if now < self.due {
            return BTreeSet::new();
        }
        self.due = Micros::MAX;
        std::mem::take(&mut self.keys)
    }
}
