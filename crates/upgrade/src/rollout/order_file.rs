//! The current orders of the operator's file for one model.

use crate::orders::Order;
use crate::plan::Plan;

/// The orders of the file for one model.
#[derive(Clone, Debug, Default)]
pub(super) struct OrderFile {
    orders: Vec<Order>,
}

impl OrderFile {
    pub fn clear(&mut self) {
        self.orders.clear();
    }

    pub fn add(&mut self, order: Order) {
        self.orders.push(order);
    }

    fn active(&self) -> impl Iterator<Item = &Order> {
        self.orders.iter().filter(|order| !order.withdrawn)
    }

    pub fn has_active(&self) -> bool {
        self.active().next().is_some()
    }

    pub fn is_withdrawn(&self, serial: u64) -> bool {
        self.orders
            .iter()
            .any(|order| order.serial == serial && order.withdrawn)
    }

    pub fn newer_than(&self, serial: u64) -> impl Iterator<Item = &Order> {
        self.active().filter(move |order| order.serial > serial)
    }

    /// The order to carry out after this plan: the order with the lowest serial in the plan's queue and in the file.
    pub fn following(&self, previous: Option<&Plan>) -> Option<Order> {
        let queued = previous.map(|plan| &plan.queued[..]).unwrap_or_default();
        let is_next = |order: &&Order| {
            previous.is_none_or(|plan| order.serial > plan.order.serial)
                && !self.is_withdrawn(order.serial)
        };
        let candidates = queued.iter().chain(self.active()).filter(is_next);
        candidates.min_by_key(|order| order.serial).cloned()
    }
}
