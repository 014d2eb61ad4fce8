//! Merges the usage that many routers measured into one report.
//!
//! Totals that workers report do not depend on the router that reads them: the larger of two readings applies. Usage
//! that only a router can measure (uncertain usage, dispatches that did not run) is stored under the router's own
//! source, with a write number that increases with each write; the later of two states of a source includes the
//! earlier one. The result of merging therefore does not depend on the order, and merging the same report twice
//! changes nothing.

use std::collections::BTreeMap;

use crate::readings::Readings;
use crate::usage::UsageByKey;

/// Identifies the ledger of a router: a random number, chosen when the ledger is created.
pub type Source = u128;

/// The usage that one source measured, as of one of its writes.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct SourceUsage {
    /// Number of the write; increases with each write.
    pub number: u64,
    /// The router's name, for display.
    pub router: String,
    /// The usage.
    pub sums: UsageByKey,
}

/// The merged usage of any number of sources.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct UsageReport {
    /// Usage that only the sources can measure.
    pub by_source: BTreeMap<Source, SourceUsage>,
    /// Totals that workers reported.
    pub readings: Readings,
}

impl UsageReport {
    /// Merges another report into this one.
    pub fn merge(&mut self, other: UsageReport) {
        self.readings.merge(&other.readings);
        for (source, other_usage) in other.by_source {
            match self.by_source.get(&source) {
                Some(own_usage) if own_usage.number >= other_usage.number => {}
                _ => {
                    self.by_source.insert(source, other_usage);
                }
            }
        }
    }

    /// Returns the usage of all sources and readings, with settled usage subtracted from uncertain usage.
    pub fn sums(&self) -> UsageByKey {
        let mut all = self.readings.sums();
        for source in self.by_source.values() {
            all.add_all(&source.sums);
        }
        all.without_settled()
    }
}
