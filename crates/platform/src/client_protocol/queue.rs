//! The requests of one connection, in order. Clients may pipeline requests: send them ahead of earlier responses.
//!
//! All input is read as soon as it arrives, so that a closed connection is detected, and so that the timeout of each
//! request counts from the arrival of its last byte. Memory is bounded: requests above the limits are only counted, and
//! each of them is rejected when its turn comes.

use std::collections::VecDeque;

use cedarpulley::interface::Micros;

use super::parser::Parser;
use super::{
    FollowingInput, MAX_BODY_BYTES, MAX_HEAD_BYTES, Request, RequestError, RequestKind,
    RequestRules,
};
use crate::connection_limiter::REQUEST_TIMEOUT;

/// Limit on the bytes of bodies and undecoded input that are stored while a response is pending: the size of one more
/// request. No further request is stored once it is reached.
const MAX_PIPELINED_BYTES: usize = MAX_HEAD_BYTES + MAX_BODY_BYTES;
/// Most requests that are stored while a response is pending.
const MAX_PIPELINED_REQUESTS: usize = 8;

/// A request that was removed from the queue to be served or rejected.
#[derive(Clone, Debug, PartialEq)]
pub struct QueuedRequest {
    /// The request, or why it is rejected.
    pub request: Result<Request, RequestError>,
    /// Time at which its last byte arrived, in microseconds of the router's clock.
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

/// The requests of one connection that have arrived and are not served yet.
#[derive(Debug, Default)]
pub struct RequestQueue {
    parser: Parser,
    queued: VecDeque<QueuedRequest>,
    /// Number of complete requests after the queued ones that were not stored.
    overflow: u64,
    /// The malformed request, until it is taken. Nothing after it can be parsed.
    malformed: Option<QueuedRequest>,
    /// Whether a malformed request has arrived, so that all further input is ignored.
    input_ended: bool,
    /// Whether no request may be stored, as there is no memory left.
    out_of_memory: bool,
    last_arrival: Micros,
}

impl RequestQueue {
    /// Decodes bytes that arrived at `arrived`, in microseconds of the router's clock.
    pub fn put(&mut self, arrived: Micros, bytes: &[u8], rules: &RequestRules) {
        if self.input_ended {
            return;
        }
        self.parser.put(bytes);
        self.last_arrival = arrived;
        while let Some(request) = self.parser.next(rules).transpose() {
            let next = QueuedRequest { request, arrived };
            if next.request.is_err() {
                self.malformed = Some(next);
                self.input_ended = true;
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
        self.out_of_memory
            || self.queued.len() >= MAX_PIPELINED_REQUESTS
            || self.bytes() >= MAX_PIPELINED_BYTES
    }

    /// Sets whether there is no memory left for the input of clients. Requests that are completed meanwhile are not stored,
    /// but rejected in their turn.
    pub fn set_out_of_memory(&mut self, out_of_memory: bool) {
        self.out_of_memory = out_of_memory;
    }

    /// Removes and returns the next request: first the stored ones, then a [`RequestError::TooManyPipelined`] for each
    /// request that was not stored, then the malformed one.
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

    /// Whether [`RequestQueue::take`] would return a request.
    pub fn has_request(&self) -> bool {
        !self.queued.is_empty() || self.overflow > 0 || self.malformed.is_some()
    }

    /// Whether [`RequestQueue::take`] would return a request once, and then none.
    pub fn is_at_last_request(&self) -> bool {
        let malformed = u64::from(self.malformed.is_some());
        self.queued.len() as u64 + self.overflow + malformed == 1
    }

    /// What has arrived behind the request that was taken last. Undecided bytes that are not continued within the time
    /// for a request begin none.
    pub fn following_input(&self, now: Micros) -> FollowingInput {
        if !self.queued.is_empty() || self.overflow > 0 {
            return FollowingInput::Request;
        }
        match self.parser.following_input() {
            FollowingInput::Undecided if now >= self.undecided_until() => {
                FollowingInput::NotARequest
            }
            input => input,
        }
    }

    /// Time from which undecided input counts as [`FollowingInput::NotARequest`], in microseconds of the router's clock.
    pub fn undecided_until(&self) -> Micros {
        self.last_arrival + REQUEST_TIMEOUT
    }

    /// Whether a request has been received in part.
    pub fn is_receiving(&self) -> bool {
        !self.input_ended && self.parser.has_partial_request()
    }

    /// Rejects the request that has been received in part, and ignores all further input. Returns whether there is one.
    pub fn reject_partial_request(&mut self) -> bool {
        if !self.is_receiving() {
            return false;
        }
        let error = RequestError::NoMemory;
        self.parser.abandon(error);
        self.malformed = Some(QueuedRequest {
            request: Err(error),
            arrived: self.last_arrival,
        });
        self.input_ended = true;
        true
    }

    /// Memory that is held for this connection, in bytes.
    pub fn memory(&self) -> usize {
        let bodies: usize = self.queued.iter().map(QueuedRequest::body_bytes).sum();
        self.parser.memory() + bodies
    }

    /// Memory of the request that has been received in part, in bytes.
    pub fn partial_memory(&self) -> usize {
        self.parser.memory()
    }

    /// Number of bytes that are stored for this connection.
    pub fn bytes(&self) -> usize {
        let bodies: usize = self.queued.iter().map(QueuedRequest::body_bytes).sum();
        self.parser.bytes() + bodies
    }
}
