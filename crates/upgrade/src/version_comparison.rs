//! The new version against the old one, from what all members observed of both ([`VersionComparison::record`], then
//! [`VersionComparison::verdict`]).
//!
//! Mechanisms:
//! 1. Paired: only what one member observed of both versions by one trigger type within one stretch of time is compared,
//!    so that a busy hour, a far region or a slow trigger type speaks for neither version.
//! 2. Counts of two versions against those that would come by chance if the versions were alike: the
//!    Cochran-Mantel-Haenszel sum over all pairs, which tolerates pairs with few samples. It has to be far off, and the
//!    difference large enough to matter.

use std::collections::BTreeMap;

use cedarpulley_membership::MemberIndex;
use serde::{Deserialize, Serialize};

use crate::Name;

/// A pair is closed once both its sides have so many: with fewer it says nothing, with many more it spans a change of
/// load.
const PAIR_SAMPLES: u64 = 5;
/// Invocations of the new version to compare, and of the old one beside it: with fewer, one broken worker looks like a
/// broken version.
pub const MIN_COMPARED: u64 = 40;
/// A difference is significant at so many standard deviations. It is evaluated every second for hours: by chance alone,
/// at 4 one plan in some hundreds is stopped; at 2, most would be.
const SIGNIFICANT_DEVIATIONS: f64 = 4.0;
/// Below so many standard deviations a difference that was significant is gone: within chance at one evaluation.
const INSIGNIFICANT_DEVIATIONS: f64 = 2.0;
/// One of a hundred more that end in an error is worth rolling back for.
const RELEVANT_ERROR_DIFFERENCE: f64 = 0.01;
/// Caches of a copy that was just loaded are cold; one of twenty more late is beyond that.
const RELEVANT_LATE_DIFFERENCE: f64 = 0.05;
/// Most open pairs: members times trigger types. Counts of further ones are left out.
const MAX_OPEN_PAIRS: usize = 4096;

/// What one member observed of one version by one trigger type since its process began; counters only grow. What this
/// router itself rejected (a session that is over, no majority) is in none of them.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct VersionCounters {
    /// The version; empty: copies without a version.
    pub version: Name,
    /// The trigger type.
    pub trigger: Name,
    /// Invocations that ended.
    pub completed: u64,
    /// Those that ended in an error.
    pub errored: u64,
    /// Those that ended after their latency objective.
    pub late: u64,
}

/// The result of a comparison.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// Too few samples on one side.
    TooFewSamples,
    /// No difference, or none that matters.
    Equivalent,
    /// Neither significant nor gone.
    Inconclusive,
    /// The new version misses its latency objective more often.
    Slower,
    /// The new version ends in errors more often.
    MoreErrors,
}

/// A verdict and what it rests on.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ComparisonSummary {
    pub verdict: Verdict,
    /// Invocations of the new version that were compared.
    pub compared: u64,
}

/// Invocations of one version in a pair.
#[derive(Clone, Copy, Debug, Default)]
struct Samples {
    ended: u64,
    errored: u64,
    late: u64,
}

impl Samples {
    fn errors(&self) -> Proportion {
        Proportion::new(self.errored, self.ended)
    }

    fn late(&self) -> Proportion {
        Proportion::new(self.late, self.ended)
    }
}

/// How many of all had an event.
#[derive(Clone, Copy, Debug)]
struct Proportion {
    events: f64,
    total: f64,
}

impl Proportion {
    fn new(events: u64, total: u64) -> Proportion {
        Proportion {
            events: events.min(total) as f64,
            total: total as f64,
        }
    }

    fn rate(self) -> f64 {
        self.events / self.total
    }
}

/// What a member observed of both versions by one trigger type since the last pair was closed.
#[derive(Clone, Copy, Debug, Default)]
struct Pair {
    new: Samples,
    old: Samples,
}

/// The Cochran-Mantel-Haenszel sum of one kind of event.
#[derive(Clone, Copy, Debug, Default)]
struct MantelHaenszel {
    /// Events of the new version beyond the expected number, and their variance.
    excess: f64,
    variance: f64,
    /// Differences of rates, weighted, and the weights.
    difference: f64,
    weight: f64,
}

impl MantelHaenszel {
    fn add(&mut self, new: Proportion, old: Proportion) {
        if new.total < 1.0 || old.total < 1.0 {
            return;
        }
        let (total, events) = (new.total + old.total, new.events + old.events);
        self.excess += new.events - new.total * events / total;
        self.variance +=
            new.total * old.total * events * (total - events) / (total * total * (total - 1.0));
        let weight = new.total * old.total / total;
        self.difference += weight * (new.rate() - old.rate());
        self.weight += weight;
    }

    fn deviations(&self) -> f64 {
        if self.variance > 0.0 {
            self.excess / self.variance.sqrt()
        } else {
            0.0
        }
    }

    fn is_significant(&self, relevant_difference: f64) -> bool {
        self.deviations() >= SIGNIFICANT_DEVIATIONS
            && self.difference >= relevant_difference * self.weight
    }

    fn is_insignificant(&self) -> bool {
        self.deviations() < INSIGNIFICANT_DEVIATIONS
    }
}

/// The comparison of the two versions of a plan.
#[derive(Clone, Debug, Default)]
pub struct VersionComparison {
    /// The last counters of each member, by version and trigger type.
    last: BTreeMap<MemberIndex, Vec<VersionCounters>>,
    /// By member and trigger type.
    open_pairs: BTreeMap<(MemberIndex, Name), Pair>,
    /// Invocations of the new and of the old version in closed pairs.
    compared_new: u64,
    compared_old: u64,
    errors: MantelHaenszel,
    late: MantelHaenszel,
}

impl VersionComparison {
    /// Begins again: what was counted so far is not compared any more.
    pub fn restart(&mut self) {
        *self = VersionComparison {
            last: std::mem::take(&mut self.last),
            ..VersionComparison::default()
        };
    }

    /// Takes in the counters of a member; counters of other versions than these two are ignored.
    pub fn record(
        &mut self,
        member: MemberIndex,
        counts: Vec<VersionCounters>,
        old: &str,
        new: &str,
    ) {
        let mut touched = Vec::new();
        // A member heard of for the first time has counted before the plan, too.
        if let Some(before) = self.last.get(&member) {
            for count in &counts {
                if *count.version != *new && *count.version != *old {
                    continue;
                }
                let pair = (member, count.trigger.clone());
                if self.open_pairs.len() >= MAX_OPEN_PAIRS && !self.open_pairs.contains_key(&pair) {
                    continue;
                }
                let open = self.open_pairs.entry(pair.clone()).or_default();
                let samples = if *count.version == *new {
                    &mut open.new
                } else {
                    &mut open.old
                };
                add_increase(samples, count, before);
                touched.push(pair);
            }
        }
        self.last.insert(member, counts);
        for pair in touched {
            self.close_if_full(&pair);
        }
    }

    fn close_if_full(&mut self, pair: &(MemberIndex, Name)) {
        let Some(Pair { new, old }) = self.open_pairs.get(pair).copied() else {
            return;
        };
        if new.ended < PAIR_SAMPLES || old.ended < PAIR_SAMPLES {
            return;
        }
        self.open_pairs.remove(pair);
        self.compared_new += new.ended;
        self.compared_old += old.ended;
        self.errors.add(new.errors(), old.errors());
        self.late.add(new.late(), old.late());
    }

    /// The result so far.
    pub fn verdict(&self) -> Verdict {
        if self.compared_new.min(self.compared_old) < MIN_COMPARED {
            Verdict::TooFewSamples
        } else if self.errors.is_significant(RELEVANT_ERROR_DIFFERENCE) {
            Verdict::MoreErrors
        } else if self.late.is_significant(RELEVANT_LATE_DIFFERENCE) {
            Verdict::Slower
        } else if self.errors.is_insignificant() && self.late.is_insignificant() {
            Verdict::Equivalent
        } else {
            Verdict::Inconclusive
        }
    }

    /// Invocations of the new version that were compared.
    pub fn compared(&self) -> u64 {
        self.compared_new
    }

    pub(crate) fn summary(&self) -> ComparisonSummary {
        ComparisonSummary {
            verdict: self.verdict(),
            compared: self.compared(),
        }
    }
}

/// Adds by how much a counter has grown since the member's last report.
fn add_increase(samples: &mut Samples, count: &VersionCounters, before: &[VersionCounters]) {
    let was = before
        .iter()
        .find(|was| was.version == count.version && was.trigger == count.trigger);
    // A process that began anew counts from zero.
    let zero = VersionCounters::default();
    let was = was
        .filter(|was| was.completed <= count.completed)
        .unwrap_or(&zero);
    samples.ended += count.completed - was.completed;
    samples.errored += count.errored.saturating_sub(was.errored);
    samples.late += count.late.saturating_sub(was.late);
}
