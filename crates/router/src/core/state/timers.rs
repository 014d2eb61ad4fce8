//! The timer queue of the core, and the serial numbers that order timers of the same time.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use cedarpulley::interface::Micros;
use cedarpulley::table_size::TableSize;

use super::invocation::InvocationHandle;
use crate::{Delivery, LoadOrderTicket, Ticket};

/// Number of timers up to which the queue is never swept.
const MIN_SWEPT_TIMERS: usize = 1_024;

/// What a timer triggers. Timers are not cancelled one by one: when a timer fires, its handler checks whether it still
/// applies, and when the queue has doubled, those that no longer apply are removed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Timer {
    /// A timer that the balancer requested, with its token.
    Balancer(u64),
    /// The timeout of the dispatch has passed.
    DispatchTimeout(Ticket),
    /// The final answer of the invocation is due.
    AnswerDue(InvocationHandle),
    /// No further dispatch of the invocation may be sent, as the workers no longer recognise repeats of it.
    DispatchWindowEnds(InvocationHandle),
    /// The answer is due to a delivery that joined the invocation of another delivery.
    JoinedAnswerDue(Delivery),
    /// The timeout of the load order has passed.
    OrderTimeout(LoadOrderTicket),
}

/// Generates unique serial numbers for timers, load orders and dispatches.
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

/// A timer in the queue. Timers are ordered by time, and timers of the same time by the order in which they were set.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct ScheduledTimer {
    due: Micros,
    serial: u64,
    timer: Timer,
}

/// Queue of timers, ordered by the time at which they are due.
#[derive(Default)]
pub(crate) struct TimerQueue {
    heap: BinaryHeap<Reverse<ScheduledTimer>>,
    /// Number of timers after the last sweep.
    swept_length: usize,
}

impl TimerQueue {
    /// Sets a timer. `serial` must be larger than that of any timer set before.
    pub(crate) fn set(&mut self, due: Micros, serial: u64, timer: Timer) {
        self.heap
            .push(Reverse(ScheduledTimer { due, serial, timer }));
    }

    /// The size of the queue.
    pub(crate) fn size(&self) -> TableSize {
        TableSize {
            name: "router timers",
            entries: self.heap.len(),
            bytes: self.heap.capacity() * size_of::<ScheduledTimer>(),
        }
    }

    /// Whether the queue has doubled since the last sweep, so that timers of what is over may fill it.
    pub(crate) fn is_sweep_due(&self) -> bool {
        self.heap.len() > MIN_SWEPT_TIMERS.max(2 * self.swept_length)
    }

    /// Removes all timers that do not apply any more.
    pub(crate) fn sweep(&mut self, applies: impl Fn(Timer) -> bool) {
        self.heap.retain(|scheduled| applies(scheduled.0.timer));
        self.heap
            .shrink_to(MIN_SWEPT_TIMERS.max(2 * self.heap.len()));
        self.swept_length = self.heap.len();
    }

    /// When the next timer is due.
    pub(crate) fn next_due(&self) -> Option<Micros> {
        self.heap.peek().map(|scheduled| scheduled.0.due)
    }

    /// Removes and returns the first timer, if it is due by now.
    pub(crate) fn pop_due(&mut self, now: Micros) -> Option<Timer> {
        self.next_due().filter(|&due| due <= now)?;
        self.heap.pop().map(|scheduled| scheduled.0.timer)
    }
}
