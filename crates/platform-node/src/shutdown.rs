//! Graceful shutdown: the router goes on until nothing that it has accepted is unanswered.

use std::net::TcpListener;
use std::rc::Rc;
use std::time::Duration;

use async_io::{Async, Timer};

use crate::client_connections::accept_backlog;
use crate::node::Node;

/// A router that shuts down asks this often whether it may exit.
const LOOK_PERIOD: Duration = Duration::from_millis(10);

/// Begins the shutdown, and returns once the process may exit.
pub async fn shut_down(node: &Rc<Node>, listener: &Async<TcpListener>) {
    node.shutdown.borrow_mut().begin(node.clock.now());
    tracing::info!("shutting down");
    loop {
        Timer::after(LOOK_PERIOD).await;
        // A request counts as accepted once its last byte is written to a connection that the kernel has accepted, read or
        // not. So the listener's backlog is emptied and every connection's buffer is looked into, in one step that no
        // other task comes between; the process exits in the same step.
        let backlog_empty = accept_backlog(node, listener);
        let unfinished =
            !backlog_empty || node.has_open_requests() || node.clients.has_unfinished();
        if node
            .shutdown
            .borrow()
            .may_exit(node.clock.now(), unfinished)
        {
            return;
        }
    }
}
