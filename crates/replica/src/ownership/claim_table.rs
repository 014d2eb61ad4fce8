//! The invocations that this router has taken, indexed by key and by due time.
//!
//! Every claim is changed through [`ClaimTable::change`], which keeps the index of due times up to date. Without the
//! index, each event scanned all claims twice for the next due time: the cost of an event grew with the number of open
//! claims, and a router under load that was a second behind could not catch up any more.

use std::collections::{BTreeMap, BTreeSet};
use std::hash::{Hash, Hasher};

use cedarpulley::interface::Micros;

use super::Claim;
use crate::store::Key;

/// The claims of this router, with an index of their due times.
#[derive(Clone, Debug, Default)]
pub(super) struct ClaimTable {
    claims: BTreeMap<Key, Claim>,
    /// The due times of the claims; claims that are never due are left out.
    due_times: BTreeSet<(Micros, Key)>,
}

/// The due times follow from the claims, so only the claims are hashed.
impl Hash for ClaimTable {
    fn hash<H: Hasher>(&self, state: &mut H) {
        self.claims.hash(state);
    }
}

impl ClaimTable {
    pub(super) fn get(&self, key: &Key) -> Option<&Claim> {
        self.claims.get(key)
    }

    pub(super) fn iter(&self) -> impl Iterator<Item = (&Key, &Claim)> {
        self.claims.iter()
    }

    /// Inserts a claim, and replaces the claim under this key if there is one.
    pub(super) fn insert(&mut self, key: Key, claim: Claim) {
        self.remove(&key);
        self.add_due_time(&key, claim.due());
        self.claims.insert(key, claim);
    }

    pub(super) fn remove(&mut self, key: &Key) -> Option<Claim> {
        let claim = self.claims.remove(key)?;
        self.remove_due_time(key, claim.due());
        Some(claim)
    }

    /// Changes a claim and returns the result of `change`, or `None` if there is no claim under this key.
    pub(super) fn change<R>(
        &mut self,
        key: &Key,
        change: impl FnOnce(&mut Claim) -> R,
    ) -> Option<R> {
        let claim = self.claims.get_mut(key)?;
        let before = claim.due();
        let changed = change(claim);
        let after = claim.due();
        if before != after {
            self.remove_due_time(key, before);
            self.add_due_time(key, after);
        }
        Some(changed)
    }

    pub(super) fn next_due(&self) -> Micros {
        self.due_times.first().map_or(Micros::MAX, |d| d.0)
    }

    /// The keys of the claims that are due by `now`, in the order of their due times.
    pub(super) fn due(&self, now: Micros) -> Vec<Key> {
        self.due_times
            .iter()
            .take_while(|d| d.0 <= now)
            .map(|d| d.1.clone())
            .collect()
    }

    fn add_due_time(&mut self, key: &Key, due: Micros) {
        if due < Micros::MAX {
            self.due_times.insert((due, key.clone()));
        }
    }

    fn remove_due_time(&mut self, key: &Key, due: Micros) {
        if due < Micros::MAX {
            self.due_times.remove(&(due, key.clone()));
        }
    }
}

#[cfg(test)]
mod tests;
