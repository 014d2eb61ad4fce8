//! The router core: [`Router`] passes events between the parts of its state, and asks the decision module
//! (`cedarpulley::Balancer`) about every event.
//!
//! Call [`Router::handle`] with each [`Input`], and again with [`Input::Tick`] at [`Router::next_due`]; carry out the
//! [`Output`]s in their order. `messages` defines inputs and outputs, `settings` and `counters` what their names
//! say. `state` holds the types that own the state, each its part. The other modules handle events:
//!
//! * `intake`: requests and messages arrive.
//! * `submission`: the module is told of an invocation.
//! * `waiting_deliveries`: deliveries join an invocation or leave it.
//! * `balancer_actions`: the module is called and its actions are carried out.
//! * `dispatch`: attempts are sent to workers and end.
//! * `load_orders`: copies are ordered, and workers report theirs.
//! * `replication`: what is agreed with a group of routers.
//! * `completion`: the final answer, and the end of an invocation.
//! * `timers`: what is done as time passes.

mod balancer_actions;
mod completion;
mod counters;
mod dispatch;
mod intake;
mod load_orders;
mod messages;
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

pub use counters::RouterCounters;
pub use messages::{DispatchRequest, Input, Output};
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

/// The state of one router, free of I/O: the same inputs at the same times give the same outputs.
pub struct Router {
    /// The decision module.
    balancer: Balancer,
    settings: CoreSettings,
    /// Trigger types by index.
    triggers: Vec<TriggerType>,
    /// Time of the last input; never goes back.
    now: Micros,
    invocations: InvocationTable,
    functions: FunctionTable,
    workers: WorkerDirectory,
    orders: LoadOrders,
    /// Term of the upgrade plan on behalf of which the module is being called now.
    plan_term: Option<Arc<str>>,
    answers: AnswerRegistry,
    idempotency_keys: IdempotencyKeys,
    admission: Admission,
    replication: PendingReplication,
    timers: TimerQueue,
    serials: SerialNumbers,
    observers: Observers,
    /// What was decided so far.
    pub counts: RouterCounters,
}

impl Router {
    /// A router without workers and fronts. `triggers` are the trigger types that the decision module knows, too.
    pub fn new(balancer: Balancer, triggers: Vec<TriggerType>, settings: CoreSettings) -> Self {
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
            orders: LoadOrders::default(),
            plan_term: None,
            answers: AnswerRegistry::default(),
            idempotency_keys: IdempotencyKeys::default(),
            admission,
            replication: PendingReplication::default(),
            timers: TimerQueue::default(),
            serials: SerialNumbers::default(),
            observers: Observers::default(),
            counts: RouterCounters::default(),
            settings,
        }
    }

    /// Adds an observer, which is notified of all that happens from now on.
    pub fn add_observer(&mut self, observer: Box<dyn RouterObserver>) {
        self.observers.add(observer);
    }

    /// Handles what happened at `now`, and all timers that are due by then. Appends what is to be done to `out`, in
    /// order. A clock that goes back counts as standing still.
    pub fn handle(&mut self, now: Micros, input: Input, out: &mut Vec<Output>) {
        self.now = self.now.max(now);
        self.apply(input, out);
        self.run_timers(out);
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
            of_workers => self.apply_of_workers(of_workers, out),
        }
    }

    /// As [`Router::apply`], of news about workers and the copies that they hold.
    fn apply_of_workers(&mut self, input: Input, out: &mut Vec<Output>) {
        match input {
            Input::EndpointList { kind, workers } => self.update_workers(kind, &workers, out),
            Input::EndpointListLease { until } => {
                self.workers.renew_lease(until);
                self.decide(&Event::EndpointListLease { until }, out);
            }
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
                like,
                term,
            } => self.copy_wanted(&worker, &function, &like, term, out),
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

    /// The endpoint list, or a change of it.
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

    /// Takes over what a health check says of its worker.
    fn health_check_ended(&mut self, worker: WorkerIndex, outcome: DispatchOutcome, took: Micros) {
        self.workers.unreserve(worker);
        if outcome == DispatchOutcome::Succeeded {
            self.workers.passed_health_check(worker, self.now - took);
        } else {
            self.counts.health_checks_failed += 1;
        }
    }

    /// When [`Input::Tick`] is next wanted.
    pub fn next_due(&self) -> Option<Micros> {
        self.timers.next_due()
    }

    /// How much is unfinished: invocations that are owed an answer or have an attempt in flight, or deliveries whose
    /// answer can still be lost, whichever are more.
    pub fn unfinished(&self) -> usize {
        self.invocations.len().max(self.answers.undelivered())
    }

    /// The worker's name in the list.
    pub fn worker_name(&self, worker: WorkerIndex) -> Option<&str> {
        self.workers.name(worker)
    }

    /// The index of the worker with this name in the list.
    pub fn worker_index(&self, name: &str) -> Option<WorkerIndex> {
        self.workers.find(name)
    }

    /// Names of the functions that are known at present.
    pub fn functions(&self) -> impl Iterator<Item = &str> {
        self.functions
            .names()
            .iter()
            .map(|name| name.as_ref())
            .filter(|name| !name.is_empty())
    }

    /// How many invocations may be in flight at present.
    pub fn limit(&self) -> f64 {
        self.admission.limit()
    }

    /// Size of the bodies of all invocations that are open, in bytes.
    pub fn body_bytes(&self) -> u64 {
        self.admission.body_bytes()
    }
}
