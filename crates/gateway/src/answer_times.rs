//! How long answers of the AMQP fronts take.

use std::cell::RefCell;

use cedarpulley::interface::Micros;
use hdrhistogram::Histogram;

/// Histograms over all AMQP fronts, in microseconds, each from when a message was taken.
pub struct AnswerTimes {
    /// Until its final answer.
    pub answered: RefCell<Histogram<u64>>,
    /// Until that answer was committed at the broker.
    pub committed: RefCell<Histogram<u64>>,
}

impl AnswerTimes {
    /// A message taken `elapsed` microseconds ago is answered.
    pub fn record_answered(&self, elapsed: Micros) {
        self.answered
            .borrow_mut()
            .saturating_record(elapsed.max(0) as u64);
    }

    /// The answer to a message taken `elapsed` microseconds ago is committed.
    pub fn record_committed(&self, elapsed: Micros) {
        self.committed
            .borrow_mut()
            .saturating_record(elapsed.max(0) as u64);
    }
}

impl Default for AnswerTimes {
    fn default() -> Self {
        // From a microsecond to ten minutes with three digits; these bounds are always valid.
        let times =
            || RefCell::new(Histogram::new_with_bounds(1, 600_000_000, 3).expect("valid bounds"));
        AnswerTimes {
            answered: times(),
            committed: times(),
        }
    }
}
