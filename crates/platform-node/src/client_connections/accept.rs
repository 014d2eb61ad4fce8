//! Accepts clients' connections.

use std::io::ErrorKind;
use std::net::TcpListener;
use std::rc::Rc;
use std::time::Duration;

use async_io::{Async, Timer};
use futures_lite::future::yield_now;

use crate::node::Node;

/// When no connection can be accepted for want of descriptors, it is tried again this much later.
const RETRY_PAUSE: Duration = Duration::from_millis(10);

/// Accepts connections for as long as the router runs.
pub async fn accept_clients(node: Rc<Node>, listener: Rc<Async<TcpListener>>) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                if !node.clients.has_room(&node) {
                    // A burst was accepted before any of it was served. Those that get their answer at once make room.
                    yield_now().await;
                }
                if node.clients.admit(&node, stream) {
                    // The evicted connection's descriptor is free again before the next one is accepted.
                    yield_now().await;
                }
            }
            Err(error) => {
                tracing::warn!("no connection accepted: {error}");
                Timer::after(RETRY_PAUSE).await;
            }
        }
    }
}

/// Accepts what the kernel has accepted for this listener by now; false if some of it had to be left there.
pub fn accept_backlog(node: &Rc<Node>, listener: &Async<TcpListener>) -> bool {
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
