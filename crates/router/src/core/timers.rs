//! Handles timers that fire.

use cedarpulley::interface::{Event, Micros};

use super::state::invocation::InvocationHandle;
use super::state::timers::Timer;
use super::{Output, Router};
use crate::{AnswerReason, FinalOutcome};

impl Router {
    /// Sets a timer.
    pub(super) fn set_timer(&mut self, due: Micros, timer: Timer) {
        let serial = self.serials.next();
        self.timers.set(due, serial, timer);
    }

    /// Handles all timers that are due, including those that are set by the handlers.
    pub(super) fn run_timers(&mut self, out: &mut Vec<Output>) {
        while let Some(timer) = self.timers.pop_due(self.now) {
            self.timer_fired(timer, out);
        }
    }

    /// Removes the timers of what is over, if there may be many. Without this, a client whose requests end at once and have
    /// long timeouts would fill the queue.
    pub(super) fn sweep_timers(&mut self) {
        if !self.timers.is_sweep_due() {
            return;
        }
        let Router {
            timers,
            invocations,
            orders,
            answers,
            ..
        } = self;
        timers.sweep(|timer| match timer {
            Timer::Balancer(_) => true,
            Timer::DispatchTimeout(ticket) => invocations.attempt_in_flight(ticket).is_some(),
            Timer::AnswerDue(handle) | Timer::DispatchWindowEnds(handle) => {
                invocations.find(handle).is_some()
            }
            Timer::JoinedAnswerDue(delivery) => answers.is_waiting(delivery),
            Timer::OrderTimeout(ticket) => orders.is_in_flight(ticket),
        });
    }

    fn timer_fired(&mut self, timer: Timer, out: &mut Vec<Output>) {
        match timer {
            Timer::Balancer(token) => self.decide(&Event::Timer { token }, out),
            Timer::DispatchTimeout(ticket) => self.dispatch_timed_out(ticket, out),
            Timer::AnswerDue(handle) => {
                if self.invocations.is_current(handle) {
                    self.answer_overdue(handle, out);
                }
            }
            Timer::DispatchWindowEnds(handle) => self.dispatch_window_ended(handle, out),
            Timer::JoinedAnswerDue(delivery) => self.joined_answer_overdue(delivery, out),
            Timer::OrderTimeout(ticket) => self.order_timed_out(ticket, out),
        }
    }

    /// Answers an invocation without an attempt in flight for which no attempt may be sent any more. A redelivered
    /// invocation that is still queued must not be sent once the workers no longer recognise it as a repeat.
    fn dispatch_window_ended(&mut self, handle: InvocationHandle, out: &mut Vec<Output>) {
        let invocation = self.invocations.find(handle);
        if invocation.is_some_and(|found| found.is_open() && !found.has_attempt_in_flight()) {
            self.final_answer(
                handle.index,
                FinalOutcome::Errored,
                AnswerReason::MayHaveRun,
                out,
            );
        }
    }
}
