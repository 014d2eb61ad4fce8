//! Orders to load copies at workers, and questions for how many stand.

use std::sync::Arc;

use cedarpulley::ids::fingerprint;
use cedarpulley::interface::{
    Event, FunctionIndex, FunctionInfo, LoadOrderResult, Micros, WorkerIndex,
};
use cedarpulley_usage_metering::Held;

use super::functions::FunctionProfile;
use super::timers::Timer;
use super::{Output, Router};
use crate::OrderTicket;
use crate::watch::{By, Used};

/// An order that has not ended.
#[derive(Clone, Copy)]
pub(super) struct OpenOrder {
    sent_at: Micros,
    /// It loads copies; otherwise it only asks how many stand.
    loads: bool,
    /// The account whose invocation had asked for the function last.
    account: u32,
    /// Size of a copy, in megabytes.
    copy_mb: f64,
}

impl Router {
    /// The module wants so many copies to stand at a worker; 0 only asks how many do.
    pub(super) fn order(
        &mut self,
        worker: WorkerIndex,
        func: FunctionIndex,
        copies: u32,
        out: &mut Vec<Output>,
    ) {
        let ticket = OrderTicket {
            worker,
            func,
            serial: self.next_serial(),
        };
        let FunctionProfile {
            account, copy_mb, ..
        } = self
            .functions
            .profile(func)
            .unwrap_or(FunctionProfile::UNKNOWN);
        let loads = copies > 0;
        let within = self.terms.order_answered_within;
        self.tenure.hold(worker);
        self.orders.insert(
            ticket,
            OpenOrder {
                sent_at: self.now,
                loads,
                account,
                copy_mb,
            },
        );
        self.set_timer(self.now + within, Timer::OrderTimeOut(ticket));
        if loads {
            self.counts.orders += 1;
            self.waits.ordered(func);
        }
        let function = self.functions.name(func);
        let term = self.plan_term.clone();
        out.push(Output::Order {
            ticket,
            function,
            account,
            copies,
            within,
            term,
        });
    }

    /// Whether an order may still leave, as [`Router::may_leave`] for dispatches.
    pub fn order_may_leave(&self, now: Micros, ticket: OrderTicket) -> bool {
        self.orders.contains_key(&ticket) && self.service.takes_new(now, ticket.worker)
    }

    /// Ends an order; one that had ended before is ignored. `copies` stand at the worker now.
    pub(super) fn order_ended(
        &mut self,
        ticket: OrderTicket,
        result: LoadOrderResult,
        copies: u32,
        held: Option<Held>,
        out: &mut Vec<Output>,
    ) {
        let Some(order) = self.orders.remove(&ticket) else {
            return;
        };
        self.tenure.let_go(ticket.worker);
        if order.loads {
            self.report_order_use(ticket, order, result, held);
            self.waits.order_ended(self.now, ticket.func);
        }
        let OrderTicket { worker, func, .. } = ticket;
        let took = self.now - order.sent_at;
        self.decide(
            &Event::OrderEnded {
                worker,
                function: func,
                result,
                took,
                copies,
            },
            out,
        );
    }

    /// Tells the watchers what the load used of its worker.
    fn report_order_use(
        &mut self,
        ticket: OrderTicket,
        order: OpenOrder,
        result: LoadOrderResult,
        held: Option<Held>,
    ) {
        let Some(function) = self.functions.names().get(ticket.func as usize) else {
            return;
        };
        let profile = self.functions.profile(ticket.func);
        let used = Used {
            worker: ticket.worker,
            worker_name: self.workers.id(ticket.worker).map_or("", String::as_str),
            function,
            session: None,
            ends: false,
            trigger: profile.map_or(0, |profile| profile.trigger),
            account: order.account,
            by: By::Order(result),
            took: self.now - order.sent_at,
            copy_mb: order.copy_mb,
            lanes: 1,
            held,
        };
        self.watch
            .iter_mut()
            .for_each(|watch| watch.used(self.now, used));
    }

    /// Ends an order that need not leave, as the copy is known to stand.
    pub(super) fn order_stands_already(&mut self, ticket: OrderTicket, out: &mut Vec<Output>) {
        self.counts.orders = self.counts.orders.saturating_sub(1);
        self.order_ended(ticket, LoadOrderResult::Loaded, 1, None, out);
    }

    /// A copy is wanted at a worker; the module decides whether it is ordered. Nothing is ordered for a
    /// function if neither it nor the one it is `like` is known here.
    pub(super) fn copy_wanted(
        &mut self,
        worker: &str,
        function: Arc<str>,
        like: &str,
        term: Option<Arc<str>>,
        out: &mut Vec<Output>,
    ) {
        let Some(worker) = self.workers.find(worker) else {
            return;
        };
        let known = self
            .functions
            .find(&function)
            .or_else(|| self.functions.find(like));
        let Some(profile) = known.and_then(|func| self.functions.profile(func)) else {
            return;
        };
        if !self.functions.has_room_for(&function) {
            return;
        }
        let func = self.functions.register(&function, profile);
        let FunctionProfile { trigger, lanes, .. } = profile;
        let asked = FunctionInfo {
            function: func,
            fingerprint: fingerprint(&function),
            trigger,
            lanes,
        };
        self.plan_term = term;
        self.decide(
            &Event::CopyWanted {
                worker,
                function: asked,
            },
            out,
        );
        self.plan_term = None;
    }

    /// Idle copies of a function are to be unloaded from a worker.
    pub(super) fn copy_unwanted(
        &mut self,
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

    /// A worker reports the copies that it holds of a function.
    pub(super) fn copies_held(
        &mut self,
        worker: &str,
        function: &str,
        copies: u32,
        out: &mut Vec<Output>,
    ) {
        let Some(worker) = self.workers.find(worker) else {
            return;
        };
        let Some(func) = self.functions.find(function) else {
            return;
        };
        self.decide(
            &Event::CopiesReported {
                worker,
                function: func,
                copies,
            },
            out,
        );
    }
}
