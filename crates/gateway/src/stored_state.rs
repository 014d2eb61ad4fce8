//! What passes between the group's state and its store.

use cedarpulley_replica::{Key, RecordCopy};

/// State read from the store at start.
#[derive(Default)]
pub struct RestoredState {
    /// Incarnation of the process that wrote it.
    pub incarnation: u64,
    /// The shared records by key.
    pub records: Vec<(Key, RecordCopy)>,
}

/// Changes of the shared records, for the store.
pub struct StoreChanges {
    /// Incarnation of this process.
    pub incarnation: u64,
    /// Serial of these changes, above those of all earlier ones.
    pub serial: u64,
    /// Records as they are now; absent ones were removed.
    pub records: Vec<(Key, Option<RecordCopy>)>,
}
