//! Which member polls which worker, and when. [`PollerRank`] is this router's position for a worker; [`PollInterval`]
//! tells when the worker is polled next; [`RateLimit`] bounds a router's polls a second.
//!
//! Mechanisms:
//! 1. Rendezvous hash over the members believed alive and the worker's name in the list, which is the same for all of
//!    them: one of them is first, and if it departs only its workers get another.
//! 2. Sooner after a drift or a restart, later after each clean answer, up to a bound; an unresponsive worker is polled
//!    rarely.
//! 3. The second in rank takes over when nothing was heard of the worker for a while, the third after twice that: a
//!    first one that hangs while it is believed alive leaves no worker unpolled, and members that disagree about the
//!    ranks do not all poll at once.
//! 4. Random jitter on all times, so that routers that started together do not poll together.

use std::hash::{DefaultHasher, Hash, Hasher};
use std::sync::Arc;

use cedarpulley::ids::fingerprint;
use cedarpulley::interface::Micros;

/// After a drift a worker is polled after the usual interval divided by this.
const DRIFT_SPEEDUP: Micros = 8;
/// After clean answers the interval grows to this multiple of the usual one at most.
const MAX_INTERVAL_FACTOR: Micros = 4;
/// The next in rank takes over after this many of the longest intervals without a report.
const TAKEOVER_INTERVALS: Micros = 3;

/// A member's position among those that could poll a worker; the first one polls it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct PollerRank(u32);

impl PollerRank {
    /// The rank of the member `me` for the worker `id`. Without other members it is the first.
    pub fn of(id: &str, me: &str, members: &[Arc<str>]) -> PollerRank {
        let weight = |member: &str| (fingerprint(&format!("{id}\n{member}")), fingerprint(member));
        let own = weight(me);
        let heavier = members
            .iter()
            .filter(|member| ***member != *me && weight(member) > own);
        PollerRank(heavier.count() as u32)
    }

    /// Whether this member polls the worker, and alone may repair there.
    pub fn is_first(self) -> bool {
        self.0 == 0
    }

    /// Members that come before it.
    pub fn position(self) -> u32 {
        self.0
    }
}

/// What a poll led to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PollResult {
    /// The report differs from what was believed.
    Drifted,
    /// Something had changed as it may: another router loaded something.
    Changed,
    /// The report agrees with what was believed.
    Clean,
    /// No answer came.
    Unresponsive,
}

/// Random numbers from a seed, the same in every run.
#[derive(Clone, Debug)]
pub struct SeededRandom {
    seed: u64,
    drawn: u64,
}

impl SeededRandom {
    /// A sequence of its own for each seed.
    pub fn new(seed: u64) -> Self {
        SeededRandom { seed, drawn: 0 }
    }

    /// The next number, in 0..1.
    pub fn draw(&mut self) -> f64 {
        self.drawn += 1;
        let mut hasher = DefaultHasher::new();
        (self.seed, self.drawn).hash(&mut hasher);
        (hasher.finish() >> 11) as f64 / (1u64 << 53) as f64
    }

    /// `time`, an eighth more or less.
    pub fn jittered(&mut self, time: Micros) -> Micros {
        (time as f64 * (0.875 + 0.25 * self.draw())) as Micros
    }
}

/// The time between two polls of one worker; it follows what the polls lead to.
#[derive(Clone, Copy, Debug)]
pub struct PollInterval {
    usual: Micros,
    current: Micros,
}

impl PollInterval {
    /// Begins at the usual interval.
    pub fn new(usual: Micros) -> Self {
        PollInterval {
            usual,
            current: usual,
        }
    }

    /// The time until the next poll.
    pub fn after(&mut self, result: PollResult) -> Micros {
        self.current = match result {
            PollResult::Drifted => (self.usual / DRIFT_SPEEDUP).max(1),
            PollResult::Changed => self.usual,
            PollResult::Clean => (self.current * 2).min(longest_interval(self.usual)),
            PollResult::Unresponsive => longest_interval(self.usual),
        };
        self.current
    }
}

/// The longest interval for a usual one: no worker that answers is left unpolled for longer.
pub fn longest_interval(interval: Micros) -> Micros {
    interval.saturating_mul(MAX_INTERVAL_FACTOR)
}

/// When nothing was heard of a worker for this long, the next member in rank polls it.
pub fn takeover_after(interval: Micros) -> Micros {
    longest_interval(interval).saturating_mul(TAKEOVER_INTERVALS)
}

/// A token bucket: a number of polls a second, and as many at once.
#[derive(Clone, Debug)]
pub struct RateLimit {
    per_s: f64,
    tokens: f64,
    filled_at: Micros,
}

impl RateLimit {
    /// Full at `now`.
    pub fn new(now: Micros, per_s: f64) -> Self {
        let per_s = per_s.max(1e-3);
        RateLimit {
            per_s,
            tokens: per_s.max(1.0),
            filled_at: now,
        }
    }

    fn fill(&mut self, now: Micros) {
        let elapsed_s = (now - self.filled_at).max(0) as f64 / 1e6;
        self.tokens = (self.tokens + elapsed_s * self.per_s).min(self.per_s.max(1.0));
        self.filled_at = now.max(self.filled_at);
    }

    /// Takes a token if there is one.
    pub fn take(&mut self, now: Micros) -> bool {
        self.fill(now);
        // A little less than one: after a wait until `due`, rounding may leave slightly less than a whole token.
        let enough = self.tokens >= 0.999;
        if enough {
            self.tokens = (self.tokens - 1.0).max(0.0);
        }
        enough
    }

    /// When there is a token again.
    pub fn due(&self) -> Micros {
        self.filled_at + ((1.0 - self.tokens).max(0.0) / self.per_s * 1e6).ceil() as Micros
    }
}
