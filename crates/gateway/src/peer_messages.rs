//! The types that members of a group send to each other, encoded with `postcard`: envelopes, the messages in them, and
//! the answers that are stored in shared records. The order of fields and variants is the wire format.

use bytes::Bytes;
use cedarpulley::interface::Micros;
use cedarpulley_membership::{self as membership, Incarnation, MemberIndex};
use cedarpulley_replica as replica;
use cedarpulley_router::{Answer, AnswerReason, FinalOutcome, Payload};
use serde::{Deserialize, Serialize};

/// All that one member sends to another in one request or response, encoded with `postcard`. The order of fields is
/// the wire format.
#[derive(Debug, Serialize, Deserialize)]
pub struct Envelope {
    /// Version of the protocol between members.
    pub version: u16,
    /// Fingerprint of the group's name and members. It differs for routers of another group, and for routers with other
    /// members configured.
    pub group: u64,
    /// Index of the sender.
    pub from: MemberIndex,
    /// Index of the receiver.
    pub to: MemberIndex,
    /// Incarnation of the sender's process.
    pub process: Incarnation,
    /// Reading of the sender's clock in microseconds.
    pub clock: Micros,
    /// The last reading of the receiver's clock that the sender received, in microseconds. The receiver derives an upper
    /// bound of the transit time from it, by its own clock alone.
    pub echo: Micros,
    /// Nonce of the receiver's process whose clock `echo` is.
    pub echo_of: u64,
    /// The messages, each encoded separately: a message that cannot be decoded does not affect the others.
    pub messages: Vec<Bytes>,
}

/// A message in an envelope.
#[derive(Serialize, Deserialize)]
pub(crate) enum PeerMessage {
    /// A message of the failure detector.
    Membership(membership::Message),
    /// A message on the shared records.
    Replica(replica::Message),
}

/// A successful answer as stored in a shared record. The order of fields is the format.
#[derive(Serialize, Deserialize)]
struct SharedAnswer {
    /// Whether the invocation ran without a majority of the group, which the operator allowed.
    alone: bool,
    /// Length of the first part of a body that has two, in bytes.
    first_part_length: Option<u32>,
    /// The whole body.
    body: Bytes,
}

/// Encodes an answer for a shared record; only successful answers are shared.
pub(crate) fn encode_answer(answer: &Answer) -> Bytes {
    let shared = SharedAnswer {
        alone: answer.reason == AnswerReason::Alone,
        first_part_length: answer.body.first_part_length,
        body: answer.body.bytes.clone(),
    };
    postcard::to_stdvec(&shared)
        .map(Bytes::from)
        .unwrap_or_default()
}

/// Decodes an answer from a shared record; absent if the bytes have another format.
pub(crate) fn decode_answer(bytes: &[u8]) -> Option<Answer> {
    let SharedAnswer {
        alone,
        first_part_length,
        body,
    } = postcard::from_bytes(bytes).ok()?;
    let reason = if alone {
        AnswerReason::Alone
    } else {
        AnswerReason::Worker
    };
    Some(Answer {
        outcome: FinalOutcome::Succeeded,
        reason,
        retry_after: None,
        body: Payload {
            bytes: body,
            first_part_length,
        },
    })
}
