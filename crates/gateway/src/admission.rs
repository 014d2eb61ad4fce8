//! Admission between the fronts and the core: assigns each request a version of its model and, within a
//! session, a preferred worker. `cedarpulley-upgrade` makes these decisions; this module holds requests, limited
//! in number and time, until a majority has confirmed the binding of their session. All inputs from the fronts
//! and the endpoint list pass through [`Admission::filter`]. `Admission::observer` records completions while the
//! core is running, and [`Admission::process_completed`] handles them afterwards.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, VecDeque};
use std::hash::{BuildHasher, BuildHasherDefault, DefaultHasher};
use std::rc::Rc;
use std::sync::Arc;

use bytes::Bytes;
use cedarpulley::interface::{DispatchOutcome, EndpointListKind};
use cedarpulley_kserve::client_requests;
use cedarpulley_net::DeadlineTimer;
use cedarpulley_replica as replica;
use cedarpulley_router::concurrency_limit::FrontState;
use cedarpulley_router::endpoint_list::ListedWorker;
use cedarpulley_router::observer::{UsageSource, WorkerUsage};
use cedarpulley_router::{AnswerReason, Delivery, FinalOutcome, IncomingInvocation, Input};
use cedarpulley_upgrade::sessions::{self, RejectionReason, SessionPlacement, Sessions};
use cedarpulley_upgrade::{Name, function_name};
use serde_json::{Value, json};

use crate::context::GatewayContext;
use crate::listed_workers::ListedWorkers;
use crate::peer_events::PeerEvent;
use crate::shared_state::SharedState;
use crate::upgrades::Upgrades;
use crate::waiting_requests::WaitingRequests;

/// Holds requests that wait for a decision of the group, and tracks the sessions of this router.
pub struct Admission {
    context: Rc<GatewayContext>,
    shared: Option<SharedState>,
    upgrades: Option<Rc<Upgrades>>,
    /// Hands an input to the core without passing through this admission.
    forward_to_core: Box<dyn Fn(Input)>,
    sessions: RefCell<Sessions>,
    waiting: WaitingRequests,
    /// Number of random values drawn so far; an input of the next one.
    draw_count: Cell<u64>,
    /// Completions recorded while the core was running, not yet handled.
    completed: RefCell<VecDeque<sessions::Input>>,
    workers: ListedWorkers,
    /// `None` if the local name of each worker is also its id.
    worker_ids: RefCell<Option<WorkerIds>>,
    /// Tells whether this router has recently used copies of a function at a worker and they probably still
    /// exist.
    recently_used: RefCell<Option<RecentUseCheck>>,
    alarm: DeadlineTimer,
}

/// Checks for recent use of a copy; called with the worker's local name and the function.
pub type RecentUseCheck = Box<dyn Fn(&str, &str) -> bool>;
/// Translates between a worker's local name and its id; `None` for an unknown worker.
pub type WorkerNameLookup = Box<dyn Fn(&str) -> Option<Name>>;

/// Translates between a worker's local name and the id that all members of the group use: routers may reach the same
/// worker at different addresses.
struct WorkerIds {
    id_of: WorkerNameLookup,
    worker_of: WorkerNameLookup,
}

fn hash_of(value: impl std::hash::Hash) -> u64 {
    BuildHasherDefault::<DefaultHasher>::default().hash_one(value)
}

/// The placement that a note encodes in its version and value.
fn placement_of_note(note: &replica::Note) -> SessionPlacement {
    SessionPlacement {
        number: note.version.0,
        worker: Name::from(&*String::from_utf8_lossy(&note.value)),
    }
}

impl Admission {
    /// `shared`: `None` for a router without a group. `forward_to_core`: hands an input to the core without
    /// passing through this admission again.
    pub fn new(
        context: Rc<GatewayContext>,
        settings: sessions::SessionSettings,
        shared: Option<SharedState>,
        upgrades: Option<Rc<Upgrades>>,
        forward_to_core: Box<dyn Fn(Input)>,
    ) -> Rc<Admission> {
        let admission = Rc::new(Admission {
            context,
            shared,
            upgrades,
            forward_to_core,
            sessions: RefCell::new(Sessions::new(settings)),
            waiting: WaitingRequests::default(),
            draw_count: Cell::new(0),
            completed: RefCell::default(),
            workers: ListedWorkers::default(),
            worker_ids: RefCell::default(),
            recently_used: RefCell::default(),
            alarm: DeadlineTimer::default(),
        });
        if let Some(shared) = &admission.shared {
            let admission = Rc::downgrade(&admission);
            shared.subscribe(sessions::BINDING_PREFIX, move |event| {
                if let (Some(admission), PeerEvent::Decided(key, outcome)) =
                    (admission.upgrade(), event)
                {
                    admission.decided(key, outcome);
                }
            });
        }
        if let Some(upgrades) = &admission.upgrades {
            upgrades.set_workers(admission.workers.map());
        }
        admission
    }

    /// Sets the lookups from a worker's local name to its id and back.
    pub fn set_worker_ids(&self, id_of: WorkerNameLookup, worker_of: WorkerNameLookup) {
        *self.worker_ids.borrow_mut() = Some(WorkerIds { id_of, worker_of });
    }

    /// Sets the check for recent use of a copy.
    pub fn set_recent_use_check(&self, check: RecentUseCheck) {
        *self.recently_used.borrow_mut() = Some(check);
    }

    /// The id that all members use for a worker.
    fn id(&self, worker: &str) -> Name {
        let ids = self.worker_ids.borrow();
        let id = ids.as_ref().and_then(|ids| (ids.id_of)(worker));
        id.unwrap_or_else(|| Name::from(worker))
    }

    /// The local name of the worker with this id.
    fn worker(&self, id: Name) -> Option<Name> {
        match &*self.worker_ids.borrow() {
            Some(ids) => (ids.worker_of)(&id),
            None => Some(id),
        }
    }

    /// Returns the input to hand to the core now, if any; a request that has to wait is forwarded later.
    pub fn filter(&self, input: Input) -> Option<Input> {
        match &input {
            Input::ClientLeft(delivery) => self.drop_waiting(|waiting| waiting == *delivery),
            Input::FrontChanged {
                front,
                state: FrontState::Down,
            } => self.drop_waiting(|waiting| waiting.front == *front),
            Input::EndpointList { kind, workers } => self.update_workers(*kind, workers),
            Input::MessageArrived(request) if request.predetermined_answer.is_none() => {
                let Input::MessageArrived(request) = input else {
                    return None;
                };
                return self.admit(request).map(Input::MessageArrived);
            }
            _ => {}
        }
        Some(input)
    }

    /// Records the end of a dispatch or a load order; called while the core is running.
    pub(crate) fn record_completion(&self, used: &WorkerUsage) {
        if let Some(upgrades) = &self.upgrades {
            upgrades.record_use(used);
        }
        if let (UsageSource::Dispatch(DispatchOutcome::Succeeded, _), Some(session)) =
            (used.source, used.session)
        {
            let answered = sessions::Input::Answered {
                model: Name::from(client_requests::split_version(used.function).0),
                session: Name::from(session),
                worker: self.id(used.worker_name),
                ends_session: used.ends_session,
            };
            self.completed.borrow_mut().push_back(answered);
        }
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

    /// Returns whether no request is waiting.
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    /// Handles a worker's loss of the cached prefixes of these sessions.
    pub fn prefix_lost(&self, worker: &str, function: &str, sessions: &[Arc<str>]) {
        let model = Name::from(client_requests::split_version(function).0);
        for session in sessions {
            let (model, worker, session) = (model.clone(), self.id(worker), session.clone());
            self.apply(sessions::Input::PrefixLost {
                model,
                session,
                worker,
            });
        }
    }

    /// Rejects requests that have waited too long; runs until the router stops.
    pub async fn run(self: Rc<Self>) {
        loop {
            self.alarm.elapsed(&self.context.clock).await;
            self.apply(sessions::Input::Tick);
        }
    }

    /// The section of the state endpoint: number of sessions bound to each version, and counts.
    pub fn state(&self) -> Value {
        let sessions = self.sessions.borrow();
        let mut bound: BTreeMap<&str, u64> = BTreeMap::new();
        for version in sessions.bound_versions() {
            *bound.entry(version).or_default() += 1;
        }
        json!({"bound": bound, "waiting": sessions.waiting_count(), "counts": sessions.counts})
    }

    /// Draws a number that selects the version of a request. It is derived from the identity of the request, so
    /// that a retry uses the same version as the first attempt, or random for a request without identity.
    fn draw(&self, request: &IncomingInvocation) -> u64 {
        if let Some(identity) = request
            .idempotency_key
            .as_deref()
            .or(request.identity.as_deref())
        {
            return hash_of((request.account, identity));
        }
        self.draw_count.set(self.draw_count.get() + 1);
        hash_of((self.context.seed, self.draw_count.get()))
    }

    /// Returns the request if it can be forwarded at once; a request of a session waits for a decision.
    fn admit(&self, mut request: IncomingInvocation) -> Option<IncomingInvocation> {
        let (model, version) = client_requests::split_version(&request.function);
        // A version requested by the client is used as is.
        let upgrades = self.upgrades.as_ref().filter(|_| version.is_empty());
        if let Some(upgrades) = upgrades {
            upgrades.record_invocation(model, request.lanes, request.copy_mb);
        }
        let Some(session) = &request.session else {
            if let Some(function) = upgrades.and_then(|u| u.route(model, || self.draw(&request))) {
                request.requested_function =
                    Some(std::mem::replace(&mut request.function, function));
            }
            return Some(request);
        };
        let ticket = self.waiting.issue_ticket();
        let proposed_version =
            upgrades.map(|u| u.propose_version(model, self.draw(&request), session.is_first));
        let place_key = sessions::placement_key(model, &session.id);
        let published_placement = self
            .shared
            .as_ref()
            .and_then(|s| s.latest_note(&place_key))
            .as_ref()
            .map(placement_of_note);
        let (model, session) = (Name::from(model), session.id.clone());
        self.waiting
            .insert(ticket, request, self.context.clock.now());
        self.apply(sessions::Input::Arrived {
            ticket,
            model,
            session,
            proposed_version,
            published_placement,
        });
        None
    }

    fn apply(&self, input: sessions::Input) {
        let now = self.context.clock.now();
        let mut outputs = Vec::new();
        let due = {
            let mut sessions = self.sessions.borrow_mut();
            sessions.handle(now, input, &mut outputs);
            sessions.next_due()
        };
        self.alarm.set_deadline(due);
        outputs.into_iter().for_each(|output| self.execute(output));
    }

    fn execute(&self, output: sessions::Output) {
        match output {
            sessions::Output::RequestBinding {
                key,
                version,
                retention,
            } => {
                if let Some(shared) = &self.shared {
                    shared.choose(key, Bytes::copy_from_slice(version.as_bytes()), retention);
                }
            }
            sessions::Output::Forward {
                ticket,
                version,
                preferred_worker,
                placed_by_other_router,
            } => self.forward(ticket, version, preferred_worker, placed_by_other_router),
            sessions::Output::Reject { ticket, reason } => {
                let reason = match reason {
                    RejectionReason::NoMajority => AnswerReason::NoMajority,
                    RejectionReason::Full => AnswerReason::Size,
                };
                self.reject(ticket, reason);
            }
            sessions::Output::PublishPlacement {
                key,
                placement,
                retention,
            } => {
                if let Some(shared) = &self.shared {
                    let value = Bytes::copy_from_slice(placement.worker.as_bytes());
                    shared.note(key, (placement.number, 0), value, retention);
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
        self.waiting.release(ticket, self.context.clock.now())
    }

    /// Hands a waiting request to the core. `version`: the model version that the session is bound to, if any;
    /// `preferred_id`: id of the session's preferred worker; `placed_by_other_router`: another router has reported
    /// that worker since the last request.
    fn forward(
        &self,
        ticket: u64,
        version: Option<Name>,
        preferred_id: Option<Name>,
        placed_by_other_router: bool,
    ) {
        let Some(mut request) = self.release(ticket) else {
            return;
        };
        request.preferred_worker = preferred_id.and_then(|id| self.worker(id));
        if let Some(version) = version {
            self.assign_version(&mut request, &version);
        }
        // Without this report the balancer could pass over the session's warm copy: either the session
        // was served through another router and this router does not know the copy, or the balancer
        // dropped what it knew of the function's copies when the preferred workers changed.
        let preferred = request.preferred_worker.clone();
        if let Some(worker) = preferred.filter(|worker| {
            placed_by_other_router || self.is_recently_used(worker, &request.function)
        }) {
            (self.forward_to_core)(Input::CopiesReported {
                worker,
                function: request.function.clone(),
                copies: 1,
            });
        }
        (self.forward_to_core)(Input::MessageArrived(request));
    }

    fn assign_version(&self, request: &mut IncomingInvocation, version: &Name) {
        let model = request.function.clone();
        let upgrades = self.upgrades.as_ref();
        if upgrades.is_some_and(|u| u.sessions_ended(&model, version)) {
            request.predetermined_answer = Some((FinalOutcome::Errored, AnswerReason::SessionOver));
        }
        let function = function_name(&model, version);
        request.requested_function = Some(std::mem::replace(&mut request.function, function));
    }

    fn is_recently_used(&self, worker: &Name, function: &Name) -> bool {
        let check = self.recently_used.borrow();
        check.as_ref().is_some_and(|check| check(worker, function))
    }

    /// Rejects a waiting request. This delivery was not sent to a worker, but a redelivered message may have been
    /// sent in an earlier delivery and is therefore answered as errored instead of throttled.
    fn reject(&self, ticket: u64, reason: AnswerReason) {
        let Some(mut request) = self.release(ticket) else {
            return;
        };
        let outcome = if request.redelivered {
            FinalOutcome::Errored
        } else {
            FinalOutcome::Throttled
        };
        request.predetermined_answer = Some((outcome, reason));
        (self.forward_to_core)(Input::MessageArrived(request));
    }

    /// Drops the waiting requests whose deliveries match, such as those of a lost front: the broker delivers its
    /// messages again, and keeping them would process them twice.
    fn drop_waiting(&self, matches: impl Fn(Delivery) -> bool) {
        if self.waiting.is_empty() {
            return;
        }
        for ticket in self.waiting.tickets_of(matches) {
            self.waiting.remove(ticket);
            self.apply(sessions::Input::Dropped { ticket });
        }
    }

    fn update_workers(&self, kind: EndpointListKind, workers: &[ListedWorker]) {
        for worker in self.workers.apply_update(kind, workers) {
            let worker = self.id(&worker);
            self.apply(sessions::Input::WorkerGone { worker });
        }
    }
}
