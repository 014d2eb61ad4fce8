//! Accepts the connections of clients.

use std::io::{self, ErrorKind};
use std::net::TcpListener;
use std::rc::Rc;
use std::time::Duration;

use async_io::{Async, Timer};
use cedarpulley_net::{LoopShare, STEPS_PER_TURN, Stream, close_queue, is_reset};
use futures_lite::future::yield_now;

use crate::node::Node;

/// Pause after a failure to accept a connection, before the next attempt. The usual cause is a lack of file
/// descriptors.
const RETRY_PAUSE: Duration = Duration::from_millis(10);

/// What is left in the listener's backlog.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Backlog {
    /// No connection waits.
    Empty,
    /// Further connections may wait, which are accepted after other tasks have run.
    Left,
    /// A connection waits and cannot be accepted now.
    Stuck,
}

/// The listener for clients.
pub(crate) struct ClientListener {
    listener: Async<TcpListener>,
}

impl ClientListener {
    pub fn new(listener: Async<TcpListener>) -> Self {
        ClientListener { listener }
    }

    /// Accepts connections while the router runs.
    pub async fn accept_clients(self: Rc<Self>, node: Rc<Node>) {
        let mut share = LoopShare::default();
        loop {
            share.step().await;
            match self.accept(&node).await {
                Ok(None) => {}
                Ok(Some(stream)) => {
                    if !node.clients.has_capacity(&node) {
                        // A burst of connections may have been accepted before any of them was served. The other tasks
                        // run first: connections whose requests are answered at once make room for this one.
                        yield_now().await;
                    }
                    if node.clients.admit(&node, stream) {
                        // The evicted connection closes its descriptor before the next connection is accepted.
                        yield_now().await;
                    }
                }
                Err(error) => {
                    tracing::warn!(%error, "accepting a connection failed");
                    Timer::after(RETRY_PAUSE).await;
                }
            }
        }
    }

    /// Accepts connections in the listener's backlog, as many as one turn allows.
    pub fn accept_backlog(&self, node: &Rc<Node>) -> Backlog {
        for _ in 0..STEPS_PER_TURN {
            match self.try_accept(node) {
                Ok(None) => {}
                Ok(Some(stream)) => {
                    node.clients.admit(node, stream);
                }
                Err(error) if error.kind() == ErrorKind::Interrupted => {}
                Err(error) if error.kind() == ErrorKind::WouldBlock => return Backlog::Empty,
                Err(_) => return Backlog::Stuck,
            }
        }
        Backlog::Left
    }

    /// Lets no more connections wait than one, so that the backlog becomes empty however fast clients connect.
    pub fn close_queue(&self) {
        if let Err(error) = close_queue(self.listener.get_ref()) {
            tracing::warn!(%error, "the listen queue cannot be closed; the shutdown may take longer");
        }
    }

    /// Accepts a connection, and waits for one if none is waiting; `None` if its client has gone.
    async fn accept(&self, node: &Node) -> io::Result<Option<Stream>> {
        loop {
            match self.try_accept(node) {
                Err(error) if error.kind() == ErrorKind::WouldBlock => {
                    self.listener.readable().await?;
                }
                accepted => return accepted,
            }
        }
    }

    /// Accepts a connection if one is waiting; `None` if its client has gone: it has reset the connection, and costs no
    /// more than that.
    fn try_accept(&self, node: &Node) -> io::Result<Option<Stream>> {
        let accepted = self.listener.get_ref().accept();
        let mut queue = node.listen_queue.borrow_mut();
        match &accepted {
            Ok(_) => queue.accepted(node.clock.now()),
            Err(error) if error.kind() == ErrorKind::WouldBlock => queue.found_empty(),
            Err(_) => {}
        }
        drop(queue);
        let (stream, _) = accepted?;
        if is_reset(&stream) {
            return Ok(None);
        }
        Async::new(stream).map(Some)
    }
}
