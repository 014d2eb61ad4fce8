//! What a queued invocation waited for: a load of its function, or a free lane of a copy. Call
//! [`QueueingDelay::load_ordered`], [`QueueingDelay::load_ended`] and [`QueueingDelay::warm_copy_found`];
//! [`QueueingDelay::waited_for_load`] answers.
//!
//! Mechanisms:
//! 1. If a load order of its function is in flight, or one ended since the invocation was accepted, it may have
//!    waited for that load.
//! 2. If a dispatch found a warm copy since the invocation was accepted, lanes were short, whatever else was
//!    being loaded.

use std::collections::HashMap;

use cedarpulley::interface::{FunctionIndex, Micros};

#[derive(Debug)]
struct Loads {
    in_flight: u32,
    last_ended_at: Micros,
}

/// Load orders and warm copies by function.
#[derive(Debug, Default)]
pub struct QueueingDelay {
    loads: HashMap<FunctionIndex, Loads>,
    /// When a dispatch that succeeded last found a warm copy.
    warm_copy_at: HashMap<FunctionIndex, Micros>,
}

impl QueueingDelay {
    /// A load of the function was ordered.
    pub fn load_ordered(&mut self, function: FunctionIndex) {
        let loads = self.loads.entry(function).or_insert(Loads {
            in_flight: 0,
            last_ended_at: Micros::MIN,
        });
        loads.in_flight += 1;
    }

    /// A load order ended. A query for the number of copies is none.
    pub fn load_ended(&mut self, now: Micros, function: FunctionIndex) {
        if let Some(loads) = self.loads.get_mut(&function)
            && loads.in_flight > 0
        {
            loads.in_flight -= 1;
            loads.last_ended_at = now;
        }
    }

    /// A dispatch that succeeded found a warm copy.
    pub fn warm_copy_found(&mut self, now: Micros, function: FunctionIndex) {
        self.warm_copy_at.insert(function, now);
    }

    /// The index may be reused for another function.
    pub fn forget(&mut self, function: FunctionIndex) {
        self.loads.remove(&function);
        self.warm_copy_at.remove(&function);
    }

    /// Whether an invocation that was accepted at `accepted_at` and ends now waited for a load.
    pub fn waited_for_load(&self, function: FunctionIndex, accepted_at: Micros) -> bool {
        let load_since = self
            .loads
            .get(&function)
            .is_some_and(|loads| loads.in_flight > 0 || loads.last_ended_at >= accepted_at);
        let warm_copy_since = self
            .warm_copy_at
            .get(&function)
            .is_some_and(|&found_at| found_at >= accepted_at);
        load_since && !warm_copy_since
    }
}
