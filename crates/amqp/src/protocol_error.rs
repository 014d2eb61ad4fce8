//! Violations of the specification by the broker, and its failures to reply in time. Each of them ends the connection.

use cedarpulley_errors::Remedy;
use thiserror::Error;

use crate::ConnectionError;
use crate::error::reply_code;

/// A violation of the protocol by the broker.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum ProtocolError {
    /// Opening or closing the connection or its channel takes too long.
    #[error("opening or closing timed out")]
    HandshakeTimeout,
    /// The broker did not confirm a commit in time.
    #[error("the broker did not confirm a commit in time")]
    CommitTimeout,
    /// No byte has arrived for two heartbeat intervals.
    #[error("no data received for two heartbeat intervals")]
    HeartbeatTimeout,
    /// The broker does not offer the login mechanism of this client.
    #[error("the broker does not offer PLAIN logins")]
    PlainNotOffered,
    /// The received bytes are not a frame of AMQP 0-9-1.
    #[error("frame type {kind} is unknown")]
    UnknownFrameType {
        /// The first byte of the frame.
        kind: u8,
    },
    /// A frame exceeds the negotiated size.
    #[error("a frame with a payload of {size} bytes exceeds the limit of {limit} bytes")]
    FrameTooLarge {
        /// Size of its payload in bytes.
        size: usize,
        /// Negotiated size of a whole frame in bytes.
        limit: usize,
    },
    /// A frame does not end with the frame-end byte.
    #[error("a frame does not end with the frame-end byte")]
    MissingFrameEnd,
    /// A frame's payload cannot be parsed.
    #[error("a frame is malformed or has an unknown method")]
    MalformedFrame,
    /// A message's body is longer than its header states.
    #[error("a body is longer than its header states")]
    BodyTooLong,
    /// A frame or method is not allowed in the connection's current state.
    #[error("unexpected: {description}")]
    Unexpected {
        /// The frame or method, and the state.
        description: String,
    },
}

impl ProtocolError {
    /// Creates the error for a frame or method that is not allowed in the current state.
    pub(crate) fn unexpected(description: impl Into<String>) -> Self {
        ProtocolError::Unexpected {
            description: description.into(),
        }
    }

    /// Returns the reply code to send to the broker.
    pub fn code(&self) -> u16 {
        match self {
            ProtocolError::HandshakeTimeout
            | ProtocolError::CommitTimeout
            | ProtocolError::HeartbeatTimeout => reply_code::CONNECTION_FORCED,
            ProtocolError::PlainNotOffered => reply_code::NOT_ALLOWED,
            ProtocolError::UnknownFrameType { .. }
            | ProtocolError::FrameTooLarge { .. }
            | ProtocolError::MissingFrameEnd
            | ProtocolError::BodyTooLong => reply_code::FRAME_ERROR,
            ProtocolError::MalformedFrame => reply_code::COMMAND_INVALID,
            ProtocolError::Unexpected { .. } => reply_code::UNEXPECTED_FRAME,
        }
    }
}

impl Remedy for ProtocolError {
    fn remedy(&self) -> &'static str {
        match self {
            ProtocolError::HandshakeTimeout
            | ProtocolError::CommitTimeout
            | ProtocolError::HeartbeatTimeout => {
                "check the broker and the network to it; the router reconnects by itself"
            }
            ProtocolError::PlainNotOffered => "enable PLAIN logins at the broker",
            ProtocolError::UnknownFrameType { .. } => {
                "check the port in the settings: it must be one for AMQP 0-9-1; TLS uses a different port"
            }
            ProtocolError::FrameTooLarge { .. }
            | ProtocolError::MissingFrameEnd
            | ProtocolError::MalformedFrame
            | ProtocolError::BodyTooLong
            | ProtocolError::Unexpected { .. } => {
                "check for proxies between router and broker, and report it: a peer violates the protocol"
            }
        }
    }
}

impl From<ProtocolError> for ConnectionError {
    fn from(error: ProtocolError) -> Self {
        ConnectionError::new(error.code(), error.to_string())
    }
}
