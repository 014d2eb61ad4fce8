//! Which member polls which worker, and when. [`PollerRank`] is the position of this router among the members that
//! could poll a worker; [`PollInterval`] is the time until the next poll; [`RateLimit`] bounds the polls of a router
//! per second.
//!
//! Mechanisms:
//! 1. The ranks come from a rendezvous hash over the members considered alive and the worker's name in the endpoint
//!    list, which is the same for all members: exactly one member is first, and if it leaves the group only the workers
//!    that it polled are assigned to another member.
//! 2. A worker is polled sooner after a drift or a restart, and later after each clean answer, up to a bound; an
//!    unresponsive worker is polled rarely.
//! 3. The second member in rank takes over when no result of a poll was known for a while, the third after twice
//!    that time: every worker is polled even if the first member hangs while it is considered alive, and members that
//!    disagree about the ranks do not all poll at the same time.
//! 4. All times have random jitter, so that routers that started together do not poll together.

use std::hash::{DefaultHasher, Hash, Hasher};
use std::sync::Arc;

use cedarpulley::ids::fingerprint;
use cedarpulley::interface::Micros;

/// After a drift a worker is polled after the base interval divided by this.
const DRIFT_INTERVAL_DIVISOR: Micros = 8;
/// Clean answers increase the interval to at most this multiple of the base interval.
const MAX_INTERVAL_FACTOR: Micros = 4;
/// The next member in rank takes over after this many of the longest intervals without a poll result.
const TAKEOVER_INTERVALS: Micros = 3;

/// The position of a member among those that could poll a worker; the first member polls it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct PollerRank(u32);

impl PollerRank {
    /// The rank of the member `me` for the worker `id`. Without other members, `me` is first.
    pub fn of(id: &str, me: &str, members: &[Arc<str>]) -> PollerRank {
        let weight = |member: &str| (fingerprint(&format!("{id}\n{member}")), fingerprint(member));
        let own = weight(me);
        let heavier = members
            .iter()
            .filter(|member| ***member != *me && weight(member) > own);
        PollerRank(heavier.count() as u32)
    }

    /// Whether this member polls the worker and is the only one that may repair its copies.
    pub fn is_first(self) -> bool {
        self.0 == 0
    }

    /// Number of members that precede this one.
    pub fn position(self) -> u32 {
        self.0
    }
}

/// The result of a poll.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PollResult {
    /// The report differs from the record because of a fault.
    Drifted,
    /// The report differs in an ordinary way, as when another router loaded a function; or the worker is doubted, or
    /// its report was void.
    Changed,
    /// The report agrees with the record.
    Clean,
    /// The worker did not answer.
    Unresponsive,
}

/// Pseudo-random numbers from a seed, the same in every run.
#[derive(Clone, Debug)]
pub struct SeededRandom {
    seed: u64,
    drawn: u64,
}

impl SeededRandom {
    /// Starts the sequence that belongs to the seed.
    pub fn new(seed: u64) -> Self {
        SeededRandom { seed, drawn: 0 }
    }

    /// The next number of the sequence, at least 0 and less than 1.
    pub fn draw(&mut self) -> f64 {
        self.drawn += 1;
        let mut hasher = DefaultHasher::new();
        (self.seed, self.drawn).hash(&mut hasher);
        (hasher.finish() >> 11) as f64 / (1u64 << 53) as f64
    }

    /// `time` (microseconds), randomly changed by at most an eighth.
    pub fn jittered(&mut self, time: Micros) -> Micros {
        (time as f64 * (0.875 + 0.25 * self.draw())) as Micros
    }
}

/// The time between two polls of one worker; it adapts to the results of the polls.
#[derive(Clone, Copy, Debug)]
pub struct PollInterval {
    base: Micros,
    current: Micros,
}

impl PollInterval {
    /// Starts at the base interval `base` (microseconds).
    pub fn new(base: Micros) -> Self {
        PollInterval {
            base,
            current: base,
        }
    }

    /// The time until the next poll, in microseconds, after a poll with this result.
    pub fn next_interval(&mut self, result: PollResult) -> Micros {
        self.current = match result {
            PollResult::Drifted => (self.base / DRIFT_INTERVAL_DIVISOR).max(1),
            PollResult::Changed => self.base,
            PollResult::Clean => (self.current * 2).min(longest_interval(self.base)),
            PollResult::Unresponsive => longest_interval(self.base),
        };
        self.current
    }
}

/// The longest interval for a base interval, both in microseconds: a worker that answers is polled at least this often.
pub fn longest_interval(interval: Micros) -> Micros {
    interval.saturating_mul(MAX_INTERVAL_FACTOR)
}

/// The time without a poll result, in microseconds, after which the next member in rank polls a worker.
pub fn takeover_after(interval: Micros) -> Micros {
    longest_interval(interval).saturating_mul(TAKEOVER_INTERVALS)
}

/// A token bucket: it permits a number of polls per second, and a burst of the same number.
#[derive(Clone, Debug)]
pub struct RateLimit {
    per_s: f64,
    tokens: f64,
    refilled_at: Micros,
}

impl RateLimit {
    /// Creates a bucket that is full at `now`.
    pub fn new(now: Micros, per_s: f64) -> Self {
        let per_s = per_s.max(1e-3);
        RateLimit {
            per_s,
            tokens: per_s.max(1.0),
            refilled_at: now,
        }
    }

    /// Adds the tokens for the time since the last refill.
    fn refill(&mut self, now: Micros) {
        let elapsed_s = (now - self.refilled_at).max(0) as f64 / 1e6;
        self.tokens = (self.tokens + elapsed_s * self.per_s).min(self.per_s.max(1.0));
        self.refilled_at = now.max(self.refilled_at);
    }

    /// Takes a token if one is available; returns whether it did.
    pub fn try_take(&mut self, now: Micros) -> bool {
        self.refill(now);
        // The threshold is slightly below 1, because after a wait until `next_token_at` rounding may leave slightly
        // less than a whole token.
        let enough = self.tokens >= 0.999;
        if enough {
            self.tokens = (self.tokens - 1.0).max(0.0);
        }
        enough
    }

    /// When the next token is available.
    pub fn next_token_at(&self) -> Micros {
        self.refilled_at + ((1.0 - self.tokens).max(0.0) / self.per_s * 1e6).ceil() as Micros
    }
}
