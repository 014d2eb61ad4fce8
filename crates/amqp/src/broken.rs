//! What a broker does that the specification does not allow, or does not do in time: the connection cannot go on.

use cedarpulley_errors::Remedy;
use thiserror::Error;

use crate::Fault;

#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum Broken {
    #[error("no progress in opening or closing")]
    Stuck,
    #[error("no reply to a commit")]
    NoReply,
    #[error("nothing heard for two heartbeats")]
    Silent,
    #[error("the broker does not take PLAIN logins")]
    NoPlain,
    #[error("frame type {kind} is unknown")]
    NoFrame { kind: u8 },
    #[error("a frame of {size} bytes where {most} are agreed")]
    TooLarge { size: usize, most: usize },
    #[error("a frame without its end mark")]
    NoEnd,
    #[error("a frame that cannot be read or a method unknown here")]
    Unreadable,
    #[error("a body longer than its header says")]
    TooLong,
    #[error("out of turn: {what}")]
    OutOfTurn { what: String },
}

/// Reply codes of the specification.
const FORCED: u16 = 320;
const FRAME_ERROR: u16 = 501;
const COMMAND_INVALID: u16 = 503;
const UNEXPECTED_FRAME: u16 = 505;
const NOT_ALLOWED: u16 = 530;

impl Broken {
    /// What the broker is told.
    pub fn code(&self) -> u16 {
        match self {
            Broken::Stuck | Broken::NoReply | Broken::Silent => FORCED,
            Broken::NoPlain => NOT_ALLOWED,
            Broken::NoFrame { .. } | Broken::TooLarge { .. } | Broken::NoEnd | Broken::TooLong => {
                FRAME_ERROR
            }
            Broken::Unreadable => COMMAND_INVALID,
            Broken::OutOfTurn { .. } => UNEXPECTED_FRAME,
        }
    }
}

impl Remedy for Broken {
    fn remedy(&self) -> &'static str {
        match self {
            Broken::Stuck | Broken::NoReply | Broken::Silent => {
                "see whether the broker and the network to it are well; it is tried again by itself"
            }
            Broken::NoPlain => "allow PLAIN logins at the broker",
            Broken::NoFrame { .. } => {
                "let the settings name a port that speaks AMQP 0-9-1; TLS has one of its own"
            }
            Broken::TooLarge { .. }
            | Broken::NoEnd
            | Broken::Unreadable
            | Broken::TooLong
            | Broken::OutOfTurn { .. } => {
                "see what stands between router and broker, and report it: a peer errs"
            }
        }
    }
}

impl From<Broken> for Fault {
    fn from(why: Broken) -> Self {
        Fault::new(why.code(), why.to_string())
    }
}
