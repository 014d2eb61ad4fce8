//! [`Node`]: ties the core, the connections of clients and workers, discovery and shutdown together.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use async_executor::LocalExecutor;
use async_io::Timer;
use cedarpulley::interface::{Micros, WorkerIndex};
use cedarpulley_net::{Clock, Stream};
use cedarpulley_platform::discovery::{DiscoveryError, EventBatch, ListUpdate};
use cedarpulley_platform::event_loop_lag::EventLoopLag;
use cedarpulley_platform::graceful_shutdown::GracefulShutdown;
use cedarpulley_router::{Input, OrderTicket, Output, Router, Ticket};

use crate::client_connections::ClientConnections;
use crate::core_loop::CoreLoop;
use crate::discovery::Discovery;
use crate::read_buffer::{ReadBuffer, ReadResult};
use crate::worker_connections::{Attempt, LoadOrder, WorkerConnections};

/// How often overdue connections are closed, and the event loop's lag is measured.
const SWEEP_PERIOD: Duration = Duration::from_millis(50);

/// One router with its connections.
pub(crate) struct Node {
    pub clock: Clock,
    pub clients: ClientConnections,
    pub workers: WorkerConnections,
    pub discovery: Discovery,
    executor: Rc<LocalExecutor<'static>>,
    core: CoreLoop,
    shutdown: RefCell<GracefulShutdown>,
    event_loop_lag: Cell<EventLoopLag>,
    read_buffer: ReadBuffer,
}

/// What a node is made of.
pub(crate) struct NodeParts {
    pub router: Router,
    pub clients: ClientConnections,
    pub workers: WorkerConnections,
    pub discovery: Discovery,
    pub shutdown: GracefulShutdown,
}

impl Node {
    pub fn new(clock: Clock, parts: NodeParts) -> Self {
        Node {
            clock,
            clients: parts.clients,
            workers: parts.workers,
            discovery: parts.discovery,
            executor: Rc::new(LocalExecutor::new()),
            core: CoreLoop::new(parts.router),
            shutdown: RefCell::new(parts.shutdown),
            event_loop_lag: Cell::new(new_event_loop_lag(&clock)),
            read_buffer: ReadBuffer::new(),
        }
    }

    /// Runs a task and all those that it spawns on this thread, until the first one ends.
    pub fn block_on(&self, task: impl Future<Output = ()>) {
        async_io::block_on(self.executor.run(task));
    }

    /// Starts a task that runs beside the others.
    pub fn spawn(&self, task: impl Future<Output = ()> + 'static) {
        self.executor.spawn(task).detach();
    }

    /// Hands the core an input and carries out its outputs.
    pub fn feed(self: &Rc<Self>, input: Input) {
        // Outputs for other connections are carried out before this returns: a table that the caller has borrowed would
        // be borrowed twice.
        debug_assert!(
            self.clients.is_unborrowed() && self.workers.is_unborrowed(),
            "fed with a table borrowed"
        );
        self.core
            .feed(&self.clock, input, |output| self.carry_out(output));
    }

    fn carry_out(self: &Rc<Self>, output: Output) {
        match output {
            Output::Answer { delivery, answer } => self.clients.answer(self, delivery, answer),
            Output::Send {
                ticket,
                worker,
                function,
                trigger,
                call,
                ..
            } => {
                let attempt = Attempt {
                    ticket,
                    worker,
                    function,
                    trigger,
                    call,
                };
                self.workers.send(self, attempt);
            }
            Output::Cancel(ticket) => self.workers.cancel(self, ticket),
            Output::Order {
                ticket,
                function,
                copies,
                within,
                ..
            } => {
                let order = LoadOrder {
                    ticket,
                    function,
                    copies,
                    timeout: within,
                };
                self.workers.order(self, order);
            }
            Output::Unload {
                worker, function, ..
            } => self.workers.unload(self, worker, &function),
            Output::Probe { worker } => self.workers.probe(self, worker),
            // The core polls no list, as discovery is followed all the time; clients ask for no admission before they
            // send; there is no front that acknowledges deliveries; routers of the platform share nothing.
            Output::RequestEndpointList
            | Output::Admission { .. }
            | Output::Discard(_)
            | Output::Grant { .. }
            | Output::Replication(_) => {}
        }
    }

    /// Whether an attempt may still be sent, asked right before its first byte.
    pub fn may_send(&self, ticket: Ticket) -> bool {
        self.core.router().may_send(self.clock.now(), ticket)
    }

    /// Whether a load order may still be sent, asked right before its first byte.
    pub fn may_order(&self, ticket: OrderTicket) -> bool {
        self.core.router().may_send_order(self.clock.now(), ticket)
    }

    /// The worker's name in the list, for the log.
    pub fn worker_name(&self, worker: WorkerIndex) -> String {
        let router = self.core.router();
        router.worker_name(worker).unwrap_or_default().to_owned()
    }

    /// Where a worker listens, if it is listed.
    pub fn worker_address(&self, worker: WorkerIndex) -> Option<SocketAddr> {
        self.discovery
            .worker_address(self.core.router().worker_name(worker)?)
    }

    /// Applies a batch of discovery's events. `unheard_for`: it may have been in the channel for so many microseconds
    /// before it was read.
    pub fn apply_events(
        self: &Rc<Self>,
        batch: &EventBatch,
        unheard_for: Micros,
    ) -> Result<(), DiscoveryError> {
        let wall_at_zero = self.clock.wall_time() - self.clock.now();
        let updates = self.discovery.updates(batch, wall_at_zero, unheard_for)?;
        updates.into_iter().for_each(|update| self.apply(update));
        Ok(())
    }

    /// The list of workers is up to date, and may be relied on until then. Where the platform allows no health checks,
    /// nothing could be asked once a lease has ended, and the list is always relied on.
    pub fn renew_list_lease(self: &Rc<Self>, until: Micros) {
        if self.workers.protocol().health_checks {
            self.workers.forget_failed_checks();
            self.feed(Input::EndpointListLease { until });
        }
    }

    fn apply(self: &Rc<Self>, update: ListUpdate) {
        for id in &update.retired {
            if let Some(worker) = self.core.router().worker_index(id) {
                self.workers.retire(worker);
            }
        }
        self.feed(Input::EndpointList {
            kind: update.mode,
            workers: update.workers,
        });
    }

    /// Reads once from a connection without waiting.
    pub fn read<T>(&self, stream: &Stream, process: impl FnOnce(&[u8]) -> T) -> ReadResult<T> {
        self.read_buffer.read(stream, process)
    }

    /// Has the core handle its timers, for as long as the router runs.
    pub async fn run_timers(self: Rc<Self>) {
        loop {
            self.core.timer(&self.clock).await;
            self.feed(Input::Tick);
        }
    }

    /// Closes overdue connections, for as long as the router runs.
    pub async fn run_sweeps(self: Rc<Self>) {
        loop {
            Timer::after(SWEEP_PERIOD).await;
            let mut lag = self.event_loop_lag.get();
            lag.beat(self.clock.now());
            self.event_loop_lag.set(lag);
            self.clients.sweep(&self);
            self.workers.sweep(&self);
        }
    }

    /// The event loop has only now begun to run: what was read before does not count as late.
    pub fn reset_lag(&self) {
        self.event_loop_lag.set(new_event_loop_lag(&self.clock));
    }

    /// What is read now may have arrived so many microseconds ago, beyond what the time limits allow for.
    pub fn lag(&self) -> Micros {
        self.event_loop_lag.get().lag(self.clock.now())
    }

    /// The earliest time at which what is read now may have arrived.
    pub fn arrival_time(&self) -> Micros {
        self.clock.now() - self.lag()
    }

    /// The signal to stop has arrived.
    pub fn begin_shutdown(&self) {
        self.shutdown.borrow_mut().begin(self.clock.now());
    }

    /// Whether the signal to stop has arrived.
    pub fn is_shutting_down(&self) -> bool {
        self.shutdown.borrow().begun()
    }

    /// Whether a request whose last byte arrived at `arrived` is still accepted.
    pub fn accepts(&self, arrived: Micros) -> bool {
        self.shutdown.borrow().accepts(arrived)
    }

    /// Whether the process may exit now. `backlog_empty`: no connection waits to be accepted.
    pub fn may_exit(&self, backlog_empty: bool) -> bool {
        let unfinished =
            !backlog_empty || self.core.router().unfinished() > 0 || self.clients.has_unfinished();
        self.shutdown
            .borrow()
            .may_exit(self.clock.now(), unfinished)
    }

    /// Logs the counts of what happened while the router ran.
    pub fn log_counts(&self) {
        tracing::info!(counts = ?self.core.router().counts, "request counts");
        let clients = self.clients.counts();
        tracing::info!(
            clients.open,
            clients.evicted,
            clients.rejected_connections,
            "client connection counts"
        );
        tracing::info!(rejected = ?clients.rejected_requests, "requests rejected before the core");
        let unplaced = self.workers.unplaced_exchanges();
        tracing::info!(unplaced, "exchanges without a worker connection");
        let (repeated_events, ignored_workers) = self.discovery.ignored();
        tracing::info!(repeated_events, ignored_workers, "worker list counts");
    }
}

fn new_event_loop_lag(clock: &Clock) -> EventLoopLag {
    EventLoopLag::new(SWEEP_PERIOD.as_micros() as Micros, clock.now())
}
