//! The bounded queue of messages that wait to be sent to one member, with its counts.

use std::cell::{Cell, RefCell};
use std::collections::VecDeque;

use bytes::Bytes;
use cedarpulley_net::Notifier;
use serde::Serialize;

/// Bytes that may wait in one queue.
const MAX_QUEUED_BYTES: usize = 4 << 20;
/// Bytes in one POST: more than one part of a comparison, and less than keeps a link busy for long.
const MAX_BATCH_BYTES: usize = 256 << 10;

/// Counts of one queue, or of all. The serialized names are those of the state endpoint.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct TransportCounts {
    /// POSTs sent.
    pub posts: u64,
    /// Bytes of their bodies.
    pub bytes_sent: u64,
    /// Attempts that failed, those without a connection included.
    pub posts_failed: u64,
    /// Messages dropped for want of room, or lost with a failed POST.
    #[serde(rename = "letters_dropped")]
    pub messages_dropped: u64,
}

/// An encoded message that waits to be sent.
struct QueuedMessage {
    bytes: Bytes,
    /// It may be dropped if there is no room.
    recoverable: bool,
}

/// Messages that wait for one member.
pub(crate) struct SendQueue {
    waiting: RefCell<VecDeque<QueuedMessage>>,
    bytes: Cell<usize>,
    /// Rings when a message has come.
    pub(crate) bell: Notifier,
    counts: Cell<TransportCounts>,
}

impl SendQueue {
    pub(crate) fn new() -> Self {
        SendQueue {
            waiting: RefCell::default(),
            bytes: Cell::new(0),
            bell: Notifier::default(),
            counts: Cell::new(TransportCounts::default()),
        }
    }

    /// What was sent and dropped so far.
    pub(crate) fn counts(&self) -> TransportCounts {
        self.counts.get()
    }

    pub(crate) fn count(&self, change: impl FnOnce(&mut TransportCounts)) {
        let mut counts = self.counts.get();
        change(&mut counts);
        self.counts.set(counts);
    }

    /// Adds a message; beyond the bound in bytes others are dropped.
    pub(crate) fn enqueue(&self, bytes: Bytes, recoverable: bool) {
        let mut waiting = self.waiting.borrow_mut();
        self.bytes.set(self.bytes.get() + bytes.len());
        waiting.push_back(QueuedMessage { bytes, recoverable });
        while self.bytes.get() > MAX_QUEUED_BYTES {
            // Guards against a member that reads nothing, or is gone and not yet considered dead.
            let first_recoverable = waiting.iter().position(|message| message.recoverable);
            let Some(dropped) = waiting.remove(first_recoverable.unwrap_or(0)) else {
                break;
            };
            self.bytes.set(self.bytes.get() - dropped.bytes.len());
            self.count(|counts| counts.messages_dropped += 1);
        }
        self.bell.notify();
    }

    /// Takes out the messages of one POST.
    pub(crate) fn take_batch(&self) -> Vec<Bytes> {
        let (mut batch, mut bytes) = (Vec::new(), 0);
        let mut waiting = self.waiting.borrow_mut();
        while bytes < MAX_BATCH_BYTES
            && let Some(message) = waiting.pop_front()
        {
            bytes += message.bytes.len();
            batch.push(message.bytes);
        }
        self.bytes.set(self.bytes.get() - bytes);
        batch
    }
}
