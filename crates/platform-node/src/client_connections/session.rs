//! [`Session`]: the task of one connection. It serves the connection's requests in order, until the connection ends.

use std::cell::RefMut;
use std::rc::Rc;

use cedarpulley::interface::Micros;
use cedarpulley_platform::client_protocol::{
    Call, MAX_DISCARDED_BYTES, QueuedRequest, RequestError, RequestKind, Response, STATUS_REJECTED,
    health_status, status_of, write_response,
};
use cedarpulley_platform::connection_limiter::ConnectionLimiter;
use cedarpulley_router::{Answer, Delivery, IncomingInvocation, Input, Payload};
use futures_lite::future::yield_now;

use super::connection::{ClientConnection, CloseReason};
use super::{ClientConnections, delivery};
use crate::node::Node;
use crate::read_buffer::ReadResult;

/// A response, and until when the client waits for it, if it has given a deadline.
struct Reply {
    response: Response,
    deadline: Option<Micros>,
}

impl Reply {
    fn bare(status: u16, close: bool) -> Self {
        Reply {
            response: Response::bare(status, close),
            deadline: None,
        }
    }
}

/// Whether a connection goes on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ConnectionState {
    Open,
    Ended,
}

/// The task of one connection.
pub(super) struct Session {
    node: Rc<Node>,
    connection: Rc<ClientConnection>,
}

impl Session {
    pub fn new(node: Rc<Node>, connection: Rc<ClientConnection>) -> Self {
        Session { node, connection }
    }

    fn clients(&self) -> &ClientConnections {
        &self.node.clients
    }

    fn limiter(&self) -> RefMut<'_, ConnectionLimiter> {
        self.clients().limiter.borrow_mut()
    }

    fn now(&self) -> Micros {
        self.node.clock.now()
    }

    /// Removes the connection from the tables; it closes when its last owner is dropped.
    pub fn close(&self) {
        self.clients().remove(self.connection.id());
    }

    /// Tells the client of a connection beyond the limit to retry elsewhere.
    pub async fn reject_connection(&self) {
        self.respond(Reply::bare(STATUS_REJECTED, true)).await;
    }

    /// Serves requests until the connection ends.
    pub async fn serve_requests(&self) {
        let connection = &*self.connection;
        loop {
            if let Some(reason) = connection.close_reason() {
                connection.read_available(&self.node);
                if reason == CloseReason::Evicted || !connection.has_request() {
                    return self.reject_remaining(reason).await;
                }
                // A request arrived just when the connection became overdue: it is served.
                connection.clear_close_reason();
            }
            if let Some(queued) = connection.take_request() {
                self.limiter().pending(self.now(), connection.id());
                let Some(reply) = self.process(queued).await else {
                    return;
                };
                if self.respond(reply).await == ConnectionState::Ended {
                    return;
                }
                continue;
            }
            if connection.is_disconnected() {
                return;
            }
            if connection.is_receiving() {
                self.limiter().receiving(self.now(), connection.id());
            }
            connection.wait().await;
            connection.read_available(&self.node);
        }
    }

    /// The connection has to end. A request that has arrived meanwhile, or a part of one, is rejected.
    async fn reject_remaining(&self, reason: CloseReason) {
        let connection = &*self.connection;
        let has_input = connection.has_request() || connection.is_receiving();
        if connection.is_disconnected() || !has_input {
            return;
        }
        let error = RequestError::RequestTimeout;
        self.clients().count_rejection(error);
        let reply = Reply::bare(error.status(), true);
        match reason {
            // Its descriptor is needed at once: the rejection fits into any socket's buffer, and nothing is waited for.
            CloseReason::Evicted => {
                connection.write(&encode(&reply.response)).await;
            }
            CloseReason::TimedOut => {
                connection.clear_close_reason();
                self.respond(reply).await;
            }
        }
    }

    /// The reply to a request; `None` once its client has disconnected.
    async fn process(&self, queued: QueuedRequest) -> Option<Reply> {
        let arrived = queued.arrived;
        let request = match queued.request {
            Ok(request) => request,
            Err(error) => return Some(self.reject(error)),
        };
        if let RequestKind::Call(call) = &request.kind
            && self.clients().pending.contains(&call.id)
        {
            return Some(self.reject(RequestError::IdInUse));
        }
        let close = request.close;
        let mut reply = match request.kind {
            RequestKind::Health => Reply::bare(health_status(self.node.is_shutting_down()), close),
            // Nothing is begun for a client that does not wait for it.
            RequestKind::Call(_) if self.connection.is_disconnected() => return None,
            RequestKind::Call(call) if !self.node.accepts(arrived) => {
                tracing::debug!(id = %call.id, "request refused in shutdown");
                Reply::bare(STATUS_REJECTED, close)
            }
            RequestKind::Call(call) => {
                let deadline = Some(arrived + call.client_timeout);
                let answer = self.execute(call, arrived).await?;
                let response = Response {
                    status: status_of(answer.outcome),
                    retry_after: answer.retry_after,
                    body: answer.body.bytes,
                    close,
                };
                Reply { response, deadline }
            }
        };
        // Pipelined requests are answered, too, before a shutdown closes the connection.
        reply.response.close |= self.node.is_shutting_down() && !self.connection.has_request();
        Some(reply)
    }

    fn reject(&self, error: RequestError) -> Reply {
        self.clients().count_rejection(error);
        let goes_on = error.leaves_stream_readable() && self.connection.has_request();
        Reply::bare(error.status(), !goes_on)
    }

    /// Hands a call to the core and waits for its answer; `None` once the client has disconnected.
    async fn execute(&self, call: Call, arrived: Micros) -> Option<Answer> {
        let connection = &self.connection;
        let id = call.id.clone();
        let tag = self.clients().pending.add(connection.clone(), id.clone());
        let waited = self.now() - arrived;
        self.node
            .feed(Input::MessageArrived(incoming(delivery(tag), call, waited)));
        loop {
            if let Some(answer) = connection.take_answer() {
                return Some(answer);
            }
            if connection.is_disconnected() {
                // A client may close its sending side while its answer is unread on a worker's connection, and
                // both are found in one wake-up. The answer is read first: notified of the disconnection first, the
                // core would cancel the attempt.
                self.node.workers.read_answers_to(&self.node, &id);
                self.clients().notify_departure(&self.node, tag);
                return connection.take_answer();
            }
            connection.wait().await;
            connection.read_available(&self.node);
        }
    }

    /// Writes a response. After the last one, what the client still sends is read and discarded for a while: closing with
    /// bytes unread would reset the connection, and the response might be lost.
    async fn respond(&self, reply: Reply) -> ConnectionState {
        let id = self.connection.id();
        self.limiter().responding(self.now(), id, reply.deadline);
        if !self.connection.write(&encode(&reply.response)).await {
            return ConnectionState::Ended;
        }
        if !reply.response.close {
            self.limiter().idle(self.now(), id);
            return ConnectionState::Open;
        }
        self.limiter().closing(self.now(), id);
        self.discard_input().await;
        ConnectionState::Ended
    }

    /// Closes the sending side, and discards what the client sends until it closes its own.
    async fn discard_input(&self) {
        let connection = &*self.connection;
        if !connection.shut_down_writing() {
            return;
        }
        let mut remaining = MAX_DISCARDED_BYTES;
        while remaining > 0 && connection.close_reason().is_none() && !connection.is_disconnected()
        {
            connection.wait().await;
            remaining = match connection.discard_available(&self.node) {
                ReadResult::Bytes(length) => remaining.saturating_sub(length),
                ReadResult::Nothing => remaining,
                ReadResult::Ended => 0,
            };
            // Other connections are served between two reads of a flood.
            yield_now().await;
        }
    }
}

fn encode(response: &Response) -> Vec<u8> {
    let mut bytes = Vec::new();
    write_response(&mut bytes, response);
    bytes
}

/// A call as the core takes it. `waited`: since its last byte arrived, in microseconds.
fn incoming(delivery: Delivery, call: Call, waited: Micros) -> IncomingInvocation {
    IncomingInvocation {
        delivery,
        identity: None,
        name: Some(call.id),
        redelivered: false,
        client_retry: false,
        trigger: call.trigger,
        account: call.account,
        function: call.function,
        idempotency_key: call.idempotency_key,
        waited,
        client_timeout: call.client_timeout,
        cost_hint: call.cost_hint,
        load_hint: call.load_hint,
        copy_mb: call.copy_mb,
        lanes: call.lanes,
        session: None,
        requested_function: None,
        preferred_worker: None,
        predetermined_answer: None,
        body: Payload::from(call.body),
    }
}
