//! Between members of a group: HTTP/1.1 on the stack that the fronts use, one POST for what waits for a member, and in
//! its answer what that member has to say at once. Beside it operators read `GET /state` and `GET /metrics`.
//!
//! Mechanisms:
//! 1. Two lanes for each member, each with a connection of its own: records in bulk never stand before a vote.
//! 2. One POST at a time on a lane; what comes meanwhile goes together with the next.
//! 3. What waits is bounded by bytes; beyond, what a later comparison makes up for is dropped first, then everything.
//!    One member that reads slowly costs only what is meant for it.

use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::convert::Infallible;
use std::net::{IpAddr, SocketAddr, TcpListener};
use std::rc::Rc;

use async_executor::{LocalExecutor, Task};
use async_io::{Async, Timer};
use bytes::Bytes;
use cedarpulley::interface::Micros;
use cedarpulley_membership::MemberIx;
use cedarpulley_net::{Bell, Stream, connect, micros};
use futures_lite::FutureExt;
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::client::conn::http1::{SendRequest, handshake};
use hyper::header::CONTENT_TYPE;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Method, Request, Response, StatusCode};
use serde::Serialize;
use smol_hyper::rt::{FuturesIo, SmolTimer};

use crate::fellows::{Fellows, Post};
use crate::shown;
use crate::strangers::Strange;

/// What waits for one member on one lane.
const MOST_WAITING: usize = 4 << 20;
/// What goes in one POST: more than a piece of a comparison, less than holds a link up for long.
const MOST_AT_ONCE: usize = 256 << 10;
/// What is read of one POST or its answer.
const MOST_READ: usize = 8 << 20;
const CONNECT_WITHIN: Micros = 250_000;
/// An answer comes within this time, or the connection is closed: silent ones swallow whatever is sent.
const ANSWERED_WITHIN: Micros = 1_000_000;
/// After a failure, so long until the next try.
const PAUSE: Micros = 20_000;
const HEAD_WITHIN: Micros = 30_000_000;
/// Members and operators: far fewer ever connect.
const MOST_CONNECTIONS: usize = 512;
const PATH: &str = "/peer";

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Sent {
    pub posts: u64,
    pub bytes_sent: u64,
    pub posts_failed: u64,
    /// Letters that there was no room for, or that were lost with a failed POST.
    pub letters_dropped: u64,
}

struct Lane {
    waiting: RefCell<VecDeque<(Bytes, bool)>>,
    bytes: Cell<usize>,
    bell: Bell,
    sent: Cell<Sent>,
}

impl Lane {
    fn new() -> Self {
        Lane {
            waiting: RefCell::default(),
            bytes: Cell::new(0),
            bell: Bell::default(),
            sent: Cell::new(Sent::default()),
        }
    }

    fn count(&self, change: impl FnOnce(&mut Sent)) {
        let mut sent = self.sent.get();
        change(&mut sent);
        self.sent.set(sent);
    }

    fn put(&self, letter: Bytes, made_up_for: bool) {
        let mut waiting = self.waiting.borrow_mut();
        self.bytes.set(self.bytes.get() + letter.len());
        waiting.push_back((letter, made_up_for));
        while self.bytes.get() > MOST_WAITING {
            // Symptom: a member reads nothing, or is gone and not yet held for dead.
            let at = waiting.iter().position(|w| w.1).unwrap_or(0);
            let Some((letter, _)) = waiting.remove(at) else { break };
            self.bytes.set(self.bytes.get() - letter.len());
            self.count(|s| s.letters_dropped += 1);
        }
        self.bell.ring();
    }

    fn take(&self) -> Vec<Bytes> {
        let (mut taken, mut bytes) = (Vec::new(), 0);
        let mut waiting = self.waiting.borrow_mut();
        while bytes < MOST_AT_ONCE
            && let Some((letter, _)) = waiting.pop_front()
        {
            bytes += letter.len();
            taken.push(letter);
        }
        self.bytes.set(self.bytes.get() - bytes);
        taken
    }
}

/// All lanes; [`Office::run`] sends what is put there.
pub struct Office {
    executor: Rc<LocalExecutor<'static>>,
    from: Option<IpAddr>,
    addresses: Vec<SocketAddr>,
    /// By member: what is waited for, and what comes in bulk.
    lanes: Vec<[Lane; 2]>,
}

/// The way in for whoever sends.
pub struct Slot(pub Rc<Office>);

impl Post for Slot {
    fn put(&self, to: MemberIx, letter: Bytes, bulk: bool, made_up_for: bool) {
        if let Some(lanes) = self.0.lanes.get(to as usize) {
            lanes[usize::from(bulk)].put(letter, made_up_for);
        }
    }
}

impl Office {
    pub fn new(
        executor: Rc<LocalExecutor<'static>>,
        from: Option<IpAddr>,
        addresses: Vec<SocketAddr>,
    ) -> Self {
        let lanes = addresses.iter().map(|_| [Lane::new(), Lane::new()]).collect();
        Office { executor, from, addresses, lanes }
    }

    pub fn sent(&self) -> Sent {
        let mut all = Sent::default();
        for sent in self.lanes.iter().flatten().map(|l| l.sent.get()) {
            all.posts += sent.posts;
            all.bytes_sent += sent.bytes_sent;
            all.posts_failed += sent.posts_failed;
            all.letters_dropped += sent.letters_dropped;
        }
        all
    }

    /// Begins to send, for as long as the router runs.
    pub fn run(self: &Rc<Self>, fellows: &Rc<Fellows>, me: MemberIx) {
        for to in (0..self.lanes.len() as MemberIx).filter(|m| *m != me) {
            for lane in 0..2 {
                self.executor.spawn(self.clone().attend(fellows.clone(), to, lane)).detach();
            }
        }
    }

    async fn attend(self: Rc<Self>, fellows: Rc<Fellows>, to: MemberIx, lane: usize) {
        let it = &self.lanes[to as usize][lane];
        let mut connection: Option<(SendRequest<Full<Bytes>>, Task<()>)> = None;
        loop {
            let letters = it.take();
            if letters.is_empty() {
                it.bell.heard().await;
                continue;
            }
            let count = letters.len() as u64;
            if connection.as_ref().is_none_or(|(sender, _)| !sender.is_ready()) {
                connection = self.open(self.addresses[to as usize]).await;
            }
            let answered = match &mut connection {
                None => None,
                Some((sender, _)) => {
                    let Ok(body) = postcard::to_stdvec(&fellows.envelope(to, letters)).map(Bytes::from)
                    else {
                        continue;
                    };
                    it.count(|s| (s.posts, s.bytes_sent) = (s.posts + 1, s.bytes_sent + body.len() as u64));
                    exchange(sender, self.addresses[to as usize], body).await
                }
            };
            match answered {
                Some(answer) => {
                    // Strangers are counted and named there.
                    let from = Some(self.addresses[to as usize].ip());
                    let _ = fellows.heard(from, &answer).map(|replies| {
                        replies.messages.into_iter().for_each(|letter| it.put(letter, false));
                    });
                }
                None => {
                    connection = None;
                    it.count(|s| {
                        (s.posts_failed, s.letters_dropped) = (s.posts_failed + 1, s.letters_dropped + count)
                    });
                    Timer::after(micros(PAUSE)).await;
                }
            }
        }
    }

    async fn open(&self, address: SocketAddr) -> Option<(SendRequest<Full<Bytes>>, Task<()>)> {
        let stream = connect(address, self.from, CONNECT_WITHIN).await.ok()?;
        let (sender, connection) = handshake(FuturesIo::new(stream)).await.ok()?;
        let driver = self.executor.spawn(async move {
            // How it ended shows in the next POST.
            let _ = connection.await;
        });
        Some((sender, driver))
    }
}

async fn exchange(sender: &mut SendRequest<Full<Bytes>>, to: SocketAddr, body: Bytes) -> Option<Bytes> {
    let request = Request::post(PATH).header("host", to.to_string()).body(Full::new(body)).ok()?;
    let exchanged = async {
        let answer = sender.send_request(request).await.ok()?;
        let ok = answer.status() == StatusCode::OK;
        let body = Limited::new(answer.into_body(), MOST_READ).collect().await.ok()?.to_bytes();
        sender.ready().await.ok()?;
        ok.then_some(body)
    };
    let late = async {
        Timer::after(micros(ANSWERED_WITHIN)).await;
        None
    };
    exchanged.or(late).await
}

fn reply(status: StatusCode, kind: &'static str, body: impl Into<Bytes>) -> Response<Full<Bytes>> {
    let mut reply = Response::new(Full::new(body.into()));
    *reply.status_mut() = status;
    if let Ok(kind) = kind.parse() {
        reply.headers_mut().insert(CONTENT_TYPE, kind);
    }
    reply
}

async fn handle(
    fellows: &Fellows,
    office: &Office,
    from: Option<IpAddr>,
    request: Request<Incoming>,
) -> Response<Full<Bytes>> {
    match (request.method(), request.uri().path()) {
        (&Method::POST, PATH) => {
            let body = Limited::new(request.into_body(), MOST_READ).collect().await;
            let Ok(body) = body.map(|b| b.to_bytes()) else {
                return reply(StatusCode::PAYLOAD_TOO_LARGE, "text/plain", "larger than members say at once");
            };
            match fellows.heard(from, &body).map(|answer| postcard::to_stdvec(&answer)) {
                Ok(Ok(answer)) => reply(StatusCode::OK, "application/octet-stream", answer),
                Ok(Err(_)) => reply(StatusCode::INTERNAL_SERVER_ERROR, "text/plain", ""),
                Err(Strange::Unreadable) => {
                    reply(StatusCode::BAD_REQUEST, "text/plain", Strange::Unreadable.to_string())
                }
                Err(strange) => reply(StatusCode::FORBIDDEN, "text/plain", strange.to_string()),
            }
        }
        (&Method::GET, "/state") => {
            let state = shown::state(fellows, office.sent());
            reply(StatusCode::OK, "application/json", state.to_string())
        }
        (&Method::GET, "/metrics") => {
            reply(StatusCode::OK, "text/plain; version=0.0.4", shown::metrics(fellows, office.sent()))
        }
        (_, PATH | "/state" | "/metrics") => reply(StatusCode::METHOD_NOT_ALLOWED, "text/plain", ""),
        _ => reply(StatusCode::NOT_FOUND, "text/plain", ""),
    }
}

/// Takes what members and operators send, for as long as the router runs.
pub async fn listens(fellows: Rc<Fellows>, office: Rc<Office>, listener: Async<TcpListener>) {
    let standing = Rc::new(Cell::new(0usize));
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            // Out of descriptors, most likely: some will be given back.
            Timer::after(micros(PAUSE)).await;
            continue;
        };
        if standing.get() >= MOST_CONNECTIONS {
            continue;
        }
        standing.set(standing.get() + 1);
        let _ = stream.get_ref().set_nodelay(true);
        let (fellows, own, standing) = (fellows.clone(), office.clone(), standing.clone());
        let served = async move {
            serve(stream, fellows, own).await;
            standing.set(standing.get() - 1);
        };
        office.executor.spawn(served).detach();
    }
}

async fn serve(stream: Stream, fellows: Rc<Fellows>, office: Rc<Office>) {
    let from = stream.get_ref().peer_addr().ok().map(|a| a.ip());
    let service = service_fn(|request| {
        let (fellows, office) = (fellows.clone(), office.clone());
        async move { Ok::<_, Infallible>(handle(&fellows, &office, from, request).await) }
    });
    let mut builder = http1::Builder::new();
    builder.timer(SmolTimer::new()).header_read_timeout(micros(HEAD_WITHIN));
    // However it ends, the other side has seen it.
    let _ = builder.serve_connection(FuturesIo::new(stream), service).await;
}
