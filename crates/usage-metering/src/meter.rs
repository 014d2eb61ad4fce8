//! What each dispatch and each load order costs whom. [`Meter`] is told of each that ends, with the totals that the
//! worker reports, and gives out what is new since the last time.
//!
//! How it works:
//! 1. A worker reports, in each response, the totals of its present incarnation for that account and function. Of two
//!    such readings the larger contains the other, whichever router read it and when: a lost response or a killed
//!    router loses nothing that a later reading contains, and routers that share nothing count nothing twice.
//! 2. The worker divides a copy's memory while it runs among the invocations that it runs at once. A load is charged
//!    whole to whoever caused it; those that waited for it are shown as sharing it and pay nothing. Idle memory is
//!    charged to whoever uses the copy next.
//! 3. A dispatch that may have run, but was not reported on, is uncertain: it is charged its part of a copy from its
//!    sending until it ended here. Once the same incarnation of that worker reports on that account and function
//!    again, its totals contain the dispatch, and the uncertain usage is settled. It stays uncertain if the worker
//!    next reports in another incarnation, or never.
//! 4. What certainly did not run costs nothing, and is counted as such.

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;

use cedarpulley::interface::{CopyStatus, DispatchOutcome, Micros, WorkerIndex};

use crate::readings::Readings;
use crate::usage::{MICROS_PER_HOUR, Usage, UsageByKey, UsageKey, UsageKind};

/// Workers' lines with uncertain usage that may still be settled; what comes beyond stays uncertain.
const MAX_UNSETTLED: usize = 100_000;

/// Totals of a worker's present incarnation for one account and function, in byte-microseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct MemoryTotals {
    /// The incarnation: drawn at random when the worker's process starts.
    pub incarnation: u64,
    /// Memory of copies while they ran.
    pub running: u128,
    /// Memory of copies while they loaded.
    pub loading: u128,
    /// Memory of copies between two uses.
    pub idle: u128,
}

/// A dispatch that has ended.
#[derive(Clone, Copy, Debug)]
pub struct DispatchUsage<'a> {
    /// When it ended, in microseconds since 1970.
    pub ended_at: Micros,
    /// The worker it went to.
    pub worker: WorkerIndex,
    /// Name of the account.
    pub account: &'a str,
    /// Name of the function.
    pub function: &'a str,
    /// How it ended.
    pub outcome: DispatchOutcome,
    /// What the response says of the copy that served it.
    pub copy_status: CopyStatus,
    /// Time since it was sent.
    pub took: Micros,
    /// Size of a copy in bytes, as the client states it.
    pub copy_bytes: u64,
    /// Invocations that one copy runs at a time.
    pub lanes: u32,
    /// The totals that the worker reports, if there was a response with them.
    pub totals: Option<MemoryTotals>,
}

/// An order to load copies that has ended.
#[derive(Clone, Copy, Debug)]
pub struct LoadUsage<'a> {
    /// When it ended, in microseconds since 1970.
    pub ended_at: Micros,
    /// The worker it went to.
    pub worker: WorkerIndex,
    /// Name of the account whose invocation called for it.
    pub account: &'a str,
    /// Name of the function.
    pub function: &'a str,
    /// Time since it was sent.
    pub took: Micros,
    /// Size of a copy in bytes, as the client states it.
    pub copy_bytes: u64,
    /// No load was started: the worker could not be reached, or had no capacity.
    pub not_started: bool,
    /// The totals that the worker reports, if there was a response with them.
    pub totals: Option<MemoryTotals>,
}

/// The usage that is new since it was last taken out.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct UsageDelta {
    /// What only this router can say: uncertain and settled usage, and the counts.
    pub sums: UsageByKey,
    /// What workers report.
    pub readings: Readings,
}

impl UsageDelta {
    /// Nothing is new.
    pub fn is_empty(&self) -> bool {
        self.sums.is_empty() && self.readings.0.is_empty()
    }
}

/// Whose usage of which worker.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Line {
    worker: WorkerIndex,
    account: Arc<str>,
    function: Arc<str>,
}

impl Line {
    fn new(worker: WorkerIndex, account: &str, function: &str) -> Self {
        Line {
            worker,
            account: Arc::from(account),
            function: Arc::from(function),
        }
    }

    fn key(&self, hour: u32, kind: UsageKind) -> UsageKey {
        UsageKey {
            hour,
            account: self.account.clone(),
            function: self.function.clone(),
            kind,
        }
    }
}

/// The uncertain usage of a line that may still be settled.
#[derive(Debug)]
struct Unsettled {
    /// The incarnation that the worker was known to have; absent if it had not reported any.
    incarnation: Option<u64>,
    /// By the hour in which it was counted.
    by_hour: BTreeMap<u32, Usage>,
}

impl Unsettled {
    fn new(incarnation: Option<u64>) -> Self {
        Unsettled {
            incarnation,
            by_hour: BTreeMap::new(),
        }
    }
}

/// Meters the dispatches and load orders of one router.
#[derive(Debug, Default)]
pub struct Meter {
    /// Number of readings that were dropped for lack of space.
    pub dropped_readings: u64,
    /// What is new since it was last taken out.
    delta: UsageDelta,
    /// The incarnation that each worker reported last.
    incarnations: HashMap<WorkerIndex, u64>,
    unsettled: HashMap<Line, Unsettled>,
}

fn byte_microseconds(bytes: u64, time: Micros) -> u128 {
    u128::from(bytes) * time.max(0) as u128
}

fn hour_of(wall: Micros) -> u32 {
    u32::try_from(wall.div_euclid(MICROS_PER_HOUR)).unwrap_or(0)
}

impl Meter {
    /// Records a dispatch that has ended.
    pub fn record_dispatch(&mut self, dispatch: DispatchUsage) {
        let line = Line::new(dispatch.worker, dispatch.account, dispatch.function);
        let hour = hour_of(dispatch.ended_at);
        match dispatch.totals {
            Some(totals) => {
                self.record_totals(hour, &line, totals);
                // A repeat that the worker dropped ran on no copy.
                let kind = if dispatch.copy_status == CopyStatus::Unreported {
                    UsageKind::Nothing
                } else {
                    UsageKind::Running
                };
                self.count(hour, &line, kind);
                if dispatch.copy_status == CopyStatus::LoadAwaited {
                    self.count(hour, &line, UsageKind::Shared);
                }
            }
            None if dispatch.outcome.not_executed() => self.count(hour, &line, UsageKind::Nothing),
            None => {
                let bytes = dispatch.copy_bytes / u64::from(dispatch.lanes.max(1));
                self.record_uncertain(hour, line, byte_microseconds(bytes, dispatch.took));
            }
        }
    }

    /// Records an order to load that has ended.
    pub fn record_load(&mut self, load: LoadUsage) {
        let line = Line::new(load.worker, load.account, load.function);
        let hour = hour_of(load.ended_at);
        match load.totals {
            Some(totals) => self.record_totals(hour, &line, totals),
            None if load.not_started => {}
            None => {
                let byte_us = byte_microseconds(load.copy_bytes, load.took);
                self.record_uncertain(hour, line, byte_us);
            }
        }
    }

    /// Takes out what is new since the last time.
    pub fn take_delta(&mut self) -> UsageDelta {
        std::mem::take(&mut self.delta)
    }

    /// Takes back what was taken out but could not be stored.
    pub fn restore(&mut self, delta: &UsageDelta) {
        self.delta.sums.add_all(&delta.sums);
        // One by one, for their bound. Symptom: with a disk that fails for days, the lines of each part that comes
        // back are added to those of the others.
        for ((incarnation, key), total) in &delta.readings.0 {
            self.record_reading(*incarnation, key.clone(), *total);
        }
    }

    fn record_totals(&mut self, hour: u32, line: &Line, totals: MemoryTotals) {
        self.incarnations.insert(line.worker, totals.incarnation);
        let by_kind = [
            (UsageKind::Running, totals.running),
            (UsageKind::Loading, totals.loading),
            (UsageKind::Idle, totals.idle),
        ];
        for (kind, total) in by_kind.into_iter().filter(|(_, total)| *total > 0) {
            self.record_reading(totals.incarnation, line.key(hour, kind), total);
        }
        // Symptom: a worker that was silent for a while, or whose response was lost, is charged for twice.
        if let Some(unsettled) = self.unsettled.remove(line)
            && unsettled.incarnation == Some(totals.incarnation)
        {
            for (hour, sum) in unsettled.by_hour {
                self.delta.sums.add(line.key(hour, UsageKind::Settled), sum);
            }
        }
    }

    fn record_reading(&mut self, incarnation: u64, key: UsageKey, total: u128) {
        let recorded = self.delta.readings.record(incarnation, key, total);
        self.dropped_readings += u64::from(!recorded);
    }

    fn record_uncertain(&mut self, hour: u32, line: Line, byte_us: u128) {
        let sum = Usage { byte_us, count: 1 };
        self.delta
            .sums
            .add(line.key(hour, UsageKind::Uncertain), sum);
        if self.unsettled.len() >= MAX_UNSETTLED && !self.unsettled.contains_key(&line) {
            return;
        }
        let incarnation = self.incarnations.get(&line.worker).copied();
        let unsettled = self
            .unsettled
            .entry(line)
            .or_insert_with(|| Unsettled::new(incarnation));
        if unsettled.incarnation != incarnation {
            // The usage of the earlier incarnation stays uncertain.
            *unsettled = Unsettled::new(incarnation);
        }
        unsettled.by_hour.entry(hour).or_default().add(sum);
    }

    fn count(&mut self, hour: u32, line: &Line, kind: UsageKind) {
        let sum = Usage {
            byte_us: 0,
            count: 1,
        };
        self.delta.sums.add(line.key(hour, kind), sum);
    }
}
