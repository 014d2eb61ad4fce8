//! Errors of reading and writing a ledger.

use cedarpulley_errors::Remedy;
use thiserror::Error;

use crate::tables::FORMAT;

/// Why a ledger could not be read or written.
#[derive(Debug, Error)]
pub enum StoreError {
    /// The contents of the ledger cannot be used. The file is not changed.
    #[error("the ledger cannot be read: {0}")]
    Unreadable(UnreadableReason),
    /// Another process has the ledger open.
    #[error("another process has the ledger open")]
    InUse,
    /// The write failed. Usage that was acknowledged before is still in the ledger.
    #[error("the ledger cannot be written: {0}")]
    Unwritten(redb::Error),
}

/// Why the contents of a ledger cannot be used.
#[derive(Debug, Error)]
pub enum UnreadableReason {
    /// The file was written by a later build.
    #[error("its format is {format}, but this build reads only up to {max}", max = FORMAT)]
    LaterFormat {
        /// The format's number.
        format: u64,
    },
    /// The integrity checks of the database failed.
    #[error("it is damaged")]
    Damaged,
    /// A row has an unknown number for the kind of usage.
    #[error("it contains an unknown kind of usage")]
    UnknownKind,
    /// A row has a source that the file does not list.
    #[error("it contains sums of an unknown source")]
    UnknownSource,
    /// The database reported an error.
    #[error("{0}")]
    Store(redb::Error),
}

impl Remedy for StoreError {
    fn remedy(&self) -> &'static str {
        match self {
            StoreError::Unreadable(UnreadableReason::LaterFormat { .. }) => "use a newer build",
            StoreError::Unreadable(_) => {
                "replace it with a copy; a router renames it by itself and creates a new one"
            }
            StoreError::InUse => "stop the other process, or read a copy of the file",
            StoreError::Unwritten(_) => {
                "free disk space, and check that the folder exists and is writable"
            }
        }
    }
}

impl From<UnreadableReason> for StoreError {
    fn from(reason: UnreadableReason) -> Self {
        StoreError::Unreadable(reason)
    }
}

/// The error of a failed read.
pub(crate) fn unreadable(error: impl Into<redb::Error>) -> StoreError {
    StoreError::Unreadable(UnreadableReason::Store(error.into()))
}

/// The error of a failed write.
pub(crate) fn unwritten(error: impl Into<redb::Error>) -> StoreError {
    StoreError::Unwritten(error.into())
}

/// The error of a failed attempt to open a file. A file that another process has open, or that this process may not
/// access, does not count as damaged.
pub(crate) fn unopened(error: redb::DatabaseError) -> StoreError {
    match &error {
        redb::DatabaseError::DatabaseAlreadyOpen => StoreError::InUse,
        redb::DatabaseError::Storage(redb::StorageError::Io(io))
            if !matches!(
                io.kind(),
                std::io::ErrorKind::InvalidData | std::io::ErrorKind::UnexpectedEof
            ) =>
        {
            unwritten(error)
        }
        _ => unreadable(error),
    }
}
