//! [`WorkerConnection`]: a connection to a worker, with the exchanges in flight on it and the messages to be written.

use std::cell::{Cell, RefCell};
use std::collections::{HashMap, VecDeque};
use std::io::{ErrorKind, Write};
use std::rc::Rc;
use std::sync::Arc;

use cedarpulley::interface::{Micros, WorkerIndex};
use cedarpulley_net::{Notifier, Stream};
use cedarpulley_platform::connection_pool::ConnectionId;
use cedarpulley_platform::memory_share::MemoryOwner;
use cedarpulley_platform::worker_protocol::{Answer, AnswerError, AnswerReader};
use cedarpulley_router::core::DispatchRequest;
use cedarpulley_router::{LoadOrderTicket, Ticket};
use cedarpulley_startup::ReportField;
use futures_lite::FutureExt;

/// The purpose of an exchange.
#[derive(Clone, Copy)]
pub(super) enum Purpose {
    /// An attempt to execute a request.
    Attempt(Ticket),
    /// An order to load copies of a function.
    LoadOrder(LoadOrderTicket),
    /// A health check.
    Probe {
        worker: WorkerIndex,
        /// Time at which the health check was started, in microseconds of the router's clock.
        started: Micros,
    },
}

/// The reason for which this router closes a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum CloseReason {
    /// A connection to another worker takes its place.
    Evicted,
    /// Its worker has left the endpoint list or has moved to another address.
    WorkerGone,
    /// It was idle for too long, or an answer was incomplete for too long.
    Due,
    /// An answer to an exchange that has ended may still arrive on it.
    LateAnswerPossible,
    /// A message that is not wanted any more was sent in part.
    PartlySent,
    /// An attempt on it was given up, and cancellations are not allowed.
    GivenUp,
    /// The worker answered a message that it cannot have received.
    AnswerBeforeMessage,
    /// An answer is malformed.
    MalformedAnswer,
    /// Unfinished answers take more memory than their share.
    NoMemory,
}

/// A message that is queued or sent, and to which the worker sends an answer.
pub(super) struct Exchange {
    pub purpose: Purpose,
    /// Time after which the exchange ends without its answer, in microseconds of the router's clock. Attempts have no
    /// such time, because the core cancels them.
    pub deadline: Micros,
    /// Offset of the end of the message in the bytes written to the connection; `None` while no byte of it is sent.
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

    /// Whether the kernel has accepted at least one byte of the message.
    pub fn has_sent_bytes(&self) -> bool {
        self.end_offset.is_some()
    }
}

/// An attempt that the core has ordered to be sent.
pub(super) struct OutgoingCall {
    pub trigger: u32,
    pub function: Arc<str>,
    /// Time until which the worker may answer, in microseconds of the router's clock.
    pub deadline: Micros,
    pub request: DispatchRequest,
}

/// A message of which no byte has been sent.
pub(super) enum Message {
    /// An attempt. It is encoded right before it is sent, because the message contains the time left for the answer.
    Call(OutgoingCall),
    /// The bytes of any other message.
    Encoded(Vec<u8>),
}

/// A message in the queue of a connection.
pub(super) struct QueuedMessage {
    /// The id of its exchange; empty if the worker sends no answer to the message.
    pub id: String,
    pub message: Message,
}

impl QueuedMessage {
    /// A message to which the worker sends no answer.
    pub fn one_way(bytes: Vec<u8>) -> Self {
        QueuedMessage {
            id: String::new(),
            message: Message::Encoded(bytes),
        }
    }
}

/// The result of one write to a connection.
pub(super) enum WriteResult {
    /// The kernel accepted this number of bytes.
    Accepted(usize),
    /// The kernel's buffer is full.
    BufferFull,
    /// The connection has failed.
    Failed,
}

/// A connection to a worker. Its task establishes it and reads answers; messages are written by any task.
pub(super) struct WorkerConnection {
    id: ConnectionId,
    /// The stream, from the establishment of the connection until its end.
    stream: RefCell<Option<Rc<Stream>>>,
    queue: RefCell<VecDeque<QueuedMessage>>,
    /// The remaining bytes of a message that the kernel has accepted in part.
    unwritten: RefCell<Vec<u8>>,
    /// Number of bytes that the kernel has accepted so far.
    written: Cell<u64>,
    /// The exchanges in flight, by their ids.
    exchanges: RefCell<HashMap<String, Exchange>>,
    answers: RefCell<AnswerReader>,
    /// Whether further complete answers may be in `answers`, which are processed after other tasks have run.
    answers_left: Cell<bool>,
    /// Memory of `answers`.
    answer_memory: MemoryOwner,
    /// Notified when there are bytes to write, or when the connection has to end.
    wake: Notifier,
    ending: Cell<bool>,
    close_reason: Cell<Option<CloseReason>>,
}

impl WorkerConnection {
    pub fn new(id: ConnectionId, answer_memory: MemoryOwner) -> Self {
        WorkerConnection {
            id,
            stream: RefCell::default(),
            queue: RefCell::default(),
            unwritten: RefCell::default(),
            written: Cell::new(0),
            exchanges: RefCell::default(),
            answers: RefCell::default(),
            answers_left: Cell::new(false),
            answer_memory,
            wake: Notifier::default(),
            ending: Cell::new(false),
            close_reason: Cell::new(None),
        }
    }

    pub fn id(&self) -> ConnectionId {
        self.id
    }

    /// Wakes the connection's task, which then checks the state of the connection.
    pub fn wake(&self) {
        self.wake.notify();
    }

    /// Records that the connection is established.
    pub fn established(&self, stream: Stream) {
        self.stream.replace(Some(Rc::new(stream)));
    }

    /// The stream, while the connection is established.
    pub fn stream(&self) -> Option<Rc<Stream>> {
        self.stream.borrow().clone()
    }

    /// Closes the connection from this side.
    pub fn close(&self, reason: CloseReason) {
        self.close_reason
            .set(self.close_reason.get().or(Some(reason)));
        self.request_end();
    }

    /// The reason for which this router closed the connection; `None` if the worker did or if it is open.
    pub fn close_reason(&self) -> Option<CloseReason> {
        self.close_reason.get()
    }

    /// Requests that the connection's task end the connection.
    pub fn request_end(&self) {
        self.ending.set(true);
        self.wake();
    }

    /// Whether the connection has to end.
    pub fn is_ending(&self) -> bool {
        self.ending.get()
    }

    /// Whether this router closed the connection, not the worker.
    pub fn is_closed_locally(&self) -> bool {
        self.close_reason.get().is_some()
    }

    /// Waits until the connection has to end.
    pub async fn end_requested(&self) {
        while !self.is_ending() {
            self.wake.notified().await;
        }
    }

    /// Waits until the connection is readable, or has bytes to write and is writable, or its task is woken.
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

    /// Marks the connection as ended, and takes the exchanges that were in flight on it, with their ids.
    pub fn take_exchanges(&self) -> Vec<(String, Exchange)> {
        self.ending.set(true);
        self.stream.replace(None);
        self.exchanges.borrow_mut().drain().collect()
    }
}

/// The table of exchanges.
impl WorkerConnection {
    pub fn add_exchange(&self, id: String, exchange: Exchange) {
        self.exchanges.borrow_mut().insert(id, exchange);
    }

    pub fn remove_exchange(&self, id: &str) -> Option<Exchange> {
        self.exchanges.borrow_mut().remove(id)
    }

    /// Whether an exchange with this id is in flight.
    pub fn has_exchange(&self, id: &str) -> bool {
        self.exchanges.borrow().contains_key(id)
    }

    /// The purpose of the exchange with this id; `None` if no such exchange is in flight.
    pub fn purpose_of(&self, id: &str) -> Option<Purpose> {
        let exchanges = self.exchanges.borrow();
        exchanges.get(id).map(|exchange| exchange.purpose)
    }

    /// The ids of the exchanges whose deadlines have passed.
    pub fn overdue_exchanges(&self, now: Micros) -> Vec<String> {
        self.exchanges
            .borrow()
            .iter()
            .filter(|(_, exchange)| now > exchange.deadline)
            .map(|(id, _)| id.clone())
            .collect()
    }

    /// Whether the kernel has accepted all bytes of this exchange's message.
    pub fn is_sent(&self, exchange: &Exchange) -> bool {
        exchange
            .end_offset
            .is_some_and(|offset| offset <= self.written.get())
    }

    /// Whether an exchange with this id is in flight and its message has not been sent completely.
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

    /// Puts a message of which no byte could be written back at the front of the queue.
    pub fn put_back(&self, message: QueuedMessage) {
        self.queue.borrow_mut().push_front(message);
    }

    /// Removes the message of an exchange from the queue.
    pub fn dequeue(&self, id: &str) {
        self.queue.borrow_mut().retain(|message| message.id != id);
    }

    /// Whether a message is queued or has been sent in part.
    pub fn has_unwritten(&self) -> bool {
        self.has_unfinished_message() || !self.queue.borrow().is_empty()
    }

    /// Whether a message has been sent in part.
    pub fn has_unfinished_message(&self) -> bool {
        !self.unwritten.borrow().is_empty()
    }

    /// Writes as many bytes of a new message as the kernel accepts. The previous message must have been sent
    /// completely.
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

    /// Writes further bytes of the message that has been sent in part.
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
    /// Adds bytes that have arrived.
    pub fn add_bytes(&self, bytes: &[u8]) {
        self.answers.borrow_mut().put(bytes);
        self.update_answer_memory();
    }

    fn update_answer_memory(&self) {
        self.answer_memory.set(self.answers.borrow().memory());
    }

    /// Memory of the answers that have arrived and are not processed, in bytes.
    pub fn answer_memory(&self) -> usize {
        self.answer_memory.bytes()
    }

    /// Whether further complete answers may have arrived that are not processed.
    pub fn has_answers_left(&self) -> bool {
        self.answers_left.get()
    }

    /// Records whether further complete answers may have arrived that are not processed.
    pub fn set_answers_left(&self, left: bool) {
        self.answers_left.set(left);
    }

    /// Number of bytes that have arrived and are not processed.
    pub fn unprocessed_bytes(&self) -> usize {
        self.answers.borrow().unprocessed_bytes()
    }

    /// The next complete answer in the bytes that have arrived.
    pub fn next_answer(&self, fields: &[ReportField]) -> Result<Option<Answer>, AnswerError> {
        let next = self.answers.borrow_mut().next(fields);
        self.update_answer_memory();
        next
    }

    /// Whether the last answer has arrived only in part.
    pub fn has_partial_answer(&self) -> bool {
        self.answers.borrow().has_partial_answer()
    }
}

/// Writes once without waiting.
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
