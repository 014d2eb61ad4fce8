//! The usage that many routers measured, merged into one report.
//!
//! What workers report is the same whichever router read it: of two readings the larger counts. What only a router
//! can say (what is uncertain, what did not run) stands under the router's own source with a version that grows with
//! each write; of two states of one source the later contains the earlier. Merging therefore gives the same result in
//! any order, and merging the same report twice changes nothing.

use std::collections::BTreeMap;

use crate::readings::Readings;
use crate::usage::Sums;

/// Who measured: drawn at random when a router's ledger is created.
pub type Source = u128;

/// What one source measured, as of one of its writes.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct SourceUsage {
    /// Number of the write; grows with each.
    pub number: u64,
    /// The router's name, for people.
    pub router: String,
    /// The usage.
    pub sums: Sums,
}

/// The usage that any number of sources measured.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Book {
    /// What only the sources can say.
    pub measured: BTreeMap<Source, SourceUsage>,
    /// What workers report.
    pub readings: Readings,
}

impl Book {
    /// Merges another report into this one.
    pub fn join(&mut self, other: Book) {
        self.readings.merge(&other.readings);
        for (source, theirs) in other.measured {
            match self.measured.get(&source) {
                Some(own) if own.number >= theirs.number => {}
                _ => {
                    self.measured.insert(source, theirs);
                }
            }
        }
    }

    /// The usage over all sources and readings, with settled usage no longer uncertain.
    pub fn sums(&self) -> Sums {
        let mut all = self.readings.sums();
        for source in self.measured.values() {
            all.add_all(&source.sums);
        }
        all.without_settled()
    }
}
