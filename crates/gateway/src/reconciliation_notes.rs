//! The notes that reconciliation exchanges with the group. A note carries its sender's clock when it was sent, and each
//! member's clock as the sender last saw it. With these the receiver bounds the note's transit time by its own clock,
//! whatever the other clocks say and however long a link delayed it.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::sync::Arc;

use bytes::Bytes;
use cedarpulley::interface::Micros;
use serde::{Deserialize, Serialize};

use crate::peer_events::PeerEvent;
use crate::shared_state::SharedState;

/// Key prefixes of the notes in the shared state: of a worker, and of a member's clock.
const NOTE_PREFIX: &str = "w\n";
const CLOCK_PREFIX: &str = "w\n\n";
/// Retention of notes, in query intervals: longer than any worker that responds goes without a query.
const RETENTION_INTERVALS: Micros = 30;
/// Assumed transit time of a note that nothing bounds; long before any router began. In microseconds.
const UNKNOWN_TRANSIT: Micros = Micros::MAX / 4;
/// Members whose clocks are published and remembered; groups are far smaller.
const MAX_CLOCKS: usize = 1_000;

/// A note as it is encoded in the shared state. The order of fields is the format.
#[derive(Serialize, Deserialize)]
struct Note {
    from: String,
    /// The sender's process, and its clock when the note was sent (microseconds).
    process: u64,
    sent_at: Micros,
    /// By member: its process, its clock as last seen, and how long ago that was (microseconds).
    clocks: Vec<(String, u64, Micros, Micros)>,
    /// Empty if only the clock is published.
    payload: Vec<u8>,
}

/// Another member's clock: its process, its reading, and when that was received here (microseconds).
struct PeerClock {
    process: u64,
    remote: Micros,
    local: Micros,
}

/// Another member's note on a worker, as received.
pub(crate) struct ReceivedNote {
    /// The worker's id, as all members know it.
    pub(crate) worker_id: String,
    pub(crate) version: (u64, u64),
    /// The longest time that the note can have been under way (microseconds).
    pub(crate) transit: Micros,
    pub(crate) payload: Vec<u8>,
}

/// Publishes and receives the notes of one router, and follows the members' clocks.
pub(crate) struct NoteExchange {
    shared: SharedState,
    own_name: Arc<str>,
    /// Identifies this process among those of the same name.
    process: u64,
    /// Query interval in microseconds.
    interval: Micros,
    clocks: RefCell<BTreeMap<String, PeerClock>>,
    /// When something was last published to the group.
    last_published_at: Cell<Micros>,
}

impl NoteExchange {
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

    /// Calls `listener` for each event of a note's key, and for changes of the members.
    pub(crate) fn subscribe(&self, listener: impl Fn(PeerEvent) + 'static) {
        self.shared.subscribe(NOTE_PREFIX, listener);
    }

    /// Names of the members believed to be alive.
    pub(crate) fn alive_members(&self) -> Vec<Arc<str>> {
        let alive = self.shared.members().into_iter().filter(|m| m.alive);
        alive.map(|m| Arc::from(m.name)).collect()
    }

    /// When [`NoteExchange::publish_clock_if_due`] is due, in microseconds.
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

    /// The members' clocks as a note states them.
    fn clock_readings(&self, now: Micros) -> Vec<(String, u64, Micros, Micros)> {
        let clocks = self.clocks.borrow();
        let reading = |(member, clock): (&String, &PeerClock)| {
            let age = now - clock.local;
            (member.clone(), clock.process, clock.remote, age)
        };
        clocks.iter().map(reading).collect()
    }

    /// A member that queries nobody publishes nothing else, and would never learn how old the notes of others
    /// can be.
    pub(crate) fn publish_clock_if_due(&self, now: Micros) {
        if self.next_due() <= now {
            let key = format!("{CLOCK_PREFIX}{}", self.own_name);
            // Above that of an earlier process, whatever its clock was.
            let before = self.shared.latest_note(&key).map_or(0, |n| n.version.0);
            self.publish_key(now, key, (before + 1, 0), Vec::new());
        }
    }

    /// Receives the latest note on a worker, if there is one.
    pub(crate) fn receive_latest_of(&self, now: Micros, worker_id: &str) -> Option<ReceivedNote> {
        self.receive_latest(now, &format!("{NOTE_PREFIX}{worker_id}"))
    }

    /// Receives the latest note under a key. Absent if it is one's own, malformed, or only a clock.
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

    /// The time since the sender last saw this router's clock, less how long ago that was when it sent.
    fn transit_of(&self, now: Micros, note: &Note) -> Micros {
        let own_clock = note
            .clocks
            .iter()
            .find(|c| *c.0 == *self.own_name && c.1 == self.process);
        own_clock.map_or(UNKNOWN_TRANSIT, |(_, _, local, ago)| {
            now.saturating_sub(*local)
                .saturating_sub(*ago)
                .clamp(0, UNKNOWN_TRANSIT)
        })
    }

    fn record_clock(&self, now: Micros, member: String, process: u64, sent_at: Micros) {
        let mut clocks = self.clocks.borrow_mut();
        let known = clocks.get(&member);
        let newer = known.is_none_or(|c| c.process != process || c.remote < sent_at);
        if newer && (known.is_some() || clocks.len() < MAX_CLOCKS) {
            let clock = PeerClock {
                process,
                remote: sent_at,
                local: now,
            };
            clocks.insert(member, clock);
        }
    }
}
