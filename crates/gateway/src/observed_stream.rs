//! [`ObservedStream`]: a stream that shows an observer what passes through it.

use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};

use futures_lite::{AsyncRead, AsyncWrite};

/// Observes the bytes of one connection.
pub(crate) trait StreamObserver {
    /// These bytes have been read.
    fn received(&self, bytes: &[u8]);

    /// The kernel has accepted this number of bytes.
    fn sent(&self, _count: usize) {}
}

/// A stream whose bytes are observed.
pub(crate) struct ObservedStream<S, O> {
    stream: S,
    observer: Rc<O>,
}

impl<S, O> ObservedStream<S, O> {
    /// Wraps a stream.
    pub fn new(stream: S, observer: Rc<O>) -> Self {
        ObservedStream { stream, observer }
    }
}

impl<S: AsyncRead + Unpin, O: StreamObserver> AsyncRead for ObservedStream<S, O> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context,
        buf: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        let polled = Pin::new(&mut self.stream).poll_read(cx, buf);
        if let Poll::Ready(Ok(length)) = polled {
            self.observer.received(&buf[..length]);
        }
        polled
    }
}

impl<S: AsyncWrite + Unpin, O: StreamObserver> AsyncWrite for ObservedStream<S, O> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let polled = Pin::new(&mut self.stream).poll_write(cx, buf);
        if let Poll::Ready(Ok(count)) = polled {
            self.observer.sent(count);
        }
        polled
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_close(mut self: Pin<&mut Self>, cx: &mut Context) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_close(cx)
    }
}
