//! One connection to a worker, and what is open on it.

use std::cell::{Cell, RefCell};
use std::collections::{HashMap, VecDeque};
use std::rc::Rc;
use std::sync::Arc;

use cedarpulley::interface::{Micros, WorkerIndex};
use cedarpulley_net::{Bell, Stream};
use cedarpulley_platform::connection_pool::ConnectionId;
use cedarpulley_platform::worker_protocol::AnswerReader;
use cedarpulley_router::core::Call;
use cedarpulley_router::{OrderTicket, Ticket};
use futures_lite::FutureExt;

/// What an exchange is for.
#[derive(Clone, Copy)]
pub(super) enum Purpose {
    /// An attempt to serve a request.
    Attempt(Ticket),
    /// An order to load copies.
    Order(OrderTicket),
    /// A question how a worker does, and when it was asked.
    Probe {
        worker: WorkerIndex,
        asked_at: Micros,
    },
}

/// Something that was sent, or waits to be sent, and gets an answer.
pub(super) struct Exchange {
    pub purpose: Purpose,
    /// It is sent whole once the kernel has taken this many bytes of the connection; none while nothing of it is sent.
    pub whole_at: Option<u64>,
    /// Its answer is of no use after this time; attempts are given up by the core.
    pub until: Micros,
}

/// A request as the core wants it sent.
pub(super) struct OutgoingCall {
    pub trigger: u32,
    pub function: Arc<str>,
    /// Until then the worker's answer is waited for.
    pub waited_until: Micros,
    pub call: Call,
}

/// A message of which nothing is sent yet.
pub(super) enum Message {
    /// Its bytes are made when its turn comes, as they tell the time that is left.
    Call(OutgoingCall),
    Bytes(Vec<u8>),
}

/// A message that waits for its turn.
pub(super) struct QueuedMessage {
    /// Of its exchange; empty where no answer comes.
    pub id: String,
    pub message: Message,
}

pub(super) struct WorkerConnection {
    pub id: ConnectionId,
    pub stream: RefCell<Option<Rc<Stream>>>,
    pub queue: RefCell<VecDeque<QueuedMessage>>,
    /// The rest of a message that the kernel has taken in part.
    pub unwritten: RefCell<Vec<u8>>,
    /// Bytes that the kernel has taken so far.
    pub written: Cell<u64>,
    pub exchanges: RefCell<HashMap<String, Exchange>>,
    pub answers: RefCell<AnswerReader>,
    /// Rung when there is something to write or the connection has to end.
    pub wake: Bell,
    pub ending: Cell<bool>,
    /// This router ends it, not the worker.
    pub closed_here: Cell<bool>,
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
            wake: Bell::default(),
            ending: Cell::new(false),
            closed_here: Cell::new(false),
        }
    }

    /// Closes it from this side.
    pub fn close(&self) {
        self.closed_here.set(true);
        self.end();
    }

    /// It is of no more use.
    pub fn end(&self) {
        self.ending.set(true);
        self.wake.ring();
    }

    /// Every byte of this exchange's message was taken by the kernel.
    pub fn sent_whole(&self, exchange: &Exchange) -> bool {
        exchange.whole_at.is_some_and(|at| at <= self.written.get())
    }

    pub fn has_unwritten(&self) -> bool {
        !self.unwritten.borrow().is_empty() || !self.queue.borrow().is_empty()
    }

    pub fn carries(&self, id: &str) -> bool {
        self.exchanges.borrow().contains_key(id)
    }

    /// Until there is something to read or room to write, or it is woken.
    pub async fn wait(&self, stream: &Stream) {
        let readable = async {
            let _ = stream.readable().await;
        };
        let read_or_woken = self.wake.heard().or(readable);
        if !self.has_unwritten() {
            return read_or_woken.await;
        }
        let writable = async {
            let _ = stream.writable().await;
        };
        read_or_woken.or(writable).await;
    }
}
