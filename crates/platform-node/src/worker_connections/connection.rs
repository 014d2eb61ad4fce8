//! One connection to a worker: the exchanges in flight on it, and the bytes on their way.

use std::cell::{Cell, RefCell};
use std::collections::{HashMap, VecDeque};
use std::io::{ErrorKind, Write};
use std::rc::Rc;
use std::sync::Arc;

use cedarpulley::interface::{Micros, WorkerIndex};
use cedarpulley_net::{Notifier, Stream};
use cedarpulley_platform::connection_pool::ConnectionId;
use cedarpulley_platform::worker_protocol::{Answer, AnswerError, AnswerReader};
use cedarpulley_router::core::DispatchRequest;
use cedarpulley_router::{OrderTicket, Ticket};
use cedarpulley_startup::ReportField;
use futures_lite::FutureExt;

/// What an exchange is for.
#[derive(Clone, Copy)]
pub(super) enum Purpose {
    /// An attempt to execute a request.
    Attempt(Ticket),
    /// An order to load copies of a function.
    LoadOrder(OrderTicket),
    /// A health check.
    Probe {
        worker: WorkerIndex,
        /// When it was posted, in microseconds of the router's clock.
        started: Micros,
    },
}

/// A message that was sent, or is queued, and gets an answer.
pub(super) struct Exchange {
    pub purpose: Purpose,
    /// Its answer is not waited for any longer after this time, in microseconds of the router's clock; attempts are
    /// cancelled by the core instead.
    pub deadline: Micros,
    /// Where its message ends in the bytes written to the connection; `None` while nothing of it is sent.
    end_offset: Option<u64>,
}

impl Exchange {
    pub fn new(purpose: Purpose, deadline: Micros) -> Self {
        Exchange {
            purpose,
            deadline,
            end_offset: None,
        }
    }

    /// Whether the kernel has accepted any byte of its message.
    pub fn is_begun(&self) -> bool {
        self.end_offset.is_some()
    }
}

/// A request as the core has it sent.
pub(super) struct OutgoingCall {
    pub trigger: u32,
    pub function: Arc<str>,
    /// Until when the worker's answer is waited for, in microseconds of the router's clock.
    pub deadline: Micros,
    pub call: DispatchRequest,
}

/// A message of which nothing is sent yet.
pub(super) enum Message {
    /// Encoded when its turn comes, as it carries the time that is left.
    Call(OutgoingCall),
    Encoded(Vec<u8>),
}

/// A message that waits for its turn.
pub(super) struct QueuedMessage {
    /// The id of its exchange; empty if the message gets no answer.
    pub id: String,
    pub message: Message,
}

impl QueuedMessage {
    /// A message that gets no answer.
    pub fn one_way(bytes: Vec<u8>) -> Self {
        QueuedMessage {
            id: String::new(),
            message: Message::Encoded(bytes),
        }
    }
}

/// What the kernel did with bytes.
pub(super) enum WriteResult {
    /// It accepted so many.
    Accepted(usize),
    /// Its buffer is full.
    BufferFull,
    /// The connection has failed.
    Failed,
}

pub(super) struct WorkerConnection {
    id: ConnectionId,
    /// Once it is established, until it has ended.
    stream: RefCell<Option<Rc<Stream>>>,
    queue: RefCell<VecDeque<QueuedMessage>>,
    /// The rest of a message that the kernel has accepted in part.
    unwritten: RefCell<Vec<u8>>,
    /// Bytes that the kernel has accepted so far.
    written: Cell<u64>,
    exchanges: RefCell<HashMap<String, Exchange>>,
    answers: RefCell<AnswerReader>,
    /// Rung when there is something to write or the connection has to end.
    wake: Notifier,
    ending: Cell<bool>,
    closed_here: Cell<bool>,
}

impl WorkerConnection {
    pub fn new(id: ConnectionId) -> Self {
        WorkerConnection {
            id,
            stream: RefCell::default(),
            queue: RefCell::default(),
            unwritten: RefCell::default(),
            written: Cell::new(0),
            exchanges: RefCell::default(),
            answers: RefCell::default(),
            wake: Notifier::default(),
            ending: Cell::new(false),
            closed_here: Cell::new(false),
        }
    }

    pub fn id(&self) -> ConnectionId {
        self.id
    }

    /// Has the connection's task look at the connection again.
    pub fn wake(&self) {
        self.wake.notify();
    }

    /// The connection is established.
    pub fn established(&self, stream: Stream) {
        self.stream.replace(Some(Rc::new(stream)));
    }

    /// The stream, while the connection is established.
    pub fn stream(&self) -> Option<Rc<Stream>> {
        self.stream.borrow().clone()
    }

    /// Closes the connection from this side.
    pub fn close(&self) {
        self.closed_here.set(true);
        self.end();
    }

    /// Has the connection's task end the connection.
    pub fn end(&self) {
        self.ending.set(true);
        self.wake();
    }

    /// Whether the connection has to end.
    pub fn is_ending(&self) -> bool {
        self.ending.get()
    }

    /// Whether this router closed the connection, not the worker.
    pub fn is_closed_here(&self) -> bool {
        self.closed_here.get()
    }

    /// Waits until the connection has to end.
    pub async fn ended(&self) {
        while !self.is_ending() {
            self.wake.notified().await;
        }
    }

    /// Waits until there is something to read, something to write and room for it, or the connection is woken.
    pub async fn wait(&self, stream: &Stream) {
        let readable = async {
            let _ = stream.readable().await;
        };
        let read_or_woken = self.wake.notified().or(readable);
        if !self.has_unwritten() {
            return read_or_woken.await;
        }
        let writable = async {
            let _ = stream.writable().await;
        };
        read_or_woken.or(writable).await;
    }

    /// The connection has ended; the exchanges that were in flight on it, with their ids.
    pub fn take_exchanges(&self) -> Vec<(String, Exchange)> {
        self.ending.set(true);
        self.stream.replace(None);
        self.exchanges.borrow_mut().drain().collect()
    }
}

/// Exchanges.
impl WorkerConnection {
    pub fn add_exchange(&self, id: String, exchange: Exchange) {
        self.exchanges.borrow_mut().insert(id, exchange);
    }

    pub fn remove_exchange(&self, id: &str) -> Option<Exchange> {
        self.exchanges.borrow_mut().remove(id)
    }

    /// Whether an exchange with this id is in flight.
    pub fn carries(&self, id: &str) -> bool {
        self.exchanges.borrow().contains_key(id)
    }

    pub fn purpose_of(&self, id: &str) -> Option<Purpose> {
        let exchanges = self.exchanges.borrow();
        exchanges.get(id).map(|exchange| exchange.purpose)
    }

    /// Ids of the exchanges whose answers are no longer waited for.
    pub fn overdue_exchanges(&self, now: Micros) -> Vec<String> {
        self.exchanges
            .borrow()
            .iter()
            .filter(|(_, exchange)| now > exchange.deadline)
            .map(|(id, _)| id.clone())
            .collect()
    }

    /// Whether the kernel has accepted every byte of this exchange's message.
    pub fn is_sent(&self, exchange: &Exchange) -> bool {
        exchange
            .end_offset
            .is_some_and(|offset| offset <= self.written.get())
    }

    /// Whether an exchange with this id is in flight whose message is not sent completely.
    pub fn is_unsent(&self, id: &str) -> bool {
        let exchanges = self.exchanges.borrow();
        exchanges
            .get(id)
            .is_some_and(|exchange| !self.is_sent(exchange))
    }
}

/// Writing.
impl WorkerConnection {
    pub fn enqueue(&self, message: QueuedMessage) {
        self.queue.borrow_mut().push_back(message);
    }

    /// Takes the next message out of the queue.
    pub fn next_message(&self) -> Option<QueuedMessage> {
        self.queue.borrow_mut().pop_front()
    }

    /// Puts a message back that could not be begun.
    pub fn put_back(&self, message: QueuedMessage) {
        self.queue.borrow_mut().push_front(message);
    }

    /// Removes the message of an exchange from the queue.
    pub fn dequeue(&self, id: &str) {
        self.queue.borrow_mut().retain(|message| message.id != id);
    }

    /// Whether a message is queued, or sent in part.
    pub fn has_unwritten(&self) -> bool {
        self.has_unfinished_message() || !self.queue.borrow().is_empty()
    }

    /// Whether a message is sent in part.
    pub fn has_unfinished_message(&self) -> bool {
        !self.unwritten.borrow().is_empty()
    }

    /// Writes the first bytes of a message.
    pub fn begin_message(&self, stream: &Stream, id: &str, bytes: &[u8]) -> WriteResult {
        let result = write_once(stream, bytes);
        if let WriteResult::Accepted(length) = result {
            let end_offset = self.written.get() + bytes.len() as u64;
            if let Some(exchange) = self.exchanges.borrow_mut().get_mut(id) {
                exchange.end_offset = Some(end_offset);
            }
            self.written.set(self.written.get() + length as u64);
            self.unwritten.replace(bytes[length..].to_vec());
        }
        result
    }

    /// Writes more of the message that is sent in part.
    pub fn continue_message(&self, stream: &Stream) -> WriteResult {
        let mut unwritten = self.unwritten.borrow_mut();
        let result = write_once(stream, &unwritten);
        if let WriteResult::Accepted(length) = result {
            unwritten.drain(..length);
            self.written.set(self.written.get() + length as u64);
        }
        result
    }
}

/// Reading.
impl WorkerConnection {
    /// Bytes arrived.
    pub fn put(&self, bytes: &[u8]) {
        self.answers.borrow_mut().put(bytes);
    }

    /// The next complete answer among the bytes that arrived.
    pub fn next_answer(&self, fields: &[ReportField]) -> Result<Option<Answer>, AnswerError> {
        self.answers.borrow_mut().next(fields)
    }

    /// Whether an answer has arrived in part.
    pub fn has_partial_answer(&self) -> bool {
        self.answers.borrow().has_partial_answer()
    }
}

fn write_once(stream: &Stream, bytes: &[u8]) -> WriteResult {
    loop {
        match stream.get_ref().write(bytes) {
            Ok(0) => return WriteResult::Failed,
            Ok(length) => return WriteResult::Accepted(length),
            Err(error) if error.kind() == ErrorKind::Interrupted => {}
            Err(error) if error.kind() == ErrorKind::WouldBlock => return WriteResult::BufferFull,
            Err(_) => return WriteResult::Failed,
        }
    }
}
