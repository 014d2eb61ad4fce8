//! The usage that many routers measured, merged into one report.
//!
//! What workers report is the same whichever router read it: of two readings the larger counts. What only a router
//! can say (what is uncertain, what did not run) stands under the router's own source with a version that grows with
//! each write; of two states of one source the later contains the earlier. Merging therefore gives the same result in
//! any order, and merging the same report twice changes nothing.

use std::collections::BTreeMap;

use crate::readings::Readings;
use crate::usage::UsageByKey;

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
    pub sums: UsageByKey,
}

/// The usage that any number of sources measured.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct UsageReport {
    /// What only the sources can say.
    pub by_source: BTreeMap<Source, SourceUsage>,
    /// What workers report.
    pub readings: Readings,
}

impl UsageReport {
    /// Merges another report into this one.
    pub fn merge(&mut self, other: UsageReport) {
        self.readings.merge(&other.readings);
        for (source, theirs) in other.by_source {
            match self.by_source.get(&source) {
                Some(own) if own.number >= theirs.number => {}
                _ => {
                    self.by_source.insert(source, theirs);
                }
            }
        }
    }

    /// The usage over all sources and readings, with settled usage no longer uncertain.
    pub fn sums(&self) -> UsageByKey {
        let mut all = self.readings.sums();
        for source in self.by_source.values() {
            all.add_all(&source.sums);
        }
        all.without_settled()
    }
}
