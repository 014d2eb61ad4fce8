//! One connection of a client: its bytes, its requests, and its answer on the way back.

use std::cell::{Cell, RefCell};
use std::io::{ErrorKind, Write};
use std::net::Shutdown;

use cedarpulley_net::{Notifier, Stream};
use cedarpulley_platform::client_protocol::{QueuedRequest, RequestQueue};
use cedarpulley_platform::connection_limiter::ClientId;
use cedarpulley_router::Answer;
use futures_lite::FutureExt;

use crate::node::Node;
use crate::read_buffer::ReadResult;

/// Reads in a row: a client that never stops sending delays others no longer than that.
const MAX_READS: usize = 4;

/// Why a connection has to end although its client has not closed it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum CloseReason {
    /// Its descriptor is needed at once.
    Evicted,
    /// It is overdue, or the router shuts down.
    TimedOut,
}

pub(super) struct ClientConnection {
    id: ClientId,
    stream: Stream,
    /// Rung when an answer has arrived, the client has disconnected, or the connection has to end.
    wake: Notifier,
    answer: RefCell<Option<Answer>>,
    disconnected: Cell<bool>,
    close_reason: Cell<Option<CloseReason>>,
    requests: RefCell<RequestQueue>,
}

impl ClientConnection {
    pub fn new(id: ClientId, stream: Stream) -> Self {
        ClientConnection {
            id,
            stream,
            wake: Notifier::default(),
            answer: RefCell::default(),
            disconnected: Cell::new(false),
            close_reason: Cell::new(None),
            requests: RefCell::default(),
        }
    }

    pub fn id(&self) -> ClientId {
        self.id
    }

    /// Has the connection's task look at the connection again.
    pub fn wake(&self) {
        self.wake.notify();
    }

    /// Has the connection's task end the connection.
    pub fn end(&self, reason: CloseReason) {
        self.close_reason.set(Some(reason));
        self.wake();
    }

    /// Why the connection has to end, if it has to.
    pub fn close_reason(&self) -> Option<CloseReason> {
        self.close_reason.get()
    }

    /// The connection has to end no longer.
    pub fn clear_close_reason(&self) {
        self.close_reason.set(None);
    }

    /// The answer to the pending request, for the connection's task.
    pub fn deliver(&self, answer: Answer) {
        self.answer.replace(Some(answer));
        self.wake();
    }

    pub fn take_answer(&self) -> Option<Answer> {
        self.answer.take()
    }

    /// Whether the client has closed its side, or the connection has failed, as far as it has been read.
    pub fn is_disconnected(&self) -> bool {
        self.disconnected.get()
    }

    /// Waits until there is something to read, or the connection is woken.
    pub async fn wait(&self) {
        let readable = async {
            let _ = self.stream.readable().await;
        };
        self.wake.notified().or(readable).await;
    }

    /// Reads all that has arrived, so that a disconnection is seen together with what the client sent before.
    pub fn read_available(&self, node: &Node) {
        let arrived = node.arrival_time();
        for _ in 0..MAX_READS {
            if self.disconnected.get() {
                return;
            }
            let put = |bytes: &[u8]| {
                self.requests
                    .borrow_mut()
                    .put(arrived, bytes, node.clients.rules())
            };
            match node.read(&self.stream, put) {
                ReadResult::Bytes(()) => {}
                ReadResult::Nothing => return,
                ReadResult::Ended => self.disconnected.set(true),
            }
        }
    }

    /// Reads once and discards what arrived; the number of bytes.
    pub fn discard_available(&self, node: &Node) -> ReadResult<usize> {
        node.read(&self.stream, <[u8]>::len)
    }

    /// Whether bytes are unread in the kernel's buffer, or a complete request is read and not yet served.
    pub fn has_unserved_input(&self) -> bool {
        let in_kernel = || {
            let peeked = self.stream.get_ref().peek(&mut [0]);
            peeked.is_ok_and(|length| length > 0)
        };
        self.has_request() || in_kernel()
    }

    /// Whether a complete request is read and not yet served.
    pub fn has_request(&self) -> bool {
        self.requests.borrow().has_request()
    }

    /// Whether a request is read in part.
    pub fn is_receiving(&self) -> bool {
        self.requests.borrow().is_receiving()
    }

    pub fn take_request(&self) -> Option<QueuedRequest> {
        self.requests.borrow_mut().take()
    }

    /// Writes all bytes; false if the client has disconnected, or the connection has to end before the kernel has room.
    pub async fn write(&self, mut bytes: &[u8]) -> bool {
        while !bytes.is_empty() {
            match self.stream.get_ref().write(bytes) {
                Ok(0) => return false,
                Ok(written) => bytes = &bytes[written..],
                Err(error) if error.kind() == ErrorKind::Interrupted => {}
                Err(error)
                    if error.kind() == ErrorKind::WouldBlock && self.close_reason().is_none() =>
                {
                    let writable = async {
                        let _ = self.stream.writable().await;
                    };
                    self.wake.notified().or(writable).await;
                }
                Err(_) => return false,
            }
        }
        true
    }

    /// Tells the client that nothing more will be sent; false if the connection has failed.
    pub fn shut_down_writing(&self) -> bool {
        self.stream.get_ref().shutdown(Shutdown::Write).is_ok()
    }
}
