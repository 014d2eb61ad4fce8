//! Writing to workers. Whether a message may still be sent is checked right before its first byte.

use std::rc::Rc;

use cedarpulley::interface::Micros;
use cedarpulley_net::Stream;
use cedarpulley_platform::attempt_outcome::ExchangeEnd;
use cedarpulley_platform::worker_protocol;

use super::connection::{
    Message, OutgoingCall, Purpose, QueuedMessage, WorkerConnection, WriteResult,
};
use crate::node::Node;

/// Whether writing to a connection can go on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Progress {
    GoOn,
    /// Nothing is left to write, or the kernel's buffer is full.
    Stop,
}

/// Writes the messages of one connection.
#[derive(Clone, Copy)]
pub(super) struct Sender<'a> {
    node: &'a Rc<Node>,
    connection: &'a Rc<WorkerConnection>,
}

impl<'a> Sender<'a> {
    pub fn new(node: &'a Rc<Node>, connection: &'a Rc<WorkerConnection>) -> Self {
        Sender { node, connection }
    }

    /// Writes what is queued, as far as the kernel accepts it; the connection's task is woken for the rest.
    pub fn flush(self) {
        self.write();
        if self.connection.has_unwritten() {
            self.connection.wake();
        }
    }

    /// The same from the connection's own task, which then waits for room. It must not wake itself: it would run without
    /// a pause for as long as the worker reads nothing, and no other task would.
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

    /// Begins the next message. One that finds the kernel's buffer full keeps its place, and is checked once more when
    /// there is room: its deadline may have passed, its client disconnected, or its worker's drain grace ended by then.
    fn begin_message(self, stream: &Stream) -> Progress {
        let Some(queued) = self.connection.next_message() else {
            return Progress::Stop;
        };
        if !self.may_send(&queued) {
            let end = ExchangeEnd::Withheld;
            let workers = &self.node.workers;
            workers.exchange_ended(self.node, self.connection, &queued.id, end, None);
            return Progress::GoOn;
        }
        let bytes = self.encode(&queued);
        let result = self.connection.begin_message(stream, &queued.id, &bytes);
        if let WriteResult::BufferFull = result {
            self.connection.put_back(queued);
        }
        self.progress_after(result)
    }

    fn progress_after(self, result: WriteResult) -> Progress {
        match result {
            WriteResult::Accepted(_) => Progress::GoOn,
            WriteResult::BufferFull => Progress::Stop,
            WriteResult::Failed => {
                self.connection.end();
                Progress::GoOn
            }
        }
    }

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
                    && !self.node.clients.has_disconnected(self.node, &queued.id)
            }
            Some(Purpose::LoadOrder(ticket)) => !is_retired() && self.node.may_order(ticket),
            // A probe, a cancellation or an order to unload.
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
            idempotency_key: outgoing.call.idempotency_key.as_deref(),
            body: &outgoing.call.body.bytes,
        };
        let mut bytes = Vec::new();
        worker_protocol::write_call(&mut bytes, &call);
        bytes
    }

    fn time_left(self, call: &OutgoingCall) -> Micros {
        call.deadline - self.node.clock.now()
    }
}
