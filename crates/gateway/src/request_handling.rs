//! What the KServe fronts have in common: which requests are open, and who waits for which answer. Requests are parsed
//! in [`request_parsing`](crate::request_parsing), answers written by [`answer_body`](crate::answer_body). The protocols
//! are in `rest.rs` and `grpc.rs`, connections come from `client_listener.rs`; whether a request is admitted is decided
//! in the core (`cedarpulley_router::entry`).

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

/// The state of one KServe front.
pub struct RequestHandler {
    /// Index of this front, for the core.
    pub front: FrontIndex,
    /// The context of the router.
    pub context: Rc<GatewayContext>,
    /// Shared with the other KServe fronts.
    pub resources: Rc<HandlerResources>,
    /// Largest body of a request.
    pub max_body_bytes: u64,
    /// Limit on concurrent requests of one connection, where the protocol has them.
    pub max_streams: u32,
    /// How many requests the core admits at once.
    granted: Cell<u32>,
    open_requests: Cell<u32>,
    /// Connections with at least one open request.
    connections: Cell<u32>,
    next_tag: Cell<u64>,
    decision: Cell<Option<AdmissionDecision>>,
    waiting: RefCell<HashMap<u64, Sender<Answer>>>,
}

/// An admitted request. If its client disconnects, this is dropped, and the core is notified.
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
        // Not called directly: a drop may happen while the core is running.
        let context = handler.context.clone();
        handler
            .context
            .executor
            .spawn(async move { context.feed(input) })
            .detach();
    }
}

/// Serves a connection until it ends. On a stop signal it announces the shutdown and completes its open
/// requests. How it ended does not matter: requests still open then were dropped.
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
    /// Hands the request to the core and waits for its answer; absent only by a defect of the core.
    pub async fn answer(mut self, mut taken: IncomingInvocation) -> Option<(Answer, UnreadAnswer)> {
        let (sender, receiver) = bounded(1);
        self.handler
            .waiting
            .borrow_mut()
            .insert(self.delivery.tag, sender);
        taken.waited += self.handler.context.clock.now() - self.admitted_at;
        self.handler.context.feed(Input::MessageArrived(taken));
        let answer = receiver.recv().await.ok()?;
        self.answered = true;
        let unread = UnreadAnswer::begin(&self.handler.resources, &self.client, answer.body.len());
        Some((answer, unread))
    }
}

impl RequestHandler {
    /// A front without requests; it is ready once the core has granted some.
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

    /// The core admits this many requests at once; none while it is 0.
    pub fn grant(&self, limit: u32) {
        self.granted.set(limit);
    }

    /// The front takes requests.
    pub fn is_ready(&self) -> bool {
        self.granted.get() > 0
    }

    /// The core's decision on the request that is being admitted.
    pub fn set_decision(&self, entry: AdmissionDecision) {
        self.decision.set(Some(entry));
    }

    /// Hands an answer to the request that waits for it.
    pub fn deliver(&self, delivery: Delivery, answer: Answer) {
        if let Some(waiter) = self.waiting.borrow_mut().remove(&delivery.tag) {
            // A client that has just disconnected gets no answer.
            let _ = waiter.try_send(answer);
        }
    }

    /// No request is open here, and the answers of all KServe fronts have been read.
    pub fn is_drained(&self) -> bool {
        self.open_requests.get() == 0 && self.resources.unread_bytes.get() == 0
    }

    /// A new identification for a request.
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
        taken: &IncomingInvocation,
        bytes: u64,
    ) -> Result<OpenRequest, AdmissionDecision> {
        let delivery = taken.delivery;
        let request = AdmissionRequest {
            trigger: taken.trigger,
            account: taken.account,
            waited: taken.waited,
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
            // The core decides for each request, so that this is a defect of the core.
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
