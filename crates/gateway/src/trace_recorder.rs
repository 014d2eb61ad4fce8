//! Records a router's trace: gathers what the core reports into blocks, and hands whole blocks to the
//! writer's thread. It never waits: a block that does not fit the queue becomes a gap, recorded with its
//! counts.

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
use cedarpulley_router::observer::{AnswerGiven, Names, RouterObserver, WorkerUsage};
use cedarpulley_trace::blocks::{BlockBuilder, visit_named_indices};
use cedarpulley_trace::records::{NameKind, Record};
use cedarpulley_trace::retention::RetentionLimits;
use cedarpulley_trace::start::StartRecord;
use cedarpulley_trace::writer::{FileSeries, NameLock, WriterMessage, run_writer};

use crate::file_names::file_name_of;

/// Blocks of some 128 KB that may wait for the writer.
const MAX_QUEUED_BLOCKS: usize = 32;
/// A block is closed at this age, so that a killed router loses little. In microseconds.
const MAX_BLOCK_AGE: Micros = 1_000_000;
/// On shutdown the writer has this long, and is polled this often.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(5);
const CLOSE_POLL_INTERVAL: Duration = Duration::from_millis(5);

/// Where to write the trace, and how much of it to keep.
#[derive(Clone, Debug)]
pub struct TraceSettings {
    /// Folder of the trace files.
    pub folder: PathBuf,
    /// Limits on what is retained.
    pub bounds: RetentionLimits,
}

struct RecorderState {
    block: BlockBuilder,
    notes: SyncSender<WriterMessage>,
    writer: Option<JoinHandle<()>>,
    /// Reserves the name that this process writes under.
    _own: NameLock,
    /// Lost since the last block handed over: number of records, first and last time.
    lost: Option<(u64, Micros, Micros)>,
    /// Lost in all.
    lost_records: u64,
    now: Micros,
}

/// The trace of one router. Cheap to clone: one is registered with the core, one is kept for closing.
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
        let own = NameLock::acquire(&settings.folder, &name)?;
        if own.name != name {
            tracing::warn!(
                name,
                writes_as = own.name,
                "another router of this name writes its trace here"
            );
        }
        let row = FileSeries {
            folder: settings.folder,
            name: own.name.clone(),
            started_at_ms: (start.wall_at_zero / 1000) as u64,
        };
        let (notes, received) = sync_channel(MAX_QUEUED_BLOCKS);
        let log_failure = |why: &str| tracing::error!(why, "the trace cannot be written");
        let writer = std::thread::Builder::new()
            .name("trace".into())
            .spawn(move || run_writer(row, start, settings.bounds, received, log_failure))?;
        Ok(TraceRecorder(Rc::new(RefCell::new(RecorderState {
            block: BlockBuilder::default(),
            notes,
            writer: Some(writer),
            _own: own,
            lost: None,
            lost_records: 0,
            now: 0,
        }))))
    }

    /// Hands over a block that is old, though nothing more came.
    pub fn flush_old(&self, now: Micros) {
        self.0.borrow_mut().close_old(now);
    }

    /// Writes what is left; false if the writer failed or was not done in time: a disk that hangs must not
    /// keep a router from ending.
    pub fn close(&self) -> bool {
        let mut state = self.0.borrow_mut();
        let deadline = Instant::now() + CLOSE_TIMEOUT;
        let mut pending = vec![WriterMessage::End];
        if !state.block.is_empty() {
            pending.push(WriterMessage::Block(state.now, state.block.close()));
        }
        while let Some(note) = pending.pop() {
            match state.notes.try_send(note) {
                Ok(()) => {}
                Err(TrySendError::Full(note)) if Instant::now() < deadline => {
                    pending.push(note);
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

    /// Records lost since the start.
    pub fn lost_records(&self) -> u64 {
        self.0.borrow().lost_records
    }
}

impl RecorderState {
    fn send_block(&mut self) {
        let raw = self.block.close();
        let (records, first, last) = (u64::from(raw.records), raw.first, raw.last);
        if self
            .notes
            .try_send(WriterMessage::Block(self.now, raw))
            .is_err()
        {
            // The disk is slower than the router: the trace gets a gap, and the router goes on.
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

    /// To be called before each record.
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

    fn answered(&mut self, now: Micros, given: AnswerGiven) {
        let mut state = self.0.borrow_mut();
        state.prepare(now);
        let AnswerGiven {
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

    /// Not part of the format: the module does not learn what a worker reports it held.
    fn used(&mut self, _: Micros, _: WorkerUsage) {}
}
