//! [`ReadAhead`]: reads what a REST client sends behind a request while that request is served.
//!
//! The HTTP library reads the next request only after the answer, so that the end of a connection behind unread input goes
//! unnoticed. The rule that this type keeps: a request is passed on only once all that its client has sent is read, and is
//! withdrawn as soon as its client has left, whatever lies behind it. A client that goes on sending is not waited for.

use std::cell::RefCell;
use std::collections::VecDeque;
use std::future::poll_fn;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};

use futures_lite::{AsyncRead, AsyncWrite};

use crate::observed_stream::StreamObserver;
use crate::request_framing::RequestFraming;

/// Most bytes that are read behind a request.
const MAX_BYTES_AHEAD: usize = 256 << 10;
/// Most bytes of one read.
const READ_SIZE: usize = 4 << 10;

/// Why a request is withdrawn.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Departure {
    /// The client has closed the connection, or it has failed.
    Left,
    /// More lies behind the request than is read.
    TooMuchInput,
}

/// The input of a connection, which both the HTTP library and the request that is served read.
pub(crate) trait ClientInput {
    /// Reads ahead; ready once the request has to be withdrawn.
    fn poll_departure(&self, context: &mut Context) -> Poll<Departure>;
}

/// Waits until the request that is served has to be withdrawn.
pub(crate) async fn departure(input: &dyn ClientInput) -> Departure {
    poll_fn(|context| input.poll_departure(context)).await
}

/// A connection and what has been read from it ahead of the HTTP library.
struct Connection<S> {
    stream: S,
    ahead: VecDeque<u8>,
    has_ended: bool,
}

/// The stream that the HTTP library reads. Its clones share the connection.
pub(crate) struct ReadAhead<S> {
    connection: Rc<RefCell<Connection<S>>>,
    framing: Rc<RequestFraming>,
}

impl<S> ReadAhead<S> {
    /// Wraps a stream whose requests `framing` follows.
    pub fn new(stream: S, framing: Rc<RequestFraming>) -> Self {
        let connection = Connection {
            stream,
            ahead: VecDeque::new(),
            has_ended: false,
        };
        ReadAhead {
            connection: Rc::new(RefCell::new(connection)),
            framing,
        }
    }

    /// A second handle of the same connection.
    pub fn share(&self) -> Self {
        ReadAhead {
            connection: self.connection.clone(),
            framing: self.framing.clone(),
        }
    }
}

impl<S: AsyncRead + Unpin> ReadAhead<S> {
    /// Reads from the connection, and shows the bytes to the framing.
    fn poll_new(
        &self,
        connection: &mut Connection<S>,
        context: &mut Context,
        buffer: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        let polled = Pin::new(&mut connection.stream).poll_read(context, buffer);
        match &polled {
            Poll::Ready(Ok(length)) if *length > 0 => self.framing.received(&buffer[..*length]),
            Poll::Ready(_) => connection.has_ended = true,
            Poll::Pending => {}
        }
        polled
    }
}

impl<S: AsyncRead + Unpin> ClientInput for ReadAhead<S> {
    fn poll_departure(&self, context: &mut Context) -> Poll<Departure> {
        let connection = &mut *self.connection.borrow_mut();
        let mut buffer = [0; READ_SIZE];
        while !connection.has_ended {
            if connection.ahead.len() >= MAX_BYTES_AHEAD {
                return Poll::Ready(Departure::TooMuchInput);
            }
            let Poll::Ready(read) = self.poll_new(connection, context, &mut buffer) else {
                return Poll::Pending;
            };
            connection.ahead.extend(&buffer[..read.unwrap_or(0)]);
            self.framing.set_read_ahead(connection.ahead.len());
        }
        Poll::Ready(Departure::Left)
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for ReadAhead<S> {
    fn poll_read(
        self: Pin<&mut Self>,
        context: &mut Context,
        buffer: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        let connection = &mut *self.connection.borrow_mut();
        if !connection.ahead.is_empty() {
            let read = io::Read::read(&mut connection.ahead, buffer);
            if connection.ahead.is_empty() {
                connection.ahead = VecDeque::new();
            }
            self.framing.set_read_ahead(connection.ahead.len());
            return Poll::Ready(read);
        }
        if connection.has_ended {
            return Poll::Ready(Ok(0));
        }
        self.poll_new(connection, context, buffer)
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for ReadAhead<S> {
    fn poll_write(
        self: Pin<&mut Self>,
        context: &mut Context,
        buffer: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.connection.borrow_mut().stream).poll_write(context, buffer)
    }

    fn poll_flush(self: Pin<&mut Self>, context: &mut Context) -> Poll<io::Result<()>> {
        Pin::new(&mut self.connection.borrow_mut().stream).poll_flush(context)
    }

    fn poll_close(self: Pin<&mut Self>, context: &mut Context) -> Poll<io::Result<()>> {
        Pin::new(&mut self.connection.borrow_mut().stream).poll_close(context)
    }
}
