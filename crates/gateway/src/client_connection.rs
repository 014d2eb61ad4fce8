//! The state of one connection of a KServe client, and the resources that all KServe fronts share.

use std::cell::Cell;
use std::rc::Rc;

use cedarpulley::interface::Micros;
use cedarpulley_net::{Clock, ReadProgress};

use crate::input_memory::InputMemory;

/// Requests and answers in progress on one connection.
#[derive(Default)]
pub struct ClientConnection {
    open_requests: Cell<u32>,
    unread_answers: Cell<u32>,
    /// Bit set over the last 32 requests; a set bit is a request that the client abandoned before its answer.
    abandoned: Cell<u32>,
    last_abandoned_at: Cell<Micros>,
    account: Cell<Option<u32>>,
    /// Number of requests in progress, admitted or not.
    serving: Cell<u32>,
    /// Number of these that have not arrived completely.
    receiving: Cell<u32>,
    has_sent_request: Cell<bool>,
    read_progress: Rc<ReadProgress>,
    last_progress: Cell<Micros>,
}

/// A request in progress on a connection, until it is dropped.
pub(crate) struct ServedRequest {
    client: Rc<ClientConnection>,
    clock: Clock,
    is_complete: Cell<bool>,
}

impl ServedRequest {
    /// The connection of the request.
    pub fn client(&self) -> &Rc<ClientConnection> {
        &self.client
    }

    /// Records that the request has arrived completely.
    pub fn completed(&self) {
        if !self.is_complete.replace(true) {
            let receiving = &self.client.receiving;
            receiving.set(receiving.get() - 1);
        }
    }
}

impl Drop for ServedRequest {
    fn drop(&mut self) {
        self.completed();
        let client = &self.client;
        client.serving.set(client.serving.get() - 1);
        client.last_progress.set(self.clock.now());
    }
}

impl ClientConnection {
    /// A connection that was opened at `now`, in microseconds.
    pub fn opened(now: Micros) -> Self {
        ClientConnection {
            last_progress: Cell::new(now),
            ..ClientConnection::default()
        }
    }

    /// Begins a request whose head has arrived.
    pub(crate) fn serve(self: &Rc<Self>, clock: Clock) -> ServedRequest {
        self.has_sent_request.set(true);
        self.last_progress.set(clock.now());
        self.serving.set(self.serving.get() + 1);
        self.receiving.set(self.receiving.get() + 1);
        ServedRequest {
            client: self.clone(),
            clock,
            is_complete: Cell::new(false),
        }
    }

    /// Whether a request that has arrived completely is in progress, or an answer is unread.
    pub(crate) fn is_serving(&self) -> bool {
        self.serving.get() > self.receiving.get() || self.unread_answers() > 0
    }

    /// Whether a request has arrived in part.
    pub(crate) fn is_receiving(&self) -> bool {
        self.receiving.get() > 0
    }

    /// What the reads of the connection have shown.
    pub(crate) fn read_progress(&self) -> &Rc<ReadProgress> {
        &self.read_progress
    }

    /// Whether the head of a request has arrived so far.
    pub(crate) fn has_sent_request(&self) -> bool {
        self.has_sent_request.get()
    }

    /// When a request last began or ended, in microseconds; before the first one, when the connection was opened.
    pub(crate) fn last_progress(&self) -> Micros {
        self.last_progress.get()
    }

    /// The account that the client's certificate is bound to.
    pub fn account(&self) -> Option<u32> {
        self.account.get()
    }

    /// Binds all requests of this connection to this account.
    pub fn bind_account(&self, account: u32) {
        self.account.set(Some(account));
    }

    /// Number of requests admitted and not yet ended.
    pub(crate) fn open_requests(&self) -> u32 {
        self.open_requests.get()
    }

    /// Number of answers that the client has not read completely.
    pub(crate) fn unread_answers(&self) -> u32 {
        self.unread_answers.get()
    }

    /// Number of the last 32 requests that the client abandoned before their answer.
    pub(crate) fn abandoned_requests(&self) -> u32 {
        self.abandoned.get().count_ones()
    }

    /// When the client last abandoned a request, in microseconds; 0 if it never did.
    pub(crate) fn last_abandoned_at(&self) -> Micros {
        self.last_abandoned_at.get()
    }

    /// Counts an admitted request. Returns true if no other request is open.
    pub(crate) fn begin_request(&self) -> bool {
        let open = self.open_requests.get();
        self.open_requests.set(open + 1);
        open == 0
    }

    /// Counts the end of a request: answered, or abandoned by the client. Returns true if no request is open any more.
    pub(crate) fn end_request(&self, abandoned: bool, now: Micros) -> bool {
        self.open_requests
            .set(self.open_requests.get().saturating_sub(1));
        self.abandoned
            .set(self.abandoned.get() << 1 | u32::from(abandoned));
        if abandoned {
            self.last_abandoned_at.set(now);
        }
        self.open_requests.get() == 0
    }

    /// Counts an answer whose writing begins.
    pub(crate) fn begin_unread_answer(&self) {
        self.unread_answers.set(self.unread_answers.get() + 1);
    }

    /// Counts the end of an answer: the client has read it completely, or writing it was abandoned.
    pub(crate) fn end_unread_answer(&self) {
        self.unread_answers
            .set(self.unread_answers.get().saturating_sub(1));
    }
}

/// Resources shared by all KServe fronts of a router.
pub struct HandlerResources {
    /// Bytes of answers that clients have not read yet.
    pub unread_bytes: Cell<u64>,
    /// Memory of requests that have not arrived completely.
    pub input_memory: Rc<InputMemory>,
    /// The functions that the core knows.
    pub functions: Box<dyn Fn() -> Vec<String>>,
}
