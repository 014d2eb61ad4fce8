//! Why a connection ends.

use cedarpulley_errors::Remedy;
use thiserror::Error;

/// The reply codes of the specification.
pub mod reply_code {
    /// Ended in good order.
    pub const SUCCESS: u16 = 200;
    /// An operator or a lost peer ended the connection.
    pub const CONNECTION_FORCED: u16 = 320;
    /// The virtual host is unknown.
    pub const INVALID_PATH: u16 = 402;
    /// Login or rights are insufficient.
    pub const ACCESS_REFUSED: u16 = 403;
    /// The queue is unknown.
    pub const NOT_FOUND: u16 = 404;
    /// Another connection has the queue for itself.
    pub const RESOURCE_LOCKED: u16 = 405;
    /// The queue has other properties than were stated.
    pub const PRECONDITION_FAILED: u16 = 406;
    /// A frame is malformed.
    pub const FRAME_ERROR: u16 = 501;
    /// A method is unknown or not allowed in this state.
    pub const COMMAND_INVALID: u16 = 503;
    /// A frame comes out of order.
    pub const UNEXPECTED_FRAME: u16 = 505;
    /// Not allowed, as an unknown virtual host or login mechanism.
    pub const NOT_ALLOWED: u16 = 530;
}

/// The connection cannot go on, as one of both sides has stated.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("{text} ({code})")]
pub struct ConnectionError {
    /// A reply code of the specification.
    pub code: u16,
    /// The cause, for people.
    pub text: String,
}

impl ConnectionError {
    /// An error with this reply code and cause.
    pub fn new(code: u16, text: impl Into<String>) -> Self {
        ConnectionError {
            code,
            text: text.into(),
        }
    }
}

impl Remedy for ConnectionError {
    fn remedy(&self) -> &'static str {
        match self.code {
            reply_code::SUCCESS => "nothing: it ended in good order",
            reply_code::ACCESS_REFUSED => {
                "let user, password and the user's rights at the broker fit the settings"
            }
            reply_code::NOT_FOUND => {
                "declare the queue at the broker, or mend its name in the settings"
            }
            reply_code::INVALID_PATH | reply_code::NOT_ALLOWED => {
                "declare the virtual host at the broker, or mend its name in the settings"
            }
            reply_code::RESOURCE_LOCKED | reply_code::PRECONDITION_FAILED => {
                "let the queue be as the settings say; another may have it for itself"
            }
            reply_code::FRAME_ERROR..=reply_code::UNEXPECTED_FRAME => {
                "see what stands between router and broker, and report it: a peer errs"
            }
            _ => "see the broker's log; it is tried again by itself",
        }
    }
}
