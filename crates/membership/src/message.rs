//! What members of a group send each other. Encoded with postcard: the order of variants and fields is the wire format.

use serde::{Deserialize, Serialize};

use crate::group::MemberIndex;

/// One run of a member's process. The higher one is the later one.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize,
)]
pub struct Incarnation {
    /// Only grows, over restarts too as long as the store is kept. A member raises it to refute what others hold of it.
    pub number: u64,
    /// Random, and different for each process.
    pub nonce: u64,
}

/// Liveness of one member. Of two states of the same incarnation the later one in this order wins.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize,
)]
pub enum MemberState {
    /// Nothing was received from it, or about it, yet.
    #[default]
    Unknown,
    /// It answers.
    Alive,
    /// It answered neither this member nor those asked to probe it; it still counts as alive.
    Suspected,
    /// It was suspected for too long.
    Dead,
}

/// What the sender holds of one member.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct MemberUpdate {
    /// The member that this is about.
    pub member: MemberIndex,
    /// Its latest known incarnation.
    pub incarnation: Incarnation,
    /// The state of that incarnation.
    pub state: MemberState,
}

/// One message between two members. The sender's table goes along only where the digests differ.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Message {
    /// Asks the receiver for an [`Message::Answer`].
    Probe {
        /// Number of the probe, chosen by its sender.
        sequence: u64,
        /// Digest of the sender's table.
        digest: u64,
        /// The sender's table, or empty.
        updates: Vec<MemberUpdate>,
    },
    /// A probe was answered.
    Answer {
        /// Number of the probe that is answered.
        sequence: u64,
        /// The member that answered: the sender itself, or the target of the sender's probe on the receiver's behalf.
        answered_by: MemberIndex,
        /// Digest of the sender's table; 0 in an answer passed on.
        digest: u64,
        /// The sender's table, or empty; in an answer passed on, what the sender holds of the member that answered.
        updates: Vec<MemberUpdate>,
    },
    /// Asks the receiver to probe another member on the sender's behalf (SWIM's indirect probe).
    IndirectProbe {
        /// Number of the probe that remained unanswered.
        sequence: u64,
        /// The member to probe.
        target: MemberIndex,
    },
}
