//! [`RequestObserver`]: where the requests on a connection end.

use httparse::Status;

use crate::body::Body;
use crate::{FollowingInput, MAX_FIELDS, MAX_HEAD_BYTES, field};

/// Follows the bytes that a client sends on one connection. It decides nothing on the requests: what it cannot follow is
/// left to the server that reads them.
#[derive(Debug, Default)]
pub struct RequestObserver {
    /// The incomplete head, without empty lines before it.
    head: Vec<u8>,
    body: Option<Body>,
    /// Number of heads that have arrived completely.
    heads: u64,
    /// Whether empty lines have arrived behind the last complete request.
    has_empty_lines: bool,
    /// What malformed bytes behind the last complete request count as; nothing after them is followed.
    malformed: Option<FollowingInput>,
}

impl RequestObserver {
    /// Follows bytes that have arrived.
    pub fn put(&mut self, mut bytes: &[u8]) {
        while !bytes.is_empty() && self.malformed.is_none() {
            match &mut self.body {
                Some(body) => {
                    if body.advance(&mut bytes) {
                        self.body = None;
                    }
                }
                None => self.advance_head(&mut bytes),
            }
        }
    }

    /// Number of bytes of an incomplete head.
    pub fn unfinished_head(&self) -> usize {
        self.head.len()
    }

    /// What has arrived behind the request with this number; the first one of the connection is number 1.
    pub fn following_input(&self, request: u64) -> FollowingInput {
        if request < self.heads {
            return FollowingInput::Request;
        }
        match (&self.body, self.malformed) {
            // The request itself has not arrived completely.
            _ if request > self.heads => FollowingInput::Nothing,
            (Some(_), _) => FollowingInput::Nothing,
            (None, Some(input)) => input,
            (None, None) if self.head.is_empty() && self.has_empty_lines => {
                FollowingInput::Undecided
            }
            (None, None) => FollowingInput::of_partial_head(&self.head),
        }
    }

    /// Moves bytes into the head until it is complete.
    fn advance_head(&mut self, bytes: &mut &[u8]) {
        if self.head.is_empty() {
            let empty = bytes
                .iter()
                .take_while(|byte| matches!(byte, b'\r' | b'\n'))
                .count();
            self.has_empty_lines |= empty > 0;
            *bytes = &bytes[empty..];
        }
        let before = self.head.len();
        self.head.extend_from_slice(bytes);
        let mut headers = [httparse::EMPTY_HEADER; MAX_FIELDS];
        let mut request = httparse::Request::new(&mut headers);
        match request.parse(&self.head) {
            Ok(Status::Complete(length)) if is_request(&self.head) => {
                let body = body_of(request.headers);
                *bytes = &bytes[length - before..];
                self.heads += 1;
                self.has_empty_lines = false;
                self.body = body;
                self.head = Vec::new();
            }
            Ok(Status::Partial) if self.head.len() <= MAX_HEAD_BYTES => *bytes = &[],
            _ => {
                self.malformed = Some(FollowingInput::of_rejected_head(&self.head));
                self.head = Vec::new();
            }
        }
    }
}

/// Whether a head that is well-formed counts as a request where a body may go on.
fn is_request(head: &[u8]) -> bool {
    FollowingInput::of_partial_head(head) == FollowingInput::Request
}

/// The body of a request; `None` if it has none.
fn body_of(headers: &[httparse::Header]) -> Option<Body> {
    if field(headers, "transfer-encoding").is_some() {
        return Some(Body::chunked());
    }
    let length = field(headers, "content-length")?;
    match length.parse() {
        Ok(0) => None,
        Ok(length) => Some(Body::Sized(length)),
        Err(_) => Some(Body::Endless),
    }
}
