//! Connections of clients: one task for each reads requests, hands them to the core and writes the answers.

mod accept;
mod connection;

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, HashMap};
use std::net::Shutdown;
use std::rc::Rc;
use std::sync::Arc;

use bytes::Bytes;
use cedarpulley::interface::Micros;
use cedarpulley_net::Stream;
use cedarpulley_platform::client_protocol::{
    self, Call, MOST_READ_AWAY, REFUSED, Request, RequestError, RequestKind, RequestRules,
};
use cedarpulley_platform::connection_limiter::{ClientId, ConnectionLimiter};
use cedarpulley_router::{Answer, Delivery, Input, Payload, Taken};
use futures_lite::future::yield_now;

pub use accept::{accept_backlog, accept_clients};
use connection::{ClientConnection, CloseReason};

use crate::node::{Node, ReadResult};

/// A request that was handed to the core and has no answer yet.
struct PendingRequest {
    connection: Rc<ClientConnection>,
    id: Arc<str>,
}

/// What goes back to a client.
struct Response {
    status: u16,
    retry_after: Option<Micros>,
    body: Bytes,
    /// The connection closes after it.
    close: bool,
    /// Until when the client waits for it, if it has told so.
    deadline: Option<Micros>,
}

impl Response {
    fn bare(status: u16, close: bool) -> Self {
        Response {
            status,
            retry_after: None,
            body: Bytes::new(),
            close,
            deadline: None,
        }
    }
}

/// What has happened to clients so far.
#[derive(Clone, Debug)]
pub struct ClientCounts {
    /// Connections that are open now.
    pub open: usize,
    /// Connections that were closed to make room for others.
    pub evicted: u64,
    /// Connections that found no room.
    pub refused_connections: u64,
    /// Requests that did not reach the core, by cause.
    pub refused_requests: BTreeMap<RequestError, u64>,
}

/// All connections of clients and the requests that are pending on them.
pub struct ClientConnections {
    rules: RequestRules,
    limiter: RefCell<ConnectionLimiter>,
    connections: RefCell<HashMap<ClientId, Rc<ClientConnection>>>,
    /// By the tag of the core's delivery.
    pending: RefCell<HashMap<u64, PendingRequest>>,
    /// The delivery's tag of each pending request, by the request's id.
    tags: RefCell<HashMap<Arc<str>, u64>>,
    last_tag: Cell<u64>,
    refused_requests: RefCell<BTreeMap<RequestError, u64>>,
}

impl ClientConnections {
    pub fn new(rules: RequestRules, limiter: ConnectionLimiter) -> Self {
        ClientConnections {
            rules,
            limiter: RefCell::new(limiter),
            connections: RefCell::default(),
            pending: RefCell::default(),
            tags: RefCell::default(),
            last_tag: Cell::new(0),
            refused_requests: RefCell::default(),
        }
    }

    pub fn rules(&self) -> &RequestRules {
        &self.rules
    }

    /// Nobody is reading or writing its tables.
    pub fn is_unborrowed(&self) -> bool {
        let tables = (
            self.pending.try_borrow_mut(),
            self.tags.try_borrow_mut(),
            self.limiter.try_borrow_mut(),
        );
        tables.0.is_ok() && tables.1.is_ok() && tables.2.is_ok()
    }

    pub fn counts(&self) -> ClientCounts {
        let limiter = self.limiter.borrow();
        ClientCounts {
            open: limiter.count(),
            evicted: limiter.evicted(),
            refused_connections: limiter.refused(),
            refused_requests: self.refused_requests.borrow().clone(),
        }
    }

    /// A request is unanswered or partly received, or bytes of one lie unread in the kernel.
    pub fn has_unfinished(&self) -> bool {
        let unread = || {
            self.connections
                .borrow()
                .values()
                .any(|connection| connection.has_unread())
        };
        self.limiter.borrow().has_unfinished() || unread()
    }

    /// Whether a new connection would find room.
    pub fn has_room(&self, node: &Node) -> bool {
        let has_request = |id| self.has_request(node, id);
        self.limiter
            .borrow()
            .has_room(node.clock.now(), has_request)
    }

    /// Takes a new connection; true if another one has to close for it.
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
        let (owner, refused) = (node.clone(), admission.refused);
        let attended = async move {
            let (node, clients) = (&owner, &owner.clients);
            if refused {
                clients
                    .respond(node, &connection, Response::bare(REFUSED, true))
                    .await;
            } else {
                clients.attend(node, &connection).await;
            }
            clients.limiter.borrow_mut().closed(connection.id);
            clients.connections.borrow_mut().remove(&connection.id);
        };
        node.executor.spawn(attended).detach();
        let Some(evicted) = admission.evicts else {
            return false;
        };
        self.end(evicted, CloseReason::Evicted);
        true
    }

    /// Whether a whole request of this client has arrived, read so far or not.
    fn has_request(&self, node: &Node, id: ClientId) -> bool {
        let Some(connection) = self.connections.borrow().get(&id).cloned() else {
            return false;
        };
        connection.read_available(node);
        if connection.has_request() || connection.client_left.get() {
            // Its own task waits for bytes that are read already.
            connection.wake.ring();
        }
        connection.has_request()
    }

    fn end(&self, id: ClientId, reason: CloseReason) {
        if let Some(connection) = self.connections.borrow().get(&id) {
            connection.end(reason);
        }
    }

    /// Closes connections whose time is over. What has arrived and is not read yet is served all the same.
    pub fn sweep(&self, node: &Node) {
        let now = node.clock.now();
        let has_request = |id| self.has_request(node, id);
        let mut ending = self.limiter.borrow().overdue(now, has_request);
        if !node.shutdown.borrow().accepts(now) {
            ending.extend(self.limiter.borrow().without_request(has_request));
        }
        ending
            .into_iter()
            .for_each(|id| self.end(id, CloseReason::TimedOut));
    }

    /// The core's answer, for whoever waits for it.
    pub fn answer(&self, node: &Rc<Node>, delivery: Delivery, answer: Answer) {
        if let Some(connection) = self.settle(delivery.tag) {
            connection.answer.replace(Some(answer));
            connection.wake.ring();
        }
        node.feed(Input::Safe(delivery));
    }

    /// The request is pending no longer; whoever waits for its answer.
    fn settle(&self, tag: u64) -> Option<Rc<ClientConnection>> {
        let pending = self.pending.borrow_mut().remove(&tag)?;
        self.tags.borrow_mut().remove(&pending.id);
        Some(pending.connection)
    }

    /// Whether the client of this pending request has closed its connection, asked right before an attempt begins: its
    /// closing may have arrived since this process last looked. If so, the core is told.
    pub fn has_left(&self, node: &Rc<Node>, request_id: &str) -> bool {
        let Some(tag) = self.tags.borrow().get(request_id).copied() else {
            return true;
        };
        let Some(connection) = self
            .pending
            .borrow()
            .get(&tag)
            .map(|p| p.connection.clone())
        else {
            return true;
        };
        connection.read_available(node);
        if !connection.client_left.get() {
            return false;
        }
        connection.wake.ring();
        self.depart(node, tag);
        true
    }

    fn depart(&self, node: &Rc<Node>, tag: u64) {
        if self.settle(tag).is_some() {
            node.feed(Input::Departed(delivery(tag)));
        }
    }

    /// Serves the requests of one connection until it ends.
    async fn attend(&self, node: &Rc<Node>, connection: &Rc<ClientConnection>) {
        loop {
            if let Some(reason) = connection.close.get() {
                connection.read_available(node);
                if reason == CloseReason::Evicted || !connection.has_request() {
                    return self.refuse_rest(node, connection, reason).await;
                }
                // A request came just as its time was over: it is served.
                connection.close.set(None);
            }
            if let Some(queued) = connection.take_request() {
                self.limiter
                    .borrow_mut()
                    .pending(node.clock.now(), connection.id);
                let Some(response) = self
                    .process(node, connection, queued.request, queued.arrived)
                    .await
                else {
                    return;
                };
                if !self.respond(node, connection, response).await {
                    return;
                }
                continue;
            }
            if connection.client_left.get() {
                return;
            }
            if connection.is_receiving() {
                self.limiter
                    .borrow_mut()
                    .receiving(node.clock.now(), connection.id);
            }
            connection.wait().await;
            connection.read_available(node);
        }
    }

    /// The connection has to end. A request that has arrived meanwhile, or a part of one, gets a refusal.
    async fn refuse_rest(
        &self,
        node: &Rc<Node>,
        connection: &ClientConnection,
        reason: CloseReason,
    ) {
        let owed = connection.has_request() || connection.is_receiving();
        if connection.client_left.get() || !owed {
            return;
        }
        self.count_refusal(RequestError::TooSlow);
        let response = Response::bare(RequestError::TooSlow.status(), true);
        match reason {
            // Its descriptor is needed at once: the refusal fits into any socket's buffer, and nothing is waited for.
            CloseReason::Evicted => {
                connection.write(&encode(&response)).await;
            }
            CloseReason::TimedOut => {
                connection.close.set(None);
                self.respond(node, connection, response).await;
            }
        }
    }

    fn count_refusal(&self, error: RequestError) {
        *self.refused_requests.borrow_mut().entry(error).or_default() += 1;
    }

    /// What a request gets; nothing once its client is gone.
    async fn process(
        &self,
        node: &Rc<Node>,
        connection: &Rc<ClientConnection>,
        request: Result<Request, RequestError>,
        arrived: Micros,
    ) -> Option<Response> {
        let request = match request {
            Ok(Request {
                kind: RequestKind::Call(call),
                ..
            }) if self.tags.borrow().contains_key(&call.id) => Err(RequestError::IdInUse),
            other => other,
        };
        let response = match request {
            Err(error) => {
                self.count_refusal(error);
                let more = error.leaves_stream_readable() && connection.has_request();
                return Some(Response::bare(error.status(), !more));
            }
            Ok(Request {
                kind: RequestKind::Health,
                close,
            }) => Response::bare(
                client_protocol::health_status(node.shutdown.borrow().begun()),
                close,
            ),
            // Its client is gone: nothing is begun for it.
            Ok(_) if connection.client_left.get() => return None,
            Ok(Request {
                kind: RequestKind::Call(_),
                close,
            }) if !node.shutdown.borrow().accepts(arrived) => Response::bare(REFUSED, close),
            Ok(Request {
                kind: RequestKind::Call(call),
                close,
            }) => {
                let deadline = Some(arrived + call.wait);
                let answer = self.serve(node, connection, call, arrived).await?;
                Response {
                    status: client_protocol::status_of(answer.fate),
                    retry_after: answer.return_after,
                    body: answer.body.bytes,
                    close,
                    deadline,
                }
            }
        };
        // What was sent ahead is owed an answer, too.
        let shuts_down = node.shutdown.borrow().begun() && !connection.has_request();
        Some(Response {
            close: response.close || shuts_down,
            ..response
        })
    }

    /// Hands one request to the core; its answer, or none once the client is gone.
    async fn serve(
        &self,
        node: &Rc<Node>,
        connection: &Rc<ClientConnection>,
        call: Call,
        arrived: Micros,
    ) -> Option<Answer> {
        let tag = self.last_tag.get() + 1;
        self.last_tag.set(tag);
        let id = call.id.clone();
        self.tags.borrow_mut().insert(id.clone(), tag);
        let pending = PendingRequest {
            connection: connection.clone(),
            id: id.clone(),
        };
        self.pending.borrow_mut().insert(tag, pending);
        node.feed(Input::Taken(taken(
            delivery(tag),
            call,
            node.clock.now() - arrived,
        )));
        loop {
            if let Some(answer) = connection.answer.take() {
                return Some(answer);
            }
            if connection.client_left.get() {
                // A client may say that it sends nothing more while its answer lies unread on a worker's connection, and
                // both are found in one wake-up. The answer is read first: told of the leaving first, the core would
                // call the attempt back.
                node.workers.read_answers_to(node, &id);
                self.depart(node, tag);
                return connection.answer.take();
            }
            connection.wait().await;
            connection.read_available(node);
        }
    }

    /// Writes a response; true if the connection goes on. After the last one, what the client still sends is read away
    /// for a while: closing with bytes unread would reset the connection, and the response might be lost.
    async fn respond(
        &self,
        node: &Node,
        connection: &ClientConnection,
        response: Response,
    ) -> bool {
        let (id, close) = (connection.id, response.close);
        self.limiter
            .borrow_mut()
            .responding(node.clock.now(), id, response.deadline);
        if !connection.write(&encode(&response)).await {
            return false;
        }
        if !close {
            self.limiter.borrow_mut().idle(node.clock.now(), id);
            return true;
        }
        self.limiter.borrow_mut().closing(node.clock.now(), id);
        let shut = connection
            .stream
            .get_ref()
            .shutdown(Shutdown::Write)
            .is_ok();
        let mut left = if shut { MOST_READ_AWAY } else { 0 };
        while left > 0 && connection.close.get().is_none() && !connection.client_left.get() {
            connection.wait().await;
            left = match node.read(&connection.stream, <[u8]>::len) {
                ReadResult::Bytes(n) => left.saturating_sub(n),
                ReadResult::Nothing => left,
                ReadResult::Ended => 0,
            };
            // Others come between two pieces of a flood.
            yield_now().await;
        }
        false
    }
}

fn delivery(tag: u64) -> Delivery {
    Delivery {
        front: 0,
        life: 0,
        tag,
    }
}

fn encode(response: &Response) -> Vec<u8> {
    let mut bytes = Vec::new();
    let Response {
        status,
        retry_after,
        body,
        close,
        ..
    } = response;
    client_protocol::write_response(&mut bytes, *status, *retry_after, body, *close);
    bytes
}

fn taken(delivery: Delivery, call: Call, waited: Micros) -> Taken {
    Taken {
        delivery,
        identity: None,
        mark: Some(call.id),
        redelivered: false,
        repeat: false,
        trigger: call.trigger,
        account: call.account,
        function: call.function,
        token: call.token,
        waited,
        client_timeout: call.wait,
        cost_hint: call.cost_hint,
        load_hint: call.load_hint,
        copy_mb: call.copy_mb,
        lanes: call.lanes,
        session: None,
        named: None,
        prefers: None,
        refused: None,
        body: Payload::from(call.body),
    }
}
