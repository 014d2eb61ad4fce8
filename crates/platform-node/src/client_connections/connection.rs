//! One connection of a client: its bytes, its requests, and its answer on the way back.

use std::cell::{Cell, RefCell};
use std::io::{ErrorKind, Write};

use cedarpulley_net::{Bell, Stream};
use cedarpulley_platform::client_protocol::{QueuedRequest, RequestQueue};
use cedarpulley_platform::connection_limiter::ClientId;
use cedarpulley_router::Answer;
use futures_lite::FutureExt;

use crate::node::{Node, ReadResult};

/// Pieces that are read in a row: a client that never stops sending holds nobody else up for longer.
const MOST_PIECES: usize = 4;

/// Why a connection has to end although its client has not closed it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum CloseReason {
    /// Its descriptor is needed at once.
    Evicted,
    /// Its time is over, or the router shuts down.
    TimedOut,
}

pub(super) struct ClientConnection {
    pub id: ClientId,
    pub stream: Stream,
    /// Rung when an answer has come, the client has gone, or the connection has to end.
    pub wake: Bell,
    pub answer: RefCell<Option<Answer>>,
    /// Set once the client has closed its side, or the connection has failed.
    pub client_left: Cell<bool>,
    pub close: Cell<Option<CloseReason>>,
    requests: RefCell<RequestQueue>,
}

impl ClientConnection {
    pub fn new(id: ClientId, stream: Stream) -> Self {
        ClientConnection {
            id,
            stream,
            wake: Bell::default(),
            answer: RefCell::default(),
            client_left: Cell::new(false),
            close: Cell::new(None),
            requests: RefCell::default(),
        }
    }

    pub fn end(&self, reason: CloseReason) {
        self.close.set(Some(reason));
        self.wake.ring();
    }

    /// Until there is something to read, or the connection is woken.
    pub async fn wait(&self) {
        let readable = async {
            let _ = self.stream.readable().await;
        };
        self.wake.heard().or(readable).await;
    }

    /// Reads all that has arrived, so that the client's closing is seen together with what it sent before.
    pub fn read_available(&self, node: &Node) {
        let arrived = node.arrival_time();
        for _ in 0..MOST_PIECES {
            if self.client_left.get() {
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
                ReadResult::Ended => self.client_left.set(true),
            }
        }
    }

    /// Bytes lie unread in the kernel, or are read and not yet answered.
    pub fn has_unread(&self) -> bool {
        let in_kernel = || self.stream.get_ref().peek(&mut [0]).is_ok_and(|n| n > 0);
        self.has_request() || in_kernel()
    }

    pub fn has_request(&self) -> bool {
        self.requests.borrow().has_request()
    }

    pub fn is_receiving(&self) -> bool {
        self.requests.borrow().is_receiving()
    }

    pub fn take_request(&self) -> Option<QueuedRequest> {
        self.requests.borrow_mut().take()
    }

    /// Writes all of it; false if the client is gone or the connection has to end meanwhile.
    pub async fn write(&self, mut bytes: &[u8]) -> bool {
        while !bytes.is_empty() {
            match self.stream.get_ref().write(bytes) {
                Ok(0) => return false,
                Ok(n) => bytes = &bytes[n..],
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Err(e) if e.kind() == ErrorKind::WouldBlock && self.close.get().is_none() => {
                    let writable = async {
                        let _ = self.stream.writable().await;
                    };
                    self.wake.heard().or(writable).await;
                }
                Err(_) => return false,
            }
        }
        true
    }
}
