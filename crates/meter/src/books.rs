//! What many routers measured, as one. Each router's sums only grow and stand under its own name, with a number that
//! grows with each writing; of two states of one source the later holds the earlier. So joining is the same in any order,
//! and joining the same twice changes nothing.

use std::collections::BTreeMap;

use crate::sums::Sums;

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
pub struct Book(pub BTreeMap<Source, Measured>);

impl Book {
    pub fn join(&mut self, other: Book) {
        for (source, theirs) in other.0 {
            match self.0.get(&source) {
                Some(own) if own.number >= theirs.number => {}
                _ => {
                    self.0.insert(source, theirs);
                }
            }
        }
    }

    /// Over all sources.
    pub fn sums(&self) -> Sums {
        let mut all = Sums::default();
        self.0.values().for_each(|m| all.add_all(&m.sums));
        all
    }
}
