//! [`ResponseObserver`]: whether anything is behind the response to a request.

use httparse::Status;

use crate::body::Body;
use crate::{MAX_FIELDS, MAX_HEAD_BYTES, field};

/// Follows the bytes that a server sends on a connection with one request at a time. What it cannot follow is left to
/// the client that reads them.
#[derive(Debug, Default)]
pub struct ResponseObserver {
    /// The incomplete head of a response.
    head: Vec<u8>,
    state: State,
}

#[derive(Debug, Default)]
enum State {
    #[default]
    Head,
    Body(Body),
    Complete,
    /// Bytes have arrived behind the response.
    Followed,
}

impl ResponseObserver {
    /// Prepares for the response to the next request. Bytes behind the last response stay noticed.
    pub fn begin(&mut self) {
        if !matches!(self.state, State::Followed) {
            *self = ResponseObserver::default();
        }
    }

    /// Follows bytes that have arrived.
    pub fn put(&mut self, mut bytes: &[u8]) {
        while !bytes.is_empty() {
            match &mut self.state {
                State::Head => self.advance_head(&mut bytes),
                State::Body(body) => {
                    if body.advance(&mut bytes) {
                        self.state = State::Complete;
                    }
                }
                State::Complete | State::Followed => {
                    self.state = State::Followed;
                    return;
                }
            }
        }
    }

    /// Whether bytes have arrived behind the response. Its body is longer than its declared length then, as there is no
    /// other request.
    pub fn is_followed(&self) -> bool {
        matches!(self.state, State::Followed)
    }

    /// Moves bytes into the head until it is complete.
    fn advance_head(&mut self, bytes: &mut &[u8]) {
        let before = self.head.len();
        self.head.extend_from_slice(bytes);
        let mut headers = [httparse::EMPTY_HEADER; MAX_FIELDS];
        let mut response = httparse::Response::new(&mut headers);
        match response.parse(&self.head) {
            Ok(Status::Complete(length)) => {
                let state = state_after(response.code.unwrap_or(0), response.headers);
                *bytes = &bytes[length - before..];
                self.state = state;
                self.head = Vec::new();
            }
            Ok(Status::Partial) if self.head.len() <= MAX_HEAD_BYTES => *bytes = &[],
            _ => self.state = State::Body(Body::Endless),
        }
    }
}

/// The state after a head with this status and these fields.
fn state_after(status: u16, headers: &[httparse::Header]) -> State {
    if (100..200).contains(&status) {
        return State::Head;
    }
    if matches!(status, 204 | 304) {
        return State::Complete;
    }
    if let Some(coding) = field(headers, "transfer-encoding") {
        let is_chunked = coding.to_ascii_lowercase().ends_with("chunked");
        return State::Body(if is_chunked {
            Body::chunked()
        } else {
            Body::Endless
        });
    }
    match field(headers, "content-length").map(str::parse) {
        Some(Ok(0)) => State::Complete,
        Some(Ok(length)) => State::Body(Body::Sized(length)),
        _ => State::Body(Body::Endless),
    }
}
