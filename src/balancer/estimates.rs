//! Running estimates: latencies, decaying sums, counts over a sliding window, and the pace of machine kinds.

use std::collections::VecDeque;
use std::hash::{BuildHasher, BuildHasherDefault, DefaultHasher};

use crate::interface::Micros;

/// A latency estimate moves by one part in so many with each sample (as for round trips in TCP).
const GAIN_DIVISOR: Micros = 8;
/// The upper bound of a latency: its mean and so many deviations.
const UPPER_BOUND_DEVIATIONS: Micros = 4;
/// The slowness of a machine kind moves by one part in so many with each sample.
const SLOWNESS_GAIN_DIVISOR: f64 = 32.0;
/// A slowness sample counts as so much at most.
const MAX_SLOWNESS_SAMPLE: f64 = 8.0;
/// The start of a time span that has not begun: before any point in time, and safe to subtract.
pub(super) const LONG_AGO: Micros = Micros::MIN / 2;

/// Exponentially weighted mean of a latency, and its mean absolute deviation.
#[derive(Clone, Copy, Default)]
pub(super) struct LatencyEstimate {
    /// The mean; 0 while there is no sample.
    pub(super) mean: Micros,
    /// The mean absolute deviation from it.
    pub(super) deviation: Micros,
}

impl LatencyEstimate {
    /// The first of these that has samples, else one around `guess`.
    pub(super) fn first_known<const N: usize>(known: [Self; N], guess: Micros) -> Self {
        known
            .into_iter()
            .find(|estimate| estimate.mean > 0)
            .unwrap_or(LatencyEstimate {
                mean: guess,
                deviation: guess / 4,
            })
    }

    /// An estimate made of a client's hint, before there is any sample.
    pub(super) fn from_hint(hint: Micros) -> Self {
        LatencyEstimate {
            mean: hint.max(1),
            deviation: hint / 4,
        }
    }

    /// Takes in a measured latency.
    pub(super) fn record(&mut self, sample: Micros) {
        if self.mean == 0 {
            *self = LatencyEstimate {
                mean: sample.max(1),
                deviation: sample / 2,
            };
        } else {
            self.deviation += ((sample - self.mean).abs() - self.deviation) / GAIN_DIVISOR;
            self.mean += (sample - self.mean) / GAIN_DIVISOR;
        }
    }

    /// A long but normal latency.
    pub(super) fn upper_bound(&self) -> Micros {
        self.mean + UPPER_BOUND_DEVIATIONS * self.deviation
    }
}

/// A sum whose parts lose weight exponentially with age.
#[derive(Clone, Copy, Default)]
pub(super) struct DecayingSum {
    sum: f64,
    updated_at: Micros,
}

impl DecayingSum {
    /// Adds `amount` after decay with the time constant `decay_time`; returns the decayed sum without it.
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

/// The points in time at which something happened, oldest first, for counts over a sliding window.
#[derive(Default)]
pub(super) struct SlidingWindow {
    times: VecDeque<Micros>,
}

impl SlidingWindow {
    /// Notes that it happened now.
    pub(super) fn record(&mut self, now: Micros) {
        self.times.push_back(now);
    }

    /// How often it happened after `since`.
    pub(super) fn count_after(&self, since: Micros) -> usize {
        self.times.iter().filter(|&&time| time > since).count()
    }

    /// Drops what happened up to `until`.
    pub(super) fn forget_until(&mut self, until: Micros) {
        while self.times.front().is_some_and(|&time| time <= until) {
            self.times.pop_front();
        }
    }
}

/// By machine kind: the time that work takes there, as a multiple of the client's cost hint.
#[derive(Default)]
pub(super) struct MachineSlowness {
    by_kind: Vec<f64>,
}

impl MachineSlowness {
    /// Makes room for a machine kind; without samples its hints are taken as they are.
    pub(super) fn add_kind(&mut self, kind: u32) {
        let kinds = self.by_kind.len().max(kind as usize + 1);
        self.by_kind.resize(kinds, 1.0);
    }

    /// Takes in that work with this hint took so long on this kind.
    pub(super) fn record(&mut self, kind: u32, took: Micros, hint: Micros) {
        let slowness = &mut self.by_kind[kind as usize];
        *slowness += ((took as f64 / hint as f64).min(MAX_SLOWNESS_SAMPLE) - *slowness)
            / SLOWNESS_GAIN_DIVISOR;
    }

    /// The slowness of this kind and that of the fastest kind.
    pub(super) fn of_kind_and_fastest(&self, kind: u32) -> (f64, f64) {
        let own = self.by_kind[kind as usize];
        (own, self.by_kind.iter().copied().fold(own, f64::min))
    }
}

/// Pseudo-random draws: the same seed gives the same draws in the same order.
#[derive(Default)]
pub(super) struct Draws {
    seed: u64,
    drawn: u64,
}

impl Draws {
    pub(super) fn new(seed: u64) -> Self {
        Draws { seed, drawn: 0 }
    }

    /// The next draw.
    pub(super) fn draw(&mut self) -> u64 {
        self.drawn += 1;
        hash_pair((self.seed, self.drawn))
    }
}

/// A hash without key: the same at every router.
pub(super) fn hash_pair(pair: (u64, u64)) -> u64 {
    BuildHasherDefault::<DefaultHasher>::default().hash_one(pair)
}
