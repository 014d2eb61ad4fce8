//! [`Reconciler`]: the caller passes each input to [`Reconciler::handle`], and [`Input::Tick`] at
//! [`Reconciler::next_due`]; the outputs are returned in the order in which they are to be executed. The reconciler
//! passes events between its submodules, each of which owns its state:
//!
//! * `event`: inputs, outputs and settings.
//! * `schedule`: when each worker is polled.
//! * `observations`: the notes by which members share the reports of workers.
//! * `worker_table`, `worker_state`: what is known of each worker, and its records of functions. A report that began
//!   before the last accepted one is void.
//! * `trust`: a report of an earlier incarnation is void, and a report of a new incarnation invalidates all records of
//!   the old one; a worker that contradicted itself, or that an invocation refuted, is doubted for a while.
//! * `comparison`: a report that began before a record last changed says nothing about it; a function that is loading
//!   is not corrected; otherwise each router corrects its own records.
//! * `ownership`: which member is first for a worker, and who claims a copy.
//! * [`crate::repair`]: repairs take up a worker's resources, so they are sent only by the member that is first for the
//!   worker, after its own poll, within a rate limit, and are checked again right before.
//! * `status`: counts and the status of workers; no decision reads them.

use std::collections::BTreeSet;
use std::sync::Arc;

use cedarpulley::interface::Micros;

use self::comparison::{Comparison, ComparisonContext};
use self::observations::Note;
use self::ownership::Ownership;
use self::schedule::PollSchedule;
use self::trust::{ReportOrigin, ReportSource};
use self::worker_table::WorkerTable;
use crate::copy_record::{CopyChange, CopyRecord};
use crate::observation::Observation;
use crate::polling::{PollResult, SeededRandom};
use crate::repair::{Repair, RepairAction, RepairQueue};

mod comparison;
mod event;
mod observations;
mod ownership;
mod schedule;
mod status;
mod trust;
mod worker_state;
mod worker_table;

pub use self::event::{Input, Output, PolledWorker, ReconcilerSettings};
pub use self::ownership::Claims;
pub use self::status::{Counts, WorkerStatus};

/// Keeps the warm index of one router consistent with what its workers report.
#[derive(Debug)]
pub struct Reconciler {
    settings: ReconcilerSettings,
    now: Micros,
    workers: WorkerTable,
    schedule: PollSchedule,
    ownership: Ownership,
    repairs: RepairQueue,
    random: SeededRandom,
    /// Counts of inputs, outputs and drifts since the start.
    pub counts: Counts,
}

impl Reconciler {
    /// Creates a reconciler without workers or members.
    pub fn new(now: Micros, settings: ReconcilerSettings) -> Self {
        Reconciler {
            now,
            workers: WorkerTable::default(),
            schedule: PollSchedule::new(now, settings.poll_interval, settings.polls_per_s),
            ownership: Ownership::new(settings.router_name.clone(), settings.grace_period),
            repairs: RepairQueue::new(settings.repairs_per_s),
            random: SeededRandom::new(settings.seed),
            counts: Counts::default(),
            settings,
        }
    }

    /// Processes an input and appends the resulting outputs to `out`. If `now` is earlier than before, the time counts
    /// as unchanged.
    pub fn handle(&mut self, now: Micros, input: Input, out: &mut Vec<Output>) {
        self.now = self.now.max(now);
        match input {
            Input::Workers(listed) => self.on_workers(&listed),
            Input::Members(members) => self.on_members(members),
            Input::RecordChanged {
                worker,
                function,
                change,
            } => return self.on_record_change(worker, function, change),
            Input::Reported {
                worker,
                observation_began,
                observation,
            } => self.on_reported(worker, observation_began, &observation, out),
            Input::Unresponsive { worker } => self.on_unresponsive(worker, out),
            Input::NoteReceived {
                id,
                version,
                transit,
                value,
            } => self.on_note(id, version, transit, value, out),
            Input::Claims(claims) => self.ownership.set_claims(claims),
            Input::Tick => {}
        }
        self.repair(out);
        self.schedule.poll_due(self.now, &mut self.counts, out);
    }

    /// When [`Input::Tick`] is due next; `Micros::MAX` for never.
    pub fn next_due(&self) -> Micros {
        self.schedule.next_due().min(self.repairs.next_due())
    }

    /// Replaces the workers. A new process under a known name counts as a new worker, which inherits only the earlier
    /// incarnations and the drift counts.
    fn on_workers(&mut self, listed: &[PolledWorker]) {
        let listed_names: BTreeSet<&str> = listed.iter().map(|l| &*l.worker).collect();
        let gone: Vec<Arc<str>> = self
            .workers
            .iter()
            .map(|(worker, _)| worker.clone())
            .filter(|worker| !listed_names.contains(&**worker))
            .collect();
        for worker in gone {
            self.schedule.remove(&worker);
            self.workers.remove(&worker);
        }
        for worker in listed {
            if self.workers.update(worker) {
                continue;
            }
            self.schedule.remove(&worker.worker);
            let before = self.workers.remove(&worker.worker);
            self.schedule.insert(
                self.now,
                &worker.worker,
                self.ownership.rank(&worker.id),
                before.is_some(),
                &mut self.random,
            );
            self.workers.insert(worker, before);
        }
    }

    fn on_members(&mut self, members: Vec<Arc<str>>) {
        self.ownership.set_members(self.now, members);
        for (worker, state) in self.workers.iter() {
            let rank = self.ownership.rank(state.id());
            self.schedule
                .set_rank(self.now, worker, rank, &mut self.random);
        }
    }

    fn on_record_change(&mut self, worker: &str, function: &str, change: CopyChange) {
        if let Some((_, state, budget)) = self.workers.get_mut(worker) {
            let (now, lifetime) = (self.now, self.settings.record_lifetime);
            state.apply_change(now, lifetime, function, change, budget, &mut self.counts);
        }
    }

    fn on_unresponsive(&mut self, worker: &str, out: &mut Vec<Output>) {
        let Some((worker, state, _)) = self.workers.get_mut(worker) else {
            return;
        };
        self.schedule.on_poll_ended(&worker);
        self.schedule.on_poll_result(self.now, &worker);
        let (id, version) = (state.id().clone(), state.next_version(false));
        self.counts.silences += 1;
        if self.ownership.has_peers()
            && let Some(value) = Note::encode_unresponsive()
        {
            out.push(Output::SendNote { id, version, value });
        }
        self.schedule.schedule_next(
            self.now,
            &worker,
            PollResult::Unresponsive,
            &mut self.random,
        );
    }

    fn on_reported(
        &mut self,
        worker: &str,
        began: Micros,
        observation: &Observation,
        out: &mut Vec<Output>,
    ) {
        let Some((worker, state, _)) = self.workers.get_mut(worker) else {
            return;
        };
        self.counts.answers += 1;
        self.schedule.on_poll_ended(&worker);
        let source = ReportSource::OwnPoll;
        let origin = state.accept(began, observation.incarnation, source, &mut self.counts);
        let mut result = PollResult::Changed;
        if let Some(origin) = origin {
            self.schedule.on_poll_result(self.now, &worker);
            let version = state.next_version(origin == ReportOrigin::NewIncarnation);
            if self.ownership.has_peers()
                && let Some(value) = Note::encode_observed(self.now - began, observation)
            {
                let id = state.id().clone();
                out.push(Output::SendNote { id, version, value });
            }
            let compared = self.compare(&worker, began, observation, origin, source, out);
            result = compared.unwrap_or(result);
        }
        self.schedule
            .schedule_next(self.now, &worker, result, &mut self.random);
    }

    fn on_note(
        &mut self,
        id: &str,
        version: (u64, u64),
        transit: Micros,
        value: &[u8],
        out: &mut Vec<Output>,
    ) {
        let Some(worker) = self.workers.worker_of(id).cloned() else {
            return;
        };
        let Some((_, state, _)) = self.workers.get_mut(&worker) else {
            return;
        };
        self.counts.notes += 1;
        if !state.is_newer(version) {
            self.counts.notes_old += 1;
            return;
        }
        let Some(note) = Note::decode(value) else {
            self.counts.notes_unreadable += 1;
            return;
        };
        state.set_version(version);
        self.schedule.on_poll_result(self.now, &worker);
        if let Note::Observed { ago, observation } = note {
            let began = self
                .now
                .saturating_sub(transit.max(0))
                .saturating_sub(ago.max(0));
            let source = ReportSource::PeerNote;
            let origin = state.accept(began, observation.incarnation, source, &mut self.counts);
            if let Some(origin) = origin {
                self.compare(&worker, began, &observation, origin, source, out);
            }
        }
    }

    /// Compares a report with the records. Returns `None` for a worker that is not in the endpoint list.
    fn compare(
        &mut self,
        worker: &Arc<str>,
        began: Micros,
        observation: &Observation,
        origin: ReportOrigin,
        source: ReportSource,
        out: &mut Vec<Output>,
    ) -> Option<PollResult> {
        let (_, state, budget) = self.workers.get_mut(worker)?;
        let comparison = Comparison {
            context: ComparisonContext {
                now: self.now,
                settings: &self.settings,
                ownership: &self.ownership,
                budget,
                repairs: &mut self.repairs,
                random: &mut self.random,
                counts: &mut self.counts,
                out,
            },
            worker,
            state,
            began,
            origin,
            may_repair: source == ReportSource::OwnPoll && self.schedule.is_first(worker),
        };
        Some(comparison.run(observation))
    }

    /// Sends the next repair if the rate limit allows one and it is still needed: this router is still first for the
    /// worker, the record has not changed since the report that showed the drift, and a copy to be unloaded is still
    /// unclaimed.
    fn repair(&mut self, out: &mut Vec<Output>) {
        let now = self.now;
        let (workers, schedule, ownership) = (&self.workers, &self.schedule, &self.ownership);
        let is_needed = |repair: &Repair| {
            let Some(state) = workers.get(&repair.worker) else {
                return false;
            };
            let function = &repair.function;
            let untouched = state
                .record(function)
                .is_none_or(|record| record.allows_repair(now, repair.began));
            schedule.is_first(&repair.worker)
                && untouched
                && match &repair.action {
                    RepairAction::Load => true,
                    RepairAction::Unload { .. } => state
                        .unclaimed_reason(function)
                        .is_some_and(|reason| !ownership.is_claimed_again(now, function, reason)),
                }
        };
        let Some(repair) = self.repairs.pop(now, &mut self.random, is_needed) else {
            return;
        };
        let (worker, function) = (repair.worker, repair.function);
        match repair.action {
            RepairAction::Load => {
                self.counts.wanted += 1;
                out.push(Output::Load { worker, function });
            }
            RepairAction::Unload { term } => {
                self.counts.unloaded += 1;
                if let Some((_, state, _)) = self.workers.get_mut(&worker) {
                    // If the order is lost, the copy is found again and unloaded after another grace period.
                    state.clear_unclaimed(&function);
                    if let Some(record) = state.record_mut(&function) {
                        record.apply(now, self.settings.record_lifetime, CopyChange::Unloaded);
                    }
                }
                out.push(Output::Unload {
                    worker,
                    function,
                    term,
                });
            }
        }
    }

    /// The last accepted report of each worker, and when its observation began.
    pub fn last_reports(&self) -> impl Iterator<Item = (&Arc<str>, Micros, &Observation)> {
        self.workers.iter().filter_map(|(worker, state)| {
            let (began, observation) = state.observed()?;
            Some((worker, began, observation))
        })
    }

    /// The id by which all members know a worker of this router.
    pub fn id_of(&self, worker: &str) -> Option<&Arc<str>> {
        self.workers.get(worker).map(|state| state.id())
    }

    /// This router's name for the worker that all members know by `id`.
    pub fn worker_of(&self, id: &str) -> Option<&Arc<str>> {
        self.workers.worker_of(id)
    }

    /// Number of repairs in the queue.
    pub fn queued_repairs(&self) -> usize {
        self.repairs.len()
    }

    /// The status of each worker, for operators.
    pub fn worker_statuses(&self) -> impl Iterator<Item = WorkerStatus<'_>> {
        self.workers
            .iter()
            .map(|(worker, state)| WorkerStatus::new(self.now, worker, state, &self.schedule))
    }

    /// Whether this router records copies of the function as warm at the worker.
    pub fn is_recorded_warm(&self, worker: &str, function: &str) -> bool {
        self.record(worker, function)
            .is_some_and(|record| record.is_warm(self.now))
    }

    /// Whether a load of the function is in progress at the worker, from this router's own orders and dispatches.
    pub fn is_loading(&self, worker: &str, function: &str) -> bool {
        self.record(worker, function)
            .is_some_and(|record| record.is_loading(self.now))
    }

    /// Whether copies are recorded as warm and this router used them so recently that the balancer would still expect
    /// them to be warm because of that use alone. If such a record is corrected to the same value, the balancer expects
    /// the copies for at most twice the lifetime of a record after their last use (`MAX_RECORD_LIFETIMES` in
    /// `comparison`).
    pub fn used_recently(&self, now: Micros, worker: &str, function: &str) -> bool {
        let lifetime = self.settings.record_lifetime;
        self.record(worker, function)
            .is_some_and(|record| record.is_warm(now) && record.used_within(now, lifetime))
    }

    fn record(&self, worker: &str, function: &str) -> Option<&CopyRecord> {
        self.workers.get(worker)?.record(function)
    }
}
