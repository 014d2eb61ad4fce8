//! Decodes complete responses from the bytes of a connection to discovery.

use cedarpulley_http_framing::{BodyFraming, Chunk, ChunkError, parse_chunk};
use httparse::Status;

use super::{DiscoveryError, EventBatch, Result};

/// Longest response, in bytes: it lists a few thousand workers at most.
pub(super) const MAX_RESPONSE_BYTES: usize = 4 << 20;
/// Longest head of a response, in bytes: it has a few short fields.
const MAX_HEAD_BYTES: usize = 8 << 10;
/// Most header fields of a response.
const MAX_FIELDS: usize = 32;

/// Decodes responses from the bytes of one connection, and buffers those of an incomplete response. After a malformed
/// response the connection must be closed.
#[derive(Debug, Default)]
pub struct ResponseReader {
    bytes: Vec<u8>,
}

/// The parsed head of a response.
struct Head {
    /// Length of the head, in bytes.
    length: usize,
    framing: BodyFraming,
}

impl ResponseReader {
    /// Appends bytes that were received.
    pub fn put(&mut self, bytes: &[u8]) {
        self.bytes.extend_from_slice(bytes);
    }

    /// Removes the next complete response, if there is one, and returns its events. Each poll has one response, so that
    /// bytes behind a response show that it is longer than its declared length; empty lines are ignored.
    pub fn next_batch(&mut self) -> Result<Option<EventBatch>> {
        let Some(head) = parse_head(&self.bytes)? else {
            return Ok(None);
        };
        let after_head = &self.bytes[head.length..];
        let (body, body_length) = match head.framing {
            BodyFraming::Sized(size) => match after_head.get(..size) {
                None => return Ok(None),
                Some(body) => (body.to_vec(), size),
            },
            BodyFraming::Chunked => match decode_chunks(after_head)? {
                None if self.bytes.len() > MAX_RESPONSE_BYTES => {
                    return Err(DiscoveryError::ChunksTooLong);
                }
                None => return Ok(None),
                Some(decoded) => decoded,
            },
        };
        self.bytes.drain(..head.length + body_length);
        if self.bytes.iter().any(|byte| !b"\r\n".contains(byte)) {
            return Err(DiscoveryError::LengthMismatch);
        }
        self.bytes.shrink_to(MAX_HEAD_BYTES);
        let batch = serde_json::from_slice(&body).map_err(DiscoveryError::MalformedEvents)?;
        Ok(Some(batch))
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

/// Decodes the chunked body at the start of `bytes`; returns the body and its encoded length in bytes, or `None` while
/// it is incomplete.
fn decode_chunks(bytes: &[u8]) -> Result<Option<(Vec<u8>, usize)>> {
    let (mut body, mut position) = (Vec::new(), 0);
    loop {
        let rest = &bytes[position..];
        let chunk = parse_chunk(rest, MAX_RESPONSE_BYTES - body.len(), usize::MAX);
        match chunk.map_err(|error| match error {
            ChunkError::Malformed => DiscoveryError::MalformedChunk,
            ChunkError::TooLarge => DiscoveryError::ChunksTooLong,
        })? {
            Chunk::SizeIncomplete | Chunk::DataIncomplete => return Ok(None),
            Chunk::Complete { data, length } => {
                let is_last = data.is_empty();
                body.extend_from_slice(&rest[data]);
                position += length;
                if is_last {
                    return Ok(Some((body, position)));
                }
            }
        }
    }
}
