//! [`Sender`]: writes messages to workers. Whether a message may still be sent is checked right before its first byte
//! is written.

use std::rc::Rc;

use cedarpulley::interface::Micros;
use cedarpulley_net::Stream;
use cedarpulley_platform::attempt_outcome::ExchangeEnd;
use cedarpulley_platform::worker_protocol;

use super::connection::{
    Message, OutgoingCall, Purpose, QueuedMessage, WorkerConnection, WriteResult,
};
use crate::node::Node;

/// Whether writing to a connection can continue.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Progress {
    /// Further bytes may be written.
    Continue,
    /// No bytes are left to write, or the kernel's buffer is full.
    Stop,
}

/// Writes the messages of a connection.
#[derive(Clone, Copy)]
pub(super) struct Sender<'a> {
    node: &'a Rc<Node>,
    connection: &'a Rc<WorkerConnection>,
}

impl<'a> Sender<'a> {
    pub fn new(node: &'a Rc<Node>, connection: &'a Rc<WorkerConnection>) -> Self {
        Sender { node, connection }
    }

    /// Writes the queued messages as far as the kernel accepts them, and wakes the connection's task to write the rest.
    pub fn flush(self) {
        self.write();
        if self.connection.has_unwritten() {
            self.connection.wake();
        }
    }

    /// Writes the queued messages as far as the kernel accepts them. The connection's own task calls this instead of
    /// [`Sender::flush`], and then waits until the connection is writable. If that task woke itself, it would run
    /// without a pause while the worker does not read, and no other task would run.
    pub fn write(self) {
        let Some(stream) = self.connection.stream() else {
            return;
        };
        while !self.connection.is_ending() {
            let progress = if self.connection.has_unfinished_message() {
                self.continue_message(&stream)
            } else {
                self.begin_message(&stream)
            };
            if progress == Progress::Stop {
                return;
            }
        }
    }

    fn continue_message(self, stream: &Stream) -> Progress {
        let result = self.connection.continue_message(stream);
        self.progress_after(result)
    }

    /// Writes the first bytes of the next message if it may still be sent. If the kernel's buffer is full, the message
    /// stays first in the queue, and is checked again when the connection is writable: by then its deadline may have
    /// passed, its client may have disconnected, or the drain grace of its worker may have ended.
    fn begin_message(self, stream: &Stream) -> Progress {
        let Some(queued) = self.connection.next_message() else {
            return Progress::Stop;
        };
        let may_send = self.may_send(&queued);
        self.log_basis(&queued, may_send);
        if !may_send {
            let end = ExchangeEnd::Withheld;
            let workers = &self.node.workers;
            workers.exchange_ended(self.node, self.connection, &queued.id, end, None);
            return Progress::Continue;
        }
        let bytes = self.encode(&queued);
        let result = self.connection.begin_message(stream, &queued.id, &bytes);
        match result {
            WriteResult::Accepted(_) => self.record_sent(&queued),
            WriteResult::BufferFull => self.connection.put_back(queued),
            WriteResult::Failed => {}
        }
        self.progress_after(result)
    }

    /// Logs whether new work is sent, what shows that its worker may get it, and how old the endpoint list is.
    fn log_basis(self, queued: &QueuedMessage, may_send: bool) {
        if !tracing::enabled!(tracing::Level::DEBUG) {
            return;
        }
        let drain_basis = match self.connection.purpose_of(&queued.id) {
            Some(Purpose::Attempt(ticket)) => self.node.drain_basis_of_attempt(ticket),
            Some(Purpose::LoadOrder(ticket)) => Some(self.node.drain_basis_of_load_order(ticket)),
            Some(Purpose::Probe { .. }) | None => return,
        };
        let unheard_ms = self.node.discovery.unheard(self.node.clock.now()) / 1_000;
        let id = &queued.id;
        tracing::debug!(
            id,
            may_send,
            ?drain_basis,
            unheard_ms,
            "new work for a worker"
        );
    }

    /// Records that the first bytes of a message were sent.
    fn record_sent(self, queued: &QueuedMessage) {
        if let Message::Call(_) = &queued.message {
            self.node.clients.attempt_sent(&queued.id);
        }
    }

    fn progress_after(self, result: WriteResult) -> Progress {
        match result {
            WriteResult::Accepted(_) => Progress::Continue,
            WriteResult::BufferFull => Progress::Stop,
            WriteResult::Failed => {
                self.connection.request_end();
                Progress::Continue
            }
        }
    }

    /// Whether a message may still be sent.
    fn may_send(self, queued: &QueuedMessage) -> bool {
        let purpose = self.connection.purpose_of(&queued.id);
        let in_time = match &queued.message {
            Message::Call(call) => self.time_left(call) > 0,
            Message::Encoded(_) => true,
        };
        let is_retired = || self.node.workers.is_retired(self.connection);
        match purpose {
            Some(Purpose::Attempt(ticket)) => {
                in_time
                    && !is_retired()
                    && self.node.may_send(ticket)
                    && !self.node.clients.is_withdrawn(self.node, &queued.id)
            }
            Some(Purpose::LoadOrder(ticket)) => {
                !is_retired() && self.node.may_send_load_order(ticket)
            }
            // A health check, a cancellation or an order to unload.
            Some(Purpose::Probe { .. }) | None => true,
        }
    }

    fn encode(self, queued: &QueuedMessage) -> Vec<u8> {
        match &queued.message {
            Message::Encoded(bytes) => bytes.clone(),
            Message::Call(call) => self.encode_call(&queued.id, call),
        }
    }

    fn encode_call(self, id: &str, outgoing: &OutgoingCall) -> Vec<u8> {
        let call = worker_protocol::Call {
            id,
            trigger: self.node.workers.protocol().trigger_name(outgoing.trigger),
            function: &outgoing.function,
            time_left: self.time_left(outgoing),
            idempotency_key: outgoing.request.idempotency_key.as_deref(),
            body: &outgoing.request.body.bytes,
        };
        let mut bytes = Vec::new();
        worker_protocol::write_call(&mut bytes, &call);
        bytes
    }

    /// Time until the deadline of an attempt, in microseconds; negative after the deadline.
    fn time_left(self, call: &OutgoingCall) -> Micros {
        call.deadline - self.node.clock.now()
    }
}
