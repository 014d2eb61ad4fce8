//! Changed records that the other members are sent soon. A lost broadcast is made up for by a later comparison.

use std::collections::BTreeSet;

use cedarpulley::interface::Micros;

use crate::store::Key;

/// Keys of changed records, collected until the next broadcast.
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

    /// The record goes with the next broadcast, which is due by `due`.
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

    /// The keys to broadcast now; none before the broadcast is due.
    pub(crate) fn take_due(&mut self, now: Micros) -> BTreeSet<Key> {
        if now < self.due {
            return BTreeSet::new();
        }
        self.due = Micros::MAX;
        std::mem::take(&mut self.keys)
    }
}
