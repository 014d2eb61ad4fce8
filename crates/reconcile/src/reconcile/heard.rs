//! What is heard of a worker: what this router's own orders and dispatches show, a worker's answer or
//! silence, and what other members noted of theirs. What may say something goes on to be judged; the worker's
//! next turn follows.
//!
//! Mechanisms:
//! 1. An answer that began before the last that was taken is void, as is one of an earlier process.
//! 2. Own answers, and silence, go to the group as notes with a version; an older note is left unread.
//! 3. A note says for how long its answer was under way, so that a receiver knows by its own clock from which
//!    time it can be at the earliest.
//! 4. A note is bounded: sessions are left out first, then functions, and that it was cut is told.

use cedarpulley::interface::Micros;
use serde::{Deserialize, Serialize};

use super::place::{Place, Process, REFUTED};
use super::{Output, Reconciler};
use crate::asking::Went;
use crate::belief::Change;
use crate::observation::Observation;

/// Bytes of a note; sessions are left out first, then functions.
const MOST_NOTE: usize = 256 << 10;
/// Functions that a note which was too long still names.
const FEW_ENTRIES: usize = 512;

/// What goes from one member to the others.
#[derive(Debug, Serialize, Deserialize)]
enum Word {
    /// It began so long before the note left.
    Said {
        ago: Micros,
        observation: Observation,
    },
    Silent,
}

impl Reconciler {
    pub(super) fn believes(&mut self, worker: &str, function: &str, change: Change) {
        let (now, kept) = (self.now, self.terms.kept);
        let Some(place) = self.places.get_mut(worker) else {
            return;
        };
        if !place.follow(function, &mut self.beliefs) {
            self.counts.beliefs_left_out += 1;
            return;
        }
        let refuted = place
            .beliefs
            .get_mut(function)
            .is_some_and(|b| b.change(now, kept, change));
        if refuted {
            self.counts.refuted += 1;
            place.suspect(REFUTED);
        }
    }

    pub(super) fn silent(&mut self, worker: &str, out: &mut Vec<Output>) {
        let now = self.now;
        let grouped = self.grouped();
        let Some((worker, place)) = self.places.get_key_value(worker) else {
            return;
        };
        let (worker, id, version) = (
            worker.clone(),
            place.id.clone(),
            (place.version.0, place.version.1 + 1),
        );
        if let Some(place) = self.places.get_mut(&worker) {
            (place.asked, place.heard, place.version) = (None, now, version);
        }
        self.counts.silences += 1;
        if grouped && let Ok(value) = postcard::to_stdvec(&Word::Silent) {
            out.push(Output::Note { id, version, value });
        }
        self.ask_again(&worker, Went::Silent);
    }

    pub(super) fn said(
        &mut self,
        worker: &str,
        began: Micros,
        observation: &Observation,
        out: &mut Vec<Output>,
    ) {
        let Some((worker, mut place)) = self.places.remove_entry(worker) else {
            return;
        };
        self.counts.answers += 1;
        place.asked = None;
        let mut went = Went::Changed;
        if let Some(process) = self.taken(&mut place, began, observation.life, true) {
            place.heard = self.now;
            place.version.0 += u64::from(process == Process::New);
            place.version.1 += 1;
            if self.grouped() {
                let ago = self.now - began;
                let (id, version) = (place.id.clone(), place.version);
                out.extend(note(ago, observation).map(|value| Output::Note { id, version, value }));
            }
            went = self.compare(&worker, &mut place, began, observation, process, true, out);
        }
        self.places.insert(worker.clone(), place);
        self.ask_again(&worker, went);
    }

    pub(super) fn noted(
        &mut self,
        id: &str,
        version: (u64, u64),
        transit: Micros,
        value: &[u8],
        out: &mut Vec<Output>,
    ) {
        let Some(worker) = self.by_id.get(id).cloned() else {
            return;
        };
        let Some(mut place) = self.places.remove(&worker) else {
            return;
        };
        self.counts.notes += 1;
        let word = postcard::from_bytes::<Word>(value);
        if version <= place.version {
            self.counts.notes_old += 1;
        } else if let Ok(word) = word {
            (place.version, place.heard) = (version, self.now);
            if let Word::Said { ago, observation } = word {
                let began = self
                    .now
                    .saturating_sub(transit.max(0))
                    .saturating_sub(ago.max(0));
                if let Some(process) = self.taken(&mut place, began, observation.life, false) {
                    self.compare(
                        &worker,
                        &mut place,
                        began,
                        &observation,
                        process,
                        false,
                        out,
                    );
                }
            }
        } else {
            self.counts.notes_unreadable += 1;
        }
        self.places.insert(worker, place);
    }

    /// Of which process an answer is, unless it is void.
    fn taken(
        &mut self,
        place: &mut Place,
        began: Micros,
        life: Option<u64>,
        own: bool,
    ) -> Option<Process> {
        if began <= place.last_began {
            self.counts.void_older += 1;
            return None;
        }
        place.answers += 1;
        let process = place.process(life, own);
        if process == Process::Void {
            self.counts.void_of_earlier_process += 1;
            return None;
        }
        Some(process)
    }
}

/// Within its bound; what is left out is told.
fn note(ago: Micros, observation: &Observation) -> Option<Vec<u8>> {
    let encode = |observation| postcard::to_stdvec(&Word::Said { ago, observation }).ok();
    let whole = encode(observation.clone())?;
    if whole.len() <= MOST_NOTE {
        return Some(whole);
    }
    let mut less = observation.clone();
    less.entries.iter_mut().for_each(|e| e.sequences = None);
    let value = encode(less.clone())?;
    if value.len() <= MOST_NOTE {
        return Some(value);
    }
    less.entries.truncate(FEW_ENTRIES);
    less.cut = true;
    encode(less).filter(|value| value.len() <= MOST_NOTE)
}
