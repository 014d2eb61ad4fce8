//! The invocations that this router has taken, by key, and in the order in which something of them is due.
//!
//! The order is kept up to date by [`ClaimTable::change`], through which every claim is changed. Symptom: each event
//! looked at all claims, twice, for the next time that something is due. A router under load fell behind, each event
//! cost more with every open claim, and a backlog of a second was not worked off any more.

use std::collections::{BTreeMap, BTreeSet};
use std::hash::{Hash, Hasher};

use cedarpulley::interface::Micros;

use super::Claim;
use crate::store::Key;

#[derive(Clone, Debug, Default)]
pub(super) struct ClaimTable {
    claims: BTreeMap<Key, Claim>,
    /// Of claims with something due; the others are left out.
    due_times: BTreeSet<(Micros, Key)>,
}

/// The order of due times follows from the claims.
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

    /// Replaces the claim under this key, if there is one.
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

    /// Changes a claim, and returns what `change` returns; nothing if there is no such claim.
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

    /// The claims with something due by now.
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
