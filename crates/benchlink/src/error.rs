//! Protocol errors. Any of them ends the process, and the instances that it hosted are gone.

use cedarpulley_errors::Remedy;
use thiserror::Error;

/// Why the input cannot be taken. The texts are listed in `docs/operate/errors.md`.
#[derive(Debug, Error)]
pub enum ProtocolError {
    /// With the number of the line, from 1 on.
    #[error("line {line}")]
    InLine {
        line: u64,
        source: Box<ProtocolError>,
    },
    #[error("{what} is missing")]
    MissingField { what: &'static str },
    #[error("{what} '{value}' cannot be read")]
    MalformedField { what: &'static str, value: String },
    #[error("{what} '{word}' is unknown")]
    UnknownWord { what: &'static str, word: String },
    #[error("more values than expected")]
    ExtraFields,
    #[error("'{word}' comes {place}")]
    UnexpectedMessage { word: String, place: &'static str },
    #[error("the input ends within a batch")]
    TruncatedBatch,
    #[error("instance {router} is not alive")]
    NoSuchInstance { router: u32 },
    #[error("requestId '{id}' is in use")]
    InvocationIdInUse { id: String },
    #[error("worker '{id}' was on no list")]
    UnknownWorker { id: String },
    /// The balancer returned an action with an index that it was never given.
    #[error("an action names an unknown {what}")]
    UnknownIndex { what: &'static str },
    #[error("the line is not UTF-8")]
    InvalidUtf8,
    #[error("nobody is born with these settings")]
    Settings(#[from] cedarpulley_startup::SettingsError),
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
                "use a bench and a build that speak the same version of the wire"
            }
            ProtocolError::UnexpectedMessage { .. } | ProtocolError::TruncatedBatch => {
                "keep events between clock and commit, lists whole"
            }
            ProtocolError::NoSuchInstance { .. } => {
                "let an instance be born before it hears anything"
            }
            ProtocolError::InvocationIdInUse { .. } => "give each open invocation an id of its own",
            ProtocolError::UnknownWorker { .. } => {
                "name a worker in a list before anything comes from it"
            }
            ProtocolError::UnknownIndex { .. } => {
                "a fault of this build: keep the input and report it"
            }
            ProtocolError::Settings(source) => source.remedy(),
            ProtocolError::Stream(_) => "see whether the bench still runs and what it says",
        }
    }
}

/// The result of reading input.
pub type Result<T> = std::result::Result<T, ProtocolError>;
