//! The totals that workers report.

use std::collections::BTreeMap;
use std::sync::Arc;

use crate::usage::{MAX_KEYS, Usage, UsageByKey, UsageKey, UsageKind};

/// The largest total that was read in each hour, by the worker's incarnation and by account, function and kind; in
/// byte-microseconds.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Readings(
    /// By incarnation and key.
    pub BTreeMap<(u64, UsageKey), u128>,
);

/// Totals that only grow: those of one incarnation for one account, function and kind.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct Line<'a> {
    incarnation: u64,
    account: &'a Arc<str>,
    function: &'a Arc<str>,
    kind: UsageKind,
}

impl Readings {
    /// Records a total. False if it had to be dropped for lack of space; a later reading contains it.
    pub fn record(&mut self, incarnation: u64, key: UsageKey, total: u128) -> bool {
        let reading = (incarnation, key);
        if self.0.len() >= MAX_KEYS && !self.0.contains_key(&reading) {
            return false;
        }
        let largest = self.0.entry(reading).or_default();
        *largest = total.max(*largest);
        true
    }

    /// Takes over all readings of `other`, without a bound.
    pub fn merge(&mut self, other: &Readings) {
        for (reading, total) in &other.0 {
            let largest = self.0.entry(reading.clone()).or_default();
            *largest = (*total).max(*largest);
        }
    }

    /// The usage of each hour: by how much the totals exceed those of the hours before.
    pub fn sums(&self) -> UsageByKey {
        let mut by_line: BTreeMap<Line, BTreeMap<u32, u128>> = BTreeMap::new();
        for ((incarnation, key), total) in &self.0 {
            let line = Line {
                incarnation: *incarnation,
                account: &key.account,
                function: &key.function,
                kind: key.kind,
            };
            by_line.entry(line).or_default().insert(key.hour, *total);
        }
        let mut sums = UsageByKey::default();
        for (line, by_hour) in by_line {
            let mut before = 0;
            for (hour, total) in by_hour {
                let key = UsageKey {
                    hour,
                    account: line.account.clone(),
                    function: line.function.clone(),
                    kind: line.kind,
                };
                let byte_us = total.saturating_sub(before);
                sums.add(key, Usage { byte_us, count: 0 });
                before = total.max(before);
            }
        }
        sums
    }
}
