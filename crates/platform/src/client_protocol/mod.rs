//! The protocol between clients and router, without I/O: [`RequestQueue`] decodes requests from the bytes of one
//! connection, [`write_response`] encodes responses.
//!
//! A malformed or ambiguous request is rejected before anything reaches a worker, and its connection is closed after
//! the rejection, because it is no longer certain where the next request begins. For example, a request with both kinds
//! of length may hide a second request in its body.
//!
//! Nothing in a request shows that its body is longer than its declared length, only the bytes behind it do: they begin
//! no request ([`FollowingInput`]). Such a request is rejected as well, and its execution is cancelled if it has begun.

mod call_fields;
mod head;
mod parser;
mod queue;
mod response;

use std::sync::Arc;

use bytes::Bytes;
use cedarpulley::interface::Micros;

use crate::config::Names;

pub use cedarpulley_http_framing::FollowingInput;
pub use queue::{QueuedRequest, RequestQueue};
pub use response::{Response, STATUS_REJECTED, health_status, status_of, write_response};

/// Longest body of a request, in bytes, as the protocol defines it.
pub const MAX_BODY_BYTES: usize = 16 << 10;
/// Most input that is read and discarded after the last response on a connection, in bytes. It is more than the largest
/// body that clients of the protocol try to send.
pub const MAX_DISCARDED_BYTES: usize = 80 << 20;
/// Longest head of a request, in bytes. A head with every field of the protocol takes a few hundred.
const MAX_HEAD_BYTES: usize = 8 << 10;

/// The rules in the settings for requests of one trigger type.
#[derive(Clone, Copy, Debug)]
pub struct TriggerRules {
    /// The longest client timeout that a request may ask for, in microseconds.
    pub max_client_timeout: Micros,
    /// Whether each request must have an idempotency key.
    pub needs_idempotency_key: bool,
}

/// The rules in the settings for all requests.
#[derive(Clone, Debug, Default)]
pub struct RequestRules {
    /// Names of trigger types and accounts.
    pub names: Names,
    /// The rules of each trigger type, by its index.
    pub triggers: Vec<TriggerRules>,
    /// Memory of the largest machine, in megabytes: the largest size of a copy that a request may state.
    pub largest_machine_mb: f64,
}

/// A call of a function.
#[derive(Clone, Debug, PartialEq)]
pub struct Call {
    /// The request's id: 16 hex digits, different for every request.
    pub id: Arc<str>,
    /// The function's id: 16 hex digits.
    pub function: Arc<str>,
    /// Index of the trigger type.
    pub trigger: u32,
    /// Index of the account.
    pub account: u32,
    /// Time for which the client waits for the response, in microseconds, counted from the last byte of the request.
    pub client_timeout: Micros,
    /// The idempotency key, which identifies repeats of the same request.
    pub idempotency_key: Option<Arc<str>>,
    /// The client's rough estimate of the execution time, in microseconds.
    pub cost_hint: Option<Micros>,
    /// The client's rough estimate of the time to load the function, in microseconds.
    pub load_hint: Option<Micros>,
    /// Memory of one copy of the function, in megabytes; 0 if unknown.
    pub copy_mb: f64,
    /// Number of invocations that one copy runs at once.
    pub lanes: u32,
    /// The body, which is forwarded unchanged.
    pub body: Bytes,
}

/// The kind of a request.
#[derive(Clone, Debug, PartialEq)]
pub enum RequestKind {
    /// A question whether the router is healthy.
    Health,
    /// A request for the router's metrics.
    Metrics,
    /// A call of a function.
    Call(Call),
}

/// A well-formed request.
#[derive(Clone, Debug, PartialEq)]
pub struct Request {
    /// The kind of the request, with its content.
    pub kind: RequestKind,
    /// Whether the client wants the connection closed after the response.
    pub close: bool,
}

/// Why a request is rejected before it reaches the router core.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum RequestError {
    /// The head is malformed.
    MalformedHead,
    /// The head is too long or has too many fields.
    HeadTooLong,
    /// The path does not allow the method.
    MethodNotAllowed,
    /// The path is unknown.
    UnknownPath,
    /// The request has both a length and a transfer encoding, or one of them is repeated, malformed or unsupported.
    InvalidLength,
    /// The body is too long.
    BodyTooLong,
    /// The chunks of the body are malformed.
    MalformedChunks,
    /// Bytes that begin no request follow the request: its body is longer than its declared length. The request was
    /// not executed.
    LengthMismatch,
    /// As [`RequestError::LengthMismatch`], but the bytes arrived while the request was being executed.
    LateLengthMismatch,
    /// A header field of the protocol is repeated, is missing or has an invalid value.
    InvalidField,
    /// The request has the field `Expect`, which is not supported.
    UnsupportedExpectation,
    /// A request with the same id is in flight.
    IdInUse,
    /// A request with the same id has ended, and may have run.
    IdMayHaveRun,
    /// There is no memory for a further id.
    NoIdMemory,
    /// The client sent more requests ahead of their responses than the router stores.
    TooManyPipelined,
    /// The request was not complete within its time limit.
    RequestTimeout,
    /// The request was not complete, and there was no memory left for the input of clients.
    NoMemory,
}

impl RequestError {
    /// The HTTP status of the response.
    pub fn status(self) -> u16 {
        match self {
            RequestError::MalformedHead
            | RequestError::InvalidLength
            | RequestError::LengthMismatch
            | RequestError::LateLengthMismatch
            | RequestError::MalformedChunks
            | RequestError::InvalidField => 400,
            RequestError::HeadTooLong => 431,
            RequestError::MethodNotAllowed => 405,
            RequestError::UnknownPath => 404,
            RequestError::BodyTooLong => 413,
            RequestError::UnsupportedExpectation => 417,
            RequestError::IdInUse | RequestError::IdMayHaveRun => 409,
            // Nothing of the request has run, so the client may safely retry.
            RequestError::TooManyPipelined
            | RequestError::RequestTimeout
            | RequestError::NoIdMemory
            | RequestError::NoMemory => STATUS_REJECTED,
        }
    }

    /// Whether the next request on the same connection can still be parsed.
    pub fn leaves_stream_readable(self) -> bool {
        self == RequestError::TooManyPipelined
    }
}
