//! Graceful shutdown: the router goes on until every request that it has accepted is answered.

use std::net::TcpListener;
use std::rc::Rc;
use std::time::Duration;

use async_io::{Async, Timer};

use crate::client_connections::accept_backlog;
use crate::node::Node;

/// How often it is checked whether the process may exit.
const CHECK_PERIOD: Duration = Duration::from_millis(10);

/// Begins the shutdown, and returns once the process may exit.
pub(crate) async fn shut_down(node: &Rc<Node>, listener: &Async<TcpListener>) {
    node.begin_shutdown();
    tracing::info!("shutting down");
    loop {
        Timer::after(CHECK_PERIOD).await;
        // A request counts as accepted once its last byte is written to a connection that the kernel has accepted, read or
        // not. So the listener's backlog is emptied and every connection's buffer is checked, in one step that no
        // other task interrupts; the process exits in the same step.
        let backlog_empty = accept_backlog(node, listener);
        if node.may_exit(backlog_empty) {
            return;
        }
    }
}
