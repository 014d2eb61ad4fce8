//! [`Node`]: the loop around the core. What came in goes to the core, one thing after the other, and what the core puts
//! out is carried out in order.

use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::io::{ErrorKind, Read};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use async_executor::LocalExecutor;
use async_io::Timer;
use cedarpulley::interface::{Micros, WorkerIndex};
use cedarpulley_net::{Alarm, Bell, Clock, Stream};
use cedarpulley_platform::discovery::{DiscoveryError, EventBatch, ListUpdate, WorkerListFollower};
use cedarpulley_platform::event_loop_lag::EventLoopLag;
use cedarpulley_platform::graceful_shutdown::GracefulShutdown;
use cedarpulley_router::{Input, OrderTicket, Output, Router, Ticket};
use cedarpulley_startup::{Names, ReportField};

use crate::client_connections::ClientConnections;
use crate::worker_connections::WorkerConnections;

/// How often connections whose time is over are looked for, and the event loop shows that it keeps up.
pub(crate) const SWEEP_PERIOD: Duration = Duration::from_millis(50);
/// One piece read at a time: several short requests or answers, a long one in a few.
pub(crate) const PIECE: usize = 16 << 10;

/// One router with its connections.
pub struct Node {
    pub(crate) clock: Clock,
    pub(crate) executor: Rc<LocalExecutor<'static>>,
    pub(crate) router: RefCell<Router>,
    /// What the core has yet to hear.
    pub(crate) inputs: RefCell<VecDeque<Input>>,
    pub(crate) feeding: Cell<bool>,
    pub(crate) alarm: Alarm,
    pub(crate) clients: ClientConnections,
    pub(crate) workers: WorkerConnections,
    pub(crate) names: Names,
    pub(crate) fields: Vec<ReportField>,
    /// Workers tell how many requests for the same function they hold.
    pub(crate) crowds: bool,
    pub(crate) discovery_address: Cell<SocketAddr>,
    pub(crate) discovery_moved: Bell,
    pub(crate) worker_list: RefCell<WorkerListFollower>,
    pub(crate) shutdown: RefCell<GracefulShutdown>,
    pub(crate) event_loop_lag: Cell<EventLoopLag>,
    /// All connections read into it, one after the other.
    pub(crate) piece: RefCell<Vec<u8>>,
}

/// What a connection had to read.
pub(crate) enum ReadResult<T> {
    Bytes(T),
    Nothing,
    Ended,
}

impl Node {
    /// Hands the core what happened and carries out what it wants. What happens meanwhile waits its turn.
    pub(crate) fn feed(self: &Rc<Self>, input: Input) {
        // Answers to others are carried out before this returns: a table borrowed here would be borrowed twice.
        debug_assert!(
            self.clients.is_unborrowed() && self.workers.is_unborrowed(),
            "fed with a table borrowed"
        );
        self.inputs.borrow_mut().push_back(input);
        if self.feeding.replace(true) {
            return;
        }
        let mut outputs = Vec::new();
        loop {
            let Some(input) = self.inputs.borrow_mut().pop_front() else {
                break;
            };
            let due = {
                let mut router = self.router.borrow_mut();
                router.handle(self.clock.now(), input, &mut outputs);
                router.next_due().unwrap_or(Micros::MAX)
            };
            self.alarm.set(due);
            for output in outputs.drain(..) {
                self.carry_out(output);
            }
        }
        self.feeding.set(false);
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
                self.workers
                    .call(self, ticket, worker, function, trigger, call);
            }
            Output::Withdraw(ticket) => self.workers.withdraw(self, ticket),
            Output::Order {
                ticket,
                function,
                copies,
                within,
                ..
            } => {
                self.workers.order(self, ticket, &function, copies, within);
            }
            Output::Unload {
                worker, function, ..
            } => self.workers.unload(self, worker, &function),
            Output::Probe { worker } => self.workers.probe(self, worker),
            // Discovery is followed all the time; nothing here asks at the door, no front is granted anything, and routers
            // of the platform share nothing.
            Output::AskList
            | Output::Entry { .. }
            | Output::Discard(_)
            | Output::Grant { .. }
            | Output::Group(_) => {}
        }
    }

    /// The last look right before an attempt's first byte.
    pub(crate) fn may_send(&self, ticket: Ticket) -> bool {
        self.router.borrow().may_leave(self.clock.now(), ticket)
    }

    /// The same for an order to load.
    pub(crate) fn may_order(&self, ticket: OrderTicket) -> bool {
        self.router
            .borrow()
            .order_may_leave(self.clock.now(), ticket)
    }

    /// Where a worker listens, if it is listed.
    pub(crate) fn address(&self, worker: WorkerIndex) -> Option<SocketAddr> {
        self.worker_list
            .borrow()
            .address(self.router.borrow().worker_name(worker)?)
    }

    /// What discovery tells. `unheard_for`: it may have been told so many microseconds ago.
    pub(crate) fn follow(
        self: &Rc<Self>,
        batch: &EventBatch,
        unheard_for: Micros,
    ) -> Result<(), DiscoveryError> {
        let wall_at_zero = self.clock.wall() - self.clock.now();
        let updates =
            self.worker_list
                .borrow_mut()
                .batch(batch, &self.names, wall_at_zero, unheard_for)?;
        updates.into_iter().for_each(|update| self.apply(update));
        Ok(())
    }

    fn apply(self: &Rc<Self>, update: ListUpdate) {
        for id in &update.retired {
            if let Some(worker) = self.router.borrow().worker_ix(id) {
                self.workers.retire(worker);
            }
        }
        self.feed(Input::List {
            mode: update.mode,
            workers: update.workers,
        });
    }

    /// Reads once from a connection that is ready.
    pub(crate) fn read<T>(&self, stream: &Stream, take: impl FnOnce(&[u8]) -> T) -> ReadResult<T> {
        let mut piece = self.piece.borrow_mut();
        match stream.get_ref().read(&mut piece) {
            Ok(0) => ReadResult::Ended,
            Ok(n) => ReadResult::Bytes(take(&piece[..n])),
            Err(e) if matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::Interrupted) => {
                ReadResult::Nothing
            }
            Err(_) => ReadResult::Ended,
        }
    }

    /// Tells the core when something is due.
    pub(crate) async fn timers(self: Rc<Self>) {
        loop {
            self.alarm.rings(&self.clock).await;
            self.feed(Input::Tick);
        }
    }

    /// Closes what has been open for too long.
    pub(crate) async fn sweep(self: Rc<Self>) {
        loop {
            Timer::after(SWEEP_PERIOD).await;
            let mut lag = self.event_loop_lag.get();
            lag.beat(self.clock.now());
            self.event_loop_lag.set(lag);
            self.clients.sweep(&self);
            self.workers.sweep(&self);
        }
    }

    /// The event loop has only now begun to run.
    pub(crate) fn caught_up(&self) {
        let now = self.clock.now();
        self.event_loop_lag
            .set(EventLoopLag::new(SWEEP_PERIOD.as_micros() as Micros, now));
    }

    /// What is read now may have arrived this many microseconds ago, beyond what the time limits allow for.
    pub(crate) fn lag(&self) -> Micros {
        self.event_loop_lag.get().lag(self.clock.now())
    }

    /// When what is read now has arrived, at the earliest.
    pub(crate) fn arrival_time(&self) -> Micros {
        self.clock.now() - self.lag()
    }

    /// The core has requests that are owed an answer, or attempts that are out.
    pub(crate) fn has_open_requests(&self) -> bool {
        self.router.borrow().open() > 0
    }

    /// What happened while the router ran, for its log.
    pub(crate) fn log_counts(&self) {
        let (router, list) = (self.router.borrow(), self.worker_list.borrow());
        tracing::info!(counts = ?router.counts, "requests");
        let clients = self.clients.counts();
        tracing::info!(
            clients.open,
            clients.evicted,
            clients.refused_connections,
            "client connections"
        );
        tracing::info!(refused = ?clients.refused_requests, "requests that did not reach the core");
        let without_connection = self.workers.without_connection();
        tracing::info!(
            without_connection,
            "exchanges without a connection to their worker"
        );
        tracing::info!(list.repeated, list.left_out, "worker list");
    }
}
