//! What is open on one connection of a KServe client, and what all KServe fronts share.

use std::cell::Cell;

use cedarpulley::interface::Micros;

/// One connection's share of what is open.
#[derive(Default)]
pub struct ClientConnection {
    open_requests: Cell<u32>,
    unread_answers: Cell<u32>,
    /// Of the last 32 requests, a set bit for each that was abandoned before its answer.
    abandoned: Cell<u32>,
    last_abandoned_at: Cell<Micros>,
    account: Cell<Option<u32>>,
}

impl ClientConnection {
    /// The account that the client's certificate is bound to.
    pub fn account(&self) -> Option<u32> {
        self.account.get()
    }

    /// All requests of this connection are for this account.
    pub fn bind_account(&self, account: u32) {
        self.account.set(Some(account));
    }

    /// Requests admitted and not yet ended.
    pub(crate) fn open_requests(&self) -> u32 {
        self.open_requests.get()
    }

    /// Answers that the client has not read whole.
    pub(crate) fn unread_answers(&self) -> u32 {
        self.unread_answers.get()
    }

    /// How many of the last 32 requests were abandoned before their answer.
    pub(crate) fn abandoned_requests(&self) -> u32 {
        self.abandoned.get().count_ones()
    }

    /// When a request was last abandoned; 0 if none was.
    pub(crate) fn last_abandoned_at(&self) -> Micros {
        self.last_abandoned_at.get()
    }

    /// A request is admitted. True if it is the only one open.
    pub(crate) fn begin_request(&self) -> bool {
        let open = self.open_requests.get();
        self.open_requests.set(open + 1);
        open == 0
    }

    /// A request ends, with its answer or abandoned by the client. True if none is open any more.
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

    /// An answer begins to be written.
    pub(crate) fn begin_unread_answer(&self) {
        self.unread_answers.set(self.unread_answers.get() + 1);
    }

    /// An answer was read whole, or is no longer written.
    pub(crate) fn end_unread_answer(&self) {
        self.unread_answers
            .set(self.unread_answers.get().saturating_sub(1));
    }
}

/// Shared by all KServe fronts of a router.
pub struct HandlerResources {
    /// Bytes of answers that clients have not read yet.
    pub unread_bytes: Cell<u64>,
    /// The functions that the core knows.
    pub functions: Box<dyn Fn() -> Vec<String>>,
}
