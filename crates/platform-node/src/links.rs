//! Connections to workers: one task for each reads; what is sent is written at once, as far as the kernel takes it.
//! The proof that something never left is the count of bytes that the kernel took.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::collections::VecDeque;
use std::io::{ErrorKind, Read, Write};
use std::rc::Rc;

use cedarpulley::interface::{CopyNote, Micros, Outcome, Report, WorkerIx};
use cedarpulley_gateway::net::{Bell, Stream, connect};
use cedarpulley_platform::berths::{Berths, ConnIx, Place};
use cedarpulley_platform::endings::{self, Ended};
use cedarpulley_platform::workers::{self, Answer, Reader};
use cedarpulley_router::core::Call;
use cedarpulley_router::{Input, OrderTicket, Payload, Ticket};
use futures_lite::FutureExt;

use crate::node::Node;

/// One piece read at a time, into a buffer that all connections share.
const PIECE: usize = 64 << 10;

#[derive(Clone, Copy)]
enum Kind {
    Dispatch(Ticket),
    /// Given up by the core itself when its time is over.
    Order(OrderTicket, Micros),
    Probe(WorkerIx, Micros),
}

struct Exchange {
    kind: Kind,
    /// In the bytes handed to this connection: whole once so many were taken by the kernel.
    until: u64,
}

/// Something to be written, made when its first byte is due.
enum Letter {
    Call {
        ticket: Ticket,
        id: String,
        trigger: u32,
        function: std::sync::Arc<str>,
        waited_until: Micros,
        call: Call,
    },
    Bytes {
        tag: String,
        bytes: Vec<u8>,
    },
}

struct Conn {
    ix: ConnIx,
    stream: RefCell<Option<Rc<Stream>>>,
    /// Not begun yet.
    letters: RefCell<VecDeque<Letter>>,
    /// Begun: what the kernel has not taken of it.
    rest: RefCell<Vec<u8>>,
    queued: Cell<u64>,
    written: Cell<u64>,
    out: RefCell<HashMap<String, Exchange>>,
    /// Rung when there is something to write or the connection is to close.
    bell: Bell,
    closing: Cell<bool>,
}

pub struct Links {
    berths: RefCell<Berths>,
    connect_within: Micros,
    conns: RefCell<HashMap<ConnIx, Rc<Conn>>>,
    /// Where each dispatch is out, and under which id.
    dispatches: RefCell<HashMap<Ticket, (ConnIx, String)>>,
    last_tag: Cell<u64>,
    piece: RefCell<Vec<u8>>,
}

impl Links {
    pub fn new(berths: Berths, connect_within: Micros) -> Self {
        Links {
            berths: RefCell::new(berths),
            connect_within,
            conns: RefCell::default(),
            dispatches: RefCell::default(),
            last_tag: Cell::new(0),
            piece: RefCell::new(vec![0; PIECE]),
        }
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
        function: &std::sync::Arc<str>,
        trigger: u32,
        call: &Call,
    ) {
        let id = call.mark.as_deref().unwrap_or("").to_owned();
        let letter = Letter::Call {
            ticket,
            id: id.clone(),
            trigger,
            function: function.clone(),
            waited_until: node.clock.now() + call.waited_for,
            call: call.clone(),
        };
        self.post(node, worker, id, Kind::Dispatch(ticket), letter);
    }

    pub fn order(&self, node: &Rc<Node>, ticket: OrderTicket, function: &str, copies: u32, within: Micros) {
        let tag = self.tag();
        let mut bytes = Vec::new();
        workers::load(&mut bytes, &tag, function, copies);
        let kind = Kind::Order(ticket, node.clock.now() + within);
        self.post(node, ticket.worker, tag.clone(), kind, Letter::Bytes { tag, bytes });
    }

    pub fn probe(&self, node: &Rc<Node>, worker: WorkerIx) {
        let tag = self.tag();
        let mut bytes = Vec::new();
        workers::probe(&mut bytes, &tag);
        let kind = Kind::Probe(worker, node.clock.now());
        self.post(node, worker, tag.clone(), kind, Letter::Bytes { tag, bytes });
    }

    /// No answer comes; it goes where something is up already, as a worker not spoken to has nothing to unload.
    pub fn unload(&self, node: &Rc<Node>, worker: WorkerIx, function: &str) {
        let mut bytes = Vec::new();
        workers::unload(&mut bytes, function);
        let place = self.berths.borrow_mut().place(node.clock.now(), worker);
        let conn = match place {
            Place::On(ix) => self.conns.borrow().get(&ix).cloned(),
            Place::Open(ix) => {
                self.berths.borrow_mut().closed(ix);
                None
            }
            Place::Full => None,
        };
        if let Some(conn) = conn {
            conn.letters.borrow_mut().push_back(Letter::Bytes { tag: String::new(), bytes });
            self.write(node, &conn);
            self.berths.borrow_mut().ended(node.clock.now(), conn.ix, true);
        }
    }

    fn post(&self, node: &Rc<Node>, worker: WorkerIx, tag: String, kind: Kind, letter: Letter) {
        let place = self.berths.borrow_mut().place(node.clock.now(), worker);
        let exchange = Exchange { kind, until: u64::MAX };
        let (ix, new) = match place {
            Place::On(ix) => (ix, false),
            Place::Open(ix) => (ix, true),
            Place::Full => return tell(node, kind, Ended::HeldBack, None),
        };
        let conn = if new { self.open(node, ix, worker) } else { self.conns.borrow().get(&ix).cloned() };
        let Some(conn) = conn else { return tell(node, kind, Ended::Unreached, None) };
        if let Kind::Dispatch(ticket) = kind {
            self.dispatches.borrow_mut().insert(ticket, (ix, tag.clone()));
        }
        conn.out.borrow_mut().insert(tag, exchange);
        conn.letters.borrow_mut().push_back(letter);
        self.write(node, &conn);
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
            queued: Cell::new(0),
            written: Cell::new(0),
            out: RefCell::default(),
            bell: Bell::default(),
            closing: Cell::new(false),
        });
        self.conns.borrow_mut().insert(ix, conn.clone());
        let (it, kept) = (node.clone(), conn.clone());
        node.executor
            .spawn(async move {
                let up = async { Some(connect(address, None, it.links.connect_within).await) };
                let closed = async {
                    while !kept.closing.get() {
                        kept.bell.heard().await;
                    }
                    None
                };
                match up.or(closed).await {
                    Some(Ok(stream)) => {
                        kept.stream.replace(Some(Rc::new(stream)));
                        it.links.berths.borrow_mut().opened(ix);
                        it.links.write(&it, &kept);
                        it.links.listen(&it, &kept).await;
                        it.links.over(&it, &kept, Ended::Unsent);
                    }
                    _ => it.links.over(&it, &kept, Ended::Unreached),
                }
            })
            .detach();
        Some(conn)
    }

    /// Writes what waits, as far as the kernel takes it.
    fn write(&self, node: &Rc<Node>, conn: &Rc<Conn>) {
        let Some(stream) = conn.stream.borrow().clone() else { return };
        loop {
            if conn.closing.get() {
                return;
            }
            if conn.rest.borrow().is_empty() {
                let letter = conn.letters.borrow_mut().pop_front();
                let Some(letter) = letter else { return };
                if !self.begin(node, conn, letter) {
                    continue;
                }
            }
            let taken = stream.get_ref().write(&conn.rest.borrow());
            match taken {
                Ok(n) => {
                    conn.rest.borrow_mut().drain(..n);
                    conn.written.set(conn.written.get() + n as u64);
                }
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                // The connection's task waits until it can go on.
                Err(e) if e.kind() == ErrorKind::WouldBlock => return conn.bell.ring(),
                Err(_) => {
                    conn.closing.set(true);
                    return conn.bell.ring();
                }
            }
        }
    }

    /// Makes the bytes of a letter whose turn has come; false if it is held back.
    fn begin(&self, node: &Rc<Node>, conn: &Rc<Conn>, letter: Letter) -> bool {
        let (tag, bytes) = match letter {
            Letter::Bytes { tag, bytes } => (tag, bytes),
            Letter::Call { ticket, id, trigger, function, waited_until, call } => {
                let left = waited_until - node.clock.now();
                if left <= 0 || !node.may_leave(ticket) {
                    self.end(node, conn, &id, Ended::HeldBack, None);
                    return false;
                }
                let trigger = node.names.triggers.get(trigger as usize).map_or("", String::as_str);
                let token = call.token.as_deref();
                let body = &call.body.bytes;
                let mut bytes = Vec::with_capacity(body.len() + 160);
                let line =
                    workers::Call { id: &id, trigger, function: &function, time_left: left, token, body };
                workers::call(&mut bytes, &line);
                (id, bytes)
            }
        };
        conn.queued.set(conn.queued.get() + bytes.len() as u64);
        if let Some(exchange) = conn.out.borrow_mut().get_mut(&tag) {
            exchange.until = conn.queued.get();
        }
        conn.rest.replace(bytes);
        true
    }

    /// Reads answers until the connection ends or is to close.
    async fn listen(&self, node: &Rc<Node>, conn: &Rc<Conn>) {
        let mut reader = Reader::default();
        let Some(stream) = conn.stream.borrow().clone() else { return };
        loop {
            if conn.closing.get() {
                return;
            }
            let rung = async {
                conn.bell.heard().await;
            };
            let readable = async {
                let _ = stream.readable().await;
            };
            if conn.rest.borrow().is_empty() {
                rung.or(readable).await;
            } else {
                let writable = async {
                    let _ = stream.writable().await;
                };
                rung.or(readable).or(writable).await;
                self.write(node, conn);
            }
            if conn.closing.get() {
                return;
            }
            {
                let mut piece = self.piece.borrow_mut();
                match stream.get_ref().read(&mut piece) {
                    Ok(0) => return,
                    Ok(n) => reader.put(&piece[..n]),
                    Err(e) if matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::Interrupted) => continue,
                    Err(_) => return,
                }
            }
            loop {
                match reader.next(&node.fields) {
                    Ok(Some(answer)) => {
                        let id = answer.id.clone();
                        // Under an unknown id: late, a second copy or ahead of its time. It is read past.
                        self.end(node, conn, &id, Ended::Answered(answer.word), Some(answer));
                    }
                    Ok(None) => break,
                    Err(garbled) => {
                        tracing::debug!(?garbled, "a worker's answer cannot be read");
                        // Ended from here: it tells nothing of idle connections.
                        conn.closing.set(true);
                        return;
                    }
                }
            }
            self.berths.borrow_mut().heard(node.clock.now(), conn.ix, reader.midway());
        }
    }

    /// One thing on a connection has ended.
    fn end(&self, node: &Rc<Node>, conn: &Rc<Conn>, id: &str, ended: Ended, answer: Option<Answer>) {
        let Some(exchange) = conn.out.borrow_mut().remove(id) else { return };
        if let Kind::Dispatch(ticket) = exchange.kind {
            self.dispatches.borrow_mut().remove(&ticket);
        }
        let kept = answer.is_some() || ended == Ended::HeldBack;
        if self.berths.borrow_mut().ended(node.clock.now(), conn.ix, kept) {
            self.close(conn);
        }
        tell(node, exchange.kind, ended, answer);
    }

    /// The connection is over; so is all that was on it.
    fn over(&self, node: &Rc<Node>, conn: &Rc<Conn>, unsent: Ended) {
        if conn.closing.get() {
            self.berths.borrow_mut().closed(conn.ix);
        } else {
            self.berths.borrow_mut().broke(node.clock.now(), conn.ix);
        }
        self.conns.borrow_mut().remove(&conn.ix);
        conn.closing.set(true);
        conn.stream.replace(None);
        let out: Vec<(String, Exchange)> = conn.out.borrow_mut().drain().collect();
        for (_, exchange) in out {
            if let Kind::Dispatch(ticket) = exchange.kind {
                self.dispatches.borrow_mut().remove(&ticket);
            }
            let whole = exchange.until <= conn.written.get();
            tell(node, exchange.kind, if whole { Ended::Broken } else { unsent }, None);
        }
    }

    fn close(&self, conn: &Conn) {
        conn.closing.set(true);
        conn.bell.ring();
    }

    /// The core has given this dispatch up.
    pub fn withdraw(&self, node: &Rc<Node>, ticket: Ticket) {
        let Some((ix, id)) = self.dispatches.borrow_mut().remove(&ticket) else { return };
        let Some(conn) = self.conns.borrow().get(&ix).cloned() else { return };
        let Some(exchange) = conn.out.borrow_mut().remove(&id) else { return };
        if exchange.until == u64::MAX {
            // Not a byte of it has left.
            let not_it = |l: &Letter| !matches!(l, Letter::Call { ticket: t, .. } if *t == ticket);
            conn.letters.borrow_mut().retain(not_it);
            if self.berths.borrow_mut().ended(node.clock.now(), ix, true) {
                self.close(&conn);
            }
            return;
        }
        if exchange.until > conn.written.get() {
            // A part of it has left: it must never become whole.
            return self.close(&conn);
        }
        let mut bytes = Vec::new();
        workers::withdraw(&mut bytes, &id);
        conn.letters.borrow_mut().push_back(Letter::Bytes { tag: String::new(), bytes });
        self.write(node, &conn);
        if self.berths.borrow_mut().ended(node.clock.now(), ix, false) {
            self.close(&conn);
        }
    }

    /// Nothing more goes to this worker's connections of now.
    pub fn retire(&self, worker: WorkerIx) {
        self.berths.borrow_mut().retire(worker);
    }

    pub fn sweep(&self, node: &Rc<Node>) {
        let now = node.clock.now();
        let stale = self.berths.borrow().stale(now);
        for ix in stale {
            if let Some(conn) = self.conns.borrow().get(&ix) {
                self.close(conn);
            }
        }
        // Orders and questions whose time is over; the core has ended them by itself.
        let late = |e: &Exchange| match e.kind {
            Kind::Order(_, until) => now > until,
            Kind::Probe(_, began) => now > began + self.connect_within,
            Kind::Dispatch(_) => false,
        };
        let conns: Vec<Rc<Conn>> = self.conns.borrow().values().cloned().collect();
        for conn in conns {
            let over: Vec<String> =
                conn.out.borrow().iter().filter(|(_, e)| late(e)).map(|(id, _)| id.clone()).collect();
            for id in over {
                self.end(node, &conn, &id, Ended::Broken, None);
            }
        }
    }
}

/// Tells the core how something ended.
fn tell(node: &Rc<Node>, kind: Kind, ended: Ended, answer: Option<Answer>) {
    match kind {
        Kind::Dispatch(ticket) => {
            let outcome = endings::dispatch(ended);
            let told = node.crowds && matches!(outcome, Outcome::Succeeded | Outcome::Throttled);
            let crowd = answer.as_ref().filter(|_| told).map(|a| a.crowd);
            let report = answer.as_ref().map(|a| a.report).unwrap_or_default();
            let body = answer.filter(|_| outcome == Outcome::Succeeded).map(|a| Payload::from(a.body));
            let body = body.unwrap_or_default();
            let (note, held) = (CopyNote::Untold, None);
            node.feed(Input::DispatchEnded { ticket, outcome, note, crowd, report, held, body });
        }
        Kind::Order(ticket, _) => {
            let (result, copies) = (endings::order(ended), answer.map_or(0, |a| a.copies));
            node.feed(Input::OrderEnded { ticket, result, copies, held: None });
        }
        Kind::Probe(worker, began) => {
            let report = answer.map_or(Report::default(), |a| a.report);
            let took = node.clock.now() - began;
            node.feed(Input::Probed { worker, outcome: endings::probe(ended), took, report });
        }
    }
}
