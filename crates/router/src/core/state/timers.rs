//! The one timer queue of the core, and the serial numbers that order its timers.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use cedarpulley::interface::Micros;

use super::invocation::InvocationHandle;
use crate::{Delivery, OrderTicket, Ticket};

/// What a timer waits for. Timers are not cancelled: what has ended in the meantime is recognised when they fire.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Timer {
    /// The decision module requested it, with this token.
    Balancer(u64),
    /// The dispatch has its timeout.
    DispatchTimeout(Ticket),
    /// The invocation's final answer is due.
    AnswerDue(InvocationHandle),
    /// From now on no dispatch of the invocation may be sent: workers no longer recognise repeats of it.
    DispatchWindowEnds(InvocationHandle),
    /// The answer is due to a delivery that joined another one's invocation.
    JoinedAnswerDue(Delivery),
    /// The result of the load order is overdue.
    OrderTimeout(OrderTicket),
}

/// Numbers of timers, load orders and dispatches: no two are alike.
#[derive(Debug, Default)]
pub(crate) struct SerialNumbers {
    last: u64,
}

impl SerialNumbers {
    /// The next number.
    pub(crate) fn next(&mut self) -> u64 {
        self.last += 1;
        self.last
    }
}

/// Ordered by time; timers of the same time fire in the order in which they were set.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct ScheduledTimer {
    due: Micros,
    serial: u64,
    timer: Timer,
}

/// Timers by the time at which they are due.
#[derive(Default)]
pub(crate) struct TimerQueue {
    heap: BinaryHeap<Reverse<ScheduledTimer>>,
}

impl TimerQueue {
    /// Sets a timer. `serial` must be larger than that of any timer set before.
    pub(crate) fn set(&mut self, due: Micros, serial: u64, timer: Timer) {
        self.heap
            .push(Reverse(ScheduledTimer { due, serial, timer }));
    }

    /// When the next timer is due.
    pub(crate) fn next_due(&self) -> Option<Micros> {
        self.heap.peek().map(|scheduled| scheduled.0.due)
    }

    /// Takes out the first timer that is due by now.
    pub(crate) fn pop_due(&mut self, now: Micros) -> Option<Timer> {
        self.next_due().filter(|&due| due <= now)?;
        self.heap.pop().map(|scheduled| scheduled.0.timer)
    }
}
