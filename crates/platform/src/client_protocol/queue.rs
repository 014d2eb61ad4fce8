//! The requests of one connection, in order. Clients may send requests ahead of their answers.
//!
//! Everything that arrives is read at once, so that a client that closes its connection is noticed, and so that the
//! wait of each request counts from when its last byte came. What is kept is bounded: of the requests beyond the
//! bound only the number is kept, and each of them is refused when its turn comes.

use std::collections::VecDeque;

use cedarpulley::interface::Micros;

use super::parser::Parser;
use super::{MOST_BODY, MOST_HEAD, Request, RequestError, RequestKind, RequestRules};

/// Bytes of bodies and unread text that are kept ahead of an answer: those of one more request.
const MOST_BYTES_AHEAD: usize = MOST_HEAD + MOST_BODY;
/// Requests that are kept ahead of an answer.
const MOST_REQUESTS_AHEAD: usize = 8;

/// A request whose turn has come.
#[derive(Clone, Debug, PartialEq)]
pub struct QueuedRequest {
    /// The request, or why it is refused.
    pub request: Result<Request, RequestError>,
    /// When its last byte arrived, in microseconds of the router's clock.
    pub arrived: Micros,
}

impl QueuedRequest {
    fn body_bytes(&self) -> usize {
        match &self.request {
            Ok(Request {
                kind: RequestKind::Call(call),
                ..
            }) => call.body.len(),
            _ => 0,
        }
    }
}

/// The requests that were read from one connection and not yet served.
#[derive(Debug, Default)]
pub struct RequestQueue {
    parser: Parser,
    kept: VecDeque<QueuedRequest>,
    /// Requests after the kept ones.
    beyond: u64,
    /// The refusal of a request that cannot be read.
    malformed: Option<QueuedRequest>,
    /// Such a request has come: nothing after it is read.
    ended: bool,
    last_arrival: Micros,
}

impl RequestQueue {
    /// Bytes that arrived at `arrived`.
    pub fn put(&mut self, arrived: Micros, bytes: &[u8], rules: &RequestRules) {
        if self.ended {
            return;
        }
        self.parser.put(bytes);
        self.last_arrival = arrived;
        while let Some(request) = self.parser.next(rules).transpose() {
            let queued = QueuedRequest { request, arrived };
            if queued.request.is_err() {
                self.malformed = Some(queued);
                self.ended = true;
                return;
            }
            if self.beyond > 0 || self.is_full() {
                self.beyond += 1;
            } else {
                self.kept.push_back(queued);
            }
        }
    }

    fn is_full(&self) -> bool {
        self.kept.len() >= MOST_REQUESTS_AHEAD || self.bytes() >= MOST_BYTES_AHEAD
    }

    /// The next whole request.
    pub fn take(&mut self) -> Option<QueuedRequest> {
        if let Some(queued) = self.kept.pop_front() {
            return Some(queued);
        }
        if self.beyond > 0 {
            self.beyond -= 1;
            return Some(QueuedRequest {
                request: Err(RequestError::TooManyAhead),
                arrived: self.last_arrival,
            });
        }
        self.malformed.take()
    }

    /// A whole request waits for its turn.
    pub fn has_request(&self) -> bool {
        !self.kept.is_empty() || self.beyond > 0 || self.malformed.is_some()
    }

    /// A request has begun and is not whole.
    pub fn is_receiving(&self) -> bool {
        !self.ended && self.parser.is_midway()
    }

    /// Bytes kept.
    pub fn bytes(&self) -> usize {
        self.parser.bytes()
            + self
                .kept
                .iter()
                .map(QueuedRequest::body_bytes)
                .sum::<usize>()
    }
}
