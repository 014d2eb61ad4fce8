//! Limits how many invocations this router may have in flight, in total and per front. The router must answer every
//! invocation that it accepts. Messages above the limit therefore stay at their broker, and requests above it are
//! rejected before their body is read (by [`admission_control`], according to [`ConcurrencyLimiter::occupancy`]).
//!
//! The caller reports all events to [`ConcurrencyLimiter::arrived`], [`ConcurrencyLimiter::admitted`],
//! [`ConcurrencyLimiter::departed`], [`ConcurrencyLimiter::reserve_body`], [`ConcurrencyLimiter::ended`] and
//! [`ConcurrencyLimiter::front_changed`]. [`ConcurrencyLimiter::changed_grants`] reports the grant of each front: how many
//! invocations it may have in flight.
//!
//! Mechanisms:
//! 1. The limit grows while it is used and answers are on time, and shrinks when too many answers are late.
//! 2. No more invocations are granted than there is memory for, by the average size of a body.
//! 3. Fronts share the limit by weight. Capacity that one front does not use is available to the others, and each front
//!    is granted at least one invocation. A front or an account whose flood crowds out others is capped
//!    ([`fair_share`](crate::fair_share)).
//! 4. A front that cannot send its answers is granted one invocation. During a shutdown nothing is granted.
//!
//! [`admission_control`]: crate::admission_control

use cedarpulley::interface::Micros;

use crate::FrontIndex;
use crate::admission_control::{Occupancy, PartyOccupancy};
use crate::fair_share::{CrowdingSignal, FairShare};

/// The initial limit on invocations in flight. Accepted invocations wait in the order that the balancer chooses, by value
/// and remaining time, and show the balancer the demand for loads. Messages that stay at the broker wait in first-in,
/// first-out order until all of them are late. The memory for a few hundred bodies is small.
const INITIAL_LIMIT: f64 = 256.0;
/// The lowest limit, at which the balancer still sees the demand.
const MIN_LIMIT: f64 = 32.0;
/// The limit shrinks while more than this fraction of the answers is late, at most once in the average latency of an
/// answer.
const LATE_FRACTION: f64 = 0.2;
/// Each reduction multiplies the limit by this factor.
const LIMIT_REDUCTION_FACTOR: f64 = 0.8;
/// The fraction of late answers, the latency and the body size are averaged over about this many invocations.
const AVERAGED_INVOCATIONS: f64 = 16.0;
/// The limit may only grow while at least this fraction of it is in flight. With less in flight, timely answers do not
/// show that a higher limit would work.
const USED_FRACTION: f64 = 0.75;
/// A front that needs less than its part of the limit keeps this fraction more than it has in flight, and leaves the rest
/// to others.
const GRANT_MARGIN: f64 = 0.25;
/// Number of invocations added to that margin, so that a front with few in flight can grow.
const GRANT_GROWTH: f64 = 4.0;
/// A grant changes by at least this fraction, so that a front is not notified of every small change.
const GRANT_STEP: f64 = 0.125;
/// A late invocation was crowded out if it waited here for more than this fraction of its total time; otherwise it was
/// late because of its own execution time.
const CROWDED_FRACTION: f64 = 0.25;
/// An invocation that was on time but waited here for more than this fraction of its latency objective was nearly crowded
/// out: the invocations behind it may be late.
const NEARLY_CROWDED_FRACTION: f64 = 0.4;
/// The largest grant: AMQP expresses it in 16 bits.
const MAX_GRANT: f64 = 65_535.0;

/// The state of a front's connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FrontState {
    /// The front is connected: it receives messages and sends answers.
    Up,
    /// The front is connected but cannot send answers at present.
    Blocked,
    /// The front is not connected.
    Down,
}

/// What the end of an invocation indicates about the load.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LoadSignal {
    /// The invocation was answered within its latency objective.
    OnTime,
    /// The invocation was answered after its latency objective. The time is counted from its arrival at this router, which
    /// is not responsible for earlier delays.
    Late,
    /// The balancer rejected the invocation, as no lane became free for it.
    Rejected,
    /// The invocation was rejected or failed for reasons that do not depend on the load.
    Neutral,
}

/// The data of an ended invocation that the limits depend on.
#[derive(Clone, Copy, Debug)]
pub struct EndedInvocation {
    /// Its front.
    pub front: FrontIndex,
    /// Its account.
    pub account: u32,
    /// Size of its body, in bytes.
    pub body_bytes: usize,
    /// Time since it was accepted, in microseconds.
    pub took: Micros,
    /// The part of that time for which it waited for a lane, in microseconds.
    pub queued: Micros,
    /// Its latency objective, in microseconds.
    pub latency_objective: Micros,
    /// What its end indicates about the load.
    pub signal: LoadSignal,
}

impl EndedInvocation {
    /// Whether the invocation was crowded out by others.
    fn crowding(&self) -> CrowdingSignal {
        let queued = self.queued as f64;
        match self.signal {
            LoadSignal::OnTime
                if queued > NEARLY_CROWDED_FRACTION * self.latency_objective as f64 =>
            {
                CrowdingSignal::NearlyCrowded
            }
            LoadSignal::OnTime => CrowdingSignal::OnTime,
            LoadSignal::Rejected => CrowdingSignal::Crowded,
            LoadSignal::Late if queued > CROWDED_FRACTION * self.took as f64 => {
                CrowdingSignal::Crowded
            }
            LoadSignal::Late | LoadSignal::Neutral => CrowdingSignal::Neutral,
        }
    }
}

/// Error: there is not enough free memory for a body.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BodyTooLarge;

/// The limits and the grant of one front.
#[derive(Debug)]
struct Front {
    state: FrontState,
    weight: f64,
    /// Shares of the accounts on this front; a flood on this front does not restrict the account on another front.
    accounts: FairShare,
    /// The last grant that the front was notified of.
    granted: u32,
}

/// The limit on invocations in flight, and its division among fronts and accounts.
#[derive(Debug)]
pub struct ConcurrencyLimiter {
    limit: f64,
    /// Until the limit is first reduced, it grows by one with each timely answer.
    slow_start: bool,
    /// Fraction of late answers, as a moving average.
    late_fraction: f64,
    /// Latency of an answer in microseconds, as a moving average.
    typical_latency: f64,
    reduced_at: Micros,
    /// Memory for all bodies together, in bytes.
    memory_bytes: u64,
    /// Total size of all bodies held, in bytes.
    body_bytes: u64,
    /// Size of a body in bytes, as a moving average.
    average_body_bytes: f64,
    fronts: Vec<Front>,
    front_shares: FairShare,
    stopping: bool,
    /// Whether anything changed since the grants were last computed.
    grants_stale: bool,
}

impl ConcurrencyLimiter {
    /// Creates a limiter whose fronts are all down. `front_weights`: one for each front, above 0. `account_weights`: one
    /// for each account; empty if there is only one. `memory_bytes`: the memory for all bodies together, in bytes.
    pub fn new(front_weights: &[f64], account_weights: &[f64], memory_bytes: u64) -> Self {
        let front = |&weight: &f64| Front {
            state: FrontState::Down,
            weight,
            accounts: FairShare::new(account_weights),
            granted: 0,
        };
        ConcurrencyLimiter {
            limit: INITIAL_LIMIT,
            slow_start: true,
            late_fraction: 0.0,
            typical_latency: 0.0,
            reduced_at: 0,
            memory_bytes,
            body_bytes: 0,
            average_body_bytes: 0.0,
            fronts: front_weights.iter().map(front).collect(),
            front_shares: FairShare::new(front_weights),
            stopping: false,
            grants_stale: true,
        }
    }

    /// Records that a front's connection changed its state.
    pub fn front_changed(&mut self, front: FrontIndex, state: FrontState) {
        let front = &mut self.fronts[front as usize];
        front.state = state;
        self.grants_stale = true;
        if state == FrontState::Down {
            // A new channel starts without a grant.
            front.granted = 0;
        }
    }

    /// Starts the graceful shutdown: nothing new is granted from now on.
    pub fn stop(&mut self) {
        self.stopping = true;
        self.grants_stale = true;
    }

    /// Records that an invocation arrived from a client or a broker, before it is decided whether it is admitted.
    pub fn arrived(&mut self, now: Micros, front: FrontIndex, account: u32) {
        self.front_shares.arrived(now, front as usize);
        self.fronts[front as usize]
            .accounts
            .arrived(now, account as usize);
    }

    /// Records that an invocation was admitted; it counts as in flight from now on.
    pub fn admitted(&mut self, now: Micros, front: FrontIndex, account: u32) {
        self.grants_stale = true;
        self.front_shares.admitted(now, front as usize);
        self.fronts[front as usize]
            .accounts
            .admitted(now, account as usize);
    }

    /// Records that an invocation is no longer in flight.
    pub fn departed(&mut self, front: FrontIndex, account: u32) {
        self.grants_stale = true;
        self.front_shares.departed(front as usize);
        self.fronts[front as usize]
            .accounts
            .departed(account as usize);
    }

    /// Reserves memory for a body.
    ///
    /// # Errors
    ///
    /// Returns [`BodyTooLarge`] if there is not enough free memory; the invocation has to be rejected.
    pub fn reserve_body(&mut self, bytes: usize) -> Result<(), BodyTooLarge> {
        self.grants_stale = true;
        self.average_body_bytes += (bytes as f64 - self.average_body_bytes) / AVERAGED_INVOCATIONS;
        if self.body_bytes + bytes as u64 > self.memory_bytes {
            return Err(BodyTooLarge);
        }
        self.body_bytes += bytes as u64;
        Ok(())
    }

    /// Returns whether the account is at its cap, or the account or its front is paced and has no credit. A message that a
    /// broker delivers in this state is rejected at once: a broker delivers in first-in, first-out order, so the messages
    /// of other accounts would wait behind it.
    pub fn over_share(&self, now: Micros, front: FrontIndex, account: u32) -> bool {
        let (front, account) = (front as usize, account as usize);
        let accounts = &self.fronts[front].accounts;
        f64::from(accounts.in_flight(account)) >= accounts.cap(account, self.limit)
            || accounts.lacks_credit(now, account)
            || self.front_shares.lacks_credit(now, front)
    }

    /// Returns how much of its limits the router uses, for admission control. `pending_bytes`: total size of the bodies of
    /// admitted requests that have not arrived yet.
    pub fn occupancy(
        &self,
        now: Micros,
        front: FrontIndex,
        account: u32,
        pending_bytes: u64,
    ) -> Occupancy {
        let party_occupancy = |shares: &FairShare, party: usize| PartyOccupancy {
            in_flight: shares.in_flight(party),
            cap: shares.cap(party, self.limit),
            lacks_credit: shares.lacks_credit(now, party),
        };
        Occupancy {
            limit: self.limit,
            in_flight: self.in_flight(),
            front: party_occupancy(&self.front_shares, front as usize),
            account: party_occupancy(&self.fronts[front as usize].accounts, account as usize),
            free_bytes: self
                .memory_bytes
                .saturating_sub(self.body_bytes + pending_bytes),
            typical_latency: self.typical_latency as Micros,
            stopping: self.stopping,
        }
    }

    /// Records that an invocation ended and frees the memory of its body. The invocation counts as in flight until
    /// [`ConcurrencyLimiter::departed`] is called.
    pub fn ended(&mut self, now: Micros, ended: EndedInvocation) {
        self.grants_stale = true;
        let limit_used = f64::from(self.in_flight()) >= USED_FRACTION * self.limit;
        self.body_bytes = self.body_bytes.saturating_sub(ended.body_bytes as u64);
        let (front, account) = (ended.front as usize, ended.account as usize);
        let crowding = ended.crowding();
        let typical_latency = self.typical_latency as Micros;
        self.front_shares
            .ended(now, front, self.limit, typical_latency, crowding);
        self.fronts[front]
            .accounts
            .ended(now, account, self.limit, typical_latency, crowding);
        // The balancer rejects invocations in bursts, which do not indicate how many may be accepted.
        if matches!(ended.signal, LoadSignal::Rejected | LoadSignal::Neutral) {
            return;
        }
        let late = ended.signal == LoadSignal::Late;
        self.typical_latency += (ended.took as f64 - self.typical_latency) / AVERAGED_INVOCATIONS;
        self.late_fraction +=
            (f64::from(u8::from(late)) - self.late_fraction) / AVERAGED_INVOCATIONS;
        self.adjust_limit(now, limit_used && !late);
    }

    /// Shrinks the limit if too many answers are late; otherwise raises it if `may_grow`.
    fn adjust_limit(&mut self, now: Micros, may_grow: bool) {
        // Answers are late because too many invocations wait here. The limit is reduced at most once in the average latency
        // of an answer, so that the invocations accepted under the old limit do not count against the new one.
        if self.late_fraction > LATE_FRACTION {
            if now - self.reduced_at > self.typical_latency as Micros {
                self.limit = (self.limit * LIMIT_REDUCTION_FACTOR).max(MIN_LIMIT);
                self.reduced_at = now;
                self.slow_start = false;
            }
        } else if may_grow {
            let growth = if self.slow_start {
                1.0
            } else {
                1.0 / self.limit
            };
            self.limit = (self.limit + growth).min(MAX_GRANT);
        }
    }

    /// The limit on invocations in flight.
    pub fn limit(&self) -> f64 {
        self.limit
    }

    /// Number of invocations in flight.
    pub fn in_flight(&self) -> u32 {
        self.front_shares.total_in_flight()
    }

    /// Total size of all bodies held, in bytes.
    pub fn body_bytes(&self) -> u64 {
        self.body_bytes
    }

    /// Calls `notify` for each front whose grant changed, with the number of invocations that the front may have in
    /// flight. 0: the front may not receive anything new.
    pub fn changed_grants(&mut self, mut notify: impl FnMut(FrontIndex, u32)) {
        if !std::mem::take(&mut self.grants_stale) {
            return;
        }
        let shares = self.divide_limit();
        for (index, (front, share)) in self.fronts.iter_mut().zip(shares).enumerate() {
            let grant = match front.state {
                FrontState::Down => continue,
                _ if self.stopping => 0,
                FrontState::Blocked => 1,
                FrontState::Up => share,
            };
            let previous = front.granted;
            let step = (f64::from(previous) * GRANT_STEP).max(1.0);
            let changed = f64::from(grant.abs_diff(previous)) >= step;
            if changed || (grant == 0) != (previous == 0) {
                front.granted = grant;
                notify(index as FrontIndex, grant);
            }
        }
    }

    /// The part of the limit for each front, by front index.
    fn divide_limit(&self) -> Vec<u32> {
        // A front that needs less than its part leaves the rest to the others. The fronts are therefore served in the order
        // of their demand relative to their weight, lowest first.
        let mut order: Vec<usize> = (0..self.fronts.len())
            .filter(|&front| self.fronts[front].state == FrontState::Up && !self.stopping)
            .collect();
        let relative_demand = |front: usize| self.demand(front) / self.fronts[front].weight;
        order.sort_by(|&a, &b| relative_demand(a).total_cmp(&relative_demand(b)));
        let mut left = self.limit.min(self.memory_capacity());
        let mut weights: f64 = order.iter().map(|&front| self.fronts[front].weight).sum();
        let mut shares = vec![0u32; self.fronts.len()];
        for (position, &front) in order.iter().enumerate() {
            let part = left * self.fronts[front].weight / weights;
            let is_last = position + 1 == order.len();
            let share = if is_last {
                part
            } else {
                part.min(self.demand(front))
            };
            let share = share.min(self.front_shares.cap(front, self.limit));
            left -= share;
            weights -= self.fronts[front].weight;
            shares[front] = share.clamp(1.0, MAX_GRANT) as u32;
        }
        shares
    }

    /// How many invocations fit into memory, by the average size of a body.
    fn memory_capacity(&self) -> f64 {
        if self.average_body_bytes < 1.0 {
            return MAX_GRANT;
        }
        let free_bytes = self.memory_bytes - self.body_bytes.min(self.memory_bytes);
        f64::from(self.in_flight()) + free_bytes as f64 / self.average_body_bytes
    }

    /// How many invocations the front is expected to need in flight, with a margin for growth.
    fn demand(&self, front: usize) -> f64 {
        let in_flight = f64::from(self.front_shares.in_flight(front));
        let demand = in_flight * (1.0 + GRANT_MARGIN) + GRANT_GROWTH;
        demand.min(self.front_shares.cap(front, self.limit))
    }
}
