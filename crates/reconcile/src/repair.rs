//! The queue of repairs that take up a worker's resources: loads of lost copies, and unloads. A repair is sent each
//! time the rate limit allows it, for the busiest function first; whether it is still needed is checked again right
//! before.
//!
//! Mechanisms:
//! 1. The queue has at most one repair for each function at a worker.
//! 2. The time between two repairs is random, so that routers that saw the same flush do not load at the same times.
//! 3. When the queue is full, the least urgent repair is dropped and counted: the next round of polls finds its drift
//!    again.

use std::collections::BTreeMap;
use std::sync::Arc;

use cedarpulley::interface::Micros;

use crate::polling::SeededRandom;

/// Most repairs in the queue; later rounds of polls find the drifts of dropped repairs again.
const MAX_QUEUED_REPAIRS: usize = 1024;

/// What a repair does at the worker.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RepairAction {
    /// Load the function again.
    Load,
    /// Unload the function; `term` is the term of the upgrade plan for which it was loaded.
    Unload { term: Option<Arc<str>> },
}

/// One function at one worker that is to be loaded or unloaded.
#[derive(Clone, Debug)]
pub struct Repair {
    /// This router's name for the worker.
    pub worker: Arc<str>,
    /// The function's name.
    pub function: Arc<str>,
    /// What is done.
    pub action: RepairAction,
    /// When the observation that showed the drift began.
    pub began: Micros,
    /// For a load, how busy the function is, in thousandths of a use; 0 for an unload.
    pub urgency: u64,
}

/// The rate-limited queue of repairs.
#[derive(Debug)]
pub struct RepairQueue {
    mean_interval: Micros,
    /// By worker and function.
    queued: BTreeMap<(Arc<str>, Arc<str>), Repair>,
    /// When the next repair may be sent.
    next_at: Micros,
}

impl RepairQueue {
    /// Creates an empty queue that sends `per_s` repairs per second.
    pub fn new(per_s: f64) -> Self {
        RepairQueue {
            mean_interval: (1e6 / per_s.max(1e-3)) as Micros,
            queued: BTreeMap::new(),
            next_at: Micros::MIN,
        }
    }

    /// Adds a repair. Returns false if the queue was full and the least urgent repair was dropped.
    pub fn push(&mut self, now: Micros, random: &mut SeededRandom, repair: Repair) -> bool {
        if self.queued.is_empty() {
            self.next_at = self
                .next_at
                .max(now + (self.mean_interval as f64 * random.draw()) as Micros);
        }
        self.queued
            .insert((repair.worker.clone(), repair.function.clone()), repair);
        if self.queued.len() <= MAX_QUEUED_REPAIRS {
            return true;
        }
        let least_urgent = self
            .queued
            .iter()
            .min_by_key(|(_, repair)| repair.urgency)
            .map(|(key, _)| key.clone());
        least_urgent.map(|key| self.queued.remove(&key));
        false
    }

    /// Removes and returns the most urgent repair that is still needed, if the rate limit allows one at `now`. More
    /// urgent repairs that are no longer needed are dropped.
    pub fn pop(
        &mut self,
        now: Micros,
        random: &mut SeededRandom,
        mut is_needed: impl FnMut(&Repair) -> bool,
    ) -> Option<Repair> {
        while now >= self.next_at {
            let most_urgent = self
                .queued
                .iter()
                .max_by_key(|(_, repair)| repair.urgency)
                .map(|(key, _)| key.clone())?;
            let repair = self.queued.remove(&most_urgent)?;
            if is_needed(&repair) {
                self.next_at = now + (self.mean_interval as f64 * (0.5 + random.draw())) as Micros;
                return Some(repair);
            }
        }
        None
    }

    /// When the next repair may be sent; `Micros::MAX` if the queue is empty.
    pub fn next_due(&self) -> Micros {
        if self.queued.is_empty() {
            Micros::MAX
        } else {
            self.next_at
        }
    }

    /// Number of repairs in the queue.
    pub fn len(&self) -> usize {
        self.queued.len()
    }
}
