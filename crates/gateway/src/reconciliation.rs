//! Reconciles the recorded warm copies with the workers' reports (`cedarpulley-reconcile`). This module queries workers
//! through the pool, exchanges notes with the group, and passes corrections to the router core. It makes no decisions.
//!
//! The caller uses [`Reconciliation::observe_list_event`] and [`Reconciliation::list_applied`] for the endpoint list,
//! `Reconciliation::observer` (in `reconciliation_observer`) for the router core, and calls [`Reconciliation::run`]
//! once.

use std::cell::RefCell;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use async_io::Timer;
use cedarpulley::interface::{EndpointListKind, Micros};
use cedarpulley_net::DeadlineTimer;
use cedarpulley_reconcile::{
    CopyChange, Input as ReconcilerInput, Observation, Output as ReconcilerOutput, Reconciler,
    ReconcilerSettings,
};
use cedarpulley_router::Input;
use cedarpulley_router::endpoint_list::{ListedWorker, WatchEvent};
use serde_json::{Value, json};

use crate::context::GatewayContext;
use crate::peer_events::PeerEvent;
use crate::pool::Pool;
use crate::reconciliation_hooks::ReconciliationHooks;
pub use crate::reconciliation_hooks::{ClaimsProvider, PlanCheck, PrefixLossListener};
use crate::reconciliation_log::ReconciliationLog;
use crate::reconciliation_notes::{NoteExchange, ReceivedNote};
use crate::reconciliation_query::{WorkerReport, query_worker};
use crate::reconciliation_workers::WorkerDirectory;
pub use crate::reconciliation_workers::WorkerListing;
use crate::shared_state::SharedState;
use crate::task_owner::TaskOwner;

/// Interval at which the counts are logged if they have changed.
const LOG_INTERVAL: Duration = Duration::from_secs(60);

/// Settings of the reconciliation; times in microseconds.
#[derive(Clone, Copy, Debug)]
pub struct ReconcileSettings {
    /// Time between two queries of one worker.
    pub interval: Micros,
    /// How long a difference must last before it is corrected.
    pub grace_period: Micros,
    /// Limit on the queries of this router per second.
    pub queries_per_s: f64,
    /// Limit on the corrections of this router per second.
    pub repairs_per_s: f64,
}

/// The reconciliation of one router.
pub struct Reconciliation {
    context: Rc<GatewayContext>,
    pool: Rc<Pool>,
    /// Absent if the router belongs to no group.
    notes: Option<NoteExchange>,
    workers: WorkerDirectory,
    hooks: ReconciliationHooks,
    log: ReconciliationLog,
    reconciler: RefCell<Reconciler>,
    /// Expires when the reconciler or the exchange of notes is due.
    alarm: DeadlineTimer,
}

impl Reconciliation {
    /// Creates the reconciliation of a router; nothing runs before [`Reconciliation::run`].
    ///
    /// `record_lifetime`: how long the balancer records a copy as warm after its last use, in microseconds;
    /// `memory_mb_by_kind`: memory of each kind of worker, in MB.
    pub fn new(
        context: Rc<GatewayContext>,
        pool: Rc<Pool>,
        shared: Option<SharedState>,
        settings: ReconcileSettings,
        record_lifetime: Micros,
        memory_mb_by_kind: Vec<f64>,
    ) -> Rc<Reconciliation> {
        // The name within the group, if there is one, as it is the name that load orders contain.
        let member_name = shared.as_ref().and_then(|s| {
            s.members()
                .get(s.own_index() as usize)
                .map(|member| member.name.clone())
        });
        let own_name: Arc<str> = Arc::from(member_name.unwrap_or_else(|| context.name.clone()));
        let reconciler_settings = ReconcilerSettings {
            router_name: own_name.clone(),
            poll_interval: settings.interval,
            grace_period: settings.grace_period,
            record_lifetime,
            polls_per_s: settings.queries_per_s,
            repairs_per_s: settings.repairs_per_s,
            // A separate seed, so that the balancer's random numbers are the same with and without reconciliation.
            seed: context.seed ^ 0x7ec0,
        };
        let reconciler = Reconciler::new(context.clock.now(), reconciler_settings);
        let reconciliation = Rc::new(Reconciliation {
            context,
            pool,
            notes: shared.map(|shared| NoteExchange::new(shared, own_name, settings.interval)),
            workers: WorkerDirectory::new(memory_mb_by_kind),
            hooks: ReconciliationHooks::default(),
            log: ReconciliationLog::default(),
            reconciler: RefCell::new(reconciler),
            alarm: DeadlineTimer::default(),
        });
        if let Some(notes) = &reconciliation.notes {
            let weak = Rc::downgrade(&reconciliation);
            notes.subscribe(move |event| {
                if let Some(reconciliation) = weak.upgrade() {
                    reconciliation.peer_event(&event);
                }
            });
        }
        reconciliation
    }

    /// The listed workers, as reported to the router core; for other components.
    pub fn listing(&self) -> WorkerListing {
        self.workers.listing()
    }

    /// Sets the provider of the copies that upgrade plans claim.
    pub fn set_claims_provider(&self, provider: ClaimsProvider) {
        self.hooks.set_claims_provider(provider);
    }

    /// Sets the check for functions that an upgrade plan manages.
    pub fn set_plan_check(&self, check: PlanCheck) {
        self.hooks.set_plan_check(check);
    }

    /// Sets the listener for sessions whose prefix is lost.
    pub fn on_prefix_lost(&self, listener: PrefixLossListener) {
        self.hooks.set_prefix_loss_listener(listener);
    }

    /// Calls `each` for the last report of each worker, with the time at which its query began (microseconds), the
    /// worker's memory (MB, 0 if unknown) and the report; returns the results.
    pub fn last_reports<R>(
        &self,
        mut each: impl FnMut(&Arc<str>, Micros, f64, &Observation) -> R,
    ) -> Vec<R> {
        let reconciler = self.reconciler.borrow();
        let reports = reconciler.last_reports();
        reports
            .map(|(worker, at, observation)| {
                let memory_mb = self.workers.reported_memory_mb(worker);
                each(worker, at, memory_mb, observation)
            })
            .collect()
    }

    /// Only for fault injection: records this number of copies as warm, whatever their real number is. Does nothing and
    /// returns false if a load of the function is in progress at the worker, as far as this router knows.
    pub fn corrupt_recorded_copies(&self, worker: &str, function: &str, copies: u32) -> bool {
        let (now, mut reconciler) = (self.context.clock.now(), self.reconciler.borrow_mut());
        self.log.enable_details();
        if reconciler.is_loading(worker, function) {
            return false;
        }
        let input = ReconcilerInput::RecordChanged {
            worker,
            function,
            change: CopyChange::Corrupted { copies },
        };
        reconciler.handle(now, input, &mut Vec::new());
        self.log
            .recorded_copies_corrupted(now, worker, function, copies);
        true
    }

    /// The id of a worker, which is the same at all members; absent if the worker is not on the endpoint list.
    pub fn id_of(&self, worker: &str) -> Option<Arc<str>> {
        self.reconciler.borrow().id_of(worker).cloned()
    }

    /// The address of the worker with this id; absent if it is not on the endpoint list.
    pub fn worker_of(&self, id: &str) -> Option<Arc<str>> {
        self.reconciler.borrow().worker_of(id).cloned()
    }

    /// Whether this router has recently used copies of the function at the worker, and no report since then shows that
    /// they are gone.
    pub fn used_recently(&self, worker: &str, function: &str) -> bool {
        self.reconciler
            .borrow()
            .used_recently(self.context.clock.now(), worker, function)
    }

    /// Processes an event of the endpoint list, before the router core receives it.
    pub fn observe_list_event(&self, event: &WatchEvent) {
        self.workers.observe_list_event(event);
    }

    /// Processes an update of the endpoint list that the router core has just received.
    pub fn list_applied(self: &Rc<Self>, mode: EndpointListKind, workers: &[ListedWorker]) {
        if !self.workers.apply_update(mode, workers) {
            return;
        }
        let polled_workers = self.workers.polled_workers();
        let ids = polled_workers.iter().map(|worker| &worker.id);
        let new: Vec<Arc<str>> = ids
            .filter(|id| self.worker_of(id).is_none())
            .cloned()
            .collect();
        self.apply(ReconcilerInput::Workers(polled_workers));
        // Other members may have published notes on these workers before the workers were on the list here.
        if let Some(notes) = &self.notes {
            let now = || self.context.clock.now();
            for id in &new {
                self.note_received(notes.receive_latest_of(now(), id));
            }
        }
    }

    /// Processes a change of the recorded copies of a function at a worker.
    pub(crate) fn recorded_copies_changed(
        &self,
        now: Micros,
        worker: &str,
        function: &str,
        change: CopyChange,
    ) {
        let input = ReconcilerInput::RecordChanged {
            worker,
            function,
            change,
        };
        self.log.recorded_copies_changed(worker, function);
        // This input has no outputs; its consequences are evaluated with the worker's next report.
        self.reconciler
            .borrow_mut()
            .handle(now, input, &mut Vec::new());
    }

    /// Processes an event of the group.
    fn peer_event(self: &Rc<Self>, event: &PeerEvent) {
        match event {
            PeerEvent::AliveMembersChanged => self.update_members(),
            PeerEvent::Updated(key) => {
                if let Some(notes) = &self.notes {
                    self.note_received(notes.receive_latest(self.context.clock.now(), key));
                }
            }
            PeerEvent::Decided(..) => {}
        }
    }

    /// Passes another member's note on a worker to the reconciler.
    fn note_received(self: &Rc<Self>, note: Option<ReceivedNote>) {
        if let Some(note) = note {
            self.apply(ReconcilerInput::NoteReceived {
                id: &note.worker_id,
                version: note.version,
                transit: note.transit,
                value: &note.payload,
            });
        }
    }

    /// Passes the members that are considered alive to the reconciler.
    fn update_members(self: &Rc<Self>) {
        if let Some(notes) = &self.notes {
            self.apply(ReconcilerInput::Members(notes.alive_members()));
        }
    }

    /// Starts the tasks of the reconciliation.
    pub fn run(self: &Rc<Self>) {
        self.update_members();
        let reconciliation = self.clone();
        let tick_task = async move {
            loop {
                let context = &reconciliation.context;
                if let Some(notes) = &reconciliation.notes {
                    notes.publish_clock_if_due(context.clock.now());
                }
                reconciliation.apply(ReconcilerInput::Tick);
                reconciliation.alarm.elapsed(&context.clock).await;
            }
        };
        let executor = &self.context.executor;
        executor
            .spawn(TaskOwner::Reconciliation, tick_task)
            .detach();
        let reconciliation = self.clone();
        let log_task = async move {
            let mut before = Default::default();
            loop {
                Timer::after(LOG_INTERVAL).await;
                let counts = reconciliation.reconciler.borrow().counts;
                if counts != before {
                    tracing::info!(?counts, "reconcile: counts");
                    before = counts;
                }
            }
        };
        let executor = &self.context.executor;
        executor.spawn(TaskOwner::Reconciliation, log_task).detach();
    }

    /// The reconciliation's section of the state endpoint.
    pub fn state(&self) -> Value {
        let reconciler = self.reconciler.borrow();
        let workers: Vec<_> = reconciler.worker_statuses().collect();
        json!({
            "workers": workers,
            "counts": reconciler.counts,
            "repairs_waiting": reconciler.queued_repairs(),
        })
    }

    /// Logs the counts at shutdown.
    pub fn log_counts(&self) {
        tracing::info!(counts = ?self.reconciler.borrow().counts, "reconcile: counts");
    }

    /// Passes an input to the reconciler and executes the outputs.
    fn apply(self: &Rc<Self>, input: ReconcilerInput) {
        let mut outputs = Vec::new();
        let due = {
            let mut reconciler = self.reconciler.borrow_mut();
            reconciler.handle(self.context.clock.now(), input, &mut outputs);
            self.log.reports(reconciler.last_reports());
            let notes_due = self.notes.as_ref().map(NoteExchange::next_due);
            reconciler.next_due().min(notes_due.unwrap_or(Micros::MAX))
        };
        self.alarm.set_deadline(due);
        outputs.into_iter().for_each(|output| self.execute(output));
    }

    /// Executes an output of the reconciler.
    fn execute(self: &Rc<Self>, output: ReconcilerOutput) {
        match output {
            ReconcilerOutput::Poll { worker } => {
                let reconciliation = self.clone();
                let query = async move { reconciliation.query(&worker).await };
                let executor = &self.context.executor;
                executor.spawn(TaskOwner::Reconciliation, query).detach();
            }
            ReconcilerOutput::CorrectCopies {
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
            ReconcilerOutput::Load { worker, function } => self.restore_copy(worker, function),
            ReconcilerOutput::Unload {
                worker,
                function,
                term,
            } => {
                self.log.unloaded(&worker, &function);
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
            } => self.hooks.prefix_lost(&worker, &function, &sessions),
            ReconcilerOutput::SendNote { id, version, value } => {
                if let Some(notes) = &self.notes {
                    notes.publish(self.context.clock.now(), &id, version, value);
                }
            }
            ReconcilerOutput::DriftFound(drift) => {
                let (worker, function) = (&*drift.worker, drift.function.as_deref());
                self.log.drift(worker, function, drift.kind, drift.cause);
            }
        }
    }

    /// Requests that a lost copy is loaded again, unless an upgrade plan manages the function. A copy that an upgrade
    /// plan unloaded would otherwise be treated as lost and loaded again, in a loop.
    fn restore_copy(&self, worker: Arc<str>, function: Arc<str>) {
        if !self.hooks.is_planned(&function) {
            let similar_function = function.clone();
            self.context.feed(Input::CopyWanted {
                worker,
                function,
                similar_function,
                term: None,
            });
        }
    }

    /// Queries a worker and passes its report to the reconciler.
    async fn query(self: Rc<Self>, worker: &str) {
        let began = self.context.clock.now();
        let Some(report) = query_worker(&self.pool, worker).await else {
            return self.apply(ReconcilerInput::Unresponsive { worker });
        };
        let WorkerReport {
            memory_mb,
            observation,
        } = report;
        if memory_mb.is_some_and(|memory_mb| self.workers.record_memory(worker, memory_mb)) {
            self.apply(ReconcilerInput::Workers(self.workers.polled_workers()));
        }
        let functions: Vec<Arc<str>> = observation
            .entries
            .iter()
            .map(|e| e.function.clone())
            .collect();
        if let Some(claims) = self.hooks.claims_of(&functions) {
            self.apply(ReconcilerInput::Claims(claims));
        }
        self.apply(ReconcilerInput::Reported {
            worker,
            observation_began: began,
            observation,
        });
    }
}
