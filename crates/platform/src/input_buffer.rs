//! [`InputBuffer`]: bytes of one connection that have arrived and are not decoded yet.

use std::ops::Deref;

/// A buffer that is filled at its end and consumed from its beginning. Consuming moves no bytes, so that many short
/// messages in one read cost no more than their own lengths. An empty buffer holds no memory.
#[derive(Debug, Default)]
pub(crate) struct InputBuffer {
    bytes: Vec<u8>,
    /// Number of leading bytes that are consumed.
    consumed: usize,
}

impl InputBuffer {
    /// Appends bytes.
    pub fn put(&mut self, bytes: &[u8]) {
        self.bytes.drain(..self.consumed);
        self.consumed = 0;
        self.bytes.extend_from_slice(bytes);
    }

    /// Removes this number of bytes from the beginning.
    pub fn consume(&mut self, count: usize) {
        self.consumed += count;
        if self.consumed >= self.bytes.len() {
            self.clear();
        }
    }

    /// Removes all bytes.
    pub fn clear(&mut self) {
        *self = InputBuffer::default();
    }

    /// Memory of the buffer, in bytes.
    pub fn memory(&self) -> usize {
        self.bytes.capacity()
    }
}

impl Deref for InputBuffer {
    type Target = [u8];

    fn deref(&self) -> &[u8] {
        &self.bytes[self.consumed..]
    }
}
