//! [`InputMemory`]: what requests that have not arrived completely, and streams that have ended, may take of the memory.
//!
//! The rule that this type keeps: however many clients connect to the KServe fronts, and whatever they send, the heads that
//! have arrived in part, handshakes of TLS, the calls that are not admitted yet, and what was sent ahead of an answer, take
//! no more than a share of the memory together. Above it, the connection that holds most of it is closed: a client that sends one request at a
//! time, in one piece, holds next to none.
//!
//! What the HTTP/2 library keeps of streams that have ended has a share of its own. Above it, the connection that keeps most
//! for nothing is closed: a client that goes on with as many calls at once as before keeps next to nothing.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;

use cedarpulley_net::Notifier;
use cedarpulley_router::memory_share::{MemoryOwner, MemoryShare};

/// Unfinished input gets the memory for requests divided by this number, beside it.
const MEMORY_DIVISOR: u64 = 8;
/// Bytes of memory for each byte of an unfinished head: it is stored by the HTTP library and by the observer of the framing,
/// in buffers that grow by doubling.
const COPIES: usize = 4;

/// Memory of a call over gRPC beside its message, in bytes: its stream in the HTTP library, and its task.
const CALL_BYTES: usize = 5 * 1024;
/// Memory that the HTTP/2 library keeps of a stream until its connection ends, for the next stream, in bytes.
const ENDED_STREAM_BYTES: usize = 1_300;

/// The unfinished input of all connections, and what they keep of streams that have ended.
pub struct InputMemory {
    unfinished: MemoryShare,
    ended_streams: MemoryShare,
    connections: RefCell<BTreeMap<u64, Rc<HeldInput>>>,
    last_connection: Cell<u64>,
    closed: Cell<u64>,
}

/// What one connection holds.
struct HeldInput {
    /// Of input that is not finished.
    unfinished: MemoryOwner,
    /// Of streams that have ended.
    ended_streams: MemoryOwner,
    /// Number of calls over HTTP/2 that are open.
    open_calls: Cell<usize>,
    /// Notified when the connection has to be closed.
    closing: Notifier,
    is_closing: Cell<bool>,
}

/// The input of one connection, until it is dropped.
pub(crate) struct ConnectionInput {
    memory: Rc<InputMemory>,
    connection: u64,
    held: Rc<HeldInput>,
    /// Bytes of the head that has arrived in part, and of what was read ahead of the HTTP library.
    http1_bytes: Cell<usize>,
    /// Bytes of the calls over HTTP/2 that are not admitted.
    calls_bytes: Cell<usize>,
    /// Most calls over HTTP/2 that were open at once.
    most_calls: Cell<usize>,
}

/// An open call over gRPC, until it is dropped.
pub(crate) struct CallInput {
    input: Rc<ConnectionInput>,
    /// What counts of it until it is admitted.
    unadmitted_bytes: usize,
}

impl InputMemory {
    /// Shares of the memory for requests, which is `memory_bytes` bytes.
    pub fn of(memory_bytes: u64) -> Self {
        let max_bytes = usize::try_from(memory_bytes / MEMORY_DIVISOR).unwrap_or(usize::MAX);
        InputMemory {
            unfinished: MemoryShare::new(max_bytes),
            ended_streams: MemoryShare::new(max_bytes),
            connections: RefCell::default(),
            last_connection: Cell::new(0),
            closed: Cell::new(0),
        }
    }

    /// Number of connections that were closed to keep to the limits.
    pub fn closed(&self) -> u64 {
        self.closed.get()
    }

    /// A new connection, which holds nothing.
    pub(crate) fn connection(self: &Rc<Self>) -> ConnectionInput {
        let connection = self.last_connection.get() + 1;
        self.last_connection.set(connection);
        let held = Rc::new(HeldInput {
            unfinished: self.unfinished.owner(),
            ended_streams: self.ended_streams.owner(),
            open_calls: Cell::new(0),
            closing: Notifier::default(),
            is_closing: Cell::new(false),
        });
        self.connections
            .borrow_mut()
            .insert(connection, held.clone());
        ConnectionInput {
            memory: self.clone(),
            connection,
            held,
            http1_bytes: Cell::new(0),
            calls_bytes: Cell::new(0),
            most_calls: Cell::new(0),
        }
    }

    /// Closes connections while all of them hold more unfinished input than its limit, those first that hold most.
    fn limit_unfinished(&self) {
        while self.unfinished.is_exceeded() {
            if !self.close_largest(|held| (held.unfinished.bytes(), true)) {
                return;
            }
        }
    }

    /// Closes connections while all of them keep more of ended streams than its limit, those first that keep most, and of
    /// these one without an open call.
    fn limit_ended_streams(&self) {
        while self.ended_streams.is_exceeded() {
            if !self.close_largest(|held| (held.ended_streams.bytes(), held.open_calls.get() == 0))
            {
                return;
            }
        }
    }

    /// Closes the connection of the greatest rank, which begins with the bytes it holds; returns false if none holds any.
    fn close_largest(&self, rank: impl Fn(&HeldInput) -> (usize, bool)) -> bool {
        let connections = self.connections.borrow();
        let largest = connections.values().max_by_key(|held| rank(held));
        let Some(largest) = largest.filter(|held| rank(held).0 > 0) else {
            return false;
        };
        largest.unfinished.set(0);
        largest.ended_streams.set(0);
        largest.is_closing.set(true);
        largest.closing.notify();
        self.closed.set(self.closed.get() + 1);
        true
    }
}

impl ConnectionInput {
    /// Records the length of the connection's unfinished head, and of what was read ahead of the HTTP library, in bytes.
    pub fn set(&self, unfinished_head: usize, read_ahead: usize) {
        self.http1_bytes.set(unfinished_head * COPIES + read_ahead);
        self.update();
    }

    /// Begins a call over gRPC.
    pub fn call(self: &Rc<Self>) -> CallInput {
        self.set_open_calls(self.held.open_calls.get() + 1);
        let mut call = CallInput {
            input: self.clone(),
            unadmitted_bytes: 0,
        };
        call.add(CALL_BYTES);
        call
    }

    fn set_open_calls(&self, open: usize) {
        self.held.open_calls.set(open);
        let most = self.most_calls.get().max(open);
        self.most_calls.set(most);
        if self.held.is_closing.get() {
            return;
        }
        let ended = most - open;
        self.held.ended_streams.set(ended * ENDED_STREAM_BYTES);
        self.memory.limit_ended_streams();
    }

    fn set_calls_bytes(&self, bytes: usize) {
        self.calls_bytes.set(bytes);
        self.update();
    }

    /// What a connection that has to be closed still holds does not count: it is dropped at once.
    fn update(&self) {
        if self.held.is_closing.get() {
            return;
        }
        let bytes = self.http1_bytes.get() + self.calls_bytes.get();
        self.held.unfinished.set(bytes);
        self.memory.limit_unfinished();
    }

    /// Waits until the connection has to be closed.
    pub async fn closing(&self) {
        self.held.closing.notified().await;
    }
}

impl Drop for ConnectionInput {
    fn drop(&mut self) {
        self.memory
            .connections
            .borrow_mut()
            .remove(&self.connection);
    }
}

impl CallInput {
    /// Records that this many bytes of its message have arrived.
    pub fn add(&mut self, bytes: usize) {
        self.unadmitted_bytes += bytes;
        let input = &self.input;
        input.set_calls_bytes(input.calls_bytes.get() + bytes);
    }

    /// Records that the call is admitted: from here on, the core counts its memory.
    pub fn admitted(&mut self) {
        let bytes = std::mem::take(&mut self.unadmitted_bytes);
        let input = &self.input;
        input.set_calls_bytes(input.calls_bytes.get() - bytes);
    }
}

impl Drop for CallInput {
    fn drop(&mut self) {
        self.admitted();
        let input = &self.input;
        input.set_open_calls(input.held.open_calls.get() - 1);
    }
}
