//! What a plan has ordered and not yet seen: copies to come ([`Loads`]) and copies to go ([`Unloads`]).
//!
//! Mechanisms:
//! 1. A load that fails holds its worker back, longer with each failure in a row.
//! 2. After a failure or a load that took far longer than usual, one at a time; after some good ones one more again.
//! 3. The module may decline an order without a word: what is neither loading nor there when looked at is forgotten, and
//!    its worker left alone for a moment.
//! 4. A copy ordered to go counts as gone until it was seen after the order can no more be under way.

use std::collections::BTreeMap;

use cedarpulley::interface::Micros;

use crate::Name;
use crate::planner::Terms;
use crate::seen::WorkerSeen;

/// Loads of one function are alike; twice as long is the store or the worker.
const SLOW: Micros = 2;
/// So many good ones in a row before one more is loaded at once.
const GOOD: u32 = 3;
/// A failure doubles its worker's time, up to this many times.
const MOST_DOUBLINGS: u32 = 5;
/// Of what usual takes, a new load's part.
const PART: Micros = 4;

#[derive(Clone, Copy, Debug)]
struct Load {
    since: Micros,
    ended: Option<Micros>,
}

#[derive(Clone, Copy, Debug, Default)]
struct Hold {
    until: Micros,
    fails: u32,
}

#[derive(Clone, Debug, Default)]
pub(crate) struct Loads {
    under_way: BTreeMap<(Name, Name), Load>,
    holds: BTreeMap<Name, Hold>,
    /// Beyond the first.
    more: u32,
    good: u32,
    usual: Option<Micros>,
    /// In a row.
    pub fails: u32,
}

impl Loads {
    pub fn new(terms: &Terms) -> Loads {
        Loads {
            more: terms.loads_at_once.saturating_sub(1),
            ..Loads::default()
        }
    }

    pub fn has_room(&self) -> bool {
        self.under_way.len() <= self.more as usize
    }

    pub fn at_once(&self) -> u32 {
        self.more + 1
    }

    pub fn len(&self) -> usize {
        self.under_way.len()
    }

    pub fn may(&self, now: Micros, worker: &str) -> bool {
        self.under_way.keys().all(|(w, _)| **w != *worker)
            && self.holds.get(worker).is_none_or(|h| h.until <= now)
    }

    /// It failed more than once in a row, and is left alone: others have to make room.
    pub fn is_broken(&self, now: Micros, worker: &str) -> bool {
        self.holds
            .get(worker)
            .is_some_and(|h| h.until > now && h.fails > 1)
    }

    pub fn is_under_way(&self, worker: &str, function: &str) -> bool {
        self.under_way
            .keys()
            .any(|(w, f)| **w == *worker && **f == *function)
    }

    pub fn begin(&mut self, now: Micros, worker: &Name, function: &Name) {
        self.under_way.insert(
            (worker.clone(), function.clone()),
            Load {
                since: now,
                ended: None,
            },
        );
    }

    pub fn ended(&mut self, now: Micros, worker: &Name, function: &Name, ok: bool, terms: &Terms) {
        let Some(load) = self.under_way.get_mut(&(worker.clone(), function.clone())) else {
            return;
        };
        let took = now - load.since;
        if !ok {
            return self.failed(now, worker, function, terms);
        }
        if load.ended.replace(now).is_none() {
            self.went(worker, took, terms);
        }
    }

    fn went(&mut self, worker: &Name, took: Micros, terms: &Terms) {
        self.holds.remove(worker);
        self.fails = 0;
        let usual = *self.usual.get_or_insert(took);
        if took > usual.saturating_mul(SLOW) {
            (self.more, self.good) = (0, 0);
        } else {
            self.good += 1;
        }
        if self.good >= GOOD {
            self.good = 0;
            self.more = (self.more + 1).min(terms.loads_at_once.saturating_sub(1));
        }
        self.usual = Some(usual + (took - usual) / PART);
    }

    fn failed(&mut self, now: Micros, worker: &Name, function: &Name, terms: &Terms) {
        self.under_way.remove(&(worker.clone(), function.clone()));
        (self.more, self.good) = (0, 0);
        self.fails = self.fails.saturating_add(1);
        let hold = self.holds.entry(worker.clone()).or_default();
        hold.until = now.saturating_add(terms.hold_back << hold.fails.min(MOST_DOUBLINGS));
        hold.fails += 1;
    }

    /// What can be told of loads from what is seen.
    pub fn look(&mut self, now: Micros, workers: &[WorkerSeen], terms: &Terms) {
        let seen = |name: &str| workers.iter().find(|w| *w.name == *name);
        self.holds.retain(|w, h| h.until > now || seen(w).is_some());
        let all: Vec<((Name, Name), Load)> = self
            .under_way
            .iter()
            .map(|(k, l)| (k.clone(), *l))
            .collect();
        for (key, load) in all {
            let (worker, function) = &key;
            let Some(w) = seen(worker) else {
                self.under_way.remove(&key);
                continue;
            };
            let settled = w.seen_at > load.since.saturating_add(terms.order_within);
            if w.stands(function).is_some() && w.seen_at > load.since {
                self.under_way.remove(&key);
                if load.ended.is_none() {
                    self.went(worker, w.seen_at - load.since, terms);
                }
            } else if settled && !w.held(function).is_some_and(|h| h.loading) {
                self.under_way.remove(&key);
                let hold = self.holds.entry(worker.clone()).or_default();
                hold.until = hold.until.max(now.saturating_add(terms.order_within));
            } else if now > load.since.saturating_add(terms.load_within) {
                self.failed(now, worker, function, terms);
            } else if self
                .usual
                .is_some_and(|u| now - load.since > u.saturating_mul(SLOW))
            {
                (self.more, self.good) = (0, 0);
            }
        }
    }
}

#[derive(Clone, Copy, Debug)]
struct Unload {
    at: Micros,
    tries: u32,
}

#[derive(Clone, Debug, Default)]
pub(crate) struct Unloads {
    ordered: BTreeMap<(Name, Name), Unload>,
}

impl Unloads {
    /// The order may still be under way, or has done what is not yet seen.
    pub fn is_under_way(&self, w: &WorkerSeen, function: &Name, terms: &Terms) -> bool {
        let order = self.ordered.get(&(w.name.clone(), function.clone()));
        order.is_some_and(|o| w.seen_at <= o.at.saturating_add(terms.order_within))
    }

    pub fn tries(&self, worker: &Name, function: &Name) -> u32 {
        self.ordered
            .get(&(worker.clone(), function.clone()))
            .map_or(0, |o| o.tries)
    }

    pub fn begin(&mut self, now: Micros, worker: &Name, function: &Name) {
        let order = self.ordered.entry((worker.clone(), function.clone()));
        let order = order.or_insert(Unload { at: now, tries: 0 });
        (order.at, order.tries) = (now, order.tries + 1);
    }

    pub fn look(&mut self, workers: &[WorkerSeen], terms: &Terms) {
        self.ordered.retain(|(worker, function), o| {
            let w = workers.iter().find(|w| w.name == *worker);
            let after = |w: &WorkerSeen| w.seen_at > o.at.saturating_add(terms.order_within);
            w.is_some_and(|w| !after(w) || w.stands(function).is_some())
        });
    }
}
