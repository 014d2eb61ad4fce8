//! The protocol spoken with clients, free of I/O: [`RequestQueue`] makes requests of the bytes of one connection,
//! [`write_response`] writes what goes back.
//!
//! A request that is not beyond doubt is refused before anything reaches a worker, and its connection closes after the
//! refusal: where one request ends and the next begins is then no longer sure. A request with both kinds of length may
//! hide a second one in its body.

mod parser;
mod queue;
mod response;

use std::sync::Arc;

use bytes::Bytes;
use cedarpulley::interface::Micros;

use crate::config::Names;

pub use queue::{QueuedRequest, RequestQueue};
pub use response::{REFUSED, health_status, status_of, write_response};

/// Largest body of a request, in bytes, by the protocol.
pub const MOST_BODY: usize = 16 << 10;
/// What a client still sends after its last answer is read away up to here, in bytes: the largest body that the
/// protocol's clients try, and more.
pub const MOST_READ_AWAY: usize = 80 << 20;
/// Largest head of a request, in bytes: one with every field of the protocol takes a few hundred.
const MOST_HEAD: usize = 8 << 10;

/// What the settings say of the requests of one trigger type.
#[derive(Clone, Copy, Debug)]
pub struct TriggerRules {
    /// The longest that a client may wait, in microseconds.
    pub longest_wait: Micros,
    /// Each request must bear an idempotency key.
    pub needs_token: bool,
}

/// What the settings say of requests.
#[derive(Clone, Debug, Default)]
pub struct RequestRules {
    /// Names of trigger types and accounts.
    pub names: Names,
    /// By trigger type.
    pub triggers: Vec<TriggerRules>,
    /// Memory of the largest machine, in megabytes: no copy is larger.
    pub largest_mb: f64,
}

/// A call of a function.
#[derive(Clone, Debug, PartialEq)]
pub struct Call {
    /// 16 hex digits, new with every request.
    pub id: Arc<str>,
    /// 16 hex digits.
    pub function: Arc<str>,
    /// Index of the trigger type.
    pub trigger: u32,
    /// Index of the account.
    pub account: u32,
    /// How long the client waits, in microseconds from its last byte.
    pub wait: Micros,
    /// The idempotency key.
    pub token: Option<Arc<str>>,
    /// A rough hint at the work, in microseconds.
    pub cost_hint: Option<Micros>,
    /// A rough hint at the time to load the function, in microseconds.
    pub load_hint: Option<Micros>,
    /// Memory of one copy, in megabytes; 0 if unknown.
    pub copy_mb: f64,
    /// Requests that one copy serves at once.
    pub lanes: u32,
    /// The body, as it came.
    pub body: Bytes,
}

/// What a request asks for.
#[derive(Clone, Debug, PartialEq)]
pub enum RequestKind {
    /// Whether the router serves.
    Health,
    /// A function.
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

/// Why a request is refused before it reaches the router's core.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum RequestError {
    /// The head cannot be read.
    Head,
    /// The head is too long or has too many fields.
    HeadTooLong,
    /// The method is not the path's.
    Method,
    /// The path is unknown.
    Path,
    /// Both kinds of length, or one that is repeated or cannot be read.
    Length,
    /// The body is too long.
    BodyTooLong,
    /// The chunks of a body cannot be read.
    Chunks,
    /// A field of the protocol is repeated, missing or cannot be used.
    Field,
    /// The client expects something of the server that it does not do.
    Expectation,
    /// The id is that of an open request.
    IdInUse,
    /// More requests were sent ahead of their answers than are kept.
    TooManyAhead,
    /// The request did not become whole in time.
    TooSlow,
}

impl RequestError {
    /// The status that the client gets.
    pub fn status(self) -> u16 {
        match self {
            RequestError::Head
            | RequestError::Length
            | RequestError::Chunks
            | RequestError::Field => 400,
            RequestError::HeadTooLong => 431,
            RequestError::Method => 405,
            RequestError::Path => 404,
            RequestError::BodyTooLong => 413,
            RequestError::Expectation => 417,
            RequestError::IdInUse => 409,
            // Nothing of it has run, and trying again is harmless.
            RequestError::TooManyAhead | RequestError::TooSlow => REFUSED,
        }
    }

    /// Whether the requests after this one on the same connection can still be told apart.
    pub fn leaves_stream_readable(self) -> bool {
        self == RequestError::TooManyAhead
    }
}
