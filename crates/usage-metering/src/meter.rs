//! Charges each dispatch and each load order to an account. The caller passes every dispatch and load order that has
//! ended to [`Meter`], with the totals that the worker reported, and regularly takes out the new usage.
//!
//! Rules:
//! 1. Each response of a worker contains the totals of the worker's current incarnation for that account and function.
//!    Totals only grow, so the larger of two readings includes the smaller one, whichever routers read them and when. A
//!    later reading therefore covers a lost response or a killed router, and routers that share no state do not count
//!    usage twice.
//! 2. The worker divides the memory of a running copy among the invocations that the copy runs at the same time. A load
//!    is charged completely to the account that caused it; invocations that waited for the load are counted as sharing
//!    it and are not charged. Idle memory is charged to the account that uses the copy next.
//! 3. A dispatch that may have run, but whose usage no worker reported, is uncertain: it is charged with its share of
//!    a copy from when it was sent until it ended at this router. When the same incarnation of that worker next
//!    reports on that account and function, its totals include the dispatch, and the uncertain usage is settled. It
//!    remains uncertain if the worker next reports in another incarnation, or never. The same applies to load orders,
//!    which are charged with one whole copy.
//! 4. A dispatch that certainly did not run is not charged, and is counted as such.

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;

use cedarpulley::interface::{CopyStatus, DispatchOutcome, Micros, WorkerIndex};

use crate::readings::Readings;
use crate::usage::{MICROS_PER_HOUR, Usage, UsageByKey, UsageKey, UsageKind};

/// Largest number of combinations of worker, account and function with uncertain usage that can still be settled. The
/// uncertain usage of further combinations remains uncertain.
const MAX_UNSETTLED: usize = 100_000;

/// Totals of a worker's current incarnation for one account and function, in byte-microseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct MemoryTotals {
    /// The incarnation of the worker's process: a random number, chosen when the process starts.
    pub incarnation: u64,
    /// Memory of copies while they ran.
    pub running: u128,
    /// Memory of copies while they loaded.
    pub loading: u128,
    /// Memory of copies while they were idle between two uses.
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
    /// The state of the copy that served it, as the response states it.
    pub copy_status: CopyStatus,
    /// Time from sending to its end, in microseconds.
    pub duration: Micros,
    /// Size of a copy in bytes, as the client states it.
    pub copy_bytes: u64,
    /// Number of invocations that one copy runs at a time.
    pub lanes: u32,
    /// The totals that the worker reports, if there was a response with them.
    pub totals: Option<MemoryTotals>,
}

/// A load order that has ended.
#[derive(Clone, Copy, Debug)]
pub struct LoadUsage<'a> {
    /// When it ended, in microseconds since 1970.
    pub ended_at: Micros,
    /// The worker it went to.
    pub worker: WorkerIndex,
    /// Name of the account whose invocation caused the order.
    pub account: &'a str,
    /// Name of the function.
    pub function: &'a str,
    /// Time from sending to its end, in microseconds.
    pub duration: Micros,
    /// Size of a copy in bytes, as the client states it.
    pub copy_bytes: u64,
    /// Whether no load was started, because the worker was unreachable or had no capacity.
    pub not_started: bool,
    /// The totals that the worker reports, if there was a response with them.
    pub totals: Option<MemoryTotals>,
}

/// The usage that was recorded since the previous delta.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct UsageDelta {
    /// Usage that only this router can measure: uncertain and settled usage, and counts.
    pub sums: UsageByKey,
    /// Totals that workers reported.
    pub readings: Readings,
}

impl UsageDelta {
    /// Whether there is no new usage.
    pub fn is_empty(&self) -> bool {
        self.sums.is_empty() && self.readings.0.is_empty()
    }
}

/// Identifies the usage of one worker by one account for one function.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct WorkerUsageKey {
    worker: WorkerIndex,
    account: Arc<str>,
    function: Arc<str>,
}

impl WorkerUsageKey {
    fn new(worker: WorkerIndex, account: &str, function: &str) -> Self {
        WorkerUsageKey {
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

/// Uncertain usage that can still be settled, for one [`WorkerUsageKey`].
#[derive(Debug)]
struct Unsettled {
    /// The worker's incarnation when the usage was recorded; `None` if the worker had not reported any.
    incarnation: Option<u64>,
    /// The usage by the hour in which it was recorded.
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
    /// Number of readings that were dropped because the limit on their number was reached.
    pub dropped_readings: u64,
    /// The usage since the previous call of [`Meter::take_delta`].
    delta: UsageDelta,
    /// The incarnation that each worker reported last.
    incarnations: HashMap<WorkerIndex, u64>,
    /// Uncertain usage that can still be settled.
    unsettled: HashMap<WorkerUsageKey, Unsettled>,
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
        let worker_key = WorkerUsageKey::new(dispatch.worker, dispatch.account, dispatch.function);
        let hour = hour_of(dispatch.ended_at);
        match dispatch.totals {
            Some(totals) => {
                self.record_totals(hour, &worker_key, totals);
                // Totals without a copy status mean that the worker dropped a repeat, which ran on no copy.
                let kind = if dispatch.copy_status == CopyStatus::Unreported {
                    UsageKind::Nothing
                } else {
                    UsageKind::Running
                };
                self.count(hour, &worker_key, kind);
                if dispatch.copy_status == CopyStatus::LoadAwaited {
                    self.count(hour, &worker_key, UsageKind::Shared);
                }
            }
            None if dispatch.outcome.not_executed() => {
                self.count(hour, &worker_key, UsageKind::Nothing)
            }
            None => {
                let bytes = dispatch.copy_bytes / u64::from(dispatch.lanes.max(1));
                self.record_uncertain(
                    hour,
                    worker_key,
                    byte_microseconds(bytes, dispatch.duration),
                );
            }
        }
    }

    /// Records a load order that has ended.
    pub fn record_load(&mut self, load: LoadUsage) {
        let worker_key = WorkerUsageKey::new(load.worker, load.account, load.function);
        let hour = hour_of(load.ended_at);
        match load.totals {
            Some(totals) => self.record_totals(hour, &worker_key, totals),
            None if load.not_started => {}
            None => {
                let byte_us = byte_microseconds(load.copy_bytes, load.duration);
                self.record_uncertain(hour, worker_key, byte_us);
            }
        }
    }

    /// Returns the usage since the previous call, and removes it from the meter.
    pub fn take_delta(&mut self) -> UsageDelta {
        std::mem::take(&mut self.delta)
    }

    /// Adds a delta back that could not be stored.
    pub fn restore(&mut self, delta: &UsageDelta) {
        self.delta.sums.add_all(&delta.sums);
        // Added one by one so that the limit on their number applies. Without this, the readings of all restored deltas
        // would accumulate without a limit while the disk fails for days.
        for ((incarnation, key), total) in &delta.readings.0 {
            self.record_reading(*incarnation, key.clone(), *total);
        }
    }

    fn record_totals(&mut self, hour: u32, worker_key: &WorkerUsageKey, totals: MemoryTotals) {
        self.incarnations
            .insert(worker_key.worker, totals.incarnation);
        let by_kind = [
            (UsageKind::Running, totals.running),
            (UsageKind::Loading, totals.loading),
            (UsageKind::Idle, totals.idle),
        ];
        for (kind, total) in by_kind.into_iter().filter(|(_, total)| *total > 0) {
            self.record_reading(totals.incarnation, worker_key.key(hour, kind), total);
        }
        // Without this, usage would be charged twice after a worker was silent for a while or a response was lost: as
        // uncertain usage, and as part of the reported totals.
        if let Some(unsettled) = self.unsettled.remove(worker_key)
            && unsettled.incarnation == Some(totals.incarnation)
        {
            for (hour, sum) in unsettled.by_hour {
                self.delta
                    .sums
                    .add(worker_key.key(hour, UsageKind::Settled), sum);
            }
        }
    }

    fn record_reading(&mut self, incarnation: u64, key: UsageKey, total: u128) {
        let recorded = self.delta.readings.record(incarnation, key, total);
        self.dropped_readings += u64::from(!recorded);
    }

    fn record_uncertain(&mut self, hour: u32, worker_key: WorkerUsageKey, byte_us: u128) {
        let sum = Usage { byte_us, count: 1 };
        self.delta
            .sums
            .add(worker_key.key(hour, UsageKind::Uncertain), sum);
        if self.unsettled.len() >= MAX_UNSETTLED && !self.unsettled.contains_key(&worker_key) {
            return;
        }
        let incarnation = self.incarnations.get(&worker_key.worker).copied();
        let unsettled = self
            .unsettled
            .entry(worker_key)
            .or_insert_with(|| Unsettled::new(incarnation));
        if unsettled.incarnation != incarnation {
            // The usage of the earlier incarnation remains uncertain.
            *unsettled = Unsettled::new(incarnation);
        }
        unsettled.by_hour.entry(hour).or_default().add(sum);
    }

    fn count(&mut self, hour: u32, worker_key: &WorkerUsageKey, kind: UsageKind) {
        let sum = Usage {
            byte_us: 0,
            count: 1,
        };
        self.delta.sums.add(worker_key.key(hour, kind), sum);
    }
}
