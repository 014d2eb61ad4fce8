//! [`Reconciler`]: call [`Reconciler::handle`] with each thing that happened, and again with [`Input::Tick`]
//! at [`Reconciler::next_due`]; what is to be done comes out, in order. It passes events between its parts, each of
//! which owns its state:
//!
//! * `event`: inputs, outputs and settings.
//! * `schedule`: when each worker is polled.
//! * `observations`: the notes by which members share what they heard; a report that began before the last that was
//!   taken is void.
//! * `worker_table`, `worker_state`: what is known and believed of each worker.
//! * `trust`: a report of an earlier incarnation is void, one of a new incarnation takes all belief of the old with it;
//!   a worker that contradicted itself, or that an invocation refuted, is doubted for a while.
//! * `comparison`: a report that began before a belief last changed says nothing about it; what is loading is left
//!   alone; else belief is corrected by each router for itself.
//! * `ownership`: which member is first for a worker, and who claims a copy.
//! * [`crate::repair`]: what costs the worker something is done only by the member that is first for it, from its own
//!   poll, within a rate, and checked again right before.
//! * `status`: what is counted and shown; no decision reads it back.

use std::collections::BTreeSet;
use std::sync::Arc;

use cedarpulley::interface::Micros;

use self::comparison::{Comparison, ComparisonContext};
use self::observations::Note;
use self::ownership::Ownership;
use self::schedule::PollSchedule;
use self::trust::{ReportOrigin, ReportSource};
use self::worker_table::WorkerTable;
use crate::belief::{Belief, Change};
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

/// Keeps the warm index of one router true to what its workers report.
#[derive(Debug)]
pub struct Reconciler {
    settings: ReconcilerSettings,
    now: Micros,
    workers: WorkerTable,
    schedule: PollSchedule,
    ownership: Ownership,
    repairs: RepairQueue,
    random: SeededRandom,
    /// All that was seen and done since the start.
    pub counts: Counts,
}

impl Reconciler {
    /// Knows no workers and no members yet.
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

    /// Takes in what happened and appends what is to be done. `now` that goes back counts as unchanged.
    pub fn handle(&mut self, now: Micros, input: Input, out: &mut Vec<Output>) {
        self.now = self.now.max(now);
        match input {
            Input::Workers(listed) => self.on_workers(&listed),
            Input::Members(members) => self.on_members(members),
            Input::BeliefChanged {
                worker,
                function,
                change,
            } => return self.on_change(worker, function, change),
            Input::Reported {
                worker,
                began,
                observation,
            } => self.on_observed(worker, began, &observation, out),
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

    /// When [`Input::Tick`] is due; `Micros::MAX` for never.
    pub fn next_due(&self) -> Micros {
        self.schedule.next_due().min(self.repairs.next_due())
    }

    /// Another process behind a known name is a worker of its own, which inherits only its earlier incarnations.
    fn on_workers(&mut self, listed: &[PolledWorker]) {
        let named: BTreeSet<&str> = listed.iter().map(|l| &*l.worker).collect();
        let gone: Vec<Arc<str>> = self
            .workers
            .iter()
            .map(|(worker, _)| worker.clone())
            .filter(|worker| !named.contains(&**worker))
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

    fn on_change(&mut self, worker: &str, function: &str, change: Change) {
        if let Some((_, state, budget)) = self.workers.get_mut(worker) {
            let (now, lifetime) = (self.now, self.settings.belief_lifetime);
            state.change(now, lifetime, function, change, budget, &mut self.counts);
        }
    }

    fn on_unresponsive(&mut self, worker: &str, out: &mut Vec<Output>) {
        let Some((worker, state, _)) = self.workers.get_mut(worker) else {
            return;
        };
        self.schedule.on_poll_ended(&worker);
        self.schedule.on_heard(self.now, &worker);
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

    fn on_observed(
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
            self.schedule.on_heard(self.now, &worker);
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
        self.schedule.on_heard(self.now, &worker);
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

    /// None for a worker that is not in the list.
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

    /// Lets the next repair go, if its time has come and it is still needed: this router is still first, nothing
    /// changed since the report that showed it, and what is to be unloaded still nobody claims.
    fn repair(&mut self, out: &mut Vec<Output>) {
        let now = self.now;
        let (workers, schedule, ownership) = (&self.workers, &self.schedule, &self.ownership);
        let is_needed = |repair: &Repair| {
            let Some(state) = workers.get(&repair.worker) else {
                return false;
            };
            let function = &repair.function;
            let untouched = state
                .belief(function)
                .is_none_or(|belief| belief.allows_repair(now, repair.began));
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
                    if let Some(belief) = state.belief_mut(&function) {
                        belief.change(now, self.settings.belief_lifetime, Change::Unloaded);
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

    /// What each worker reported last, and when that began to be true.
    pub fn observed(&self) -> impl Iterator<Item = (&Arc<str>, Micros, &Observation)> {
        self.workers.iter().filter_map(|(worker, state)| {
            let (began, observation) = state.observed()?;
            Some((worker, began, observation))
        })
    }

    /// The name by which all members know a worker of this router.
    pub fn id_of(&self, worker: &str) -> Option<&Arc<str>> {
        self.workers.get(worker).map(|state| state.id())
    }

    /// This router's name for a worker that all members know by `id`.
    pub fn worker_of(&self, id: &str) -> Option<&Arc<str>> {
        self.workers.worker_of(id)
    }

    /// Repairs in the queue.
    pub fn queued_repairs(&self) -> usize {
        self.repairs.len()
    }

    /// Each worker, for whoever operates the router.
    pub fn worker_statuses(&self) -> impl Iterator<Item = WorkerStatus<'_>> {
        self.workers
            .iter()
            .map(|(worker, state)| WorkerStatus::new(self.now, worker, state, &self.schedule))
    }

    /// Whether this router believes that copies are there.
    pub fn is_believed(&self, worker: &str, function: &str) -> bool {
        self.belief(worker, function)
            .is_some_and(|belief| belief.is_believed(self.now))
    }

    /// Whether a load is under way there, as far as this router knows by itself.
    pub fn is_loading(&self, worker: &str, function: &str) -> bool {
        self.belief(worker, function)
            .is_some_and(|belief| belief.is_loading(self.now))
    }

    /// Whether copies are believed there that this router itself has used so lately that the balancer would still
    /// believe in them by that use alone: corrected to the same again, it believes in them for no more than twice the
    /// lifetime of a belief (`BELIEVED_FOR` in `comparison`).
    pub fn used_recently(&self, now: Micros, worker: &str, function: &str) -> bool {
        let lifetime = self.settings.belief_lifetime;
        self.belief(worker, function)
            .is_some_and(|belief| belief.is_believed(now) && belief.used_within(now, lifetime))
    }

    fn belief(&self, worker: &str, function: &str) -> Option<&Belief> {
        self.workers.get(worker)?.belief(function)
    }
}
