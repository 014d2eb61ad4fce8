//! The core's one timer queue, and what is done when each timer is due.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use cedarpulley::interface::{Event, LoadOrderResult, Micros};

use super::finishing::AnswerSubject;
use super::invocation::InvocationHandle;
use super::{Output, Router};
use crate::{Answer, Delivery, Fate, OrderTicket, Reason, Ticket};

/// What a timer waits for. Timers are not cancelled: what has ended in the meantime is recognised when they
/// are due.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Timer {
    /// The decision module asked for it, with this token.
    Module(u64),
    /// The dispatch has its time-out.
    DispatchTimeOut(Ticket),
    /// The invocation's final answer is due.
    AnswerDue(InvocationHandle),
    /// From now on no dispatch of the invocation may leave: workers no longer recognise repeats of it.
    DispatchWindowEnds(InvocationHandle),
    /// The answer is due to a delivery that joined another one's invocation.
    JoinedAnswerDue(Delivery),
    /// The result of the order is overdue.
    OrderTimeOut(OrderTicket),
}

/// Ordered by time; timers of the same time are due in the order in which they were set.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct ScheduledTimer {
    due: Micros,
    /// Unlike that of any other timer.
    serial: u64,
    timer: Timer,
}

/// Timers by the time at which they are due.
#[derive(Default)]
pub(super) struct TimerQueue {
    heap: BinaryHeap<Reverse<ScheduledTimer>>,
}

impl TimerQueue {
    /// `serial` must be larger than that of any timer set before.
    fn push(&mut self, due: Micros, serial: u64, timer: Timer) {
        self.heap
            .push(Reverse(ScheduledTimer { due, serial, timer }));
    }

    /// When the next timer is due.
    pub(super) fn next_due(&self) -> Option<Micros> {
        self.heap.peek().map(|scheduled| scheduled.0.due)
    }

    /// Takes out the first timer that is due by now.
    fn pop_due(&mut self, now: Micros) -> Option<Timer> {
        self.next_due().filter(|&due| due <= now)?;
        self.heap.pop().map(|scheduled| scheduled.0.timer)
    }
}

impl Router {
    /// Sets a timer.
    pub(super) fn set_timer(&mut self, due: Micros, timer: Timer) {
        let serial = self.next_serial();
        self.timers.push(due, serial, timer);
    }

    /// Handles all timers that are due, also those that are set meanwhile.
    pub(super) fn run_timers(&mut self, out: &mut Vec<Output>) {
        while let Some(timer) = self.timers.pop_due(self.now) {
            self.timer_due(timer, out);
        }
    }

    fn timer_due(&mut self, timer: Timer, out: &mut Vec<Output>) {
        match timer {
            Timer::Module(token) => self.decide(&Event::Timer { token }, out),
            Timer::DispatchTimeOut(ticket) => self.dispatch_timed_out(ticket, out),
            Timer::AnswerDue(handle) => {
                if self.is_current(handle) {
                    self.answer_overdue(handle, out);
                }
            }
            Timer::DispatchWindowEnds(handle) => {
                if self.is_current(handle) {
                    self.dispatch_window_ended(handle, out);
                }
            }
            Timer::JoinedAnswerDue(delivery) => self.joined_answer_overdue(delivery, out),
            Timer::OrderTimeOut(ticket) => {
                if self.orders.contains_key(&ticket) {
                    self.order_ended(ticket, LoadOrderResult::TimedOut, 0, None, out);
                }
            }
        }
    }

    /// Answers an invocation that no dispatch may leave for any more and that has none out: a redelivered one
    /// that is still held must not be sent once the workers no longer recognise it as a repeat.
    fn dispatch_window_ended(&mut self, handle: InvocationHandle, out: &mut Vec<Output>) {
        let invocation = self.invocations.get(handle.inv);
        if invocation.is_some_and(|i| !i.concluded && !i.has_dispatch_out()) {
            self.final_answer(handle.inv, Fate::Errored, Reason::MayHaveRun, out);
        }
    }

    /// Answers a delivery that still waits for the invocation it joined, whose own client has more time: that
    /// invocation goes on and may run.
    fn joined_answer_overdue(&mut self, delivery: Delivery, out: &mut Vec<Output>) {
        if self.claims.waits(delivery) {
            self.claims.let_go(delivery);
            let answer = Answer::bare(Fate::Errored, Reason::Overdue);
            self.answer(
                delivery,
                answer,
                None,
                AnswerSubject::unknown(self.now),
                out,
            );
        }
    }
}
