//! The new version against the old one, from what all members have seen of both ([`Health::hear`], then
//! [`Health::says`]).
//!
//! Mechanisms:
//! 1. Paired: only what one member saw of both versions by one trigger type within one stretch of time is compared, so
//!    that a busy hour, a far region or a slow trigger type speaks for neither version.
//! 2. Counts of two versions as they would come by chance if the versions were alike: the Cochran-Mantel-Haenszel sum
//!    over all pairs, which bears pairs with few samples. It has to be far off, and the difference large enough to matter.

use std::collections::BTreeMap;

use cedarpulley_membership::MemberIndex;
use serde::{Deserialize, Serialize};

use crate::Name;

/// A pair is closed once both its sides have so many: with fewer it says nothing, with many more it spans a change of
/// load.
const IN_PAIR: u64 = 5;
/// Of the new version, and of the old one beside it: with fewer, one broken worker looks like a broken version.
pub const ENOUGH: u64 = 40;
/// Standard deviations. It is looked at every second for hours: by chance alone, at 4 one plan in some hundreds is
/// stopped; at 2, most would be.
const CLEAR: f64 = 4.0;
/// Below, what was clear is gone: within what chance does at one look.
const GONE: f64 = 2.0;
/// One of a hundred more that end in an error is worth going back for.
const MORE_ERRORS: f64 = 0.01;
/// Caches of a copy that was just loaded are cold; one of twenty more late is beyond that.
const MORE_LATE: f64 = 0.05;
/// Pairs that are open at once: members times trigger types. Beyond, counts of further ones are left out.
const MOST_PAIRS: usize = 4096;

/// What one member has seen of one version by one trigger type since its process began; counts only grow. What this
/// router itself refused (a session that is over, no majority) is in none of them.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Count {
    /// Empty: without a version.
    pub version: Name,
    pub trigger: Name,
    pub ended: u64,
    pub errored: u64,
    /// Ended after its latency objective.
    pub late: u64,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// Too few samples on one side.
    Unknown,
    Alike,
    /// Neither clear nor gone.
    Open,
    Late,
    Errors,
}

#[derive(Clone, Copy, Debug, Default)]
struct Side {
    ended: u64,
    errored: u64,
    late: u64,
}

/// New, old.
type Pair = [Side; 2];

#[derive(Clone, Copy, Debug, Default)]
struct Sum {
    /// What the new version had beyond its part, and by how much that scatters.
    beyond: f64,
    variance: f64,
    /// Differences of rates, weighted, and the weights.
    difference: f64,
    weight: f64,
}

impl Sum {
    fn add(&mut self, new: (u64, u64), old: (u64, u64)) {
        let (n1, n0) = (new.0 as f64, old.0 as f64);
        let (m1, m0) = (new.1 as f64, old.1 as f64);
        let (n, m) = (n1 + n0, m1 + m0);
        if n1 < 1.0 || n0 < 1.0 {
            return;
        }
        self.beyond += m1 - n1 * m / n;
        self.variance += n1 * n0 * m * (n - m) / (n * n * (n - 1.0));
        let weight = n1 * n0 / n;
        self.difference += weight * (m1 / n1 - m0 / n0);
        self.weight += weight;
    }

    fn off(&self) -> f64 {
        if self.variance > 0.0 {
            self.beyond / self.variance.sqrt()
        } else {
            0.0
        }
    }

    fn clear(&self, more: f64) -> bool {
        self.off() >= CLEAR && self.difference >= more * self.weight
    }
}

#[derive(Clone, Debug, Default)]
pub struct Health {
    /// The last counts of each member, by version and trigger type.
    last: BTreeMap<MemberIndex, Vec<Count>>,
    open: BTreeMap<(MemberIndex, Name), Pair>,
    compared: [u64; 2],
    errors: Sum,
    late: Sum,
}

impl Health {
    /// From here on anew; what was counted before is known, and counts no more.
    pub fn anew(&mut self) {
        *self = Health {
            last: std::mem::take(&mut self.last),
            ..Health::default()
        };
    }

    pub fn hear(&mut self, member: MemberIndex, counts: Vec<Count>, old: &str, new: &str) {
        let before = self.last.get(&member);
        let mut touched = Vec::new();
        for c in &counts {
            let side = match &*c.version {
                v if v == new => 0,
                v if v == old => 1,
                _ => continue,
            };
            // A member heard of for the first time has counted before the plan, too.
            let Some(before) = before else { continue };
            let zero = Count::default();
            let was = before
                .iter()
                .find(|b| b.version == c.version && b.trigger == c.trigger);
            // A process that began anew counts from nothing.
            let was = was.filter(|b| b.ended <= c.ended).unwrap_or(&zero);
            let pair = (member, c.trigger.clone());
            if self.open.len() >= MOST_PAIRS && !self.open.contains_key(&pair) {
                continue;
            }
            let it = &mut self.open.entry(pair.clone()).or_default()[side];
            it.ended += c.ended - was.ended;
            it.errored += c.errored.saturating_sub(was.errored);
            it.late += c.late.saturating_sub(was.late);
            touched.push(pair);
        }
        self.last.insert(member, counts);
        for pair in touched {
            let Some([new, old]) = self.open.get(&pair).copied() else {
                continue;
            };
            if new.ended < IN_PAIR || old.ended < IN_PAIR {
                continue;
            }
            self.open.remove(&pair);
            self.compared[0] += new.ended;
            self.compared[1] += old.ended;
            self.errors.add(
                (new.ended, new.errored.min(new.ended)),
                (old.ended, old.errored.min(old.ended)),
            );
            self.late.add(
                (new.ended, new.late.min(new.ended)),
                (old.ended, old.late.min(old.ended)),
            );
        }
    }

    pub fn says(&self) -> Verdict {
        match () {
            () if self.compared.iter().any(|n| *n < ENOUGH) => Verdict::Unknown,
            () if self.errors.clear(MORE_ERRORS) => Verdict::Errors,
            () if self.late.clear(MORE_LATE) => Verdict::Late,
            () if self.errors.off() < GONE && self.late.off() < GONE => Verdict::Alike,
            () => Verdict::Open,
        }
    }

    /// Of the new version, paired.
    pub fn compared(&self) -> u64 {
        self.compared[0]
    }
}
