//! Metering of a router: records usage in the meter and passes its sums to the ledger's thread, the only thread
//! that waits for the disk. Usage whose write is in flight or has failed is kept, and no caller blocks, except in
//! [`Metering::close`].

use std::cell::RefCell;
use std::path::PathBuf;
use std::rc::Rc;
use std::sync::mpsc::{Receiver, SyncSender, sync_channel};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use cedarpulley::interface::{Action, Event, InvocationIndex, LoadOrderResult, Micros};
use cedarpulley_router::FrontIndex;
use cedarpulley_router::admission_control::RejectionReason;
use cedarpulley_router::observer::{Names, RouterObserver, SentAnswer, UsageSource, WorkerUsage};
use cedarpulley_usage_metering::{DispatchUsage, LoadUsage, Meter, Source, UsageDelta};
use cedarpulley_usage_store::{Ledger, StoreError, WriteSchedule};

use crate::file_names::file_name_of;

/// Time limit for the last writes on shutdown.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(5);
/// How often the result of a write is polled on shutdown.
const CLOSE_POLL_INTERVAL: Duration = Duration::from_millis(5);
/// Account name in the ledger for usage whose account index has no name.
const UNKNOWN_ACCOUNT: &str = "(unknown)";

struct MeteringState {
    meter: Meter,
    writing: WriteSchedule,
    accounts: Vec<String>,
    wall_at_zero: Micros,
    /// At most one write is in flight.
    deltas: Option<SyncSender<UsageDelta>>,
    in_flight: bool,
    /// For each delta: written, or returned with the cause of the failure.
    results: Receiver<Result<(), (UsageDelta, String)>>,
    thread: Option<JoinHandle<()>>,
}

/// The metering of one router. Cheap to clone: one clone is registered with the core, another is kept for closing.
#[derive(Clone)]
pub struct Metering(Rc<RefCell<MeteringState>>);

/// Writes each received delta to the ledger; a delta that could not be written is returned with the cause.
fn write_loop(
    file: PathBuf,
    router: String,
    source: Source,
    deltas: Receiver<UsageDelta>,
    results: SyncSender<Result<(), (UsageDelta, String)>>,
) {
    // Used only for its limit on renaming unreadable ledgers.
    let (mut ledger, mut rename_limit) = (None, WriteSchedule::default());
    for delta in deltas {
        let opened = match ledger.take() {
            Some(open) => Ok(open),
            None => Ledger::open(&file),
        };
        let added = opened.and_then(|open| {
            let added = open.add(source, &router, &delta);
            // After a failure the ledger is reopened, as its state in memory may differ from the file.
            ledger = added.is_ok().then_some(open);
            added
        });
        let result = added.map(|_| ()).map_err(|failed| {
            if let StoreError::Unreadable(_) = &failed
                && rename_limit.may_rename_ledger()
            {
                let other = file.with_extension(format!("unreadable-{:032x}", source));
                if std::fs::rename(&file, &other).is_ok() {
                    tracing::error!(other = %other.display(), "an unreadable usage ledger was renamed");
                }
            }
            (delta, failed.to_string())
        });
        if results.send(result).is_err() {
            return;
        }
    }
}

impl Metering {
    /// Starts the ledger's thread. `source`: random, unique to this process; `wall_at_zero`: wall time at the zero of
    /// the router's clock, in microseconds. Fails if the folder cannot be created or the thread cannot start.
    pub fn begin(
        folder: PathBuf,
        name: &str,
        source: Source,
        accounts: Vec<String>,
        wall_at_zero: Micros,
    ) -> std::io::Result<Metering> {
        std::fs::create_dir_all(&folder)?;
        let file = folder.join(format!("{}.ledger", file_name_of(name)));
        let (deltas, received) = sync_channel(1);
        let (result_sender, results) = sync_channel(1);
        let router = name.to_owned();
        let thread = std::thread::Builder::new()
            .name("ledger".into())
            .spawn(move || write_loop(file, router, source, received, result_sender))?;
        Ok(Metering(Rc::new(RefCell::new(MeteringState {
            meter: Meter::default(),
            writing: WriteSchedule::default(),
            accounts,
            wall_at_zero,
            deltas: Some(deltas),
            in_flight: false,
            results,
            thread: Some(thread),
        }))))
    }

    /// Passes the usage recorded so far to the ledger's thread, if a write is due.
    pub fn flush_due(&self, now: Micros) {
        let mut state = self.0.borrow_mut();
        state.collect_result(now);
        if state.writing.is_due(now) {
            state.send();
        }
    }

    /// Writes the remaining usage; returns false if a write failed or the time limit passed.
    pub fn close(&self, now: Micros) -> bool {
        let mut state = self.0.borrow_mut();
        let (deadline, failures) = (Instant::now() + CLOSE_TIMEOUT, state.writing.failures);
        loop {
            state.collect_result(now);
            if !state.in_flight && !state.send() {
                break;
            }
            if Instant::now() >= deadline || state.writing.failures > failures {
                return false;
            }
            std::thread::sleep(CLOSE_POLL_INTERVAL);
        }
        state.deltas = None;
        state.thread.take().is_none_or(|t| t.join().is_ok())
    }
}

impl MeteringState {
    fn collect_result(&mut self, now: Micros) {
        let Ok(result) = self.results.try_recv() else {
            return;
        };
        self.in_flight = false;
        match result {
            Ok(()) => self.writing.on_written(now),
            Err((delta, why)) => {
                self.meter.restore(&delta);
                self.writing.on_failed(now);
                let (failures, left_out) = (self.writing.failures, self.meter.dropped_readings);
                tracing::error!(why, failures, left_out, "writing the usage ledger failed");
            }
        }
    }

    /// Sends a delta unless one is in flight; returns false if there is nothing to send.
    fn send(&mut self) -> bool {
        if self.in_flight {
            return true;
        }
        let delta = self.meter.take_delta();
        let Some(deltas) = self.deltas.as_ref().filter(|_| !delta.is_empty()) else {
            return false;
        };
        match deltas.try_send(delta) {
            Ok(()) => self.in_flight = true,
            Err(e) => {
                let (std::sync::mpsc::TrySendError::Full(delta)
                | std::sync::mpsc::TrySendError::Disconnected(delta)) = e;
                self.meter.restore(&delta);
            }
        }
        true
    }
}

impl RouterObserver for Metering {
    fn decided(&mut self, _: Micros, _: &Event, _: &[Action], _: Names) {}

    fn accepted(&mut self, _: Micros, _: InvocationIndex, _: FrontIndex, _: Option<&str>, _: bool) {
    }

    fn answered(&mut self, _: Micros, _: SentAnswer) {}

    fn rejected(&mut self, _: Micros, _: FrontIndex, _: u32, _: u32, _: RejectionReason) {}

    fn used(&mut self, now: Micros, used: WorkerUsage) {
        let mut state = self.0.borrow_mut();
        let ended_at = state.wall_at_zero + now;
        let account = state.accounts.get(used.account as usize).cloned();
        let account = account.as_deref().unwrap_or(UNKNOWN_ACCOUNT);
        let WorkerUsage {
            worker,
            function,
            took,
            lanes,
            memory_held: totals,
            source,
            copy_mb,
            ..
        } = used;
        let copy_bytes = (copy_mb.max(0.0) * 1e6) as u64;
        match source {
            UsageSource::Dispatch(outcome, copy_status) => {
                state.meter.record_dispatch(DispatchUsage {
                    ended_at,
                    worker,
                    account,
                    function,
                    outcome,
                    copy_status,
                    duration: took,
                    copy_bytes,
                    lanes,
                    totals,
                });
            }
            UsageSource::LoadOrder(result) => {
                state.meter.record_load(LoadUsage {
                    ended_at,
                    worker,
                    account,
                    function,
                    duration: took,
                    copy_bytes,
                    not_started: is_load_not_started(result),
                    totals,
                });
            }
        }
    }
}

/// Whether the worker began no load for an order with this result.
fn is_load_not_started(result: LoadOrderResult) -> bool {
    matches!(
        result,
        LoadOrderResult::Unreachable | LoadOrderResult::NoCapacity | LoadOrderResult::NotSent
    )
}
