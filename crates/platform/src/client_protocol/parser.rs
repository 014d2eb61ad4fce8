//! Decodes complete requests from the bytes of one connection, with a state machine over head and body.

use cedarpulley_http_framing::{BodyFraming, Chunk, ChunkError, parse_chunk};

use super::head::{Head, parse_head};
use super::{FollowingInput, MAX_BODY_BYTES, Request, RequestError, RequestKind, RequestRules};
use crate::input_buffer::InputBuffer;

/// Longest encoded form of a chunked body, in bytes. Without this limit a client could send chunks of one byte each,
/// whose encoding takes several times the bytes of the body.
const MAX_CHUNKED_BYTES: usize = 4 * MAX_BODY_BYTES;

/// The part of a request that is expected next.
#[derive(Debug, Default)]
enum State {
    #[default]
    Head,
    SizedBody {
        request: Request,
        length: usize,
    },
    ChunkedBody {
        request: Request,
        body: ChunkedBody,
    },
    /// The request is malformed, and nothing after it can be parsed.
    Failed {
        error: RequestError,
        /// How the bytes of the malformed request count for the request before it.
        input: FollowingInput,
    },
}

/// Buffers and decodes the bytes of one connection that do not form a complete request yet.
#[derive(Debug, Default)]
pub(super) struct Parser {
    bytes: InputBuffer,
    state: State,
    /// Whether empty lines were removed since the last request.
    skipped_empty_lines: bool,
}

impl Parser {
    /// Appends bytes that were received.
    pub fn put(&mut self, bytes: &[u8]) {
        if !matches!(self.state, State::Failed { .. }) {
            self.bytes.put(bytes);
        }
    }

    /// Whether a request has been received in part.
    pub fn has_partial_request(&self) -> bool {
        !self.bytes.is_empty() || !matches!(self.state, State::Head)
    }

    /// Number of buffered bytes, those of a partly decoded chunked body included.
    pub fn bytes(&self) -> usize {
        let body = match &self.state {
            State::ChunkedBody { body, .. } => body.data.len(),
            _ => 0,
        };
        self.bytes.len() + body
    }

    /// Memory of the buffers, in bytes.
    pub fn memory(&self) -> usize {
        let body = match &self.state {
            State::ChunkedBody { body, .. } => body.data.capacity(),
            _ => 0,
        };
        self.bytes.memory() + body
    }

    /// Drops the unfinished request, as if it were malformed. Every further call of [`Parser::next`] returns the error.
    pub fn abandon(&mut self, error: RequestError) {
        self.fail(error);
    }

    /// Removes and returns the next complete request, if there is one. After an error, every further call returns the
    /// same error.
    pub fn next(&mut self, rules: &RequestRules) -> Result<Option<Request>, RequestError> {
        let next = self.advance(rules);
        if let Err(error) = next {
            self.fail(error);
        }
        next
    }

    fn advance(&mut self, rules: &RequestRules) -> Result<Option<Request>, RequestError> {
        loop {
            match std::mem::take(&mut self.state) {
                State::Failed { error, input } => {
                    self.state = State::Failed { error, input };
                    return Err(error);
                }
                State::Head => {
                    self.skip_empty_lines();
                    let Some(head) = parse_head(&self.bytes, rules)? else {
                        return Ok(None);
                    };
                    self.bytes.consume(head.length);
                    self.skipped_empty_lines = false;
                    self.state = State::expecting_body(head);
                }
                State::SizedBody { request, length } => {
                    if self.bytes.len() < length {
                        self.state = State::SizedBody { request, length };
                        return Ok(None);
                    }
                    let body = self.bytes[..length].to_vec();
                    self.bytes.consume(length);
                    return Ok(Some(with_body(request, body)));
                }
                State::ChunkedBody { request, mut body } => {
                    if body.take_chunks(&mut self.bytes)? {
                        return Ok(Some(with_body(request, body.data)));
                    }
                    self.state = State::ChunkedBody { request, body };
                    return Ok(None);
                }
            }
        }
    }

    /// Removes empty lines before a request, which HTTP allows.
    fn skip_empty_lines(&mut self) {
        let empty = self
            .bytes
            .iter()
            .take_while(|byte| matches!(byte, b'\r' | b'\n'))
            .count();
        self.bytes.consume(empty);
        self.skipped_empty_lines |= empty > 0;
    }

    /// Records a malformed request, and drops its bytes.
    fn fail(&mut self, error: RequestError) {
        if !matches!(self.state, State::Failed { .. }) {
            let input = self.malformed_input(error);
            self.state = State::Failed { error, input };
        }
        self.bytes.clear();
    }

    /// What has arrived behind the last complete request.
    pub fn following_input(&self) -> FollowingInput {
        match &self.state {
            State::Head if self.bytes.is_empty() && self.skipped_empty_lines => {
                FollowingInput::Undecided
            }
            State::Head => FollowingInput::of_partial_head(&self.bytes),
            State::SizedBody { .. } | State::ChunkedBody { .. } => FollowingInput::Request,
            State::Failed { input, .. } => *input,
        }
    }

    /// How the buffered bytes, which are malformed, count for the request before them.
    fn malformed_input(&self, error: RequestError) -> FollowingInput {
        match error {
            // The head was a valid one if the error is in the body.
            RequestError::MalformedChunks | RequestError::BodyTooLong => FollowingInput::Request,
            // Nothing is wrong with its bytes.
            RequestError::NoMemory => self.following_input(),
            _ => FollowingInput::of_rejected_head(&self.bytes),
        }
    }
}

impl State {
    fn expecting_body(head: Head) -> Self {
        let request = head.request;
        match head.framing {
            BodyFraming::Sized(length) => State::SizedBody { request, length },
            BodyFraming::Chunked => State::ChunkedBody {
                request,
                body: ChunkedBody::default(),
            },
        }
    }
}

fn with_body(mut request: Request, body: Vec<u8>) -> Request {
    if let RequestKind::Call(call) = &mut request.kind {
        call.body = body.into();
    }
    request
}

/// The part of a chunked body that has been received.
#[derive(Debug, Default)]
struct ChunkedBody {
    data: Vec<u8>,
    /// Encoded length of the chunks received, in bytes.
    wire_bytes: usize,
}

impl ChunkedBody {
    /// Moves the data of all complete chunks from `bytes` into the body; returns true after the last chunk.
    fn take_chunks(&mut self, bytes: &mut InputBuffer) -> Result<bool, RequestError> {
        loop {
            let max_data = MAX_BODY_BYTES - self.data.len();
            let max_size_line = MAX_CHUNKED_BYTES.saturating_sub(self.wire_bytes);
            let chunk =
                parse_chunk(bytes, max_data, max_size_line).map_err(|error| match error {
                    ChunkError::Malformed => RequestError::MalformedChunks,
                    ChunkError::TooLarge => RequestError::BodyTooLong,
                })?;
            match chunk {
                Chunk::SizeIncomplete if self.wire_bytes + bytes.len() > MAX_CHUNKED_BYTES => {
                    return Err(RequestError::BodyTooLong);
                }
                Chunk::SizeIncomplete | Chunk::DataIncomplete => return Ok(false),
                Chunk::Complete { data, length } => {
                    let is_last = data.is_empty();
                    self.data.extend_from_slice(&bytes[data]);
                    bytes.consume(length);
                    self.wire_bytes += length;
                    if is_last {
                        return Ok(true);
                    }
                }
            }
        }
    }
}
