//! How long to wait before trying again to reach something outside (a broker, the worker list). Waits grow while
//! tries fail and are spread out, so that many routers that lost the same thing do not come back all at once.

use std::hash::{BuildHasher, BuildHasherDefault, DefaultHasher};

use cedarpulley::interface::Micros;

/// The first wait: about what a restart of a process on the same machine takes at least.
const FIRST: Micros = 100_000;
/// The longest: an outage's end is noticed within this time.
const LONGEST: Micros = 5_000_000;
/// A connection that stood so long counts as a success; shorter, it failed too.
const STOOD: Micros = 2_000_000;

#[derive(Debug)]
pub struct Backoff {
    seed: u64,
    draws: u64,
    wait: Micros,
    longest: Micros,
}

impl Backoff {
    pub fn new(seed: u64) -> Self {
        Backoff::up_to(seed, LONGEST)
    }

    /// With another longest wait.
    pub fn up_to(seed: u64, longest: Micros) -> Self {
        Backoff {
            seed,
            draws: 0,
            wait: FIRST,
            longest,
        }
    }

    /// The wait after a try that ended, having stood for so long. Drawn from the upper half of the present step.
    pub fn after(&mut self, stood: Micros) -> Micros {
        if stood >= STOOD {
            self.wait = FIRST;
        }
        let step = self.wait;
        self.wait = (self.wait * 2).min(self.longest);
        self.draws += 1;
        let draw = BuildHasherDefault::<DefaultHasher>::default().hash_one((self.seed, self.draws));
        step / 2 + (draw % (step as u64 / 2 + 1)) as Micros
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn waits_grow_are_spread_and_start_anew_after_a_success() {
        let mut b = Backoff::new(1);
        let waits: Vec<Micros> = (0..10).map(|_| b.after(0)).collect();
        assert!(waits[0] <= FIRST && waits.iter().all(|w| (FIRST / 2..=LONGEST).contains(w)));
        assert!(waits[9] >= LONGEST / 2);
        assert!(b.after(STOOD) <= FIRST);
        assert!(b.after(0) <= 2 * FIRST);
        let mut short = Backoff::up_to(1, 3 * FIRST);
        assert!((0..10).all(|_| short.after(0) <= 3 * FIRST));
        assert_ne!(Backoff::new(2).after(0), waits[0]);
    }
}
