//! Clients: the listener, one task for each connection, and the answers on their way back.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, HashMap, HashSet};
use std::io::{ErrorKind, Write};
use std::net::{Shutdown, TcpListener};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use async_io::{Async, Timer};
use bytes::Bytes;
use cedarpulley::interface::Micros;
use cedarpulley_net::{Bell, Stream};
use cedarpulley_platform::clients::{
    self, Ahead, Call, MOST_READ_AWAY, REFUSED, Request, Terms, What, Wrong,
};
use cedarpulley_platform::doorkeeper::{CallerIx, Doorkeeper};
use cedarpulley_router::{Answer, Delivery, Input, Payload, Taken};
use futures_lite::FutureExt;
use futures_lite::future::yield_now;

use crate::node::{Had, Node};

/// When no connection can be accepted for want of descriptors, it is tried again so much later.
const ACCEPT_PAUSE: Duration = Duration::from_millis(10);

struct Caller {
    ix: CallerIx,
    stream: Stream,
    /// Rung when an answer has come or the connection is to go.
    bell: Bell,
    answer: RefCell<Option<Answer>>,
    turned_out: Cell<bool>,
}

impl Caller {
    /// Until there is something to read, or its bell is rung.
    async fn stirs(&self) {
        let readable = async {
            let _ = self.stream.readable().await;
        };
        self.bell.heard().or(readable).await;
    }

    /// Writes all of it; false if the client is gone or was turned out meanwhile.
    async fn write(&self, mut bytes: &[u8]) -> bool {
        while !bytes.is_empty() {
            match self.stream.get_ref().write(bytes) {
                Ok(0) => return false,
                Ok(n) => bytes = &bytes[n..],
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Err(e) if e.kind() == ErrorKind::WouldBlock && !self.turned_out.get() => {
                    let writable = async {
                        let _ = self.stream.writable().await;
                    };
                    self.bell.heard().or(writable).await;
                }
                Err(_) => return false,
            }
        }
        true
    }
}

struct Owed {
    caller: Rc<Caller>,
    id: Arc<str>,
}

/// What goes back: a status, when to come again, a body.
type Reply = (u16, Option<Micros>, Bytes);

pub struct Front {
    terms: Terms,
    door: RefCell<Doorkeeper>,
    callers: RefCell<HashMap<CallerIx, Rc<Caller>>>,
    owed: RefCell<HashMap<u64, Owed>>,
    ids: RefCell<HashSet<Arc<str>>>,
    last_tag: Cell<u64>,
    refused: RefCell<BTreeMap<Wrong, u64>>,
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
            refused: RefCell::default(),
        }
    }

    /// Nobody is reading or writing its books.
    pub fn is_shut(&self) -> bool {
        let books = (self.owed.try_borrow_mut(), self.ids.try_borrow_mut(), self.door.try_borrow_mut());
        books.0.is_ok() && books.1.is_ok() && books.2.is_ok()
    }

    pub fn owes(&self) -> bool {
        self.door.borrow().owes()
    }

    /// Connections there are and that were turned out, and requests refused before the core, by cause.
    pub fn counts(&self) -> (usize, u64, BTreeMap<Wrong, u64>) {
        let door = self.door.borrow();
        (door.count(), door.turned_out, self.refused.borrow().clone())
    }

    /// The core's answer, for whoever waits.
    pub fn answer(&self, node: &Rc<Node>, delivery: Delivery, answer: Answer) {
        if let Some(caller) = self.settled(delivery) {
            caller.answer.replace(Some(answer));
            caller.bell.ring();
        }
        node.feed(Input::Safe(delivery));
    }

    /// Nothing is owed for it any more; whoever waits for it.
    fn settled(&self, delivery: Delivery) -> Option<Rc<Caller>> {
        let owed = self.owed.borrow_mut().remove(&delivery.tag)?;
        self.ids.borrow_mut().remove(&owed.id);
        Some(owed.caller)
    }

    /// Closes connections whose time is over.
    pub fn sweep(&self, node: &Node) {
        let now = node.clock.now();
        let mut over = self.door.borrow().overdue(now);
        if !node.stopping.borrow().takes(now) {
            // What has come and is not read yet is taken all the same.
            let silent = |ix: &CallerIx| {
                let callers = self.callers.borrow();
                callers.get(ix).is_some_and(|c| !c.stream.get_ref().peek(&mut [0]).is_ok_and(|n| n > 0))
            };
            over.extend(self.door.borrow().idle().into_iter().filter(silent));
        }
        over.into_iter().for_each(|ix| self.turn_out(ix));
    }

    fn turn_out(&self, ix: CallerIx) {
        if let Some(caller) = self.callers.borrow().get(&ix) {
            caller.turned_out.set(true);
            caller.bell.ring();
        }
    }

    /// Waits for what comes on this connection, or for its bell; false once the client is gone.
    async fn more(&self, node: &Node, caller: &Caller, ahead: &mut Ahead) -> bool {
        // With as much sent ahead as may be, only the bell is waited for.
        if ahead.full() {
            caller.bell.heard().await;
            return true;
        }
        caller.stirs().await;
        let read = |bytes: &[u8]| ahead.put(node.clock.now(), bytes, &self.terms);
        !matches!(node.read(&caller.stream, read), Had::Ended)
    }

    /// The next request and when its last byte came; none once the client is gone or turned out.
    async fn next(
        &self,
        node: &Node,
        caller: &Caller,
        ahead: &mut Ahead,
    ) -> Option<(Result<Request, Wrong>, Micros)> {
        loop {
            if caller.turned_out.get() {
                return None;
            }
            if let Some(next) = ahead.take(&self.terms) {
                return Some(next);
            }
            if ahead.midway() {
                self.door.borrow_mut().began(node.clock.now(), caller.ix);
            }
            if !self.more(node, caller, ahead).await {
                return None;
            }
        }
    }

    /// Writes an answer; after the last one, what the client still sends is read away for a while, so that
    /// the answer is not lost to a reset. True if the connection goes on.
    async fn reply(&self, node: &Node, caller: &Caller, (status, wait, body): Reply, close: bool) -> bool {
        self.door.borrow_mut().answering(node.clock.now(), caller.ix);
        let mut bytes = Vec::new();
        clients::answer(&mut bytes, status, wait, &body, close);
        if !caller.write(&bytes).await {
            return false;
        }
        if !close {
            self.door.borrow_mut().answered(node.clock.now(), caller.ix);
            return true;
        }
        self.door.borrow_mut().leaving(node.clock.now(), caller.ix);
        let mut left = caller.stream.get_ref().shutdown(Shutdown::Write).map_or(0, |()| MOST_READ_AWAY);
        while left > 0 && !caller.turned_out.get() {
            caller.stirs().await;
            left = match node.read(&caller.stream, <[u8]>::len) {
                Had::Bytes(n) => left.saturating_sub(n),
                Had::Nothing => left,
                Had::Ended => 0,
            };
            // Others come between two pieces of a flood.
            yield_now().await;
        }
        false
    }

    /// One request to the core; its answer, or none once the client is gone.
    async fn serve(
        &self,
        node: &Rc<Node>,
        caller: &Rc<Caller>,
        ahead: &mut Ahead,
        call: Call,
        came: Micros,
    ) -> Option<Answer> {
        self.last_tag.set(self.last_tag.get() + 1);
        let delivery = Delivery { front: 0, life: 0, tag: self.last_tag.get() };
        let id = call.id.clone();
        self.ids.borrow_mut().insert(id.clone());
        self.owed.borrow_mut().insert(delivery.tag, Owed { caller: caller.clone(), id: id.clone() });
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
            session: None,
            named: None,
            prefers: None,
            refused: None,
            body: Payload::from(call.body),
        }));
        loop {
            if let Some(answer) = caller.answer.take() {
                return Some(answer);
            }
            if self.more(node, caller, ahead).await {
                continue;
            }
            // Symptom: a client says that it sends nothing more, and of the same wake-up its answer lies unread on
            // another connection; told of the leaving first, the core calls the dispatch back, answered as it is.
            node.links.hear_of(node, &id);
            // Symptom: others are answered while this one's leaving is told, with the books still held open.
            if self.settled(delivery).is_some() {
                node.feed(Input::Departed(delivery));
            }
            // Answered while its client was closing: what has come is still written.
            return caller.answer.take();
        }
    }

    async fn attend(&self, node: &Rc<Node>, caller: &Rc<Caller>) {
        let mut ahead = Ahead::default();
        while let Some((next, came)) = self.next(node, caller, &mut ahead).await {
            self.door.borrow_mut().whole(node.clock.now(), caller.ix);
            let in_use = |c: &Call| self.ids.borrow().contains(&c.id);
            let request = match next {
                Ok(Request { what: What::Call(call), .. }) if in_use(&call) => Err(Wrong::InUse),
                next => next,
            };
            let stops = node.stopping.borrow().stops();
            let (reply, asked) = match request {
                Err(wrong) => {
                    *self.refused.borrow_mut().entry(wrong).or_default() += 1;
                    self.reply(node, caller, (wrong.status(), None, Bytes::new()), true).await;
                    return;
                }
                Ok(Request { what: What::Health, close }) => {
                    ((clients::health(stops), None, Bytes::new()), close)
                }
                Ok(Request { what: What::Call(_), close }) if !node.stopping.borrow().takes(came) => {
                    ((REFUSED, None, Bytes::new()), close)
                }
                Ok(Request { what: What::Call(call), close }) => {
                    let Some(a) = self.serve(node, caller, &mut ahead, call, came).await else { return };
                    ((clients::status(a.fate), a.return_after, a.body.bytes), close)
                }
            };
            // What was sent ahead is owed an answer, too.
            let close = asked || node.stopping.borrow().stops() && !ahead.any();
            if !self.reply(node, caller, reply, close).await {
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
            clients::answer(&mut bytes, REFUSED, None, b"", true);
            let _ = stream.get_ref().write(&bytes);
            continue;
        };
        let caller = Rc::new(Caller {
            ix,
            stream,
            bell: Bell::default(),
            answer: RefCell::new(None),
            turned_out: Cell::new(false),
        });
        node.front.callers.borrow_mut().insert(ix, caller.clone());
        let it = node.clone();
        let attended = async move {
            it.front.attend(&it, &caller).await;
            it.front.door.borrow_mut().left(ix);
            it.front.callers.borrow_mut().remove(&ix);
        };
        node.executor.spawn(attended).detach();
        if let Some(out) = out {
            node.front.turn_out(out);
            // Its descriptor is free again before the next one is accepted.
            yield_now().await;
        }
    }
}
