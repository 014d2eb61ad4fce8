//! Accepts clients' connections.

use std::io::ErrorKind;
use std::net::TcpListener;
use std::rc::Rc;
use std::time::Duration;

use async_io::{Async, Timer};
use futures_lite::future::yield_now;

use crate::node::Node;

/// After a failure to accept, usually for want of descriptors, before the next try.
const RETRY_PAUSE: Duration = Duration::from_millis(10);

/// Accepts connections for as long as the router runs.
pub(crate) async fn accept_clients(node: Rc<Node>, listener: Rc<Async<TcpListener>>) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                if !node.clients.has_capacity(&node) {
                    // A burst was accepted before any of it was served. Those that get their answer at once free
                    // their connections.
                    yield_now().await;
                }
                if node.clients.admit(&node, stream) {
                    // The evicted connection's descriptor is free again before the next one is accepted.
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

/// Accepts every connection in the listener's backlog; false if some had to be left there.
pub(crate) fn accept_backlog(node: &Rc<Node>, listener: &Async<TcpListener>) -> bool {
    loop {
        let accepted = listener
            .get_ref()
            .accept()
            .and_then(|(stream, _)| Async::new(stream));
        match accepted {
            Ok(stream) => {
                node.clients.admit(node, stream);
            }
            Err(error) if error.kind() == ErrorKind::Interrupted => {}
            Err(error) => return error.kind() == ErrorKind::WouldBlock,
        }
    }
}
