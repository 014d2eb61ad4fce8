//! [`RequestFraming`]: notices requests over HTTP/1.1 whose body is longer than its declared length. hyper ends a body at
//! that length, and looks at the bytes behind it only after the request has been answered.

use std::cell::{Cell, RefCell};

use cedarpulley_http_framing::{FollowingInput, RequestObserver};
use cedarpulley_net::Notifier;
use futures_lite::FutureExt;

use crate::input_memory::ConnectionInput;
use crate::observed_stream::StreamObserver;

/// The body of a request is longer than its declared length.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct LengthMismatch;

/// The requests on one connection, in the order in which they are served.
pub(crate) struct RequestFraming {
    input: ConnectionInput,
    observer: RefCell<RequestObserver>,
    /// Notified when bytes have arrived.
    received: Notifier,
    /// Number of requests that have been begun.
    begun: Cell<u64>,
    /// Number of bytes that were read ahead of the HTTP library.
    read_ahead: Cell<usize>,
}

impl RequestFraming {
    /// A connection on which nothing has arrived.
    pub fn new(input: ConnectionInput) -> Self {
        RequestFraming {
            input,
            observer: RefCell::default(),
            received: Notifier::default(),
            begun: Cell::new(0),
            read_ahead: Cell::new(0),
        }
    }

    /// Records the number of bytes that were read ahead of the HTTP library.
    pub fn set_read_ahead(&self, bytes: usize) {
        self.read_ahead.set(bytes);
        self.update_memory();
    }

    fn update_memory(&self) {
        let unfinished = self.observer.borrow().unfinished_head();
        self.input.set(unfinished, self.read_ahead.get());
    }

    /// Waits until the connection has to be closed, as unfinished heads take too much memory.
    pub async fn closing(&self) {
        self.input.closing().await;
    }

    /// Begins to serve the next request, and returns its number on the connection.
    pub fn begin_request(&self) -> u64 {
        self.begun.set(self.begun.get() + 1);
        self.begun.get()
    }

    /// Runs `serving` a request while nothing shows that its body is longer than its declared length.
    pub async fn while_whole<T>(
        &self,
        request: u64,
        serving: impl Future<Output = T>,
    ) -> Result<T, LengthMismatch> {
        let mismatched = async {
            while !self.is_mismatched(request) {
                self.received.notified().await;
            }
            Err(LengthMismatch)
        };
        let served = async { Ok(serving.await) };
        mismatched.or(served).await
    }

    fn is_mismatched(&self, request: u64) -> bool {
        self.observer.borrow().following_input(request) == FollowingInput::NotARequest
    }
}

impl StreamObserver for RequestFraming {
    fn received(&self, bytes: &[u8]) {
        self.observer.borrow_mut().put(bytes);
        self.update_memory();
        self.received.notify();
    }
}
