//! The error that ends a connection.

use cedarpulley_errors::Remedy;
use thiserror::Error;

/// The reply codes of the specification.
pub mod reply_code {
    /// The connection was closed without an error.
    pub const SUCCESS: u16 = 200;
    /// An operator closed the connection, or the peer stopped responding.
    pub const CONNECTION_FORCED: u16 = 320;
    /// The virtual host does not exist.
    pub const INVALID_PATH: u16 = 402;
    /// The login failed, or the user lacks permissions.
    pub const ACCESS_REFUSED: u16 = 403;
    /// The queue does not exist.
    pub const NOT_FOUND: u16 = 404;
    /// The queue is exclusive to another connection.
    pub const RESOURCE_LOCKED: u16 = 405;
    /// The properties of the queue differ from the requested ones.
    pub const PRECONDITION_FAILED: u16 = 406;
    /// A frame is malformed.
    pub const FRAME_ERROR: u16 = 501;
    /// A method is unknown or not allowed in this state.
    pub const COMMAND_INVALID: u16 = 503;
    /// A frame arrived out of order.
    pub const UNEXPECTED_FRAME: u16 = 505;
    /// The request is not allowed, for example because of an unknown virtual host or login mechanism.
    pub const NOT_ALLOWED: u16 = 530;
}

/// An error that ends the connection, detected by the broker or by this side.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("{text} ({code})")]
pub struct ConnectionError {
    /// A reply code of the specification.
    pub code: u16,
    /// The cause, as readable text.
    pub text: String,
}

impl ConnectionError {
    /// Creates an error with this reply code and cause.
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
            reply_code::SUCCESS => "nothing: the connection was closed without an error",
            reply_code::ACCESS_REFUSED => {
                "check user and password in the settings, and the user's permissions at the broker"
            }
            reply_code::NOT_FOUND => {
                "declare the queue at the broker, or correct its name in the settings"
            }
            reply_code::INVALID_PATH | reply_code::NOT_ALLOWED => {
                "create the virtual host at the broker, or correct its name in the settings"
            }
            reply_code::RESOURCE_LOCKED | reply_code::PRECONDITION_FAILED => {
                "make the queue match the settings; another connection may hold it exclusively"
            }
            reply_code::FRAME_ERROR..=reply_code::UNEXPECTED_FRAME => {
                "check for proxies between router and broker, and report it: a peer violates the protocol"
            }
            _ => "check the broker's log; the router reconnects by itself",
        }
    }
}
