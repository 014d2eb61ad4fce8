//! Messages between the members of a group. They are encoded with postcard, so that the order of variants and fields is
//! part of the wire format.

use serde::{Deserialize, Serialize};

use crate::group::MemberIndex;

/// Identifies one run of a member's process. A later incarnation compares as greater.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize,
)]
pub struct Incarnation {
    /// Only increases, also over restarts as long as the store is retained. A member raises it to refute a wrong state
    /// that others recorded of it.
    pub number: u64,
    /// Random, and different for each process.
    pub nonce: u64,
}

/// Liveness of one member. Of two states of the same incarnation, the later one in this order wins.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize,
)]
pub enum MemberState {
    /// Nothing has been received from the member or about it yet.
    #[default]
    Unknown,
    /// The member answers.
    Alive,
    /// The member answered neither direct nor indirect probes; it still counts as alive.
    Suspected,
    /// The suspicion of the member timed out.
    Dead,
}

/// The sender's entry for one member.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct MemberUpdate {
    /// The member that the entry describes.
    pub member: MemberIndex,
    /// Its latest known incarnation.
    pub incarnation: Incarnation,
    /// The state of that incarnation.
    pub state: MemberState,
}

/// One message between two members. It includes the sender's table only if the digests differ.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Message {
    /// Requests an [`Message::Answer`] from the receiver.
    Probe {
        /// Sequence number of the probe, chosen by its sender.
        sequence: u64,
        /// Digest of the sender's table.
        digest: u64,
        /// The sender's table, or empty.
        updates: Vec<MemberUpdate>,
    },
    /// Answers a probe, or forwards the answer to an indirect probe.
    Answer {
        /// Sequence number of the probe that is answered.
        sequence: u64,
        /// The member that answered: the sender itself, or the target of an indirect probe that the receiver requested.
        answered_by: MemberIndex,
        /// Digest of the sender's table; 0 in a forwarded answer.
        digest: u64,
        /// The sender's table, or empty; in a forwarded answer, the sender's entry for the member that answered.
        updates: Vec<MemberUpdate>,
    },
    /// Requests that the receiver probe another member on the sender's behalf (SWIM's indirect probe).
    IndirectProbe {
        /// Sequence number of the direct probe that was not answered.
        sequence: u64,
        /// The member to probe.
        target: MemberIndex,
    },
}
