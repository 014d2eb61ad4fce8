//! Connections to workers: one task for each reads; what is sent is written at once, as far as the kernel takes it. The
//! proof that something was never sent is the count of bytes that the kernel took.

mod connection;
mod sending;

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;
use std::sync::Arc;

use cedarpulley::interface::{CopyStatus, DispatchOutcome, LoadReport, Micros, WorkerIndex};
use cedarpulley_net::{Stream, connect};
use cedarpulley_platform::attempt_outcome::{self, AttemptEnd};
use cedarpulley_platform::connection_pool::{ConnectionId, ConnectionPool, Placement};
use cedarpulley_platform::worker_protocol::{self, Answer, LONGEST_ANSWER};
use cedarpulley_router::core::Call;
use cedarpulley_router::{Input, OrderTicket, Payload, Ticket};
use futures_lite::FutureExt;

use crate::node::{Node, PIECE, ReadResult};
use connection::{Exchange, Message, OutgoingCall, Purpose, QueuedMessage, WorkerConnection};

/// Of what lies unread no more is read at once than the longest answer takes, so that a worker that never stops
/// sending holds nobody up.
const MOST_PIECES: usize = LONGEST_ANSWER.div_ceil(PIECE);

/// Where an attempt is out.
struct AttemptPlace {
    connection: ConnectionId,
    request_id: String,
}

/// All connections to workers and what is open on them.
pub struct WorkerConnections {
    pool: RefCell<ConnectionPool>,
    connect_within: Micros,
    connections: RefCell<HashMap<ConnectionId, Rc<WorkerConnection>>>,
    attempts: RefCell<HashMap<Ticket, AttemptPlace>>,
    last_tag: Cell<u64>,
}

impl WorkerConnections {
    pub fn new(pool: ConnectionPool, connect_within: Micros) -> Self {
        WorkerConnections {
            pool: RefCell::new(pool),
            connect_within,
            connections: RefCell::default(),
            attempts: RefCell::default(),
            last_tag: Cell::new(0),
        }
    }

    /// Exchanges for which no connection was left so far.
    pub fn without_connection(&self) -> u64 {
        self.pool.borrow().full
    }

    /// Nobody is reading or writing its tables.
    pub fn is_unborrowed(&self) -> bool {
        let tables = (
            self.pool.try_borrow_mut(),
            self.connections.try_borrow_mut(),
            self.attempts.try_borrow_mut(),
        );
        tables.0.is_ok() && tables.1.is_ok() && tables.2.is_ok()
    }

    fn new_tag(&self) -> String {
        self.last_tag.set(self.last_tag.get() + 1);
        format!("t{}", self.last_tag.get())
    }

    fn connection(&self, id: ConnectionId) -> Option<Rc<WorkerConnection>> {
        self.connections.borrow().get(&id).cloned()
    }

    /// Sends a request to a worker.
    pub fn call(
        &self,
        node: &Rc<Node>,
        ticket: Ticket,
        worker: WorkerIndex,
        function: Arc<str>,
        trigger: u32,
        call: Call,
    ) {
        let id = call.mark.as_deref().unwrap_or("").to_owned();
        let waited_until = node.clock.now() + call.waited_for;
        let message = Message::Call(OutgoingCall {
            trigger,
            function,
            waited_until,
            call,
        });
        let exchange = Exchange {
            purpose: Purpose::Attempt(ticket),
            whole_at: None,
            until: Micros::MAX,
        };
        self.post(node, worker, exchange, QueuedMessage { id, message });
    }

    /// Orders a worker to load copies.
    pub fn order(
        &self,
        node: &Rc<Node>,
        ticket: OrderTicket,
        function: &str,
        copies: u32,
        within: Micros,
    ) {
        let (id, mut bytes) = (self.new_tag(), Vec::new());
        worker_protocol::load(&mut bytes, &id, function, copies);
        let until = node.clock.now() + within;
        let exchange = Exchange {
            purpose: Purpose::Order(ticket),
            whole_at: None,
            until,
        };
        self.post(
            node,
            ticket.worker,
            exchange,
            QueuedMessage {
                id,
                message: Message::Bytes(bytes),
            },
        );
    }

    /// Asks a worker how it does.
    pub fn probe(&self, node: &Rc<Node>, worker: WorkerIndex) {
        let (id, mut bytes, asked_at) = (self.new_tag(), Vec::new(), node.clock.now());
        worker_protocol::probe(&mut bytes, &id);
        let until = asked_at + self.connect_within;
        let exchange = Exchange {
            purpose: Purpose::Probe { worker, asked_at },
            whole_at: None,
            until,
        };
        self.post(
            node,
            worker,
            exchange,
            QueuedMessage {
                id,
                message: Message::Bytes(bytes),
            },
        );
    }

    /// Has a worker unload idle copies. No answer comes, and nobody waits for one.
    pub fn unload(&self, node: &Rc<Node>, worker: WorkerIndex, function: &str) {
        let mut bytes = Vec::new();
        worker_protocol::unload(&mut bytes, function);
        if let Ok(connection) = self.place(node, worker) {
            let message = QueuedMessage {
                id: String::new(),
                message: Message::Bytes(bytes),
            };
            connection.queue.borrow_mut().push_back(message);
            self.push(node, &connection);
            self.pool
                .borrow_mut()
                .ended(node.clock.now(), connection.id, true);
        }
    }

    fn post(
        &self,
        node: &Rc<Node>,
        worker: WorkerIndex,
        exchange: Exchange,
        message: QueuedMessage,
    ) {
        let connection = match self.place(node, worker) {
            Ok(connection) => connection,
            Err(end) => return tell(node, exchange.purpose, end, None),
        };
        if let Purpose::Attempt(ticket) = exchange.purpose {
            let place = AttemptPlace {
                connection: connection.id,
                request_id: message.id.clone(),
            };
            self.attempts.borrow_mut().insert(ticket, place);
        }
        connection
            .exchanges
            .borrow_mut()
            .insert(message.id.clone(), exchange);
        connection.queue.borrow_mut().push_back(message);
        self.push(node, &connection);
    }

    /// The connection for one more exchange, which counts as open there; or what becomes of it without one.
    fn place(
        &self,
        node: &Rc<Node>,
        worker: WorkerIndex,
    ) -> Result<Rc<WorkerConnection>, AttemptEnd> {
        let placement = self.pool.borrow_mut().place(node.clock.now(), worker);
        match placement {
            Placement::Existing(id) => self.connection(id).ok_or(AttemptEnd::Unsent),
            Placement::New(id) => self.open(node, id, worker).ok_or(AttemptEnd::Unreached),
            Placement::Full => Err(AttemptEnd::HeldBack),
        }
    }

    fn open(
        &self,
        node: &Rc<Node>,
        id: ConnectionId,
        worker: WorkerIndex,
    ) -> Option<Rc<WorkerConnection>> {
        let Some(address) = node.address(worker) else {
            self.pool.borrow_mut().closed(id);
            return None;
        };
        let connection = Rc::new(WorkerConnection::new(id));
        self.connections.borrow_mut().insert(id, connection.clone());
        let (owner, kept) = (node.clone(), connection.clone());
        let running = async move {
            let workers = &owner.workers;
            let connected = async { connect(address, None, workers.connect_within).await.ok() };
            let called_off = async {
                while !kept.ending.get() {
                    kept.wake.heard().await;
                }
                None
            };
            let Some(stream) = connected.or(called_off).await else {
                // Called off from here, it tells nothing of the worker.
                let called_off = kept.closed_here.get();
                let end = if called_off {
                    AttemptEnd::HeldBack
                } else {
                    AttemptEnd::Unreached
                };
                return workers.over(&owner, &kept, end);
            };
            kept.stream.replace(Some(Rc::new(stream)));
            workers.pool.borrow_mut().opened(id);
            workers.write(&owner, &kept);
            workers.listen(&owner, &kept).await;
            workers.over(&owner, &kept, AttemptEnd::Unsent);
        };
        node.executor.spawn(running).detach();
        Some(connection)
    }

    /// Reads answers until the connection ends.
    async fn listen(&self, node: &Rc<Node>, connection: &Rc<WorkerConnection>) {
        let Some(stream) = connection.stream.borrow().clone() else {
            return;
        };
        while !connection.ending.get() {
            connection.wait(&stream).await;
            self.write(node, connection);
            if connection.ending.get() {
                return;
            }
            if let ReadResult::Ended = self.read(node, connection, &stream) {
                return;
            }
        }
    }

    /// Reads one piece, if there is one.
    fn read(
        &self,
        node: &Rc<Node>,
        connection: &Rc<WorkerConnection>,
        stream: &Stream,
    ) -> ReadResult<()> {
        let result = node.read(stream, |bytes| connection.answers.borrow_mut().put(bytes));
        if let ReadResult::Bytes(()) = result {
            self.process_answers(node, connection);
        }
        result
    }

    /// Reads what lies unread on the connections where this request is out. That a connection has ended is left to its
    /// own task to find again.
    pub fn read_answers_to(&self, node: &Rc<Node>, request_id: &str) {
        let carries = |c: &&Rc<WorkerConnection>| c.carries(request_id);
        let carrying: Vec<_> = self
            .connections
            .borrow()
            .values()
            .filter(carries)
            .cloned()
            .collect();
        for connection in carrying {
            let Some(stream) = connection.stream.borrow().clone() else {
                continue;
            };
            for _ in 0..MOST_PIECES {
                let waits = !connection.ending.get() && connection.carries(request_id);
                if !waits || !matches!(self.read(node, &connection, &stream), ReadResult::Bytes(()))
                {
                    break;
                }
            }
        }
    }

    /// Tells the core of the answers that have come whole.
    fn process_answers(&self, node: &Rc<Node>, connection: &Rc<WorkerConnection>) {
        loop {
            let next = connection.answers.borrow_mut().next(&node.fields);
            match next {
                Ok(Some(answer)) => {
                    let exchanges = connection.exchanges.borrow();
                    // Nobody can have answered what was not sent whole.
                    if exchanges
                        .get(&answer.id)
                        .is_some_and(|e| !connection.sent_whole(e))
                    {
                        return connection.close();
                    }
                    drop(exchanges);
                    // Under an unknown id it is late, a second copy or ahead of its time, and is ignored.
                    let id = answer.id.clone();
                    self.ended(
                        node,
                        connection,
                        &id,
                        AttemptEnd::Answered(answer.word),
                        Some(answer),
                    );
                }
                Ok(None) => {
                    let now = node.clock.now();
                    let midway = connection.answers.borrow().is_midway();
                    return self.pool.borrow_mut().heard(now, connection.id, midway);
                }
                Err(error) => {
                    tracing::debug!(?error, "a worker's answer cannot be read");
                    return connection.close();
                }
            }
        }
    }

    /// One exchange on a connection has ended.
    fn ended(
        &self,
        node: &Rc<Node>,
        connection: &WorkerConnection,
        id: &str,
        end: AttemptEnd,
        answer: Option<Answer>,
    ) {
        let Some(exchange) = connection.exchanges.borrow_mut().remove(id) else {
            return;
        };
        if let Purpose::Attempt(ticket) = exchange.purpose {
            self.attempts.borrow_mut().remove(&ticket);
        }
        let kept = answer.is_some() || end == AttemptEnd::HeldBack;
        if self
            .pool
            .borrow_mut()
            .ended(node.clock.now(), connection.id, kept)
        {
            connection.close();
        }
        tell(node, exchange.purpose, end, answer);
    }

    /// The connection is over; so is all that was open on it. `unsent`: what that means for messages not sent whole.
    fn over(&self, node: &Rc<Node>, connection: &WorkerConnection, unsent: AttemptEnd) {
        match connection.closed_here.get() {
            true => self.pool.borrow_mut().closed(connection.id),
            false => self
                .pool
                .borrow_mut()
                .broke(node.clock.now(), connection.id),
        }
        self.connections.borrow_mut().remove(&connection.id);
        connection.ending.set(true);
        connection.stream.replace(None);
        let open: Vec<Exchange> = connection
            .exchanges
            .borrow_mut()
            .drain()
            .map(|(_, e)| e)
            .collect();
        for exchange in open {
            if let Purpose::Attempt(ticket) = exchange.purpose {
                self.attempts.borrow_mut().remove(&ticket);
            }
            let end = if connection.sent_whole(&exchange) {
                AttemptEnd::Broken
            } else {
                unsent
            };
            tell(node, exchange.purpose, end, None);
        }
    }

    /// The core has given this attempt up.
    pub fn withdraw(&self, node: &Rc<Node>, ticket: Ticket) {
        let Some(place) = self.attempts.borrow_mut().remove(&ticket) else {
            return;
        };
        let Some(connection) = self.connection(place.connection) else {
            return;
        };
        let Some(exchange) = connection.exchanges.borrow_mut().remove(&place.request_id) else {
            return;
        };
        let begun = exchange.whole_at.is_some();
        if begun && !connection.sent_whole(&exchange) {
            // A part of it was sent: it must never become whole.
            return connection.close();
        }
        if begun {
            let mut bytes = Vec::new();
            worker_protocol::withdraw(&mut bytes, &place.request_id);
            let message = QueuedMessage {
                id: String::new(),
                message: Message::Bytes(bytes),
            };
            connection.queue.borrow_mut().push_back(message);
            self.push(node, &connection);
        } else {
            connection
                .queue
                .borrow_mut()
                .retain(|message| message.id != place.request_id);
        }
        if self
            .pool
            .borrow_mut()
            .ended(node.clock.now(), place.connection, !begun)
        {
            connection.close();
        }
    }

    /// Nothing more goes to this worker's connections of now.
    pub fn retire(&self, worker: WorkerIndex) {
        let connecting = self.pool.borrow_mut().retire(worker);
        connecting
            .into_iter()
            .filter_map(|id| self.connection(id))
            .for_each(|connection| connection.close());
    }

    /// Closes connections whose time is over, and ends exchanges that are no longer waited for.
    pub fn sweep(&self, node: &Rc<Node>) {
        let now = node.clock.now();
        let connections: Vec<Rc<WorkerConnection>> =
            self.connections.borrow().values().cloned().collect();
        for connection in connections {
            let late = |(id, e): (&String, &Exchange)| (now > e.until).then(|| id.clone());
            let over: Vec<String> = connection
                .exchanges
                .borrow()
                .iter()
                .filter_map(late)
                .collect();
            over.iter()
                .for_each(|id| self.ended(node, &connection, id, AttemptEnd::Broken, None));
        }
        let stale = self.pool.borrow().stale(now);
        stale
            .into_iter()
            .filter_map(|id| self.connection(id))
            .for_each(|connection| connection.close());
    }
}

/// Tells the core how an exchange ended.
fn tell(node: &Rc<Node>, purpose: Purpose, end: AttemptEnd, answer: Option<Answer>) {
    let report = answer.as_ref().map_or(LoadReport::default(), |a| a.report);
    match purpose {
        Purpose::Attempt(ticket) => {
            let outcome = attempt_outcome::dispatch(end);
            let told = node.crowds
                && matches!(
                    outcome,
                    DispatchOutcome::Succeeded | DispatchOutcome::Rejected
                );
            let crowd = answer.as_ref().filter(|_| told).map(|a| a.crowd);
            let body = answer
                .filter(|_| outcome == DispatchOutcome::Succeeded)
                .map(|a| Payload::from(a.body));
            let (note, held, body) = (CopyStatus::Unreported, None, body.unwrap_or_default());
            node.feed(Input::DispatchEnded {
                ticket,
                outcome,
                note,
                crowd,
                report,
                held,
                body,
            });
        }
        Purpose::Order(ticket) => {
            let (result, copies) = (attempt_outcome::order(end), answer.map_or(0, |a| a.copies));
            node.feed(Input::OrderEnded {
                ticket,
                result,
                copies,
                held: None,
            });
        }
        Purpose::Probe { worker, asked_at } => {
            let took = node.clock.now() - asked_at;
            node.feed(Input::Probed {
                worker,
                outcome: attempt_outcome::probe(end),
                took,
                report,
            });
        }
    }
}
