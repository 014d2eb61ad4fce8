//! Marks a disk whose member started without records and has not recovered yet. Without the mark, a member that lost
//! its store and crashes once more before it has recovered would find records on its disk, and would be taken for one
//! that remembers its earlier votes.
//!
//! The marker is written like a record, but is not stored among the records: it concerns this member only.

use cedarpulley::interface::Micros;

use crate::record::{Note, Record};
use crate::store::{Key, Origin, RecordCopy};

/// The key of the marker. The prefix is used by no record.
const MARKER_KEY: &str = "m\n";

/// The marker of one member's disk.
#[derive(Clone, Debug, Default)]
pub(crate) struct RecoveryMarker {
    /// Whether the marker is on the disk, as far as it was taken for writing.
    is_written: bool,
}

impl RecoveryMarker {
    /// Removes the marker from restored records; returns whether it was there.
    pub(crate) fn take_from(restored: &mut Vec<(Key, RecordCopy)>) -> bool {
        let before = restored.len();
        restored.retain(|(key, _)| &**key != MARKER_KEY);
        restored.len() < before
    }

    /// The marker as it was found on the disk.
    pub(crate) fn new(is_written: bool) -> Self {
        RecoveryMarker { is_written }
    }

    /// The change to write, if the marker on the disk differs from `is_recovering`.
    pub(crate) fn change(&mut self, is_recovering: bool) -> Option<(Key, Option<RecordCopy>)> {
        if self.is_written == is_recovering {
            return None;
        }
        self.is_written = is_recovering;
        let marker = RecordCopy {
            record: Record::Note(Note::default()),
            origin: Origin::default(),
            expires_in: Micros::MAX,
            first_dispatch_ago: None,
            proof_expires_in: None,
        };
        Some((Key::from(MARKER_KEY), is_recovering.then_some(marker)))
    }
}
