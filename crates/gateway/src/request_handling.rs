//! What the KServe fronts have in common: which requests are open, who waits for which answer, and how much
//! of the answers clients have not read yet. The protocols are in `rest.rs` and `grpc.rs`, connections come
//! from `client_listener.rs`; whether a request is admitted is decided in the core
//! (`cedarpulley_router::entry`).

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::convert::Infallible;
use std::pin::Pin;
use std::rc::Rc;
use std::sync::Arc;
use std::task::{Context, Poll};

use async_io::Timer;
use bytes::Bytes;
use cedarpulley::interface::Micros;
use cedarpulley_kserve::client_requests::{self, InvalidField};
use cedarpulley_kserve::sequences;
use cedarpulley_net::{Notifier, duration_from_micros};
use cedarpulley_router::admission_control::{AdmissionDecision, AdmissionRequest};
use cedarpulley_router::{
    Answer, Delivery, FrontIndex, IncomingInvocation, Input, Payload, Session,
};
use futures_lite::FutureExt;
use http_body_util::BodyExt;
use hyper::body::{Body, Frame, Incoming, SizeHint};
use hyper::{HeaderMap, Response};
use smol::channel::{Sender, bounded};

use crate::context::GatewayContext;

/// A body has to be complete within this time after its head, in microseconds.
const BODY_TIMEOUT: Micros = 10_000_000;
/// Answers are handed to the connection in chunks of this size, so that little is copied for a client that
/// does not read.
const CHUNK_BYTES: usize = 64 * 1024;
/// Correlates the logs of clients, routers and workers.
const REQUEST_ID: &str = "x-request-id";

/// One connection's share of what is open.
#[derive(Default)]
pub struct ClientConnection {
    open: Cell<u32>,
    unread: Cell<u32>,
    /// Of the last 32 requests, a set bit for each that was abandoned before its answer; and when that last
    /// happened.
    abandoned: Cell<u32>,
    last_abandoned_at: Cell<Micros>,
    /// The account that the client's certificate is bound to.
    account: Cell<Option<u32>>,
}

impl ClientConnection {
    /// The account that the client's certificate is bound to.
    pub fn account(&self) -> Option<u32> {
        self.account.get()
    }

    /// All requests of this connection are for this account.
    pub fn bind_account(&self, account: u32) {
        self.account.set(Some(account));
    }
}

/// Shared by all KServe fronts of a router.
pub struct HandlerResources {
    /// Bytes of answers that clients have not read yet.
    pub unread_bytes: Cell<u64>,
    /// The functions that the core knows.
    pub functions: Box<dyn Fn() -> Vec<String>>,
}

/// The state of one KServe front.
pub struct RequestHandler {
    pub ix: FrontIndex,
    pub context: Rc<GatewayContext>,
    pub resources: Rc<HandlerResources>,
    pub max_body_bytes: u64,
    /// Limit on concurrent requests of one connection, where the protocol has them.
    pub max_streams: u32,
    granted: Cell<u32>,
    open_requests: Cell<u32>,
    /// Connections with at least one open request.
    connections: Cell<u32>,
    next_tag: Cell<u64>,
    decision: Cell<Option<AdmissionDecision>>,
    waiting: RefCell<HashMap<u64, Sender<Answer>>>,
}

/// An admitted request. If its client disconnects, this is dropped, and the core is told.
pub struct OpenRequest {
    handler: Rc<RequestHandler>,
    client: Rc<ClientConnection>,
    delivery: Delivery,
    began: Micros,
    answered: bool,
}

impl Drop for OpenRequest {
    fn drop(&mut self) {
        let (handler, client) = (&self.handler, &self.client);
        handler
            .open_requests
            .set(handler.open_requests.get().saturating_sub(1));
        client.open.set(client.open.get().saturating_sub(1));
        if client.open.get() == 0 {
            handler
                .connections
                .set(handler.connections.get().saturating_sub(1));
        }
        handler.waiting.borrow_mut().remove(&self.delivery.tag);
        client
            .abandoned
            .set(client.abandoned.get() << 1 | u32::from(!self.answered));
        if !self.answered {
            client.last_abandoned_at.set(handler.context.clock.now());
        }
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

/// Why a body could not be read whole.
pub enum BodyError {
    TooLarge,
    Interrupted,
    TimedOut,
}

/// Limits the time for reading a body.
pub(crate) async fn with_body_timeout<T>(
    reading: impl Future<Output = Result<T, BodyError>>,
) -> Result<T, BodyError> {
    let timeout = async {
        Timer::after(duration_from_micros(BODY_TIMEOUT)).await;
        Err(BodyError::TimedOut)
    };
    reading.or(timeout).await
}

/// Reads a whole body of up to `limit` bytes; `first` are the bytes already read.
pub(crate) async fn read_body(
    mut body: Incoming,
    first: Bytes,
    max_bytes: u64,
) -> Result<Bytes, BodyError> {
    with_body_timeout(async {
        let mut size = first.len() as u64;
        let mut chunks = vec![first];
        loop {
            if size > max_bytes {
                return Err(BodyError::TooLarge);
            }
            match body.frame().await {
                None => break,
                Some(Ok(frame)) => {
                    if let Ok(data) = frame.into_data() {
                        size += data.len() as u64;
                        chunks.push(data);
                    }
                }
                Some(Err(_)) => return Err(BodyError::Interrupted),
            }
        }
        Ok(match chunks.iter().filter(|p| !p.is_empty()).count() {
            1 => chunks
                .into_iter()
                .find(|p| !p.is_empty())
                .unwrap_or_default(),
            _ => Bytes::from(chunks.concat()),
        })
    })
    .await
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

/// Parses a request's head and resolves all names; the body is read later.
pub(crate) fn parse_head(
    handler: &RequestHandler,
    client: &ClientConnection,
    headers: &HeaderMap,
    function: String,
) -> Result<IncomingInvocation, InvalidField> {
    let context = &handler.context;
    let metadata = client_requests::parse_infer_headers(headers, context.clock.wall_time())?;
    let unknown = |field, what: &str| InvalidField {
        field,
        cause: format!("'{what}' is unknown"),
    };
    let trigger = context.names.trigger_index(&metadata.trigger_type);
    let trigger =
        trigger.ok_or_else(|| unknown("cedarpulley-trigger-type", &metadata.trigger_type))?;
    let claimed = context.names.account_index(metadata.account.as_deref());
    let claimed = claimed.ok_or_else(|| {
        unknown(
            "cedarpulley-account",
            metadata.account.as_deref().unwrap_or_default(),
        )
    })?;
    let account = match client.account() {
        None => claimed,
        Some(own) if metadata.account.is_none() || claimed == own => own,
        Some(_) => {
            let cause = "is not the one that the client's certificate speaks for".to_owned();
            return Err(InvalidField {
                field: "cedarpulley-account",
                cause,
            });
        }
    };
    Ok(IncomingInvocation {
        delivery: handler.delivery(),
        identity: None,
        name: headers
            .get(REQUEST_ID)
            .and_then(|v| v.to_str().ok())
            .map(Arc::from),
        redelivered: false,
        client_retry: metadata.repeat,
        trigger,
        account,
        function: Arc::from(function),
        idempotency_key: metadata.idempotency_key.map(Arc::from),
        waited: metadata.waited,
        client_timeout: metadata.client_timeout.unwrap_or(Micros::MAX / 8),
        cost_hint: metadata.cost_hint,
        load_hint: metadata.load_hint,
        copy_mb: metadata.copy_mb,
        lanes: metadata.lanes,
        session: None,
        requested_function: None,
        preferred_worker: None,
        predetermined_answer: None,
        body: Payload {
            bytes: Bytes::new(),
            first_part_length: metadata.json_length,
        },
    })
}

/// The session given in a request's body, if sessions are tracked.
pub(crate) fn parse_session(
    handler: &RequestHandler,
    body: &Payload,
) -> Result<Option<Session>, sequences::InvalidSequence> {
    if !handler.context.tracks_sessions {
        return Ok(None);
    }
    let json = body.first_part_length.map_or(&body.bytes[..], |n| {
        body.bytes.get(..n as usize).unwrap_or_default()
    });
    let of = |s: sequences::Sequence| Session {
        id: Arc::from(s.id),
        is_first: s.start,
        is_last: s.end,
    };
    Ok(sequences::parse(json)?.map(of))
}

impl OpenRequest {
    /// Hands the request to the core and waits for its answer; absent only by a defect of the core.
    pub async fn answer(mut self, mut taken: IncomingInvocation) -> Option<(Answer, UnreadAnswer)> {
        let (answers, answered) = bounded(1);
        self.handler
            .waiting
            .borrow_mut()
            .insert(self.delivery.tag, answers);
        taken.waited += self.handler.context.clock.now() - self.began;
        self.handler.context.feed(Input::MessageArrived(taken));
        let answer = answered.recv().await.ok()?;
        self.answered = true;
        let unread = UnreadAnswer::begin(&self.handler, &self.client, answer.body.len());
        Some((answer, unread))
    }
}

/// An answer on its way to a client: its undelivered bytes count against what may be admitted.
pub struct UnreadAnswer {
    resources: Rc<HandlerResources>,
    client: Rc<ClientConnection>,
    bytes: u64,
}

impl UnreadAnswer {
    fn begin(handler: &Rc<RequestHandler>, client: &Rc<ClientConnection>, bytes: usize) -> Self {
        handler
            .resources
            .unread_bytes
            .set(handler.resources.unread_bytes.get() + bytes as u64);
        client.unread.set(client.unread.get() + 1);
        UnreadAnswer {
            resources: handler.resources.clone(),
            client: client.clone(),
            bytes: bytes as u64,
        }
    }

    fn delivered(&mut self, bytes: usize) {
        let delivered = self.bytes.min(bytes as u64);
        self.bytes -= delivered;
        self.resources
            .unread_bytes
            .set(self.resources.unread_bytes.get().saturating_sub(delivered));
    }
}

impl Drop for UnreadAnswer {
    fn drop(&mut self) {
        self.delivered(usize::MAX);
        self.client
            .unread
            .set(self.client.unread.get().saturating_sub(1));
    }
}

pub(crate) type Reply = Response<AnswerBody>;

/// The body of an answer in chunks, followed by trailers if there are any.
pub struct AnswerBody {
    remaining: Bytes,
    trailers: Option<HeaderMap>,
    unread: Option<UnreadAnswer>,
}

impl AnswerBody {
    pub fn new(body: Bytes, trailers: Option<HeaderMap>, unread: Option<UnreadAnswer>) -> Self {
        AnswerBody {
            remaining: body,
            trailers,
            unread,
        }
    }
}

impl Body for AnswerBody {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        _: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        if !self.remaining.is_empty() {
            let limit = self.remaining.len().min(CHUNK_BYTES);
            let chunk = self.remaining.split_to(limit);
            if let Some(unread) = &mut self.unread {
                unread.delivered(chunk.len());
            }
            return Poll::Ready(Some(Ok(Frame::data(chunk))));
        }
        self.unread = None;
        Poll::Ready(self.trailers.take().map(|t| Ok(Frame::trailers(t))))
    }

    fn is_end_stream(&self) -> bool {
        self.remaining.is_empty() && self.trailers.is_none()
    }

    fn size_hint(&self) -> SizeHint {
        SizeHint::with_exact(self.remaining.len() as u64)
    }
}

impl RequestHandler {
    pub fn new(
        ix: FrontIndex,
        context: Rc<GatewayContext>,
        resources: Rc<HandlerResources>,
        max_body_bytes: u64,
        max_streams: u32,
    ) -> Self {
        RequestHandler {
            ix,
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
        if let Some(waits) = self.waiting.borrow_mut().remove(&delivery.tag) {
            // A client that has just disconnected is told nothing.
            let _ = waits.try_send(answer);
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
            front: self.ix,
            incarnation: 1,
            tag,
        }
    }

    /// Asks the core to admit a request with a body of up to `bytes`; otherwise returns the rejection.
    pub fn admit(
        self: &Rc<Self>,
        client: &Rc<ClientConnection>,
        taken: &IncomingInvocation,
        bytes: u64,
    ) -> Result<OpenRequest, AdmissionDecision> {
        let delivery = taken.delivery;
        let knock = AdmissionRequest {
            trigger: taken.trigger,
            account: taken.account,
            waited: taken.waited,
            bytes,
            connection_in_flight: client.open.get(),
            unread_answers: client.unread.get(),
            abandoned: client.abandoned.get().count_ones(),
            last_abandoned_ago: self.context.clock.now() - client.last_abandoned_at.get(),
            active_connections: self.connections.get().max(1),
            unread_bytes: self.resources.unread_bytes.get(),
        };
        self.decision.set(None);
        self.context.feed(Input::RequestArrived {
            delivery,
            request: knock,
        });
        match self.decision.take() {
            Some(AdmissionDecision::Admitted) => {}
            Some(turned_away) => return Err(turned_away),
            // The core decides for each request, so that this is a defect of the core.
            None => return Err(AdmissionDecision::Admitted),
        }
        self.open_requests.set(self.open_requests.get() + 1);
        if client.open.get() == 0 {
            self.connections.set(self.connections.get() + 1);
        }
        client.open.set(client.open.get() + 1);
        let (handler, client) = (self.clone(), client.clone());
        let began = self.context.clock.now();
        Ok(OpenRequest {
            handler,
            client,
            delivery,
            began,
            answered: false,
        })
    }
}
