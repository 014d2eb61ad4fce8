//! The types that the group's state and its store exchange.

use cedarpulley_replica::{Key, RecordCopy};

/// State read from the store at start.
#[derive(Default)]
pub struct RestoredState {
    /// Incarnation of the process that wrote the state.
    pub incarnation: u64,
    /// The shared records with their keys.
    pub records: Vec<(Key, RecordCopy)>,
}

/// Changes of the shared records that the store writes.
pub struct StoreChanges {
    /// Incarnation of this process.
    pub incarnation: u64,
    /// Serial of these changes, above the serials of all earlier changes.
    pub serial: u64,
    /// The current record of each changed key; absent if it was removed.
    pub records: Vec<(Key, Option<RecordCopy>)>,
}
