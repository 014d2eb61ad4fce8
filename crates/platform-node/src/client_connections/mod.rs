//! Connections of clients. Each has a task that reads requests, passes them to the core and writes the responses.

mod accept;
mod connection;
mod pending;
mod session;

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, HashMap};
use std::net::IpAddr;
use std::rc::Rc;
use std::sync::Arc;

use cedarpulley::table_size::TableSize;
use cedarpulley_net::Stream;
use cedarpulley_platform::client_protocol::{FollowingInput, RequestError, RequestRules};
use cedarpulley_platform::connection_limiter::{ClientId, ConnectionLimiter, NewConnections};
use cedarpulley_platform::loop_activity::{Activity, TaskOwner};
use cedarpulley_platform::memory_share::MemoryShare;
use cedarpulley_platform::request_ids::{IdStatus, RequestId, RequestIds};
use cedarpulley_router::{Answer, Delivery, FinalOutcome, Input};

pub(crate) use accept::{Backlog, ClientListener};
use connection::{ClientConnection, CloseReason, Unread};
use pending::{PendingRequest, PendingRequests, Tag};
use session::Session;

use crate::node::Node;

/// Counts of connections and rejected requests, for the log.
#[derive(Clone, Debug)]
pub(crate) struct ClientCounts {
    /// Number of connections that are open now.
    pub open: usize,
    /// Number of connections that were closed to make room for others.
    pub evicted: u64,
    /// Number of connections that were rejected at the connection limit.
    pub rejected_connections: u64,
    /// Number of requests that were rejected before they reached the core, by cause.
    pub rejected_requests: BTreeMap<RequestError, u64>,
    /// Number of answers that were given as failed, as there was no memory for their body.
    pub answers_without_memory: u64,
}

/// The shares of the memory for what is read from clients and written to them.
#[derive(Clone, Debug)]
pub(crate) struct ClientMemory {
    /// For input that was not passed to the core yet.
    pub input: MemoryShare,
    /// For bodies of answers that the clients have not read.
    pub answers: MemoryShare,
}

impl ClientMemory {
    /// Shares with this limit each, in bytes.
    pub fn new(max_bytes: usize) -> Self {
        ClientMemory {
            input: MemoryShare::new(max_bytes),
            answers: MemoryShare::new(max_bytes),
        }
    }
}

/// All connections of clients, and the pending requests on them.
pub(crate) struct ClientConnections {
    rules: RequestRules,
    memory: ClientMemory,
    limiter: RefCell<ConnectionLimiter>,
    connections: RefCell<HashMap<ClientId, Rc<ClientConnection>>>,
    pending: PendingRequests,
    ids: RefCell<RequestIds>,
    rejected_requests: RefCell<BTreeMap<RequestError, u64>>,
    /// Number of answers whose body was dropped for lack of memory.
    answers_without_memory: Cell<u64>,
}

impl ClientConnections {
    pub fn new(
        rules: RequestRules,
        limiter: ConnectionLimiter,
        memory: ClientMemory,
        ids: RequestIds,
    ) -> Self {
        ClientConnections {
            rules,
            memory,
            limiter: RefCell::new(limiter),
            connections: RefCell::default(),
            pending: PendingRequests::default(),
            ids: RefCell::new(ids),
            rejected_requests: RefCell::default(),
            answers_without_memory: Cell::new(0),
        }
    }

    pub fn rules(&self) -> &RequestRules {
        &self.rules
    }

    /// Whether none of the tables that outputs of the core may change is borrowed.
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
            answers_without_memory: self.answers_without_memory.get(),
        }
    }

    /// Whether a request is unanswered or partly received, or a kernel buffer contains unread bytes.
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

    /// Starts the task of a new connection, which serves or rejects the connection. Returns true if another connection
    /// is evicted to make room.
    pub fn admit(&self, node: &Rc<Node>, stream: Stream) -> bool {
        let _ = stream.get_ref().set_nodelay(true);
        let has_request = |id| self.has_request(node, id);
        let admission = self
            .limiter
            .borrow_mut()
            .connected(node.clock.now(), has_request);
        let connection = Rc::new(ClientConnection::new(admission.id, stream, &self.memory));
        self.connections
            .borrow_mut()
            .insert(admission.id, connection.clone());
        node.record_activity(Activity::ClientConnected);
        let session = Session::new(node.clone(), connection);
        node.spawn(TaskOwner::Client(admission.id), async move {
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
        self.request_close(evicted, CloseReason::Evicted);
        true
    }

    /// Removes a connection that has ended.
    fn remove(&self, id: ClientId) {
        if tracing::enabled!(tracing::Level::DEBUG)
            && let Some(connection) = self.connections.borrow().get(&id)
        {
            let disconnected = connection.is_disconnected();
            let reason = connection.close_reason();
            tracing::debug!(
                connection = id,
                disconnected,
                ?reason,
                "client connection ended"
            );
        }
        self.limiter.borrow_mut().closed(id);
        self.connections.borrow_mut().remove(&id);
    }

    /// Whether a complete request has arrived on this connection; reads what is in the kernel's buffer first.
    fn has_request(&self, node: &Node, id: ClientId) -> bool {
        let Some(connection) = self.connections.borrow().get(&id).cloned() else {
            return false;
        };
        connection.read_available(node);
        if connection.has_request() || connection.is_disconnected() {
            // The connection's task waits for the connection to be readable, but its bytes have just been read here.
            connection.wake();
        }
        connection.has_request()
    }

    /// Requests that the connection's task end the connection.
    fn request_close(&self, id: ClientId, reason: CloseReason) {
        if let Some(connection) = self.connections.borrow().get(&id) {
            tracing::debug!(connection = id, ?reason, "closing client connection");
            connection.request_close(reason);
        }
    }

    /// Closes overdue connections, and in a shutdown those without a request. A connection with a request that has
    /// arrived but is not read yet stays open, and the request is served.
    pub fn sweep(&self, node: &Node) {
        let now = node.clock.now();
        let has_request = |id| self.has_request(node, id);
        let mut ending = self.limiter.borrow().overdue(now, has_request);
        if !node.accepts(now) {
            let expected = match node.awaits_connects(now) {
                true => NewConnections::MayRequest,
                false => NewConnections::Unused,
            };
            let limiter = self.limiter.borrow();
            ending.extend(limiter.without_request(now, expected, has_request));
        }
        ending
            .into_iter()
            .for_each(|id| self.request_close(id, CloseReason::TimedOut));
    }

    /// Delivers the core's answer to the connection of its request, and reports the delivery to the core.
    pub fn answer(&self, node: &Rc<Node>, delivery: Delivery, answer: Answer) {
        if let Some(request) = self.pending.remove(delivery.tag) {
            let id = &request.id;
            tracing::debug!(%id, outcome = ?answer.outcome, reason = ?answer.reason, "request answered");
            let was_rejected = answer.outcome == FinalOutcome::Throttled;
            self.id_ended(node, &request, !was_rejected);
            request.connection.deliver(self.within_memory(answer));
        }
        node.feed(Input::AnswerDelivered(delivery));
    }

    /// The answer, or a failure in its place if there is no memory for its body: clients have not read earlier answers.
    fn within_memory(&self, answer: Answer) -> Answer {
        if answer.body.is_empty() || self.memory.answers.has_room_for(answer.body.len()) {
            return answer;
        }
        self.answers_without_memory
            .set(self.answers_without_memory.get() + 1);
        let held = self.memory.answers.held();
        tracing::debug!(held, "no memory for the body of an answer");
        Answer {
            retry_after: answer.retry_after,
            ..Answer::without_body(FinalOutcome::Errored, answer.reason)
        }
    }

    /// Whether the input of all clients takes more memory than its share.
    fn input_memory_exceeded(&self) -> bool {
        self.memory.input.is_exceeded()
    }

    /// While the input of all clients takes more memory than its share, rejects the largest of the requests that have been
    /// received in part.
    fn limit_input_memory(&self) {
        while self.input_memory_exceeded() {
            let connections = self.connections.borrow();
            let largest = connections
                .values()
                .max_by_key(|connection| (connection.partial_request_memory(), connection.id()));
            match largest.filter(|connection| connection.partial_request_memory() > 0) {
                Some(connection) => connection.reject_partial_request(),
                None => return,
            }
        }
    }

    /// The sizes of the buffers.
    pub fn table_sizes(&self) -> [TableSize; 3] {
        let entries = self.connections.borrow().len();
        let size = |name, share: &MemoryShare| TableSize {
            name,
            entries,
            bytes: share.held(),
        };
        [
            size("client input", &self.memory.input),
            size("unread answers", &self.memory.answers),
            TableSize {
                name: "request ids",
                entries: self.ids.borrow().retained(),
                bytes: self.ids.borrow().memory(),
            },
        ]
    }

    /// Whether this request may not be executed any more, because its client has disconnected, its length has turned out to
    /// be wrong, or so much lies unread behind it that neither can be seen; if so, the core is notified. This is checked
    /// right before an attempt is sent, because all of it may have arrived since the last read from the connection.
    pub fn is_withdrawn(&self, node: &Rc<Node>, request_id: &str) -> bool {
        let Some((tag, connection)) = self.pending.find(request_id) else {
            return true;
        };
        let has_unread = connection.read_to_end(node) == Unread::Possibly;
        let has_wrong_length =
            connection.following_input(node.clock.now()) == FollowingInput::NotARequest;
        if !connection.is_disconnected() && !has_wrong_length && !has_unread {
            return false;
        }
        if has_unread {
            connection.set_overrun();
        }
        connection.wake();
        self.withdraw(node, tag);
        true
    }

    /// Notifies the core that no answer to a request is awaited any more, unless the request has been answered.
    fn withdraw(&self, node: &Rc<Node>, tag: Tag) {
        if let Some(request) = self.pending.remove(tag) {
            tracing::debug!(id = %request.id, "request withdrawn before the answer");
            self.id_ended(node, &request, true);
            node.feed(Input::ClientLeft(delivery(tag)));
        }
    }

    /// Why a request with this id from this address may not be executed; `None` if it may.
    fn refuse_id(&self, node: &Node, address: IpAddr, id: &str) -> Option<RequestError> {
        let id = RequestId::from_hex(id)?;
        let now = node.clock.now();
        match self.ids.borrow_mut().status(now, address, id) {
            IdStatus::Unused => None,
            IdStatus::Open => Some(RequestError::IdInUse),
            IdStatus::MayHaveRun => Some(RequestError::IdMayHaveRun),
            IdStatus::NoMemory => Some(RequestError::NoIdMemory),
        }
    }

    /// Adds a request that is passed to the core, and returns its tag.
    fn open_request(&self, connection: Rc<ClientConnection>, id: Arc<str>) -> Tag {
        if let Some(id) = RequestId::from_hex(&id) {
            self.ids.borrow_mut().opened(id);
        }
        self.pending.add(connection, id)
    }

    /// Records that an attempt of the request with this id is being sent to a worker.
    pub fn attempt_sent(&self, id: &str) {
        self.pending.attempt_sent(id);
    }

    /// Records that a request is not open any more. `counts_as_run`: whether it may have run if an attempt was sent.
    fn id_ended(&self, node: &Node, request: &PendingRequest, counts_as_run: bool) {
        if let Some(id) = RequestId::from_hex(&request.id) {
            let may_have_run = counts_as_run && request.attempt_sent;
            let (now, address) = (node.clock.now(), request.connection.address());
            self.ids.borrow_mut().ended(now, address, id, may_have_run);
        }
    }

    /// Counts a request on this connection that was rejected before it reached the core.
    fn count_rejection(&self, connection: ClientId, error: RequestError) {
        tracing::debug!(
            connection,
            ?error,
            "request rejected before reaching the router core"
        );
        let mut rejected = self.rejected_requests.borrow_mut();
        *rejected.entry(error).or_default() += 1;
    }
}

/// Identifies a request in the inputs and outputs of the core. The platform has a single front, which never restarts
/// without its router, so that the front and its incarnation are always 0.
fn delivery(tag: Tag) -> Delivery {
    Delivery {
        front: 0,
        incarnation: 0,
        tag,
    }
}
