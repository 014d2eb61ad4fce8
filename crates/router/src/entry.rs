//! Whether a request that knocks may come in, before its body is read. A broker keeps what is beyond; a client that
//! calls stands at the door and can be told at once, at no harm, when to come back. Called with [`Door::decide`];
//! [`Door::noted`] tells it of each answer.
//!
//! Mechanisms:
//! 1. Hard bounds first: stopping, memory, the limit on all, the caps of its front and its account.
//! 2. A connection may have a few times its equal part once little is left: one client's many streams do not shut
//!    out the others. One that mostly leaves before its answers, or reads none, gets next to nothing.
//! 3. The last part of the limit is kept for what is worth more: the cheaper a request among those of late, the
//!    sooner it is turned away. One that will come late is worth what a late answer earns.
//! 4. Advice on when to return: as long as it takes to serve those that were turned away of late, spread out.

use std::hash::{BuildHasher, BuildHasherDefault, DefaultHasher};

use cedarpulley::interface::{Micros, TriggerType};

/// The dearest may use the limit whole, the cheapest all but this part of it.
const RESERVE: f64 = 0.25;
/// Worths of so many requests are remembered: enough to tell a tenth from the next, few enough to follow a turn.
const RECENT: usize = 128;
/// A connection is held to its part only where more than this part of the limit is used.
const BUSY: f64 = 0.5;
/// Times its equal part that a connection may have: clients are not equally busy.
const LEEWAY: f64 = 2.0;
/// A connection may always have so many.
const FEW: u32 = 4;
/// Answers that a connection has not read may be so many before it is given more: a client that does not read what
/// it has got has no use for more of it.
const UNREAD: u32 = 32;
/// A connection of whose last 32 so many left before their answer is let in again once `SPAN` has passed without.
const LEAVES: u32 = 24;
/// What was turned away and answered is counted over this time.
const SPAN: Micros = 1_000_000;
/// Advice is never shorter (the client would find the same) and never longer (by then all may be well).
const SOONEST: Micros = 100_000;
const LATEST: Micros = 10_000_000;

/// Why a request was not let in, or a message given back: never run, and counted by this.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Short {
    Stopping,
    Memory,
    All,
    Front,
    Account,
    Connection,
    /// Little is left, and it is kept for what is worth more.
    Worth,
}

/// What is known of a request at the door.
#[derive(Clone, Copy, Debug)]
pub struct Knock {
    pub trigger: u32,
    pub account: u32,
    pub waited: Micros,
    /// Of its body; the most it may be where it does not say.
    pub bytes: u64,
    /// Requests of its connection that are inside, without this one, and answers it has not read.
    pub here: u32,
    pub unread: u32,
    /// Of the last 32 of its connection, so many left without their answer, the last of them so long ago.
    pub left: u32,
    pub left_ago: Micros,
    /// Connections of its front that have something inside.
    pub connections: u32,
    /// Bytes of answers that clients have not read, on all fronts.
    pub unread_bytes: u64,
}

/// How full it is, from those who keep count.
#[derive(Clone, Copy, Debug)]
pub struct Fill {
    pub limit: f64,
    pub out: u32,
    pub front: (u32, f64),
    pub account: (u32, f64),
    /// Front and account: it comes faster than it succeeds, and others suffer by it.
    pub spent: (bool, bool),
    /// Free for bodies, those on their way set aside.
    pub free_bytes: u64,
    /// Usual time of an answer.
    pub usual: Micros,
    pub stopping: bool,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Entry {
    Enter,
    TurnedAway { why: Short, come_back: Micros },
}

#[derive(Debug, Default)]
pub struct Door {
    recent: Vec<f64>,
    next: usize,
    /// Turned away, and answered, in this span and the one before.
    span: Micros,
    turned: [u32; 2],
    answered: [u32; 2],
    draws: u64,
}

/// What an answer would earn by the time it can be given.
pub fn worth(trigger: &TriggerType, waited: Micros, usual: Micros) -> f64 {
    let late = waited + usual > trigger.latency_objective;
    trigger.billed_value
        * if late {
            trigger.late_value_fraction
        } else {
            1.0
        }
}

/// Symptom: a client opens streams and resets them as fast as it can; each costs a dispatch that may run on.
fn storms(knock: &Knock) -> bool {
    knock.left >= LEAVES && knock.left_ago < SPAN
}

impl Door {
    /// From top to bottom; `worth` as [`worth`] has it.
    pub fn decide(&mut self, now: Micros, knock: &Knock, worth: f64, fill: &Fill) -> Entry {
        self.pass(now);
        let better = self.better(worth);
        let used = f64::from(fill.out);
        let why = if fill.stopping {
            Some(Short::Stopping)
        } else if knock.bytes + knock.unread_bytes > fill.free_bytes {
            Some(Short::Memory)
        } else if used >= fill.limit {
            Some(Short::All)
        } else if f64::from(fill.front.0) >= fill.front.1 || fill.spent.0 {
            Some(Short::Front)
        } else if f64::from(fill.account.0) >= fill.account.1 || fill.spent.1 {
            Some(Short::Account)
        } else if knock.unread >= UNREAD || self.crowds(knock, fill) || storms(knock) {
            Some(Short::Connection)
        } else if used >= fill.limit * (1.0 - RESERVE * better) {
            Some(Short::Worth)
        } else {
            None
        };
        match why {
            None => Entry::Enter,
            Some(why) => {
                self.turned[0] += 1;
                Entry::TurnedAway {
                    why,
                    come_back: self.come_back(fill.usual),
                }
            }
        }
    }

    /// An invocation was answered.
    pub fn noted(&mut self, now: Micros) {
        self.pass(now);
        self.answered[0] += 1;
    }

    fn crowds(&self, knock: &Knock, fill: &Fill) -> bool {
        let equal = fill.front.1 / f64::from(knock.connections.max(1));
        let most = (equal * LEEWAY).max(f64::from(FEW));
        f64::from(fill.out) > BUSY * fill.limit && f64::from(knock.here) >= most
    }

    /// Part of the requests of late that are worth more; also notes this one.
    fn better(&mut self, worth: f64) -> f64 {
        let above = self.recent.iter().filter(|w| **w > worth).count();
        let better = above as f64 / self.recent.len().max(1) as f64;
        if self.recent.len() < RECENT {
            self.recent.push(worth);
        } else {
            self.recent[self.next] = worth;
        }
        self.next = (self.next + 1) % RECENT;
        better
    }

    fn come_back(&mut self, usual: Micros) -> Micros {
        let turned = f64::from(self.turned[0] + self.turned[1]);
        let answered = f64::from(self.answered[0] + self.answered[1]).max(1.0);
        let wait = usual as f64 + turned / answered * SPAN as f64;
        // Symptom: all that were turned away come back together. From half to one and a half of the time.
        self.draws += 1;
        let drawn = BuildHasherDefault::<DefaultHasher>::default().hash_one(self.draws) % 1024;
        let spread = 0.5 + drawn as f64 / 1024.0;
        (wait * spread).clamp(SOONEST as f64, LATEST as f64) as Micros
    }

    fn pass(&mut self, now: Micros) {
        let span = now.div_euclid(SPAN);
        if span == self.span {
            return;
        }
        let next = span == self.span + 1;
        for counts in [&mut self.turned, &mut self.answered] {
            *counts = if next { [0, counts[0]] } else { [0, 0] };
        }
        self.span = span;
    }
}
