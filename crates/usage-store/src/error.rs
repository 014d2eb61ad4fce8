//! Why a ledger cannot be read or written.

use cedarpulley_errors::Remedy;
use thiserror::Error;

use crate::tables::FORMAT;

/// Why a ledger could not be read or written.
#[derive(Debug, Error)]
pub enum StoreError {
    /// Its contents cannot be used. The file is left as it is.
    #[error("the ledger cannot be read: {0}")]
    Unreadable(UnreadableReason),
    /// Another process has it open.
    #[error("another process has the ledger open")]
    InUse,
    /// The write failed; what was acknowledged before is still there.
    #[error("the disk did not take it: {0}")]
    Unwritten(redb::Error),
}

/// Why the contents of a ledger cannot be used.
#[derive(Debug, Error)]
pub enum UnreadableReason {
    /// A later build wrote it.
    #[error("it is of format {format}; this build reads up to {most}", most = FORMAT)]
    LaterFormat {
        /// The format's number.
        format: u64,
    },
    /// The store's own checks failed.
    #[error("it is damaged")]
    Damaged,
    /// A row's number of a kind is unknown.
    #[error("it has a kind of no meaning")]
    UnknownKind,
    /// A row's source is unknown.
    #[error("it has sums of no source")]
    UnknownSource,
    /// The store reports an error.
    #[error("{0}")]
    Store(redb::Error),
}

impl Remedy for StoreError {
    fn remedy(&self) -> &'static str {
        match self {
            StoreError::Unreadable(UnreadableReason::LaterFormat { .. }) => "take a newer build",
            StoreError::Unreadable(_) => {
                "put a copy in its place; a router sets it aside by itself and begins a new one"
            }
            StoreError::InUse => "stop the other, or read a copy of the file",
            StoreError::Unwritten(_) => {
                "make room, and see that the folder is there and may be written to"
            }
        }
    }
}

impl From<UnreadableReason> for StoreError {
    fn from(reason: UnreadableReason) -> Self {
        StoreError::Unreadable(reason)
    }
}

pub(crate) fn unreadable(error: impl Into<redb::Error>) -> StoreError {
    StoreError::Unreadable(UnreadableReason::Store(error.into()))
}

pub(crate) fn unwritten(error: impl Into<redb::Error>) -> StoreError {
    StoreError::Unwritten(error.into())
}

/// Failure to open a file. One that another process has open, or that may not be accessed, is not damaged.
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
