//! The totals that workers report.

use std::collections::BTreeMap;
use std::sync::Arc;

use crate::usage::{MAX_KEYS, Usage, UsageByKey, UsageKey, UsageKind};

/// The largest total that was read in each hour, by the worker's incarnation, account, function and kind, in
/// byte-microseconds.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Readings(
    /// Totals by incarnation and key.
    pub BTreeMap<(u64, UsageKey), u128>,
);

/// Identifies a monotonically increasing total: that of one incarnation for one account, function and kind.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct TotalKey<'a> {
    incarnation: u64,
    account: &'a Arc<str>,
    function: &'a Arc<str>,
    kind: UsageKind,
}

impl Readings {
    /// Records a total. Returns false if it was dropped because the limit on the number of readings is reached; a later
    /// reading includes it.
    pub fn record(&mut self, incarnation: u64, key: UsageKey, total: u128) -> bool {
        let reading = (incarnation, key);
        if self.0.len() >= MAX_KEYS && !self.0.contains_key(&reading) {
            return false;
        }
        let largest = self.0.entry(reading).or_default();
        *largest = total.max(*largest);
        true
    }

    /// Merges all readings of `other`, without a limit on their number.
    pub fn merge(&mut self, other: &Readings) {
        for (reading, total) in &other.0 {
            let largest = self.0.entry(reading.clone()).or_default();
            *largest = (*total).max(*largest);
        }
    }

    /// Returns the usage of each hour: the increase of each total over the largest total of the earlier hours.
    pub fn sums(&self) -> UsageByKey {
        let mut by_total_key: BTreeMap<TotalKey, BTreeMap<u32, u128>> = BTreeMap::new();
        for ((incarnation, key), total) in &self.0 {
            let total_key = TotalKey {
                incarnation: *incarnation,
                account: &key.account,
                function: &key.function,
                kind: key.kind,
            };
            by_total_key
                .entry(total_key)
                .or_default()
                .insert(key.hour, *total);
        }
        let mut sums = UsageByKey::default();
        for (total_key, by_hour) in by_total_key {
            let mut earlier_total = 0;
            for (hour, total) in by_hour {
                let key = UsageKey {
                    hour,
                    account: total_key.account.clone(),
                    function: total_key.function.clone(),
                    kind: total_key.kind,
                };
                let byte_us = total.saturating_sub(earlier_total);
                sums.add(key, Usage { byte_us, count: 0 });
                earlier_total = total.max(earlier_total);
            }
        }
        sums
    }
}
