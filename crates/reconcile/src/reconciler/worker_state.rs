//! What is known of one worker: its incarnations, how far its reports are doubted, and what is believed of its
//! functions. [`WorkerTable`] holds all of them.
//!
//! Mechanisms:
//! 1. A report of an earlier incarnation is void; that such a one is back counts once it was reported twice.
//! 2. Doubt grows with each contradiction, up to a bound; while it lasts, a difference counts once two reports
//!    in a row show it.
//! 3. Beliefs are bounded over all workers together: what is beyond is not followed.

use std::collections::BTreeMap;
use std::sync::Arc;

use cedarpulley::interface::Micros;

use super::ownership::UnclaimedReason;
use super::{Counts, Seat};
use crate::belief::{Belief, Change};
use crate::drift::{KINDS, Kind};
use crate::observation::Observation;

/// Beliefs over all workers; what is beyond is not followed, and counted.
const MAX_BELIEFS: usize = 200_000;
/// Doubt that one contradiction adds, that one refutation adds, and at most: so many consistent reports lift it.
const CONTRADICTION_DOUBT: u8 = 2;
const REFUTATION_DOUBT: u8 = 1;
const MAX_DOUBT: u8 = 8;
/// Earlier incarnations of a worker that are remembered.
const MAX_FORMER: usize = 8;

/// Where a report comes from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ReportSource {
    OwnPoll,
    PeerNote,
}

/// Of which incarnation a report that counts is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ReportOrigin {
    KnownIncarnation,
    NewIncarnation,
}

/// How far a worker's reports are doubted.
#[derive(Debug, Default)]
struct Doubt {
    level: u8,
    /// Differences that were reported while it was doubted, and in which report.
    unconfirmed: BTreeMap<(Arc<str>, Kind), u64>,
}

impl Doubt {
    fn add(&mut self, by: u8) {
        self.level = self.level.saturating_add(by).min(MAX_DOUBT);
    }
}

/// The process of a worker, and those before it.
#[derive(Debug, Default)]
struct Incarnations {
    current: Option<u64>,
    former: Vec<u64>,
    /// Another than the current one, reported once.
    unconfirmed: Option<u64>,
}

impl Incarnations {
    /// None if the report is void.
    /// Symptom: a worker was restarted at the same address, and answers of its old process are still under way.
    fn identify(
        &mut self,
        incarnation: Option<u64>,
        source: ReportSource,
        doubt: &mut Doubt,
    ) -> Option<ReportOrigin> {
        let Some(incarnation) = incarnation else {
            return Some(ReportOrigin::KnownIncarnation);
        };
        let unconfirmed = self.unconfirmed.take();
        if self.current == Some(incarnation) {
            return Some(ReportOrigin::KnownIncarnation);
        }
        let is_former = self.former.contains(&incarnation);
        if is_former && source == ReportSource::OwnPoll && unconfirmed.is_none() {
            // It was over, or so it was reported.
            doubt.add(CONTRADICTION_DOUBT);
        }
        // A doubted report, and one that an earlier incarnation is back, counts once it came twice.
        if (is_former || doubt.level > 0) && unconfirmed != Some(incarnation) {
            self.unconfirmed = Some(incarnation);
            return None;
        }
        let before = self.current.replace(incarnation);
        self.former.retain(|former| *former != incarnation);
        self.former.extend(before);
        if self.former.len() > MAX_FORMER {
            self.former.remove(0);
        }
        Some(if before.is_some() {
            ReportOrigin::NewIncarnation
        } else {
            ReportOrigin::KnownIncarnation
        })
    }
}

/// How often a kind of drift was found, and in which report last.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct DriftTally {
    pub(super) found: u64,
    pub(super) last_report: u64,
}

#[derive(Debug)]
pub(super) struct WorkerState {
    id: Arc<str>,
    memory_mb: f64,
    incarnations: Incarnations,
    doubt: Doubt,
    /// Of the last note about it: changes of its incarnation, and reports.
    version: (u64, u64),
    last_began: Micros,
    reports: u64,
    beliefs: BTreeMap<Arc<str>, Belief>,
    /// Copies that nobody claims: since when, and why.
    unclaimed: BTreeMap<Arc<str>, (Micros, UnclaimedReason)>,
    /// The last report of this incarnation, without what contradicts itself.
    observed: Option<Observation>,
    drifts: [DriftTally; KINDS.len()],
}

impl WorkerState {
    fn new(listed: &Seat) -> WorkerState {
        WorkerState {
            id: listed.id.clone(),
            memory_mb: listed.memory_mb,
            incarnations: Incarnations::default(),
            doubt: Doubt::default(),
            version: (0, 0),
            last_began: Micros::MIN,
            reports: 0,
            beliefs: BTreeMap::new(),
            unclaimed: BTreeMap::new(),
            observed: None,
            drifts: [DriftTally::default(); KINDS.len()],
        }
    }

    /// Takes over what stays true of the process before it.
    fn inherit(&mut self, before: WorkerState) {
        self.incarnations.former = before.incarnations.former;
        self.incarnations.former.extend(before.incarnations.current);
        for (tally, earlier) in self.drifts.iter_mut().zip(before.drifts) {
            tally.found = earlier.found;
        }
    }

    /// Of which incarnation a report is, unless it is void; what is void is counted.
    pub(super) fn accept(
        &mut self,
        began: Micros,
        incarnation: Option<u64>,
        source: ReportSource,
        counts: &mut Counts,
    ) -> Option<ReportOrigin> {
        if began <= self.last_began {
            counts.void_older += 1;
            return None;
        }
        self.reports += 1;
        let origin = self
            .incarnations
            .identify(incarnation, source, &mut self.doubt);
        if origin.is_none() {
            counts.void_of_earlier_process += 1;
        }
        origin
    }

    /// Keeps what was reported last, and when that began.
    pub(super) fn set_observed(&mut self, began: Micros, observation: Observation) {
        self.last_began = began;
        self.observed = Some(observation);
    }

    /// The last report, and when it began.
    pub(super) fn observed(&self) -> Option<(Micros, &Observation)> {
        Some((self.last_began, self.observed.as_ref()?))
    }

    /// The version of the next note about a report, which is taken for given.
    pub(super) fn next_version(&mut self, is_new_incarnation: bool) -> (u64, u64) {
        self.version.0 += u64::from(is_new_incarnation);
        self.version.1 += 1;
        self.version
    }

    /// False if a note of this version or a later one was taken already.
    pub(super) fn is_newer(&self, version: (u64, u64)) -> bool {
        version > self.version
    }

    pub(super) fn set_version(&mut self, version: (u64, u64)) {
        self.version = version;
    }

    /// Applies what this router saw by itself. False if it is beyond the bound on beliefs.
    pub(super) fn change(
        &mut self,
        now: Micros,
        lifetime: Micros,
        function: &str,
        change: Change,
        budget: &mut BeliefBudget,
        counts: &mut Counts,
    ) {
        if !self.follow(function, budget) {
            counts.beliefs_left_out += 1;
            return;
        }
        let refuted = self
            .beliefs
            .get_mut(function)
            .is_some_and(|belief| belief.change(now, lifetime, change));
        if refuted {
            counts.refuted += 1;
            self.doubt.add(REFUTATION_DOUBT);
        }
    }

    /// True if what is believed of the function is followed.
    pub(super) fn follow(
        &mut self,
        function: impl AsRef<str> + Into<Arc<str>>,
        budget: &mut BeliefBudget,
    ) -> bool {
        if self.beliefs.contains_key(function.as_ref()) {
            return true;
        }
        let reserved = budget.reserve();
        if reserved {
            self.beliefs.insert(function.into(), Belief::default());
        }
        reserved
    }

    /// Forgets beliefs of which nothing is lost.
    pub(super) fn forget_idle(&mut self, now: Micros, lifetime: Micros, budget: &mut BeliefBudget) {
        let before = self.beliefs.len();
        self.beliefs
            .retain(|_, belief| !belief.is_idle(now, lifetime));
        budget.release(before - self.beliefs.len());
    }

    /// True if this difference may be believed now.
    pub(super) fn is_credible(&mut self, function: &Arc<str>, kind: Kind) -> bool {
        if self.doubt.level == 0 {
            return true;
        }
        let before = self
            .doubt
            .unconfirmed
            .insert((function.clone(), kind), self.reports);
        before.is_some_and(|report| report + 1 == self.reports)
    }

    /// The report contradicted itself.
    pub(super) fn on_contradiction(&mut self) {
        self.doubt.add(CONTRADICTION_DOUBT);
    }

    /// A report was compared to the end.
    pub(super) fn on_compared(&mut self, was_consistent: bool) {
        let reports = self.reports;
        self.doubt
            .unconfirmed
            .retain(|_, report| *report == reports);
        if was_consistent {
            self.doubt.level = self.doubt.level.saturating_sub(1);
        }
    }

    pub(super) fn count_drift(&mut self, kind: Kind) {
        let tally = &mut self.drifts[kind.index()];
        tally.found += 1;
        tally.last_report = self.reports;
    }

    /// Since when nobody claims the function's copies for this reason.
    pub(super) fn unclaimed_since(
        &self,
        function: &str,
        reason: &UnclaimedReason,
    ) -> Option<Micros> {
        self.unclaimed
            .get(function)
            .filter(|(_, known)| known == reason)
            .map(|(since, _)| *since)
    }

    pub(super) fn unclaimed_reason(&self, function: &str) -> Option<&UnclaimedReason> {
        self.unclaimed.get(function).map(|(_, reason)| reason)
    }

    pub(super) fn set_unclaimed(
        &mut self,
        now: Micros,
        function: &Arc<str>,
        reason: UnclaimedReason,
    ) {
        self.unclaimed.insert(function.clone(), (now, reason));
    }

    pub(super) fn clear_unclaimed(&mut self, function: &str) {
        self.unclaimed.remove(function);
    }

    pub(super) fn retain_unclaimed(&mut self, keep: impl Fn(&Arc<str>) -> bool) {
        self.unclaimed.retain(|function, _| keep(function));
    }

    pub(super) fn belief(&self, function: &str) -> Option<&Belief> {
        self.beliefs.get(function)
    }

    pub(super) fn belief_mut(&mut self, function: &str) -> Option<&mut Belief> {
        self.beliefs.get_mut(function)
    }

    /// Functions of which copies are believed to be there, by name.
    pub(super) fn believed(&self, now: Micros) -> impl Iterator<Item = (&Arc<str>, &Belief)> {
        self.beliefs
            .iter()
            .filter(move |(_, belief)| belief.is_believed(now))
    }

    pub(super) fn id(&self) -> &Arc<str> {
        &self.id
    }

    pub(super) fn memory_mb(&self) -> f64 {
        self.memory_mb
    }

    pub(super) fn incarnation(&self) -> Option<u64> {
        self.incarnations.current
    }

    pub(super) fn doubt(&self) -> u8 {
        self.doubt.level
    }

    /// Reports that were taken in.
    pub(super) fn reports(&self) -> u64 {
        self.reports
    }

    pub(super) fn drift_tally(&self, kind: Kind) -> DriftTally {
        self.drifts[kind.index()]
    }
}

/// Beliefs of all workers, against their bound.
#[derive(Debug, Default)]
pub(super) struct BeliefBudget(usize);

impl BeliefBudget {
    fn reserve(&mut self) -> bool {
        let fits = self.0 < MAX_BELIEFS;
        self.0 += usize::from(fits);
        fits
    }

    fn release(&mut self, beliefs: usize) {
        self.0 -= beliefs;
    }
}

/// All workers of the list, by this router's name for them.
#[derive(Debug, Default)]
pub(super) struct WorkerTable {
    workers: BTreeMap<Arc<str>, WorkerState>,
    by_id: BTreeMap<Arc<str>, Arc<str>>,
    budget: BeliefBudget,
}

impl WorkerTable {
    /// Updates a worker that is known by this name and id; false if there is none.
    pub(super) fn update(&mut self, listed: &Seat) -> bool {
        let known = self
            .workers
            .get_mut(&listed.worker)
            .filter(|state| state.id == listed.id);
        let Some(state) = known else {
            return false;
        };
        state.memory_mb = listed.memory_mb;
        true
    }

    /// Adds a worker; `before` is the process that had its name.
    pub(super) fn insert(&mut self, listed: &Seat, before: Option<WorkerState>) {
        let mut state = WorkerState::new(listed);
        if let Some(before) = before {
            state.inherit(before);
        }
        self.by_id.insert(listed.id.clone(), listed.worker.clone());
        self.workers.insert(listed.worker.clone(), state);
    }

    pub(super) fn remove(&mut self, worker: &str) -> Option<WorkerState> {
        let state = self.workers.remove(worker)?;
        self.by_id.remove(&state.id);
        self.budget.release(state.beliefs.len());
        Some(state)
    }

    pub(super) fn get(&self, worker: &str) -> Option<&WorkerState> {
        self.workers.get(worker)
    }

    pub(super) fn get_mut(
        &mut self,
        worker: &str,
    ) -> Option<(Arc<str>, &mut WorkerState, &mut BeliefBudget)> {
        let name = self.workers.get_key_value(worker)?.0.clone();
        let state = self.workers.get_mut(worker)?;
        Some((name, state, &mut self.budget))
    }

    pub(super) fn worker_of(&self, id: &str) -> Option<&Arc<str>> {
        self.by_id.get(id)
    }

    pub(super) fn iter(&self) -> impl Iterator<Item = (&Arc<str>, &WorkerState)> {
        self.workers.iter()
    }
}
