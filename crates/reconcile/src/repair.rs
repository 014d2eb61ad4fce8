//! Repairs that cost a worker something: loads that are wanted again, and unloads. They wait here, and one goes each
//! time the budget allows, the busiest function first; whether it still stands is asked again right before.
//!
//! Mechanisms:
//! 1. One repair for each function at a worker at a time.
//! 2. Chance spreads the pace, so that routers which saw the same flush do not load in step.
//! 3. Full, the least urgent is dropped and counted: the next round finds its drift again.

use std::collections::BTreeMap;
use std::sync::Arc;

use cedarpulley::interface::Micros;

use crate::asking::Chance;

/// Repairs that wait; the next rounds find what was dropped.
const MOST_WAITING: usize = 1024;

#[derive(Clone, Debug, PartialEq, Eq)]
pub enum What {
    Want,
    Unload { term: Option<Arc<str>> },
}

#[derive(Clone, Debug)]
pub struct Repair {
    pub worker: Arc<str>,
    pub function: Arc<str>,
    pub what: What,
    /// The observation that showed the drift began then.
    pub began: Micros,
    /// Of wanted loads, how busy the function is.
    pub urgency: u64,
}

#[derive(Debug)]
pub struct Repairs {
    between: Micros,
    waiting: BTreeMap<(Arc<str>, Arc<str>), Repair>,
    next: Micros,
}

impl Repairs {
    pub fn new(per_s: f64) -> Self {
        Repairs {
            between: (1e6 / per_s.max(1e-3)) as Micros,
            waiting: BTreeMap::new(),
            next: Micros::MIN,
        }
    }

    /// False if another one was dropped for want of room.
    pub fn wait(&mut self, now: Micros, chance: &mut Chance, repair: Repair) -> bool {
        if self.waiting.is_empty() {
            self.next = self
                .next
                .max(now + (self.between as f64 * chance.draw()) as Micros);
        }
        self.waiting
            .insert((repair.worker.clone(), repair.function.clone()), repair);
        if self.waiting.len() <= MOST_WAITING {
            return true;
        }
        let least = self
            .waiting
            .iter()
            .min_by_key(|r| r.1.urgency)
            .map(|r| r.0.clone());
        least.map(|key| self.waiting.remove(&key));
        false
    }

    /// The next one that still stands, if its time has come.
    pub fn take(
        &mut self,
        now: Micros,
        chance: &mut Chance,
        mut stands: impl FnMut(&Repair) -> bool,
    ) -> Option<Repair> {
        while now >= self.next {
            let most = self
                .waiting
                .iter()
                .max_by_key(|r| r.1.urgency)
                .map(|r| r.0.clone())?;
            let repair = self.waiting.remove(&most)?;
            if stands(&repair) {
                self.next = now + (self.between as f64 * (0.5 + chance.draw())) as Micros;
                return Some(repair);
            }
        }
        None
    }

    pub fn next_due(&self) -> Micros {
        if self.waiting.is_empty() {
            Micros::MAX
        } else {
            self.next
        }
    }

    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }
}
