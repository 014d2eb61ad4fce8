//! Latency histograms of the AMQP fronts.

use std::cell::RefCell;

use cedarpulley::interface::Micros;
use hdrhistogram::Histogram;

/// Histograms over all AMQP fronts, in microseconds since a message was received.
pub struct AnswerTimes {
    /// Time until the final answer.
    pub answered: RefCell<Histogram<u64>>,
    /// Time until the broker committed the answer.
    pub committed: RefCell<Histogram<u64>>,
}

impl AnswerTimes {
    /// Records the final answer to a message received `elapsed` microseconds ago.
    pub fn record_answered(&self, elapsed: Micros) {
        self.answered
            .borrow_mut()
            .saturating_record(elapsed.max(0) as u64);
    }

    /// Records the commit of the answer to a message received `elapsed` microseconds ago.
    pub fn record_committed(&self, elapsed: Micros) {
        self.committed
            .borrow_mut()
            .saturating_record(elapsed.max(0) as u64);
    }
}

impl Default for AnswerTimes {
    fn default() -> Self {
        // 1 microsecond to 10 minutes with 3 significant digits; these bounds are always valid.
        let times =
            || RefCell::new(Histogram::new_with_bounds(1, 600_000_000, 3).expect("valid bounds"));
        AnswerTimes {
            answered: times(),
            committed: times(),
        }
    }
}
