//! [`ReadBuffer`]: the buffer that all connections read into, one at a time.

use std::cell::RefCell;
use std::io::{ErrorKind, Read};

use cedarpulley_net::Stream;

/// Most bytes that one read returns. This is enough for several short requests or answers, and a long one takes few
/// reads.
pub(crate) const READ_SIZE: usize = 16 << 10;

/// The result of one read from a connection.
pub(crate) enum ReadResult<T> {
    /// Bytes were read; this is the result of processing them.
    Bytes(T),
    /// No bytes have arrived.
    Nothing,
    /// The peer has closed its sending side, or the connection has failed.
    Ended,
}

/// A buffer that is shared by all connections.
pub(crate) struct ReadBuffer(RefCell<Vec<u8>>);

impl ReadBuffer {
    pub fn new() -> Self {
        ReadBuffer(RefCell::new(vec![0; READ_SIZE]))
    }

    /// Reads once without waiting, and passes the bytes that have arrived to `process`.
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
