//! What an invocation waited for: a load of its function, or a lane. Called with [`Waits::ordered`],
//! [`Waits::order_ended`] and [`Waits::found`]; [`Waits::for_load`] answers.
//!
//! Mechanisms:
//! 1. While an order to load its function is out, or one ended since it was taken, it may have waited for that.
//! 2. If since it was taken a dispatch found a copy standing, lanes were what was short, whatever else was loaded.

use std::collections::HashMap;

use cedarpulley::interface::{FunctionIndex, Micros};

#[derive(Debug, Default)]
pub struct Waits {
    /// Orders that are out for a function, and when the last of them ended.
    loading: HashMap<FunctionIndex, (u32, Micros)>,
    /// When a copy of it last was found standing by a dispatch that succeeded.
    found: HashMap<FunctionIndex, Micros>,
}

impl Waits {
    pub fn ordered(&mut self, func: FunctionIndex) {
        self.loading.entry(func).or_insert((0, Micros::MIN)).0 += 1;
    }

    /// Of an order to load; a question for how many copies stand is none.
    pub fn order_ended(&mut self, now: Micros, func: FunctionIndex) {
        if let Some(loading) = self.loading.get_mut(&func).filter(|l| l.0 > 0) {
            *loading = (loading.0 - 1, now);
        }
    }

    pub fn found(&mut self, now: Micros, func: FunctionIndex) {
        self.found.insert(func, now);
    }

    /// The function's index may go to another.
    pub fn forget(&mut self, func: FunctionIndex) {
        self.loading.remove(&func);
        self.found.remove(&func);
    }

    /// One that was taken then and is over now.
    pub fn for_load(&self, func: FunctionIndex, taken: Micros) -> bool {
        self.loading
            .get(&func)
            .is_some_and(|(out, ended)| *out > 0 || *ended >= taken)
            && self.found.get(&func).is_none_or(|at| *at < taken)
    }
}
