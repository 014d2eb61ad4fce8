//! The interface between the group's state and the transport that sends its messages to other members.

use bytes::Bytes;
use cedarpulley_membership::MemberIndex;

/// Sends messages to other members. It must not block.
pub trait Transport {
    /// Accepts an encoded message for a member, to be sent later.
    fn send(&self, to: MemberIndex, message: Bytes, options: SendOptions);
}

/// How the transport may treat a message.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct SendOptions {
    /// The message may be delayed by messages that a vote depends on.
    pub bulk: bool,
    /// The message may be dropped if the queue is full, as a later comparison of the records repairs the loss.
    pub recoverable: bool,
}
