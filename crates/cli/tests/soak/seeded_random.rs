//! Reproducible pseudo-random numbers.

use std::hash::{BuildHasher, BuildHasherDefault, DefaultHasher};
use std::time::Duration;

/// A sequence of pseudo-random numbers that depends only on its seed.
pub struct SeededRandom {
    seed: u64,
    drawn: u64,
}

impl SeededRandom {
    pub fn new(seed: u64) -> Self {
        SeededRandom { seed, drawn: 0 }
    }

    /// A number below `bound`.
    pub fn below(&mut self, bound: u64) -> u64 {
        self.drawn += 1;
        let hasher = BuildHasherDefault::<DefaultHasher>::default();
        hasher.hash_one((self.seed, self.drawn)) % bound
    }

    /// True with a probability of one in `odds`.
    pub fn one_in(&mut self, odds: u64) -> bool {
        self.below(odds) == 0
    }

    /// A duration of at least `from` and less than `to` milliseconds.
    pub fn millis(&mut self, from: u64, to: u64) -> Duration {
        Duration::from_millis(from + self.below(to - from))
    }
}
