//! Protocol errors. Any of them ends the process with all the instances that it hosts.

use cedarpulley_errors::Remedy;
use thiserror::Error;

/// The reason why the input cannot be processed. The texts are listed in `docs/operate/errors.md`.
#[derive(Debug, Error)]
pub enum ProtocolError {
    /// An error in the line with this number, counted from 1.
    #[error("line {line}")]
    InLine {
        line: u64,
        source: Box<ProtocolError>,
    },
    /// The line has no value for a required field.
    #[error("{what} is missing")]
    MissingField { what: &'static str },
    /// A value does not parse as the type of its field.
    #[error("{what} '{value}' cannot be read")]
    MalformedField { what: &'static str, value: String },
    /// A word is not among those that the protocol defines for its place.
    #[error("{what} '{word}' is unknown")]
    UnknownWord { what: &'static str, word: String },
    /// The line has more fields than its message.
    #[error("more values than expected")]
    ExtraFields,
    /// A message is not allowed at this place in the input.
    #[error("unexpected message '{word}' {place}")]
    UnexpectedMessage { word: String, place: &'static str },
    /// The input ended before the batch was committed.
    #[error("the input ends within a batch")]
    TruncatedBatch,
    /// A message is for an instance that has not been started or has been stopped.
    #[error("instance {router} does not exist")]
    NoSuchInstance { router: u32 },
    /// A new invocation has the id of an unfinished one.
    #[error("requestId '{id}' is in use")]
    InvocationIdInUse { id: String },
    /// A message refers to a worker that no endpoint list has contained.
    #[error("worker '{id}' has not been in any endpoint list")]
    UnknownWorker { id: String },
    /// The balancer returned an action with an index that has no external id.
    #[error("an action refers to an unknown {what}")]
    UnknownIndex { what: &'static str },
    /// The line is not valid UTF-8.
    #[error("the line is not UTF-8")]
    InvalidUtf8,
    /// An instance cannot be started with the given settings.
    #[error("the settings of the instance are invalid")]
    Settings(#[from] cedarpulley_startup::SettingsError),
    /// Reading standard input or writing standard output failed.
    #[error("standard input or output failed")]
    Stream(#[from] std::io::Error),
}

impl Remedy for ProtocolError {
    fn remedy(&self) -> &'static str {
        match self {
            ProtocolError::InLine { source, .. } => source.remedy(),
            ProtocolError::MissingField { .. }
            | ProtocolError::MalformedField { .. }
            | ProtocolError::UnknownWord { .. }
            | ProtocolError::ExtraFields
            | ProtocolError::InvalidUtf8 => {
                "use a benchmark and a build with the same version of the protocol"
            }
            ProtocolError::UnexpectedMessage { .. } | ProtocolError::TruncatedBatch => {
                "send events only between clock and commit, and send every entry of a list"
            }
            ProtocolError::NoSuchInstance { .. } => {
                "start the instance (born) before sending messages to it"
            }
            ProtocolError::InvocationIdInUse { .. } => {
                "use a different id for each open invocation"
            }
            ProtocolError::UnknownWorker { .. } => {
                "send an endpoint list that contains the worker before messages about it"
            }
            ProtocolError::UnknownIndex { .. } => {
                "this is a bug in this build: keep the input and report it"
            }
            ProtocolError::Settings(source) => source.remedy(),
            ProtocolError::Stream(_) => {
                "check whether the benchmark still runs, and read its messages"
            }
        }
    }
}

/// The result of processing input.
pub type Result<T> = std::result::Result<T, ProtocolError>;
