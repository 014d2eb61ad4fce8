//! Violations of the specification by the broker, and its failures to reply in time. Each of them ends the connection.

use cedarpulley_errors::Remedy;
use thiserror::Error;

use crate::ConnectionError;
use crate::error::reply_code;

/// A violation of the protocol by the broker.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum ProtocolError {
    /// Opening or closing the connection or its channel takes too long.
    #[error("no progress in opening or closing")]
    HandshakeTimeout,
    /// The broker did not confirm a commit in time.
    #[error("no reply to a commit")]
    CommitTimeout,
    /// No byte has arrived for two heartbeat intervals.
    #[error("nothing heard for two heartbeats")]
    HeartbeatTimeout,
    /// The broker does not offer the login mechanism of this client.
    #[error("the broker does not take PLAIN logins")]
    PlainNotOffered,
    /// The received bytes are not a frame of AMQP 0-9-1.
    #[error("frame type {kind} is unknown")]
    UnknownFrameType {
        /// The first byte of the frame.
        kind: u8,
    },
    /// A frame exceeds the negotiated size.
    #[error("a frame of {size} bytes where {most} are agreed", most = .limit)]
    FrameTooLarge {
        /// Size of its payload in bytes.
        size: usize,
        /// Negotiated size of a whole frame in bytes.
        limit: usize,
    },
    /// A frame does not end with the frame-end byte.
    #[error("a frame without its end mark")]
    MissingFrameEnd,
    /// A frame's payload cannot be parsed.
    #[error("a frame that cannot be read or a method unknown here")]
    MalformedFrame,
    /// A message's body is longer than its header states.
    #[error("a body longer than its header says")]
    BodyTooLong,
    /// A frame or method is not allowed in the connection's current state.
    #[error("out of turn: {what}", what = .description)]
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
