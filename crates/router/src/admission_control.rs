//! Decides whether a request is admitted before its body is read. Messages above the limit stay at their broker, but a
//! client that sends requests directly must be answered: it can be rejected at once and without harm, with the time after
//! which to retry. The caller calls [`AdmissionControl::decide`] for each request and [`AdmissionControl::answered`] for
//! each answer.
//!
//! Mechanisms:
//! 1. Hard limits are checked first: shutdown, memory, the limit on all invocations, the caps of the front and of the
//!    account.
//! 2. While the router is busy, a connection may have a small multiple of its equal part in flight, so that the many
//!    streams of one client do not shut out the others. A connection whose client abandons most of its requests, or does
//!    not read its answers, is rejected.
//! 3. The last part of the limit is reserved for requests of higher expected value: the lower the expected value of a
//!    request compared with recent ones, the sooner it is rejected. A request whose answer will be late has the value of
//!    a late answer.
//! 4. Retry-After is the time that it takes to serve the recently rejected requests, randomised.

use std::hash::{BuildHasher, BuildHasherDefault, DefaultHasher};

use cedarpulley::interface::{Micros, TriggerType};

/// Requests of the highest expected value may use the whole limit; those of the lowest may not use this fraction of it.
const RESERVED_FRACTION: f64 = 0.25;
/// Number of recent requests whose expected values are retained: enough to distinguish deciles, few enough to follow
/// changes.
const RECENT_VALUES: usize = 128;
/// A connection is limited to its part only while more than this fraction of the concurrency limit is used.
const BUSY_FRACTION: f64 = 0.5;
/// Multiple of its equal part that a connection may have in flight, since clients are not equally busy.
const CONNECTION_LEEWAY: f64 = 2.0;
/// Number of requests that the limit on a connection always allows in flight.
const MIN_PER_CONNECTION: u32 = 4;
/// Number of unread answers from which on no further requests of a connection are admitted: a client that does not read
/// its answers has no use for more.
const MAX_UNREAD_ANSWERS: u32 = 32;
/// If at least this many of the last 32 requests of a connection were abandoned, its requests are rejected until none was
/// abandoned for one [`INTERVAL`].
const RESET_FLOOD_THRESHOLD: u32 = 24;
/// Length of the intervals in which rejections and answers are counted, in microseconds.
const INTERVAL: Micros = 1_000_000;
/// Shortest Retry-After, in microseconds: nothing would have changed by an earlier retry.
const MIN_RETRY_AFTER: Micros = 100_000;
/// Longest Retry-After, in microseconds: the load may well have passed by then.
const MAX_RETRY_AFTER: Micros = 10_000_000;

/// Why a request was rejected before it ran; rejections are counted by reason.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum RejectionReason {
    /// The router is shutting down.
    Stopping,
    /// There is not enough memory for its body.
    Memory,
    /// The limit on all invocations is reached.
    All,
    /// Its front is at its cap, or paced by its own successes.
    Front,
    /// Its account is at its cap, or paced by its own successes.
    Account,
    /// Its connection has too many requests in flight, does not read its answers, or abandons most of its requests.
    Connection,
    /// Little capacity is left, and it is reserved for requests of higher expected value.
    Worth,
}

/// What is known about a request before its body is read.
#[derive(Clone, Copy, Debug)]
pub struct AdmissionRequest {
    /// Index of its trigger type.
    pub trigger: u32,
    /// Index of its account.
    pub account: u32,
    /// How long its client has already waited, in microseconds.
    pub waited: Micros,
    /// Size of its body in bytes; the largest allowed size if the request does not state it.
    pub bytes: u64,
    /// Number of other requests of its connection in flight.
    pub connection_in_flight: u32,
    /// Number of answers that its client has not read from the connection.
    pub unread_answers: u32,
    /// How many of the last 32 requests of its connection were abandoned by the client.
    pub abandoned: u32,
    /// Time since the last of them was abandoned, in microseconds.
    pub last_abandoned_ago: Micros,
    /// Number of connections of its front that have requests in flight.
    pub active_connections: u32,
    /// Total size of the answers that clients have not read, on all fronts, in bytes.
    pub unread_bytes: u64,
}

impl AdmissionRequest {
    /// Whether the client opens streams and resets them in quick succession. Each of them costs a dispatch that may
    /// continue to run after the reset.
    fn is_reset_flood(&self) -> bool {
        self.abandoned >= RESET_FLOOD_THRESHOLD && self.last_abandoned_ago < INTERVAL
    }

    /// Whether the router is busy and its connection already has its maximum number of requests in flight.
    fn exceeds_connection_part(&self, occupancy: &Occupancy) -> bool {
        let equal_part = occupancy.front.cap / f64::from(self.active_connections.max(1));
        let max_in_flight = (equal_part * CONNECTION_LEEWAY).max(f64::from(MIN_PER_CONNECTION));
        f64::from(occupancy.in_flight) > BUSY_FRACTION * occupancy.limit
            && f64::from(self.connection_in_flight) >= max_in_flight
    }
}

/// How much of its share a front or account uses.
#[derive(Clone, Copy, Debug)]
pub struct PartyOccupancy {
    /// Number of its invocations in flight.
    pub in_flight: u32,
    /// Maximum number of its invocations in flight.
    pub cap: f64,
    /// Whether it is paced by its own successes and has used up its credit.
    pub lacks_credit: bool,
}

impl PartyOccupancy {
    /// Whether no further invocation may be admitted.
    fn is_exhausted(&self) -> bool {
        f64::from(self.in_flight) >= self.cap || self.lacks_credit
    }
}

/// How much of its limits the router uses.
#[derive(Clone, Copy, Debug)]
pub struct Occupancy {
    /// The limit on invocations in flight.
    pub limit: f64,
    /// Number of invocations in flight.
    pub in_flight: u32,
    /// The front of the request.
    pub front: PartyOccupancy,
    /// The account of the request, on that front.
    pub account: PartyOccupancy,
    /// Free memory for bodies in bytes, less the bodies of admitted requests that have not arrived yet.
    pub free_bytes: u64,
    /// Average latency of an answer, in microseconds.
    pub typical_latency: Micros,
    /// Whether the router is shutting down.
    pub stopping: bool,
}

/// Whether a request is admitted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AdmissionDecision {
    /// The request is admitted.
    Admitted,
    /// The request is rejected.
    Rejected {
        /// Why the request is rejected.
        reason: RejectionReason,
        /// Time after which the client should retry, in microseconds.
        retry_after: Micros,
    },
}

/// The counts of the current interval and of the one before it.
#[derive(Clone, Copy, Debug, Default)]
struct IntervalCount {
    current: u32,
    previous: u32,
}

impl IntervalCount {
    fn sum(self) -> u32 {
        self.current + self.previous
    }

    /// Starts a new interval. `follows`: whether it directly follows the interval counted last.
    fn roll(&mut self, follows: bool) {
        *self = IntervalCount {
            current: 0,
            previous: if follows { self.current } else { 0 },
        };
    }
}

/// Decides which requests are admitted.
#[derive(Debug, Default)]
pub struct AdmissionControl {
    /// Expected values of the most recent requests, as a ring buffer.
    recent_values: Vec<f64>,
    /// Position in the ring buffer that is overwritten next.
    next: usize,
    /// Number of the current interval.
    interval: i64,
    rejected: IntervalCount,
    answered: IntervalCount,
    /// Number of random values drawn so far.
    draws: u64,
}

/// The value of an answer at the time at which it can be expected. `waited`: how long the client has already waited;
/// `typical_latency`: the average latency of an answer; both in microseconds.
pub fn expected_value(trigger: &TriggerType, waited: Micros, typical_latency: Micros) -> f64 {
    let late = waited + typical_latency > trigger.latency_objective;
    trigger.billed_value
        * if late {
            trigger.late_value_fraction
        } else {
            1.0
        }
}

impl AdmissionControl {
    /// Decides whether the request is admitted. `expected_value`: as returned by [`expected_value`].
    pub fn decide(
        &mut self,
        now: Micros,
        request: &AdmissionRequest,
        expected_value: f64,
        occupancy: &Occupancy,
    ) -> AdmissionDecision {
        self.advance(now);
        let higher_fraction = self.rank(expected_value);
        match rejection_reason(request, higher_fraction, occupancy) {
            None => AdmissionDecision::Admitted,
            Some(reason) => {
                self.rejected.current += 1;
                AdmissionDecision::Rejected {
                    reason,
                    retry_after: self.retry_after(occupancy.typical_latency),
                }
            }
        }
    }

    /// Records that an invocation was answered.
    pub fn answered(&mut self, now: Micros) {
        self.advance(now);
        self.answered.current += 1;
    }

    /// Returns the fraction of the recent requests with a higher expected value, and records the value.
    fn rank(&mut self, expected_value: f64) -> f64 {
        let recent = &mut self.recent_values;
        let higher = recent
            .iter()
            .filter(|other| **other > expected_value)
            .count();
        let higher_fraction = higher as f64 / recent.len().max(1) as f64;
        if recent.len() < RECENT_VALUES {
            recent.push(expected_value);
        } else {
            recent[self.next] = expected_value;
        }
        self.next = (self.next + 1) % RECENT_VALUES;
        higher_fraction
    }

    /// The Retry-After of a rejected request, in microseconds.
    fn retry_after(&mut self, typical_latency: Micros) -> Micros {
        let rejected = f64::from(self.rejected.sum());
        let answered = f64::from(self.answered.sum()).max(1.0);
        let wait = typical_latency as f64 + rejected / answered * INTERVAL as f64;
        // Without randomisation, all rejected clients would retry at the same time. The wait is multiplied by a random
        // factor from 0.5 to 1.5.
        self.draws += 1;
        let drawn = BuildHasherDefault::<DefaultHasher>::default().hash_one(self.draws) % 1024;
        let spread = 0.5 + drawn as f64 / 1024.0;
        (wait * spread).clamp(MIN_RETRY_AFTER as f64, MAX_RETRY_AFTER as f64) as Micros
    }

    /// Starts a new interval if the current one has ended.
    fn advance(&mut self, now: Micros) {
        let interval = now.div_euclid(INTERVAL);
        if interval == self.interval {
            return;
        }
        let follows = interval == self.interval + 1;
        self.rejected.roll(follows);
        self.answered.roll(follows);
        self.interval = interval;
    }
}

/// The first limit that the request exceeds. `higher_fraction`: fraction of the recent requests with a higher expected
/// value.
fn rejection_reason(
    request: &AdmissionRequest,
    higher_fraction: f64,
    occupancy: &Occupancy,
) -> Option<RejectionReason> {
    let in_flight = f64::from(occupancy.in_flight);
    if occupancy.stopping {
        Some(RejectionReason::Stopping)
    } else if request.bytes + request.unread_bytes > occupancy.free_bytes {
        Some(RejectionReason::Memory)
    } else if in_flight >= occupancy.limit {
        Some(RejectionReason::All)
    } else if occupancy.front.is_exhausted() {
        Some(RejectionReason::Front)
    } else if occupancy.account.is_exhausted() {
        Some(RejectionReason::Account)
    } else if request.unread_answers >= MAX_UNREAD_ANSWERS
        || request.exceeds_connection_part(occupancy)
        || request.is_reset_flood()
    {
        Some(RejectionReason::Connection)
    } else if in_flight >= occupancy.limit * (1.0 - RESERVED_FRACTION * higher_fraction) {
        Some(RejectionReason::Worth)
    } else {
        None
    }
}
