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
    /// Was uncertain, until its worker was heard again and its totals held what there was.
    Settled,
}

impl Kind {
    /// Their places are the ledger's.
    pub const ALL: [Kind; 7] = [
        Kind::Running,
        Kind::Loading,
        Kind::Idle,
        Kind::Uncertain,
        Kind::Shared,
        Kind::Nothing,
        Kind::Settled,
    ];

    pub fn name(self) -> &'static str {
        match self {
            Kind::Running => "running",
            Kind::Loading => "loading",
            Kind::Idle => "idle",
            Kind::Uncertain => "uncertain",
            Kind::Shared => "shared",
            Kind::Nothing => "nothing",
            Kind::Settled => "settled",
        }
    }
}

#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Key {
    /// Since 1970, that in which it ended or was read.
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
            let key = Key {
                function: Arc::from(OTHERS),
                ..key
            };
            return self.0.entry(key).or_default().add(sum);
        }
        self.0.entry(key).or_default().add(sum);
    }

    pub fn add_all(&mut self, other: &Sums) {
        other
            .0
            .iter()
            .for_each(|(key, sum)| self.add(key.clone(), *sum));
    }

    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// By whatever the key says, in its order.
    pub fn by<K: Ord>(&self, of: impl Fn(&Key) -> K) -> BTreeMap<K, Sum> {
        let mut out: BTreeMap<K, Sum> = BTreeMap::new();
        self.0
            .iter()
            .for_each(|(key, sum)| out.entry(of(key)).or_default().add(*sum));
        out
    }

    /// What was settled is taken off what was uncertain, hour by hour.
    pub fn settled(&self) -> Sums {
        let mut out = Sums::default();
        for (key, sum) in self.0.iter().filter(|(key, _)| key.kind != Kind::Settled) {
            let mut sum = *sum;
            if key.kind == Kind::Uncertain
                && let Some(off) = self.0.get(&Key {
                    kind: Kind::Settled,
                    ..key.clone()
                })
            {
                sum.byte_us = sum.byte_us.saturating_sub(off.byte_us);
                sum.count = sum.count.saturating_sub(off.count);
            }
            out.0.insert(key.clone(), sum);
        }
        out
    }

    pub fn total(&self) -> Sum {
        self.by(|_| ()).remove(&()).unwrap_or_default()
    }
}

/// Of one life of a worker: account, function and kind.
type Line<'a> = (u64, &'a Arc<str>, &'a Arc<str>, Kind);

/// The largest total that was read of each life of a worker in each hour.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Readings(pub BTreeMap<(u64, Key), u128>);

impl Readings {
    /// False if there is no room for another line: a later reading of the same has it again.
    pub fn read(&mut self, life: u64, key: Key, total: u128) -> bool {
        let line = (life, key);
        if self.0.len() >= MOST_KEYS && !self.0.contains_key(&line) {
            return false;
        }
        let known = self.0.entry(line).or_default();
        *known = total.max(*known);
        true
    }

    pub fn join(&mut self, other: &Readings) {
        for ((life, key), total) in &other.0 {
            let known = self.0.entry((*life, key.clone())).or_default();
            *known = (*total).max(*known);
        }
    }

    /// By hour: what was read beyond the hours before. Totals of one life only grow.
    pub fn sums(&self) -> Sums {
        let mut by_line: BTreeMap<Line, BTreeMap<u32, u128>> = BTreeMap::new();
        for ((life, key), total) in &self.0 {
            let line = (*life, &key.account, &key.function, key.kind);
            by_line.entry(line).or_default().insert(key.hour, *total);
        }
        let mut sums = Sums::default();
        for ((_, account, function, kind), hours) in by_line {
            let mut before = 0;
            for (hour, total) in hours {
                let key = Key {
                    hour,
                    account: account.clone(),
                    function: function.clone(),
                    kind,
                };
                sums.add(
                    key,
                    Sum {
                        byte_us: total.saturating_sub(before),
                        count: 0,
                    },
                );
                before = total.max(before);
            }
        }
        sums
    }
}
