//! The KServe v2 front over HTTP/1.1, on the same core as the AMQP front. What a request means is in
//! `cedarpulley_kserve::serving`; here are sockets, bounds and who waits for which answer.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::convert::Infallible;
use std::net::{SocketAddr, TcpListener};
use std::rc::Rc;
use std::sync::Arc;

use async_executor::Task;
use async_io::{Async, Timer};
use bytes::Bytes;
use cedarpulley::interface::Micros;
use cedarpulley_kserve::serving::{self, Asked, Misunderstood};
use cedarpulley_router::admission::FrontState;
use cedarpulley_router::{Answer, Delivery, Fate, FrontIx, Input, Taken};
use futures_lite::FutureExt;
use http_body_util::{BodyExt, Full, LengthLimitError, Limited};
use hyper::body::{Body, Incoming};
use hyper::header::{CONTENT_TYPE, HeaderValue, RETRY_AFTER};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use smol::channel::{Sender, bounded};
use smol_hyper::rt::{FuturesIo, SmolTimer};

use crate::front::{fate, reason};
use crate::net::micros;
use crate::serve::Gateway;

/// A head comes whole within this time, and so does the next one on a kept connection.
const HEAD_WITHIN: Micros = 30_000_000;
/// A body comes whole within this time of its head.
const BODY_WITHIN: Micros = 10_000_000;
const MOST_HEADERS: usize = 64;
const MOST_HEAD: usize = 32 * 1024;
/// By which logs of clients, routers and workers are held against each other.
const REQUEST_ID: &str = "x-request-id";
/// Advice while nothing more is taken: about when some of what is out will have been answered.
const COME_BACK_S: &str = "1";

/// Where to listen.
#[derive(Clone, Debug)]
pub struct Listen {
    pub name: String,
    pub address: SocketAddr,
    pub most_connections: usize,
}

pub struct Rest {
    pub ix: FrontIx,
    listen: Listen,
    most_body: u64,
    grant: Cell<u32>,
    out: Cell<u32>,
    /// Bytes promised by bodies that are still being read, and the most of that.
    reading: Cell<u64>,
    most_reading: u64,
    next: Cell<u64>,
    waiting: RefCell<HashMap<u64, Sender<Answer>>>,
    /// Requests turned away for want of room.
    pub turned_away: Cell<u64>,
}

/// A request that is taken. Its client may vanish at any moment: then this is dropped, and the core told.
struct Open {
    gateway: Rc<Gateway>,
    rest: Rc<Rest>,
    delivery: Delivery,
    answered: bool,
}

impl Drop for Open {
    fn drop(&mut self) {
        self.rest.out.set(self.rest.out.get().saturating_sub(1));
        self.rest.waiting.borrow_mut().remove(&self.delivery.tag);
        let input = match self.answered {
            true => Input::Safe(self.delivery),
            false => Input::Departed(self.delivery),
        };
        // Not from within: a drop may come while the core is at work.
        let gateway = self.gateway.clone();
        self.gateway.executor.spawn(async move { gateway.feed(input) }).detach();
    }
}

/// Bytes that a body being read may take, given back when it is whole or its client has gone.
struct Reads<'a>(&'a Rest, u64);

impl<'a> Reads<'a> {
    fn begin(rest: &'a Rest, promised: u64) -> Self {
        rest.reading.set(rest.reading.get() + promised);
        Reads(rest, promised)
    }
}

impl Drop for Reads<'_> {
    fn drop(&mut self) {
        self.0.reading.set(self.0.reading.get().saturating_sub(self.1));
    }
}

type Reply = Response<Full<Bytes>>;

fn reply(status: StatusCode, body: impl Into<Bytes>) -> Reply {
    let mut reply = Response::new(Full::new(body.into()));
    *reply.status_mut() = status;
    reply.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    reply
}

fn wrong(status: StatusCode, cause: &str) -> Reply {
    reply(status, serving::error(cause))
}

impl Rest {
    pub fn new(ix: FrontIx, listen: Listen, most_body: u64, most_reading: u64) -> Self {
        Rest {
            ix,
            listen,
            most_body,
            grant: Cell::new(0),
            out: Cell::new(0),
            reading: Cell::new(0),
            most_reading,
            next: Cell::new(0),
            waiting: RefCell::default(),
            turned_away: Cell::new(0),
        }
    }

    pub fn grant(&self, most: u32) {
        self.grant.set(most);
    }

    pub fn answer(&self, delivery: Delivery, answer: Answer) {
        if let Some(waits) = self.waiting.borrow_mut().remove(&delivery.tag) {
            // A client that has just left is told nothing.
            let _ = waits.try_send(answer);
        }
    }

    pub fn is_drained(&self) -> bool {
        self.out.get() == 0
    }

    /// Listens until the router ends.
    pub async fn run(self: Rc<Self>, gateway: Rc<Gateway>, listener: Async<TcpListener>) {
        gateway.feed(Input::Front { front: self.ix, state: FrontState::Up });
        tracing::info!(front = %self.listen.name, address = %self.listen.address, "listening");
        let mut served: Vec<Task<()>> = Vec::new();
        loop {
            let Ok((stream, _)) = listener.accept().await else {
                // Out of descriptors, most likely: some will be given back.
                Timer::after(micros(10_000)).await;
                continue;
            };
            served.retain(|t| !t.is_finished());
            if served.len() >= self.listen.most_connections {
                self.turned_away.set(self.turned_away.get() + 1);
                continue;
            }
            let _ = stream.get_ref().set_nodelay(true);
            let (it, gateway) = (self.clone(), gateway.clone());
            let executor = gateway.executor.clone();
            served.push(executor.spawn(async move {
                let service = service_fn(|request| {
                    let handled = it.clone().handle(gateway.clone(), request);
                    async move { Ok::<_, Infallible>(handled.await) }
                });
                let mut builder = http1::Builder::new();
                builder.timer(SmolTimer::new()).header_read_timeout(micros(HEAD_WITHIN));
                builder.max_headers(MOST_HEADERS).max_buf_size(MOST_HEAD);
                // However it ends, its open request has been dropped by then.
                let _ = builder.serve_connection(FuturesIo::new(stream), service).await;
            }));
        }
    }

    async fn handle(self: Rc<Self>, gateway: Rc<Gateway>, request: Request<Incoming>) -> Reply {
        match serving::asked(request.method(), request.uri().path()) {
            Asked::ServerLive => reply(StatusCode::OK, r#"{"live":true}"#),
            Asked::ServerReady if self.grant.get() > 0 => reply(StatusCode::OK, r#"{"ready":true}"#),
            Asked::ServerReady => reply(StatusCode::SERVICE_UNAVAILABLE, r#"{"ready":false}"#),
            Asked::ServerMetadata => {
                let version = env!("CARGO_PKG_VERSION");
                let body = format!(r#"{{"name":"cedarpulley","version":"{version}","extensions":[]}}"#);
                reply(StatusCode::OK, body)
            }
            // Functions are loaded on demand: each may be asked for.
            Asked::ModelReady(_) => reply(StatusCode::OK, ""),
            Asked::ModelMetadata(name) => {
                let body = serde_json::json!({"name": name, "platform": "", "inputs": [], "outputs": []});
                reply(StatusCode::OK, body.to_string())
            }
            Asked::Infer(name) => self.infer(gateway, name, request).await,
            Asked::Unknown => wrong(StatusCode::NOT_FOUND, "no such path"),
            Asked::WrongMethod => wrong(StatusCode::METHOD_NOT_ALLOWED, "another method is wanted"),
        }
    }

    async fn infer(self: Rc<Self>, gateway: Rc<Gateway>, name: String, request: Request<Incoming>) -> Reply {
        let (head, body) = request.into_parts();
        let understood = serving::wanted(&head.headers, gateway.clock.wall()).and_then(|w| {
            let unknown = |field, what: &str| Misunderstood { field, cause: format!("'{what}' is unknown") };
            let trigger = gateway.names.trigger(&w.kind);
            let trigger = trigger.ok_or_else(|| unknown("cedarpulley-trigger-type", &w.kind))?;
            let account = gateway.names.account(w.account.as_deref());
            let said = w.account.clone().unwrap_or_default();
            let account = account.ok_or_else(|| unknown("cedarpulley-account", &said))?;
            Ok((w, trigger, account))
        });
        let (w, trigger, account) = match understood {
            Ok(understood) => understood,
            Err(e) => {
                gateway.misunderstood.set(gateway.misunderstood.get() + 1);
                return wrong(StatusCode::BAD_REQUEST, &format!("{}: {}", e.field, e.cause));
            }
        };
        // Turned away before it is taken: nothing is owed but this, and nothing of it has run.
        // A body without a stated length may be as long as any.
        let promised = body.size_hint().exact().unwrap_or(self.most_body).min(self.most_body);
        if self.out.get() >= self.grant.get() || self.reading.get() + promised > self.most_reading {
            self.turned_away.set(self.turned_away.get() + 1);
            let mut reply = wrong(StatusCode::TOO_MANY_REQUESTS, "as much is out as may be");
            reply.headers_mut().insert(serving::FATE, HeaderValue::from_static("throttled"));
            reply.headers_mut().insert(RETRY_AFTER, HeaderValue::from_static(COME_BACK_S));
            return reply;
        }
        self.out.set(self.out.get() + 1);
        let tag = self.next.get();
        self.next.set(tag + 1);
        let delivery = Delivery { front: self.ix, life: 1, tag };
        let began = gateway.clock.now();
        let mut open = Open { gateway: gateway.clone(), rest: self.clone(), delivery, answered: false };
        let late = async {
            Timer::after(micros(BODY_WITHIN)).await;
            None
        };
        let reads = Reads::begin(&self, promised);
        let whole = async { Some(Limited::new(body, self.most_body as usize).collect().await) };
        let body = match whole.or(late).await {
            Some(Ok(body)) => body.to_bytes(),
            Some(Err(e)) if e.is::<LengthLimitError>() => {
                return wrong(
                    StatusCode::PAYLOAD_TOO_LARGE,
                    &format!("larger than {} bytes", self.most_body),
                );
            }
            Some(Err(_)) => return wrong(StatusCode::BAD_REQUEST, "the body broke off"),
            None => return wrong(StatusCode::REQUEST_TIMEOUT, "the body was not whole in time"),
        };
        drop(reads);
        let (answers, answered) = bounded(1);
        self.waiting.borrow_mut().insert(tag, answers);
        gateway.feed(Input::Taken(Taken {
            delivery,
            identity: None,
            mark: head.headers.get(REQUEST_ID).and_then(|v| v.to_str().ok()).map(Arc::from),
            redelivered: false,
            repeat: w.repeat,
            trigger,
            account,
            function: Arc::from(name),
            token: w.token.map(Arc::from),
            waited: w.waited + gateway.clock.now() - began,
            client_timeout: w.client_timeout.unwrap_or(Micros::MAX / 8),
            cost_hint: w.cost_hint,
            load_hint: w.load_hint,
            copy_mb: w.copy_mb,
            lanes: w.lanes,
            body,
        }));
        // Each that is taken is answered; a sender that went away unheard would be a fault of the core.
        let Ok(answer) = answered.recv().await else {
            return wrong(StatusCode::INTERNAL_SERVER_ERROR, "no answer was found");
        };
        open.answered = true;
        answer_of(answer)
    }
}

fn answer_of(answer: Answer) -> Reply {
    let mut reply = match answer.fate {
        Fate::Succeeded => reply(StatusCode::OK, answer.body),
        other => {
            let harmless = other == Fate::Throttled;
            wrong(serving::status(harmless), reason(answer.reason))
        }
    };
    let headers = reply.headers_mut();
    headers.insert(serving::FATE, HeaderValue::from_static(fate(answer.fate)));
    headers.insert(serving::REASON, HeaderValue::from_static(reason(answer.reason)));
    if let Some(advice) = answer.return_after {
        headers.insert(RETRY_AFTER, HeaderValue::from(serving::retry_after(advice)));
    }
    reply
}
