//! What is known of one worker: its incarnations, how far its reports are doubted, and what is believed of its
//! functions.

use std::collections::BTreeMap;
use std::sync::Arc;

use cedarpulley::interface::Micros;

use super::ownership::UnclaimedReason;
use super::trust::{Doubt, Incarnations, ReportOrigin, ReportSource};
use super::worker_table::BeliefBudget;
use super::{Counts, PolledWorker};
use crate::belief::{Belief, Change};
use crate::drift::{DRIFT_KINDS, DriftKind};
use crate::observation::Observation;

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
    drifts: [DriftTally; DRIFT_KINDS.len()],
}

impl WorkerState {
    pub(super) fn new(listed: &PolledWorker) -> WorkerState {
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
            drifts: [DriftTally::default(); DRIFT_KINDS.len()],
        }
    }

    /// Takes over what stays true of the process before it.
    pub(super) fn inherit(&mut self, before: WorkerState) {
        self.incarnations = before.incarnations.into_former();
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

    /// Applies what this router saw by itself; what is beyond the bound on beliefs is counted.
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
            self.doubt.on_refuted();
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
    pub(super) fn is_credible(&mut self, function: &Arc<str>, kind: DriftKind) -> bool {
        self.doubt.is_credible(function, kind, self.reports)
    }

    /// The report contradicted itself.
    pub(super) fn on_contradiction(&mut self) {
        self.doubt.on_contradiction();
    }

    /// A report was compared to the end.
    pub(super) fn on_compared(&mut self, was_consistent: bool) {
        self.doubt.on_compared(self.reports, was_consistent);
    }

    pub(super) fn count_drift(&mut self, kind: DriftKind) {
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

    /// Functions whose beliefs are followed.
    pub(super) fn followed(&self) -> usize {
        self.beliefs.len()
    }

    pub(super) fn set_memory_mb(&mut self, memory_mb: f64) {
        self.memory_mb = memory_mb;
    }

    pub(super) fn id(&self) -> &Arc<str> {
        &self.id
    }

    pub(super) fn memory_mb(&self) -> f64 {
        self.memory_mb
    }

    pub(super) fn incarnation(&self) -> Option<u64> {
        self.incarnations.current()
    }

    pub(super) fn doubt(&self) -> u8 {
        self.doubt.level()
    }

    /// Reports that were taken in.
    pub(super) fn reports(&self) -> u64 {
        self.reports
    }

    pub(super) fn drift_tally(&self, kind: DriftKind) -> DriftTally {
        self.drifts[kind.index()]
    }
}
