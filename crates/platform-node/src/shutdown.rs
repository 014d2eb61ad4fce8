//! Graceful shutdown: the router runs until every request that it has accepted is answered.

use std::rc::Rc;
use std::time::Duration;

use async_io::Timer;
use futures_lite::future::yield_now;

use crate::client_connections::{Backlog, ClientListener};
use crate::node::Node;

/// Time between two checks whether the process may exit.
const CHECK_PERIOD: Duration = Duration::from_millis(10);

/// Starts the shutdown, and returns when the process may exit.
pub(crate) async fn shut_down(node: &Rc<Node>, listener: &ClientListener) {
    node.begin_shutdown();
    tracing::info!("shutting down");
    let mut is_queue_closed = false;
    loop {
        // A request counts as accepted when its last byte is written to a connection that the kernel has accepted, even
        // if this process has not read it. So the listener's backlog is emptied and the kernel buffer and the read
        // requests of every connection are checked, in one step that no other task interrupts; the process exits in the
        // same step.
        let backlog = listener.accept_backlog(node);
        if node.may_exit(backlog == Backlog::Empty) {
            return;
        }
        // Only the backlog keeps the process from its exit, and clients that connect at full speed keep it filled.
        if backlog == Backlog::Left && !is_queue_closed && node.may_exit(true) {
            is_queue_closed = true;
            listener.close_queue();
        }
        if backlog == Backlog::Left {
            yield_now().await;
        } else {
            Timer::after(CHECK_PERIOD).await;
        }
    }
}
