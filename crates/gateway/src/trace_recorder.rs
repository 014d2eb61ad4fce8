//! Records a router's trace: collects the core's events in blocks, and passes complete blocks to the writer's
//! thread. Recording never waits: a block that does not fit the queue is dropped, and a gap with the number of lost
//! records is recorded in its place.

use std::cell::RefCell;
use std::path::PathBuf;
use std::rc::Rc;
use std::sync::mpsc::{SyncSender, TrySendError, sync_channel};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use cedarpulley::ids::fingerprint;
use cedarpulley::interface::{Action, Event, InvocationIndex, Micros};
use cedarpulley_router::FrontIndex;
use cedarpulley_router::admission_control::RejectionReason;
use cedarpulley_router::observer::{Names, RouterObserver, SentAnswer, WorkerUsage};
use cedarpulley_trace::blocks::{BlockBuilder, visit_named_indices};
use cedarpulley_trace::records::{NameKind, Record};
use cedarpulley_trace::retention::RetentionLimits;
use cedarpulley_trace::start::StartRecord;
use cedarpulley_trace::writer::{FileSeries, NameLock, WriterMessage, run_writer};

use crate::file_names::file_name_of;

/// Limit on blocks, of about 128 KB each, that wait for the writer.
const MAX_QUEUED_BLOCKS: usize = 32;
/// Age at which a block is closed, so that a killed router loses few records. In microseconds.
const MAX_BLOCK_AGE: Micros = 1_000_000;
/// Time limit for the writer to finish on shutdown.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(5);
/// Interval at which the writer is polled on shutdown.
const CLOSE_POLL_INTERVAL: Duration = Duration::from_millis(5);

/// Where to write the trace, and how much of it to retain.
#[derive(Clone, Debug)]
pub struct TraceSettings {
    /// Folder of the trace files.
    pub folder: PathBuf,
    /// Limits on the retained files.
    pub retention: RetentionLimits,
}

struct RecorderState {
    block: BlockBuilder,
    messages: SyncSender<WriterMessage>,
    writer: Option<JoinHandle<()>>,
    /// Reserves the name under which this process writes its files.
    _name_lock: NameLock,
    /// Records lost since the last gap was recorded: their number, and the times of the first and the last, in
    /// microseconds.
    lost: Option<(u64, Micros, Micros)>,
    /// Number of records lost since the start.
    lost_records: u64,
    /// Time of the last event, in microseconds.
    now: Micros,
}

/// The trace of one router. Cheap to clone: one clone is registered with the core, another is kept for closing.
#[derive(Clone)]
pub struct TraceRecorder(Rc<RefCell<RecorderState>>);

impl TraceRecorder {
    /// Starts the writer's thread. Fails if the folder cannot be created or the thread cannot start.
    pub fn begin(
        settings: TraceSettings,
        name: &str,
        start: StartRecord,
    ) -> std::io::Result<TraceRecorder> {
        std::fs::create_dir_all(&settings.folder)?;
        let name = file_name_of(name);
        let name_lock = NameLock::acquire(&settings.folder, &name)?;
        if name_lock.name != name {
            tracing::warn!(
                name,
                writes_as = name_lock.name,
                "another router with this name writes its trace to the same folder"
            );
        }
        let series = FileSeries {
            folder: settings.folder,
            name: name_lock.name.clone(),
            started_at_ms: (start.wall_at_zero / 1000) as u64,
        };
        let (messages, received) = sync_channel(MAX_QUEUED_BLOCKS);
        let log_failure = |why: &str| tracing::error!(why, "the trace cannot be written");
        let writer = std::thread::Builder::new()
            .name("trace".into())
            .spawn(move || run_writer(series, start, settings.retention, received, log_failure))?;
        Ok(TraceRecorder(Rc::new(RefCell::new(RecorderState {
            block: BlockBuilder::default(),
            messages,
            writer: Some(writer),
            _name_lock: name_lock,
            lost: None,
            lost_records: 0,
            now: 0,
        }))))
    }

    /// Passes the current block to the writer if it is old, even if no further event arrives.
    pub fn flush_old(&self, now: Micros) {
        self.0.borrow_mut().close_old(now);
    }

    /// Writes the remaining records; returns false if the writer failed or exceeded the time limit, as a hanging disk
    /// must not prevent a router from stopping.
    pub fn close(&self) -> bool {
        let mut state = self.0.borrow_mut();
        let deadline = Instant::now() + CLOSE_TIMEOUT;
        let mut pending = vec![WriterMessage::End];
        if !state.block.is_empty() {
            pending.push(WriterMessage::Block(state.now, state.block.close()));
        }
        while let Some(message) = pending.pop() {
            match state.messages.try_send(message) {
                Ok(()) => {}
                Err(TrySendError::Full(message)) if Instant::now() < deadline => {
                    pending.push(message);
                    std::thread::sleep(CLOSE_POLL_INTERVAL);
                }
                Err(_) => return false,
            }
        }
        let Some(writer) = state.writer.take() else {
            return true;
        };
        while !writer.is_finished() {
            if Instant::now() >= deadline {
                return false;
            }
            std::thread::sleep(CLOSE_POLL_INTERVAL);
        }
        writer.join().is_ok()
    }

    /// Number of records lost since the start.
    pub fn lost_records(&self) -> u64 {
        self.0.borrow().lost_records
    }
}

impl RecorderState {
    fn send_block(&mut self) {
        let raw = self.block.close();
        let (records, first, last) = (u64::from(raw.records), raw.first, raw.last);
        if self
            .messages
            .try_send(WriterMessage::Block(self.now, raw))
            .is_err()
        {
            // The disk is slower than the router: the block is dropped, and the trace gets a gap.
            let (before, from, _) = self.lost.unwrap_or((0, first, last));
            self.lost = Some((before + records, from, last));
            self.lost_records += records;
        }
    }

    fn close_old(&mut self, now: Micros) {
        self.now = now;
        if self.block.is_full() || self.block.age(now) >= MAX_BLOCK_AGE {
            self.send_block();
        }
    }

    /// Prepares the current block for a record at `now`, and records a pending gap. Has to be called before each
    /// record.
    fn prepare(&mut self, now: Micros) {
        self.close_old(now);
        if self.block.is_empty()
            && let Some((records, from, until)) = self.lost.take()
        {
            self.block.record(
                now,
                &Record::Gap {
                    records,
                    from,
                    until,
                },
            );
        }
    }
}

impl RouterObserver for TraceRecorder {
    fn decided(&mut self, now: Micros, event: &Event, actions: &[Action], names: Names) {
        let mut state = self.0.borrow_mut();
        state.prepare(now);
        visit_named_indices(event, actions, &mut |space, index| {
            let name = match space {
                NameKind::Function => names.function(index),
                NameKind::Worker => names.worker(index),
            };
            if let Some(name) = name {
                state.block.name(now, space, index, name);
            }
        });
        state.block.decided(now, event, actions);
    }

    fn accepted(
        &mut self,
        now: Micros,
        invocation: InvocationIndex,
        front: FrontIndex,
        correlation_hash: Option<&str>,
        redelivered: bool,
    ) {
        let mut state = self.0.borrow_mut();
        state.prepare(now);
        let correlation_hash = correlation_hash.map(fingerprint);
        state.block.record(
            now,
            &Record::Accepted {
                invocation,
                front,
                correlation_hash,
                redelivered,
            },
        );
    }

    fn answered(&mut self, now: Micros, given: SentAnswer) {
        let mut state = self.0.borrow_mut();
        state.prepare(now);
        let SentAnswer {
            invocation,
            front,
            outcome,
            reason,
            trigger,
            account,
            took,
        } = given;
        state.block.record(
            now,
            &Record::Answered {
                invocation,
                front,
                outcome,
                reason,
                trigger,
                account,
                took,
            },
        );
    }

    fn rejected(
        &mut self,
        now: Micros,
        front: FrontIndex,
        trigger: u32,
        account: u32,
        reason: RejectionReason,
    ) {
        let mut state = self.0.borrow_mut();
        state.prepare(now);
        state.block.record(
            now,
            &Record::Rejected {
                front,
                trigger,
                account,
                reason,
            },
        );
    }

    /// Not recorded: memory usage reported by workers is not an input of the balancer, and so not part of the
    /// trace format.
    fn used(&mut self, _: Micros, _: WorkerUsage) {}
}
