//! The queue of repairs that cost a worker something: loads that are wanted again, and unloads. One goes each time the
//! rate allows, the busiest function first; whether it is still needed is checked again right before.
//!
//! Mechanisms:
//! 1. One repair for each function at a worker at a time.
//! 2. The time between two is random, so that routers which saw the same flush do not load in step.
//! 3. When the queue is full, the least urgent is dropped and counted: the next round finds its drift again.

use std::collections::BTreeMap;
use std::sync::Arc;

use cedarpulley::interface::Micros;

use crate::polling::SeededRandom;

/// Repairs in the queue; the next rounds find what was dropped.
const MAX_QUEUED: usize = 1024;

/// What a repair does at the worker.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RepairAction {
    /// Load the function again.
    Load,
    /// Unload it; `term` is that of the plan for which it was loaded.
    Unload { term: Option<Arc<str>> },
}

/// One function at one worker that is to be loaded or unloaded.
#[derive(Clone, Debug)]
pub struct Repair {
    pub worker: Arc<str>,
    pub function: Arc<str>,
    pub action: RepairAction,
    /// When the observation that showed the drift began.
    pub began: Micros,
    /// Of loads, how busy the function is, in thousandths of a use; 0 of unloads.
    pub urgency: u64,
}

/// See the module.
#[derive(Debug)]
pub struct RepairQueue {
    mean_interval: Micros,
    queued: BTreeMap<(Arc<str>, Arc<str>), Repair>,
    next: Micros,
}

impl RepairQueue {
    /// An empty queue that lets `per_s` repairs a second go.
    pub fn new(per_s: f64) -> Self {
        RepairQueue {
            mean_interval: (1e6 / per_s.max(1e-3)) as Micros,
            queued: BTreeMap::new(),
            next: Micros::MIN,
        }
    }

    /// False if another one was dropped because the queue is full.
    pub fn push(&mut self, now: Micros, random: &mut SeededRandom, repair: Repair) -> bool {
        if self.queued.is_empty() {
            self.next = self
                .next
                .max(now + (self.mean_interval as f64 * random.draw()) as Micros);
        }
        self.queued
            .insert((repair.worker.clone(), repair.function.clone()), repair);
        if self.queued.len() <= MAX_QUEUED {
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

    /// The most urgent one that is still needed, if its time has come; the others on the way there are dropped.
    pub fn pop(
        &mut self,
        now: Micros,
        random: &mut SeededRandom,
        mut is_needed: impl FnMut(&Repair) -> bool,
    ) -> Option<Repair> {
        while now >= self.next {
            let most_urgent = self
                .queued
                .iter()
                .max_by_key(|(_, repair)| repair.urgency)
                .map(|(key, _)| key.clone())?;
            let repair = self.queued.remove(&most_urgent)?;
            if is_needed(&repair) {
                self.next = now + (self.mean_interval as f64 * (0.5 + random.draw())) as Micros;
                return Some(repair);
            }
        }
        None
    }

    /// When the next repair may go; `Micros::MAX` without any.
    pub fn next_due(&self) -> Micros {
        if self.queued.is_empty() {
            Micros::MAX
        } else {
            self.next
        }
    }

    /// Repairs in the queue.
    pub fn len(&self) -> usize {
        self.queued.len()
    }
}
