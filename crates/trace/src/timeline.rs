//! Outcomes, latencies and work over time, in bins of equal width. Does no I/O: [`Timeline::record`] accepts the
//! records of any number of sources in any order.
//!
//! Mechanism: bins are a second wide at first. When more than [`MAX_BINS`] bins would be needed, pairs of bins are
//! merged, as often as necessary. So a timeline has a bounded size for a file of any length, and counts every record.

use std::collections::BTreeMap;

use cedarpulley::interface::{Action, DispatchOutcome, Event, Micros};
use cedarpulley_router::FinalOutcome;
use hdrhistogram::Histogram;

use crate::records::{Record, RecordedEvent, is_settled};
use crate::start::Source;

/// Largest number of bins; a chart cannot show more detail.
const MAX_BINS: i128 = 600;
const SECOND: Micros = 1_000_000;

/// Counts of one time span.
#[derive(Clone, Debug)]
pub struct TimelineBin {
    /// Invocations answered with success.
    pub succeeded: u64,
    /// Invocations returned to the client without being executed.
    pub throttled: u64,
    /// Invocations ended with an error.
    pub errored: u64,
    /// Invocations rejected by admission control.
    pub rejected: u64,
    /// Invocations accepted.
    pub accepted: u64,
    /// Dispatches to workers.
    pub dispatches: u64,
    /// Dispatches that ended without success.
    pub failed_dispatches: u64,
    /// Load orders.
    pub load_orders: u64,
    /// Invocations that were neither dispatched nor answered immediately.
    pub queued: u64,
    /// Lost records, as reported by gap records.
    pub lost_records: u64,
    /// Latencies in microseconds of invocations answered with success; one significant digit, as a chart shows no more.
    pub latencies: Histogram<u32>,
}

impl Default for TimelineBin {
    fn default() -> Self {
        TimelineBin {
            succeeded: 0,
            throttled: 0,
            errored: 0,
            rejected: 0,
            accepted: 0,
            dispatches: 0,
            failed_dispatches: 0,
            load_orders: 0,
            queued: 0,
            lost_records: 0,
            // Up to an hour. These bounds are always valid.
            latencies: Histogram::new_with_bounds(100, 3_600_000_000, 1).expect("valid bounds"),
        }
    }
}

impl TimelineBin {
    fn add(&mut self, other: &TimelineBin) {
        self.succeeded += other.succeeded;
        self.throttled += other.throttled;
        self.errored += other.errored;
        self.rejected += other.rejected;
        self.accepted += other.accepted;
        self.dispatches += other.dispatches;
        self.failed_dispatches += other.failed_dispatches;
        self.load_orders += other.load_orders;
        self.queued += other.queued;
        self.lost_records += other.lost_records;
        // Cannot fail: both histograms have the same bounds.
        let _ = self.latencies.add(&other.latencies);
    }

    fn answered(&mut self, outcome: FinalOutcome, took: Micros) {
        match outcome {
            FinalOutcome::Succeeded => {
                self.succeeded += 1;
                self.latencies.saturating_record(took.max(0) as u64);
            }
            FinalOutcome::Throttled => self.throttled += 1,
            FinalOutcome::Errored => self.errored += 1,
        }
    }

    fn decided(&mut self, event: &RecordedEvent, actions: &[Action]) {
        match event {
            RecordedEvent::Other(Event::DispatchEnded(ended)) => {
                self.failed_dispatches += u64::from(ended.outcome != DispatchOutcome::Succeeded);
            }
            RecordedEvent::Other(Event::Invocation(arrival)) => {
                self.queued += u64::from(!is_settled(arrival.invocation, actions));
            }
            _ => {}
        }
        for action in actions {
            match action {
                Action::Dispatch { .. } => self.dispatches += 1,
                Action::LoadOrder { copies: 1.., .. } => self.load_orders += 1,
                _ => {}
            }
        }
    }
}

/// A timeline that is built up from records.
#[derive(Debug)]
pub struct Timeline {
    width: Micros,
    /// Bins by number, which is the wall clock divided by the width.
    bins: BTreeMap<i64, TimelineBin>,
}

impl Default for Timeline {
    fn default() -> Self {
        Timeline {
            width: SECOND,
            bins: BTreeMap::new(),
        }
    }
}

impl Timeline {
    /// Width of a bin in microseconds.
    pub fn width(&self) -> Micros {
        self.width
    }

    /// All bins from the first to the last, including empty ones, each with the wall clock in microseconds at which it
    /// begins.
    pub fn bins(&self) -> Vec<(Micros, TimelineBin)> {
        let (Some((first, _)), Some((last, _))) =
            (self.bins.first_key_value(), self.bins.last_key_value())
        else {
            return Vec::new();
        };
        (*first..=*last)
            .map(|number| {
                let bin = self.bins.get(&number).cloned().unwrap_or_default();
                (number.saturating_mul(self.width), bin)
            })
            .collect()
    }

    /// Difference between the highest and the lowest bin number if a bin with this number is added.
    fn span_with(&self, number: i64) -> i128 {
        let first = self.bins.first_key_value().map_or(number, |(n, _)| *n);
        let last = self.bins.last_key_value().map_or(number, |(n, _)| *n);
        i128::from(last.max(number)) - i128::from(first.min(number))
    }

    /// The bin of this wall clock; widens all bins if there would be too many.
    fn bin(&mut self, wall: Micros) -> &mut TimelineBin {
        while self.span_with(wall.div_euclid(self.width)) >= MAX_BINS {
            self.width = self.width.saturating_mul(2);
            for (number, bin) in std::mem::take(&mut self.bins) {
                self.bins.entry(number.div_euclid(2)).or_default().add(&bin);
            }
        }
        self.bins.entry(wall.div_euclid(self.width)).or_default()
    }

    /// Adds a record of this source with its router time.
    pub fn record(&mut self, source: &Source, at: Micros, record: &Record) {
        if let Record::Name { .. } = record {
            return;
        }
        let bin = self.bin(source.wall(at));
        match record {
            Record::Name { .. } => {}
            Record::Accepted { .. } => bin.accepted += 1,
            Record::Gap { records, .. } => bin.lost_records += records,
            Record::Rejected { .. } => bin.rejected += 1,
            Record::Answered { outcome, took, .. } => bin.answered(*outcome, *took),
            Record::Decided { event, actions } => bin.decided(event, actions),
        }
    }
}
