//! How long to wait before connecting again to something outside the router (a broker, the endpoint list). Delays grow
//! while attempts fail and are randomised, so that many routers that lost the same thing do not reconnect all at once.

use std::hash::{BuildHasher, BuildHasherDefault, DefaultHasher};

use cedarpulley::interface::Micros;

/// The first delay: about the least time that a process takes to restart on the same machine.
const INITIAL_DELAY: Micros = 100_000;
/// The longest delay: the end of an outage is noticed within this time.
const MAX_DELAY: Micros = 5_000_000;
/// A connection that lasted this long counts as a success; a shorter one failed, too.
const STABLE_AFTER: Micros = 2_000_000;

/// Exponential backoff with jitter.
#[derive(Debug)]
pub struct Backoff {
    seed: u64,
    draws: u64,
    delay: Micros,
    max_delay: Micros,
}

impl Backoff {
    /// A backoff of up to five seconds. `seed` determines the jitter.
    pub fn new(seed: u64) -> Self {
        Backoff::with_max_delay(seed, MAX_DELAY)
    }

    /// A backoff with another longest delay.
    pub fn with_max_delay(seed: u64, longest: Micros) -> Self {
        Backoff {
            seed,
            draws: 0,
            delay: INITIAL_DELAY,
            max_delay: longest,
        }
    }

    /// The delay after an attempt whose connection lasted for `stood`; drawn from the upper half of the present step.
    pub fn next_delay(&mut self, stood: Micros) -> Micros {
        if stood >= STABLE_AFTER {
            self.delay = INITIAL_DELAY;
        }
        let step = self.delay;
        self.delay = (self.delay * 2).min(self.max_delay);
        self.draws += 1;
        let draw = BuildHasherDefault::<DefaultHasher>::default().hash_one((self.seed, self.draws));
        step / 2 + (draw % (step as u64 / 2 + 1)) as Micros
    }
}
