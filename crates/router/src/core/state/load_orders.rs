//! Load orders in flight, and queries for the number of copies.

use std::collections::HashMap;

use cedarpulley::interface::{FunctionIndex, Micros};

use crate::LoadOrderTicket;
use crate::queueing_delay::QueueingDelay;

/// An order that has not ended.
#[derive(Clone, Copy)]
pub(crate) struct LoadOrder {
    pub(crate) sent_at: Micros,
    /// Whether the order loads copies; otherwise it only queries how many are loaded.
    pub(crate) loads: bool,
    /// The account whose invocation requested the function last.
    pub(crate) account: u32,
    /// Size of a copy, in megabytes.
    pub(crate) copy_mb: f64,
}

/// Load orders in flight, and the record of loads by which invocations that waited for one are recognised.
#[derive(Default)]
pub(crate) struct LoadOrders {
    in_flight: HashMap<LoadOrderTicket, LoadOrder>,
    queueing_delay: QueueingDelay,
}

impl LoadOrders {
    /// Adds an order that is being sent.
    pub(crate) fn started(&mut self, ticket: LoadOrderTicket, order: LoadOrder) {
        self.in_flight.insert(ticket, order);
        if order.loads {
            self.queueing_delay.load_ordered(ticket.function);
        }
    }

    /// Whether the order has not ended.
    pub(crate) fn is_in_flight(&self, ticket: LoadOrderTicket) -> bool {
        self.in_flight.contains_key(&ticket)
    }

    /// Ends the order and returns it; returns `None` if it had ended before.
    pub(crate) fn ended(&mut self, now: Micros, ticket: LoadOrderTicket) -> Option<LoadOrder> {
        let order = self.in_flight.remove(&ticket)?;
        if order.loads {
            self.queueing_delay.load_ended(now, ticket.function);
        }
        Some(order)
    }

    /// Records that a successful dispatch found a warm copy of the function.
    pub(crate) fn warm_copy_found(&mut self, now: Micros, function: FunctionIndex) {
        self.queueing_delay.warm_copy_found(now, function);
    }

    /// Whether an invocation that was accepted at `accepted_at` and ends now waited for a load.
    pub(crate) fn waited_for_load(&self, function: FunctionIndex, accepted_at: Micros) -> bool {
        self.queueing_delay.waited_for_load(function, accepted_at)
    }

    /// Removes the records of a function whose index may be reused.
    pub(crate) fn forget_function(&mut self, function: FunctionIndex) {
        self.queueing_delay.forget(function);
    }
}
