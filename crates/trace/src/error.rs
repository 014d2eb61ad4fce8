//! Errors of reading, writing and rewriting trace files, each with a remedy for the operator.

use std::io;

use cedarpulley_errors::Remedy;
use plotters::drawing::DrawingAreaErrorKind;
use thiserror::Error;

use crate::blocks::FORMAT;
use crate::codec::DecodeError;

/// Why a trace could not be read, written or drawn.
#[derive(Debug, Error)]
pub enum Error {
    /// Reading or writing failed.
    #[error("the file cannot be read or written")]
    Io(#[source] io::Error),
    /// The file does not begin with the magic number of a trace.
    #[error("the file is not a trace")]
    NotATrace,
    /// The file ends within the fixed part of its header.
    #[error("the file is too short to be a trace")]
    TooShort,
    /// The file has a format that this build does not know, usually because a newer build wrote it.
    #[error("the file has format {format}; this build reads formats up to {most}", most = FORMAT)]
    UnsupportedFormat {
        /// The format version of the file.
        format: u16,
    },
    /// The start record is damaged.
    #[error("the file header is damaged: {cause}")]
    DamagedStart {
        /// Why the start record could not be decoded.
        cause: DecodeError,
    },
    /// The checksum of the index is correct, but an entry of it cannot be decoded.
    #[error("the index of the file contains an invalid entry")]
    DamagedIndex,
    /// A block is damaged.
    #[error("the file is damaged at byte {offset}: {cause}")]
    Damaged {
        /// Offset of the block in the file, in bytes.
        offset: u64,
        /// Why the block could not be read.
        cause: String,
    },
    /// No file was given.
    #[error("no file is given")]
    NoFile,
    /// A replay needs the first file of the series.
    #[error("the file is number {file} of its series; a replay begins with file 0")]
    NotFirstFile {
        /// Number of the first given file.
        file: u64,
    },
    /// Another build that replayed the same files did not report the same events.
    #[error("the other build {how}")]
    OtherBuild {
        /// What the other build did, as the predicate of the message.
        how: &'static str,
    },
    /// A stripped file would still contain an original name.
    #[error("the original name '{original}' would remain in the output file; writing was stopped")]
    OriginalLeft {
        /// The original name.
        original: String,
    },
    /// Too many routers with the same name write to the same folder.
    #[error("{most} routers named '{name}' already write to this folder")]
    NameInUse {
        /// The router name.
        name: String,
        /// How many routers may share a name in a folder.
        most: u32,
    },
    /// The index of the file would exceed the size that its length field can express.
    #[error("the file has more blocks than an index can hold")]
    TooManyBlocks,
    /// Drawing failed.
    #[error("the chart cannot be drawn")]
    Chart(#[source] DrawingAreaErrorKind<io::Error>),
}

impl Remedy for Error {
    fn remedy(&self) -> &'static str {
        match self {
            Error::Io(_) => {
                "check that the file exists, that its permissions allow access, and that the disk has free space"
            }
            Error::NotATrace => {
                "name a file that a router wrote, for example one in its [trace] folder"
            }
            Error::TooShort => {
                "leave the file out: its writer ended before the header was complete"
            }
            Error::UnsupportedFormat { .. } => "use a newer build",
            Error::DamagedStart { .. } => {
                "use another copy of the file: without the header, no block can be read"
            }
            Error::DamagedIndex => {
                "copy the file without its last 20 bytes: the blocks of the copy are found without the index"
            }
            Error::Damaged { .. } => "replay the file up to that byte, or use an undamaged copy",
            Error::NoFile => "name at least one file",
            Error::NotFirstFile { .. } => {
                "name all files of the series from file 0 on, or the folder"
            }
            Error::OtherBuild { .. } => "give both builds the same files",
            Error::OriginalLeft { .. } => {
                "do not share the output file, and report the name as a bug"
            }
            Error::NameInUse { .. } => "give each router a name or a folder of its own",
            Error::TooManyBlocks => {
                "cut the files into shorter parts, or merge fewer files at once"
            }
            Error::Chart(_) => "report a bug: charts are drawn in memory, where no I/O can fail",
        }
    }
}

impl From<io::Error> for Error {
    /// Restores an [`Error`] that was wrapped into an I/O error to pass through a writer.
    fn from(e: io::Error) -> Self {
        e.downcast().unwrap_or_else(Error::Io)
    }
}

impl From<Error> for io::Error {
    fn from(e: Error) -> Self {
        match e {
            Error::Io(e) => e,
            e => io::Error::other(e),
        }
    }
}
