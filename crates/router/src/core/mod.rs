//! The router core: [`Router`] holds the state of one router, passes every event to the balancer (the decision module,
//! `cedarpulley::Balancer`) and carries out its actions.
//!
//! The caller calls [`Router::handle`] with each [`Input`], and with [`Input::Tick`] at the time that
//! [`Router::next_due`] returns, and carries out the [`Output`]s in order. `messages` defines the inputs and outputs,
//! `settings` the settings and `counters` the counters. `state` holds the types that own the parts of the state. The
//! other modules handle events:
//!
//! * `intake`: accepts or answers requests and messages that arrive.
//! * `submission`: submits an invocation to the balancer.
//! * `waiting_deliveries`: handles deliveries that join or leave an open invocation.
//! * `balancer_actions`: calls the balancer and carries out its actions.
//! * `dispatch`: sends attempts to workers and handles their results.
//! * `repeat_basis`: tells, for the log, why an attempt was allowed although an earlier one may have run.
//! * `drain_basis`: renews the leases of the endpoint list, and tells on what a worker gets new work.
//! * `load_orders`: sends load orders and handles the copies that workers report.
//! * `replication`: coordinates invocations with the group of routers.
//! * `completion`: sends the final answer and ends an invocation.
//! * `timers`: handles timers that fire.

mod balancer_actions;
mod completion;
mod counters;
mod dispatch;
mod drain_basis;
mod intake;
mod load_orders;
mod messages;
mod repeat_basis;
mod replication;
mod settings;
mod state;
mod submission;
mod timers;
mod waiting_deliveries;

use std::sync::Arc;

use cedarpulley::Balancer;
use cedarpulley::interface::{
    DispatchOutcome, EndpointListKind, Event, Micros, TriggerType, WorkerIndex,
};
use cedarpulley::table_size::{TableSize, TableSizes};

pub use counters::RouterCounters;
pub use messages::{DispatchRequest, Input, Output};
pub use repeat_basis::RepeatBasis;
pub use settings::CoreSettings;

use self::dispatch::DispatchResult;
use self::state::admission::Admission;
use self::state::functions::FunctionTable;
use self::state::invocation_table::InvocationTable;
use self::state::load_orders::LoadOrders;
use self::state::observers::Observers;
use self::state::pending_replication::PendingReplication;
use self::state::timers::{SerialNumbers, TimerQueue};
use self::state::workers::WorkerDirectory;
use crate::answer_registry::AnswerRegistry;
use crate::endpoint_list::ListedWorker;
use crate::idempotency_keys::IdempotencyKeys;
use crate::observer::RouterObserver;

/// The answers that no delivery waits for, and those cached for retries, each get the memory for bodies divided by this
/// number, beside it.
const ANSWER_MEMORY_DIVISOR: u64 = 8;

/// The state of one router, free of I/O: the same inputs at the same times give the same outputs.
pub struct Router {
    /// Decides which worker each invocation is sent to.
    balancer: Balancer,
    settings: CoreSettings,
    /// Trigger types by index.
    triggers: Vec<TriggerType>,
    /// Time of the last input in microseconds; never decreases.
    now: Micros,
    invocations: InvocationTable,
    functions: FunctionTable,
    workers: WorkerDirectory,
    /// Whether discovery is unreachable; used where health checks are not allowed.
    discovery_lost: bool,
    orders: LoadOrders,
    /// Term of the upgrade plan whose request the balancer is handling; absent otherwise.
    plan_term: Option<Arc<str>>,
    answers: AnswerRegistry,
    idempotency_keys: IdempotencyKeys,
    admission: Admission,
    replication: PendingReplication,
    timers: TimerQueue,
    serials: SerialNumbers,
    observers: Observers,
    /// Counters of the decisions since the start.
    pub counts: RouterCounters,
}

impl Router {
    /// Creates a router without workers and fronts. `triggers` must be the trigger types that `balancer` was created
    /// with.
    pub fn new(balancer: Balancer, triggers: Vec<TriggerType>, settings: CoreSettings) -> Self {
        let answer_bytes = settings.memory_bytes / ANSWER_MEMORY_DIVISOR;
        let answer_bytes = usize::try_from(answer_bytes).unwrap_or(usize::MAX);
        let admission = Admission::new(
            &settings.front_weights,
            &settings.account_shares,
            settings.memory_bytes,
        );
        Router {
            balancer,
            triggers,
            now: Micros::MIN,
            invocations: InvocationTable::default(),
            functions: FunctionTable::default(),
            workers: WorkerDirectory::new(settings.drain_grace),
            discovery_lost: false,
            orders: LoadOrders::default(),
            plan_term: None,
            answers: AnswerRegistry::within_memory(answer_bytes),
            idempotency_keys: IdempotencyKeys::bounded(answer_bytes),
            admission,
            replication: PendingReplication::default(),
            timers: TimerQueue::default(),
            serials: SerialNumbers::default(),
            observers: Observers::default(),
            counts: RouterCounters::default(),
            settings,
        }
    }

    /// Adds an observer, which is notified of all events from now on.
    pub fn add_observer(&mut self, observer: Box<dyn RouterObserver>) {
        self.observers.add(observer);
    }

    /// Handles an input that occurred at `now` (in microseconds), and all timers that are due by then. Appends the
    /// resulting outputs to `out`, in order. If `now` is earlier than that of the last input, the last one is used.
    pub fn handle(&mut self, now: Micros, input: Input, out: &mut Vec<Output>) {
        self.now = self.now.max(now);
        self.apply(input, out);
        self.run_timers(out);
        self.sweep_timers();
        self.workers.release_unused();
        self.answers.expire(self.now);
        self.admission
            .changed_grants(|front, limit| out.push(Output::Grant { front, limit }));
    }

    /// Passes the input to its handler.
    fn apply(&mut self, input: Input, out: &mut Vec<Output>) {
        match input {
            Input::FrontChanged { front, state } => self.front_changed(front, state, out),
            Input::RequestArrived { delivery, request } => {
                self.request_arrived(delivery, &request, out)
            }
            Input::MessageArrived(message) => self.message_arrived(message, out),
            Input::AnswerDelivered(delivery) => self.answer_delivered(delivery, out),
            Input::ClientLeft(delivery) => self.client_left(delivery, out),
            Input::Replication(event) => self.replication_event(event, out),
            Input::Tick => {}
            Input::Stop => self.admission.stop(),
            Input::DispatchEnded {
                ticket,
                outcome,
                copy_status,
                function_load,
                report,
                memory_held,
                body,
            } => {
                let result = DispatchResult {
                    outcome,
                    copy_status,
                    function_load,
                    report,
                    memory_held,
                    body,
                };
                self.dispatch_ended(ticket, result, out);
            }
            worker_input => self.apply_worker_input(worker_input, out),
        }
    }

    /// Passes inputs about workers and their copies to their handlers; [`Router::apply`] handles all others.
    fn apply_worker_input(&mut self, input: Input, out: &mut Vec<Output>) {
        match input {
            Input::EndpointList { kind, workers } => self.update_workers(kind, &workers, out),
            Input::EndpointListLease { until } => self.renew_list_lease(until, out),
            Input::DrainLease(lease) => self.renew_drain_lease(lease, out),
            Input::OrderEnded {
                ticket,
                result,
                copies,
                memory_held,
            } => self.order_ended(ticket, result, copies, memory_held, out),
            Input::ProbeEnded {
                worker,
                outcome,
                took,
                report,
            } => {
                let event = Event::ProbeEnded {
                    worker,
                    outcome,
                    took,
                    report,
                };
                self.health_check_ended(worker, outcome, took);
                self.decide(&event, out);
            }
            Input::CopyWanted {
                worker,
                function,
                similar_function,
                term,
            } => self.copy_wanted(&worker, &function, &similar_function, term, out),
            Input::CopyUnwanted {
                worker,
                function,
                term,
            } => self.copy_unwanted(&worker, function, term, out),
            Input::CopiesReported {
                worker,
                function,
                copies,
            } => self.copies_reported(&worker, &function, copies, out),
            _ => {}
        }
    }

    /// Applies the endpoint list, or changes of it.
    fn update_workers(
        &mut self,
        kind: EndpointListKind,
        workers: &[ListedWorker],
        out: &mut Vec<Output>,
    ) {
        let endpoints = self.workers.update(self.now, kind, workers);
        let event = Event::EndpointList {
            kind,
            endpoints: &endpoints,
        };
        self.decide(&event, out);
    }

    /// Records the result of a health check.
    fn health_check_ended(&mut self, worker: WorkerIndex, outcome: DispatchOutcome, took: Micros) {
        self.workers.unreserve(worker);
        if outcome == DispatchOutcome::Succeeded {
            self.workers.passed_health_check(worker, self.now - took);
        } else {
            self.counts.health_checks_failed += 1;
        }
    }

    /// When the next timer is due; [`Router::handle`] must be called with [`Input::Tick`] then.
    pub fn next_due(&self) -> Option<Micros> {
        self.timers.next_due()
    }

    /// Amount of unfinished work: the number of invocations that have no final answer or have an attempt in flight, or
    /// the number of deliveries whose answer can still be lost, whichever is larger.
    pub fn unfinished(&self) -> usize {
        self.invocations.len().max(self.answers.undelivered())
    }

    /// Name of the worker in the endpoint list.
    pub fn worker_name(&self, worker: WorkerIndex) -> Option<&str> {
        self.workers.name(worker)
    }

    /// Index of the worker with this name in the endpoint list.
    pub fn worker_index(&self, name: &str) -> Option<WorkerIndex> {
        self.workers.find(name)
    }

    /// Names of the functions that are currently known.
    pub fn functions(&self) -> impl Iterator<Item = &str> {
        self.functions
            .names()
            .iter()
            .map(|name| name.as_ref())
            .filter(|name| !name.is_empty())
    }

    /// Current limit on the number of invocations in flight.
    pub fn limit(&self) -> f64 {
        self.admission.limit()
    }

    /// The sizes of the tables that callers, workers and discovery fill.
    pub fn table_sizes(&self) -> TableSizes {
        let mut sizes = self.balancer.table_sizes();
        sizes.0.extend([
            self.functions.size(),
            self.timers.size(),
            self.answers.size(),
            self.idempotency_keys.size(),
            self.idempotency_keys.size_of_keys(),
            TableSize {
                name: "router bodies",
                entries: self.invocations.len(),
                bytes: self.body_bytes() as usize,
            },
        ]);
        sizes
    }

    /// Total size of the bodies of all open invocations, in bytes.
    pub fn body_bytes(&self) -> u64 {
        self.admission.body_bytes()
    }
}
