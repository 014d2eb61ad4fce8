//! How many invocations this router may have taken, and from which front. Every one taken is a duty, so what is
//! beyond stays where it is (at the broker), or is turned away at the door (`entry.rs`, which asks
//! [`Admission::fill`]). Called with [`Admission::came`], [`Admission::entered`], [`Admission::left`],
//! [`Admission::kept`], [`Admission::ended`], [`Admission::front`] and [`Admission::grants`]; the latter says what each
//! front may now have out.
//!
//! Mechanisms:
//! 1. The limit grows while it is used and answers come in time, and shrinks when too many come late.
//! 2. Memory: never more than the bodies that still fit, by their usual size.
//! 3. Fronts share the limit by weight; what one does not use, the others may; each keeps at least one. A front or an
//!    account whose flood makes the others' few wait is capped (`shares.rs`).
//! 4. A front that cannot send its answers out, or is stopping, takes next to nothing or nothing.

use cedarpulley::interface::Micros;

use crate::FrontIndex;
use crate::entry::Fill;
use crate::shares::{Felt, Shares};

/// Where the limit starts: what is taken waits in the module's order, dearest and timeliest first, and shows it the
/// demand to load for; what stays at the broker waits first come, first served, until all of it is late. A few
/// hundred bodies cost little.
const START: f64 = 256.0;
/// Never below: so that the module still sees what is asked for.
const LEAST: f64 = 32.0;
/// Over this part of late answers the limit shrinks, to this part of itself, once in the usual time of an answer.
const LATE_PART: f64 = 0.2;
const SHRINK: f64 = 0.8;
/// The late part and the usual time are averages over about so many answers.
const MEMORY: f64 = 16.0;
/// The limit counts as used when so much of it is out; otherwise timely answers say nothing about more.
const USED: f64 = 0.75;
/// A front that uses less than this part of its grant leaves the rest to others, but for a little to grow into.
const SPARE: f64 = 0.25;
const GROW: f64 = 4.0;
/// A grant moves only by at least this part, so that a front is not told of every small change.
const STEP: f64 = 0.125;
/// A late answer was crowded out if it waited here for more than this part of its time: less is its own work.
const WAITED: f64 = 0.25;
/// One that waited here for more than this part of its latency objective was nearly crowded out: whoever waits behind
/// it may be late.
const NEARLY: f64 = 0.4;
/// What a protocol can say at most (AMQP counts in 16 bits).
const MOST: f64 = 65_535.0;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FrontState {
    Up,
    /// It stands but cannot send answers out now.
    Blocked,
    Down,
}

/// How an invocation ended, as far as the limit is concerned.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Pace {
    InTime,
    /// After its latency objective, counted from when it was taken: time lost before is not this router's doing.
    Late,
    /// Given up here, as no lane came free for it.
    GivenUp,
    /// Turned away or errored for reasons that say nothing about load.
    Neither,
}

#[derive(Debug)]
pub struct Admission {
    limit: f64,
    /// Until the first late answers, the limit grows by one with each timely answer.
    steep: bool,
    late: f64,
    usual: f64,
    shrunk_at: Micros,
    memory_bytes: u64,
    bytes: u64,
    body: f64,
    state: Vec<FrontState>,
    weight: Vec<f64>,
    fronts: Shares,
    /// Among each other on each front: what an account floods on one front is not held against it on another.
    accounts: Vec<Shares>,
    granted: Vec<u32>,
    stopping: bool,
    /// Something came in since the grants were last worked out.
    moved: bool,
}

impl Admission {
    /// `weights`: one for each front, above 0. `shares`: one for each account; none if there is but one.
    /// `memory_bytes`: for all bodies held at once.
    pub fn new(weights: Vec<f64>, shares: &[f64], memory_bytes: u64) -> Self {
        let n = weights.len();
        Admission {
            limit: START,
            steep: true,
            late: 0.0,
            usual: 0.0,
            shrunk_at: 0,
            memory_bytes,
            bytes: 0,
            body: 0.0,
            state: vec![FrontState::Down; n],
            fronts: Shares::new(&weights),
            accounts: (0..n).map(|_| Shares::new(shares)).collect(),
            weight: weights,
            granted: vec![0; n],
            stopping: false,
            moved: true,
        }
    }

    pub fn front(&mut self, front: FrontIndex, state: FrontState) {
        self.state[front as usize] = state;
        self.moved = true;
        if state == FrontState::Down {
            // A new channel begins with no grant.
            self.granted[front as usize] = 0;
        }
    }

    pub fn stop(&mut self) {
        self.stopping = true;
        self.moved = true;
    }

    /// One came, at the door or from a broker; whether it may enter is asked next.
    pub fn came(&mut self, now: Micros, front: FrontIndex, account: u32) {
        self.fronts.came(now, front as usize);
        self.accounts[front as usize].came(now, account as usize);
    }

    /// One more is out: let in at the door, or taken from a broker.
    pub fn entered(&mut self, now: Micros, front: FrontIndex, account: u32) {
        self.moved = true;
        self.fronts.entered(now, front as usize);
        self.accounts[front as usize].entered(now, account as usize);
    }

    pub fn left(&mut self, front: FrontIndex, account: u32) {
        self.moved = true;
        self.fronts.left(front as usize);
        self.accounts[front as usize].left(account as usize);
    }

    /// The body is to be kept; false if it has no room: it is answered at once and kept nowhere.
    pub fn kept(&mut self, bytes: usize) -> bool {
        self.moved = true;
        self.body += (bytes as f64 - self.body) / MEMORY;
        if self.bytes + bytes as u64 > self.memory_bytes {
            return false;
        }
        self.bytes += bytes as u64;
        true
    }

    /// An account that floods while others suffer: what it sends beyond its cap is given back at once, as a broker
    /// hands out first come, first served, and the others' messages stand behind it. So is what an account or a whole
    /// front sends faster than it succeeds.
    pub fn beyond(&self, now: Micros, front: FrontIndex, account: u32) -> bool {
        let (front, account) = (front as usize, account as usize);
        let accounts = &self.accounts[front];
        f64::from(accounts.out(account)) >= accounts.cap(account, self.limit)
            || accounts.spent(now, account)
            || self.fronts.spent(now, front)
    }

    /// How full it is for the door; `coming`: bytes of bodies on their way in.
    pub fn fill(&self, now: Micros, front: FrontIndex, account: u32, coming: u64) -> Fill {
        let (f, a) = (front as usize, account as usize);
        Fill {
            limit: self.limit,
            out: self.out(),
            front: (self.fronts.out(f), self.fronts.cap(f, self.limit)),
            account: (self.accounts[f].out(a), self.accounts[f].cap(a, self.limit)),
            spent: (self.fronts.spent(now, f), self.accounts[f].spent(now, a)),
            free_bytes: self.memory_bytes.saturating_sub(self.bytes + coming),
            usual: self.usual as Micros,
            stopping: self.stopping,
        }
    }

    /// An invocation of `bytes` is over, `took` after it was taken, of which it waited `held` for a lane; `objective`:
    /// its latency objective.
    #[allow(clippy::too_many_arguments)] // What is known of one that ended.
    pub fn ended(
        &mut self,
        now: Micros,
        front: FrontIndex,
        account: u32,
        bytes: usize,
        took: Micros,
        held: Micros,
        objective: Micros,
        pace: Pace,
    ) {
        self.moved = true;
        let used = f64::from(self.out()) >= USED * self.limit;
        self.bytes = self.bytes.saturating_sub(bytes as u64);
        let felt = match pace {
            Pace::InTime if held as f64 > NEARLY * objective as f64 => Felt::Nearly,
            Pace::InTime => Felt::InTime,
            Pace::GivenUp => Felt::Crowded,
            Pace::Late if held as f64 > WAITED * took as f64 => Felt::Crowded,
            _ => Felt::Neither,
        };
        let usual = self.usual as Micros;
        self.fronts
            .ended(now, front as usize, self.limit, usual, felt);
        self.accounts[front as usize].ended(now, account as usize, self.limit, usual, felt);
        // What the module gives up in a burst says nothing about how much may be taken.
        if matches!(pace, Pace::GivenUp | Pace::Neither) {
            return;
        }
        self.usual += (took as f64 - self.usual) / MEMORY;
        self.late += (f64::from(u8::from(pace == Pace::Late)) - self.late) / MEMORY;
        // Symptom: answers late because too much waits here. Once in the usual time, so that what was taken
        // under the old limit is not counted against the new one.
        if self.late > LATE_PART {
            if now - self.shrunk_at > self.usual as Micros {
                self.limit = (self.limit * SHRINK).max(LEAST);
                self.shrunk_at = now;
                self.steep = false;
            }
        } else if used && pace == Pace::InTime {
            self.limit = (self.limit + if self.steep { 1.0 } else { 1.0 / self.limit }).min(MOST);
        }
    }

    pub fn limit(&self) -> f64 {
        self.limit
    }

    pub fn out(&self) -> u32 {
        self.fronts.all_out()
    }

    pub fn bytes(&self) -> u64 {
        self.bytes
    }

    /// What each front may have out from now on, for those whose grant moved. 0: nothing new at all.
    pub fn grants(&mut self, mut tell: impl FnMut(FrontIndex, u32)) {
        if !std::mem::take(&mut self.moved) {
            return;
        }
        let room = if self.body >= 1.0 {
            f64::from(self.out())
                + (self.memory_bytes - self.bytes.min(self.memory_bytes)) as f64 / self.body
        } else {
            MOST
        };
        let total = self.limit.min(room);
        let open = |f: usize| self.state[f] == FrontState::Up && !self.stopping;
        // Those that want less than their part leave the rest: smallest wish for its weight first.
        let wish = |f: usize| {
            let more = f64::from(self.fronts.out(f)) * (1.0 + SPARE) + GROW;
            more.min(self.fronts.cap(f, self.limit))
        };
        let mut order: Vec<usize> = (0..self.state.len()).filter(|&f| open(f)).collect();
        order.sort_by(|&a, &b| (wish(a) / self.weight[a]).total_cmp(&(wish(b) / self.weight[b])));
        let (mut left, mut weights) = (total, order.iter().map(|&f| self.weight[f]).sum::<f64>());
        let mut grants = vec![0u32; self.state.len()];
        for (at, &f) in order.iter().enumerate() {
            let part = left * self.weight[f] / weights;
            let last = at + 1 == order.len();
            let grant = if last { part } else { part.min(wish(f)) };
            let grant = grant.min(self.fronts.cap(f, self.limit));
            left -= grant;
            weights -= self.weight[f];
            grants[f] = grant.clamp(1.0, MOST) as u32;
        }
        for (f, grant) in grants.into_iter().enumerate() {
            let grant = match self.state[f] {
                FrontState::Down => continue,
                _ if self.stopping => 0,
                FrontState::Blocked => 1,
                FrontState::Up => grant,
            };
            let was = self.granted[f];
            let moved = f64::from(grant.abs_diff(was)) >= (f64::from(was) * STEP).max(1.0);
            if moved || (grant == 0) != (was == 0) {
                self.granted[f] = grant;
                tell(f as FrontIndex, grant);
            }
        }
    }
}
