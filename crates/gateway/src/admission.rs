//! Admission between the fronts and the core: each request is assigned the version of its model and, within a
//! session, the worker that it prefers. The decisions are made in `cedarpulley-upgrade`; here requests wait
//! for a majority to confirm a binding, bounded in number and time. Everything from the fronts and the worker
//! list passes through [`Admission::filter`]. Completions are recorded by [`Admission::observer`] while the
//! core is running, and handled in [`Admission::process_completed`] afterwards.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, HashMap, VecDeque};
use std::hash::{BuildHasher, BuildHasherDefault, DefaultHasher};
use std::rc::Rc;
use std::sync::Arc;

use bytes::Bytes;
use cedarpulley::interface::{
    Action, DispatchOutcome, EndpointListKind, EndpointState, Event, InvocationIndex, Micros,
};
use cedarpulley_kserve::client_requests;
use cedarpulley_net::DeadlineTimer;
use cedarpulley_replica as replica;
use cedarpulley_router::admission_control::RejectionReason;
use cedarpulley_router::concurrency_limit::FrontState;
use cedarpulley_router::endpoint_list::ListedWorker;
use cedarpulley_router::observer::{AnswerGiven, Names, RouterObserver, UsageSource, WorkerUsage};
use cedarpulley_router::{
    AnswerReason, Delivery, FinalOutcome, FrontIndex, IncomingInvocation, Input,
};
use cedarpulley_upgrade::sessions::{self, Placed, Refused, Sessions};
use cedarpulley_upgrade::{Name, function};
use serde_json::{Value, json};

use crate::context::GatewayContext;
use crate::peer_events::PeerEvent;
use crate::shared_state::SharedState;
use crate::upgrades::Upgrades;

/// Requests that wait for a decision of the group, and the sessions known here.
pub struct Admission {
    context: Rc<GatewayContext>,
    shared: Option<SharedState>,
    upgrades: Option<Rc<Upgrades>>,
    /// The way into the core that skips this admission.
    forward_to_core: Box<dyn Fn(Input)>,
    sessions: RefCell<Sessions>,
    /// Waiting requests by ticket, each with the time since when it waits.
    waiting: RefCell<HashMap<u64, (IncomingInvocation, Micros)>>,
    next_ticket: Cell<u64>,
    draws: Cell<u64>,
    /// Completions recorded while the core was running.
    completed: RefCell<VecDeque<sessions::Input>>,
    workers: Rc<RefCell<BTreeMap<Name, ListedWorker>>>,
    /// From a worker's local name to the id that all members know it by, and back: routers may reach a worker
    /// at different addresses.
    worker_ids: RefCell<Option<(WorkerNameLookup, WorkerNameLookup)>>,
    /// Whether this router has recently used copies of a function at a worker that still exist as far as is
    /// known.
    recently_used: RefCell<Option<RecentUseCheck>>,
    alarm: DeadlineTimer,
}

/// Called with the worker's local name and the function.
pub type RecentUseCheck = Box<dyn Fn(&str, &str) -> bool>;
/// From one name of a worker to the other; absent for an unknown worker.
pub type WorkerNameLookup = Box<dyn Fn(&str) -> Option<Name>>;

fn hash_of(of: impl std::hash::Hash) -> u64 {
    BuildHasherDefault::<DefaultHasher>::default().hash_one(of)
}

/// The placement that a note encodes in its version and value.
fn placement_of_note(note: &replica::Note) -> Placed {
    Placed {
        number: note.version.0,
        worker: Name::from(&*String::from_utf8_lossy(&note.value)),
    }
}

impl Admission {
    /// `shared`: absent for a router without a group, which has no one to agree with. `forward_to_core`:
    /// hands an input to the core without passing here again.
    pub fn new(
        context: Rc<GatewayContext>,
        terms: sessions::Terms,
        shared: Option<SharedState>,
        upgrades: Option<Rc<Upgrades>>,
        forward_to_core: Box<dyn Fn(Input)>,
    ) -> Rc<Admission> {
        let admission = Rc::new(Admission {
            context,
            shared,
            upgrades,
            forward_to_core,
            sessions: RefCell::new(Sessions::new(terms)),
            waiting: RefCell::default(),
            next_ticket: Cell::new(0),
            draws: Cell::new(0),
            completed: RefCell::default(),
            workers: Rc::default(),
            worker_ids: RefCell::default(),
            recently_used: RefCell::default(),
            alarm: DeadlineTimer::default(),
        });
        if let Some(shared) = &admission.shared {
            let admission = Rc::downgrade(&admission);
            shared.subscribe(sessions::BOUND, move |event| {
                if let (Some(admission), PeerEvent::Decided(key, outcome)) =
                    (admission.upgrade(), event)
                {
                    admission.decided(key, outcome);
                }
            });
        }
        if let Some(upgrades) = &admission.upgrades {
            upgrades.set_workers(admission.workers.clone());
        }
        admission
    }

    /// The lookups from a worker's local name to its id, and back.
    pub fn set_worker_ids(&self, id: WorkerNameLookup, worker: WorkerNameLookup) {
        *self.worker_ids.borrow_mut() = Some((id, worker));
    }

    /// Sets the check for recent use of a copy.
    pub fn set_recent_use_check(&self, used: RecentUseCheck) {
        *self.recently_used.borrow_mut() = Some(used);
    }

    fn id(&self, worker: &str) -> Name {
        let id = self
            .worker_ids
            .borrow()
            .as_ref()
            .and_then(|(id, _)| id(worker));
        id.unwrap_or_else(|| Name::from(worker))
    }

    fn worker(&self, id: Name) -> Option<Name> {
        match &*self.worker_ids.borrow() {
            Some((_, worker)) => worker(&id),
            None => Some(id),
        }
    }

    /// The input to hand to the core now, if any; a request that has to wait is forwarded later.
    pub fn filter(&self, input: Input) -> Option<Input> {
        match &input {
            Input::ClientLeft(delivery) => self.drop_waiting(|d| d == *delivery),
            Input::FrontChanged {
                front,
                state: FrontState::Down,
            } => self.drop_waiting(|d| d.front == *front),
            Input::EndpointList {
                kind: mode,
                workers,
            } => self.update_workers(*mode, workers),
            Input::MessageArrived(taken) if taken.predetermined_answer.is_none() => {
                let Input::MessageArrived(taken) = input else {
                    return None;
                };
                return self.admit(taken).map(Input::MessageArrived);
            }
            _ => {}
        }
        Some(input)
    }

    /// To be registered with the core, which reports the completions of dispatches.
    pub fn observer(self: &Rc<Self>) -> Box<dyn RouterObserver> {
        Box::new(CoreObserver(self.clone()))
    }

    /// Handles the completions recorded while the core was running.
    pub fn process_completed(&self) {
        loop {
            let Some(input) = self.completed.borrow_mut().pop_front() else {
                break;
            };
            self.apply(input);
        }
        if let Some(upgrades) = &self.upgrades {
            upgrades.process_completed();
        }
    }

    /// No request waits here.
    pub fn is_empty(&self) -> bool {
        self.waiting.borrow().is_empty()
    }

    /// A worker has lost the cached prefixes of these sessions.
    pub fn prefix_lost(&self, worker: &str, of: &str, sessions: &[Arc<str>]) {
        let model = Name::from(client_requests::split_version(of).0);
        for session in sessions {
            let (model, worker, session) = (model.clone(), self.id(worker), session.clone());
            self.apply(sessions::Input::Lost {
                model,
                session,
                worker,
            });
        }
    }

    /// Refuses requests that have waited too long, for as long as the router runs.
    pub async fn run(self: Rc<Self>) {
        loop {
            self.alarm.elapsed(&self.context.clock).await;
            self.apply(sessions::Input::Tick);
        }
    }

    /// For the state endpoint: sessions bound to each version, and counts.
    pub fn state(&self) -> Value {
        let sessions = self.sessions.borrow();
        let mut bound: BTreeMap<&str, u64> = BTreeMap::new();
        for version in sessions.known() {
            *bound.entry(version).or_default() += 1;
        }
        json!({"bound": bound, "waiting": sessions.waiting(), "counts": sessions.counts})
    }

    /// Random, or derived from the identity of a request, so that a retry goes where the first attempt went.
    fn draw(&self, taken: &IncomingInvocation) -> u64 {
        if let Some(together) = taken
            .idempotency_key
            .as_deref()
            .or(taken.identity.as_deref())
        {
            return hash_of((taken.account, together));
        }
        self.draws.set(self.draws.get() + 1);
        hash_of((self.context.seed, self.draws.get()))
    }

    fn admit(&self, mut taken: IncomingInvocation) -> Option<IncomingInvocation> {
        let (model, version) = client_requests::split_version(&taken.function);
        // A client that names a version gets that one.
        let upgrades = self.upgrades.as_ref().filter(|_| version.is_empty());
        if let Some(upgrades) = upgrades {
            upgrades.record_invocation(model, taken.lanes, taken.copy_mb);
        }
        let Some(session) = &taken.session else {
            if let Some(way) = upgrades.and_then(|u| u.route(model, || self.draw(&taken))) {
                taken.requested_function = Some(std::mem::replace(&mut taken.function, way));
            }
            return Some(taken);
        };
        let ticket = self.next_ticket.get();
        self.next_ticket.set(ticket + 1);
        let proposes =
            upgrades.map(|u| u.propose_version(model, self.draw(&taken), session.is_first));
        let place_key = sessions::place_key(model, &session.id);
        let placed = self
            .shared
            .as_ref()
            .and_then(|s| s.latest_note(&place_key))
            .as_ref()
            .map(placement_of_note);
        let (model, session) = (Name::from(model), session.id.clone());
        self.waiting
            .borrow_mut()
            .insert(ticket, (taken, self.context.clock.now()));
        self.apply(sessions::Input::Arrives {
            ticket,
            model,
            session,
            proposes,
            placed,
        });
        None
    }

    fn apply(&self, input: sessions::Input) {
        let now = self.context.clock.now();
        let mut out = Vec::new();
        let due = {
            let mut sessions = self.sessions.borrow_mut();
            sessions.handle(now, input, &mut out);
            sessions.next_due()
        };
        self.alarm.set_deadline(due);
        for output in out {
            match output {
                sessions::Output::Choose { key, version, kept } => {
                    if let Some(shared) = &self.shared {
                        shared.choose(key, Bytes::copy_from_slice(version.as_bytes()), kept);
                    }
                }
                sessions::Output::Goes {
                    ticket,
                    version,
                    prefers,
                    anew,
                } => {
                    self.forward(ticket, version, prefers, anew);
                }
                sessions::Output::Refused { ticket, why } => {
                    let reason = match why {
                        Refused::NoMajority => AnswerReason::NoMajority,
                        Refused::Full => AnswerReason::Size,
                    };
                    self.reject(ticket, reason);
                }
                sessions::Output::Place { key, placed, kept } => {
                    if let Some(shared) = &self.shared {
                        let value = Bytes::copy_from_slice(placed.worker.as_bytes());
                        shared.note(key, (placed.number, 0), value, kept);
                    }
                }
            }
        }
    }

    fn decided(&self, key: replica::Key, outcome: replica::Outcome) {
        let version = match outcome {
            replica::Outcome::Chosen(version) => std::str::from_utf8(&version).ok().map(Name::from),
            _ => None,
        };
        self.apply(sessions::Input::Decided { key, version });
    }

    fn release(&self, ticket: u64) -> Option<IncomingInvocation> {
        let (mut taken, since) = self.waiting.borrow_mut().remove(&ticket)?;
        taken.waited = taken
            .waited
            .saturating_add(self.context.clock.now() - since);
        Some(taken)
    }

    fn forward(&self, ticket: u64, version: Option<Name>, prefers: Option<Name>, anew: bool) {
        let Some(mut taken) = self.release(ticket) else {
            return;
        };
        taken.preferred_worker = prefers.and_then(|id| self.worker(id));
        if let Some(version) = version {
            let model = taken.function.clone();
            if self
                .upgrades
                .as_ref()
                .is_some_and(|u| u.sessions_ended(&model, &version))
            {
                taken.predetermined_answer =
                    Some((FinalOutcome::Errored, AnswerReason::SessionOver));
            }
            taken.requested_function = Some(std::mem::replace(
                &mut taken.function,
                function(&model, &version),
            ));
        }
        // Guards against a warm copy being passed over: the session comes from another router and this one
        // has not heard of the copy that served it; or the module has forgotten all about a function as its
        // homes moved, and would use a new home.
        let used = |worker: &Name| {
            self.recently_used
                .borrow()
                .as_ref()
                .is_some_and(|used| used(worker, &taken.function))
        };
        if let Some(worker) = taken.preferred_worker.clone().filter(|w| anew || used(w)) {
            (self.forward_to_core)(Input::CopiesReported {
                worker,
                function: taken.function.clone(),
                copies: 1,
            });
        }
        (self.forward_to_core)(Input::MessageArrived(taken));
    }

    /// Nothing has been sent from here; for a redelivered message that is not known of its earlier delivery.
    fn reject(&self, ticket: u64, reason: AnswerReason) {
        let Some(mut taken) = self.release(ticket) else {
            return;
        };
        let fate = if taken.redelivered {
            FinalOutcome::Errored
        } else {
            FinalOutcome::Throttled
        };
        taken.predetermined_answer = Some((fate, reason));
        (self.forward_to_core)(Input::MessageArrived(taken));
    }

    /// Guards against taking a message twice: when a front is lost, its messages that wait here will be
    /// delivered again.
    fn drop_waiting(&self, whose: impl Fn(Delivery) -> bool) {
        if self.waiting.borrow().is_empty() {
            return;
        }
        let gone: Vec<u64> = self
            .waiting
            .borrow()
            .iter()
            .filter(|(_, (taken, _))| whose(taken.delivery))
            .map(|(n, _)| *n)
            .collect();
        for ticket in gone {
            self.waiting.borrow_mut().remove(&ticket);
            self.apply(sessions::Input::Leaves { ticket });
        }
    }

    fn update_workers(&self, mode: EndpointListKind, workers: &[ListedWorker]) {
        let mut gone = Vec::new();
        {
            let mut known = self.workers.borrow_mut();
            if matches!(mode, EndpointListKind::Complete | EndpointListKind::Cached) {
                let stays = |name: &Name| workers.iter().any(|w| *w.address == **name);
                gone.extend(known.keys().filter(|n| !stays(n)).cloned());
            }
            for w in workers {
                let name = Name::from(&*w.address);
                let again = known
                    .get(&name)
                    .is_some_and(|s| s.started_at != w.started_at);
                if again || w.state == EndpointState::Gone {
                    gone.push(name.clone());
                }
                if w.state != EndpointState::Gone {
                    known.insert(name, w.clone());
                }
            }
            for name in &gone {
                if workers
                    .iter()
                    .all(|w| *w.address != **name || w.state == EndpointState::Gone)
                {
                    known.remove(name);
                }
            }
        }
        for worker in gone {
            let worker = self.id(&worker);
            self.apply(sessions::Input::Gone { worker });
        }
    }
}

/// Records the completions that the core reports.
struct CoreObserver(Rc<Admission>);

impl RouterObserver for CoreObserver {
    fn decided(&mut self, _: Micros, _: &Event, _: &[Action], _: Names) {}

    fn accepted(&mut self, _: Micros, _: InvocationIndex, _: FrontIndex, _: Option<&str>, _: bool) {
    }

    fn answered(&mut self, _: Micros, _: AnswerGiven) {}

    fn rejected(&mut self, _: Micros, _: FrontIndex, _: u32, _: u32, _: RejectionReason) {}

    fn used(&mut self, _: Micros, used: WorkerUsage) {
        let admission = &self.0;
        if let Some(upgrades) = &admission.upgrades {
            upgrades.record_use(&used);
        }
        if let (UsageSource::Dispatch(DispatchOutcome::Succeeded, _), Some(session)) =
            (used.source, used.session)
        {
            admission
                .completed
                .borrow_mut()
                .push_back(sessions::Input::Answered {
                    model: Name::from(client_requests::split_version(used.function).0),
                    session: Name::from(session),
                    worker: admission.id(used.worker_name),
                    ends: used.ends_session,
                });
        }
    }
}
