//! Chance, by seed.

use std::hash::{BuildHasher, BuildHasherDefault, DefaultHasher};
use std::time::Duration;

/// A sequence of draws that a seed fixes.
pub struct Draws {
    seed: u64,
    drawn: u64,
}

impl Draws {
    pub fn new(seed: u64) -> Self {
        Draws { seed, drawn: 0 }
    }

    pub fn below(&mut self, bound: u64) -> u64 {
        self.drawn += 1;
        let hasher = BuildHasherDefault::<DefaultHasher>::default();
        hasher.hash_one((self.seed, self.drawn)) % bound
    }

    /// True once in so many draws.
    pub fn one_in(&mut self, odds: u64) -> bool {
        self.below(odds) == 0
    }

    pub fn millis(&mut self, from: u64, to: u64) -> Duration {
        Duration::from_millis(from + self.below(to - from))
    }
}
