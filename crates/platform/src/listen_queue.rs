//! [`ListenQueue`]: whether connects of clients may have been dropped because the queue of the listener was full.
//!
//! The system drops a connect when as many connections wait to be accepted as the queue holds, and tells neither side. The
//! client's system repeats it later. The rule that this type keeps: whatever other clients do, a client whose connect was
//! dropped still finds a router that shuts down. Report each attempt to accept a connection with
//! [`ListenQueue::accepted`] or [`ListenQueue::found_empty`].

use cedarpulley::interface::Micros;

/// Connections in the shortest queue that systems have by default.
const SHORTEST_QUEUE: u32 = 128;
/// Time after which a client whose connect was dropped has connected and sent its request, in microseconds: systems repeat a
/// connect after 1 s.
const CONNECT_RETRY: Micros = 1_250_000;

/// What the attempts to accept connections have shown of the queue; times are microseconds of the router's clock.
#[derive(Debug, Default)]
pub struct ListenQueue {
    /// Connections accepted since the queue was last empty.
    accepted_in_row: u32,
    most_in_row: u32,
    /// When the queue may have been full for the last time.
    full_at: Option<Micros>,
}

impl ListenQueue {
    /// Records that a connection was accepted. Before a queue is found empty, all connections are accepted that were in it
    /// when it was full.
    pub fn accepted(&mut self, now: Micros) {
        self.accepted_in_row += 1;
        self.most_in_row = self.most_in_row.max(self.accepted_in_row);
        if self.accepted_in_row >= SHORTEST_QUEUE {
            self.full_at = Some(now);
        }
    }

    /// Records that no connection was waiting.
    pub fn found_empty(&mut self) {
        self.accepted_in_row = 0;
    }

    /// When the clients have connected again whose connects were dropped until `last`; `None` if none was dropped.
    pub fn retries_due(&self, last: Micros) -> Option<Micros> {
        self.full_at.map(|full| full.min(last) + CONNECT_RETRY)
    }

    /// Most connections so far that were accepted before the queue was empty.
    pub fn most_in_row(&self) -> u32 {
        self.most_in_row
    }
}
