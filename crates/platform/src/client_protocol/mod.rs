//! The protocol spoken with clients, free of I/O: [`RequestQueue`] decodes the requests in the bytes of one connection,
//! [`write_response`] encodes what goes back.
//!
//! A request that is not beyond doubt is rejected before anything reaches a worker, and its connection closes after the
//! rejection: where one request ends and the next begins is then no longer certain. A request with both kinds of length
//! may hide a second one in its body.

mod call_fields;
mod head;
mod parser;
mod queue;
mod response;

use std::sync::Arc;

use bytes::Bytes;
use cedarpulley::interface::Micros;

use crate::config::Names;

pub use queue::{QueuedRequest, RequestQueue};
pub use response::{Response, STATUS_REJECTED, health_status, status_of, write_response};

/// Largest body of a request, in bytes, by the protocol.
pub const MAX_BODY_BYTES: usize = 16 << 10;
/// What a client still sends after its last answer is read and discarded up to here, in bytes: the largest body that the
/// protocol's clients try, and more.
pub const MAX_DISCARDED_BYTES: usize = 80 << 20;
/// Largest head of a request, in bytes: one with every field of the protocol takes a few hundred.
const MAX_HEAD_BYTES: usize = 8 << 10;

/// What the settings say about the requests of one trigger type.
#[derive(Clone, Copy, Debug)]
pub struct TriggerRules {
    /// The longest that a client may wait, in microseconds.
    pub max_client_timeout: Micros,
    /// Each request must carry an idempotency key.
    pub needs_idempotency_key: bool,
}

/// What the settings say about requests.
#[derive(Clone, Debug, Default)]
pub struct RequestRules {
    /// Names of trigger types and accounts.
    pub names: Names,
    /// By index of the trigger type.
    pub triggers: Vec<TriggerRules>,
    /// Memory of the largest machine, in megabytes: no copy of a function is larger.
    pub largest_machine_mb: f64,
}

/// A call of a function.
#[derive(Clone, Debug, PartialEq)]
pub struct Call {
    /// The request's id: 16 hex digits, new with every request.
    pub id: Arc<str>,
    /// The function's id: 16 hex digits.
    pub function: Arc<str>,
    /// Index of the trigger type.
    pub trigger: u32,
    /// Index of the account.
    pub account: u32,
    /// How long the client waits, in microseconds from its last byte.
    pub client_timeout: Micros,
    /// By which a repeat of the same request is recognized.
    pub idempotency_key: Option<Arc<str>>,
    /// A rough hint at the execution time, in microseconds.
    pub cost_hint: Option<Micros>,
    /// A rough hint at the time to load the function, in microseconds.
    pub load_hint: Option<Micros>,
    /// Memory of one copy of the function, in megabytes; 0 if unknown.
    pub copy_mb: f64,
    /// Requests that one copy serves at once.
    pub lanes: u32,
    /// The body, unchanged.
    pub body: Bytes,
}

/// What a request asks for.
#[derive(Clone, Debug, PartialEq)]
pub enum RequestKind {
    /// Whether the router is healthy.
    Health,
    /// The execution of a function.
    Call(Call),
}

/// A well-formed request.
#[derive(Clone, Debug, PartialEq)]
pub struct Request {
    /// What it asks for.
    pub kind: RequestKind,
    /// The client keeps the connection for no further request.
    pub close: bool,
}

/// Why a request is rejected before it reaches the router's core.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum RequestError {
    /// The head is malformed.
    MalformedHead,
    /// The head is too long or has too many fields.
    HeadTooLong,
    /// The path has another method.
    MethodNotAllowed,
    /// The path is unknown.
    UnknownPath,
    /// Both kinds of length, or one that is repeated or malformed.
    InvalidLength,
    /// The body is too long.
    BodyTooLong,
    /// The chunks of a body are malformed.
    MalformedChunks,
    /// A field of the protocol is repeated, missing or has an invalid value.
    InvalidField,
    /// The client expects something of the server that it does not support.
    UnsupportedExpectation,
    /// A request with the same id is in flight.
    IdInUse,
    /// More requests were sent ahead of their answers than are kept.
    TooManyPipelined,
    /// The request was not complete in time.
    RequestTimeout,
}

impl RequestError {
    /// The HTTP status that the client gets.
    pub fn status(self) -> u16 {
        match self {
            RequestError::MalformedHead
            | RequestError::InvalidLength
            | RequestError::MalformedChunks
            | RequestError::InvalidField => 400,
            RequestError::HeadTooLong => 431,
            RequestError::MethodNotAllowed => 405,
            RequestError::UnknownPath => 404,
            RequestError::BodyTooLong => 413,
            RequestError::UnsupportedExpectation => 417,
            RequestError::IdInUse => 409,
            // Nothing of it has run, and a retry is harmless.
            RequestError::TooManyPipelined | RequestError::RequestTimeout => STATUS_REJECTED,
        }
    }

    /// Whether the requests after this one on the same connection can still be told apart.
    pub fn leaves_stream_readable(self) -> bool {
        self == RequestError::TooManyPipelined
    }
}
