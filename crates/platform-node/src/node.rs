//! [`Node`]: connects the router core, the connections of clients and workers, discovery and shutdown.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use async_executor::LocalExecutor;
use async_io::Timer;
use cedarpulley::interface::{Micros, WorkerIndex};
use cedarpulley::table_size::TableSizes;
use cedarpulley_net::{Clock, Stream, measured, run_tasks};
use cedarpulley_platform::discovery::{DiscoveryError, EventBatch};
use cedarpulley_platform::event_loop_lag::EventLoopLag;
use cedarpulley_platform::graceful_shutdown::GracefulShutdown;
use cedarpulley_platform::listen_queue::ListenQueue;
use cedarpulley_platform::loop_activity::{Activity, TaskOwner};
use cedarpulley_router::core::RepeatBasis;
use cedarpulley_router::drain_gate::DrainBasis;
use cedarpulley_router::{AnswerReason, Input, LoadOrderTicket, Output, Router, Ticket};
use futures_lite::future::yield_now;

use crate::client_connections::ClientConnections;
use crate::core_loop::CoreLoop;
use crate::discovery::Discovery;
use crate::metrics::NodeMetrics;
use crate::read_buffer::{ReadBuffer, ReadResult};
use crate::refusal_log::RefusalLog;
use crate::worker_connections::{Attempt, LoadOrder, WorkerConnections};

/// Time between two sweeps, each of which closes overdue connections and measures the lag of the event loop.
const SWEEP_PERIOD: Duration = Duration::from_millis(50);

/// Time between two logs of the sizes of the router's tables, in microseconds.
const TABLE_LOG_PERIOD: Micros = 1_000_000;

/// A router with its connections.
pub(crate) struct Node {
    pub clock: Clock,
    pub clients: ClientConnections,
    pub workers: WorkerConnections,
    pub discovery: Discovery,
    /// What is known of the queue of connections to accept.
    pub listen_queue: RefCell<ListenQueue>,
    executor: Rc<LocalExecutor<'static>>,
    core: CoreLoop,
    shutdown: RefCell<GracefulShutdown>,
    event_loop_lag: Cell<EventLoopLag>,
    refusal_log: RefusalLog,
    tables_logged_at: Cell<Micros>,
    read_buffer: ReadBuffer,
}

/// The components from which a [`Node`] is created.
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
            listen_queue: RefCell::default(),
            executor: Rc::new(LocalExecutor::new()),
            core: CoreLoop::new(parts.router, clock.now()),
            shutdown: RefCell::new(parts.shutdown),
            event_loop_lag: Cell::new(new_event_loop_lag(&clock)),
            refusal_log: RefusalLog::default(),
            tables_logged_at: Cell::new(clock.now()),
            read_buffer: ReadBuffer::new(),
        }
    }

    /// Runs a task, and all tasks that it spawns, on this thread until that first task ends.
    pub fn block_on(&self, task: impl Future<Output = ()>) {
        run_tasks(&self.executor, task);
    }

    /// Starts a task that runs concurrently with the others.
    pub fn spawn(&self, owner: TaskOwner, task: impl Future<Output = ()> + 'static) {
        let activity = self.core.shared_activity();
        let record = move |duration| activity.borrow_mut().task_ran(owner, duration);
        self.executor
            .spawn(measured(self.clock, record, task))
            .detach();
    }

    /// Passes an input to the core and executes the outputs.
    pub fn feed(self: &Rc<Self>, input: Input) {
        // Outputs are executed before this function returns, also those for other connections. A table that the caller
        // has borrowed would be borrowed a second time, which panics.
        debug_assert!(
            self.clients.is_unborrowed() && self.workers.is_unborrowed(),
            "feed was called while a table is borrowed"
        );
        self.core
            .feed(&self.clock, input, |output| self.execute(output));
    }

    fn execute(self: &Rc<Self>, output: Output) {
        match output {
            Output::Answer { delivery, answer } => self.clients.answer(self, delivery, answer),
            Output::Send {
                ticket,
                worker,
                function,
                trigger,
                request,
                ..
            } => {
                let attempt = Attempt {
                    ticket,
                    worker,
                    function,
                    trigger,
                    request,
                };
                self.workers.send(self, attempt);
            }
            Output::Cancel(ticket) => self.workers.cancel(self, ticket),
            Output::LoadOrder {
                ticket,
                function,
                copies,
                timeout,
                ..
            } => {
                let order = LoadOrder {
                    ticket,
                    function,
                    copies,
                    timeout,
                };
                self.workers.order(self, order);
            }
            Output::Unload {
                worker, function, ..
            } => self.workers.unload(self, worker, &function),
            Output::Probe { worker } => self.workers.probe(self, worker),
            // Endpoint lists need not be requested, as the discovery channel is polled all the time. Clients do not ask
            // for admission before they send a request. No front acknowledges deliveries. Routers on this platform
            // share no state.
            Output::RequestEndpointList
            | Output::Admission { .. }
            | Output::Discard(_)
            | Output::Grant { .. }
            | Output::Replication(_) => {}
        }
    }

    /// Whether an attempt may still be sent; checked right before its first byte is written.
    pub fn may_send(&self, ticket: Ticket) -> bool {
        self.core.router().may_send(self.clock.now(), ticket)
    }

    /// Whether a load order may still be sent; checked right before its first byte is written.
    pub fn may_send_load_order(&self, ticket: LoadOrderTicket) -> bool {
        self.core
            .router()
            .may_send_load_order(self.clock.now(), ticket)
    }

    /// Why an attempt was allowed, for the log.
    pub fn repeat_basis(&self, ticket: Ticket) -> Option<RepeatBasis> {
        self.core.router().repeat_basis(ticket)
    }

    /// What shows whether the drain grace of an attempt's worker is over, for the log.
    pub fn drain_basis_of_attempt(&self, ticket: Ticket) -> Option<DrainBasis> {
        let router = self.core.router();
        router.drain_basis_of_attempt(self.clock.now(), ticket)
    }

    /// What shows whether the drain grace of a load order's worker is over, for the log.
    pub fn drain_basis_of_load_order(&self, ticket: LoadOrderTicket) -> DrainBasis {
        let router = self.core.router();
        router.drain_basis_of_load_order(self.clock.now(), ticket)
    }

    /// The worker's name in the endpoint list, for the log; empty if the worker is not listed.
    pub fn worker_name(&self, worker: WorkerIndex) -> String {
        let router = self.core.router();
        router.worker_name(worker).unwrap_or_default().to_owned()
    }

    /// The address at which a worker listens; `None` if the worker is not listed.
    pub fn worker_address(&self, worker: WorkerIndex) -> Option<SocketAddr> {
        self.discovery
            .worker_address(self.core.router().worker_name(worker)?)
    }

    /// Applies a batch of discovery events. `max_age`: the longest time for which the batch may have waited in the
    /// channel before it was read, in microseconds.
    pub fn apply_events(
        self: &Rc<Self>,
        batch: &EventBatch,
        max_age: Micros,
    ) -> Result<(), DiscoveryError> {
        let wall_at_zero = self.clock.wall_time() - self.clock.now();
        let updates = self.discovery.apply_batch(batch, wall_at_zero, max_age)?;
        for id in updates.iter().flat_map(|update| &update.retired) {
            if let Some(worker) = self.core.router().worker_index(id) {
                self.workers.retire(worker);
            }
        }
        for update in updates {
            self.feed(Input::EndpointList {
                kind: update.mode,
                workers: update.workers,
            });
        }
        Ok(())
    }

    /// Records that the endpoint list is up to date and may be relied on until `until`, in microseconds of the router's
    /// clock.
    pub fn renew_list_lease(self: &Rc<Self>, until: Micros) {
        self.workers.clear_failed_checks();
        self.feed(Input::EndpointListLease { until });
    }

    /// Passes the present lease for drains to the core.
    pub fn renew_drain_lease(self: &Rc<Self>) {
        self.feed(Input::DrainLease(self.discovery.drain_lease()));
    }

    /// Begins to log refusals of all new work; called when clients are accepted.
    pub fn log_refusals(&self) {
        self.refusal_log.enable();
    }

    /// Whether health checks may be sent to workers.
    pub fn allows_health_checks(&self) -> bool {
        self.core.router().allows_health_checks()
    }

    /// Reads once from a connection without waiting.
    pub fn read<T>(&self, stream: &Stream, process: impl FnOnce(&[u8]) -> T) -> ReadResult<T> {
        self.read_buffer.read(stream, process)
    }

    /// Notifies the core whenever one of its timers is due, while the router runs.
    pub async fn run_timers(self: Rc<Self>) {
        loop {
            self.core.wait_for_timer(&self.clock).await;
            self.feed(Input::Tick);
        }
    }

    /// Continues with the inputs that are left after a turn of the core loop, while the router runs. Between two turns
    /// the other tasks run, which serve the connections.
    pub async fn run_left_inputs(self: Rc<Self>) {
        loop {
            self.core.inputs_left().await;
            yield_now().await;
            self.core
                .run_turn(&self.clock, |output| self.execute(output));
        }
    }

    /// Measures the lag of the event loop and closes overdue connections periodically, while the router runs.
    pub async fn run_sweeps(self: Rc<Self>) {
        loop {
            Timer::after(SWEEP_PERIOD).await;
            self.report_activity();
            let mut lag = self.event_loop_lag.get();
            lag.timer_ran(self.clock.now());
            self.event_loop_lag.set(lag);
            self.clients.sweep(&self);
            self.workers.sweep(&self);
            self.report_refusal();
            self.log_tables_periodically();
        }
    }

    /// Logs when the router begins and ends to refuse all new work.
    fn report_refusal(&self) {
        self.refusal_log.observe(self.clock.now(), self.metrics());
    }

    /// The present metrics.
    pub fn metrics(&self) -> NodeMetrics {
        let now = self.clock.now();
        let router = self.core.router();
        NodeMetrics {
            refuses_new_work: router.refuses_new_work(now),
            drains_unknown: router.counts.answers_for(AnswerReason::DrainsUnknown),
            unheard: self.discovery.unheard(now),
        }
    }

    fn log_tables_periodically(&self) {
        let now = self.clock.now();
        let is_due = now - self.tables_logged_at.get() >= TABLE_LOG_PERIOD;
        if is_due && tracing::enabled!(tracing::Level::DEBUG) {
            self.tables_logged_at.set(now);
            let tables = self.table_sizes();
            tracing::debug!(%tables, "table sizes");
        }
    }

    /// The sizes of the tables that callers, workers and discovery fill.
    fn table_sizes(&self) -> TableSizes {
        let mut sizes = self.core.router().table_sizes();
        sizes.0.extend(self.clients.table_sizes());
        sizes.0.push(self.workers.table_size());
        sizes
    }

    /// Records an activity of the core loop.
    pub fn record_activity(&self, activity: Activity) {
        self.core.record(activity);
    }

    /// Logs what filled the time since the last call if the router stood still for long.
    fn report_activity(&self) {
        let report = self.core.activity().take_report(self.clock.now());
        if report.is_notable(SWEEP_PERIOD.as_micros() as Micros) {
            let longest = report.longest_turn;
            tracing::warn!(
                period_ms = report.duration / 1_000,
                turns = report.turns,
                all_turns = ?report.counts,
                longest_turn_ms = longest.duration / 1_000,
                longest_turn = ?longest.counts,
                held_by = ?report.longest_run.map(|run| run.owner),
                held_ms = report.longest_run.map_or(0, |run| run.duration / 1_000),
                "the router stood still"
            );
        }
    }

    /// Measures the lag of the event loop from now on, when the loop starts to run. The time before, in which nothing
    /// could be read, does not count.
    pub fn reset_lag(&self) {
        self.core.activity().take_report(self.clock.now());
        self.event_loop_lag.set(new_event_loop_lag(&self.clock));
    }

    /// The longest time, in microseconds, for which bytes that are read now may have waited, beyond the delay that the
    /// time limits allow for.
    pub fn lag(&self) -> Micros {
        self.event_loop_lag.get().lag(self.clock.now())
    }

    /// The earliest time at which bytes that are read now may have arrived, in microseconds of the router's clock.
    pub fn arrival_time(&self) -> Micros {
        self.clock.now() - self.lag()
    }

    /// Starts the shutdown; called when the signal to stop has arrived.
    pub fn begin_shutdown(&self) {
        self.shutdown.borrow_mut().begin(self.clock.now());
    }

    /// Whether the signal to stop has arrived.
    pub fn is_shutting_down(&self) -> bool {
        self.shutdown.borrow().has_begun()
    }

    /// Whether a request is accepted whose last byte arrived at `arrived`, in microseconds of the router's clock.
    pub fn accepts(&self, arrived: Micros) -> bool {
        self.shutdown.borrow().accepts(arrived)
    }

    /// Whether the router shuts down and clients may still connect whose connects were dropped before.
    pub fn awaits_connects(&self, now: Micros) -> bool {
        let queue = self.listen_queue.borrow();
        self.shutdown.borrow().awaits_connects(now, &queue)
    }

    /// Whether the process may exit now. `backlog_empty`: whether no connection is waiting to be accepted.
    pub fn may_exit(&self, backlog_empty: bool) -> bool {
        let now = self.clock.now();
        let unfinished = !backlog_empty
            || self.awaits_connects(now)
            || !self.core.is_idle()
            || self.core.router().unfinished() > 0
            || self.clients.has_unfinished();
        self.shutdown.borrow().may_exit(now, unfinished)
    }

    /// Logs the counts of requests and connections since the router was started.
    pub fn log_counts(&self) {
        tracing::info!(counts = ?self.core.router().counts, "request counts");
        let clients = self.clients.counts();
        tracing::info!(
            clients.open,
            clients.evicted,
            clients.rejected_connections,
            clients.answers_without_memory,
            "client connection counts"
        );
        tracing::info!(rejected = ?clients.rejected_requests, "requests rejected before reaching the router core");
        let most_in_row = self.listen_queue.borrow().most_in_row();
        tracing::info!(most_in_row, "connections accepted before none was waiting");
        let longest = self.core.activity().longest_turn();
        tracing::info!(
            longest_turn_ms = longest.duration / 1_000,
            counts = ?longest.counts,
            "longest turn of the core loop"
        );
        if let Some(run) = self.core.activity().longest_run() {
            let held_ms = run.duration / 1_000;
            tracing::info!(held_by = ?run.owner, held_ms, "longest run of a task");
        }
        let tables = self.table_sizes();
        tracing::info!(%tables, "table sizes");
        let unplaced = self.workers.unplaced_exchanges();
        tracing::info!(unplaced, "exchanges without a worker connection");
        let closed_for_memory = self.workers.closed_for_memory();
        tracing::info!(
            closed_for_memory,
            "worker connections closed for lack of memory"
        );
        let (repeated_events, ignored_workers) = self.discovery.ignored_counts();
        tracing::info!(repeated_events, ignored_workers, "endpoint list counts");
    }
}

fn new_event_loop_lag(clock: &Clock) -> EventLoopLag {
    EventLoopLag::new(SWEEP_PERIOD.as_micros() as Micros, clock.now())
}
