//! Whether a request is admitted before its body is read. A broker holds what is beyond the limit; a client that calls
//! directly can be told at once, at no harm, when to retry. Call [`AdmissionControl::decide`] for each request and
//! [`AdmissionControl::answered`] for each answer.
//!
//! Mechanisms:
//! 1. Hard bounds first: stopping, memory, the limit on all, the caps of its front and its account.
//! 2. A connection may have a few times its equal part once little capacity is left: one client's many streams do not
//!    shut out the others. A connection that mostly abandons its requests, or reads no answers, is admitted next to
//!    nothing.
//! 3. The last part of the limit is reserved for what is worth more: the lower its expected value among recent ones, the
//!    sooner it is rejected. One that will be late is worth what a late answer earns.
//! 4. Retry-After: as long as it takes to serve those that were rejected recently, spread out.

use std::hash::{BuildHasher, BuildHasherDefault, DefaultHasher};

use cedarpulley::interface::{Micros, TriggerType};

/// Requests of the highest expected value may use the whole limit, those of the lowest all but this part of it.
const RESERVED_FRACTION: f64 = 0.25;
/// Expected values of so many requests are retained: enough to tell deciles apart, few enough to follow a change.
const RECENT_VALUES: usize = 128;
/// A connection is held to its part only where more than this part of the limit is used.
const BUSY_FRACTION: f64 = 0.5;
/// Multiple of its equal part that a connection may have: clients are not equally busy.
const CONNECTION_LEEWAY: f64 = 2.0;
/// A connection may always have so many requests in flight.
const MIN_PER_CONNECTION: u32 = 4;
/// Answers that a connection has not read, from which on no more of its requests are admitted: a client that does not
/// read its answers has no use for more.
const MAX_UNREAD: u32 = 32;
/// A connection that abandoned so many of its last 32 requests is admitted again once [`INTERVAL`] has passed without.
const MAX_ABANDONED: u32 = 24;
/// Rejections and answers are counted by intervals of this length.
const INTERVAL: Micros = 1_000_000;
/// Shortest Retry-After: a sooner retry would find the same.
const MIN_RETRY_AFTER: Micros = 100_000;
/// Longest Retry-After: by then all may be well.
const MAX_RETRY_AFTER: Micros = 10_000_000;

/// Why a request was rejected: it never ran, and is counted by this.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum RejectionReason {
    /// The router is shutting down.
    Stopping,
    /// There is no memory for its body.
    Memory,
    /// The limit on all invocations is reached.
    All,
    /// Its front is at its cap, or paced by its own successes.
    Front,
    /// Its account is at its cap, or paced by its own successes.
    Account,
    /// Its connection has too many requests in flight, or misbehaves.
    Connection,
    /// Little capacity is left, and it is reserved for what is worth more.
    Worth,
}

/// What is known of a request before its body is read.
#[derive(Clone, Copy, Debug)]
pub struct AdmissionRequest {
    /// Index of its trigger type.
    pub trigger: u32,
    /// Index of its account.
    pub account: u32,
    /// How long its client has waited already.
    pub waited: Micros,
    /// Size of its body; the largest size allowed where it is not given.
    pub bytes: u64,
    /// Requests of its connection that are in flight, without this one.
    pub connection_in_flight: u32,
    /// Answers that its connection has not read.
    pub unread_answers: u32,
    /// How many of the last 32 requests of its connection were abandoned by the client.
    pub abandoned: u32,
    /// Time since the last of them was abandoned.
    pub last_abandoned_ago: Micros,
    /// Connections of its front that have requests in flight.
    pub active_connections: u32,
    /// Size of the answers that clients have not read, on all fronts, in bytes.
    pub unread_bytes: u64,
}

impl AdmissionRequest {
    /// Symptom: a client opens streams and resets them as fast as it can; each costs a dispatch that may run on.
    fn is_reset_flood(&self) -> bool {
        self.abandoned >= MAX_ABANDONED && self.last_abandoned_ago < INTERVAL
    }

    /// Its connection has more than its part of a busy router.
    fn exceeds_connection_part(&self, occupancy: &Occupancy) -> bool {
        let equal_part = occupancy.front.cap / f64::from(self.active_connections.max(1));
        let most = (equal_part * CONNECTION_LEEWAY).max(f64::from(MIN_PER_CONNECTION));
        f64::from(occupancy.in_flight) > BUSY_FRACTION * occupancy.limit
            && f64::from(self.connection_in_flight) >= most
    }
}

/// What one front or account has in flight.
#[derive(Clone, Copy, Debug)]
pub struct PartyOccupancy {
    /// Its invocations in flight.
    pub in_flight: u32,
    /// How many it may have in flight.
    pub cap: f64,
    /// It is paced by its own successes and has used up its credit.
    pub lacks_credit: bool,
}

impl PartyOccupancy {
    fn is_exhausted(&self) -> bool {
        f64::from(self.in_flight) >= self.cap || self.lacks_credit
    }
}

/// How full the router is.
#[derive(Clone, Copy, Debug)]
pub struct Occupancy {
    /// The limit on invocations in flight.
    pub limit: f64,
    /// Invocations in flight.
    pub in_flight: u32,
    /// The front of the request.
    pub front: PartyOccupancy,
    /// The account of the request, on that front.
    pub account: PartyOccupancy,
    /// Free memory for bodies, less those that were admitted and have not arrived yet.
    pub free_bytes: u64,
    /// Usual time of an answer.
    pub typical_latency: Micros,
    /// The router is shutting down.
    pub stopping: bool,
}

/// Whether a request is admitted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AdmissionDecision {
    /// It is admitted.
    Admitted,
    /// It is rejected.
    Rejected {
        /// Why.
        reason: RejectionReason,
        /// When the client should retry.
        retry_after: Micros,
    },
}

/// Counts of one interval and the one before it.
#[derive(Clone, Copy, Debug, Default)]
struct IntervalCount {
    current: u32,
    previous: u32,
}

impl IntervalCount {
    fn sum(self) -> u32 {
        self.current + self.previous
    }

    /// Starts a new interval; `follows`: it directly follows the last one.
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
    /// Expected values of the last requests, a ring.
    recent_values: Vec<f64>,
    /// Position in the ring that is overwritten next.
    next: usize,
    /// Number of the present interval.
    interval: i64,
    rejected: IntervalCount,
    answered: IntervalCount,
    draws: u64,
}

/// What an answer would earn by the time it can be given.
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
    /// Applies all checks in their order; `expected_value` as [`expected_value`] returns it.
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

    /// An invocation was answered.
    pub fn answered(&mut self, now: Micros) {
        self.advance(now);
        self.answered.current += 1;
    }

    /// Fraction of the recent requests that are worth more than this one, which is then recorded.
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

    fn retry_after(&mut self, typical_latency: Micros) -> Micros {
        let rejected = f64::from(self.rejected.sum());
        let answered = f64::from(self.answered.sum()).max(1.0);
        let wait = typical_latency as f64 + rejected / answered * INTERVAL as f64;
        // Symptom: all clients that were rejected come back together. From half to one and a half of the time.
        self.draws += 1;
        let drawn = BuildHasherDefault::<DefaultHasher>::default().hash_one(self.draws) % 1024;
        let spread = 0.5 + drawn as f64 / 1024.0;
        (wait * spread).clamp(MIN_RETRY_AFTER as f64, MAX_RETRY_AFTER as f64) as Micros
    }

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

/// The first bound that the request exceeds. `higher_fraction`: fraction of the recent requests worth more.
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
    } else if request.unread_answers >= MAX_UNREAD
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
