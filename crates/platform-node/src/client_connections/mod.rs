//! Connections of clients: one task for each reads requests, hands them to the core and writes the responses.

mod accept;
mod connection;
mod pending;
mod session;

use std::cell::RefCell;
use std::collections::{BTreeMap, HashMap};
use std::rc::Rc;

use cedarpulley_net::Stream;
use cedarpulley_platform::client_protocol::{RequestError, RequestRules};
use cedarpulley_platform::connection_limiter::{ClientId, ConnectionLimiter};
use cedarpulley_router::{Answer, Delivery, Input};

pub(crate) use accept::{accept_backlog, accept_clients};
use connection::{ClientConnection, CloseReason};
use pending::{PendingRequests, Tag};
use session::Session;

use crate::node::Node;

/// What has happened to clients so far.
#[derive(Clone, Debug)]
pub(crate) struct ClientCounts {
    /// Connections that are open now.
    pub open: usize,
    /// Connections that were closed to make room for others.
    pub evicted: u64,
    /// Connections that were rejected because the table was full.
    pub rejected_connections: u64,
    /// Requests that did not reach the core, by cause.
    pub rejected_requests: BTreeMap<RequestError, u64>,
}

/// All connections of clients and the requests that are pending on them.
pub(crate) struct ClientConnections {
    rules: RequestRules,
    limiter: RefCell<ConnectionLimiter>,
    connections: RefCell<HashMap<ClientId, Rc<ClientConnection>>>,
    pending: PendingRequests,
    rejected_requests: RefCell<BTreeMap<RequestError, u64>>,
}

impl ClientConnections {
    pub fn new(rules: RequestRules, limiter: ConnectionLimiter) -> Self {
        ClientConnections {
            rules,
            limiter: RefCell::new(limiter),
            connections: RefCell::default(),
            pending: PendingRequests::default(),
            rejected_requests: RefCell::default(),
        }
    }

    pub fn rules(&self) -> &RequestRules {
        &self.rules
    }

    /// Whether none of the tables that an output of the core may change is borrowed.
    pub fn is_unborrowed(&self) -> bool {
        self.pending.is_unborrowed() && self.limiter.try_borrow_mut().is_ok()
    }

    pub fn counts(&self) -> ClientCounts {
        let limiter = self.limiter.borrow();
        ClientCounts {
            open: limiter.count(),
            evicted: limiter.evicted(),
            rejected_connections: limiter.rejected(),
            rejected_requests: self.rejected_requests.borrow().clone(),
        }
    }

    /// Whether a request is unanswered or partly received, or bytes of one are unread in a kernel buffer.
    pub fn has_unfinished(&self) -> bool {
        let has_unserved_input = || {
            let connections = self.connections.borrow();
            connections
                .values()
                .any(|connection| connection.has_unserved_input())
        };
        self.limiter.borrow().has_unfinished() || has_unserved_input()
    }

    /// Whether a new connection would be admitted.
    pub fn has_capacity(&self, node: &Node) -> bool {
        let has_request = |id| self.has_request(node, id);
        self.limiter
            .borrow()
            .has_capacity(node.clock.now(), has_request)
    }

    /// Takes a new connection, if only to reject it; true if another one has to close for it.
    pub fn admit(&self, node: &Rc<Node>, stream: Stream) -> bool {
        let _ = stream.get_ref().set_nodelay(true);
        let has_request = |id| self.has_request(node, id);
        let admission = self
            .limiter
            .borrow_mut()
            .connected(node.clock.now(), has_request);
        let connection = Rc::new(ClientConnection::new(admission.id, stream));
        self.connections
            .borrow_mut()
            .insert(admission.id, connection.clone());
        let session = Session::new(node.clone(), connection);
        node.spawn(async move {
            if admission.rejected {
                session.reject_connection().await;
            } else {
                session.serve_requests().await;
            }
            session.close();
        });
        let Some(evicted) = admission.evicts else {
            return false;
        };
        self.end(evicted, CloseReason::Evicted);
        true
    }

    /// The connection has ended.
    fn remove(&self, id: ClientId) {
        self.limiter.borrow_mut().closed(id);
        self.connections.borrow_mut().remove(&id);
    }

    /// Whether a complete request of this client has arrived, read so far or not.
    fn has_request(&self, node: &Node, id: ClientId) -> bool {
        let Some(connection) = self.connections.borrow().get(&id).cloned() else {
            return false;
        };
        connection.read_available(node);
        if connection.has_request() || connection.is_disconnected() {
            // Its own task waits for bytes that are read already.
            connection.wake();
        }
        connection.has_request()
    }

    fn end(&self, id: ClientId, reason: CloseReason) {
        if let Some(connection) = self.connections.borrow().get(&id) {
            tracing::debug!(connection = id, ?reason, "client connection to be closed");
            connection.end(reason);
        }
    }

    /// Closes overdue connections. A request that has arrived and is not read yet is served all the same.
    pub fn sweep(&self, node: &Node) {
        let now = node.clock.now();
        let has_request = |id| self.has_request(node, id);
        let mut ending = self.limiter.borrow().overdue(now, has_request);
        if !node.accepts(now) {
            ending.extend(self.limiter.borrow().without_request(has_request));
        }
        ending
            .into_iter()
            .for_each(|id| self.end(id, CloseReason::TimedOut));
    }

    /// Delivers the core's answer to the connection that waits for it, and acknowledges it to the core.
    pub fn answer(&self, node: &Rc<Node>, delivery: Delivery, answer: Answer) {
        if let Some((id, connection)) = self.pending.remove(delivery.tag) {
            tracing::debug!(%id, outcome = ?answer.outcome, reason = ?answer.reason, "request answered");
            connection.deliver(answer);
        }
        node.feed(Input::AnswerDelivered(delivery));
    }

    /// Whether the client of this request has disconnected, asked right before an attempt is sent: the disconnection may
    /// have arrived since this process last read. If so, the core is notified.
    pub fn has_disconnected(&self, node: &Rc<Node>, request_id: &str) -> bool {
        let Some((tag, connection)) = self.pending.find(request_id) else {
            return true;
        };
        connection.read_available(node);
        if !connection.is_disconnected() {
            return false;
        }
        connection.wake();
        self.notify_departure(node, tag);
        true
    }

    /// Notifies the core that nobody waits for the answer to a request, unless it has been answered.
    fn notify_departure(&self, node: &Rc<Node>, tag: Tag) {
        if let Some((id, _)) = self.pending.remove(tag) {
            tracing::debug!(%id, "client left before its answer");
            node.feed(Input::ClientLeft(delivery(tag)));
        }
    }

    fn count_rejection(&self, error: RequestError) {
        tracing::debug!(?error, "request rejected before the core");
        let mut rejected = self.rejected_requests.borrow_mut();
        *rejected.entry(error).or_default() += 1;
    }
}

/// By what the core knows a request: the platform has one front, which never restarts without its router.
fn delivery(tag: Tag) -> Delivery {
    Delivery {
        front: 0,
        incarnation: 0,
        tag,
    }
}
