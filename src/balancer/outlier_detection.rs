//! Outlier detection: which workers fail or stay silent, by trigger type.
//!
//! Passive: it goes by the outcomes of ordinary dispatches. An outlier is passed over, but for a rare probe: an
//! ordinary invocation that may go elsewhere afterwards.

use super::estimates::DISTANT_PAST;
use crate::interface::Micros;

/// A worker is judged by so many last outcomes; few, so that a hang shows at once and is soon forgiven.
const OUTCOME_WINDOW: u32 = 8;
/// Probes of outliers: one in so many dispatches at most.
const PROBE_ONE_IN: i32 = 10;

/// How a worker has answered of late, for one trigger type or for all.
#[derive(Clone)]
struct AnswerHistory {
    /// This router's dispatches in flight.
    in_flight: u32,
    /// Last outcomes, newest in the lowest bit (1: success).
    outcomes: u32,
    /// How many of them count.
    samples: u32,
    /// When the last one came.
    sampled_at: Micros,
    /// While dispatches are in flight: an answer should have come by then.
    response_due: Micros,
    /// No probe before.
    probe_from: Micros,
}

impl Default for AnswerHistory {
    fn default() -> Self {
        AnswerHistory {
            in_flight: 0,
            outcomes: 0,
            samples: 0,
            sampled_at: DISTANT_PAST,
            response_due: DISTANT_PAST,
            probe_from: DISTANT_PAST,
        }
    }
}

impl AnswerHistory {
    fn is_suspect(&self, now: Micros, retention: Micros) -> bool {
        self.in_flight > 0 && now > self.response_due || self.is_failing(now, retention)
    }

    fn is_recent(&self, now: Micros, retention: Micros) -> bool {
        self.samples > 0 && now - self.sampled_at < retention
    }

    fn is_failing(&self, now: Micros, retention: Micros) -> bool {
        self.is_recent(now, retention) && self.outcomes.count_ones() * 2 < self.samples
    }

    fn record(&mut self, now: Micros, retention: Micros, succeeded: bool) {
        if succeeded && self.is_failing(now, retention) || !self.is_recent(now, retention) {
            // An outlier that succeeds starts anew, and so does one long not heard from.
            (self.samples, self.outcomes) = (0, 0);
        }
        self.outcomes = (self.outcomes << 1 | u32::from(succeeded)) & ((1 << OUTCOME_WINDOW) - 1);
        self.samples = (self.samples + 1).min(OUTCOME_WINDOW);
        self.sampled_at = now;
    }
}

/// How workers have answered of late, by trigger type and over all types. Symptom: a worker leaves one type
/// unanswered and serves the others. A type not yet seen there goes by all of them.
#[derive(Default)]
pub(super) struct OutlierDetector {
    trigger_types: usize,
    /// Outcomes count for so long.
    retention: Micros,
    /// For each worker one history a trigger type, then the one over all types.
    histories: Vec<AnswerHistory>,
    /// Dispatches until an outlier may be probed; 0 or less: now.
    dispatches_to_probe: i32,
}

impl OutlierDetector {
    pub(super) fn new(trigger_types: usize, retention: Micros) -> Self {
        OutlierDetector {
            trigger_types,
            retention,
            ..OutlierDetector::default()
        }
    }

    /// Makes room for so many workers.
    pub(super) fn grow(&mut self, workers: usize) {
        let histories = workers * (self.trigger_types + 1);
        self.histories.resize(histories, AnswerHistory::default());
    }

    /// The worker's index was given to another worker; dispatches in flight still count until they end.
    pub(super) fn reset(&mut self, worker: usize) {
        for history in self.all_histories(worker) {
            *history = AnswerHistory {
                in_flight: history.in_flight,
                ..AnswerHistory::default()
            };
        }
    }

    /// The worker's process was restarted: its outcomes count no more.
    pub(super) fn forget_outcomes(&mut self, worker: usize) {
        for history in self.all_histories(worker) {
            history.samples = 0;
        }
    }

    fn all_histories(&mut self, worker: usize) -> &mut [AnswerHistory] {
        let [first, all] = self.slots(worker, 0);
        &mut self.histories[first..=all]
    }

    /// The places of a worker's history for one trigger type and of that over all types.
    fn slots(&self, worker: usize, trigger: usize) -> [usize; 2] {
        let first = worker * (self.trigger_types + 1);
        [first + trigger, first + self.trigger_types]
    }

    /// This router's dispatches in flight at the worker, of all types.
    pub(super) fn in_flight(&self, worker: usize) -> u32 {
        self.histories[self.slots(worker, 0)[1]].in_flight
    }

    /// Symptom: errors, lost or refused connections, timeouts (few successes among the last outcomes), or
    /// dispatches in flight and nothing heard past the time an answer was due (a hang or a silent cut).
    pub(super) fn is_outlier(&self, worker: usize, trigger: usize, now: Micros) -> bool {
        let [of_type, of_all] = self
            .slots(worker, trigger)
            .map(|slot| &self.histories[slot]);
        of_type.is_suspect(now, self.retention)
            || !of_type.is_recent(now, self.retention) && of_all.is_suspect(now, self.retention)
    }

    /// Whether an outlier may be sent a probe.
    pub(super) fn probe_due(&self, worker: usize, trigger: usize, now: Micros) -> bool {
        let [slot, _] = self.slots(worker, trigger);
        self.histories[slot].probe_from <= now && self.dispatches_to_probe <= 0
    }

    /// A probe was sent; the next one goes there at `next_probe_at` at the earliest.
    pub(super) fn probe_sent(&mut self, worker: usize, trigger: usize, next_probe_at: Micros) {
        let [slot, _] = self.slots(worker, trigger);
        self.histories[slot].probe_from = next_probe_at;
        self.dispatches_to_probe = PROBE_ONE_IN;
    }

    /// Symptom: with every worker an outlier nothing is sent, and probes, due by the count of dispatches, never
    /// are. A tick without anything in flight counts as a dispatch.
    pub(super) fn count_stalled_tick(&mut self) {
        self.dispatches_to_probe -= 1;
    }

    /// A dispatch was sent whose answer is due by then.
    pub(super) fn dispatch_sent(&mut self, worker: usize, trigger: usize, response_due: Micros) {
        self.dispatches_to_probe -= 1;
        for slot in self.slots(worker, trigger) {
            let history = &mut self.histories[slot];
            history.response_due = if history.in_flight == 0 {
                response_due
            } else {
                history.response_due.min(response_due)
            };
            history.in_flight += 1;
        }
    }

    /// A dispatch ended.
    pub(super) fn dispatch_ended(&mut self, worker: usize, trigger: usize) {
        for slot in self.slots(worker, trigger) {
            let history = &mut self.histories[slot];
            history.in_flight = history.in_flight.saturating_sub(1);
        }
    }

    /// An outcome that tells something of the worker.
    pub(super) fn record(&mut self, worker: usize, trigger: usize, now: Micros, succeeded: bool) {
        for slot in self.slots(worker, trigger) {
            self.histories[slot].record(now, self.retention, succeeded);
        }
    }

    /// A load order failed. It is of no trigger type, and counts twice in the history over all types.
    pub(super) fn record_order_failure(&mut self, worker: usize, now: Micros) {
        self.record(worker, self.trigger_types, now, false);
    }

    /// The worker has just answered: the next answer is due by then.
    pub(super) fn set_response_due(&mut self, worker: usize, trigger: usize, due: Micros) {
        for slot in self.slots(worker, trigger) {
            self.histories[slot].response_due = due;
        }
    }
}
