//! [`BodyBuffer`]: the bytes of a body that arrives in chunks.
//!
//! The rule that this type keeps: a body takes memory for its bytes alone, however many chunks its sender divides it into. A
//! list of chunks would take many times the memory of a body whose chunks have one byte each.

use bytes::Bytes;

/// The bytes of a body that have arrived. A body of one chunk is not copied.
#[derive(Debug, Default)]
pub(crate) struct BodyBuffer {
    only_chunk: Bytes,
    /// All bytes, once there is more than one chunk.
    joined: Vec<u8>,
}

impl BodyBuffer {
    /// Number of bytes that have arrived.
    pub fn len(&self) -> usize {
        self.only_chunk.len() + self.joined.len()
    }

    /// Adds a chunk.
    pub fn push(&mut self, chunk: Bytes) {
        if self.len() == 0 {
            self.only_chunk = chunk;
            return;
        }
        if self.joined.is_empty() {
            self.joined = Vec::from(std::mem::take(&mut self.only_chunk));
        }
        self.joined.extend_from_slice(&chunk);
    }

    /// The whole body.
    pub fn into_bytes(self) -> Bytes {
        match self.joined.is_empty() {
            true => self.only_chunk,
            false => Bytes::from(self.joined),
        }
    }
}
