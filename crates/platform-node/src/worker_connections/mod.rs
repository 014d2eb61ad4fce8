//! Connections to workers. Each has a task that reads answers. Messages are written at once, as far as the kernel
//! accepts them. The number of bytes that the kernel has accepted proves whether a message was sent.

mod connection;
mod readiness_log;
mod report;
mod sending;
mod session;

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;
use std::sync::Arc;

use cedarpulley::interface::{Micros, WorkerIndex};
use cedarpulley::table_size::TableSize;
use cedarpulley_platform::attempt_outcome::ExchangeEnd;
use cedarpulley_platform::connection_pool::{ConnectionId, ConnectionPool, LateAnswer, Placement};
use cedarpulley_platform::loop_activity::{Activity, TaskOwner};
use cedarpulley_platform::memory_share::MemoryShare;
use cedarpulley_platform::worker_protocol::{self, Answer};
use cedarpulley_router::core::DispatchRequest;
use cedarpulley_router::{LoadOrderTicket, Ticket};
use cedarpulley_startup::ReportField;

use crate::node::Node;
use connection::{
    CloseReason, Exchange, Message, OutgoingCall, Purpose, QueuedMessage, WorkerConnection,
};
use readiness_log::ReadinessLog;
use report::report_end;
use sending::Sender;
use session::Session;

/// The settings of the protocol between router and workers.
pub(crate) struct WorkerProtocol {
    /// The names of the trigger types, by index.
    pub trigger_names: Vec<String>,
    /// The fields of load reports that are used.
    pub report_fields: Vec<ReportField>,
    /// Whether workers report how many invocations of the same function they have in flight.
    pub reports_function_load: bool,
    /// Time limit for establishing a connection, and for the answer to a health check, in microseconds.
    pub connect_timeout: Micros,
    /// Whether cancellations may be sent to workers.
    pub allows_cancellation: bool,
}

impl WorkerProtocol {
    /// The name of a trigger type; empty if the index is unknown.
    pub fn trigger_name(&self, trigger: u32) -> &str {
        self.trigger_names
            .get(trigger as usize)
            .map_or("", String::as_str)
    }
}

/// An attempt to execute a request.
pub(crate) struct Attempt {
    pub ticket: Ticket,
    pub worker: WorkerIndex,
    pub function: Arc<str>,
    pub trigger: u32,
    pub request: DispatchRequest,
}

/// An order to load copies of a function.
pub(crate) struct LoadOrder {
    pub ticket: LoadOrderTicket,
    pub function: Arc<str>,
    pub copies: u32,
    /// Time limit for the worker's answer, in microseconds.
    pub timeout: Micros,
}

/// The connection on which an attempt is in flight, and the id of its request.
struct AttemptLocation {
    connection: ConnectionId,
    request_id: String,
}

/// All connections to workers and the exchanges in flight on them.
pub(crate) struct WorkerConnections {
    protocol: WorkerProtocol,
    pool: RefCell<ConnectionPool>,
    connections: RefCell<HashMap<ConnectionId, Rc<WorkerConnection>>>,
    attempts: RefCell<HashMap<Ticket, AttemptLocation>>,
    /// Number of the last id assigned to a load order or a health check.
    last_exchange_number: Cell<u64>,
    readiness: ReadinessLog,
    /// Memory for answers that have arrived in part.
    answer_memory: MemoryShare,
    /// Number of connections that were closed for lack of memory.
    closed_for_memory: Cell<u64>,
}

impl WorkerConnections {
    pub fn new(protocol: WorkerProtocol, pool: ConnectionPool, answer_memory: MemoryShare) -> Self {
        WorkerConnections {
            answer_memory,
            protocol,
            pool: RefCell::new(pool),
            connections: RefCell::default(),
            attempts: RefCell::default(),
            last_exchange_number: Cell::new(0),
            readiness: ReadinessLog::default(),
            closed_for_memory: Cell::new(0),
        }
    }

    pub fn protocol(&self) -> &WorkerProtocol {
        &self.protocol
    }

    /// Clears the failed health checks in the readiness log. Called when the endpoint list is up to date: the list then
    /// determines which workers receive new work.
    pub fn clear_failed_checks(&self) {
        self.readiness.clear();
    }

    /// Number of exchanges for which no connection was available.
    pub fn unplaced_exchanges(&self) -> u64 {
        self.pool.borrow().exhausted()
    }

    /// Number of connections that were closed as unfinished answers took more memory than their share.
    pub fn closed_for_memory(&self) -> u64 {
        self.closed_for_memory.get()
    }

    /// Whether none of the tables that outputs of the core may change is borrowed.
    pub fn is_unborrowed(&self) -> bool {
        self.pool.try_borrow_mut().is_ok()
            && self.connections.try_borrow_mut().is_ok()
            && self.attempts.try_borrow_mut().is_ok()
    }
}

/// Execution of the core's outputs.
impl WorkerConnections {
    /// Sends an attempt.
    pub fn send(&self, node: &Rc<Node>, attempt: Attempt) {
        let request = attempt.request;
        let id = request.name.as_deref().unwrap_or("").to_owned();
        let message = Message::Call(OutgoingCall {
            trigger: attempt.trigger,
            function: attempt.function,
            deadline: node.clock.now() + request.timeout,
            request,
        });
        log_attempt(node, &id, &attempt.ticket, attempt.worker);
        let exchange = Exchange::new(Purpose::Attempt(attempt.ticket), Micros::MAX);
        self.start_exchange(
            node,
            attempt.worker,
            exchange,
            QueuedMessage { id, message },
        );
    }

    /// Orders a worker to load copies of a function.
    pub fn order(&self, node: &Rc<Node>, order: LoadOrder) {
        let (id, mut bytes) = (self.new_exchange_id(), Vec::new());
        worker_protocol::write_load_order(&mut bytes, &id, &order.function, order.copies);
        let deadline = node.clock.now() + order.timeout;
        let exchange = Exchange::new(Purpose::LoadOrder(order.ticket), deadline);
        let message = Message::Encoded(bytes);
        let queued = QueuedMessage { id, message };
        self.start_exchange(node, order.ticket.worker, exchange, queued);
    }

    /// Sends a worker a health check.
    pub fn probe(&self, node: &Rc<Node>, worker: WorkerIndex) {
        let (id, mut bytes, started) = (self.new_exchange_id(), Vec::new(), node.clock.now());
        worker_protocol::write_probe(&mut bytes, &id);
        let deadline = started + self.protocol.connect_timeout;
        let exchange = Exchange::new(Purpose::Probe { worker, started }, deadline);
        let message = Message::Encoded(bytes);
        self.start_exchange(node, worker, exchange, QueuedMessage { id, message });
    }

    /// Orders a worker to unload idle copies of a function. The worker sends no answer to this order.
    pub fn unload(&self, node: &Rc<Node>, worker: WorkerIndex, function: &str) {
        let mut bytes = Vec::new();
        worker_protocol::write_unload_order(&mut bytes, function);
        if let Ok(connection) = self.place(node, worker) {
            connection.enqueue(QueuedMessage::one_way(bytes));
            Sender::new(node, &connection).flush();
            // If the connection is now due to be closed, the next sweep closes it.
            self.pool.borrow_mut().exchange_ended(
                node.clock.now(),
                connection.id(),
                LateAnswer::Impossible,
            );
        }
    }

    /// Gives up an attempt. If its message was sent completely, a cancellation is sent to the worker, or the connection is
    /// closed if cancellations are not allowed. If the message was sent in part, the connection is closed.
    pub fn cancel(&self, node: &Rc<Node>, ticket: Ticket) {
        let Some(location) = self.attempts.borrow_mut().remove(&ticket) else {
            return;
        };
        let Some(connection) = self.connection(location.connection) else {
            return;
        };
        let Some(exchange) = connection.remove_exchange(&location.request_id) else {
            return;
        };
        let late_answer = if !exchange.has_sent_bytes() {
            connection.dequeue(&location.request_id);
            LateAnswer::Impossible
        } else if !connection.is_sent(&exchange) {
            // A part of the message was sent: the worker must never receive the rest.
            return connection.close(CloseReason::PartlySent);
        } else if self.protocol.allows_cancellation {
            let mut bytes = Vec::new();
            worker_protocol::write_cancellation(&mut bytes, &location.request_id);
            connection.enqueue(QueuedMessage::one_way(bytes));
            Sender::new(node, &connection).flush();
            LateAnswer::Possible
        } else {
            return connection.close(CloseReason::GivenUp);
        };
        self.release(node, &connection, late_answer);
    }

    fn new_exchange_id(&self) -> String {
        self.last_exchange_number
            .set(self.last_exchange_number.get() + 1);
        format!("t{}", self.last_exchange_number.get())
    }

    /// Starts an exchange: sends a message to which the worker sends an answer.
    fn start_exchange(
        &self,
        node: &Rc<Node>,
        worker: WorkerIndex,
        exchange: Exchange,
        queued: QueuedMessage,
    ) {
        let connection = match self.place(node, worker) {
            Ok(connection) => connection,
            Err(end) => {
                tracing::debug!(
                    id = queued.id,
                    ?end,
                    "no connection for an exchange with a worker"
                );
                return report_end(node, exchange.purpose, end, None);
            }
        };
        if let Purpose::Attempt(ticket) = exchange.purpose {
            let location = AttemptLocation {
                connection: connection.id(),
                request_id: queued.id.clone(),
            };
            self.attempts.borrow_mut().insert(ticket, location);
        }
        connection.add_exchange(queued.id.clone(), exchange);
        connection.enqueue(queued);
        Sender::new(node, &connection).flush();
    }
}

/// The table of connections.
impl WorkerConnections {
    fn connection(&self, id: ConnectionId) -> Option<Rc<WorkerConnection>> {
        self.connections.borrow().get(&id).cloned()
    }

    /// The connection for the next exchange with a worker, on which the exchange then counts as in flight. The error is
    /// the result of the exchange if no connection is available.
    fn place(
        &self,
        node: &Rc<Node>,
        worker: WorkerIndex,
    ) -> Result<Rc<WorkerConnection>, ExchangeEnd> {
        let placement = self.pool.borrow_mut().place(node.clock.now(), worker);
        match placement {
            Placement::Existing(id) => self.connection(id).ok_or(ExchangeEnd::NotSent),
            Placement::New(id) => self.open(node, id, worker),
            Placement::Replacement { evicted, id } => {
                self.close(vec![evicted], CloseReason::Evicted);
                self.open(node, id, worker)
            }
            Placement::Exhausted => {
                node.record_activity(Activity::NoConnection);
                Err(ExchangeEnd::NoConnection)
            }
        }
    }

    /// Opens a connection to a worker and starts its task. The error is the result of the exchange if the address of the
    /// worker is unknown.
    fn open(
        &self,
        node: &Rc<Node>,
        id: ConnectionId,
        worker: WorkerIndex,
    ) -> Result<Rc<WorkerConnection>, ExchangeEnd> {
        let Some(address) = node.worker_address(worker) else {
            self.pool.borrow_mut().closed(id);
            node.record_activity(Activity::UnknownAddress);
            return Err(ExchangeEnd::ConnectFailed);
        };
        let connection = Rc::new(WorkerConnection::new(id, self.answer_memory.owner()));
        self.connections.borrow_mut().insert(id, connection.clone());
        let (task_node, task_connection) = (node.clone(), connection.clone());
        let connect_timeout = self.protocol.connect_timeout;
        node.spawn(TaskOwner::Worker(id), async move {
            let session = Session::new(&task_node, &task_connection);
            session.run(address, connect_timeout).await;
        });
        Ok(connection)
    }

    /// Whether this connection is retired, so that no further attempt or load order may be sent on it.
    fn is_retired(&self, connection: &WorkerConnection) -> bool {
        self.pool.borrow().is_retired(connection.id())
    }

    /// Retires the current connections to a worker whose address is no longer valid: no further exchange is placed on
    /// them. Those that are still being established are closed at once.
    pub fn retire(&self, worker: WorkerIndex) {
        let connecting = self.pool.borrow_mut().retire(worker);
        self.close(connecting, CloseReason::WorkerGone);
    }

    /// Ends the exchanges whose deadlines have passed, and closes the connections that are due to be closed.
    pub fn sweep(&self, node: &Rc<Node>) {
        let now = node.clock.now();
        let connections: Vec<Rc<WorkerConnection>> =
            self.connections.borrow().values().cloned().collect();
        for connection in connections {
            for id in connection.overdue_exchanges(now) {
                let end = ExchangeEnd::ConnectionLost;
                self.exchange_ended(node, &connection, &id, end, None);
            }
        }
        let due = self.pool.borrow().due_for_close(now);
        self.close(due, CloseReason::Due);
    }

    /// Closes the connection with the largest unfinished answer if all of them take more memory than their share.
    fn limit_answer_memory(&self) {
        if !self.answer_memory.is_exceeded() {
            return;
        }
        let connections = self.connections.borrow();
        let largest = connections
            .values()
            .filter(|connection| !connection.is_ending())
            .max_by_key(|connection| connection.answer_memory());
        if let Some(connection) = largest {
            self.closed_for_memory.set(self.closed_for_memory.get() + 1);
            connection.close(CloseReason::NoMemory);
        }
    }

    /// The size of the buffers.
    pub fn table_size(&self) -> TableSize {
        TableSize {
            name: "unfinished answers",
            entries: self.connections.borrow().len(),
            bytes: self.answer_memory.held(),
        }
    }

    fn close(&self, connections: Vec<ConnectionId>, reason: CloseReason) {
        connections
            .into_iter()
            .filter_map(|id| self.connection(id))
            .for_each(|connection| connection.close(reason));
    }

    /// Reads what has arrived on the connections on which this request is in flight.
    pub fn read_answers_to(&self, node: &Rc<Node>, request_id: &str) {
        let connections: Vec<Rc<WorkerConnection>> = self
            .connections
            .borrow()
            .values()
            .filter(|connection| connection.has_exchange(request_id))
            .cloned()
            .collect();
        for connection in connections {
            Session::new(node, &connection).read_answers_to(request_id);
        }
    }
}

/// Handling of connection events.
impl WorkerConnections {
    /// Records that the process had no descriptor left for a connection.
    fn out_of_descriptors(&self, node: &Node) {
        node.record_activity(Activity::NoConnection);
        self.pool.borrow_mut().out_of_descriptors(node.clock.now());
    }

    fn established(&self, connection: &WorkerConnection) {
        self.pool.borrow_mut().connected(connection.id());
    }

    /// Records that bytes have arrived; called after the complete answers in them have been processed.
    fn received(&self, node: &Node, connection: &WorkerConnection) {
        let partial = connection.has_partial_answer();
        self.pool
            .borrow_mut()
            .received(node.clock.now(), connection.id(), partial);
        self.limit_answer_memory();
    }

    /// Ends an exchange on a connection, with an answer or without one, and reports the end to the core.
    fn exchange_ended(
        &self,
        node: &Rc<Node>,
        connection: &WorkerConnection,
        id: &str,
        end: ExchangeEnd,
        answer: Option<Answer>,
    ) {
        let Some(exchange) = connection.remove_exchange(id) else {
            return;
        };
        if let Purpose::Attempt(ticket) = exchange.purpose {
            self.attempts.borrow_mut().remove(&ticket);
        }
        let late_answer = if answer.is_some() || end == ExchangeEnd::Withheld {
            LateAnswer::Impossible
        } else {
            LateAnswer::Possible
        };
        self.release(node, connection, late_answer);
        tracing::debug!(id, ?end, "exchange with a worker ended");
        report_end(node, exchange.purpose, end, answer);
    }

    /// Records that an exchange is no longer in flight on its connection, and closes the connection if it is due.
    fn release(&self, node: &Node, connection: &WorkerConnection, late_answer: LateAnswer) {
        let close_now =
            self.pool
                .borrow_mut()
                .exchange_ended(node.clock.now(), connection.id(), late_answer);
        if close_now {
            connection.close(CloseReason::LateAnswerPossible);
        }
    }

    /// Removes a connection that has ended, and ends all exchanges on it. `unsent`: the result of the exchanges whose
    /// messages were not sent completely.
    fn connection_ended(
        &self,
        node: &Rc<Node>,
        connection: &WorkerConnection,
        unsent: ExchangeEnd,
    ) {
        let mut pool = self.pool.borrow_mut();
        if connection.is_closed_locally() {
            pool.closed(connection.id());
        } else {
            pool.lost(node.clock.now(), connection.id());
        }
        drop(pool);
        tracing::debug!(
            connection = connection.id(),
            reason = ?connection.close_reason(),
            "connection to a worker ended"
        );
        self.connections.borrow_mut().remove(&connection.id());
        for (id, exchange) in connection.take_exchanges() {
            if let Purpose::Attempt(ticket) = exchange.purpose {
                self.attempts.borrow_mut().remove(&ticket);
            }
            let end = if connection.is_sent(&exchange) {
                ExchangeEnd::ConnectionLost
            } else {
                unsent
            };
            tracing::debug!(id, ?end, "exchange with a worker ended");
            report_end(node, exchange.purpose, end, None);
        }
    }
}

/// Logs the worker to which an attempt is assigned. The worker's name is looked up only if the line is logged.
fn log_attempt(node: &Node, request_id: &str, ticket: &Ticket, worker: WorkerIndex) {
    if tracing::enabled!(tracing::Level::DEBUG) {
        let (attempt, worker) = (ticket.dispatch, node.worker_name(worker));
        let allowed_by = node.repeat_basis(*ticket);
        tracing::debug!(
            id = request_id,
            attempt,
            worker,
            ?allowed_by,
            "attempt assigned to a worker"
        );
    }
}
