//! Determines whether a queued invocation waited for a load of its function or for a free lane of a loaded copy. The
//! caller reports load orders and warm copies to [`QueueingDelay::load_ordered`], [`QueueingDelay::load_ended`] and
//! [`QueueingDelay::warm_copy_found`]; [`QueueingDelay::waited_for_load`] returns the result.
//!
//! Mechanisms:
//! 1. If a load order of the function is in flight, or one ended since the invocation was accepted, the invocation may
//!    have waited for that load.
//! 2. If a dispatch of the function found a warm copy since the invocation was accepted, the invocation waited for a
//!    lane, even if more copies were being loaded.

use std::collections::HashMap;

use cedarpulley::interface::{FunctionIndex, Micros};

/// The load orders of one function.
#[derive(Debug)]
struct Loads {
    in_flight: u32,
    last_ended_at: Micros,
}

/// Records the load orders and warm copies of each function.
#[derive(Debug, Default)]
pub struct QueueingDelay {
    loads: HashMap<FunctionIndex, Loads>,
    /// When a successful dispatch of the function last found a warm copy.
    warm_copy_at: HashMap<FunctionIndex, Micros>,
}

impl QueueingDelay {
    /// Records that a load of the function was ordered.
    pub fn load_ordered(&mut self, function: FunctionIndex) {
        let loads = self.loads.entry(function).or_insert(Loads {
            in_flight: 0,
            last_ended_at: Micros::MIN,
        });
        loads.in_flight += 1;
    }

    /// Records that a load order of the function ended. Queries for the number of loaded copies are not reported here.
    pub fn load_ended(&mut self, now: Micros, function: FunctionIndex) {
        if let Some(loads) = self.loads.get_mut(&function)
            && loads.in_flight > 0
        {
            loads.in_flight -= 1;
            loads.last_ended_at = now;
        }
    }

    /// Records that a successful dispatch of the function found a warm copy.
    pub fn warm_copy_found(&mut self, now: Micros, function: FunctionIndex) {
        self.warm_copy_at.insert(function, now);
    }

    /// Forgets a function whose index may be reused for another function.
    pub fn forget(&mut self, function: FunctionIndex) {
        self.loads.remove(&function);
        self.warm_copy_at.remove(&function);
    }

    /// Returns whether an invocation that was accepted at `accepted_at` and ends now waited for a load.
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
