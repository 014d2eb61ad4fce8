//! What the fronts have in common whose clients call: who is at the door, who waits for which answer, and what of
//! the answers has not been read yet. The protocols are in `rest.rs` and `grpc.rs`, connections come from
//! `listen.rs`; whether a request may come in the core decides (`cedarpulley_router::entry`).

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
use cedarpulley_kserve::sequences;
use cedarpulley_kserve::serving::{self, Misunderstood};
use cedarpulley_net::{Bell, micros};
use cedarpulley_router::entry::{Entry, Knock};
use cedarpulley_router::{Answer, Delivery, FrontIx, Input, Payload, Session, Taken};
use futures_lite::FutureExt;
use http_body_util::BodyExt;
use hyper::body::{Body, Frame, Incoming, SizeHint};
use hyper::{HeaderMap, Response};
use smol::channel::{Sender, bounded};

use crate::context::GatewayContext;

/// A body comes whole within this time of its head.
const BODY_WITHIN: Micros = 10_000_000;
/// An answer is handed to the connection in pieces of this size, so that little is copied for who does not read.
const PIECE: usize = 64 * 1024;
/// By which logs of clients, routers and workers are held against each other.
const REQUEST_ID: &str = "x-request-id";

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

    pub fn speaks_for(&self, account: u32) {
        self.account.set(Some(account));
    }
}

/// What all such fronts share.
pub struct Hall {
    /// Of answers that callers have not taken yet.
    pub unread_bytes: Cell<u64>,
    /// Which functions the core knows.
    pub functions: Box<dyn Fn() -> Vec<String>>,
}

pub struct Calls {
    pub ix: FrontIx,
    pub context: Rc<GatewayContext>,
    pub hall: Rc<Hall>,
    pub most_body: u64,
    /// Requests at once on one connection, where the protocol has them.
    pub most_streams: u32,
    grant: Cell<u32>,
    out: Cell<u32>,
    /// With something inside.
    connections: Cell<u32>,
    next: Cell<u64>,
    entry: Cell<Option<Entry>>,
    waiting: RefCell<HashMap<u64, Sender<Answer>>>,
}

/// A request that is inside. Its client may vanish at any moment: then this is dropped, and the core told.
pub struct Open {
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
            line.left_at.set(calls.context.clock.now());
        }
        let input = match self.answered {
            true => Input::Safe(self.delivery),
            false => Input::Departed(self.delivery),
        };
        // Not from within: a drop may come while the core is at work.
        let context = calls.context.clone();
        calls.context.executor.spawn(async move { context.feed(input) }).detach();
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

/// What a request's head says, with all names known; the body comes later.
pub(crate) fn understood(
    calls: &Calls,
    line: &Line,
    headers: &HeaderMap,
    function: String,
) -> Result<Taken, Misunderstood> {
    let context = &calls.context;
    let w = serving::wanted(headers, context.clock.wall())?;
    let unknown = |field, what: &str| Misunderstood { field, cause: format!("'{what}' is unknown") };
    let trigger = context.names.trigger(&w.kind);
    let trigger = trigger.ok_or_else(|| unknown("cedarpulley-trigger-type", &w.kind))?;
    let said = context.names.account(w.account.as_deref());
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
        session: None,
        named: None,
        prefers: None,
        refused: None,
        body: Payload { bytes: Bytes::new(), first: w.json },
    })
}

/// The session that a request's body says, where sessions are told apart.
pub(crate) fn session(calls: &Calls, body: &Payload) -> Result<Option<Session>, sequences::NoSequence> {
    if !calls.context.tracks_sessions {
        return Ok(None);
    }
    let json = body.first.map_or(&body.bytes[..], |n| body.bytes.get(..n as usize).unwrap_or_default());
    let of = |s: sequences::Sequence| Session { id: Arc::from(s.id), start: s.start, end: s.end };
    Ok(sequences::of(json)?.map(of))
}

impl Open {
    /// Hands it to the core and waits for its one answer; absent only by a fault of the core.
    pub async fn answer(mut self, mut taken: Taken) -> Option<(Answer, Unread)> {
        let (answers, answered) = bounded(1);
        self.calls.waiting.borrow_mut().insert(self.delivery.tag, answers);
        taken.waited += self.calls.context.clock.now() - self.began;
        self.calls.context.feed(Input::Taken(taken));
        let answer = answered.recv().await.ok()?;
        self.answered = true;
        let unread = Unread::begin(&self.calls, &self.line, answer.body.len());
        Some((answer, unread))
    }
}

/// An answer on its way to a client: what of it has not gone out counts against what may come in.
pub struct Unread {
    hall: Rc<Hall>,
    line: Rc<Line>,
    bytes: u64,
}

impl Unread {
    fn begin(calls: &Rc<Calls>, line: &Rc<Line>, bytes: usize) -> Self {
        calls.hall.unread_bytes.set(calls.hall.unread_bytes.get() + bytes as u64);
        line.unread.set(line.unread.get() + 1);
        Unread { hall: calls.hall.clone(), line: line.clone(), bytes: bytes as u64 }
    }

    fn went(&mut self, bytes: usize) {
        let went = self.bytes.min(bytes as u64);
        self.bytes -= went;
        self.hall.unread_bytes.set(self.hall.unread_bytes.get().saturating_sub(went));
    }
}

impl Drop for Unread {
    fn drop(&mut self) {
        self.went(usize::MAX);
        self.line.unread.set(self.line.unread.get().saturating_sub(1));
    }
}

pub(crate) type Reply = Response<Told>;

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

impl Calls {
    pub fn new(
        ix: FrontIx,
        context: Rc<GatewayContext>,
        hall: Rc<Hall>,
        most_body: u64,
        most_streams: u32,
    ) -> Self {
        Calls {
            ix,
            context,
            hall,
            most_body,
            most_streams,
            grant: Cell::new(0),
            out: Cell::new(0),
            connections: Cell::new(0),
            next: Cell::new(0),
            entry: Cell::new(None),
            waiting: RefCell::default(),
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

    /// Nothing is inside, and all answers have been read, those of the others too.
    pub fn is_drained(&self) -> bool {
        self.out.get() == 0 && self.hall.unread_bytes.get() == 0
    }

    pub fn delivery(&self) -> Delivery {
        let tag = self.next.get();
        self.next.set(tag + 1);
        Delivery { front: self.ix, life: 1, tag }
    }

    /// Asks the core whether this request may come in.
    pub fn knock(self: &Rc<Self>, line: &Rc<Line>, taken: &Taken, bytes: u64) -> Result<Open, Entry> {
        let delivery = taken.delivery;
        let knock = Knock {
            trigger: taken.trigger,
            account: taken.account,
            waited: taken.waited,
            bytes,
            here: line.inside.get(),
            unread: line.unread.get(),
            left: line.left.get().count_ones(),
            left_ago: self.context.clock.now() - line.left_at.get(),
            connections: self.connections.get().max(1),
            unread_bytes: self.hall.unread_bytes.get(),
        };
        self.entry.set(None);
        self.context.feed(Input::Knock { delivery, knock });
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
        let (calls, line) = (self.clone(), line.clone());
        let began = self.context.clock.now();
        Ok(Open { calls, line, delivery, began, answered: false })
    }
}
