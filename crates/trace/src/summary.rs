//! Counts the contents of traces by outcome, trigger type, account and worker, with latencies, load orders and the ten
//! seconds with the most failures. Memory grows with the number of workers and of seconds with a failure, not with the
//! number of invocations.

mod router_positions;
mod table;

use std::collections::{BTreeMap, HashMap};

use cedarpulley::interface::{Action, DispatchOutcome, Event, Micros};
use cedarpulley_router::FinalOutcome;
use hdrhistogram::Histogram;
use serde::Serialize;

use crate::records::{NameKind, Record, RecordedEvent, is_settled};
use crate::start::Source;
use router_positions::RouterPositions;

/// Length of the worst span in seconds; it is searched for in steps of a second.
pub const WORST_SPAN_SECONDS: i64 = 10;
const SECOND: Micros = 1_000_000;

/// Invocations by outcome.
#[derive(Clone, Debug, Default, Serialize, PartialEq, Eq)]
pub struct OutcomeCounts {
    /// Answered by a worker.
    pub succeeded: u64,
    /// Returned to the client without being executed.
    pub throttled: u64,
    /// Ended with an error.
    pub errored: u64,
    /// Rejected by admission control.
    #[serde(rename = "turned_away")]
    pub rejected: u64,
}

impl OutcomeCounts {
    fn add(&mut self, outcome: FinalOutcome) {
        match outcome {
            FinalOutcome::Succeeded => self.succeeded += 1,
            FinalOutcome::Throttled => self.throttled += 1,
            FinalOutcome::Errored => self.errored += 1,
        }
    }

    fn without_success(&self) -> u64 {
        self.throttled + self.errored + self.rejected
    }
}

/// Counts of dispatches and load orders to one worker.
#[derive(Clone, Debug, Default, Serialize, PartialEq, Eq)]
pub struct WorkerCounts {
    /// Dispatches sent.
    pub dispatches: u64,
    /// Dispatches that succeeded.
    pub succeeded: u64,
    /// Dispatches that failed; cancelled dispatches are not counted.
    pub failed: u64,
    /// Load orders.
    pub orders: u64,
}

/// Quantiles of latencies in microseconds.
#[derive(Clone, Debug, Default, Serialize, PartialEq, Eq)]
pub struct LatencyQuantiles {
    /// Number of measured latencies.
    pub count: u64,
    /// Median.
    pub p50_us: u64,
    /// 90th percentile.
    pub p90_us: u64,
    /// 99th percentile.
    pub p99_us: u64,
    /// Longest latency.
    pub max_us: u64,
}

impl LatencyQuantiles {
    fn of(histogram: &Histogram<u64>) -> LatencyQuantiles {
        let at = |quantile| {
            if histogram.is_empty() {
                0
            } else {
                histogram.value_at_quantile(quantile)
            }
        };
        LatencyQuantiles {
            count: histogram.len(),
            p50_us: at(0.5),
            p90_us: at(0.9),
            p99_us: at(0.99),
            max_us: histogram.max(),
        }
    }
}

/// Counts over all files.
#[derive(Clone, Debug, Default, Serialize, PartialEq)]
pub struct Summary {
    /// Router incarnations.
    pub routers: u64,
    /// Sources; a merged file has several.
    pub files: u64,
    /// Invocations that reached the balancer.
    pub invocations: u64,
    /// Events that the balancer handled.
    pub decisions: u64,
    /// Dispatches to workers.
    pub dispatches: u64,
    /// Load orders.
    pub orders: u64,
    /// Dispatches cancelled.
    #[serde(rename = "withdrawn")]
    pub cancelled: u64,
    /// Invocations that were neither dispatched nor answered immediately.
    #[serde(rename = "held")]
    pub queued: u64,
    /// Lost records, as reported by gap records.
    pub lost_records: u64,
    /// Blocks that could not be read.
    pub damaged_blocks: u64,
    /// Final outcomes.
    #[serde(rename = "fates")]
    pub outcomes: OutcomeCounts,
    /// Final outcomes by trigger type.
    pub by_trigger: BTreeMap<String, OutcomeCounts>,
    /// Final outcomes by account.
    pub by_account: BTreeMap<String, OutcomeCounts>,
    /// Answers by the router's reason; the reasons of rejections have the prefix `door: `.
    pub by_reason: BTreeMap<String, u64>,
    /// Dispatches and load orders by worker.
    pub by_worker: BTreeMap<String, WorkerCounts>,
    /// Times from accepting an invocation to its successful answer.
    pub succeeded_in: LatencyQuantiles,
    /// Beginning of the [`WORST_SPAN_SECONDS`] seconds in which the most invocations were answered without success, as
    /// wall clock in seconds since 1970, and the number of these invocations.
    pub worst: Option<(i64, u64)>,
    /// Pairs of routers that had the same fleet position at the same time: each uses the other's part of the slow-start
    /// budgets and shares as its own.
    #[serde(rename = "same_place")]
    pub same_position: Vec<(String, String)>,
    /// Wall clock of the first record, in microseconds since 1970.
    pub from_wall_us: Option<Micros>,
    /// Wall clock of the last record, in microseconds since 1970.
    pub until_wall_us: Option<Micros>,
}

/// Builds one summary from any number of files.
pub struct SummaryBuilder {
    summary: Summary,
    latencies: Histogram<u64>,
    /// Invocations answered without success, by wall clock second.
    failures_by_second: BTreeMap<i64, u64>,
    /// Addresses by source and worker index in the current file.
    workers: HashMap<(u32, u32), String>,
    routers: RouterPositions,
}

impl Default for SummaryBuilder {
    fn default() -> Self {
        SummaryBuilder {
            summary: Summary::default(),
            // Microseconds up to an hour, with three significant digits. These bounds are always valid.
            latencies: Histogram::new_with_bounds(1, 3_600_000_000, 3).expect("valid bounds"),
            failures_by_second: BTreeMap::new(),
            workers: HashMap::new(),
            routers: RouterPositions::default(),
        }
    }
}

/// The name of an index; `u32::MAX` is an index that was unknown to the router.
fn name_of(names: &[String], index: u32) -> String {
    match names.get(index as usize) {
        Some(name) => name.clone(),
        None if index == u32::MAX => "?".into(),
        None => index.to_string(),
    }
}

impl SummaryBuilder {
    /// Begins a file; called before its records.
    pub fn begin_file(&mut self, sources: &[Source]) {
        self.summary.files += sources.len() as u64;
        sources.iter().for_each(|source| self.routers.add(source));
        self.workers.clear();
    }

    /// Counts a block of the current file that could not be read.
    pub fn damaged_block(&mut self) {
        self.summary.damaged_blocks += 1;
    }

    /// Adds a record of the source with this number in the file, with its router time.
    pub fn record(&mut self, source_number: u32, source: &Source, at: Micros, record: &Record) {
        let wall = source.wall(at);
        if !matches!(record, Record::Name { .. }) {
            let summary = &mut self.summary;
            summary.from_wall_us = Some(summary.from_wall_us.map_or(wall, |w| w.min(wall)));
            summary.until_wall_us = Some(summary.until_wall_us.map_or(wall, |w| w.max(wall)));
            self.routers.seen(source, wall);
        }
        match record {
            Record::Name {
                kind: NameKind::Worker,
                index,
                name,
            } => {
                self.workers.insert((source_number, *index), name.clone());
            }
            Record::Name { .. } | Record::Accepted { .. } => {}
            Record::Gap { records, .. } => self.summary.lost_records += records,
            Record::Answered {
                outcome,
                reason,
                trigger,
                account,
                took,
                ..
            } => {
                self.outcome(source, *trigger, *account, |counts| counts.add(*outcome));
                self.reason(format!("{reason:?}"));
                match outcome {
                    FinalOutcome::Succeeded => {
                        self.latencies.saturating_record((*took).max(0) as u64)
                    }
                    _ => self.failure(wall),
                }
            }
            Record::Rejected {
                trigger,
                account,
                reason,
                ..
            } => {
                self.outcome(source, *trigger, *account, |counts| counts.rejected += 1);
                self.reason(format!("door: {reason:?}"));
                self.failure(wall);
            }
            Record::Decided { event, actions } => self.decided(source_number, event, actions),
        }
    }

    fn outcome(
        &mut self,
        source: &Source,
        trigger: u32,
        account: u32,
        count: impl Fn(&mut OutcomeCounts),
    ) {
        let trigger = name_of(&source.start.trigger_names, trigger);
        let account = name_of(&source.start.account_names, account);
        count(&mut self.summary.outcomes);
        count(self.summary.by_trigger.entry(trigger).or_default());
        count(self.summary.by_account.entry(account).or_default());
    }

    fn reason(&mut self, reason: String) {
        *self.summary.by_reason.entry(reason).or_default() += 1;
    }

    fn failure(&mut self, wall: Micros) {
        let second = wall.div_euclid(SECOND);
        *self.failures_by_second.entry(second).or_default() += 1;
    }

    fn worker(&mut self, source_number: u32, index: u32) -> &mut WorkerCounts {
        let name = self.workers.get(&(source_number, index)).cloned();
        let name = name.unwrap_or_else(|| index.to_string());
        self.summary.by_worker.entry(name).or_default()
    }

    fn decided(&mut self, source_number: u32, event: &RecordedEvent, actions: &[Action]) {
        self.summary.decisions += 1;
        match event {
            RecordedEvent::Other(Event::Invocation(arrival)) => {
                self.summary.invocations += 1;
                self.summary.queued += u64::from(!is_settled(arrival.invocation, actions));
            }
            RecordedEvent::Other(Event::DispatchEnded(ended)) => {
                let worker = self.worker(source_number, ended.worker);
                match ended.outcome {
                    DispatchOutcome::Succeeded => worker.succeeded += 1,
                    DispatchOutcome::Cancelled => {}
                    _ => worker.failed += 1,
                }
            }
            _ => {}
        }
        for action in actions {
            match action {
                Action::Dispatch { worker, .. } => {
                    self.summary.dispatches += 1;
                    self.worker(source_number, *worker).dispatches += 1;
                }
                Action::LoadOrder {
                    worker,
                    copies: 1..,
                    ..
                } => {
                    self.summary.orders += 1;
                    self.worker(source_number, *worker).orders += 1;
                }
                Action::Cancel { .. } => self.summary.cancelled += 1,
                _ => {}
            }
        }
    }

    /// The summary of all records so far.
    pub fn finish(self) -> Summary {
        Summary {
            routers: self.routers.count(),
            same_position: self.routers.overlapping(),
            succeeded_in: LatencyQuantiles::of(&self.latencies),
            worst: worst_span(&self.failures_by_second),
            ..self.summary
        }
    }
}

/// The earliest of the spans with the most failures. A span begins with a second in which an invocation failed.
fn worst_span(failures_by_second: &BTreeMap<i64, u64>) -> Option<(i64, u64)> {
    let sum = |from: i64| {
        failures_by_second
            .range(from..from + WORST_SPAN_SECONDS)
            .map(|(_, failures)| failures)
            .sum::<u64>()
    };
    failures_by_second
        .keys()
        .map(|second| (*second, sum(*second)))
        .max_by_key(|(second, failures)| (*failures, -second))
}
