//! Why files could not be read, or made of others; with what a user can do about it.

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
    #[error("it cannot be read or written")]
    Io(#[source] io::Error),
    /// The file does not begin as a trace does.
    #[error("it is no trace")]
    NotATrace,
    /// The file ends within its beginning.
    #[error("it is too short for a trace")]
    TooShort,
    /// Written by a newer build.
    #[error("it is of format {format}; this build reads up to {most}", most = FORMAT)]
    UnsupportedFormat {
        /// Its version.
        format: u16,
    },
    /// The file's beginning is damaged.
    #[error("its head is damaged: {cause}")]
    DamagedStart {
        /// What is wrong.
        cause: DecodeError,
    },
    /// The index has an entry that cannot be read.
    #[error("its index has no meaning")]
    DamagedIndex,
    /// A block is damaged.
    #[error("it is damaged at byte {offset}: {cause}")]
    Damaged {
        /// Where the block begins.
        offset: u64,
        /// What is wrong.
        cause: String,
    },
    /// There is nothing to read.
    #[error("no file is given")]
    NoFile,
    /// A replay needs the router's first file.
    #[error("it is file {file} of its row: a replay begins with file 0")]
    NotFirstFile {
        /// The first given file's number.
        file: u64,
    },
    /// Another build, driven with the same files, did not see the same events.
    #[error("the other build {how}")]
    OtherBuild {
        /// In what way.
        how: &'static str,
    },
    /// A stripped file would name an original.
    #[error("'{original}' would be left in it; nothing more was written")]
    OriginalLeft {
        /// The name.
        original: String,
    },
    /// Too many routers have one name in a folder.
    #[error("{most} routers named '{name}' write here already")]
    NameInUse {
        /// The name.
        name: String,
        /// How many may.
        most: u32,
    },
    /// A merged file would be too large for an index.
    #[error("more blocks than an index can name")]
    TooManyBlocks,
    /// Drawing failed.
    #[error("the chart cannot be drawn")]
    Chart(#[source] DrawingAreaErrorKind<io::Error>),
}

impl Remedy for Error {
    fn remedy(&self) -> &'static str {
        match self {
            Error::Io(_) => {
                "see that it is there, may be read or written, and that the disk has room"
            }
            Error::NotATrace => "name a file that a router wrote, as in its [trace] folder",
            Error::TooShort => "leave it out: its writer was ended as it began it",
            Error::UnsupportedFormat { .. } => "take a newer build",
            Error::DamagedStart { .. } => {
                "take its copy; nothing after its head can be read without it"
            }
            Error::DamagedIndex => {
                "copy it without its last 20 bytes: then its blocks are found without the index"
            }
            Error::Damaged { .. } => "replay up to there, or take a copy that is whole",
            Error::NoFile => "name at least one file",
            Error::NotFirstFile { .. } => "give the whole row from file 0 on, or the folder",
            Error::OtherBuild { .. } => "give both builds the same files",
            Error::OriginalLeft { .. } => "keep the file to yourself, and report what it named",
            Error::NameInUse { .. } => "give each router a name or a folder of its own",
            Error::TooManyBlocks => "cut it into parts and merge fewer at once",
            Error::Chart(_) => "report it: nothing but memory is drawn into",
        }
    }
}

impl From<io::Error> for Error {
    /// An [`Error`] that passed through a writer as an I/O error comes out as itself.
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
