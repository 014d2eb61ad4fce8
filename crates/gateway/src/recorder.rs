//! Records a router's trace: gathers what the core tells, and hands whole blocks to the writer's thread. It never
//! waits: a block that the queue has no room for is a gap, told with its counts.

use std::cell::RefCell;
use std::path::PathBuf;
use std::rc::Rc;
use std::sync::mpsc::{SyncSender, TrySendError, sync_channel};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use cedarpulley::ids::fingerprint;
use cedarpulley::interface::{Action, Event, InvIx, Micros};
use cedarpulley_router::FrontIx;
use cedarpulley_router::entry::Short;
use cedarpulley_router::watch::{Given, Names, Used, Watch};
use cedarpulley_trace::blocks::{Gather, event_uses};
use cedarpulley_trace::keeping::Bounds;
use cedarpulley_trace::records::{Record, Space};
use cedarpulley_trace::start::Start;
use cedarpulley_trace::writer::{Note, Own, Row, run};

/// Blocks on their way to the writer, of some 128 KB each.
const MOST_ON_THE_WAY: usize = 32;
/// A block is closed at this age, so that a killed router has lost little.
const CLOSE_AFTER: Micros = 1_000_000;
/// On stopping, the writer has so long; it is looked at this often.
const CLOSE_WITHIN: Duration = Duration::from_secs(5);
const CLOSE_LOOK: Duration = Duration::from_millis(5);

/// Where and how much to keep.
#[derive(Clone, Debug)]
pub struct Keep {
    pub folder: PathBuf,
    pub bounds: Bounds,
}

struct Inner {
    gather: Gather,
    notes: SyncSender<Note>,
    writer: Option<JoinHandle<()>>,
    _own: Own,
    /// Lost since the last block that went: records, from, until.
    lost: Option<(u64, Micros, Micros)>,
    /// In all.
    lost_records: u64,
    now: Micros,
}

/// Cheap to clone; one is the core's, one is kept to close it.
#[derive(Clone)]
pub struct Recorder(Rc<RefCell<Inner>>);

impl Recorder {
    pub fn begin(keep: Keep, name: &str, start: Start) -> std::io::Result<Recorder> {
        std::fs::create_dir_all(&keep.folder)?;
        let name: String =
            name.chars().map(|c| if c.is_ascii_alphanumeric() { c } else { '_' }).take(64).collect();
        let own = Own::take(&keep.folder, &name)?;
        if own.name != name {
            tracing::warn!(name, writes_as = own.name, "another router of this name writes its trace here");
        }
        let row =
            Row { folder: keep.folder, name: own.name.clone(), run: (start.wall_at_zero / 1000) as u64 };
        let (notes, received) = sync_channel(MOST_ON_THE_WAY);
        let complain = |why: &str| tracing::error!(why, "trace");
        let writer = std::thread::Builder::new()
            .name("trace".into())
            .spawn(move || run(row, start, keep.bounds, received, complain))?;
        Ok(Recorder(Rc::new(RefCell::new(Inner {
            gather: Gather::default(),
            notes,
            writer: Some(writer),
            _own: own,
            lost: None,
            lost_records: 0,
            now: 0,
        }))))
    }

    /// Closes a block that is old, though nothing more came.
    pub fn look(&self, now: Micros) {
        self.0.borrow_mut().close_old(now);
    }

    /// Writes what there is; false if the writer did not end well, or not in time: a disk that hangs must not keep a
    /// router from ending.
    pub fn close(&self) -> bool {
        let mut it = self.0.borrow_mut();
        let until = Instant::now() + CLOSE_WITHIN;
        let mut last = vec![Note::End];
        if !it.gather.is_empty() {
            last.push(Note::Block(it.now, it.gather.close()));
        }
        while let Some(note) = last.pop() {
            match it.notes.try_send(note) {
                Ok(()) => {}
                Err(TrySendError::Full(note)) if Instant::now() < until => {
                    last.push(note);
                    std::thread::sleep(CLOSE_LOOK);
                }
                Err(_) => return false,
            }
        }
        let Some(writer) = it.writer.take() else { return true };
        while !writer.is_finished() {
            if Instant::now() >= until {
                return false;
            }
            std::thread::sleep(CLOSE_LOOK);
        }
        writer.join().is_ok()
    }

    pub fn lost(&self) -> u64 {
        self.0.borrow().lost_records
    }
}

impl Inner {
    fn send(&mut self) {
        let raw = self.gather.close();
        let (records, first, last) = (u64::from(raw.records), raw.first, raw.last);
        if self.notes.try_send(Note::Block(self.now, raw)).is_err() {
            // Symptom: the disk is slower than the router. The trace has a hole, the router goes on.
            let (before, from, _) = self.lost.unwrap_or((0, first, last));
            self.lost = Some((before + records, from, last));
            self.lost_records += records;
        }
    }

    fn close_old(&mut self, now: Micros) {
        self.now = now;
        if self.gather.is_full() || self.gather.age(now) >= CLOSE_AFTER {
            self.send();
        }
    }

    /// Before each record.
    fn at(&mut self, now: Micros) {
        self.close_old(now);
        if self.gather.is_empty()
            && let Some((records, from, until)) = self.lost.take()
        {
            self.gather.record(now, &Record::Gap { records, from, until });
        }
    }
}

impl Watch for Recorder {
    fn decided(&mut self, now: Micros, event: &Event, actions: &[Action], names: Names) {
        let mut it = self.0.borrow_mut();
        it.at(now);
        event_uses(event, actions, &mut |space, ix| {
            let name = match space {
                Space::Function => names.function(ix),
                Space::Worker => names.worker(ix),
            };
            if let Some(name) = name {
                it.gather.name(now, space, ix, name);
            }
        });
        it.gather.decided(now, event, actions);
    }

    fn taken(&mut self, now: Micros, inv: InvIx, front: FrontIx, mark: Option<&str>, redelivered: bool) {
        let mut it = self.0.borrow_mut();
        it.at(now);
        let mark = mark.map(fingerprint);
        it.gather.record(now, &Record::Taken { inv, front, mark, redelivered });
    }

    fn answered(&mut self, now: Micros, g: Given) {
        let mut it = self.0.borrow_mut();
        it.at(now);
        let Given { inv, front, fate, reason, trigger, account, took } = g;
        it.gather.record(now, &Record::Answered { inv, front, fate, reason, trigger, account, took });
    }

    fn turned_away(&mut self, now: Micros, front: FrontIx, trigger: u32, account: u32, why: Short) {
        let mut it = self.0.borrow_mut();
        it.at(now);
        it.gather.record(now, &Record::TurnedAway { front, trigger, account, why });
    }

    /// Not part of the format: what a worker reports it held the module is not told.
    fn used(&mut self, _: Micros, _: Used) {}
}
