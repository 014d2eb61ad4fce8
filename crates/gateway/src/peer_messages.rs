//! What members of a group send to each other, encoded with `postcard`: envelopes, the messages in them, and the answers
//! that are stored in shared records. The order of fields and variants is the wire format.

use bytes::Bytes;
use cedarpulley::interface::Micros;
use cedarpulley_membership::{self as membership, Incarnation, MemberIndex};
use cedarpulley_replica as replica;
use cedarpulley_router::{Answer, AnswerReason, FinalOutcome, Payload};
use serde::{Deserialize, Serialize};

/// Everything that one member sends to another in one request, encoded with `postcard`. The order of fields
/// is the wire format.
#[derive(Debug, Serialize, Deserialize)]
pub struct Envelope {
    /// Version of the protocol between members.
    pub version: u16,
    /// Fingerprint of the whole group: routers of another group, or with other members configured, have
    /// another one.
    pub group: u64,
    /// The sender.
    pub from: MemberIndex,
    /// The receiver.
    pub to: MemberIndex,
    /// The sender's process.
    pub process: Incarnation,
    /// The sender's own clock in microseconds.
    pub clock: Micros,
    /// The receiver's clock as the sender last saw it, in microseconds. With it the receiver bounds the transit
    /// time by its own clock alone.
    pub echo: Micros,
    /// The receiver's process that `echo` belongs to.
    pub echo_of: u64,
    /// Encoded messages, each by itself: one that cannot be decoded does not affect the others.
    pub messages: Vec<Bytes>,
}

/// One message in an envelope.
#[derive(Serialize, Deserialize)]
pub(crate) enum PeerMessage {
    Membership(membership::Message),
    Replica(replica::Message),
}

/// A successful answer as stored in a shared record.
#[derive(Serialize, Deserialize)]
struct SharedAnswer {
    alone: bool,
    first: Option<u32>,
    body: Bytes,
}

/// Only successful answers are shared.
pub(crate) fn encode_answer(answer: &Answer) -> Bytes {
    let shared = SharedAnswer {
        alone: answer.reason == AnswerReason::Alone,
        first: answer.body.first_part_length,
        body: answer.body.bytes.clone(),
    };
    postcard::to_stdvec(&shared)
        .map(Bytes::from)
        .unwrap_or_default()
}

/// Absent if the bytes are of another form.
pub(crate) fn decode_answer(bytes: &[u8]) -> Option<Answer> {
    let SharedAnswer { alone, first, body } = postcard::from_bytes(bytes).ok()?;
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
            first_part_length: first,
        },
    })
}
