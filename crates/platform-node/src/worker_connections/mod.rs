//! Connections to workers: one task for each reads; what is sent is written at once, as far as the kernel
//! takes it. The proof that something never left is the count of bytes that the kernel took.

use std::cell::{Cell, RefCell};
use std::collections::{HashMap, VecDeque};
use std::io::{ErrorKind, Write};
use std::rc::Rc;
use std::sync::Arc;

use cedarpulley::interface::{CopyNote, Micros, Outcome, Report, WorkerIx};
use cedarpulley_net::{Bell, Stream, connect};
use cedarpulley_platform::berths::{Berths, ConnIx, Place};
use cedarpulley_platform::endings::{self, Ended};
use cedarpulley_platform::workers::{self, Answer, LONGEST_ANSWER, Reader};
use cedarpulley_router::core::Call;
use cedarpulley_router::{Input, OrderTicket, Payload, Ticket};
use futures_lite::FutureExt;

use crate::node::{Had, Node, PIECE};

/// Of what lies unread no more is read at once than the longest answer takes, so that a worker that never stops
/// sending holds nobody up.
const MOST_PIECES: usize = LONGEST_ANSWER.div_ceil(PIECE);

#[derive(Clone, Copy)]
enum Kind {
    Dispatch(Ticket),
    Order(OrderTicket),
    Probe(WorkerIx, Micros),
}

struct Exchange {
    kind: Kind,
    /// Whole once the kernel has taken so many bytes of this connection; not begun yet: none.
    whole_at: Option<u64>,
    /// Its answer is of no use after this time; a dispatch is withdrawn by the core.
    until: Micros,
}

/// Something to be written, made when its first byte is due.
enum Letter {
    Call { trigger: u32, function: Arc<str>, waited_until: Micros, call: Call },
    Bytes(Vec<u8>),
}

struct Conn {
    ix: ConnIx,
    stream: RefCell<Option<Rc<Stream>>>,
    /// Not begun yet, each under the id of its exchange if it has one.
    letters: RefCell<VecDeque<(String, Letter)>>,
    /// Begun: what the kernel has not taken of it.
    rest: RefCell<Vec<u8>>,
    written: Cell<u64>,
    out: RefCell<HashMap<String, Exchange>>,
    reader: RefCell<Reader>,
    /// Rung when there is something to write or the connection is to end.
    bell: Bell,
    ends: Cell<bool>,
    /// It ends from here.
    ours: Cell<bool>,
}

impl Conn {
    fn close(&self) {
        self.ours.set(true);
        self.end();
    }

    fn end(&self) {
        self.ends.set(true);
        self.bell.ring();
    }

    fn whole(&self, exchange: &Exchange) -> bool {
        exchange.whole_at.is_some_and(|at| at <= self.written.get())
    }

    /// Until there is something to read or room to write, or its bell is rung.
    async fn stirs(&self, stream: &Stream) {
        let readable = async {
            let _ = stream.readable().await;
        };
        let stirs = self.bell.heard().or(readable);
        if self.rest.borrow().is_empty() {
            return stirs.await;
        }
        let writable = async {
            let _ = stream.writable().await;
        };
        stirs.or(writable).await;
    }
}

pub struct Links {
    berths: RefCell<Berths>,
    connect_within: Micros,
    conns: RefCell<HashMap<ConnIx, Rc<Conn>>>,
    /// Where each dispatch is out, and under which id.
    dispatches: RefCell<HashMap<Ticket, (ConnIx, String)>>,
    last_tag: Cell<u64>,
}

impl Links {
    pub fn new(berths: Berths, connect_within: Micros) -> Self {
        Links {
            berths: RefCell::new(berths),
            connect_within,
            conns: RefCell::default(),
            dispatches: RefCell::default(),
            last_tag: Cell::new(0),
        }
    }

    /// Things for which no connection was left.
    pub fn full(&self) -> u64 {
        self.berths.borrow().full
    }

    /// Nobody is reading or writing its books.
    pub fn is_shut(&self) -> bool {
        let books =
            (self.berths.try_borrow_mut(), self.conns.try_borrow_mut(), self.dispatches.try_borrow_mut());
        books.0.is_ok() && books.1.is_ok() && books.2.is_ok()
    }

    fn tag(&self) -> String {
        self.last_tag.set(self.last_tag.get() + 1);
        format!("t{}", self.last_tag.get())
    }

    pub fn call(
        &self,
        node: &Rc<Node>,
        ticket: Ticket,
        worker: WorkerIx,
        function: Arc<str>,
        trigger: u32,
        call: Call,
    ) {
        let id = call.mark.as_deref().unwrap_or("").to_owned();
        let waited_until = node.clock.now() + call.waited_for;
        let letter = Letter::Call { trigger, function, waited_until, call };
        self.post(node, worker, id, Kind::Dispatch(ticket), Micros::MAX, letter);
    }

    pub fn order(&self, node: &Rc<Node>, ticket: OrderTicket, function: &str, copies: u32, within: Micros) {
        let (tag, mut bytes) = (self.tag(), Vec::new());
        workers::load(&mut bytes, &tag, function, copies);
        let until = node.clock.now() + within;
        self.post(node, ticket.worker, tag, Kind::Order(ticket), until, Letter::Bytes(bytes));
    }

    pub fn probe(&self, node: &Rc<Node>, worker: WorkerIx) {
        let (tag, mut bytes, now) = (self.tag(), Vec::new(), node.clock.now());
        workers::probe(&mut bytes, &tag);
        let (kind, until) = (Kind::Probe(worker, now), now + self.connect_within);
        self.post(node, worker, tag, kind, until, Letter::Bytes(bytes));
    }

    /// No answer comes, and nobody waits for one.
    pub fn unload(&self, node: &Rc<Node>, worker: WorkerIx, function: &str) {
        let mut bytes = Vec::new();
        workers::unload(&mut bytes, function);
        if let Ok(conn) = self.conn(node, worker) {
            conn.letters.borrow_mut().push_back((String::new(), Letter::Bytes(bytes)));
            self.push(node, &conn);
            self.berths.borrow_mut().ended(node.clock.now(), conn.ix, true);
        }
    }

    fn post(&self, node: &Rc<Node>, worker: WorkerIx, id: String, kind: Kind, until: Micros, letter: Letter) {
        let conn = match self.conn(node, worker) {
            Ok(conn) => conn,
            Err(ended) => return tell(node, kind, ended, None),
        };
        if let Kind::Dispatch(ticket) = kind {
            self.dispatches.borrow_mut().insert(ticket, (conn.ix, id.clone()));
        }
        conn.out.borrow_mut().insert(id.clone(), Exchange { kind, whole_at: None, until });
        conn.letters.borrow_mut().push_back((id, letter));
        self.push(node, &conn);
    }

    /// The connection for one more thing, which counts as out there; or what became of it without one.
    fn conn(&self, node: &Rc<Node>, worker: WorkerIx) -> Result<Rc<Conn>, Ended> {
        let place = self.berths.borrow_mut().place(node.clock.now(), worker);
        match place {
            Place::On(ix) => self.conns.borrow().get(&ix).cloned().ok_or(Ended::Unsent),
            Place::Open(ix) => self.open(node, ix, worker).ok_or(Ended::Unreached),
            Place::Full => Err(Ended::HeldBack),
        }
    }

    fn open(&self, node: &Rc<Node>, ix: ConnIx, worker: WorkerIx) -> Option<Rc<Conn>> {
        let Some(address) = node.address(worker) else {
            self.berths.borrow_mut().closed(ix);
            return None;
        };
        let conn = Rc::new(Conn {
            ix,
            stream: RefCell::new(None),
            letters: RefCell::default(),
            rest: RefCell::default(),
            written: Cell::new(0),
            out: RefCell::default(),
            reader: RefCell::default(),
            bell: Bell::default(),
            ends: Cell::new(false),
            ours: Cell::new(false),
        });
        self.conns.borrow_mut().insert(ix, conn.clone());
        let (it, kept) = (node.clone(), conn.clone());
        let held = async move {
            let up = async { connect(address, None, it.links.connect_within).await.ok() };
            let called_off = async {
                while !kept.ends.get() {
                    kept.bell.heard().await;
                }
                None
            };
            let Some(stream) = up.or(called_off).await else {
                return it.links.over(&it, &kept, Ended::Unreached);
            };
            kept.stream.replace(Some(Rc::new(stream)));
            it.links.berths.borrow_mut().opened(ix);
            it.links.write(&it, &kept);
            it.links.listen(&it, &kept).await;
            it.links.over(&it, &kept, Ended::Unsent);
        };
        node.executor.spawn(held).detach();
        Some(conn)
    }

    /// Writes what waits, as far as the kernel takes it; the connection's task goes on with the rest.
    fn push(&self, node: &Rc<Node>, conn: &Rc<Conn>) {
        self.write(node, conn);
        if !conn.rest.borrow().is_empty() {
            conn.bell.ring();
        }
    }

    /// The same of the connection's own task, which then waits for room. Symptom: it rang its own bell, heard that
    /// at once, and went round for as long as a worker read nothing, with all else at a standstill.
    fn write(&self, node: &Rc<Node>, conn: &Rc<Conn>) {
        let Some(stream) = conn.stream.borrow().clone() else { return };
        while !conn.ends.get() {
            if conn.rest.borrow().is_empty() {
                let letter = conn.letters.borrow_mut().pop_front();
                let Some((id, letter)) = letter else { return };
                if !self.begin(node, conn, &id, letter) {
                    continue;
                }
            }
            let taken = stream.get_ref().write(&conn.rest.borrow());
            match taken {
                Ok(0) => return conn.end(),
                Ok(n) => {
                    conn.rest.borrow_mut().drain(..n);
                    conn.written.set(conn.written.get() + n as u64);
                }
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Err(e) if e.kind() == ErrorKind::WouldBlock => return,
                Err(_) => return conn.end(),
            }
        }
    }

    /// Makes the bytes of a letter whose turn has come; false if it is held back.
    fn begin(&self, node: &Rc<Node>, conn: &Rc<Conn>, id: &str, letter: Letter) -> bool {
        let kind = conn.out.borrow().get(id).map(|e| e.kind);
        let time_left = match &letter {
            Letter::Call { waited_until, .. } => waited_until - node.clock.now(),
            Letter::Bytes(_) => Micros::MAX,
        };
        let may_leave = match kind {
            Some(Kind::Dispatch(ticket)) => time_left > 0 && node.may_leave(ticket),
            Some(Kind::Order(ticket)) => node.order_may_leave(ticket),
            // Something is taken back, unloaded or asked.
            Some(Kind::Probe(..)) | None => true,
        };
        if !may_leave {
            self.ended(node, conn, id, Ended::HeldBack, None);
            return false;
        }
        let bytes = match letter {
            Letter::Bytes(bytes) => bytes,
            Letter::Call { trigger, function, call, .. } => {
                let trigger = node.names.triggers.get(trigger as usize).map_or("", String::as_str);
                let (token, body) = (call.token.as_deref(), &call.body.bytes);
                let mut bytes = Vec::new();
                let line = workers::Call { id, trigger, function: &function, time_left, token, body };
                workers::call(&mut bytes, &line);
                bytes
            }
        };
        if let Some(exchange) = conn.out.borrow_mut().get_mut(id) {
            exchange.whole_at = Some(conn.written.get() + bytes.len() as u64);
        }
        conn.rest.replace(bytes);
        true
    }

    /// Reads answers until the connection ends.
    async fn listen(&self, node: &Rc<Node>, conn: &Rc<Conn>) {
        let Some(stream) = conn.stream.borrow().clone() else { return };
        while !conn.ends.get() {
            conn.stirs(&stream).await;
            self.write(node, conn);
            if conn.ends.get() {
                return;
            }
            if let Had::Ended = self.read(node, conn, &stream) {
                return;
            }
        }
    }

    /// Reads one piece, if there is one.
    fn read(&self, node: &Rc<Node>, conn: &Rc<Conn>, stream: &Stream) -> Had<()> {
        let had = node.read(stream, |bytes| conn.reader.borrow_mut().put(bytes));
        if let Had::Bytes(()) = had {
            self.hear(node, conn);
        }
        had
    }

    /// Reads what lies unread where this invocation is out. That a connection has ended is left to its own
    /// task to find again.
    pub fn hear_of(&self, node: &Rc<Node>, id: &str) {
        let carries = |c: &&Rc<Conn>| c.out.borrow().contains_key(id);
        let on: Vec<Rc<Conn>> = self.conns.borrow().values().filter(carries).cloned().collect();
        for conn in on {
            let Some(stream) = conn.stream.borrow().clone() else { continue };
            for _ in 0..MOST_PIECES {
                let waits = !conn.ends.get() && conn.out.borrow().contains_key(id);
                if !waits || !matches!(self.read(node, &conn, &stream), Had::Bytes(())) {
                    break;
                }
            }
        }
    }

    /// What has come so far.
    fn hear(&self, node: &Rc<Node>, conn: &Rc<Conn>) {
        loop {
            let next = conn.reader.borrow_mut().next(&node.fields);
            match next {
                Ok(Some(answer)) => {
                    // Nobody can have answered what has not left whole.
                    if conn.out.borrow().get(&answer.id).is_some_and(|e| !conn.whole(e)) {
                        return conn.close();
                    }
                    // Under an unknown id: late, a second copy or ahead of its time. It is read past.
                    let id = answer.id.clone();
                    self.ended(node, conn, &id, Ended::Answered(answer.word), Some(answer));
                }
                Ok(None) => {
                    let now = node.clock.now();
                    let midway = conn.reader.borrow().midway();
                    return self.berths.borrow_mut().heard(now, conn.ix, midway);
                }
                Err(garbled) => {
                    tracing::debug!(?garbled, "a worker's answer cannot be read");
                    return conn.close();
                }
            }
        }
    }

    /// One thing on a connection has ended.
    fn ended(&self, node: &Rc<Node>, conn: &Conn, id: &str, ended: Ended, answer: Option<Answer>) {
        let Some(exchange) = conn.out.borrow_mut().remove(id) else { return };
        if let Kind::Dispatch(ticket) = exchange.kind {
            self.dispatches.borrow_mut().remove(&ticket);
        }
        let kept = answer.is_some() || ended == Ended::HeldBack;
        if self.berths.borrow_mut().ended(node.clock.now(), conn.ix, kept) {
            conn.close();
        }
        tell(node, exchange.kind, ended, answer);
    }

    /// The connection is over; so is all that was on it.
    fn over(&self, node: &Rc<Node>, conn: &Conn, unsent: Ended) {
        match conn.ours.get() {
            true => self.berths.borrow_mut().closed(conn.ix),
            false => self.berths.borrow_mut().broke(node.clock.now(), conn.ix),
        }
        self.conns.borrow_mut().remove(&conn.ix);
        conn.ends.set(true);
        conn.stream.replace(None);
        let out: Vec<Exchange> = conn.out.borrow_mut().drain().map(|(_, exchange)| exchange).collect();
        for exchange in out {
            if let Kind::Dispatch(ticket) = exchange.kind {
                self.dispatches.borrow_mut().remove(&ticket);
            }
            tell(node, exchange.kind, if conn.whole(&exchange) { Ended::Broken } else { unsent }, None);
        }
    }

    /// The core has given this dispatch up.
    pub fn withdraw(&self, node: &Rc<Node>, ticket: Ticket) {
        let Some((ix, id)) = self.dispatches.borrow_mut().remove(&ticket) else { return };
        let Some(conn) = self.conns.borrow().get(&ix).cloned() else { return };
        let Some(exchange) = conn.out.borrow_mut().remove(&id) else { return };
        let began = exchange.whole_at.is_some();
        if began && !conn.whole(&exchange) {
            // A part of it has left: it must never become whole.
            return conn.close();
        }
        if began {
            let mut bytes = Vec::new();
            workers::withdraw(&mut bytes, &id);
            conn.letters.borrow_mut().push_back((String::new(), Letter::Bytes(bytes)));
            self.push(node, &conn);
        } else {
            conn.letters.borrow_mut().retain(|(of, _)| *of != id);
        }
        if self.berths.borrow_mut().ended(node.clock.now(), ix, !began) {
            conn.close();
        }
    }

    /// Nothing more goes to this worker's connections of now.
    pub fn retire(&self, worker: WorkerIx) {
        self.berths.borrow_mut().retire(worker);
    }

    /// Closes connections whose time is over, and ends what is no longer waited for.
    pub fn sweep(&self, node: &Rc<Node>) {
        let now = node.clock.now();
        let conns: Vec<Rc<Conn>> = self.conns.borrow().values().cloned().collect();
        for conn in conns {
            let late = |(id, e): (&String, &Exchange)| (now > e.until).then(|| id.clone());
            let over: Vec<String> = conn.out.borrow().iter().filter_map(late).collect();
            over.iter().for_each(|id| self.ended(node, &conn, id, Ended::Broken, None));
        }
        let stale = self.berths.borrow().stale(now);
        stale.iter().filter_map(|ix| self.conns.borrow().get(ix).cloned()).for_each(|conn| conn.close());
    }
}

/// Tells the core how something ended.
fn tell(node: &Rc<Node>, kind: Kind, ended: Ended, answer: Option<Answer>) {
    let report = answer.as_ref().map_or(Report::default(), |a| a.report);
    match kind {
        Kind::Dispatch(ticket) => {
            let outcome = endings::dispatch(ended);
            let told = node.crowds && matches!(outcome, Outcome::Succeeded | Outcome::Throttled);
            let crowd = answer.as_ref().filter(|_| told).map(|a| a.crowd);
            let body = answer.filter(|_| outcome == Outcome::Succeeded).map(|a| Payload::from(a.body));
            let (note, held, body) = (CopyNote::Untold, None, body.unwrap_or_default());
            node.feed(Input::DispatchEnded { ticket, outcome, note, crowd, report, held, body });
        }
        Kind::Order(ticket) => {
            let (result, copies) = (endings::order(ended), answer.map_or(0, |a| a.copies));
            node.feed(Input::OrderEnded { ticket, result, copies, held: None });
        }
        Kind::Probe(worker, began) => {
            let took = node.clock.now() - began;
            node.feed(Input::Probed { worker, outcome: endings::probe(ended), took, report });
        }
    }
}
