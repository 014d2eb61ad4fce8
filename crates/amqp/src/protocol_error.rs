//! What a broker does against the specification, or fails to do in time. It ends the connection.

use cedarpulley_errors::Remedy;
use thiserror::Error;

use crate::ConnectionError;
use crate::error::reply_code;

/// A violation of the protocol by the broker.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum ProtocolError {
    /// Opening or closing takes too long.
    #[error("no progress in opening or closing")]
    HandshakeTimeout,
    /// A commit is not confirmed in time.
    #[error("no reply to a commit")]
    CommitTimeout,
    /// Not a byte has arrived for two heartbeat intervals.
    #[error("nothing heard for two heartbeats")]
    HeartbeatTimeout,
    /// The login mechanism of this client is not offered.
    #[error("the broker does not take PLAIN logins")]
    PlainNotOffered,
    /// The bytes are no frame of AMQP 0-9-1.
    #[error("frame type {kind} is unknown")]
    UnknownFrameType {
        /// The first byte.
        kind: u8,
    },
    /// A frame exceeds the negotiated size.
    #[error("a frame of {size} bytes where {most} are agreed")]
    FrameTooLarge {
        /// Size of its payload in bytes.
        size: usize,
        /// Negotiated size of a whole frame in bytes.
        most: usize,
    },
    /// A frame does not end with the end mark.
    #[error("a frame without its end mark")]
    MissingFrameEnd,
    /// A frame's payload cannot be parsed.
    #[error("a frame that cannot be read or a method unknown here")]
    MalformedFrame,
    /// A message's body exceeds the size in its header.
    #[error("a body longer than its header says")]
    BodyTooLong,
    /// A frame or method is not allowed in the present state.
    #[error("out of turn: {what}")]
    Unexpected {
        /// The frame or method, and the state.
        what: String,
    },
}

impl ProtocolError {
    /// Something that is not allowed in the present state.
    pub(crate) fn unexpected(what: impl Into<String>) -> Self {
        ProtocolError::Unexpected { what: what.into() }
    }

    /// The reply code that the broker is sent.
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
                "see whether the broker and the network to it are well; it is tried again by itself"
            }
            ProtocolError::PlainNotOffered => "allow PLAIN logins at the broker",
            ProtocolError::UnknownFrameType { .. } => {
                "let the settings name a port that speaks AMQP 0-9-1; TLS has one of its own"
            }
            ProtocolError::FrameTooLarge { .. }
            | ProtocolError::MissingFrameEnd
            | ProtocolError::MalformedFrame
            | ProtocolError::BodyTooLong
            | ProtocolError::Unexpected { .. } => {
                "see what stands between router and broker, and report it: a peer errs"
            }
        }
    }
}

impl From<ProtocolError> for ConnectionError {
    fn from(error: ProtocolError) -> Self {
        ConnectionError::new(error.code(), error.to_string())
    }
}
