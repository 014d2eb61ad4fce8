//! Decodes complete responses from the bytes of a connection to discovery.

use cedarpulley_http_framing::{BodyFraming, Chunk, ChunkError, parse_chunk};
use httparse::Status;

use super::{DiscoveryError, EventBatch, Result};
use crate::input_buffer::InputBuffer;

/// Longest response, in bytes: it lists a few thousand workers at most.
pub(super) const MAX_RESPONSE_BYTES: usize = 4 << 20;
/// Longest head of a response, in bytes: it has a few short fields.
const MAX_HEAD_BYTES: usize = 8 << 10;
/// Most header fields of a response.
const MAX_FIELDS: usize = 32;

/// Decodes responses from the bytes of one connection, and buffers those of an incomplete response. What has been decoded
/// is not read again, however many pieces a response arrives in. After a malformed response the connection must be closed.
#[derive(Debug, Default)]
pub struct ResponseReader {
    bytes: InputBuffer,
    /// The response whose head is complete.
    partial: Option<PartialResponse>,
}

/// The parsed head of a response.
struct Head {
    /// Length of the head, in bytes.
    length: usize,
    framing: BodyFraming,
}

/// A response whose body is incomplete.
#[derive(Debug)]
struct PartialResponse {
    framing: BodyFraming,
    /// The decoded part of a chunked body.
    body: Vec<u8>,
    /// Encoded length of that part, in bytes.
    encoded: usize,
}

impl ResponseReader {
    /// Appends bytes that were received.
    pub fn put(&mut self, bytes: &[u8]) {
        self.bytes.put(bytes);
    }

    /// Removes the next complete response, if there is one, and returns its events. Each poll has one response, so that
    /// bytes behind a response show that it is longer than its declared length; empty lines are ignored.
    pub fn next_batch(&mut self) -> Result<Option<EventBatch>> {
        let mut response = match self.partial.take() {
            Some(partial) => partial,
            None => match parse_head(&self.bytes)? {
                None => return Ok(None),
                Some(head) => {
                    self.bytes.consume(head.length);
                    PartialResponse::new(head.framing)
                }
            },
        };
        if !response.take_body(&mut self.bytes)? {
            self.partial = Some(response);
            return Ok(None);
        }
        if self.bytes.iter().any(|byte| !b"\r\n".contains(byte)) {
            return Err(DiscoveryError::LengthMismatch);
        }
        self.bytes.clear();
        let batch =
            serde_json::from_slice(&response.body).map_err(DiscoveryError::MalformedEvents)?;
        Ok(Some(batch))
    }
}

impl PartialResponse {
    fn new(framing: BodyFraming) -> Self {
        PartialResponse {
            framing,
            body: Vec::new(),
            encoded: 0,
        }
    }

    /// Moves what has arrived of the body out of `bytes`; returns whether the body is complete.
    fn take_body(&mut self, bytes: &mut InputBuffer) -> Result<bool> {
        match self.framing {
            BodyFraming::Sized(size) => {
                let Some(body) = bytes.get(..size) else {
                    return Ok(false);
                };
                self.body = body.to_vec();
                bytes.consume(size);
                Ok(true)
            }
            BodyFraming::Chunked => self.take_chunks(bytes),
        }
    }

    fn take_chunks(&mut self, bytes: &mut InputBuffer) -> Result<bool> {
        loop {
            let max_data = MAX_RESPONSE_BYTES - self.body.len();
            let chunk = parse_chunk(bytes, max_data, usize::MAX).map_err(|error| match error {
                ChunkError::Malformed => DiscoveryError::MalformedChunk,
                ChunkError::TooLarge => DiscoveryError::ChunksTooLong,
            })?;
            match chunk {
                Chunk::SizeIncomplete | Chunk::DataIncomplete => {
                    if self.encoded + bytes.len() > MAX_RESPONSE_BYTES {
                        return Err(DiscoveryError::ChunksTooLong);
                    }
                    return Ok(false);
                }
                Chunk::Complete { data, length } => {
                    let is_last = data.is_empty();
                    self.body.extend_from_slice(&bytes[data]);
                    bytes.consume(length);
                    self.encoded += length;
                    if is_last {
                        return Ok(true);
                    }
                }
            }
        }
    }
}

/// Parses the head at the start of `bytes`; returns `None` while it is incomplete.
fn parse_head(bytes: &[u8]) -> Result<Option<Head>> {
    let mut headers = [httparse::EMPTY_HEADER; MAX_FIELDS];
    let mut head = httparse::Response::new(&mut headers);
    let length = match head.parse(bytes).map_err(DiscoveryError::MalformedHead)? {
        Status::Partial if bytes.len() > MAX_HEAD_BYTES => return Err(DiscoveryError::HeadTooLong),
        Status::Partial => return Ok(None),
        Status::Complete(length) => length,
    };
    if head.code != Some(200) {
        return Err(DiscoveryError::Status {
            status: head.code.unwrap_or(0),
        });
    }
    let field = |name: &str| {
        head.headers
            .iter()
            .find(|header| header.name.eq_ignore_ascii_case(name))
    };
    let framing = match (field("content-length"), field("transfer-encoding")) {
        (Some(header), None) => {
            let size: usize = std::str::from_utf8(header.value)
                .ok()
                .and_then(|text| text.trim().parse().ok())
                .ok_or(DiscoveryError::MalformedLength)?;
            if size > MAX_RESPONSE_BYTES {
                return Err(DiscoveryError::TooLong { size });
            }
            BodyFraming::Sized(size)
        }
        (None, Some(_)) => BodyFraming::Chunked,
        _ => return Err(DiscoveryError::NoLength),
    };
    Ok(Some(Head { length, framing }))
}
