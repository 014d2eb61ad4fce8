//! Cuts whole answers out of the bytes of a connection to the discovery channel.

use super::{DiscoveryError, EventBatch, Result};

/// An answer names some thousands of workers at most.
pub(super) const MOST_ANSWER: usize = 4 << 20;
/// Heads of answers: a few short fields.
const MOST_HEAD: usize = 8 << 10;
const MOST_HEADERS: usize = 32;

/// The bytes of one connection. Whatever cannot be read ends that connection.
#[derive(Debug, Default)]
pub struct Answers {
    bytes: Vec<u8>,
}

impl Answers {
    /// Bytes that came.
    pub fn put(&mut self, bytes: &[u8]) {
        self.bytes.extend_from_slice(bytes);
    }

    /// The next whole answer, if there is one.
    pub fn whole(&mut self) -> Result<Option<EventBatch>> {
        let mut headers = [httparse::EMPTY_HEADER; MOST_HEADERS];
        let mut head = httparse::Response::new(&mut headers);
        let length = match head.parse(&self.bytes).map_err(DiscoveryError::Head)? {
            httparse::Status::Partial if self.bytes.len() > MOST_HEAD => {
                return Err(DiscoveryError::EndlessHead);
            }
            httparse::Status::Partial => return Ok(None),
            httparse::Status::Complete(n) => n,
        };
        if head.code != Some(200) {
            return Err(DiscoveryError::Status {
                status: head.code.unwrap_or(0),
            });
        }
        let field = |name: &str| {
            head.headers
                .iter()
                .find(|h| h.name.eq_ignore_ascii_case(name))
        };
        let body = match (field("content-length"), field("transfer-encoding")) {
            (Some(size), None) => {
                let size = std::str::from_utf8(size.value)
                    .ok()
                    .and_then(|text| text.trim().parse().ok());
                let size: usize = size.ok_or(DiscoveryError::Length)?;
                if size > MOST_ANSWER {
                    return Err(DiscoveryError::Large { size });
                }
                match self.bytes.get(length..length + size) {
                    None => return Ok(None),
                    Some(body) => (body.to_vec(), length + size),
                }
            }
            (None, Some(_)) => match unchunked(&self.bytes[length..])? {
                None if self.bytes.len() > MOST_ANSWER => return Err(DiscoveryError::Endless),
                None => return Ok(None),
                Some((body, used)) => (body, length + used),
            },
            _ => return Err(DiscoveryError::NoLength),
        };
        let (body, used) = body;
        self.bytes.drain(..used);
        self.bytes.shrink_to(MOST_HEAD);
        Ok(Some(
            serde_json::from_slice(&body).map_err(DiscoveryError::Events)?,
        ))
    }
}

/// A whole chunked body and the bytes it took.
fn unchunked(bytes: &[u8]) -> Result<Option<(Vec<u8>, usize)>> {
    let (mut body, mut at) = (Vec::new(), 0);
    loop {
        let parsed = httparse::parse_chunk_size(&bytes[at..]).map_err(|_| DiscoveryError::Chunk)?;
        let httparse::Status::Complete((head, size)) = parsed else {
            return Ok(None);
        };
        if size > (MOST_ANSWER - body.len()) as u64 {
            return Err(DiscoveryError::Endless);
        }
        let (from, size) = (at + head, size as usize);
        let Some(end) = bytes.get(from + size..from + size + 2) else {
            return Ok(None);
        };
        if end != b"\r\n" {
            return Err(DiscoveryError::Chunk);
        }
        body.extend_from_slice(&bytes[from..from + size]);
        at = from + size + 2;
        if size == 0 {
            return Ok(Some((body, at)));
        }
    }
}
