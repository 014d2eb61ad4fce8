//! The ballot floor: the highest ballot that this member has promised under any key whose record has expired. Promises
//! outlive their records in it, so that no ballot is used twice and no lower ballot obtains a majority once other
//! members, whose copies of a record expire later, still store what was accepted under a higher one.
//!
//! The floor is stored as a record of its own that does not expire. So it is persisted together with the removal of the
//! record whose promise it keeps, and members learn each other's floors by comparisons.

use cedarpulley::interface::Micros;

use super::{Key, Origin, Store, StoredRecord};
use crate::record::{Ballot, Choice, Record};

/// The key of the record that stores the floor. The prefix is used by no other record.
pub(crate) const BALLOT_FLOOR_KEY: &str = "b\n";

impl Store {
    /// The highest ballot promised under a key: that of its record or, without a record, the floor.
    pub(crate) fn promised(&self, key: &str) -> Ballot {
        match self.get(key).map(|stored| &stored.record) {
            Some(Record::Choice(choice)) => choice.promised,
            _ => self.ballot_floor(),
        }
    }

    /// The highest ballot promised under any key whose record has expired; the lowest ballot if there is none.
    pub(crate) fn ballot_floor(&self) -> Ballot {
        match self.get(BALLOT_FLOOR_KEY).map(|stored| &stored.record) {
            Some(Record::Choice(choice)) => choice.promised,
            _ => Ballot::default(),
        }
    }

    /// Keeps the promise of a record that is removed. Other records promise nothing.
    pub(crate) fn keep_promise_of(&mut self, key: &str, removed: &Record) {
        let Record::Choice(Choice { promised, .. }) = removed else {
            return;
        };
        if !self.keeps_promises || key == BALLOT_FLOOR_KEY {
            return;
        }
        let floor = Record::Choice(Choice {
            promised: *promised,
            accepted: None,
        });
        let absent = || StoredRecord::new(floor.clone(), Origin::default(), Micros::MAX);
        self.change(&Key::from(BALLOT_FLOOR_KEY), absent, |stored| {
            stored.record.merge(&floor);
        });
    }

    /// Notes that a persisted record expired while no process ran: keeps its promise, and marks the key so that the
    /// record is removed from the disk.
    pub(crate) fn drop_expired(&mut self, key: &Key, record: &Record) {
        self.keep_promise_of(key, record);
        if let Some(dirty) = &mut self.dirty {
            dirty.insert(key.clone());
        }
    }

    /// Raises the promise of a record that this member has learned to the floor: it may have made a higher promise
    /// under this key before its own record expired.
    pub(crate) fn raise_to_ballot_floor(&mut self, key: &Key) {
        let floor = self.ballot_floor();
        self.update(key, |stored| {
            if let Record::Choice(choice) = &mut stored.record {
                choice.promised = choice.promised.max(floor);
            }
        });
    }

    /// Raises the promises of all records to the floor.
    pub(crate) fn raise_all_to_ballot_floor(&mut self) {
        let choices = self.all().filter(|(_, stored)| stored.is_choice());
        let keys: Vec<Key> = choices.map(|(key, _)| key.clone()).collect();
        for key in keys {
            self.raise_to_ballot_floor(&key);
        }
    }

    /// Forgets promises together with their records. Only for tests of [`crate::SafetyCheck::PromiseOutlivesRecord`].
    pub(crate) fn forget_expired_promises(&mut self) {
        self.keeps_promises = false;
    }
}
