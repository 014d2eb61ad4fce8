//! The notes that reconciliation exchanges with the group. A note carries its sender's clock when it was sent, and each
//! member's clock as the sender last saw it. With these the receiver bounds the note's transit time by its own clock,
//! whatever the other clocks say and however long a link delayed it.

use std::rc::Rc;
use std::sync::Arc;

use bytes::Bytes;
use cedarpulley::interface::Micros;
use cedarpulley_reconcile::Input as ReconcilerInput;
use serde::{Deserialize, Serialize};

use crate::peer_events::PeerEvent;
use crate::reconciliation::Reconciliation;

/// Key prefixes of the notes in the shared state: of a worker, and of a member's clock.
pub(crate) const NOTE_PREFIX: &str = "w\n";
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
pub(crate) struct PeerClock {
    process: u64,
    remote: Micros,
    local: Micros,
}

impl Reconciliation {
    pub(crate) fn peer_event(self: &Rc<Self>, event: &PeerEvent) {
        match event {
            PeerEvent::BelievedMembersChanged => self.update_members(),
            PeerEvent::Updated(key) => {
                if let Some(note) = self.shared.as_ref().and_then(|s| s.latest_note(key)) {
                    self.note_received(key, note.version, &note.value);
                }
            }
            PeerEvent::Decided(..) => {}
        }
    }

    pub(crate) fn update_members(self: &Rc<Self>) {
        let Some(shared) = &self.shared else { return };
        let alive = shared.members().into_iter().filter(|m| m.alive);
        self.apply(ReconcilerInput::Members(
            alive.map(|m| Arc::from(m.name)).collect(),
        ));
    }

    pub(crate) fn publish(&self, key: String, version: (u64, u64), payload: Vec<u8>) {
        let Some(shared) = &self.shared else { return };
        let now = self.context.clock.now();
        let note = {
            let mut state = self.state.borrow_mut();
            state.last_published_at = now;
            let clocks = state
                .clocks
                .iter()
                .map(|(m, c)| (m.clone(), c.process, c.remote, now - c.local));
            let (from, clocks) = (self.me.to_string(), clocks.collect());
            Note {
                from,
                process: self.process,
                sent_at: now,
                clocks,
                payload,
            }
        };
        let Ok(value) = postcard::to_stdvec(&note) else {
            return;
        };
        shared.note(
            Arc::from(key),
            version,
            Bytes::from(value),
            self.interval * RETENTION_INTERVALS,
        );
    }

    /// A member that queries nobody publishes nothing else, and would never learn how old the notes of others
    /// can be.
    pub(crate) fn publish_clock_if_due(&self) {
        let now = self.context.clock.now();
        if self.shared.is_some()
            && self
                .state
                .borrow()
                .last_published_at
                .saturating_add(self.interval)
                <= now
        {
            let key = format!("{CLOCK_PREFIX}{}", self.me);
            // Above that of an earlier process, whatever its clock was.
            let before = self
                .shared
                .as_ref()
                .and_then(|s| s.latest_note(&key))
                .map_or(0, |n| n.version.0);
            self.publish(key, (before + 1, 0), Vec::new());
        }
    }

    pub(crate) fn note_received(self: &Rc<Self>, key: &str, version: (u64, u64), value: &[u8]) {
        let Ok(note) = postcard::from_bytes::<Note>(value) else {
            return;
        };
        if *note.from == *self.me && note.process == self.process {
            return;
        }
        let now = self.context.clock.now();
        let mut transit = UNKNOWN_TRANSIT;
        {
            let mut state = self.state.borrow_mut();
            if let Some((_, _, local, ago)) = note
                .clocks
                .iter()
                .find(|c| *c.0 == *self.me && c.1 == self.process)
            {
                transit = now
                    .saturating_sub(*local)
                    .saturating_sub(*ago)
                    .clamp(0, UNKNOWN_TRANSIT);
            }
            let known = state.clocks.get(&note.from);
            let newer = known.is_none_or(|c| c.process != note.process || c.remote < note.sent_at);
            if newer && (known.is_some() || state.clocks.len() < MAX_CLOCKS) {
                let clock = PeerClock {
                    process: note.process,
                    remote: note.sent_at,
                    local: now,
                };
                state.clocks.insert(note.from, clock);
            }
        }
        if let Some(id) = key
            .strip_prefix(NOTE_PREFIX)
            .filter(|_| !note.payload.is_empty())
        {
            self.apply(ReconcilerInput::Noted {
                id,
                version,
                transit,
                value: &note.payload,
            });
        }
    }
}
