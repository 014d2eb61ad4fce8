//! What many routers measured, as one. What workers told is the same whoever heard it: of two readings the larger counts.
//! What a router alone can say (what is uncertain, what never ran) only grows and stand under its own name, with a number that
//! grows with each writing; of two states of one source the later holds the earlier. So joining is the same in any order,
//! and joining the same twice changes nothing.

use std::collections::BTreeMap;

use crate::sums::{Readings, Sums};

/// Who measured: drawn at random when a ledger is begun.
pub type Source = u128;

#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Measured {
    /// Grows with each writing.
    pub number: u64,
    /// For people: the router's name.
    pub router: String,
    pub sums: Sums,
}

#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Book {
    pub measured: BTreeMap<Source, Measured>,
    pub readings: Readings,
}

impl Book {
    pub fn join(&mut self, other: Book) {
        self.readings.join(&other.readings);
        for (source, theirs) in other.measured {
            match self.measured.get(&source) {
                Some(own) if own.number >= theirs.number => {}
                _ => {
                    self.measured.insert(source, theirs);
                }
            }
        }
    }

    /// Over all sources and readings; what was settled is no longer uncertain.
    pub fn sums(&self) -> Sums {
        let mut all = self.readings.sums();
        self.measured.values().for_each(|m| all.add_all(&m.sums));
        all.settled()
    }
}
