//! [`RequestFraming`]: notices requests over HTTP/1.1 whose body is longer than its declared length. hyper ends a body at
//! that length, and looks at the bytes behind it only after the request has been answered.

use std::cell::{Cell, RefCell};
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};

use cedarpulley_http_framing::{FollowingInput, RequestObserver};
use cedarpulley_net::Notifier;
use futures_lite::{AsyncRead, AsyncWrite, FutureExt};

/// The body of a request is longer than its declared length.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct LengthMismatch;

/// The requests on one connection, in the order in which they are served.
#[derive(Default)]
pub(crate) struct RequestFraming {
    observer: RefCell<RequestObserver>,
    /// Notified when bytes have arrived.
    received: Notifier,
    /// Number of requests that have been begun.
    begun: Cell<u64>,
}

impl RequestFraming {
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

    fn put(&self, bytes: &[u8]) {
        self.observer.borrow_mut().put(bytes);
        self.received.notify();
    }
}

/// A stream from a client whose bytes are observed.
pub(crate) struct ObservedStream<S> {
    stream: S,
    framing: Rc<RequestFraming>,
}

impl<S> ObservedStream<S> {
    pub fn new(stream: S, framing: Rc<RequestFraming>) -> Self {
        ObservedStream { stream, framing }
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for ObservedStream<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context,
        buf: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        let polled = Pin::new(&mut self.stream).poll_read(cx, buf);
        if let Poll::Ready(Ok(length)) = polled {
            self.framing.put(&buf[..length]);
        }
        polled
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for ObservedStream<S> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(cx, buf)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_close(mut self: Pin<&mut Self>, cx: &mut Context) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_close(cx)
    }
}
