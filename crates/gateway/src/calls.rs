//! What the fronts have in common whose clients call: listening, who is at the door, who waits for which answer,
//! and what of the answers has not been read yet. The protocols are in `rest.rs` and `grpc.rs`; whether a request
//! may come in the core decides (`cedarpulley_router::entry`).

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::convert::Infallible;
use std::io;
use std::net::{SocketAddr, TcpListener};
use std::pin::Pin;
use std::rc::Rc;
use std::sync::Arc;
use std::task::{Context, Poll};

use async_io::{Async, Timer};
use bytes::Bytes;
use cedarpulley::interface::Micros;
use cedarpulley_kserve::serving::{self, Misunderstood};
use cedarpulley_net::{Bell, Stream, micros};
use cedarpulley_router::admission::FrontState;
use cedarpulley_router::entry::{Entry, Knock, Short};
use cedarpulley_router::{Answer, Delivery, FrontIx, Input, Payload, Taken};
use futures_lite::{AsyncRead, AsyncWrite, FutureExt};
use futures_rustls::server::TlsStream;
use http_body_util::BodyExt;
use hyper::HeaderMap;
use hyper::body::{Body, Frame, Incoming, SizeHint};
use smol::channel::{Sender, bounded};

use crate::serve::Gateway;
use crate::tls::{Files, Inward};
use crate::{grpc, rest};

/// A body comes whole within this time of its head.
const BODY_WITHIN: Micros = 10_000_000;
/// A client that reads nothing for so long while something waits for it has gone, for all that we can tell.
const READ_WITHIN: Micros = 30_000_000;
/// An answer is handed to the connection in pieces of this size, so that little is copied for who does not read.
const PIECE: usize = 64 * 1024;
/// By which logs of clients, routers and workers are held against each other.
const REQUEST_ID: &str = "x-request-id";

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Protocol {
    /// HTTP/1.1 with JSON, and raw tensors after it.
    Rest,
    Grpc,
}

/// Where to listen.
#[derive(Clone, Debug)]
pub struct Listen {
    pub name: String,
    pub address: SocketAddr,
    pub protocol: Protocol,
    pub most_connections: usize,
    /// Requests at once on one connection, where the protocol has them.
    pub most_streams: u32,
    pub tls: Option<Files>,
}

/// One connection's part of the counts at the door.
#[derive(Default)]
pub struct Line {
    inside: Cell<u32>,
    unread: Cell<u32>,
    /// Of the last 32 that were inside, a bit for each that left without its answer; and when that was last.
    left: Cell<u32>,
    left_at: Cell<Micros>,
    /// For which its certificate speaks.
    account: Cell<Option<u32>>,
}

impl Line {
    pub fn account(&self) -> Option<u32> {
        self.account.get()
    }
}

pub struct Calls {
    pub ix: FrontIx,
    pub listen: Listen,
    pub most_body: u64,
    grant: Cell<u32>,
    out: Cell<u32>,
    /// Connections with something inside, and bytes of answers that have not been read.
    connections: Cell<u32>,
    unread_bytes: Cell<u64>,
    next: Cell<u64>,
    entry: Cell<Option<Entry>>,
    waiting: RefCell<HashMap<u64, Sender<Answer>>>,
    /// Connections that stand, each with the bell that tells it of a stop.
    stand: RefCell<HashMap<u64, Bell>>,
    /// Connections closed at once for being beyond `most_connections`.
    pub closed: Cell<u64>,
    /// Connections without a handshake, or with a certificate that speaks for no account.
    pub refused: Cell<u64>,
    tls: Option<Rc<Inward>>,
}

/// A request that is inside. Its client may vanish at any moment: then this is dropped, and the core told.
pub struct Open {
    gateway: Rc<Gateway>,
    calls: Rc<Calls>,
    line: Rc<Line>,
    delivery: Delivery,
    began: Micros,
    answered: bool,
}

impl Drop for Open {
    fn drop(&mut self) {
        let (calls, line) = (&self.calls, &self.line);
        calls.out.set(calls.out.get().saturating_sub(1));
        line.inside.set(line.inside.get().saturating_sub(1));
        if line.inside.get() == 0 {
            calls.connections.set(calls.connections.get().saturating_sub(1));
        }
        calls.waiting.borrow_mut().remove(&self.delivery.tag);
        line.left.set(line.left.get() << 1 | u32::from(!self.answered));
        if !self.answered {
            line.left_at.set(self.gateway.clock.now());
        }
        let input = match self.answered {
            true => Input::Safe(self.delivery),
            false => Input::Departed(self.delivery),
        };
        // Not from within: a drop may come while the core is at work.
        let gateway = self.gateway.clone();
        self.gateway.executor.spawn(async move { gateway.feed(input) }).detach();
    }
}

/// Why a body was not whole.
pub enum Unwhole {
    TooLarge,
    BrokeOff,
    Slow,
}

/// What is read of a body is read within its time.
pub(crate) async fn within<T>(reading: impl Future<Output = Result<T, Unwhole>>) -> Result<T, Unwhole> {
    let late = async {
        Timer::after(micros(BODY_WITHIN)).await;
        Err(Unwhole::Slow)
    };
    reading.or(late).await
}

/// A body whole, after what came of it already, up to `most` bytes.
pub(crate) async fn gather(mut body: Incoming, first: Bytes, most: u64) -> Result<Bytes, Unwhole> {
    within(async {
        let mut size = first.len() as u64;
        let mut pieces = vec![first];
        loop {
            if size > most {
                return Err(Unwhole::TooLarge);
            }
            match body.frame().await {
                None => break,
                Some(Ok(frame)) => {
                    if let Ok(data) = frame.into_data() {
                        size += data.len() as u64;
                        pieces.push(data);
                    }
                }
                Some(Err(_)) => return Err(Unwhole::BrokeOff),
            }
        }
        Ok(match pieces.iter().filter(|p| !p.is_empty()).count() {
            1 => pieces.into_iter().find(|p| !p.is_empty()).unwrap_or_default(),
            _ => Bytes::from(pieces.concat()),
        })
    })
    .await
}

/// Serves a connection until it ends; told to stop, it says so and goes on with what it has open. How it ended is of
/// no concern: its open requests were dropped.
pub(crate) async fn to_its_end<C: Future>(
    mut connection: Pin<&mut C>,
    stop: Bell,
    go_away: impl FnOnce(Pin<&mut C>),
) {
    let stopped = async {
        stop.heard().await;
        false
    };
    let ended = async {
        let _ = connection.as_mut().await;
        true
    };
    if !ended.or(stopped).await {
        go_away(connection.as_mut());
        let _ = connection.await;
    }
}

/// The word for why a request was not let in.
pub(crate) fn short(why: Short) -> &'static str {
    match why {
        Short::Stopping => "stopping",
        Short::Memory => "no-memory",
        Short::All => "full",
        Short::Front => "front-beyond-share",
        Short::Account => "beyond-share",
        Short::Connection => "connection-beyond-share",
        Short::Worth => "kept-for-dearer",
    }
}

/// What a request's head says, with all names known; the body comes later.
pub(crate) fn understood(
    gateway: &Gateway,
    calls: &Calls,
    line: &Line,
    headers: &HeaderMap,
    function: String,
) -> Result<Taken, Misunderstood> {
    let w = serving::wanted(headers, gateway.clock.wall())?;
    let unknown = |field, what: &str| Misunderstood { field, cause: format!("'{what}' is unknown") };
    let trigger = gateway.names.trigger(&w.kind);
    let trigger = trigger.ok_or_else(|| unknown("cedarpulley-trigger-type", &w.kind))?;
    let said = gateway.names.account(w.account.as_deref());
    let said =
        said.ok_or_else(|| unknown("cedarpulley-account", w.account.as_deref().unwrap_or_default()))?;
    let account = match line.account() {
        None => said,
        Some(own) if w.account.is_none() || said == own => own,
        Some(_) => {
            let cause = "is not the one that the client's certificate speaks for".to_owned();
            return Err(Misunderstood { field: "cedarpulley-account", cause });
        }
    };
    Ok(Taken {
        delivery: calls.delivery(),
        identity: None,
        mark: headers.get(REQUEST_ID).and_then(|v| v.to_str().ok()).map(Arc::from),
        redelivered: false,
        repeat: w.repeat,
        trigger,
        account,
        function: Arc::from(function),
        token: w.token.map(Arc::from),
        waited: w.waited,
        client_timeout: w.client_timeout.unwrap_or(Micros::MAX / 8),
        cost_hint: w.cost_hint,
        load_hint: w.load_hint,
        copy_mb: w.copy_mb,
        lanes: w.lanes,
        body: Payload { bytes: Bytes::new(), first: w.json },
    })
}

impl Open {
    /// Hands it to the core and waits for its one answer; absent only by a fault of the core.
    pub async fn answer(mut self, mut taken: Taken) -> Option<(Answer, Unread)> {
        let (answers, answered) = bounded(1);
        self.calls.waiting.borrow_mut().insert(self.delivery.tag, answers);
        taken.waited += self.gateway.clock.now() - self.began;
        self.gateway.feed(Input::Taken(taken));
        let answer = answered.recv().await.ok()?;
        self.answered = true;
        let unread = Unread::begin(&self.calls, &self.line, answer.body.len());
        Some((answer, unread))
    }
}

/// An answer on its way to a client: what of it has not gone out counts against what may come in.
pub struct Unread {
    calls: Rc<Calls>,
    line: Rc<Line>,
    bytes: u64,
}

impl Unread {
    fn begin(calls: &Rc<Calls>, line: &Rc<Line>, bytes: usize) -> Self {
        calls.unread_bytes.set(calls.unread_bytes.get() + bytes as u64);
        line.unread.set(line.unread.get() + 1);
        Unread { calls: calls.clone(), line: line.clone(), bytes: bytes as u64 }
    }

    fn went(&mut self, bytes: usize) {
        let went = self.bytes.min(bytes as u64);
        self.bytes -= went;
        self.calls.unread_bytes.set(self.calls.unread_bytes.get().saturating_sub(went));
    }
}

impl Drop for Unread {
    fn drop(&mut self) {
        self.went(usize::MAX);
        self.line.unread.set(self.line.unread.get().saturating_sub(1));
    }
}

/// The body of an answer, in pieces; with what may follow it.
pub struct Told {
    rest: Bytes,
    trailers: Option<HeaderMap>,
    unread: Option<Unread>,
}

impl Told {
    pub fn new(body: Bytes, trailers: Option<HeaderMap>, unread: Option<Unread>) -> Self {
        Told { rest: body, trailers, unread }
    }
}

impl Body for Told {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        _: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        if !self.rest.is_empty() {
            let most = self.rest.len().min(PIECE);
            let piece = self.rest.split_to(most);
            if let Some(unread) = &mut self.unread {
                unread.went(piece.len());
            }
            return Poll::Ready(Some(Ok(Frame::data(piece))));
        }
        self.unread = None;
        Poll::Ready(self.trailers.take().map(|t| Ok(Frame::trailers(t))))
    }

    fn is_end_stream(&self) -> bool {
        self.rest.is_empty() && self.trailers.is_none()
    }

    fn size_hint(&self) -> SizeHint {
        SizeHint::with_exact(self.rest.len() as u64)
    }
}

/// A connection that fails once nothing of what waits to be written has gone for too long.
pub struct Paced<S> {
    stream: S,
    stuck: Option<Timer>,
}

impl<S> Paced<S> {
    pub fn new(stream: S) -> Self {
        Paced { stream, stuck: None }
    }

    fn watch<T>(&mut self, cx: &mut Context, polled: Poll<io::Result<T>>) -> Poll<io::Result<T>> {
        if polled.is_ready() {
            self.stuck = None;
            return polled;
        }
        let timer = self.stuck.get_or_insert_with(|| Timer::after(micros(READ_WITHIN)));
        match Pin::new(timer).poll(cx) {
            Poll::Ready(_) => Poll::Ready(Err(io::ErrorKind::TimedOut.into())),
            Poll::Pending => Poll::Pending,
        }
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for Paced<S> {
    fn poll_read(mut self: Pin<&mut Self>, cx: &mut Context, buf: &mut [u8]) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_read(cx, buf)
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for Paced<S> {
    fn poll_write(mut self: Pin<&mut Self>, cx: &mut Context, buf: &[u8]) -> Poll<io::Result<usize>> {
        let polled = Pin::new(&mut self.stream).poll_write(cx, buf);
        self.watch(cx, polled)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context) -> Poll<io::Result<()>> {
        let polled = Pin::new(&mut self.stream).poll_flush(cx);
        self.watch(cx, polled)
    }

    fn poll_close(mut self: Pin<&mut Self>, cx: &mut Context) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_close(cx)
    }
}

impl Calls {
    pub fn new(ix: FrontIx, listen: Listen, most_body: u64, tls: Option<Rc<Inward>>) -> Self {
        Calls {
            ix,
            listen,
            most_body,
            grant: Cell::new(0),
            out: Cell::new(0),
            connections: Cell::new(0),
            unread_bytes: Cell::new(0),
            next: Cell::new(0),
            entry: Cell::new(None),
            waiting: RefCell::default(),
            stand: RefCell::default(),
            closed: Cell::new(0),
            refused: Cell::new(0),
            tls,
        }
    }

    pub fn grant(&self, most: u32) {
        self.grant.set(most);
    }

    pub fn ready(&self) -> bool {
        self.grant.get() > 0
    }

    pub fn entry(&self, entry: Entry) {
        self.entry.set(Some(entry));
    }

    pub fn answer(&self, delivery: Delivery, answer: Answer) {
        if let Some(waits) = self.waiting.borrow_mut().remove(&delivery.tag) {
            // A client that has just left is told nothing.
            let _ = waits.try_send(answer);
        }
    }

    pub fn is_drained(&self) -> bool {
        self.out.get() == 0 && self.unread_bytes.get() == 0
    }

    /// Connections that stand are told that nothing new is taken; what they have open goes on. One that comes later is
    /// answered so by the door: closed at once, it would not know that nothing of it ran.
    pub fn stop(&self) {
        self.stand.borrow().values().for_each(Bell::ring);
    }

    pub fn unread_bytes(&self) -> u64 {
        self.unread_bytes.get()
    }

    pub fn delivery(&self) -> Delivery {
        let tag = self.next.get();
        self.next.set(tag + 1);
        Delivery { front: self.ix, life: 1, tag }
    }

    /// Asks the core whether this request may come in.
    pub fn knock(
        self: &Rc<Self>,
        gateway: &Rc<Gateway>,
        line: &Rc<Line>,
        taken: &Taken,
        bytes: u64,
    ) -> Result<Open, Entry> {
        let delivery = taken.delivery;
        let knock = Knock {
            trigger: taken.trigger,
            account: taken.account,
            waited: taken.waited,
            bytes,
            here: line.inside.get(),
            unread: line.unread.get(),
            left: line.left.get().count_ones(),
            left_ago: gateway.clock.now() - line.left_at.get(),
            connections: self.connections.get().max(1),
            unread_bytes: gateway.unread_bytes(),
        };
        self.entry.set(None);
        gateway.feed(Input::Knock { delivery, knock });
        match self.entry.take() {
            Some(Entry::Enter) => {}
            Some(turned_away) => return Err(turned_away),
            // It says so for each that knocks.
            None => return Err(Entry::Enter),
        }
        self.out.set(self.out.get() + 1);
        if line.inside.get() == 0 {
            self.connections.set(self.connections.get() + 1);
        }
        line.inside.set(line.inside.get() + 1);
        let (gateway, calls, line) = (gateway.clone(), self.clone(), line.clone());
        let began = gateway.clock.now();
        Ok(Open { gateway, calls, line, delivery, began, answered: false })
    }

    /// Listens until the router ends.
    pub async fn run(self: Rc<Self>, gateway: Rc<Gateway>, listener: Async<TcpListener>) {
        gateway.feed(Input::Front { front: self.ix, state: FrontState::Up });
        tracing::info!(front = %self.listen.name, address = %self.listen.address, "listening");
        if let Some(tls) = self.tls.clone() {
            gateway.executor.spawn(tls.watch(gateway.clone(), self.listen.name.clone())).detach();
        }
        let mut serial = 0;
        loop {
            let Ok((stream, _)) = listener.accept().await else {
                // Out of descriptors, most likely: some will be given back.
                Timer::after(micros(10_000)).await;
                continue;
            };
            if self.stand.borrow().len() >= self.listen.most_connections {
                self.closed.set(self.closed.get() + 1);
                continue;
            }
            let _ = stream.get_ref().set_nodelay(true);
            let (it, gateway, stop) = (self.clone(), gateway.clone(), Bell::default());
            serial += 1;
            let stands = Stands(self.clone(), serial);
            self.stand.borrow_mut().insert(serial, stop.clone());
            let executor = gateway.executor.clone();
            let served = executor.spawn(async move {
                let _stands = stands;
                let line = Rc::new(Line::default());
                // Each on its own: ten thousand idle ones must not take the largest one's room.
                let Some(tls) = it.tls.clone() else {
                    return Box::pin(it.serve(gateway, line, Paced::new(stream), stop)).await;
                };
                let Some(stream) = Box::pin(it.handshake(&gateway, &line, &tls, stream)).await else {
                    return it.refused.set(it.refused.get() + 1);
                };
                Box::pin(it.serve(gateway, line, Paced::new(stream), stop)).await;
            });
            served.detach();
        }
    }

    /// Absent if there was no handshake, or its certificate speaks for none where it has to.
    async fn handshake(
        &self,
        gateway: &Gateway,
        line: &Line,
        tls: &Inward,
        stream: Stream,
    ) -> Option<TlsStream<Stream>> {
        let stream = tls.accept(stream).await.ok()?;
        if tls.asks_clients() && !gateway.speakers.is_empty() {
            let (_, session) = stream.get_ref();
            let account = gateway.speakers.account(session.peer_certificates()?.first()?)?;
            line.account.set(Some(account));
        }
        Some(stream)
    }

    /// However it ends, its open requests have been dropped by then.
    async fn serve(
        self: Rc<Self>,
        gateway: Rc<Gateway>,
        line: Rc<Line>,
        stream: impl AsyncRead + AsyncWrite + Unpin + 'static,
        stop: Bell,
    ) {
        match self.listen.protocol {
            Protocol::Rest => Box::pin(rest::serve(self, gateway, line, stream, stop)).await,
            Protocol::Grpc => Box::pin(grpc::serve(self, gateway, line, stream, stop)).await,
        }
    }
}

/// A connection's place among those that stand.
struct Stands(Rc<Calls>, u64);

impl Drop for Stands {
    fn drop(&mut self) {
        self.0.stand.borrow_mut().remove(&self.1);
    }
}
