//! Why files could not be read, or made of others.

use std::io;

use cedarpulley_errors::Remedy;
use plotters::drawing::DrawingAreaErrorKind;
use thiserror::Error;

use crate::blocks::FORMAT;
use crate::codec::DecodeError;

#[derive(Debug, Error)]
pub enum Error {
    #[error("it cannot be read or written")]
    Disk(#[source] io::Error),
    #[error("it is no trace")]
    NoTrace,
    #[error("it is too short for a trace")]
    TooShort,
    #[error("it is of format {format}; this build reads up to {most}", most = FORMAT)]
    Later { format: u16 },
    #[error("its head is damaged: {cause}")]
    Head { cause: DecodeError },
    #[error("its index has no meaning")]
    Index,
    #[error("it is damaged at byte {offset}: {cause}")]
    Damaged { offset: u64, cause: String },
    #[error("no file is given")]
    NoFile,
    #[error("it is file {file} of its row: a replay begins with file 0")]
    NotFirst { file: u64 },
    #[error("the other build {how}")]
    Other { how: &'static str },
    #[error("'{original}' would be left in it; nothing more was written")]
    Left { original: String },
    #[error("{most} routers named '{name}' write here already")]
    Taken { name: String, most: u32 },
    #[error("more blocks than an index can name")]
    TooManyBlocks,
    #[error("the chart cannot be drawn")]
    Chart(#[source] DrawingAreaErrorKind<io::Error>),
}

impl Remedy for Error {
    fn remedy(&self) -> &'static str {
        match self {
            Error::Disk(_) => {
                "see that it is there, may be read or written, and that the disk has room"
            }
            Error::NoTrace => "name a file that a router wrote, as in its [trace] folder",
            Error::TooShort => "leave it out: its writer was ended as it began it",
            Error::Later { .. } => "take a newer build",
            Error::Head { .. } => "take its copy; nothing after its head can be read without it",
            Error::Index => {
                "copy it without its last 20 bytes: then its blocks are found without the index"
            }
            Error::Damaged { .. } => "replay up to there, or take a copy that is whole",
            Error::NoFile => "name at least one file",
            Error::NotFirst { .. } => "give the whole row from file 0 on, or the folder",
            Error::Other { .. } => "give both builds the same files",
            Error::Left { .. } => "keep the file to yourself, and report what it named",
            Error::Taken { .. } => "give each router a name or a folder of its own",
            Error::TooManyBlocks => "cut it into parts and merge fewer at once",
            Error::Chart(_) => "report it: nothing but memory is drawn into",
        }
    }
}

impl From<io::Error> for Error {
    /// One of these that passed through a writer comes out as itself.
    fn from(e: io::Error) -> Self {
        e.downcast().unwrap_or_else(Error::Disk)
    }
}

impl From<Error> for io::Error {
    fn from(e: Error) -> Self {
        match e {
            Error::Disk(e) => e,
            e => io::Error::other(e),
        }
    }
}
