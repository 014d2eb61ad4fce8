//! Load orders, queries for the number of loaded copies, and the copies that workers report.

use std::sync::Arc;

use cedarpulley::ids::fingerprint;
use cedarpulley::interface::{
    Event, FunctionIndex, FunctionInfo, LoadOrderResult, Micros, WorkerIndex,
};
use cedarpulley_usage_metering::MemoryTotals;

use super::state::functions::FunctionProfile;
use super::state::load_orders::LoadOrder;
use super::state::timers::Timer;
use super::{Output, Router};
use crate::LoadOrderTicket;
use crate::observer::{UsageSource, WorkerUsage};

/// Load orders.
impl Router {
    /// Orders a worker to load `copies` copies, as the balancer decided. With 0 copies, the order only queries how many
    /// copies are loaded.
    pub(super) fn order(
        &mut self,
        worker: WorkerIndex,
        function: FunctionIndex,
        copies: u32,
        out: &mut Vec<Output>,
    ) {
        let ticket = LoadOrderTicket {
            worker,
            function,
            serial: self.serials.next(),
        };
        let profile = self.functions.profile(function);
        let profile = profile.unwrap_or(FunctionProfile::UNKNOWN);
        let order = LoadOrder {
            sent_at: self.now,
            loads: copies > 0,
            account: profile.account,
            copy_mb: profile.copy_mb,
        };
        let timeout = self.settings.order_timeout;
        self.workers.reserve(worker);
        self.orders.started(ticket, order);
        self.set_timer(self.now + timeout, Timer::OrderTimeout(ticket));
        self.counts.orders += u64::from(order.loads);
        out.push(Output::LoadOrder {
            ticket,
            function: self.functions.name(function),
            account: order.account,
            copies,
            timeout,
            term: self.plan_term.clone(),
        });
    }

    /// Whether an order may still be sent; the counterpart of [`Router::may_send`] for load orders.
    pub fn may_send_load_order(&self, now: Micros, ticket: LoadOrderTicket) -> bool {
        self.orders.is_in_flight(ticket) && self.workers.accepts(now, ticket.worker)
    }

    /// Ends an order; does nothing if it had ended before. `copies` is the number of copies loaded at the worker now.
    pub(super) fn order_ended(
        &mut self,
        ticket: LoadOrderTicket,
        result: LoadOrderResult,
        copies: u32,
        memory_held: Option<MemoryTotals>,
        out: &mut Vec<Output>,
    ) {
        let Some(order) = self.orders.ended(self.now, ticket) else {
            return;
        };
        self.workers.unreserve(ticket.worker);
        if order.loads {
            self.report_order_use(ticket, order, result, memory_held);
        }
        let event = Event::OrderEnded {
            worker: ticket.worker,
            function: ticket.function,
            result,
            took: self.now - order.sent_at,
            copies,
        };
        self.decide(&event, out);
    }

    /// Ends an order whose timeout has passed.
    pub(super) fn order_timed_out(&mut self, ticket: LoadOrderTicket, out: &mut Vec<Output>) {
        self.order_ended(ticket, LoadOrderResult::TimedOut, 0, None, out);
    }

    /// Ends an order that need not be sent, as the copy is known to be loaded.
    pub(super) fn skip_order(&mut self, ticket: LoadOrderTicket, out: &mut Vec<Output>) {
        self.counts.orders = self.counts.orders.saturating_sub(1);
        self.order_ended(ticket, LoadOrderResult::Loaded, 1, None, out);
    }

    /// Reports to the observers how the load order used its worker.
    fn report_order_use(
        &mut self,
        ticket: LoadOrderTicket,
        order: LoadOrder,
        result: LoadOrderResult,
        memory_held: Option<MemoryTotals>,
    ) {
        let Some(function) = self.functions.names().get(ticket.function as usize) else {
            return;
        };
        let profile = self.functions.profile(ticket.function);
        let usage = WorkerUsage {
            worker: ticket.worker,
            worker_name: self.workers.name(ticket.worker).unwrap_or(""),
            function,
            session: None,
            ends_session: false,
            trigger: profile.map_or(0, |profile| profile.trigger),
            account: order.account,
            source: UsageSource::LoadOrder(result),
            took: self.now - order.sent_at,
            copy_mb: order.copy_mb,
            lanes: 1,
            memory_held,
        };
        self.observers.used(self.now, usage);
    }
}

/// Requests for copies that do not come from the balancer, and reports of workers.
impl Router {
    /// Passes a request for a copy at a worker to the balancer, which decides whether to order it. The request is
    /// ignored if this router does not know the worker, knows neither `function` nor `similar_function`, or has no
    /// capacity for `function`.
    pub(super) fn copy_wanted(
        &mut self,
        worker: &str,
        function: &Arc<str>,
        similar_function: &str,
        term: Option<Arc<str>>,
        out: &mut Vec<Output>,
    ) {
        let Some(worker) = self.workers.find(worker) else {
            return;
        };
        let known_function = self
            .functions
            .find(function)
            .or_else(|| self.functions.find(similar_function));
        let Some(profile) = known_function.and_then(|known| self.functions.profile(known)) else {
            return;
        };
        if !self.has_room_for(function) {
            return;
        }
        let function = FunctionInfo {
            function: self.functions.register(function, profile),
            fingerprint: fingerprint(function),
            trigger: profile.trigger,
            lanes: profile.lanes,
        };
        self.plan_term = term;
        self.decide(&Event::CopyWanted { worker, function }, out);
        self.plan_term = None;
        self.forget_unknown_function(function.function);
    }

    /// Whether the function is known, or can be added within the memory for functions.
    pub(super) fn has_room_for(&self, function: &str) -> bool {
        self.functions.find(function).is_some() || self.balancer.has_room_for_function()
    }

    /// Removes a function that the balancer does not know, unless an invocation refers to it. The balancer releases only
    /// functions that it has known.
    pub(super) fn forget_unknown_function(&mut self, function: FunctionIndex) {
        if !self.balancer.knows_function(function) {
            self.functions.forget_if_unused(function);
        }
    }

    /// Orders a worker to unload its idle copies of a function.
    pub(super) fn copy_unwanted(
        &self,
        worker: &str,
        function: Arc<str>,
        term: Option<Arc<str>>,
        out: &mut Vec<Output>,
    ) {
        if let Some(worker) = self.workers.find(worker) {
            out.push(Output::Unload {
                worker,
                function,
                term,
            });
        }
    }

    /// Informs the balancer of the number of copies of a function that a worker reported.
    pub(super) fn copies_reported(
        &mut self,
        worker: &str,
        function: &str,
        copies: u32,
        out: &mut Vec<Output>,
    ) {
        if let Some(worker) = self.workers.find(worker)
            && let Some(function) = self.functions.find(function)
        {
            let event = Event::CopiesReported {
                worker,
                function,
                copies,
            };
            self.decide(&event, out);
        }
    }
}
