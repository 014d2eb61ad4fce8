//! Sums by tenant, function, hour and kind: whole byte-microseconds, so that parts add up to the last digit. A year of
//! ten thousand workers with a terabyte each is below 2^119.

use std::collections::BTreeMap;
use std::sync::Arc;

use cedarpulley::interface::Micros;
use serde::Serialize;

pub const HOUR: Micros = 3_600_000_000;
/// Keys kept apart at once; what comes beyond is added under [`OTHERS`], so that nothing is lost but whose function
/// it was.
const MOST_KEYS: usize = 100_000;
pub const OTHERS: &str = "(others)";

/// What memory was held for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Kind {
    /// A copy's memory while it ran, parted among those it ran at once.
    Running,
    /// A copy's memory from the order to load it until it stood, or failed to.
    Loading,
    /// A copy's memory between two uses; whoever uses it next has kept it warm.
    Idle,
    /// What may have been held, as far as can be said from here, by dispatches that nobody reported on.
    Uncertain,
    /// Nothing more was held: an invocation that waited for a load which is charged to another.
    Shared,
    /// Nothing was held: a repeat that the worker dropped, or one that never ran.
    Nothing,
}

impl Kind {
    pub const ALL: [Kind; 6] =
        [Kind::Running, Kind::Loading, Kind::Idle, Kind::Uncertain, Kind::Shared, Kind::Nothing];

    pub fn name(self) -> &'static str {
        match self {
            Kind::Running => "running",
            Kind::Loading => "loading",
            Kind::Idle => "idle",
            Kind::Uncertain => "uncertain",
            Kind::Shared => "shared",
            Kind::Nothing => "nothing",
        }
    }
}

#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Key {
    /// Since 1970, that in which it ended.
    pub hour: u32,
    pub account: Arc<str>,
    pub function: Arc<str>,
    pub kind: Kind,
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Sum {
    pub byte_us: u128,
    /// Invocations, or orders to load.
    pub count: u64,
}

impl Sum {
    pub fn add(&mut self, other: Sum) {
        self.byte_us = self.byte_us.saturating_add(other.byte_us);
        self.count = self.count.saturating_add(other.count);
    }

    pub fn mb_seconds(&self) -> f64 {
        self.byte_us as f64 / 1e12
    }
}

#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Sums(pub BTreeMap<Key, Sum>);

impl Sums {
    pub fn add(&mut self, key: Key, sum: Sum) {
        if self.0.len() >= MOST_KEYS && !self.0.contains_key(&key) {
            let key = Key { function: Arc::from(OTHERS), ..key };
            return self.0.entry(key).or_default().add(sum);
        }
        self.0.entry(key).or_default().add(sum);
    }

    pub fn add_all(&mut self, other: &Sums) {
        other.0.iter().for_each(|(key, sum)| self.add(key.clone(), *sum));
    }

    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// By whatever the key says, in its order.
    pub fn by<K: Ord>(&self, of: impl Fn(&Key) -> K) -> BTreeMap<K, Sum> {
        let mut out: BTreeMap<K, Sum> = BTreeMap::new();
        self.0.iter().for_each(|(key, sum)| out.entry(of(key)).or_default().add(*sum));
        out
    }

    pub fn total(&self) -> Sum {
        self.by(|_| ()).remove(&()).unwrap_or_default()
    }
}
