//! Outlier detection: finds the workers that fail or stay silent, for each trigger type.
//!
//! Detection is passive: it uses the outcomes of ordinary dispatches. An outlier receives no invocations except rare
//! probes, which are ordinary invocations that may be retried elsewhere.

use super::estimates::DISTANT_PAST;
use crate::interface::Micros;

/// Number of most recent outcomes that are evaluated. It is small so that a hanging worker is detected quickly and
/// readmitted soon after it recovers.
const OUTCOME_WINDOW: u32 = 8;
/// At most one in this many dispatches is a probe of an outlier.
const PROBE_ONE_IN: i32 = 10;

/// The recent outcomes of a worker, for one trigger type or for all types.
#[derive(Clone)]
struct AnswerHistory {
    /// This router's dispatches in flight.
    in_flight: u32,
    /// The last outcomes, one bit each, the newest in the lowest bit (1: success).
    outcomes: u32,
    /// Number of valid bits in `outcomes`.
    samples: u32,
    /// When the last outcome was recorded.
    sampled_at: Micros,
    /// While dispatches are in flight, the time by which an answer is expected.
    response_due: Micros,
    /// The earliest time of the next probe.
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
    /// Whether an answer is overdue or the worker is failing.
    fn is_suspect(&self, now: Micros, retention: Micros) -> bool {
        self.in_flight > 0 && now > self.response_due || self.is_failing(now, retention)
    }

    /// Whether there are outcomes and the last one is not too old to count.
    fn is_recent(&self, now: Micros, retention: Micros) -> bool {
        self.samples > 0 && now - self.sampled_at < retention
    }

    /// Whether fewer than half of the recent outcomes are successes.
    fn is_failing(&self, now: Micros, retention: Micros) -> bool {
        self.is_recent(now, retention) && self.outcomes.count_ones() * 2 < self.samples
    }

    /// Adds an outcome.
    fn record(&mut self, now: Micros, retention: Micros, succeeded: bool) {
        if succeeded && self.is_failing(now, retention) || !self.is_recent(now, retention) {
            // The history starts again when an outlier succeeds, or when the earlier outcomes are too old to count.
            (self.samples, self.outcomes) = (0, 0);
        }
        self.outcomes = (self.outcomes << 1 | u32::from(succeeded)) & ((1 << OUTCOME_WINDOW) - 1);
        self.samples = (self.samples + 1).min(OUTCOME_WINDOW);
        self.sampled_at = now;
    }
}

/// The recent outcomes of all workers, by trigger type and over all types. Trigger types are kept apart because a
/// worker may fail to answer one type while it serves the others. For a type without recent outcomes at a worker, the
/// history over all types is used.
#[derive(Default)]
pub(super) struct OutlierDetector {
    trigger_types: usize,
    /// How long outcomes count.
    retention: Micros,
    /// For each worker, one history for each trigger type, followed by the history over all types.
    histories: Vec<AnswerHistory>,
    /// Number of dispatches until an outlier may be probed; a probe is allowed at 0 or less.
    dispatches_to_probe: i32,
}

impl OutlierDetector {
    /// Creates a detector without workers.
    pub(super) fn new(trigger_types: usize, retention: Micros) -> Self {
        OutlierDetector {
            trigger_types,
            retention,
            ..OutlierDetector::default()
        }
    }

    /// Extends the histories to this number of workers.
    pub(super) fn grow(&mut self, workers: usize) {
        let histories = workers * (self.trigger_types + 1);
        self.histories.resize(histories, AnswerHistory::default());
    }

    /// Drops the histories of a worker whose index has been given to another worker. Dispatches in flight still count
    /// until they end.
    pub(super) fn reset(&mut self, worker: usize) {
        for history in self.all_histories(worker) {
            *history = AnswerHistory {
                in_flight: history.in_flight,
                ..AnswerHistory::default()
            };
        }
    }

    /// Drops the outcomes of a worker whose process has been restarted.
    pub(super) fn forget_outcomes(&mut self, worker: usize) {
        for history in self.all_histories(worker) {
            history.samples = 0;
        }
    }

    /// The histories of a worker: one for each trigger type and the one over all types.
    fn all_histories(&mut self, worker: usize) -> &mut [AnswerHistory] {
        let [first, all] = self.slots(worker, 0);
        &mut self.histories[first..=all]
    }

    /// The indices in `histories` of a worker's history for one trigger type and of its history over all types.
    fn slots(&self, worker: usize, trigger: usize) -> [usize; 2] {
        let first = worker * (self.trigger_types + 1);
        [first + trigger, first + self.trigger_types]
    }

    /// This router's dispatches in flight at the worker, of all types.
    pub(super) fn in_flight(&self, worker: usize) -> u32 {
        self.histories[self.slots(worker, 0)[1]].in_flight
    }

    /// Whether the worker is an outlier for this trigger type: there are few successes among its last outcomes
    /// (errors, lost or refused connections, timeouts), or dispatches are in flight and no answer arrived by the time
    /// it was due (a hanging worker or a network cut without an error).
    pub(super) fn is_outlier(&self, worker: usize, trigger: usize, now: Micros) -> bool {
        let [type_history, overall_history] = self
            .slots(worker, trigger)
            .map(|slot| &self.histories[slot]);
        type_history.is_suspect(now, self.retention)
            || !type_history.is_recent(now, self.retention)
                && overall_history.is_suspect(now, self.retention)
    }

    /// Whether an outlier may be sent a probe.
    pub(super) fn probe_due(&self, worker: usize, trigger: usize, now: Micros) -> bool {
        let [slot, _] = self.slots(worker, trigger);
        self.histories[slot].probe_from <= now && self.dispatches_to_probe <= 0
    }

    /// Records that a probe was sent to the worker; the next one is sent at `next_probe_at` or later.
    pub(super) fn probe_sent(&mut self, worker: usize, trigger: usize, next_probe_at: Micros) {
        let [slot, _] = self.slots(worker, trigger);
        self.histories[slot].probe_from = next_probe_at;
        self.dispatches_to_probe = PROBE_ONE_IN;
    }

    /// Counts a tick without any dispatch in flight as a dispatch. Probes become due by the count of dispatches, so
    /// without this no probe would ever be sent once every worker is an outlier.
    pub(super) fn count_stalled_tick(&mut self) {
        self.dispatches_to_probe -= 1;
    }

    /// Records that a dispatch was sent, with its answer due at `response_due`.
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

    /// Records that a dispatch ended.
    pub(super) fn dispatch_ended(&mut self, worker: usize, trigger: usize) {
        for slot in self.slots(worker, trigger) {
            let history = &mut self.histories[slot];
            history.in_flight = history.in_flight.saturating_sub(1);
        }
    }

    /// Records an outcome that is evidence for or against the worker.
    pub(super) fn record(&mut self, worker: usize, trigger: usize, now: Micros, succeeded: bool) {
        for slot in self.slots(worker, trigger) {
            self.histories[slot].record(now, self.retention, succeeded);
        }
    }

    /// Records a failed load order. It has no trigger type, and counts twice in the history over all types.
    pub(super) fn record_order_failure(&mut self, worker: usize, now: Micros) {
        self.record(worker, self.trigger_types, now, false);
    }

    /// Records that the worker has just answered and that its next answer is due at `due`.
    pub(super) fn set_response_due(&mut self, worker: usize, trigger: usize, due: Micros) {
        for slot in self.slots(worker, trigger) {
            self.histories[slot].response_due = due;
        }
    }
}
