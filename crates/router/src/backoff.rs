//! The delay before the router reconnects to an external service (a broker, the publisher of the endpoint list). Delays
//! grow while attempts fail. They are randomised, so that routers that lost the same service do not all reconnect at the
//! same time.

use std::hash::{BuildHasher, BuildHasherDefault, DefaultHasher};

use cedarpulley::interface::Micros;

/// The first delay, in microseconds: about the shortest time in which a process restarts on the same machine.
const INITIAL_DELAY: Micros = 100_000;
/// The default longest delay, in microseconds: the end of an outage is noticed within this time.
const MAX_DELAY: Micros = 5_000_000;
/// A connection that lasted at least this long, in microseconds, counts as a success; a shorter one counts as a failed
/// attempt.
const MIN_STABLE_DURATION: Micros = 2_000_000;

/// Exponential backoff with jitter.
#[derive(Debug)]
pub struct Backoff {
    seed: u64,
    /// Number of random values drawn so far.
    draws: u64,
    /// The upper bound of the next delay.
    delay: Micros,
    max_delay: Micros,
}

impl Backoff {
    /// Creates a backoff with delays of up to five seconds. `seed` determines the jitter.
    pub fn new(seed: u64) -> Self {
        Backoff::with_max_delay(seed, MAX_DELAY)
    }

    /// Creates a backoff with delays of up to `max_delay`.
    pub fn with_max_delay(seed: u64, max_delay: Micros) -> Self {
        Backoff {
            seed,
            draws: 0,
            delay: INITIAL_DELAY,
            max_delay,
        }
    }

    /// Returns the delay after an attempt whose connection lasted for `connected_for`, both in microseconds. The delay is
    /// drawn at random between half of its present upper bound and the bound.
    pub fn next_delay(&mut self, connected_for: Micros) -> Micros {
        if connected_for >= MIN_STABLE_DURATION {
            self.delay = INITIAL_DELAY;
        }
        let step = self.delay;
        self.delay = (self.delay * 2).min(self.max_delay);
        self.draws += 1;
        let draw = BuildHasherDefault::<DefaultHasher>::default().hash_one((self.seed, self.draws));
        step / 2 + (draw % (step as u64 / 2 + 1)) as Micros
    }
}
