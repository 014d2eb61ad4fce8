//! [`Session`]: the task of a client connection, which serves the requests on it in order until the connection ends.

use std::cell::RefMut;
use std::rc::Rc;

use cedarpulley::interface::Micros;
use cedarpulley_net::LoopShare;
use cedarpulley_platform::client_protocol::{
    Call, FollowingInput, MAX_DISCARDED_BYTES, QueuedRequest, Request, RequestError, RequestKind,
    Response, STATUS_REJECTED, health_status, status_of, write_response,
};
use cedarpulley_platform::connection_limiter::ConnectionLimiter;
use cedarpulley_platform::loop_activity::Activity;
use cedarpulley_router::{Answer, Delivery, IncomingInvocation, Input, Payload};
use futures_lite::future::yield_now;

use super::connection::{ClientConnection, CloseReason, MAX_ROUNDS_AHEAD, Unread};
use super::{ClientConnections, delivery};
use crate::node::Node;
use crate::read_buffer::ReadResult;

/// A response, and the deadline of its request if there is one, in microseconds of the router's clock.
struct Reply {
    response: Response,
    deadline: Option<Micros>,
}

impl Reply {
    /// A reply with an empty body and without a deadline. `close`: whether the connection is closed after it.
    fn bare(status: u16, close: bool) -> Self {
        Reply {
            response: Response::bare(status, close),
            deadline: None,
        }
    }
}

/// Whether a connection stays open after a response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ConnectionState {
    Open,
    Ended,
}

/// Why a call that was passed to the core gets no answer of the core.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Withdrawal {
    /// The client has disconnected.
    Disconnected,
    /// The body is longer than its declared length.
    LengthMismatch,
    /// The client goes on sending behind the call.
    TooMuchInput,
}

/// The task of a client connection.
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

    /// Removes the connection from the tables. Its socket is closed when the last reference to it is dropped.
    pub fn close(&self) {
        self.clients().remove(self.connection.id());
    }

    /// Rejects a connection above the connection limit, so that its client retries at another router.
    pub async fn reject_connection(&self) {
        self.respond(Reply::bare(STATUS_REJECTED, true)).await;
    }

    /// Serves requests until the connection ends. However many requests its client sends, the other tasks run after a few
    /// of them.
    pub async fn serve_requests(&self) {
        let connection = &*self.connection;
        let mut share = LoopShare::default();
        loop {
            share.step().await;
            if let Some(reason) = connection.close_reason() {
                connection.read_available(&self.node);
                if reason == CloseReason::Evicted || !connection.has_request() {
                    return self.reject_remaining(reason).await;
                }
                // A request arrived at the moment when the connection became overdue, and is served.
                connection.clear_close_reason();
            }
            if let Some(queued) = connection.take_request() {
                self.node.record_activity(Activity::ClientRequest);
                self.limiter().pending(self.now(), connection.id());
                let Some(reply) = self.process(queued).await else {
                    return;
                };
                if self.respond(reply).await == ConnectionState::Ended {
                    return;
                }
                if connection.is_at_last_request() {
                    // What is behind a pipelined request may have arrived since the last read.
                    connection.read_available(&self.node);
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
            share.waited();
            connection.read_available(&self.node);
        }
    }

    /// Rejects a request that has arrived, completely or in part, on a connection that has to end.
    async fn reject_remaining(&self, reason: CloseReason) {
        let connection = &*self.connection;
        let has_input = connection.has_request() || connection.is_receiving();
        if connection.is_disconnected() || !has_input {
            return;
        }
        let error = RequestError::RequestTimeout;
        self.clients().count_rejection(self.connection.id(), error);
        let reply = Reply::bare(error.status(), true);
        match reason {
            // Another connection needs the descriptor at once, so the client is not waited for. The rejection fits into
            // the buffer of any socket.
            CloseReason::Evicted => {
                connection.write(&encode(&reply.response)).await;
            }
            CloseReason::TimedOut => {
                connection.clear_close_reason();
                self.respond(reply).await;
            }
        }
    }

    /// Processes a request and returns the reply; `None` if the client has disconnected.
    async fn process(&self, queued: QueuedRequest) -> Option<Reply> {
        let arrived = queued.arrived;
        let request = match queued.request {
            Ok(request) => request,
            Err(error) => return Some(self.reject(error)),
        };
        if let Some(error) = self.check(&request).await {
            return Some(self.reject(error));
        }
        let close = request.close;
        let mut reply = match request.kind {
            RequestKind::Health => Reply::bare(health_status(self.node.is_shutting_down()), close),
            RequestKind::Metrics => Reply {
                response: Response {
                    body: self.node.metrics().encode(),
                    ..Response::bare(200, close)
                },
                deadline: None,
            },
            // A request whose client has disconnected is not executed.
            RequestKind::Call(_) if self.connection.is_disconnected() => return None,
            RequestKind::Call(call) if !self.node.accepts(arrived) => {
                tracing::debug!(id = %call.id, "request rejected during shutdown");
                Reply::bare(STATUS_REJECTED, close)
            }
            RequestKind::Call(call) => {
                let deadline = Some(arrived + call.client_timeout);
                let answer = match self.execute(call, arrived).await {
                    Ok(answer) => answer,
                    Err(Withdrawal::Disconnected) => return None,
                    Err(Withdrawal::LengthMismatch) => {
                        return Some(self.reject(RequestError::LateLengthMismatch));
                    }
                    Err(Withdrawal::TooMuchInput) => {
                        return Some(self.reject(RequestError::TooManyPipelined));
                    }
                };
                let response = Response {
                    status: status_of(answer.outcome),
                    retry_after: answer.retry_after,
                    body: answer.body.bytes,
                    close,
                };
                Reply { response, deadline }
            }
        };
        // In a shutdown, pipelined requests are answered before the connection is closed.
        reply.response.close |= self.node.is_shutting_down() && !self.connection.has_request();
        Some(reply)
    }

    /// Why a well-formed request is rejected; `None` if it is not.
    async fn check(&self, request: &Request) -> Option<RequestError> {
        let is_call = matches!(request.kind, RequestKind::Call(_));
        if is_call && self.read_to_end().await == Unread::Possibly {
            return Some(RequestError::TooManyPipelined);
        }
        if self.connection.following_input(self.now()) == FollowingInput::NotARequest {
            return Some(RequestError::LengthMismatch);
        }
        let RequestKind::Call(call) = &request.kind else {
            return None;
        };
        let address = self.connection.address();
        let error = self.clients().refuse_id(&self.node, address, &call.id)?;
        tracing::debug!(id = %call.id, ?error, "the id of a request is not accepted");
        Some(error)
    }

    /// Reads to the end of what has arrived, if the last read did not: a client that has left may have done so behind it.
    /// A request of a client that sends without an end is not passed on.
    async fn read_to_end(&self) -> Unread {
        for _ in 0..MAX_ROUNDS_AHEAD {
            if self.connection.unread() == Unread::Nothing {
                break;
            }
            yield_now().await;
            self.connection.read_available(&self.node);
        }
        self.connection.unread()
    }

    /// Counts a rejected request and returns the reply to it. The connection stays open only if a further request can
    /// be read from it and has arrived.
    fn reject(&self, error: RequestError) -> Reply {
        self.clients().count_rejection(self.connection.id(), error);
        let keep_open = error.leaves_stream_readable() && self.connection.has_request();
        Reply::bare(error.status(), !keep_open)
    }

    /// Passes a call to the core and waits for the answer.
    async fn execute(&self, call: Call, arrived: Micros) -> Result<Answer, Withdrawal> {
        let connection = &self.connection;
        let id = call.id.clone();
        let tag = self.clients().open_request(connection.clone(), id.clone());
        let waited = self.now() - arrived;
        let following = connection.following_input(self.now());
        tracing::debug!(%id, ?following, "request passed to the router core");
        self.node
            .feed(Input::MessageArrived(incoming(delivery(tag), call, waited)));
        loop {
            let following = connection.following_input(self.now());
            if following == FollowingInput::NotARequest {
                tracing::debug!(%id, "the bytes behind the request begin no request");
                self.clients().withdraw(&self.node, tag);
                return Err(Withdrawal::LengthMismatch);
            }
            if let Some(answer) = connection.take_answer(following) {
                tracing::debug!(%id, ?following, "answer passed to the client");
                return Ok(answer);
            }
            if connection.take_overrun() {
                return Err(Withdrawal::TooMuchInput);
            }
            if connection.is_disconnected() {
                // A client may close its sending side while its answer is unread on a connection to a worker, so that
                // one wake-up finds both. The answer is read first: if the core were notified of the disconnection
                // first, it would cancel the attempt.
                self.node.workers.read_answers_to(&self.node, &id);
                self.clients().withdraw(&self.node, tag);
                return connection
                    .take_answer(following)
                    .ok_or(Withdrawal::Disconnected);
            }
            connection.wait_while_pending(self.now(), following).await;
            connection.read_available(&self.node);
        }
    }

    /// Writes a response. After the last response on a connection, further bytes from the client are read and discarded
    /// for a while: closing the connection with unread bytes would reset it, and the response might be lost.
    async fn respond(&self, reply: Reply) -> ConnectionState {
        let id = self.connection.id();
        self.limiter().responding(self.now(), id, reply.deadline);
        if !self.connection.write(&encode(&reply.response)).await {
            return ConnectionState::Ended;
        }
        self.connection.answer_written();
        if !reply.response.close {
            self.limiter().idle(self.now(), id);
            return ConnectionState::Open;
        }
        self.limiter().closing(self.now(), id);
        self.discard_input().await;
        ConnectionState::Ended
    }

    /// Closes the sending side, then discards input until the client closes its side. It ends earlier if the connection
    /// has to end, or after [`MAX_DISCARDED_BYTES`].
    async fn discard_input(&self) {
        let connection = &*self.connection;
        if !connection.shut_down_writing() {
            return;
        }
        let mut remaining = MAX_DISCARDED_BYTES;
        let mut share = LoopShare::default();
        while remaining > 0 && connection.close_reason().is_none() && !connection.is_disconnected()
        {
            connection.wait().await;
            remaining = match connection.discard_available(&self.node) {
                ReadResult::Bytes(length) => remaining.saturating_sub(length),
                ReadResult::Nothing => remaining,
                ReadResult::Ended => 0,
            };
            share.step().await;
        }
    }
}

/// The bytes of a response.
fn encode(response: &Response) -> Vec<u8> {
    let mut bytes = Vec::new();
    write_response(&mut bytes, response);
    bytes
}

/// Converts a call to the input of the core. `waited`: the time since the last byte of the call arrived, in
/// microseconds.
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
