//! Outcomes, latencies and work over time, in bins of equal width. Free of I/O: [`Timeline::record`] takes the records of
//! any number of sources in any order.
//!
//! Mechanism: bins of a second; once there would be more than [`MAX_BINS`], each two become one, as often as needed.
//! So a file of any length has a timeline of the same size, and no record is left out.

use std::collections::BTreeMap;

use cedarpulley::interface::{Action, DispatchOutcome, Event, Micros};
use cedarpulley_router::FinalOutcome;
use hdrhistogram::Histogram;

use crate::records::{Record, RecordedEvent, is_settled};
use crate::start::Source;

/// Finer than this no chart shows.
const MAX_BINS: i128 = 600;
const SECOND: Micros = 1_000_000;

/// Counts of one span of time.
#[derive(Clone, Debug)]
pub struct TimelineBin {
    /// Invocations answered with success.
    pub succeeded: u64,
    /// Invocations given back unexecuted.
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
    /// Invocations neither dispatched nor answered at once.
    pub queued: u64,
    /// Records that gaps report as lost.
    pub lost_records: u64,
    /// Of invocations answered with success, in microseconds; one digit, as a chart shows no more.
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
            // Up to an hour; such bounds are always valid.
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
        // The same bounds on both sides: there is nothing that does not fit.
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

/// A timeline that grows with the records it takes.
#[derive(Debug)]
pub struct Timeline {
    width: Micros,
    /// By number of the bin: its wall clock time over the width.
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
    /// Of one bin, in microseconds.
    pub fn width(&self) -> Micros {
        self.width
    }

    /// All bins from the first to the last, empty ones among them too, each with the wall clock microseconds at which
    /// it begins.
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

    /// How many bins lie between the outermost ones if this one is among them.
    fn span_with(&self, number: i64) -> i128 {
        let first = self.bins.first_key_value().map_or(number, |(n, _)| *n);
        let last = self.bins.last_key_value().map_or(number, |(n, _)| *n);
        i128::from(last.max(number)) - i128::from(first.min(number))
    }

    fn bin(&mut self, wall: Micros) -> &mut TimelineBin {
        while self.span_with(wall.div_euclid(self.width)) >= MAX_BINS {
            self.width = self.width.saturating_mul(2);
            for (number, bin) in std::mem::take(&mut self.bins) {
                self.bins.entry(number.div_euclid(2)).or_default().add(&bin);
            }
        }
        self.bins.entry(wall.div_euclid(self.width)).or_default()
    }

    /// Takes a record of this source, at its router time.
    pub fn record(&mut self, of: &Source, at: Micros, record: &Record) {
        if let Record::Name { .. } = record {
            return;
        }
        let bin = self.bin(of.wall(at));
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
