//! Writing to workers, with the last look right before the first byte of each message.

use std::io::{ErrorKind, Write};
use std::rc::Rc;

use cedarpulley::interface::Micros;
use cedarpulley_net::Stream;
use cedarpulley_platform::attempt_outcome::AttemptEnd;
use cedarpulley_platform::worker_protocol;

use super::WorkerConnections;
use super::connection::{Message, OutgoingCall, Purpose, QueuedMessage, WorkerConnection};
use crate::node::Node;

/// What the kernel did with bytes.
enum Written {
    /// It took so many.
    Taken(usize),
    /// It has no room.
    NoRoom,
    /// The connection is of no more use.
    Failed,
}

fn write_once(stream: &Stream, bytes: &[u8]) -> Written {
    loop {
        match stream.get_ref().write(bytes) {
            Ok(0) => return Written::Failed,
            Ok(n) => return Written::Taken(n),
            Err(e) if e.kind() == ErrorKind::Interrupted => {}
            Err(e) if e.kind() == ErrorKind::WouldBlock => return Written::NoRoom,
            Err(_) => return Written::Failed,
        }
    }
}

impl WorkerConnections {
    /// Writes what waits, as far as the kernel takes it; the connection's task goes on with the rest.
    pub(super) fn push(&self, node: &Rc<Node>, connection: &Rc<WorkerConnection>) {
        self.write(node, connection);
        if connection.has_unwritten() {
            connection.wake.ring();
        }
    }

    /// The same from the connection's own task, which then waits for room. It must not wake itself: it would go round for
    /// as long as a worker reads nothing, with all else at a standstill.
    pub(super) fn write(&self, node: &Rc<Node>, connection: &Rc<WorkerConnection>) {
        let Some(stream) = connection.stream.borrow().clone() else {
            return;
        };
        while !connection.ending.get() {
            let goes_on = if connection.unwritten.borrow().is_empty() {
                self.write_next(node, connection, &stream)
            } else {
                Self::write_rest(connection, &stream)
            };
            if !goes_on {
                return;
            }
        }
    }

    /// Goes on with the message that was begun; false if there is no room.
    fn write_rest(connection: &WorkerConnection, stream: &Stream) -> bool {
        let written = write_once(stream, &connection.unwritten.borrow());
        match written {
            Written::Taken(n) => {
                connection.unwritten.borrow_mut().drain(..n);
                connection.written.set(connection.written.get() + n as u64);
            }
            Written::NoRoom => return false,
            Written::Failed => connection.end(),
        }
        true
    }

    /// Begins the next message; false if there is none, or no room. A message that finds no room keeps its place, and is
    /// looked at once more when there is some: its deadline, its client and its worker's grace may be over by then.
    fn write_next(
        &self,
        node: &Rc<Node>,
        connection: &Rc<WorkerConnection>,
        stream: &Stream,
    ) -> bool {
        let Some(queued) = connection.queue.borrow_mut().pop_front() else {
            return false;
        };
        let Some(bytes) = self.encode(node, connection, &queued) else {
            return true;
        };
        match write_once(stream, &bytes) {
            Written::Taken(n) => {
                let whole_at = connection.written.get() + bytes.len() as u64;
                if let Some(exchange) = connection.exchanges.borrow_mut().get_mut(&queued.id) {
                    exchange.whole_at = Some(whole_at);
                }
                connection.written.set(connection.written.get() + n as u64);
                connection.unwritten.replace(bytes[n..].to_vec());
                true
            }
            Written::NoRoom => {
                connection.queue.borrow_mut().push_front(queued);
                false
            }
            Written::Failed => {
                connection.end();
                true
            }
        }
    }

    /// The bytes of a message whose turn has come; none if it is held back, which its exchange is told.
    fn encode(
        &self,
        node: &Rc<Node>,
        connection: &Rc<WorkerConnection>,
        queued: &QueuedMessage,
    ) -> Option<Vec<u8>> {
        if !self.may_begin(node, connection, queued) {
            self.ended(node, connection, &queued.id, AttemptEnd::HeldBack, None);
            return None;
        }
        match &queued.message {
            Message::Bytes(bytes) => Some(bytes.clone()),
            Message::Call(call) => Some(encode_call(node, &queued.id, call)),
        }
    }

    fn may_begin(
        &self,
        node: &Rc<Node>,
        connection: &WorkerConnection,
        queued: &QueuedMessage,
    ) -> bool {
        let purpose = connection
            .exchanges
            .borrow()
            .get(&queued.id)
            .map(|exchange| exchange.purpose);
        let in_time = match &queued.message {
            Message::Call(call) => time_left(node, call) > 0,
            Message::Bytes(_) => true,
        };
        let retired = || self.pool.borrow().is_retired(connection.id);
        match purpose {
            Some(Purpose::Attempt(ticket)) => {
                in_time
                    && !retired()
                    && node.may_send(ticket)
                    && !node.clients.has_left(node, &queued.id)
            }
            Some(Purpose::Order(ticket)) => !retired() && node.may_order(ticket),
            // Something is withdrawn, unloaded or asked.
            Some(Purpose::Probe { .. }) | None => true,
        }
    }
}

fn time_left(node: &Node, call: &OutgoingCall) -> Micros {
    call.waited_until - node.clock.now()
}

fn encode_call(node: &Node, id: &str, outgoing: &OutgoingCall) -> Vec<u8> {
    let trigger = node
        .names
        .triggers
        .get(outgoing.trigger as usize)
        .map_or("", String::as_str);
    let mut bytes = Vec::new();
    let call = worker_protocol::Call {
        id,
        trigger,
        function: &outgoing.function,
        time_left: time_left(node, outgoing),
        token: outgoing.call.token.as_deref(),
        body: &outgoing.call.body.bytes,
    };
    worker_protocol::call(&mut bytes, &call);
    bytes
}
