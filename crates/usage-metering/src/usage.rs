//! Usage by hour, account, function and kind. Byte-microseconds are integers, so that sums are exact. They cannot
//! overflow: a year of ten thousand workers with a terabyte of memory each is below 2^119.

use std::collections::BTreeMap;
use std::sync::Arc;

use cedarpulley::interface::Micros;
use serde::Serialize;

/// One hour, in microseconds.
pub const MICROS_PER_HOUR: Micros = 3_600_000_000;
/// Largest number of separate keys; usage under further keys is added under [`OTHER_FUNCTIONS`], so that only the
/// function's name is lost.
pub(crate) const MAX_KEYS: usize = 100_000;
/// Name that replaces the names of all functions above the limit on the number of keys.
pub const OTHER_FUNCTIONS: &str = "(others)";

const BYTE_MICROS_PER_MB_SECOND: f64 = 1e12;

/// What memory was used for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum UsageKind {
    /// A copy's memory while it ran, divided among the invocations that it ran at the same time.
    Running,
    /// A copy's memory from the load order until the copy was loaded or the load failed.
    Loading,
    /// A copy's memory between two uses; charged to the account that uses the copy next.
    Idle,
    /// Estimated memory of dispatches that may have run, but whose usage no worker reported.
    Uncertain,
    /// No memory: an invocation that waited for a load that is charged to another invocation.
    Shared,
    /// No memory: a repeat that the worker dropped, or an invocation that did not run.
    Nothing,
    /// Usage that was uncertain until its worker reported again, with totals that include it.
    Settled,
}

impl UsageKind {
    /// All kinds. A kind's position here is its number in stored rows.
    pub const ALL: [UsageKind; 7] = [
        UsageKind::Running,
        UsageKind::Loading,
        UsageKind::Idle,
        UsageKind::Uncertain,
        UsageKind::Shared,
        UsageKind::Nothing,
        UsageKind::Settled,
    ];

    /// Returns the name in reports.
    pub fn name(self) -> &'static str {
        match self {
            UsageKind::Running => "running",
            UsageKind::Loading => "loading",
            UsageKind::Idle => "idle",
            UsageKind::Uncertain => "uncertain",
            UsageKind::Shared => "shared",
            UsageKind::Nothing => "nothing",
            UsageKind::Settled => "settled",
        }
    }
}

/// Identifies usage by hour, account, function and kind.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct UsageKey {
    /// The hour since 1970 in which the dispatch ended or the total was read.
    pub hour: u32,
    /// Name of the account.
    pub account: Arc<str>,
    /// Name of the function.
    pub function: Arc<str>,
    /// What the memory was used for.
    pub kind: UsageKind,
}

/// An amount of usage.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Usage {
    /// Memory multiplied by time, in byte-microseconds.
    pub byte_us: u128,
    /// Number of invocations or of load orders.
    pub count: u64,
}

impl Usage {
    /// Adds another amount.
    pub fn add(&mut self, other: Usage) {
        self.byte_us = self.byte_us.saturating_add(other.byte_us);
        self.count = self.count.saturating_add(other.count);
    }

    fn subtract(&mut self, other: Usage) {
        self.byte_us = self.byte_us.saturating_sub(other.byte_us);
        self.count = self.count.saturating_sub(other.count);
    }

    /// Memory multiplied by time, in megabyte-seconds.
    pub fn mb_seconds(&self) -> f64 {
        self.byte_us as f64 / BYTE_MICROS_PER_MB_SECOND
    }
}

/// Usage by key.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct UsageByKey(
    /// Amounts by key.
    pub BTreeMap<UsageKey, Usage>,
);

impl UsageByKey {
    /// Adds an amount under a key, or under [`OTHER_FUNCTIONS`] if there are too many keys.
    pub fn add(&mut self, key: UsageKey, sum: Usage) {
        let key = if self.0.len() >= MAX_KEYS && !self.0.contains_key(&key) {
            UsageKey {
                function: Arc::from(OTHER_FUNCTIONS),
                ..key
            }
        } else {
            key
        };
        self.0.entry(key).or_default().add(sum);
    }

    /// Adds all amounts of `other`.
    pub fn add_all(&mut self, other: &UsageByKey) {
        for (key, sum) in &other.0 {
            self.add(key.clone(), *sum);
        }
    }

    /// Whether there is no usage.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// Returns the sums of the amounts, grouped by the result of `group` for their keys.
    pub fn group_by<K: Ord>(&self, group: impl Fn(&UsageKey) -> K) -> BTreeMap<K, Usage> {
        let mut groups: BTreeMap<K, Usage> = BTreeMap::new();
        for (key, sum) in &self.0 {
            groups.entry(group(key)).or_default().add(*sum);
        }
        groups
    }

    /// Returns the usage with settled usage subtracted from uncertain usage for each hour, account and function.
    pub fn without_settled(&self) -> UsageByKey {
        let mut out = UsageByKey::default();
        for (key, sum) in self
            .0
            .iter()
            .filter(|(key, _)| key.kind != UsageKind::Settled)
        {
            let mut sum = *sum;
            if key.kind == UsageKind::Uncertain
                && let Some(settled) = self.0.get(&UsageKey {
                    kind: UsageKind::Settled,
                    ..key.clone()
                })
            {
                sum.subtract(*settled);
            }
            out.0.insert(key.clone(), sum);
        }
        out
    }

    /// Returns the sum of all amounts.
    pub fn total(&self) -> Usage {
        self.group_by(|_| ()).remove(&()).unwrap_or_default()
    }
}
