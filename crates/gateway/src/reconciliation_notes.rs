//! The notes that the reconciliation exchanges with the group. A note contains the sender's clock when it was sent, and
//! the last reading of each member's clock that the sender received. From these the receiver derives an upper bound of
//! the note's transit time by its own clock, whatever the other clocks show and however long a link delayed the note.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::sync::Arc;

use bytes::Bytes;
use cedarpulley::interface::Micros;
use serde::{Deserialize, Serialize};

use crate::peer_events::PeerEvent;
use crate::shared_state::SharedState;

/// Key prefix of the notes in the shared state; the worker's id follows it.
const NOTE_PREFIX: &str = "w\n";
/// Key prefix of the notes that publish only a clock; the member's name follows it.
const CLOCK_PREFIX: &str = "w\n\n";
/// Retention of notes, in query intervals. It is longer than the longest time between two queries of a worker that
/// responds.
const RETENTION_INTERVALS: Micros = 30;
/// Assumed upper bound of the transit time of a note, in microseconds, if the note contains no clock reading of this
/// process. The note then counts as sent long before any router started.
const UNKNOWN_TRANSIT: Micros = Micros::MAX / 4;
/// Limit on the number of members whose clocks are stored and published; groups are far smaller.
const MAX_CLOCKS: usize = 1_000;

/// A note as it is encoded in the shared state. The order of fields is the format.
#[derive(Serialize, Deserialize)]
struct Note {
    /// Name of the sender.
    from: String,
    /// Identifies the sender's process.
    process: u64,
    /// Reading of the sender's clock when the note was sent, in microseconds.
    sent_at: Micros,
    /// For each member: its name, its process, the last received reading of its clock, and the time since it was received
    /// (both in microseconds).
    clocks: Vec<(String, u64, Micros, Micros)>,
    /// The reconciler's note; empty if only the clock is published.
    payload: Vec<u8>,
}

/// The last received reading of another member's clock.
struct PeerClock {
    /// The member's process.
    process: u64,
    /// The reading, in microseconds.
    reading: Micros,
    /// When it was received by this router's clock, in microseconds.
    received_at: Micros,
}

/// Another member's note on a worker, as received.
pub(crate) struct ReceivedNote {
    /// Id of the worker, which is the same at all members.
    pub(crate) worker_id: String,
    /// Version of the note.
    pub(crate) version: (u64, u64),
    /// Upper bound of the note's transit time, in microseconds.
    pub(crate) transit: Micros,
    /// The reconciler's note.
    pub(crate) payload: Vec<u8>,
}

/// Publishes and receives notes for one router, and follows the members' clocks.
pub(crate) struct NoteExchange {
    shared: SharedState,
    /// Name of this router.
    own_name: Arc<str>,
    /// Identifies this process among those with the same name.
    process: u64,
    /// Query interval in microseconds.
    interval: Micros,
    /// Clocks by the member's name.
    clocks: RefCell<BTreeMap<String, PeerClock>>,
    /// When this router last published a note, in microseconds.
    last_published_at: Cell<Micros>,
}

impl NoteExchange {
    /// Creates the exchange of a router. `interval`: query interval in microseconds.
    pub(crate) fn new(shared: SharedState, own_name: Arc<str>, interval: Micros) -> Self {
        NoteExchange {
            shared,
            own_name,
            process: uuid::Uuid::new_v4().as_u64_pair().0,
            interval,
            clocks: RefCell::default(),
            last_published_at: Cell::new(Micros::MIN),
        }
    }

    /// Subscribes `listener` to events of the notes' keys, and to every change of the members that are considered alive.
    pub(crate) fn subscribe(&self, listener: impl Fn(PeerEvent) + 'static) {
        self.shared.subscribe(NOTE_PREFIX, listener);
    }

    /// Names of the members that are considered alive.
    pub(crate) fn alive_members(&self) -> Vec<Arc<str>> {
        let alive = self.shared.members().into_iter().filter(|m| m.alive);
        alive.map(|m| Arc::from(m.name)).collect()
    }

    /// When [`NoteExchange::publish_clock_if_due`] is due next, in microseconds.
    pub(crate) fn next_due(&self) -> Micros {
        self.last_published_at.get().saturating_add(self.interval)
    }

    /// Publishes a note on a worker.
    pub(crate) fn publish(
        &self,
        now: Micros,
        worker_id: &str,
        version: (u64, u64),
        payload: Vec<u8>,
    ) {
        self.publish_key(now, format!("{NOTE_PREFIX}{worker_id}"), version, payload);
    }

    /// Publishes a note under a key.
    fn publish_key(&self, now: Micros, key: String, version: (u64, u64), payload: Vec<u8>) {
        self.last_published_at.set(now);
        let note = Note {
            from: self.own_name.to_string(),
            process: self.process,
            sent_at: now,
            clocks: self.clock_readings(now),
            payload,
        };
        let Ok(value) = postcard::to_stdvec(&note) else {
            return;
        };
        self.shared.note(
            Arc::from(key),
            version,
            Bytes::from(value),
            self.interval * RETENTION_INTERVALS,
        );
    }

    /// The members' clocks in the form that a note contains.
    fn clock_readings(&self, now: Micros) -> Vec<(String, u64, Micros, Micros)> {
        let clocks = self.clocks.borrow();
        let reading = |(member, clock): (&String, &PeerClock)| {
            let age = now - clock.received_at;
            (member.clone(), clock.process, clock.reading, age)
        };
        clocks.iter().map(reading).collect()
    }

    /// Publishes this router's clock if it has published no note for a query interval. A router that queries no workers
    /// publishes no other notes; without its clock in their notes, it could not bound the age of the other members' notes.
    pub(crate) fn publish_clock_if_due(&self, now: Micros) {
        if self.next_due() <= now {
            let key = format!("{CLOCK_PREFIX}{}", self.own_name);
            // The version must be above that of an earlier process, whatever that process's clock was.
            let before = self.shared.latest_note(&key).map_or(0, |n| n.version.0);
            self.publish_key(now, key, (before + 1, 0), Vec::new());
        }
    }

    /// Receives the latest note on a worker, if there is one.
    pub(crate) fn receive_latest_of(&self, now: Micros, worker_id: &str) -> Option<ReceivedNote> {
        self.receive_latest(now, &format!("{NOTE_PREFIX}{worker_id}"))
    }

    /// Receives the latest note under a key. Absent if there is none, if this process published it, if it is malformed, or
    /// if it contains only a clock.
    pub(crate) fn receive_latest(&self, now: Micros, key: &str) -> Option<ReceivedNote> {
        let shared_note = self.shared.latest_note(key)?;
        let note = postcard::from_bytes::<Note>(&shared_note.value).ok()?;
        if *note.from == *self.own_name && note.process == self.process {
            return None;
        }
        let transit = self.transit_of(now, &note);
        self.record_clock(now, note.from, note.process, note.sent_at);
        let worker_id = key.strip_prefix(NOTE_PREFIX)?;
        (!note.payload.is_empty()).then(|| ReceivedNote {
            worker_id: worker_id.to_owned(),
            version: shared_note.version,
            transit,
            payload: note.payload,
        })
    }

    /// Upper bound of a note's transit time, in microseconds: the time since the reading of this router's clock that the
    /// note contains, less the time for which the sender had that reading before it sent the note.
    fn transit_of(&self, now: Micros, note: &Note) -> Micros {
        let own_clock = note
            .clocks
            .iter()
            .find(|c| *c.0 == *self.own_name && c.1 == self.process);
        own_clock.map_or(UNKNOWN_TRANSIT, |(_, _, reading, ago)| {
            now.saturating_sub(*reading)
                .saturating_sub(*ago)
                .clamp(0, UNKNOWN_TRANSIT)
        })
    }

    /// Records the reading of a member's clock if it is newer than the recorded one.
    fn record_clock(&self, now: Micros, member: String, process: u64, sent_at: Micros) {
        let mut clocks = self.clocks.borrow_mut();
        let known = clocks.get(&member);
        let newer = known.is_none_or(|c| c.process != process || c.reading < sent_at);
        if newer && (known.is_some() || clocks.len() < MAX_CLOCKS) {
            let clock = PeerClock {
                process,
                reading: sent_at,
                received_at: now,
            };
            clocks.insert(member, clock);
        }
    }
}
