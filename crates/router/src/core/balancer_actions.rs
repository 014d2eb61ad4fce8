//! Calls the balancer and carries out its actions.

use cedarpulley::interface::{
    Action, DispatchOutcome, Event, FunctionIndex, InvocationIndex, Micros,
};

use super::dispatch::DispatchResult;
use super::state::timers::Timer;
use super::{Output, Router};
use crate::observer::Names;
use crate::{Answer, AnswerReason, FinalOutcome, Ticket};

/// A dispatch that ended while the actions of one balancer call were carried out.
pub(super) struct EndedImmediately {
    pub(super) ticket: Ticket,
    pub(super) outcome: DispatchOutcome,
}

impl Router {
    /// Passes the event to the balancer and carries out its actions, in order. Dispatches that end immediately are
    /// reported to the balancer as further events, after all actions of this call.
    pub(super) fn decide(&mut self, event: &Event, out: &mut Vec<Output>) {
        let mut actions = Vec::new();
        self.balancer.handle(self.now, event, &mut actions);
        let names = Names {
            functions: self.functions.names(),
            workers: self.workers.names(),
        };
        self.observers.decided(self.now, event, &actions, names);
        let mut ended = Vec::new();
        for action in actions {
            self.carry_out(action, &mut ended, out);
        }
        for EndedImmediately { ticket, outcome } in ended {
            self.dispatch_ended(ticket, DispatchResult::without_answer(outcome), out);
        }
    }

    fn carry_out(
        &mut self,
        action: Action,
        ended: &mut Vec<EndedImmediately>,
        out: &mut Vec<Output>,
    ) {
        match action {
            Action::Dispatch {
                invocation,
                worker,
                timeout,
            } => self.dispatch(invocation, worker, timeout, ended, out),
            Action::Cancel {
                invocation,
                dispatch,
            } => self.cancel(invocation, dispatch, ended, out),
            Action::Reject {
                invocation,
                retry_after,
            } => self.reject(invocation, retry_after, out),
            Action::Fail { invocation } => {
                let answer = Answer::without_body(FinalOutcome::Errored, AnswerReason::GivenUp);
                self.give_answer(invocation, answer, out);
                self.release(invocation, out);
            }
            Action::LoadOrder {
                worker,
                function,
                copies,
            } => self.order(worker, function, copies, out),
            Action::Unload { worker, function } => out.push(Output::Unload {
                worker,
                function: self.functions.name(function),
                term: self.plan_term.clone(),
            }),
            Action::Probe { worker } => {
                // The worker's index must not be reused before the health check has ended.
                self.workers.reserve(worker);
                self.counts.health_checks += 1;
                out.push(Output::Probe { worker });
            }
            Action::Timer { token, after } => {
                self.set_timer(self.now + after, Timer::Balancer(token));
            }
            Action::RequestEndpointList { .. } => out.push(Output::RequestEndpointList),
            Action::ReleaseFunction { function } => self.function_released(function),
        }
    }

    fn function_released(&mut self, function: FunctionIndex) {
        self.orders.forget_function(function);
        self.functions.released_by_balancer(function);
        self.functions.forget_if_unused(function);
    }

    fn cancel(
        &mut self,
        index: InvocationIndex,
        attempt: u32,
        ended: &mut Vec<EndedImmediately>,
        out: &mut Vec<Output>,
    ) {
        let ticket = self.invocations.handle(index).ticket(attempt);
        let Some(attempt) = self.invocations.attempt_in_flight(ticket) else {
            return;
        };
        self.counts.cancelled += 1;
        let outcome = if attempt.awaits_permission() {
            DispatchOutcome::NotSent
        } else {
            out.push(Output::Cancel(ticket));
            DispatchOutcome::Cancelled
        };
        ended.push(EndedImmediately { ticket, outcome });
    }

    fn reject(
        &mut self,
        index: InvocationIndex,
        retry_after: Option<Micros>,
        out: &mut Vec<Output>,
    ) {
        // A redelivered invocation may have run at another router, which the balancer does not know.
        let may_run_elsewhere = self
            .invocations
            .get(index)
            .is_some_and(|invocation| invocation.dispatch_until().is_some());
        let outcome = if may_run_elsewhere {
            FinalOutcome::Errored
        } else {
            FinalOutcome::Throttled
        };
        let reason = if self.refuses_new_work(self.now) {
            AnswerReason::DrainsUnknown
        } else {
            AnswerReason::GivenUp
        };
        let answer = Answer {
            retry_after,
            ..Answer::without_body(outcome, reason)
        };
        self.give_answer(index, answer, out);
        self.release(index, out);
    }
}
