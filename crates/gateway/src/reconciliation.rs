//! Reconciles the warm index with what workers report (`cedarpulley-reconcile`): it follows what the core
//! believes (`Watch`), queries workers through the pool, exchanges notes with the group, and hands
//! corrections to the core. It makes no decisions.
//!
//! The caller uses [`Reconciliation::observe_list_event`] and [`Reconciliation::list_applied`] for the worker
//! list, [`Reconciliation::watch`] for the core, and [`Reconciliation::run`] once.

use std::cell::RefCell;
use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use async_io::Timer;
use cedarpulley::interface::{EndpointListKind, EndpointState, Micros};
use cedarpulley_errors::Remedy;
use cedarpulley_kserve::{repository_index, worker_requests};
use cedarpulley_net::DeadlineTimer;
use cedarpulley_reconcile::{
    Cause, Change, Claims, Entry, Input as ReconcilerInput, Kind, Observation,
    Output as ReconcilerOutput, Reconciler, Seat, Terms,
};
use cedarpulley_router::Input;
use cedarpulley_router::endpoint_list::{ListedWorker, WatchEvent as ListNews};
use cedarpulley_router::observer::RouterObserver;
use serde_json::{Value, json};

use crate::context::GatewayContext;
use crate::pool::{ExchangeError, Pool};
use crate::reconciliation_notes::{NOTE_PREFIX, PeerClock};
use crate::reconciliation_observer::CoreObserver;
use crate::shared_state::SharedState;

/// A worker that does not respond within this time counts as silent. In microseconds.
const QUERY_TIMEOUT: Micros = 2_000_000;
/// Start marks of departed workers are kept up to this number, as the list may name them before it reports
/// them in service.
const MAX_DEPARTED_MARKS: usize = 1_000;
/// Counts are logged this often, if they have changed.
const LOG_INTERVAL: Duration = Duration::from_secs(60);

/// Configuration; times in microseconds.
#[derive(Clone, Copy, Debug)]
pub struct ReconcileSettings {
    pub interval: Micros,
    pub grace_period: Micros,
    pub queries_per_s: f64,
    pub repairs_per_s: f64,
}

/// The reconciler, and what is known beside it.
pub(crate) struct State {
    pub(crate) reconciler: Reconciler,
    /// By address: the list's mark that tells processes at one address apart.
    pub(crate) start_marks: HashMap<String, String>,
    /// By address: memory as reported by the worker itself.
    pub(crate) memory_mb: HashMap<String, f64>,
    pub(crate) clocks: BTreeMap<String, PeerClock>,
    /// When something was last published to the group.
    pub(crate) last_published_at: Micros,
    /// Only once a test has corrupted a belief: since when each worker's last report holds; from then on all
    /// that matters is logged.
    pub(crate) logged_words: Option<BTreeMap<Arc<str>, Micros>>,
}

impl State {
    /// Logs reports just taken in, for tests that count rounds.
    fn log_observations(&mut self) {
        let Some(logged) = &mut self.logged_words else {
            return;
        };
        for (worker, began, said) in self.reconciler.observed() {
            if logged.insert(worker.clone(), began) == Some(began) {
                continue;
            }
            let said = said
                .entries
                .iter()
                .map(|e| (&*e.function, e.copies, e.loading));
            let said = Value::from_iter(said.map(|(f, n, loading)| json!([f, n, loading])));
            tracing::info!(worker = &**worker, at = began, said = %said, "meddled: heard");
        }
    }
}

/// Workers of the list, by address.
pub type WorkerListing = Rc<RefCell<BTreeMap<Arc<str>, ListedWorker>>>;
/// What upgrade plans claim, of functions that a worker has just reported.
pub type ClaimsProvider = Box<dyn Fn(&[Arc<str>]) -> Claims>;
/// Whether an upgrade plan manages a function's copies.
pub type PlanCheck = Box<dyn Fn(&str) -> bool>;
/// Called for sessions whose prefix is lost, with worker, function and sessions.
pub type PrefixLossListener = Box<dyn Fn(&str, &str, &[Arc<str>])>;

/// The reconciliation of one router.
pub struct Reconciliation {
    pub(crate) context: Rc<GatewayContext>,
    pool: Rc<Pool>,
    pub(crate) shared: Option<SharedState>,
    pub(crate) me: Arc<str>,
    pub(crate) process: u64,
    pub(crate) interval: Micros,
    kinds_mb: Vec<f64>,
    listing: WorkerListing,
    claims_provider: RefCell<Option<ClaimsProvider>>,
    prefix_loss_listener: RefCell<Option<PrefixLossListener>>,
    plan_check: RefCell<Option<PlanCheck>>,
    pub(crate) state: RefCell<State>,
    alarm: DeadlineTimer,
}

impl Reconciliation {
    /// `kept`: how long the module believes in a copy after its last use (microseconds); `kinds_mb`: memory
    /// by kind of worker.
    pub fn new(
        context: Rc<GatewayContext>,
        pool: Rc<Pool>,
        shared: Option<SharedState>,
        settings: ReconcileSettings,
        kept: Micros,
        kinds_mb: Vec<f64>,
    ) -> Rc<Reconciliation> {
        // The name within the group, if there is one: load orders carry the same name.
        let member = shared.as_ref().and_then(|s| {
            s.members()
                .get(s.own_index() as usize)
                .map(|f| f.name.clone())
        });
        let me: Arc<str> = Arc::from(member.unwrap_or_else(|| context.name.clone()));
        let ReconcileSettings {
            interval,
            grace_period,
            queries_per_s,
            repairs_per_s,
        } = settings;
        let now = context.clock.now();
        // A separate seed: the module's draws are the same with and without reconciliation.
        let seed = context.seed ^ 0x7ec0;
        let terms = Terms {
            me: me.clone(),
            every: interval,
            grace: grace_period,
            kept,
            asks_per_s: queries_per_s,
            repairs_per_s,
            seed,
        };
        let state = State {
            reconciler: Reconciler::new(now, terms),
            start_marks: HashMap::new(),
            memory_mb: HashMap::new(),
            clocks: BTreeMap::new(),
            last_published_at: Micros::MIN,
            logged_words: None,
        };
        let this = Rc::new(Reconciliation {
            process: uuid::Uuid::new_v4().as_u64_pair().0,
            context,
            pool,
            shared,
            me,
            interval,
            kinds_mb,
            listing: WorkerListing::default(),
            claims_provider: RefCell::default(),
            prefix_loss_listener: RefCell::default(),
            plan_check: RefCell::default(),
            state: RefCell::new(state),
            alarm: DeadlineTimer::default(),
        });
        if let Some(shared) = &this.shared {
            let weak = Rc::downgrade(&this);
            shared.subscribe(NOTE_PREFIX, move |event| {
                if let Some(this) = weak.upgrade() {
                    this.peer_event(&event);
                }
            });
        }
        this
    }

    /// To be registered with the core, which reports its decisions.
    pub fn watch(self: &Rc<Self>) -> Box<dyn RouterObserver> {
        Box::new(CoreObserver::new(self.clone()))
    }

    /// The workers as reported to the core; for other parts.
    pub fn listing(&self) -> WorkerListing {
        self.listing.clone()
    }

    /// Sets the source of what upgrade plans claim.
    pub fn set_claims_provider(&self, claimed: ClaimsProvider) {
        *self.claims_provider.borrow_mut() = Some(claimed);
    }

    /// Sets the check for functions that an upgrade plan manages.
    pub fn set_plan_check(&self, check: PlanCheck) {
        *self.plan_check.borrow_mut() = Some(check);
    }

    /// Sets the listener for sessions whose prefix is lost.
    pub fn on_prefix_lost(&self, listener: PrefixLossListener) {
        *self.prefix_loss_listener.borrow_mut() = Some(listener);
    }

    /// Calls `each` for the last report of each worker: since when it holds (microseconds), and the worker's
    /// memory in MB, 0 if unknown.
    pub fn observed<R>(
        &self,
        mut each: impl FnMut(&Arc<str>, Micros, f64, &Observation) -> R,
    ) -> Vec<R> {
        let state = self.state.borrow();
        let seen = state.reconciler.observed();
        let seen = seen.map(|(w, at, said)| {
            each(
                w,
                at,
                state.memory_mb.get(&**w).copied().unwrap_or(0.0),
                said,
            )
        });
        seen.collect()
    }

    /// Only for fault injection: from now on this many copies are believed, whatever is true. False if a load
    /// is under way there, as far as this router knows.
    pub fn corrupt_belief(&self, worker: &str, function: &str, copies: u32) -> bool {
        let (now, mut state) = (self.context.clock.now(), self.state.borrow_mut());
        state.logged_words.get_or_insert_default();
        if state.reconciler.under_way(worker, function) {
            return false;
        }
        let input = ReconcilerInput::Believes {
            worker,
            function,
            change: Change::Spoilt { copies },
        };
        state.reconciler.handle(now, input, &mut Vec::new());
        tracing::info!(worker, function, copies, at = now, "meddled: spoilt");
        true
    }

    /// The id that all members know a worker by, and back; absent for one that is not on the list.
    pub fn id_of(&self, worker: &str) -> Option<Arc<str>> {
        self.state.borrow().reconciler.id_of(worker).cloned()
    }

    /// The local name of the worker with this id.
    pub fn worker_of(&self, id: &str) -> Option<Arc<str>> {
        self.state.borrow().reconciler.worker_of(id).cloned()
    }

    /// This router has recently used copies there, and has not heard since that they are gone.
    pub fn used_lately(&self, worker: &str, function: &str) -> bool {
        self.state
            .borrow()
            .reconciler
            .used_lately(self.context.clock.now(), worker, function)
    }

    /// An event of the worker list, before the core receives it.
    pub fn observe_list_event(&self, event: &ListNews) {
        let mut state = self.state.borrow_mut();
        let slices = match event {
            ListNews::Listing { slices, .. } => {
                state.start_marks.clear();
                slices.as_slice()
            }
            ListNews::Changed(slice) => std::slice::from_ref(slice),
            _ => &[],
        };
        for entry in slices.iter().flat_map(|s| &s.entries) {
            state
                .start_marks
                .insert(entry.worker.address.clone(), entry.start_mark.clone());
        }
    }

    /// The update of the list that the core has just received.
    pub fn list_applied(self: &Rc<Self>, mode: EndpointListKind, workers: &[ListedWorker]) {
        {
            let mut listing = self.listing.borrow_mut();
            match mode {
                EndpointListKind::Complete | EndpointListKind::Cached => listing.clear(),
                EndpointListKind::Changes => {}
                EndpointListKind::Failed => return,
            }
            for worker in workers {
                match worker.state {
                    EndpointState::InService | EndpointState::Draining => {
                        listing.insert(Arc::from(worker.address.as_str()), worker.clone());
                    }
                    _ => drop(listing.remove(&*worker.address)),
                }
            }
        }
        self.forget_departed_workers();
        let seats = self.seats();
        let ids = seats.iter().map(|s| &s.id);
        let new: Vec<Arc<str>> = ids
            .filter(|id| self.worker_of(id).is_none())
            .cloned()
            .collect();
        self.apply(ReconcilerInput::Workers(seats));
        // Notes of other members from before these workers were on the list here.
        for key in new.iter().map(|id| format!("{NOTE_PREFIX}{id}")) {
            if let Some(note) = self.shared.as_ref().and_then(|s| s.latest_note(&key)) {
                self.note_received(&key, note.version, &note.value);
            }
        }
    }

    /// Guards against unbounded growth: a list whose workers come and go for weeks must not leave all their
    /// names here.
    fn forget_departed_workers(&self) {
        let (listing, mut state) = (self.listing.borrow(), self.state.borrow_mut());
        state
            .memory_mb
            .retain(|address, _| listing.contains_key(&**address));
        if state.start_marks.len() > 2 * listing.len().max(MAX_DEPARTED_MARKS) {
            state
                .start_marks
                .retain(|address, _| listing.contains_key(&**address));
        }
    }

    fn seats(&self) -> Vec<Seat> {
        let state = self.state.borrow();
        let seat = |(address, worker): (&Arc<str>, &ListedWorker)| {
            let mark = state.start_marks.get(&**address).filter(|m| !m.is_empty());
            let id = mark.map_or(address.clone(), |m| Arc::from(m.as_str()));
            let by_kind = self
                .kinds_mb
                .get(worker.machine_kind as usize)
                .copied()
                .unwrap_or(0.0);
            let memory_mb = state.memory_mb.get(&**address).copied().unwrap_or(by_kind);
            Seat {
                worker: address.clone(),
                id,
                memory_mb,
            }
        };
        self.listing.borrow().iter().map(seat).collect()
    }

    /// Starts its tasks.
    pub fn run(self: &Rc<Self>) {
        self.update_members();
        let this = self.clone();
        let ticks = async move {
            loop {
                this.publish_clock_if_due();
                this.apply(ReconcilerInput::Tick);
                this.alarm.elapsed(&this.context.clock).await;
            }
        };
        self.context.executor.spawn(ticks).detach();
        let this = self.clone();
        let logs = async move {
            let mut before = Default::default();
            loop {
                Timer::after(LOG_INTERVAL).await;
                let counts = this.state.borrow().reconciler.counts;
                if counts != before {
                    tracing::info!(?counts, "reconcile");
                    before = counts;
                }
            }
        };
        self.context.executor.spawn(logs).detach();
    }

    /// For the state endpoint.
    pub fn state(&self) -> Value {
        let state = self.state.borrow();
        let workers: Vec<_> = state.reconciler.shown().collect();
        json!({"workers": workers, "counts": state.reconciler.counts, "repairs_waiting": state.reconciler.repairs_waiting()})
    }

    /// Logs the counts, on shutdown.
    pub fn log_counts(&self) {
        tracing::info!(counts = ?self.state.borrow().reconciler.counts, "reconcile");
    }

    pub(crate) fn apply(self: &Rc<Self>, input: ReconcilerInput) {
        let mut out = Vec::new();
        let due = {
            let mut state = self.state.borrow_mut();
            state
                .reconciler
                .handle(self.context.clock.now(), input, &mut out);
            state.log_observations();
            let clock = if self.shared.is_some() {
                state.last_published_at.saturating_add(self.interval)
            } else {
                Micros::MAX
            };
            state.reconciler.next_due().min(clock)
        };
        self.alarm.set_deadline(due);
        out.into_iter().for_each(|o| self.carry_out(o));
    }

    fn carry_out(self: &Rc<Self>, output: ReconcilerOutput) {
        match output {
            ReconcilerOutput::Ask { worker } => {
                let this = self.clone();
                let query = async move { this.query(&worker).await };
                self.context.executor.spawn(query).detach();
            }
            ReconcilerOutput::Held {
                worker,
                function,
                copies,
            } => {
                self.context.feed(Input::CopiesReported {
                    worker,
                    function,
                    copies,
                });
            }
            // Guards against a loop: a copy unloaded by an upgrade plan must not be taken for lost and loaded
            // again.
            ReconcilerOutput::Want { function, .. }
                if self
                    .plan_check
                    .borrow()
                    .as_ref()
                    .is_some_and(|t| t(&function)) => {}
            ReconcilerOutput::Want { worker, function } => {
                let like = function.clone();
                self.context.feed(Input::CopyWanted {
                    worker,
                    function,
                    like,
                    term: None,
                });
            }
            ReconcilerOutput::Unload {
                worker,
                function,
                term,
            } => {
                tracing::info!(
                    worker = &*worker,
                    function = &*function,
                    "reconcile: unloaded, as nobody claims it"
                );
                self.context.feed(Input::CopyUnwanted {
                    worker,
                    function,
                    term,
                });
            }
            ReconcilerOutput::PrefixLost {
                worker,
                function,
                sessions,
            } => {
                if let Some(listener) = &*self.prefix_loss_listener.borrow() {
                    listener(&worker, &function, &sessions);
                }
            }
            ReconcilerOutput::Note { id, version, value } => {
                self.publish(format!("{NOTE_PREFIX}{id}"), version, value)
            }
            ReconcilerOutput::Found(drift) => {
                let (worker, function) = (&*drift.worker, drift.function.as_deref());
                let (kind, cause) = (drift.kind, drift.cause);
                match (kind, cause) {
                    (Kind::Unseen, Cause::LoadedElsewhere | Cause::LoadedOnMiss)
                        if self.state.borrow().logged_words.is_none() =>
                    {
                        tracing::debug!(worker, function, ?kind, ?cause, "reconcile: drift");
                    }
                    _ => tracing::info!(worker, function, ?kind, ?cause, "reconcile: drift"),
                }
            }
        }
    }

    async fn query(self: Rc<Self>, worker: &str) {
        let began = self.context.clock.now();
        let Ok(address) = worker.parse::<SocketAddr>() else {
            return self.apply(ReconcilerInput::Silent { worker });
        };
        let request = worker_requests::index(&address.to_string());
        let answer = self.pool.order(address, request, QUERY_TIMEOUT).await;
        let read = match answer {
            Ok(reply) => {
                repository_index::parse(reply.status.as_u16(), &reply.headers, &reply.body)
            }
            Err(ExchangeError::Garbled | ExchangeError::TooLarge) => {
                Err(repository_index::InvalidIndex::Malformed)
            }
            Err(_) => return self.apply(ReconcilerInput::Silent { worker }),
        };
        match read {
            Ok(index) => {
                if index.memory_mb > 0.0 {
                    let before = self
                        .state
                        .borrow_mut()
                        .memory_mb
                        .insert(worker.to_owned(), index.memory_mb);
                    if before != Some(index.memory_mb) {
                        self.apply(ReconcilerInput::Workers(self.seats()));
                    }
                }
                let observation = observation_of(index);
                let functions: Vec<Arc<str>> = observation
                    .entries
                    .iter()
                    .map(|e| e.function.clone())
                    .collect();
                let claims = self
                    .claims_provider
                    .borrow()
                    .as_ref()
                    .map(|claimed| claimed(&functions));
                claims
                    .into_iter()
                    .for_each(|claims| self.apply(ReconcilerInput::Claims(claims)));
                self.apply(ReconcilerInput::Said {
                    worker,
                    began,
                    observation,
                });
            }
            Err(no) => {
                tracing::warn!(worker, cause = no.line(), "reconcile");
                self.apply(ReconcilerInput::Silent { worker });
            }
        }
    }
}

fn observation_of(index: repository_index::RepositoryIndex) -> Observation {
    let arc = |text: String| Arc::from(text);
    let entry = |m: repository_index::ModelEntry| Entry {
        function: Arc::from(m.function),
        copies: m.copies,
        loading: m.loading,
        busy: m.busy,
        idle: m.idle,
        ordered_by: m.ordered_by.map(arc),
        term: m.term.map(arc),
        sequences: m.sequences.map(|ids| ids.into_iter().map(arc).collect()),
    };
    Observation {
        life: index.incarnation,
        entries: index.models.into_iter().map(entry).collect(),
        cut: index.truncated,
    }
}
