//! Running estimates: latencies, decaying sums, counts over a sliding window, and the slowness of machine kinds.
//! Also the source of pseudo-random draws.

use std::collections::VecDeque;
use std::hash::{BuildHasher, BuildHasherDefault, DefaultHasher};

use crate::interface::Micros;

/// Each sample moves a latency estimate by its difference divided by this, as in TCP's round-trip estimate.
const LATENCY_GAIN_DIVISOR: Micros = 8;
/// The upper bound of a latency is its mean plus this many mean deviations.
const UPPER_BOUND_DEVIATIONS: Micros = 4;
/// Each sample moves the slowness of a machine kind by its difference divided by this.
const SLOWNESS_GAIN_DIVISOR: f64 = 32.0;
/// Larger slowness samples are cut to this value.
const MAX_SLOWNESS_SAMPLE: f64 = 8.0;
/// A point in time before all others, for events that have not happened yet. It can be subtracted from any other
/// point in time without overflow.
pub(super) const DISTANT_PAST: Micros = Micros::MIN / 2;

/// Exponentially weighted mean of a latency, and its mean absolute deviation.
#[derive(Clone, Copy, Default)]
pub(super) struct LatencyEstimate {
    /// The mean; 0 while there is no sample.
    pub(super) mean: Micros,
    /// The mean absolute deviation from it.
    pub(super) deviation: Micros,
}

impl LatencyEstimate {
    /// Returns the first of these estimates that has samples, or else an estimate around `guess`.
    pub(super) fn first_known<const N: usize>(known: [Self; N], guess: Micros) -> Self {
        known
            .into_iter()
            .find(|estimate| estimate.mean > 0)
            .unwrap_or(LatencyEstimate {
                mean: guess,
                deviation: guess / 4,
            })
    }

    /// Creates an estimate from a client's hint, for use before there is any sample.
    pub(super) fn from_hint(hint: Micros) -> Self {
        LatencyEstimate {
            mean: hint.max(1),
            deviation: hint / 4,
        }
    }

    /// Adds a measured latency.
    pub(super) fn record(&mut self, sample: Micros) {
        if self.mean == 0 {
            *self = LatencyEstimate {
                mean: sample.max(1),
                deviation: sample / 2,
            };
        } else {
            self.deviation += ((sample - self.mean).abs() - self.deviation) / LATENCY_GAIN_DIVISOR;
            self.mean += (sample - self.mean) / LATENCY_GAIN_DIVISOR;
        }
    }

    /// The upper bound of the normal range: a longer latency is unusual.
    pub(super) fn upper_bound(&self) -> Micros {
        self.mean + UPPER_BOUND_DEVIATIONS * self.deviation
    }
}

/// A sum whose terms decay exponentially with their age.
#[derive(Clone, Copy, Default)]
pub(super) struct DecayingSum {
    sum: f64,
    updated_at: Micros,
}

impl DecayingSum {
    /// Decays the sum with the time constant `decay_time` (microseconds), adds `amount`, and returns the decayed sum
    /// without `amount`.
    pub(super) fn add(&mut self, now: Micros, decay_time: f64, amount: f64) -> f64 {
        let before = self.sum * (-(now - self.updated_at) as f64 / decay_time).exp();
        *self = DecayingSum {
            sum: before + amount,
            updated_at: now,
        };
        before
    }

    /// The sum as of the last addition.
    pub(super) fn value(&self) -> f64 {
        self.sum
    }
}

/// The times of recorded events, oldest first, for counts over a sliding window.
#[derive(Default)]
pub(super) struct SlidingWindow {
    times: VecDeque<Micros>,
}

impl SlidingWindow {
    /// Records an event at `now`.
    pub(super) fn record(&mut self, now: Micros) {
        self.times.push_back(now);
    }

    /// Records an event at `now`, and drops the oldest one if there are more than `most`.
    pub(super) fn record_within(&mut self, now: Micros, most: usize) {
        self.record(now);
        if self.times.len() > most {
            self.times.pop_front();
        }
    }

    /// Counts the events after `since`.
    pub(super) fn count_after(&self, since: Micros) -> usize {
        self.times.iter().filter(|&&time| time > since).count()
    }

    /// Drops one of the events that were recorded at `at`, if there is one.
    pub(super) fn forget_one_at(&mut self, at: Micros) {
        if let Some(position) = self.times.iter().rposition(|&time| time == at) {
            self.times.remove(position);
        }
    }

    /// Drops the events up to and including `until`.
    pub(super) fn forget_until(&mut self, until: Micros) {
        while self.times.front().is_some_and(|&time| time <= until) {
            self.times.pop_front();
        }
    }
}

/// The slowness of each machine kind: the time that work takes there, as a multiple of the client's cost hint.
#[derive(Default)]
pub(super) struct MachineSlowness {
    /// By index of the machine kind.
    by_kind: Vec<f64>,
}

impl MachineSlowness {
    /// Adds a machine kind; without samples its slowness is 1, so cost hints are used unchanged.
    pub(super) fn add_kind(&mut self, kind: u32) {
        let kinds = self.by_kind.len().max(kind as usize + 1);
        self.by_kind.resize(kinds, 1.0);
    }

    /// Records that work with the cost hint `hint` took the time `took` on this machine kind.
    pub(super) fn record(&mut self, kind: u32, took: Micros, hint: Micros) {
        let slowness = &mut self.by_kind[kind as usize];
        *slowness += ((took as f64 / hint as f64).min(MAX_SLOWNESS_SAMPLE) - *slowness)
            / SLOWNESS_GAIN_DIVISOR;
    }

    /// Returns the slowness of this machine kind and that of the fastest kind.
    pub(super) fn of_kind_and_fastest(&self, kind: u32) -> (f64, f64) {
        let own = self.by_kind[kind as usize];
        (own, self.by_kind.iter().copied().fold(own, f64::min))
    }
}

/// A source of pseudo-random draws: the same seed gives the same draws in the same order.
#[derive(Default)]
pub(super) struct RandomDraws {
    seed: u64,
    /// Number of draws so far.
    draw_count: u64,
}

impl RandomDraws {
    /// Creates a source with this seed.
    pub(super) fn new(seed: u64) -> Self {
        RandomDraws {
            seed,
            draw_count: 0,
        }
    }

    /// Returns the next draw.
    pub(super) fn draw(&mut self) -> u64 {
        self.draw_count += 1;
        hash_pair((self.seed, self.draw_count))
    }
}

/// Hashes a pair without a key, so that all routers get the same result.
pub(super) fn hash_pair(pair: (u64, u64)) -> u64 {
    BuildHasherDefault::<DefaultHasher>::default().hash_one(pair)
}
