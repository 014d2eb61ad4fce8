//! Bodies of answers to KServe clients, passed to the connection in chunks, and the count of bytes that clients have
//! not read yet.

use std::convert::Infallible;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};

use bytes::Bytes;
use hyper::body::{Body, Frame, SizeHint};
use hyper::{HeaderMap, Response};

use crate::client_connection::{ClientConnection, HandlerResources};

/// Answers are passed to the connection in chunks of this size, so that little is buffered for a client that
/// does not read.
const CHUNK_BYTES: usize = 64 * 1024;

/// Counts the undelivered bytes of an answer; they reduce the memory available for admitting requests.
pub struct UnreadAnswer {
    resources: Rc<HandlerResources>,
    client: Rc<ClientConnection>,
    bytes: u64,
}

impl UnreadAnswer {
    /// Starts counting an answer of `bytes` bytes, until it is delivered or dropped.
    pub(crate) fn begin(
        resources: &Rc<HandlerResources>,
        client: &Rc<ClientConnection>,
        bytes: usize,
    ) -> Self {
        resources
            .unread_bytes
            .set(resources.unread_bytes.get() + bytes as u64);
        client.begin_unread_answer();
        UnreadAnswer {
            resources: resources.clone(),
            client: client.clone(),
            bytes: bytes as u64,
        }
    }

    fn delivered(&mut self, bytes: usize) {
        let delivered = self.bytes.min(bytes as u64);
        self.bytes -= delivered;
        self.resources
            .unread_bytes
            .set(self.resources.unread_bytes.get().saturating_sub(delivered));
    }
}

impl Drop for UnreadAnswer {
    fn drop(&mut self) {
        self.delivered(usize::MAX);
        self.client.end_unread_answer();
    }
}

/// A response to a KServe client.
pub(crate) type Reply = Response<AnswerBody>;

/// The body of an answer in chunks, followed by trailers if there are any.
pub struct AnswerBody {
    remaining: Bytes,
    trailers: Option<HeaderMap>,
    unread: Option<UnreadAnswer>,
}

impl AnswerBody {
    /// `unread` counts the body's bytes until they are passed to the connection.
    pub fn new(body: Bytes, trailers: Option<HeaderMap>, unread: Option<UnreadAnswer>) -> Self {
        AnswerBody {
            remaining: body,
            trailers,
            unread,
        }
    }
}

impl Body for AnswerBody {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        _: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        if !self.remaining.is_empty() {
            let limit = self.remaining.len().min(CHUNK_BYTES);
            let chunk = self.remaining.split_to(limit);
            if let Some(unread) = &mut self.unread {
                unread.delivered(chunk.len());
            }
            return Poll::Ready(Some(Ok(Frame::data(chunk))));
        }
        self.unread = None;
        Poll::Ready(
            self.trailers
                .take()
                .map(|trailers| Ok(Frame::trailers(trailers))),
        )
    }

    fn is_end_stream(&self) -> bool {
        self.remaining.is_empty() && self.trailers.is_none()
    }

    fn size_hint(&self) -> SizeHint {
        SizeHint::with_exact(self.remaining.len() as u64)
    }
}
