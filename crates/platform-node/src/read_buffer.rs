//! [`ReadBuffer`]: one buffer that all connections read into, one after the other.

use std::cell::RefCell;
use std::io::{ErrorKind, Read};

use cedarpulley_net::Stream;

/// Most bytes read at a time: several short requests or answers, a long one in a few reads.
pub(crate) const READ_SIZE: usize = 16 << 10;

/// The result of one read from a connection.
pub(crate) enum ReadResult<T> {
    /// Bytes, processed to this.
    Bytes(T),
    /// Nothing has arrived.
    Nothing,
    /// The connection has ended or failed.
    Ended,
}

/// The shared buffer.
pub(crate) struct ReadBuffer(RefCell<Vec<u8>>);

impl ReadBuffer {
    pub fn new() -> Self {
        ReadBuffer(RefCell::new(vec![0; READ_SIZE]))
    }

    /// Reads once without waiting, and processes what arrived.
    pub fn read<T>(&self, stream: &Stream, process: impl FnOnce(&[u8]) -> T) -> ReadResult<T> {
        let mut buffer = self.0.borrow_mut();
        match stream.get_ref().read(&mut buffer) {
            Ok(0) => ReadResult::Ended,
            Ok(length) => ReadResult::Bytes(process(&buffer[..length])),
            Err(error)
                if matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::Interrupted) =>
            {
                ReadResult::Nothing
            }
            Err(_) => ReadResult::Ended,
        }
    }
}
