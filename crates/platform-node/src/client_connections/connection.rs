//! [`ClientConnection`]: a connection of a client, with the requests read from it and the answer to be written.

use std::cell::{Cell, RefCell};
use std::io::{ErrorKind, Write};
use std::net::{IpAddr, Ipv4Addr, Shutdown};

use async_io::Timer;
use cedarpulley::interface::Micros;
use cedarpulley_net::{Notifier, Stream, duration_from_micros};
use cedarpulley_platform::client_protocol::{FollowingInput, QueuedRequest, RequestQueue};
use cedarpulley_platform::connection_limiter::ClientId;
use cedarpulley_platform::memory_share::MemoryOwner;
use cedarpulley_router::{Answer, FinalOutcome};
use futures_lite::FutureExt;

use super::ClientMemory;
use crate::node::Node;
use crate::read_buffer::ReadResult;

/// Most reads in a row: one for bytes that have arrived, and one that finds the end of the connection behind them. The
/// limit bounds the delay that a client causes to others by sending without a pause.
const MAX_READS: usize = 2;
/// Most calls of [`ClientConnection::read_available`] in search of the end of what a client has sent, before one of its
/// requests is passed on. No client of the protocol sends anything behind a request.
pub(super) const MAX_ROUNDS_AHEAD: usize = 8;

/// Stands for the address of a client that has closed its connection before it was looked at.
const UNKNOWN_ADDRESS: IpAddr = IpAddr::V4(Ipv4Addr::UNSPECIFIED);

/// Whether everything that has arrived on a connection is read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Unread {
    /// All bytes are read, and the end of the connection if it has ended.
    Nothing,
    /// Bytes may be left, and behind them the end of the connection.
    Possibly,
}

/// The reason for which this router ends a connection that its client has not closed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum CloseReason {
    /// Another connection needs its descriptor at once.
    Evicted,
    /// A time limit of the connection has passed, or the router is shutting down.
    TimedOut,
}

/// A connection of a client. One task serves it; the other tasks wake that task.
pub(super) struct ClientConnection {
    id: ClientId,
    address: IpAddr,
    stream: Stream,
    /// Notified when an answer has arrived, the client has disconnected, or the connection has to end.
    wake: Notifier,
    answer: RefCell<Option<Answer>>,
    disconnected: Cell<bool>,
    /// What the last read has left.
    unread: Cell<Unread>,
    /// Whether the pending request was withdrawn because its client goes on sending behind it.
    overrun: Cell<bool>,
    close_reason: Cell<Option<CloseReason>>,
    requests: RefCell<RequestQueue>,
    /// Memory of `requests`.
    input_memory: MemoryOwner,
    /// Memory of the body of an answer, until the client has read it.
    answer_memory: MemoryOwner,
}

impl ClientConnection {
    pub fn new(id: ClientId, stream: Stream, memory: &ClientMemory) -> Self {
        let peer = stream.get_ref().peer_addr();
        ClientConnection {
            id,
            address: peer.map_or(UNKNOWN_ADDRESS, |peer| peer.ip()),
            stream,
            wake: Notifier::default(),
            answer: RefCell::default(),
            disconnected: Cell::new(false),
            unread: Cell::new(Unread::Nothing),
            overrun: Cell::new(false),
            close_reason: Cell::new(None),
            requests: RefCell::default(),
            input_memory: memory.input.owner(),
            answer_memory: memory.answers.owner(),
        }
    }

    pub fn id(&self) -> ClientId {
        self.id
    }

    /// The address of the client.
    pub fn address(&self) -> IpAddr {
        self.address
    }

    /// Wakes the connection's task, which then checks the state of the connection.
    pub fn wake(&self) {
        self.wake.notify();
    }

    /// Requests that the connection's task end the connection.
    pub fn request_close(&self, reason: CloseReason) {
        self.close_reason.set(Some(reason));
        self.wake();
    }

    /// The reason for which the connection has to end; `None` if it may stay open.
    pub fn close_reason(&self) -> Option<CloseReason> {
        self.close_reason.get()
    }

    /// Withdraws the request to end the connection.
    pub fn clear_close_reason(&self) {
        self.close_reason.set(None);
    }

    /// Stores the answer to the pending request, and wakes the connection's task.
    pub fn deliver(&self, answer: Answer) {
        self.answer_memory.set(answer.body.len());
        self.answer.replace(Some(answer));
        self.wake();
    }

    /// Takes the answer to the pending request, unless it has to wait; `None` if there is none yet. A success has to
    /// wait while the input behind the request is undecided, because it may show that the worker got only a part of the
    /// body.
    pub fn take_answer(&self, following: FollowingInput) -> Option<Answer> {
        let is_decided = following != FollowingInput::Undecided;
        self.answer
            .borrow_mut()
            .take_if(|answer| is_decided || answer.outcome != FinalOutcome::Succeeded)
    }

    /// Whether a read has shown that the client closed its sending side, or that the connection failed.
    pub fn is_disconnected(&self) -> bool {
        self.disconnected.get()
    }

    /// As [`ClientConnection::wait`], but undecided input behind the pending request is waited for only while it may still
    /// begin a request.
    pub async fn wait_while_pending(&self, now: Micros, following: FollowingInput) {
        if following != FollowingInput::Undecided {
            return self.wait().await;
        }
        let until = self.requests.borrow().undecided_until();
        let decided = async {
            Timer::after(duration_from_micros(until - now)).await;
        };
        self.wait().or(decided).await;
    }

    /// Waits until the connection is readable or its task is woken.
    pub async fn wait(&self) {
        let readable = async {
            let _ = self.stream.readable().await;
        };
        self.wake.notified().or(readable).await;
    }

    /// What the last read has left.
    pub fn unread(&self) -> Unread {
        self.unread.get()
    }

    /// Records that the pending request was withdrawn because its client goes on sending behind it.
    pub fn set_overrun(&self) {
        self.overrun.set(true);
        self.wake();
    }

    /// Whether the pending request was withdrawn because its client goes on sending behind it; resets the record.
    pub fn take_overrun(&self) -> bool {
        self.overrun.take()
    }

    /// Reads what has arrived, in at most [`MAX_READS`] reads, so that a disconnection is detected together with the
    /// bytes that the client sent before it.
    pub fn read_available(&self, node: &Node) -> Unread {
        let unread = self.read_some(node);
        self.unread.set(unread);
        unread
    }

    fn read_some(&self, node: &Node) -> Unread {
        let arrived = node.arrival_time();
        for _ in 0..MAX_READS {
            if self.disconnected.get() {
                return Unread::Nothing;
            }
            let add_bytes = |bytes: &[u8]| {
                let mut requests = self.requests.borrow_mut();
                requests.set_out_of_memory(node.clients.input_memory_exceeded());
                requests.put(arrived, bytes, node.clients.rules());
            };
            match node.read(&self.stream, add_bytes) {
                ReadResult::Bytes(()) => {
                    self.update_input_memory();
                    node.clients.limit_input_memory();
                }
                ReadResult::Nothing => return Unread::Nothing,
                ReadResult::Ended => self.disconnected.set(true),
            }
        }
        match self.disconnected.get() {
            true => Unread::Nothing,
            false => Unread::Possibly,
        }
    }

    /// Reads to the end of what has arrived, in at most [`MAX_ROUNDS_AHEAD`] rounds.
    pub fn read_to_end(&self, node: &Node) -> Unread {
        for _ in 0..MAX_ROUNDS_AHEAD {
            if self.read_available(node) == Unread::Nothing {
                return Unread::Nothing;
            }
        }
        Unread::Possibly
    }

    fn update_input_memory(&self) {
        self.input_memory.set(self.requests.borrow().memory());
    }

    /// Memory of the request that has been read in part, in bytes.
    pub fn partial_request_memory(&self) -> usize {
        let requests = self.requests.borrow();
        if requests.is_receiving() {
            requests.partial_memory()
        } else {
            0
        }
    }

    /// Rejects the request that has been read in part, and frees its memory.
    pub fn reject_partial_request(&self) {
        if self.requests.borrow_mut().reject_partial_request() {
            self.update_input_memory();
            self.wake();
        }
    }

    /// Records that the answer is written, or that there is none.
    pub fn answer_written(&self) {
        self.answer_memory.set(0);
    }

    /// Reads once and discards the bytes; returns their number.
    pub fn discard_available(&self, node: &Node) -> ReadResult<usize> {
        node.read(&self.stream, <[u8]>::len)
    }

    /// Whether the kernel's buffer contains unread bytes, or a complete request has been read and not served yet.
    pub fn has_unserved_input(&self) -> bool {
        let in_kernel = || {
            let peeked = self.stream.get_ref().peek(&mut [0]);
            peeked.is_ok_and(|length| length > 0)
        };
        self.has_request() || in_kernel()
    }

    /// Whether a complete request has been read and not served yet.
    pub fn has_request(&self) -> bool {
        self.requests.borrow().has_request()
    }

    /// Whether a complete request has been read and not served yet, and no further one behind it.
    pub fn is_at_last_request(&self) -> bool {
        self.requests.borrow().is_at_last_request()
    }

    /// Whether a request has been read in part.
    pub fn is_receiving(&self) -> bool {
        self.requests.borrow().is_receiving()
    }

    /// What has been read behind the request that was taken last. After a client has disconnected, undecided input
    /// becomes no request.
    pub fn following_input(&self, now: Micros) -> FollowingInput {
        match self.requests.borrow().following_input(now) {
            FollowingInput::Undecided if self.is_disconnected() => FollowingInput::NotARequest,
            input => input,
        }
    }

    /// Takes the next request that has been read and not served yet.
    pub fn take_request(&self) -> Option<QueuedRequest> {
        let request = self.requests.borrow_mut().take();
        self.update_input_memory();
        request
    }

    /// Writes all bytes. Returns false if the connection has failed, or has to end while the kernel's buffer is full.
    pub async fn write(&self, mut bytes: &[u8]) -> bool {
        while !bytes.is_empty() {
            match self.stream.get_ref().write(bytes) {
                Ok(0) => return false,
                Ok(written) => bytes = &bytes[written..],
                Err(error) if error.kind() == ErrorKind::Interrupted => {}
                Err(error)
                    if error.kind() == ErrorKind::WouldBlock && self.close_reason().is_none() =>
                {
                    let writable = async {
                        let _ = self.stream.writable().await;
                    };
                    self.wake.notified().or(writable).await;
                }
                Err(_) => return false,
            }
        }
        true
    }

    /// Closes the sending side of the connection; returns false if the connection has failed.
    pub fn shut_down_writing(&self) -> bool {
        self.stream.get_ref().shutdown(Shutdown::Write).is_ok()
    }
}
