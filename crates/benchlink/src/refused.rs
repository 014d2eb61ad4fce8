//! Why input is refused: the process ends with it, and what it hosted is gone.

use cedarpulley_errors::Remedy;
use thiserror::Error;

#[derive(Debug, Error)]
pub enum Refused {
    #[error("line {line}")]
    At {
        line: u64,
        #[source]
        why: Box<Refused>,
    },
    #[error("{what} is missing")]
    Missing { what: &'static str },
    #[error("{what} '{value}' cannot be read")]
    Misread { what: &'static str, value: String },
    #[error("{what} '{word}' is unknown")]
    Unknown { what: &'static str, word: String },
    #[error("more values than expected")]
    TooMany,
    #[error("'{word}' comes {place}")]
    OutOfPlace { word: String, place: &'static str },
    #[error("the input ends within a batch")]
    EndsEarly,
    #[error("instance {router} is not alive")]
    NotAlive { router: u32 },
    #[error("requestId '{id}' is in use")]
    InUse { id: String },
    #[error("worker '{id}' was on no list")]
    Unlisted { id: String },
    #[error("an action names an unknown {what}")]
    Unnamed { what: &'static str },
    #[error("the line is not UTF-8")]
    NoText,
    #[error("nobody is born with these settings")]
    Unborn(#[from] cedarpulley_startup::SettingsError),
    #[error("standard input or output failed")]
    Wire(#[from] std::io::Error),
}

impl Remedy for Refused {
    fn remedy(&self) -> &'static str {
        match self {
            Refused::At { why, .. } => why.remedy(),
            Refused::Missing { .. }
            | Refused::Misread { .. }
            | Refused::Unknown { .. }
            | Refused::TooMany
            | Refused::NoText => "use a bench and a build that speak the same version of the wire",
            Refused::OutOfPlace { .. } | Refused::EndsEarly => {
                "keep events between clock and commit, lists whole"
            }
            Refused::NotAlive { .. } => "let an instance be born before it hears anything",
            Refused::InUse { .. } => "give each open invocation an id of its own",
            Refused::Unlisted { .. } => "name a worker in a list before anything comes from it",
            Refused::Unnamed { .. } => "a fault of this build: keep the input and report it",
            Refused::Unborn(why) => why.remedy(),
            Refused::Wire(_) => "see whether the bench still runs and what it says",
        }
    }
}

pub type Result<T> = std::result::Result<T, Refused>;
