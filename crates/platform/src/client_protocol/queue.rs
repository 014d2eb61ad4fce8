//! The requests of one connection, in order. Clients may pipeline: send requests ahead of their answers.
//!
//! Everything that arrives is read at once, so that a client that closes its connection is noticed, and so that the
//! timeout of each request counts from when its last byte arrived. What is kept is bounded: of the requests beyond the
//! bound only the number is kept, and each of them is rejected when its turn comes.

use std::collections::VecDeque;

use cedarpulley::interface::Micros;

use super::parser::Parser;
use super::{MAX_BODY_BYTES, MAX_HEAD_BYTES, Request, RequestError, RequestKind, RequestRules};

/// Bytes of bodies and undecoded text that are kept ahead of an answer: those of one more request.
const MAX_PIPELINED_BYTES: usize = MAX_HEAD_BYTES + MAX_BODY_BYTES;
/// Requests that are kept ahead of an answer.
const MAX_PIPELINED_REQUESTS: usize = 8;

/// A request whose turn has come.
#[derive(Clone, Debug, PartialEq)]
pub struct QueuedRequest {
    /// The request, or why it is rejected.
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
    queued: VecDeque<QueuedRequest>,
    /// Complete requests after the queued ones, of which only the number is kept.
    overflow: u64,
    /// A request that cannot be read; none after it can.
    malformed: Option<QueuedRequest>,
    /// Such a request has arrived.
    ended: bool,
    last_arrival: Micros,
}

impl RequestQueue {
    /// Appends bytes that arrived at `arrived`, in microseconds of the router's clock.
    pub fn put(&mut self, arrived: Micros, bytes: &[u8], rules: &RequestRules) {
        if self.ended {
            return;
        }
        self.parser.put(bytes);
        self.last_arrival = arrived;
        while let Some(request) = self.parser.next(rules).transpose() {
            let next = QueuedRequest { request, arrived };
            if next.request.is_err() {
                self.malformed = Some(next);
                self.ended = true;
                return;
            }
            if self.overflow > 0 || self.is_full() {
                self.overflow += 1;
            } else {
                self.queued.push_back(next);
            }
        }
    }

    fn is_full(&self) -> bool {
        self.queued.len() >= MAX_PIPELINED_REQUESTS || self.bytes() >= MAX_PIPELINED_BYTES
    }

    /// Removes the next complete request; after the queued ones come those that overflowed, each as a rejection.
    pub fn take(&mut self) -> Option<QueuedRequest> {
        if let Some(next) = self.queued.pop_front() {
            return Some(next);
        }
        if self.overflow > 0 {
            self.overflow -= 1;
            return Some(QueuedRequest {
                request: Err(RequestError::TooManyPipelined),
                arrived: self.last_arrival,
            });
        }
        self.malformed.take()
    }

    /// Whether a complete request waits for its turn.
    pub fn has_request(&self) -> bool {
        !self.queued.is_empty() || self.overflow > 0 || self.malformed.is_some()
    }

    /// Whether a request has been received in part.
    pub fn is_receiving(&self) -> bool {
        !self.ended && self.parser.has_partial_request()
    }

    /// Bytes in memory.
    pub fn bytes(&self) -> usize {
        let bodies: usize = self.queued.iter().map(QueuedRequest::body_bytes).sum();
        self.parser.bytes() + bodies
    }
}
