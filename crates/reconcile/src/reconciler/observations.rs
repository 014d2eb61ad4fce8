//! Notes between the members: what one heard of a worker, encoded for the others.
//!
//! Mechanisms:
//! 1. A note tells for how long its report was under way, so that a receiver knows by its own clock from which
//!    time it can be at the earliest.
//! 2. A note is bounded: sessions are left out first, then functions, and that it was cut is told.

use cedarpulley::interface::Micros;
use serde::{Deserialize, Serialize};

use crate::observation::Observation;

/// Bytes of a note; sessions are left out first, then functions.
const MAX_NOTE_BYTES: usize = 256 << 10;
/// Functions that a note which was too long still names.
const MAX_TRUNCATED_ENTRIES: usize = 512;

/// What goes from one member to the others. Encoded by postcard: the order of variants and fields is fixed.
#[derive(Debug, Serialize, Deserialize)]
pub(super) enum Note {
    /// A report that began so long before the note was sent, in microseconds.
    Observed {
        ago: Micros,
        observation: Observation,
    },
    /// The worker did not answer.
    Unresponsive,
}

impl Note {
    /// None for what is no note.
    pub(super) fn decode(value: &[u8]) -> Option<Note> {
        postcard::from_bytes(value).ok()
    }

    /// The bytes of a note of an unresponsive worker.
    pub(super) fn encode_unresponsive() -> Option<Vec<u8>> {
        postcard::to_stdvec(&Note::Unresponsive).ok()
    }

    /// The bytes of a note of a report, within the bound; None if it cannot be brought there.
    pub(super) fn encode_observed(ago: Micros, observation: &Observation) -> Option<Vec<u8>> {
        let encode = |observation| postcard::to_stdvec(&Note::Observed { ago, observation }).ok();
        let fits = |value: &Vec<u8>| value.len() <= MAX_NOTE_BYTES;
        let whole = encode(observation.clone())?;
        if fits(&whole) {
            return Some(whole);
        }
        let mut truncated = observation.clone();
        for entry in &mut truncated.entries {
            entry.sessions = None;
        }
        let value = encode(truncated.clone())?;
        if fits(&value) {
            return Some(value);
        }
        truncated.entries.truncate(MAX_TRUNCATED_ENTRIES);
        truncated.truncated = true;
        encode(truncated).filter(fits)
    }
}
