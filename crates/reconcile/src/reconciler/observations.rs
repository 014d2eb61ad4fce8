//! Notes between the members: the report of a worker that one member polled, encoded for the others.
//!
//! Mechanisms:
//! 1. A note contains the age of its report when it was sent, so that a receiver can compute with its own clock the
//!    earliest time at which the observation can have begun.
//! 2. The size of a note is bounded: sessions are left out first, then functions, and the note is then marked as
//!    truncated.

use cedarpulley::interface::Micros;
use serde::{Deserialize, Serialize};

use crate::observation::Observation;

/// Largest size of an encoded note, in bytes; sessions are left out first, then functions.
const MAX_NOTE_BYTES: usize = 256 << 10;
/// Functions that remain in a note that is too large even without sessions.
const MAX_TRUNCATED_ENTRIES: usize = 512;

/// A message from one member to the others. Encoded by postcard, so the order of variants and fields is fixed.
#[derive(Debug, Serialize, Deserialize)]
pub(super) enum Note {
    /// A report of the worker.
    Observed {
        /// Microseconds between the beginning of the observation and the sending of the note.
        ago: Micros,
        /// The reported observation.
        observation: Observation,
    },
    /// The worker did not answer.
    Unresponsive,
}

impl Note {
    /// Decodes a note; `None` if the bytes are malformed.
    pub(super) fn decode(value: &[u8]) -> Option<Note> {
        postcard::from_bytes(value).ok()
    }

    /// Encodes a note about an unresponsive worker.
    pub(super) fn encode_unresponsive() -> Option<Vec<u8>> {
        postcard::to_stdvec(&Note::Unresponsive).ok()
    }

    /// Encodes a note with a report, truncated to the size limit; `None` if it cannot be truncated enough.
    pub(super) fn encode_observed(ago: Micros, observation: &Observation) -> Option<Vec<u8>> {
        let encode = |observation| postcard::to_stdvec(&Note::Observed { ago, observation }).ok();
        let fits = |value: &Vec<u8>| value.len() <= MAX_NOTE_BYTES;
        let complete = encode(observation.clone())?;
        if fits(&complete) {
            return Some(complete);
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
