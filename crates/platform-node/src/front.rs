//! Clients: the listener, one task for each connection, and the answers on their way back.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, HashMap, HashSet, VecDeque};
use std::io::{Read, Write};
use std::net::{Shutdown, TcpListener};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use async_io::{Async, Timer};
use cedarpulley::interface::Micros;
use cedarpulley_gateway::net::{Bell, Stream};
use cedarpulley_platform::clients::{self, Call, MOST_AHEAD, Reader, Request, Terms, What, Wrong};
use cedarpulley_platform::doorkeeper::{CallerIx, Doorkeeper};
use cedarpulley_router::{Answer, Delivery, Fate, Input, Payload, Taken};
use futures_lite::FutureExt;

use crate::node::Node;

/// One piece read at a time, into a buffer that all connections share.
const PIECE: usize = 64 << 10;
/// Whole requests kept ahead of an answer; more stay in the kernel until there is room.
const MOST_REQUESTS: usize = 8;
/// When no connection can be accepted for want of descriptors, it is tried again so much later.
const ACCEPT_PAUSE: Duration = Duration::from_millis(10);
/// What a refused client still sends is read away up to here, so that the refusal is not lost to a reset.
const READ_AWAY: usize = 80 << 20;
const LINGER: Duration = Duration::from_millis(1500);

struct Caller {
    ix: CallerIx,
    stream: Stream,
    /// Rung when an answer has come or the connection is to go.
    bell: Bell,
    answer: RefCell<Option<Reply>>,
    turned_out: Cell<bool>,
}

struct Reply {
    status: u16,
    return_after: Option<Micros>,
    body: bytes::Bytes,
}

struct Owed {
    caller: Rc<Caller>,
    id: Arc<str>,
}

pub struct Front {
    terms: Terms,
    door: RefCell<Doorkeeper>,
    callers: RefCell<HashMap<CallerIx, Rc<Caller>>>,
    owed: RefCell<HashMap<u64, Owed>>,
    ids: RefCell<HashSet<Arc<str>>>,
    last_tag: Cell<u64>,
    piece: RefCell<Vec<u8>>,
    refused: RefCell<BTreeMap<Wrong, u64>>,
}

/// Requests sent ahead of an answer, each with the time at which its last byte came: what it waits here counts.
#[derive(Default)]
struct Ahead {
    reader: Reader,
    whole: VecDeque<(Result<Request, Wrong>, Micros)>,
    read_at: Micros,
}

impl Ahead {
    fn put(&mut self, now: Micros, bytes: &[u8], terms: &Terms) {
        self.reader.put(bytes);
        self.read_at = now;
        self.fill(terms);
    }

    fn fill(&mut self, terms: &Terms) {
        while self.whole.len() < MOST_REQUESTS {
            match self.reader.next(terms) {
                Ok(Some(request)) => self.whole.push_back((Ok(request), self.read_at)),
                Ok(None) => return,
                Err(wrong) => return self.whole.push_back((Err(wrong), self.read_at)),
            }
        }
    }

    fn take(&mut self, terms: &Terms) -> Option<(Result<Request, Wrong>, Micros)> {
        let first = self.whole.pop_front()?;
        if first.0.is_ok() {
            self.fill(terms);
        }
        Some(first)
    }

    /// With as much sent ahead as may be, nothing more is read.
    fn full(&self) -> bool {
        self.whole.len() >= MOST_REQUESTS || self.reader.len() >= MOST_AHEAD
    }
}

enum Came {
    Bytes,
    Rung,
    Ended,
}

impl Front {
    pub fn new(terms: Terms, door: Doorkeeper) -> Self {
        Front {
            terms,
            door: RefCell::new(door),
            callers: RefCell::default(),
            owed: RefCell::default(),
            ids: RefCell::default(),
            last_tag: Cell::new(0),
            piece: RefCell::new(vec![0; PIECE]),
            refused: RefCell::default(),
        }
    }

    pub fn owes(&self) -> bool {
        !self.owed.borrow().is_empty()
    }

    pub fn refused(&self) -> BTreeMap<Wrong, u64> {
        self.refused.borrow().clone()
    }

    /// The core's answer, for whoever waits.
    pub fn answer(&self, node: &Rc<Node>, delivery: Delivery, answer: &Answer) {
        if let Some(owed) = self.owed.borrow_mut().remove(&delivery.tag) {
            self.ids.borrow_mut().remove(&owed.id);
            let status = match answer.fate {
                Fate::Succeeded => 200,
                Fate::Throttled => 503,
                Fate::Errored => 500,
            };
            let reply = Reply { status, return_after: answer.return_after, body: answer.body.bytes.clone() };
            owed.caller.answer.replace(Some(reply));
            owed.caller.bell.ring();
        }
        node.feed(Input::Safe(delivery));
    }

    /// Closes connections whose time is over.
    pub fn sweep(&self, node: &Node) {
        let mut over = self.door.borrow().overdue(node.clock.now());
        if node.refuses() {
            over.extend(self.door.borrow().idle());
        }
        over.into_iter().for_each(|ix| self.turn_out(ix));
    }

    fn turn_out(&self, ix: CallerIx) {
        if let Some(caller) = self.callers.borrow().get(&ix) {
            caller.turned_out.set(true);
            caller.bell.ring();
        }
    }

    /// Takes what has come on this connection, or hears its bell.
    async fn read(&self, node: &Node, caller: &Caller, ahead: &mut Ahead) -> Came {
        loop {
            let rung = async {
                caller.bell.heard().await;
                true
            };
            let readable = async {
                let _ = caller.stream.readable().await;
                false
            };
            if rung.or(readable).await {
                return Came::Rung;
            }
            let mut piece = self.piece.borrow_mut();
            match caller.stream.get_ref().read(&mut piece) {
                Ok(0) => return Came::Ended,
                Ok(n) => {
                    ahead.put(node.clock.now(), &piece[..n], &self.terms);
                    return Came::Bytes;
                }
                Err(e) if e.kind() == std::io::ErrorKind::WouldBlock => {}
                Err(e) if e.kind() == std::io::ErrorKind::Interrupted => {}
                Err(_) => return Came::Ended,
            }
        }
    }

    /// Writes all of it; false if the client is gone or was turned out meanwhile.
    async fn write(&self, caller: &Caller, mut bytes: &[u8]) -> bool {
        while !bytes.is_empty() {
            match caller.stream.get_ref().write(bytes) {
                Ok(n) => bytes = &bytes[n..],
                Err(e) if e.kind() == std::io::ErrorKind::Interrupted => {}
                Err(e) if e.kind() == std::io::ErrorKind::WouldBlock => {
                    let rung = async {
                        caller.bell.heard().await;
                    };
                    let writable = async {
                        let _ = caller.stream.writable().await;
                    };
                    rung.or(writable).await;
                    if caller.turned_out.get() {
                        return false;
                    }
                }
                Err(_) => return false,
            }
        }
        true
    }

    /// A refusal before the core; whatever the client still sends is read away for a while.
    async fn refuse(&self, node: &Node, caller: &Caller, wrong: Wrong) {
        *self.refused.borrow_mut().entry(wrong).or_default() += 1;
        self.last_words(node, caller, wrong.status(), None).await;
    }

    async fn last_words(&self, node: &Node, caller: &Caller, status: u16, return_after: Option<Micros>) {
        self.door.borrow_mut().answering(node.clock.now(), caller.ix);
        let mut bytes = Vec::new();
        clients::answer(&mut bytes, status, return_after, b"", true);
        if !self.write(caller, &bytes).await || caller.stream.get_ref().shutdown(Shutdown::Write).is_err() {
            return;
        }
        let read_away = async {
            let mut left = READ_AWAY;
            while left > 0 {
                let _ = caller.stream.readable().await;
                let read = caller.stream.get_ref().read(&mut self.piece.borrow_mut());
                match read {
                    Ok(0) => return,
                    Ok(n) => left = left.saturating_sub(n),
                    Err(e) if e.kind() == std::io::ErrorKind::WouldBlock => {}
                    Err(_) => return,
                }
                // Others come between two pieces of a flood.
                futures_lite::future::yield_now().await;
            }
        };
        let late = async {
            Timer::after(LINGER).await;
        };
        read_away.or(late).await;
    }

    /// One request to the core, and its answer back; false when the connection is over.
    async fn serve(
        &self,
        node: &Rc<Node>,
        caller: &Rc<Caller>,
        ahead: &mut Ahead,
        call: Call,
        came: Micros,
        close: bool,
    ) -> bool {
        self.last_tag.set(self.last_tag.get() + 1);
        let delivery = Delivery { front: 0, life: 0, tag: self.last_tag.get() };
        if !self.ids.borrow_mut().insert(call.id.clone()) {
            self.refuse(node, caller, Wrong::InUse).await;
            return false;
        }
        self.owed.borrow_mut().insert(delivery.tag, Owed { caller: caller.clone(), id: call.id.clone() });
        node.feed(Input::Taken(Taken {
            delivery,
            identity: None,
            mark: Some(call.id),
            redelivered: false,
            repeat: false,
            trigger: call.trigger,
            account: call.account,
            function: call.function,
            token: call.token,
            waited: node.clock.now() - came,
            client_timeout: call.wait,
            cost_hint: call.cost_hint,
            load_hint: call.load_hint,
            copy_mb: call.copy_mb,
            lanes: call.lanes,
            body: Payload::from(call.body),
        }));
        let reply = loop {
            if let Some(reply) = caller.answer.take() {
                break reply;
            }
            // With as much sent ahead as may be, only the answer is waited for.
            let came = if ahead.full() {
                caller.bell.heard().await;
                Came::Rung
            } else {
                self.read(node, caller, ahead).await
            };
            if let Came::Ended = came
                && caller.answer.borrow().is_none()
            {
                let left = self.owed.borrow_mut().remove(&delivery.tag);
                if let Some(left) = left {
                    self.ids.borrow_mut().remove(&left.id);
                    node.feed(Input::Departed(delivery));
                }
                return false;
            }
        };
        // What was sent ahead is owed an answer, too.
        let close = close || node.stopping() && ahead.whole.is_empty();
        self.door.borrow_mut().answering(node.clock.now(), caller.ix);
        let mut bytes = Vec::with_capacity(reply.body.len() + 128);
        clients::answer(&mut bytes, reply.status, reply.return_after, &reply.body, close);
        if !self.write(caller, &bytes).await {
            return false;
        }
        self.door.borrow_mut().answered(node.clock.now(), caller.ix);
        !close
    }

    async fn attend(&self, node: &Rc<Node>, caller: &Rc<Caller>) {
        let mut ahead = Ahead::default();
        loop {
            let Some((next, came)) = ahead.take(&self.terms) else {
                if ahead.reader.midway() {
                    self.door.borrow_mut().began(node.clock.now(), caller.ix);
                }
                match self.read(node, caller, &mut ahead).await {
                    Came::Ended => return,
                    Came::Rung if caller.turned_out.get() => return,
                    Came::Rung | Came::Bytes => continue,
                }
            };
            let request = match next {
                Ok(request) => request,
                Err(wrong) => return self.refuse(node, caller, wrong).await,
            };
            self.door.borrow_mut().whole(node.clock.now(), caller.ix);
            let goes_on = match request.what {
                What::Health => {
                    let mut bytes = Vec::new();
                    let status = if node.stopping() { 503 } else { 200 };
                    clients::answer(&mut bytes, status, None, b"", request.close);
                    let written = self.write(caller, &bytes).await;
                    self.door.borrow_mut().answered(node.clock.now(), caller.ix);
                    written && !request.close
                }
                What::Call(_) if node.refuses() => {
                    return self.last_words(node, caller, 503, None).await;
                }
                What::Call(call) => self.serve(node, caller, &mut ahead, call, came, request.close).await,
            };
            if !goes_on {
                return;
            }
        }
    }
}

pub async fn accept(node: Rc<Node>, listener: Async<TcpListener>) {
    loop {
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(e) => {
                tracing::warn!("no connection accepted: {e}");
                Timer::after(ACCEPT_PAUSE).await;
                continue;
            }
        };
        let _ = stream.get_ref().set_nodelay(true);
        let came = node.front.door.borrow_mut().came(node.clock.now());
        let Some((ix, out)) = came else {
            // All that are here are owed an answer. The refusal is short enough for any socket's buffer.
            let mut bytes = Vec::new();
            clients::answer(&mut bytes, 503, None, b"", true);
            let _ = stream.get_ref().write(&bytes);
            continue;
        };
        if let Some(out) = out {
            node.front.turn_out(out);
        }
        let caller = Rc::new(Caller {
            ix,
            stream,
            bell: Bell::default(),
            answer: RefCell::new(None),
            turned_out: Cell::new(false),
        });
        node.front.callers.borrow_mut().insert(ix, caller.clone());
        let it = node.clone();
        node.executor
            .spawn(async move {
                it.front.attend(&it, &caller).await;
                it.front.door.borrow_mut().left(ix);
                it.front.callers.borrow_mut().remove(&ix);
            })
            .detach();
    }
}
