//! How messages leave for other members: the interface between the group's state and its transport.

use bytes::Bytes;
use cedarpulley_membership::MemberIndex;

/// Sends messages to other members. It must not block.
pub trait Transport {
    /// Takes an encoded message for a member.
    fn send(&self, to: MemberIndex, message: Bytes, options: SendOptions);
}

/// How a message may be treated on its way.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct SendOptions {
    /// It may wait behind messages that a vote waits for.
    pub bulk: bool,
    /// It may be dropped if there is no room, as a later comparison of the records repairs the loss.
    pub recoverable: bool,
}
