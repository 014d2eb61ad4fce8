//! [`ReadProgress`]: whether all that a peer has sent is read.

use std::cell::Cell;

use event_listener::Event;
use thiserror::Error;

/// What the reads of a connection have shown of its peer. One task reads the connection; other tasks wait until it has read
/// all that has arrived, as the end of the connection may lie behind.
#[derive(Debug, Default)]
pub struct ReadProgress {
    state: Cell<ReadState>,
    /// Bytes read so far.
    bytes: Cell<u64>,
    changed: Event,
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum ReadState {
    /// More may have arrived than is read.
    #[default]
    Behind,
    /// The last read found nothing.
    CaughtUp,
    /// The peer has closed its sending side, or the connection has failed.
    Ended,
}

/// Why a request of the peer may not be passed on.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
pub enum UnreadInput {
    /// The peer has closed its sending side, or the connection has failed.
    #[error("the client has left")]
    Ended,
    /// The peer goes on sending.
    #[error("too much was sent behind the call")]
    TooMuch,
}

impl ReadProgress {
    /// Records a read of this number of bytes; 0 is the end of the connection.
    pub(crate) fn read(&self, bytes: usize) {
        let state = match bytes {
            0 => ReadState::Ended,
            _ => ReadState::Behind,
        };
        self.bytes.set(self.bytes.get() + bytes as u64);
        self.change(state);
    }

    /// Records that a read found nothing.
    pub(crate) fn found_nothing(&self) {
        self.change(ReadState::CaughtUp);
    }

    fn change(&self, state: ReadState) {
        self.state.set(state);
        self.changed.notify(usize::MAX);
    }

    /// Bytes read so far.
    pub fn bytes(&self) -> u64 {
        self.bytes.get()
    }

    /// Waits for the next read.
    pub async fn changed(&self) {
        self.changed.listen().await;
    }

    /// Waits until all that has arrived is read. Fails if the peer has left, or if `max_bytes` more are read meanwhile.
    pub async fn caught_up(&self, max_bytes: u64) -> Result<(), UnreadInput> {
        let began = self.bytes.get();
        loop {
            match self.state.get() {
                ReadState::CaughtUp => return Ok(()),
                ReadState::Ended => return Err(UnreadInput::Ended),
                ReadState::Behind if self.bytes.get() - began > max_bytes => {
                    return Err(UnreadInput::TooMuch);
                }
                // No other task runs between the check and the registration.
                ReadState::Behind => self.changed.listen().await,
            }
        }
    }
}
