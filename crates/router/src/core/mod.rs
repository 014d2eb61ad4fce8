//! The router core: [`Router`] owns the invocations, their dispatches and one timer queue, and asks the
//! decision module (`cedarpulley::Balancer`) about every event.
//!
//! Call [`Router::handle`] with each [`Input`], and again with [`Input::Tick`] at [`Router::next_due`]; carry
//! out the [`Output`]s in their order. Each part of the work has its module:
//!
//! * `messages`: inputs, outputs, settings and counters.
//! * `entering`: requests that ask for entry before their body is read.
//! * `intake`: a message is taken.
//! * `holders`: which deliveries wait for an invocation's answer.
//! * `invocation`, `functions`: the state kept of invocations and functions.
//! * `decisions`: the module is called and its actions are carried out.
//! * `dispatching`, `orders`: what is sent to workers, and how it ends.
//! * `peer_group`: what is agreed with a group of routers.
//! * `finishing`: the final answer.
//! * `timers`, `worker_list`: time, and news of workers.

mod decisions;
mod dispatching;
mod entering;
mod finishing;
mod functions;
mod holders;
mod intake;
mod invocation;
mod messages;
mod orders;
mod peer_group;
mod timers;
mod worker_list;

use std::collections::HashMap;
use std::sync::Arc;

use cedarpulley::Balancer;
use cedarpulley::ids::Interner;
use cedarpulley::interface::{Event, InvocationIndex, Micros, TriggerType, WorkerIndex};

pub use messages::{Call, Counts, Input, Output, Terms};

use self::dispatching::DispatchResult;
use self::entering::EnteredRequests;
use self::functions::FunctionTable;
use self::invocation::{Invocation, InvocationHandle};
use self::orders::OpenOrder;
use self::peer_group::GroupRequests;
use self::timers::TimerQueue;
use self::worker_list::WorkerPlace;
use crate::OrderTicket;
use crate::admission::Admission;
use crate::claims::Claims;
use crate::entry::Door;
use crate::service::Service;
use crate::table::Table;
use crate::tenure::Tenure;
use crate::tokens::Tokens;
use crate::waits::Waits;
use crate::watch::Watch;

/// The state of one router, free of I/O: the same inputs at the same times give the same outputs.
pub struct Router {
    /// The decision module.
    control: Balancer,
    terms: Terms,
    /// Trigger types by index.
    triggers: Vec<TriggerType>,
    /// Time of the last input; never goes back.
    now: Micros,
    invocations: Table<Invocation>,
    functions: FunctionTable,
    /// Term of the upgrade plan for which the module is being asked now.
    plan_term: Option<Arc<str>>,
    /// Workers by their name in the list.
    workers: Interner<String>,
    /// By worker index.
    places: Vec<WorkerPlace>,
    service: Service,
    tenure: Tenure,
    claims: Claims,
    tokens: Tokens,
    admission: Admission,
    door: Door,
    entered: EnteredRequests,
    timers: TimerQueue,
    /// The last number given to a timer, an order or a dispatch.
    last_serial: u64,
    /// Orders that have not ended.
    orders: HashMap<OrderTicket, OpenOrder>,
    waits: Waits,
    group_requests: GroupRequests,
    watch: Vec<Box<dyn Watch>>,
    /// What was decided so far.
    pub counts: Counts,
}

impl Router {
    /// A router without workers and fronts. `triggers` are the trigger types that the decision module knows,
    /// too.
    pub fn new(control: Balancer, triggers: Vec<TriggerType>, terms: Terms) -> Self {
        let admission = Admission::new(
            terms.front_weights.clone(),
            &terms.account_shares,
            terms.memory_bytes,
        );
        Router {
            service: Service::new(terms.drain_grace),
            control,
            terms,
            triggers,
            now: Micros::MIN,
            invocations: Table::default(),
            functions: FunctionTable::default(),
            plan_term: None,
            workers: Interner::default(),
            places: Vec::new(),
            tenure: Tenure::default(),
            claims: Claims::default(),
            tokens: Tokens::default(),
            admission,
            door: Door::default(),
            entered: EnteredRequests::default(),
            timers: TimerQueue::default(),
            last_serial: 0,
            orders: HashMap::new(),
            waits: Waits::default(),
            group_requests: GroupRequests::default(),
            watch: Vec::new(),
            counts: Counts::default(),
        }
    }

    /// Adds a watcher, which is told of all that happens from now on.
    pub fn watched_by(&mut self, watch: Box<dyn Watch>) {
        self.watch.push(watch);
    }

    /// Handles what happened at `now`, and all timers that are due by then. Appends what is to be done to
    /// `out`, in order. A clock that goes back counts as standing still.
    pub fn handle(&mut self, now: Micros, input: Input, out: &mut Vec<Output>) {
        self.now = self.now.max(now);
        self.apply(input, out);
        self.run_timers(out);
        self.release_gone_workers();
        self.claims.tidy(self.now);
        self.admission
            .grants(|front, most| out.push(Output::Grant { front, most }));
    }

    fn apply(&mut self, input: Input, out: &mut Vec<Output>) {
        match input {
            Input::Front { front, state } => self.front_changed(front, state, out),
            Input::Knock { delivery, knock } => self.entry_requested(delivery, &knock, out),
            Input::Taken(message) => self.take(message, out),
            Input::Safe(delivery) => self.answer_delivered(delivery, out),
            Input::Departed(delivery) => self.client_departed(delivery, out),
            Input::List { mode, workers } => self.worker_list(mode, &workers, out),
            Input::DispatchEnded {
                ticket,
                outcome,
                note,
                crowd,
                report,
                held,
                body,
            } => {
                let result = DispatchResult {
                    outcome,
                    note,
                    crowd,
                    report,
                    held,
                    body,
                };
                self.dispatch_ended(ticket, result, out);
            }
            Input::OrderEnded {
                ticket,
                result,
                copies,
                held,
            } => {
                self.order_ended(ticket, result, copies, held, out);
            }
            Input::Probed {
                worker,
                outcome,
                took,
                report,
            } => {
                self.decide(
                    &Event::ProbeEnded {
                        worker,
                        outcome,
                        took,
                        report,
                    },
                    out,
                );
            }
            Input::Group(told) => self.group_told(told, out),
            Input::Wanted {
                worker,
                function,
                like,
                term,
            } => {
                self.copy_wanted(&worker, function, &like, term, out);
            }
            Input::Unwanted {
                worker,
                function,
                term,
            } => {
                self.copy_unwanted(&worker, function, term, out);
            }
            Input::Held {
                worker,
                function,
                copies,
            } => self.copies_held(&worker, &function, copies, out),
            Input::Tick => {}
            Input::Stop => self.admission.stop(),
        }
    }

    /// When [`Input::Tick`] is next wanted.
    pub fn next_due(&self) -> Option<Micros> {
        self.timers.next_due()
    }

    /// How much is unfinished: invocations that are owed an answer or have a dispatch out, or deliveries
    /// whose answer can still be lost, whichever are more.
    pub fn open(&self) -> usize {
        self.invocations.len().max(self.claims.held())
    }

    /// The worker's name in the list.
    pub fn worker_name(&self, worker: WorkerIndex) -> Option<&str> {
        self.workers.id(worker).map(String::as_str)
    }

    /// The index of the worker with this name in the list.
    pub fn worker_ix(&self, name: &str) -> Option<WorkerIndex> {
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

    /// How many invocations may be open at present.
    pub fn limit(&self) -> f64 {
        self.admission.limit()
    }

    /// Size of the bodies of all invocations that are open, in bytes.
    pub fn body_bytes(&self) -> u64 {
        self.admission.bytes()
    }

    /// A number unlike any that was given to a timer, an order or a dispatch before.
    fn next_serial(&mut self) -> u64 {
        self.last_serial += 1;
        self.last_serial
    }

    /// Whether the handle's invocation still has its index.
    fn is_current(&self, handle: InvocationHandle) -> bool {
        self.invocations.generation(handle.inv) == handle.generation
    }

    /// A handle of the invocation that has this index now.
    fn handle_of(&self, inv: InvocationIndex) -> InvocationHandle {
        InvocationHandle {
            inv,
            generation: self.invocations.generation(inv),
        }
    }
}
