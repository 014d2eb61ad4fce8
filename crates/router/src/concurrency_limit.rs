//! How many invocations this router may have in flight, and from which front. Each accepted one is an obligation, so
//! what is beyond the limit stays at its broker, or is rejected before its body is read ([`admission_control`], which
//! decides by [`ConcurrencyLimiter::occupancy`]).
//!
//! Call [`ConcurrencyLimiter::arrived`], [`ConcurrencyLimiter::admitted`], [`ConcurrencyLimiter::departed`],
//! [`ConcurrencyLimiter::reserve_body`], [`ConcurrencyLimiter::ended`] and [`ConcurrencyLimiter::front_changed`];
//! [`ConcurrencyLimiter::changed_grants`] says how many each front may now have in flight.
//!
//! Mechanisms:
//! 1. The limit grows while it is used and answers are on time, and shrinks when too many are late.
//! 2. Memory: never more than the bodies that still fit, by their usual size.
//! 3. Fronts share the limit by weight; what one does not use, the others may; each keeps at least one. A front or an
//!    account whose flood crowds out others is capped ([`fair_share`](crate::fair_share)).
//! 4. A front that cannot send its answers is granted next to nothing, one that is stopping nothing.
//!
//! [`admission_control`]: crate::admission_control

use cedarpulley::interface::Micros;

use crate::FrontIndex;
use crate::admission_control::{Occupancy, PartyOccupancy};
use crate::fair_share::{CrowdingSignal, FairShare};

/// The initial limit. What is accepted waits in the module's order, by value and time left, and shows the module the
/// demand for loads; what stays at the broker waits first come, first served, until all of it is late. A few hundred
/// bodies cost little.
const INITIAL_LIMIT: f64 = 256.0;
/// Least limit, so that the module still sees the demand.
const MIN_LIMIT: f64 = 32.0;
/// Above this fraction of late answers the limit shrinks, at most once in the usual time of an answer.
const LATE_FRACTION: f64 = 0.2;
/// The limit shrinks to this part of itself.
const SHRINK: f64 = 0.8;
/// The late fraction, the usual time and the usual body size are averages over about so many invocations.
const AVERAGED_OVER: f64 = 16.0;
/// The limit counts as used when this part of it is in flight; otherwise timely answers say nothing about more.
const USED_FRACTION: f64 = 0.75;
/// A front that needs less than its part of the limit keeps this margin above what it has in flight, and leaves the
/// rest to others.
const GRANT_MARGIN: f64 = 0.25;
/// Added to that margin, so that a front with little in flight can grow.
const GRANT_GROWTH: f64 = 4.0;
/// A grant changes by at least this part, so that a front is not notified of every small change.
const GRANT_STEP: f64 = 0.125;
/// A late answer was crowded out if it waited here for more than this part of its time: less is its own work.
const CROWDED_FRACTION: f64 = 0.25;
/// An answer that waited here for more than this part of its latency objective was nearly crowded out: whatever waits
/// behind it may be late.
const NEARLY_CROWDED_FRACTION: f64 = 0.4;
/// Largest grant that a protocol can express (AMQP counts in 16 bits).
const MAX_GRANT: f64 = 65_535.0;

/// The state of a front's connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FrontState {
    /// It receives messages and sends answers.
    Up,
    /// It is connected but cannot send answers now.
    Blocked,
    /// It is not connected.
    Down,
}

/// What an invocation that ended says about the limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LoadSignal {
    /// It was answered within its latency objective.
    OnTime,
    /// It was answered after its latency objective, counted from its arrival: time lost before is not this router's.
    Late,
    /// The module rejected it, as no lane became free for it.
    Rejected,
    /// Nothing: it was rejected or failed for reasons that are no sign of load.
    Neutral,
}

/// An invocation that ended, as far as the limit is concerned.
#[derive(Clone, Copy, Debug)]
pub struct EndedInvocation {
    /// Its front.
    pub front: FrontIndex,
    /// Its account.
    pub account: u32,
    /// Size of its body, in bytes.
    pub body_bytes: usize,
    /// Time since it was accepted.
    pub took: Micros,
    /// How long of that it waited for a lane.
    pub queued: Micros,
    /// Its latency objective.
    pub latency_objective: Micros,
    /// What its end says about load.
    pub signal: LoadSignal,
}

impl EndedInvocation {
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

/// There is no memory left for a body.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BodyTooLarge;

#[derive(Debug)]
struct Front {
    state: FrontState,
    weight: f64,
    /// Shares of the accounts on this front: what an account floods on one front is not held against it on another.
    accounts: FairShare,
    /// The grant that the front was last notified of.
    granted: u32,
}

/// The limit on invocations in flight, and its division among fronts and accounts.
#[derive(Debug)]
pub struct ConcurrencyLimiter {
    limit: f64,
    /// The limit grows by one with each timely answer, until the first late ones.
    slow_start: bool,
    /// Fraction of late answers, averaged.
    late_fraction: f64,
    /// Usual time of an answer, in microseconds, averaged.
    typical_latency: f64,
    reduced_at: Micros,
    memory_bytes: u64,
    /// Size of all bodies held, in bytes.
    body_bytes: u64,
    /// Size of a body in bytes, averaged.
    usual_body: f64,
    fronts: Vec<Front>,
    front_shares: FairShare,
    stopping: bool,
    /// Something changed since the grants were last worked out.
    grants_stale: bool,
}

impl ConcurrencyLimiter {
    /// `front_weights`: one for each front, above 0. `account_weights`: one for each account; empty if there is only
    /// one. `memory_bytes`: for all bodies together.
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
            usual_body: 0.0,
            fronts: front_weights.iter().map(front).collect(),
            front_shares: FairShare::new(front_weights),
            stopping: false,
            grants_stale: true,
        }
    }

    /// A front's connection changed its state.
    pub fn front_changed(&mut self, front: FrontIndex, state: FrontState) {
        let front = &mut self.fronts[front as usize];
        front.state = state;
        self.grants_stale = true;
        if state == FrontState::Down {
            // A new channel starts without a grant.
            front.granted = 0;
        }
    }

    /// Graceful shutdown: nothing new is to be accepted.
    pub fn stop(&mut self) {
        self.stopping = true;
        self.grants_stale = true;
    }

    /// An invocation arrived, from a client or a broker; whether it is admitted is decided next.
    pub fn arrived(&mut self, now: Micros, front: FrontIndex, account: u32) {
        self.front_shares.arrived(now, front as usize);
        self.fronts[front as usize]
            .accounts
            .arrived(now, account as usize);
    }

    /// An invocation was admitted and counts as in flight.
    pub fn admitted(&mut self, now: Micros, front: FrontIndex, account: u32) {
        self.grants_stale = true;
        self.front_shares.admitted(now, front as usize);
        self.fronts[front as usize]
            .accounts
            .admitted(now, account as usize);
    }

    /// An invocation is no longer in flight.
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
    /// If there is not enough left, the invocation has to be rejected.
    pub fn reserve_body(&mut self, bytes: usize) -> Result<(), BodyTooLarge> {
        self.grants_stale = true;
        self.usual_body += (bytes as f64 - self.usual_body) / AVERAGED_OVER;
        if self.body_bytes + bytes as u64 > self.memory_bytes {
            return Err(BodyTooLarge);
        }
        self.body_bytes += bytes as u64;
        Ok(())
    }

    /// Whether the account is at its cap, or it or its front is paced and has no credit. What a broker delivers beyond
    /// that is rejected at once: a broker delivers first come, first served, and the messages of others wait behind.
    pub fn over_share(&self, now: Micros, front: FrontIndex, account: u32) -> bool {
        let (front, account) = (front as usize, account as usize);
        let accounts = &self.fronts[front].accounts;
        f64::from(accounts.in_flight(account)) >= accounts.cap(account, self.limit)
            || accounts.lacks_credit(now, account)
            || self.front_shares.lacks_credit(now, front)
    }

    /// How full the router is, for admission control. `pending_bytes`: size of bodies that were admitted and have not
    /// arrived yet.
    pub fn occupancy(
        &self,
        now: Micros,
        front: FrontIndex,
        account: u32,
        pending_bytes: u64,
    ) -> Occupancy {
        let of = |shares: &FairShare, party: usize| PartyOccupancy {
            in_flight: shares.in_flight(party),
            cap: shares.cap(party, self.limit),
            lacks_credit: shares.lacks_credit(now, party),
        };
        Occupancy {
            limit: self.limit,
            in_flight: self.in_flight(),
            front: of(&self.front_shares, front as usize),
            account: of(&self.fronts[front as usize].accounts, account as usize),
            free_bytes: self
                .memory_bytes
                .saturating_sub(self.body_bytes + pending_bytes),
            typical_latency: self.typical_latency as Micros,
            stopping: self.stopping,
        }
    }

    /// An invocation ended. Its memory is freed; it stays in flight until [`ConcurrencyLimiter::departed`].
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
        // What the module rejects in a burst says nothing about how much may be accepted.
        if matches!(ended.signal, LoadSignal::Rejected | LoadSignal::Neutral) {
            return;
        }
        let late = ended.signal == LoadSignal::Late;
        self.typical_latency += (ended.took as f64 - self.typical_latency) / AVERAGED_OVER;
        self.late_fraction += (f64::from(u8::from(late)) - self.late_fraction) / AVERAGED_OVER;
        self.adjust_limit(now, limit_used && !late);
    }

    fn adjust_limit(&mut self, now: Micros, may_grow: bool) {
        // Symptom: answers are late because too much waits here. Reduced once in the usual time of an answer, so that
        // what was accepted under the old limit is not counted against the new one.
        if self.late_fraction > LATE_FRACTION {
            if now - self.reduced_at > self.typical_latency as Micros {
                self.limit = (self.limit * SHRINK).max(MIN_LIMIT);
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

    /// Invocations in flight.
    pub fn in_flight(&self) -> u32 {
        self.front_shares.total_in_flight()
    }

    /// Size of all bodies held, in bytes.
    pub fn body_bytes(&self) -> u64 {
        self.body_bytes
    }

    /// Calls `notify` with how many invocations a front may have in flight, for each front whose grant changed. 0:
    /// nothing new at all.
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
        // Fronts that want less than their part leave the rest: smallest wish for its weight first.
        let mut order: Vec<usize> = (0..self.fronts.len())
            .filter(|&front| self.fronts[front].state == FrontState::Up && !self.stopping)
            .collect();
        let relative_wish = |front: usize| self.wish(front) / self.fronts[front].weight;
        order.sort_by(|&a, &b| relative_wish(a).total_cmp(&relative_wish(b)));
        let mut left = self.limit.min(self.memory_capacity());
        let mut weights: f64 = order.iter().map(|&front| self.fronts[front].weight).sum();
        let mut shares = vec![0u32; self.fronts.len()];
        for (position, &front) in order.iter().enumerate() {
            let part = left * self.fronts[front].weight / weights;
            let is_last = position + 1 == order.len();
            let share = if is_last {
                part
            } else {
                part.min(self.wish(front))
            };
            let share = share.min(self.front_shares.cap(front, self.limit));
            left -= share;
            weights -= self.fronts[front].weight;
            shares[front] = share.clamp(1.0, MAX_GRANT) as u32;
        }
        shares
    }

    /// How many invocations fit into memory, by the usual size of a body.
    fn memory_capacity(&self) -> f64 {
        if self.usual_body < 1.0 {
            return MAX_GRANT;
        }
        let free_bytes = self.memory_bytes - self.body_bytes.min(self.memory_bytes);
        f64::from(self.in_flight()) + free_bytes as f64 / self.usual_body
    }

    /// How many invocations the front could have in flight before long.
    fn wish(&self, front: usize) -> f64 {
        let in_flight = f64::from(self.front_shares.in_flight(front));
        let wish = in_flight * (1.0 + GRANT_MARGIN) + GRANT_GROWTH;
        wish.min(self.front_shares.cap(front, self.limit))
    }
}
