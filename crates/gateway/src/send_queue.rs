//! The bounded queue of messages that wait to be sent to one member, with its counts.

use std::cell::{Cell, RefCell};
use std::collections::VecDeque;

use bytes::Bytes;
use cedarpulley_net::Notifier;
use serde::Serialize;

/// Limit on the size of one queue, in bytes.
const MAX_QUEUED_BYTES: usize = 4 << 20;
/// Size in bytes at which a POST is complete. It is above the size of one part of a comparison, and small enough not to
/// occupy a link for long.
const MAX_BATCH_BYTES: usize = 256 << 10;

/// Counts of one queue, or sums over all queues. The serialized names appear in the state endpoint.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct TransportCounts {
    /// Sent POSTs.
    pub posts: u64,
    /// Bytes of the bodies of these POSTs.
    pub bytes_sent: u64,
    /// Failed POSTs, including those for which no connection could be opened.
    pub posts_failed: u64,
    /// Messages that were dropped from a full queue or lost with a failed POST.
    #[serde(rename = "letters_dropped")]
    pub messages_dropped: u64,
}

/// An encoded message that waits to be sent.
struct QueuedMessage {
    bytes: Bytes,
    /// The message is dropped first when the queue is full, as a later comparison of the records repairs the loss.
    recoverable: bool,
}

/// Messages that wait to be sent to one member.
pub(crate) struct SendQueue {
    waiting: RefCell<VecDeque<QueuedMessage>>,
    /// Sum of the lengths of the waiting messages.
    bytes: Cell<usize>,
    /// Notifies the sending task of a new message.
    pub(crate) message_added: Notifier,
    counts: Cell<TransportCounts>,
}

impl SendQueue {
    /// Creates an empty queue.
    pub(crate) fn new() -> Self {
        SendQueue {
            waiting: RefCell::default(),
            bytes: Cell::new(0),
            message_added: Notifier::default(),
            counts: Cell::new(TransportCounts::default()),
        }
    }

    /// The counts so far.
    pub(crate) fn counts(&self) -> TransportCounts {
        self.counts.get()
    }

    /// Applies a change to the counts.
    pub(crate) fn count(&self, change: impl FnOnce(&mut TransportCounts)) {
        let mut counts = self.counts.get();
        change(&mut counts);
        self.counts.set(counts);
    }

    /// Adds a message; drops messages while the queue is above its size limit.
    pub(crate) fn enqueue(&self, bytes: Bytes, recoverable: bool) {
        let mut waiting = self.waiting.borrow_mut();
        self.bytes.set(self.bytes.get() + bytes.len());
        waiting.push_back(QueuedMessage { bytes, recoverable });
        while self.bytes.get() > MAX_QUEUED_BYTES {
            // Guards against unbounded growth while a member reads nothing, or has ended and is not yet considered
            // dead.
            let first_recoverable = waiting.iter().position(|message| message.recoverable);
            let Some(dropped) = waiting.remove(first_recoverable.unwrap_or(0)) else {
                break;
            };
            self.bytes.set(self.bytes.get() - dropped.bytes.len());
            self.count(|counts| counts.messages_dropped += 1);
        }
        self.message_added.notify();
    }

    /// Removes and returns the messages for one POST; empty if none wait.
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
