//! Compares the new version with the old one by the counters of all members: [`VersionComparison::record`] takes them,
//! [`VersionComparison::verdict`] returns the result.
//!
//! Mechanisms:
//! 1. Pairs: only invocations of both versions that one member counted for one trigger type within one period are
//!    compared, so that a busy hour, a distant region or a slow trigger type does not favor either version.
//! 2. The Cochran-Mantel-Haenszel test over all pairs, which tolerates pairs with few samples, compares the counts with
//!    those expected if both versions behaved alike. A result counts only if it is significant and the difference is
//!    large enough to matter.

use std::collections::BTreeMap;

use cedarpulley_membership::MemberIndex;
use serde::{Deserialize, Serialize};

use crate::Name;

/// Invocations that both sides of a pair need before the pair is closed. Fewer carry no information; many more would
/// span changes of load.
const PAIR_SAMPLES: u64 = 5;
/// Invocations of each version that have to be compared before there is a result: with fewer, one broken worker would
/// look like a broken version.
pub const MIN_COMPARED: u64 = 40;
/// Standard deviations from which on a difference is significant. The comparison is evaluated every second for hours:
/// by chance alone, 4 deviations stop one plan in some hundreds, and 2 would stop most plans.
const SIGNIFICANT_DEVIATIONS: f64 = 4.0;
/// Standard deviations below which a difference counts as none: at a single evaluation it is within chance.
const INSIGNIFICANT_DEVIATIONS: f64 = 2.0;
/// Smallest increase of the error rate that justifies a rollback: one more error in a hundred invocations.
const RELEVANT_ERROR_DIFFERENCE: f64 = 0.01;
/// Smallest increase of the rate of late invocations that justifies a pause: one in twenty. It exceeds the effect of
/// the cold caches of newly loaded copies.
const RELEVANT_LATE_DIFFERENCE: f64 = 0.05;
/// Maximum number of open pairs (members times trigger types). Counts of further pairs are ignored.
const MAX_OPEN_PAIRS: usize = 4096;

/// Invocations of one version by one trigger type that one member has counted since its process started. The counters
/// only grow. Invocations that the router itself rejected (session over, no majority) are not included.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct VersionCounters {
    /// The version; empty for copies without a version.
    pub version: Name,
    /// The trigger type.
    pub trigger: Name,
    /// Number of invocations that ended.
    pub completed: u64,
    /// Number of invocations that ended in an error.
    pub errored: u64,
    /// Number of invocations that ended after their latency objective.
    pub late: u64,
}

/// The result of a comparison.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// One of the versions has too few samples.
    TooFewSamples,
    /// The versions do not differ beyond chance.
    Equivalent,
    /// There may be a difference, but it is not significant or too small to matter.
    Inconclusive,
    /// The new version misses its latency objective more often.
    Slower,
    /// Invocations of the new version end in an error more often.
    MoreErrors,
}

/// A verdict and the number of invocations that it is based on.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ComparisonSummary {
    pub verdict: Verdict,
    /// Number of invocations of the new version that were compared.
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

/// The number of invocations with an event, and of all invocations.
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

/// Invocations of both versions that a member counted for one trigger type since its last pair was closed.
#[derive(Clone, Copy, Debug, Default)]
struct Pair {
    new: Samples,
    old: Samples,
}

/// The sums of the Cochran-Mantel-Haenszel test for one kind of event.
#[derive(Clone, Copy, Debug, Default)]
struct MantelHaenszel {
    /// Events of the new version beyond the expected number.
    excess: f64,
    /// The variance of `excess`.
    variance: f64,
    /// Sum of the weighted differences of the rates.
    difference: f64,
    /// Sum of the weights.
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
    /// The last counters of each member, one entry per version and trigger type.
    last_counters: BTreeMap<MemberIndex, Vec<VersionCounters>>,
    /// The open pairs, by member and trigger type.
    open_pairs: BTreeMap<(MemberIndex, Name), Pair>,
    /// Invocations of the new version in closed pairs.
    compared_new: u64,
    /// Invocations of the old version in closed pairs.
    compared_old: u64,
    errors: MantelHaenszel,
    late: MantelHaenszel,
}

impl VersionComparison {
    /// Starts the comparison again; invocations that were counted so far are not compared any more.
    pub fn restart(&mut self) {
        *self = VersionComparison {
            last_counters: std::mem::take(&mut self.last_counters),
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
        let mut updated_pairs = Vec::new();
        // The first report of a member is only a baseline: its counters also contain invocations from before the plan.
        if let Some(before) = self.last_counters.get(&member) {
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
                updated_pairs.push(pair);
            }
        }
        self.last_counters.insert(member, counts);
        for pair in updated_pairs {
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

    /// Number of invocations of the new version that were compared.
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

/// Adds the increase of the counters since the member's last report.
fn add_increase(samples: &mut Samples, count: &VersionCounters, before: &[VersionCounters]) {
    let previous = before
        .iter()
        .find(|previous| previous.version == count.version && previous.trigger == count.trigger);
    // A restarted process counts from zero.
    let zero = VersionCounters::default();
    let previous = previous
        .filter(|previous| previous.completed <= count.completed)
        .unwrap_or(&zero);
    samples.ended += count.completed - previous.completed;
    samples.errored += count.errored.saturating_sub(previous.errored);
    samples.late += count.late.saturating_sub(previous.late);
}
