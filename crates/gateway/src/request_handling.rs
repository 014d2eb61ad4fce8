//! Shared by the KServe fronts: tracks the open requests and delivers each answer to its request.
//! [`request_parsing`](crate::request_parsing) parses requests, and [`answer_body`](crate::answer_body) writes answers.
//! `rest.rs` and `grpc.rs` implement the protocols, and `client_listener.rs` accepts connections. The core decides
//! whether a request is admitted (`cedarpulley_router::admission_control`).

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::pin::Pin;
use std::rc::Rc;

use cedarpulley::interface::Micros;
use cedarpulley_net::Notifier;
use cedarpulley_router::admission_control::{AdmissionDecision, AdmissionRequest};
use cedarpulley_router::{Answer, Delivery, FrontIndex, IncomingInvocation, Input};
use futures_lite::FutureExt;
use smol::channel::{Sender, bounded};

use crate::answer_body::UnreadAnswer;
use crate::client_connection::{ClientConnection, HandlerResources};
use crate::context::GatewayContext;
use crate::task_owner::TaskOwner;

/// The state of one KServe front.
pub struct RequestHandler {
    /// Index of this front in the core.
    pub front: FrontIndex,
    /// The context of the router.
    pub context: Rc<GatewayContext>,
    /// Resources shared with the other KServe fronts.
    pub resources: Rc<HandlerResources>,
    /// Size limit of a request's body, in bytes.
    pub max_body_bytes: u64,
    /// Limit on concurrent requests of one connection; applies to gRPC only.
    pub max_streams: u32,
    /// Number of requests that the core admits at once.
    granted: Cell<u32>,
    open_requests: Cell<u32>,
    /// Number of connections with at least one open request.
    connections: Cell<u32>,
    next_tag: Cell<u64>,
    decision: Cell<Option<AdmissionDecision>>,
    waiting: RefCell<HashMap<u64, Sender<Answer>>>,
}

/// An admitted request. If its client disconnects, the request is dropped, which notifies the core.
pub struct OpenRequest {
    handler: Rc<RequestHandler>,
    client: Rc<ClientConnection>,
    delivery: Delivery,
    admitted_at: Micros,
    answered: bool,
}

impl Drop for OpenRequest {
    fn drop(&mut self) {
        let handler = &self.handler;
        handler
            .open_requests
            .set(handler.open_requests.get().saturating_sub(1));
        let now = handler.context.clock.now();
        if self.client.end_request(!self.answered, now) {
            handler
                .connections
                .set(handler.connections.get().saturating_sub(1));
        }
        handler.waiting.borrow_mut().remove(&self.delivery.tag);
        let input = match self.answered {
            true => Input::AnswerDelivered(self.delivery),
            false => Input::ClientLeft(self.delivery),
        };
        // Fed from a task, as the drop may happen while the core is running.
        let context = handler.context.clone();
        handler
            .context
            .executor
            .spawn(TaskOwner::RequestEnd, async move { context.feed(input) })
            .detach();
    }
}

/// Serves a connection until it ends. When `stop` is notified, announces the shutdown to the client and completes the
/// open requests. The result of the connection is ignored: requests still open at its end have been dropped.
pub(crate) async fn serve_until_closed<C: Future>(
    mut connection: Pin<&mut C>,
    stop: Notifier,
    shut_down: impl FnOnce(Pin<&mut C>),
) {
    let stopped = async {
        stop.notified().await;
        false
    };
    let ended = async {
        let _ = connection.as_mut().await;
        true
    };
    if !ended.or(stopped).await {
        shut_down(connection.as_mut());
        let _ = connection.await;
    }
}

impl OpenRequest {
    /// Hands the request to the core and waits for its answer; `None` only in case of a defect of the core.
    pub async fn answer(
        mut self,
        mut invocation: IncomingInvocation,
    ) -> Option<(Answer, UnreadAnswer)> {
        let (sender, receiver) = bounded(1);
        self.handler
            .waiting
            .borrow_mut()
            .insert(self.delivery.tag, sender);
        invocation.waited += self.handler.context.clock.now() - self.admitted_at;
        self.handler.context.feed(Input::MessageArrived(invocation));
        let answer = receiver.recv().await.ok()?;
        self.answered = true;
        let unread = UnreadAnswer::begin(&self.handler.resources, &self.client, answer.body.len());
        Some((answer, unread))
    }
}

impl RequestHandler {
    /// Creates a front without requests; it is ready once the core admits requests.
    pub fn new(
        front: FrontIndex,
        context: Rc<GatewayContext>,
        resources: Rc<HandlerResources>,
        max_body_bytes: u64,
        max_streams: u32,
    ) -> Self {
        RequestHandler {
            front,
            context,
            resources,
            max_body_bytes,
            max_streams,
            granted: Cell::new(0),
            open_requests: Cell::new(0),
            connections: Cell::new(0),
            next_tag: Cell::new(0),
            decision: Cell::new(None),
            waiting: RefCell::default(),
        }
    }

    /// Sets how many requests the core admits at once; 0 for none.
    pub fn grant(&self, limit: u32) {
        self.granted.set(limit);
    }

    /// Returns whether the front accepts requests.
    pub fn is_ready(&self) -> bool {
        self.granted.get() > 0
    }

    /// Stores the core's decision on the request that is being admitted.
    pub fn set_decision(&self, decision: AdmissionDecision) {
        self.decision.set(Some(decision));
    }

    /// Passes an answer to the request that waits for it.
    pub fn deliver(&self, delivery: Delivery, answer: Answer) {
        if let Some(waiter) = self.waiting.borrow_mut().remove(&delivery.tag) {
            // Fails only if the client has just disconnected.
            let _ = waiter.try_send(answer);
        }
    }

    /// Returns whether no request of this front is open, and the answers of all KServe fronts have been read.
    pub fn is_drained(&self) -> bool {
        self.open_requests.get() == 0 && self.resources.unread_bytes.get() == 0
    }

    /// Creates a unique identification for a request.
    pub fn delivery(&self) -> Delivery {
        let tag = self.next_tag.get();
        self.next_tag.set(tag + 1);
        Delivery {
            front: self.front,
            incarnation: 1,
            tag,
        }
    }

    /// Requests admission from the core for a request with a body of up to `bytes`; otherwise returns the rejection.
    pub fn admit(
        self: &Rc<Self>,
        client: &Rc<ClientConnection>,
        invocation: &IncomingInvocation,
        bytes: u64,
    ) -> Result<OpenRequest, AdmissionDecision> {
        let delivery = invocation.delivery;
        let request = AdmissionRequest {
            trigger: invocation.trigger,
            account: invocation.account,
            waited: invocation.waited,
            bytes,
            connection_in_flight: client.open_requests(),
            unread_answers: client.unread_answers(),
            abandoned: client.abandoned_requests(),
            last_abandoned_ago: self.context.clock.now() - client.last_abandoned_at(),
            active_connections: self.connections.get().max(1),
            unread_bytes: self.resources.unread_bytes.get(),
        };
        self.decision.set(None);
        self.context
            .feed(Input::RequestArrived { delivery, request });
        match self.decision.take() {
            Some(AdmissionDecision::Admitted) => {}
            Some(rejection) => return Err(rejection),
            // The core decides on each request at once; a missing decision is a defect of the core.
            None => return Err(AdmissionDecision::Admitted),
        }
        self.open_requests.set(self.open_requests.get() + 1);
        if client.begin_request() {
            self.connections.set(self.connections.get() + 1);
        }
        let (handler, client) = (self.clone(), client.clone());
        let admitted_at = self.context.clock.now();
        Ok(OpenRequest {
            handler,
            client,
            delivery,
            admitted_at,
            answered: false,
        })
    }
}
