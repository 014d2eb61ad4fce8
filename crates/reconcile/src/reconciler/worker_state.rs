//! What is known of one worker: its incarnations, the doubt about its reports, and the records of its functions.

use std::collections::BTreeMap;
use std::sync::Arc;

use cedarpulley::interface::Micros;

use super::ownership::UnclaimedReason;
use super::trust::{Doubt, Incarnations, ReportOrigin, ReportSource};
use super::worker_table::RecordBudget;
use super::{Counts, PolledWorker};
use crate::copy_record::{CopyChange, CopyRecord};
use crate::drift::{DRIFT_KINDS, DriftKind};
use crate::observation::Observation;

/// How often a kind of drift was found, and the number of the report in which it was last found.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct DriftTally {
    pub(super) found: u64,
    pub(super) last_report: u64,
}

/// The state of one worker of the endpoint list.
#[derive(Debug)]
pub(super) struct WorkerState {
    id: Arc<str>,
    /// Memory in megabytes; 0 if unknown.
    memory_mb: f64,
    incarnations: Incarnations,
    doubt: Doubt,
    /// Version of the last note about the worker: number of incarnation changes, and number of notes.
    version: (u64, u64),
    /// When the observation of the last accepted report began.
    last_report_began: Micros,
    /// Number of reports, without those older than the last accepted one.
    reports: u64,
    records: BTreeMap<Arc<str>, CopyRecord>,
    /// Functions with unclaimed copies: since when, and why.
    unclaimed: BTreeMap<Arc<str>, (Micros, UnclaimedReason)>,
    /// The last report of this incarnation, without contradictory entries.
    observed: Option<Observation>,
    drifts: [DriftTally; DRIFT_KINDS.len()],
}

impl WorkerState {
    /// A worker of which only the entry in the endpoint list is known.
    pub(super) fn new(listed: &PolledWorker) -> WorkerState {
        WorkerState {
            id: listed.id.clone(),
            memory_mb: listed.memory_mb,
            incarnations: Incarnations::default(),
            doubt: Doubt::default(),
            version: (0, 0),
            last_report_began: Micros::MIN,
            reports: 0,
            records: BTreeMap::new(),
            unclaimed: BTreeMap::new(),
            observed: None,
            drifts: [DriftTally::default(); DRIFT_KINDS.len()],
        }
    }

    /// Takes over from the previous process what remains valid: the incarnations and the drift counts.
    pub(super) fn inherit_from(&mut self, before: WorkerState) {
        self.incarnations = before.incarnations.into_former();
        for (tally, earlier) in self.drifts.iter_mut().zip(before.drifts) {
            tally.found = earlier.found;
        }
    }

    /// The incarnation from which a report originates; `None` if the report is void, which is counted.
    pub(super) fn accept(
        &mut self,
        began: Micros,
        incarnation: Option<u64>,
        source: ReportSource,
        counts: &mut Counts,
    ) -> Option<ReportOrigin> {
        if began <= self.last_report_began {
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

    /// Stores the last report and when its observation began.
    pub(super) fn set_observed(&mut self, began: Micros, observation: Observation) {
        self.last_report_began = began;
        self.observed = Some(observation);
    }

    /// The last report, and when its observation began.
    pub(super) fn observed(&self) -> Option<(Micros, &Observation)> {
        Some((self.last_report_began, self.observed.as_ref()?))
    }

    /// Advances to the version of the next note and returns it.
    pub(super) fn next_version(&mut self, is_new_incarnation: bool) -> (u64, u64) {
        self.version.0 += u64::from(is_new_incarnation);
        self.version.1 += 1;
        self.version
    }

    /// Whether this version is newer than that of the last note sent or accepted.
    pub(super) fn is_newer(&self, version: (u64, u64)) -> bool {
        version > self.version
    }

    /// Sets the version of the last note about the worker.
    pub(super) fn set_version(&mut self, version: (u64, u64)) {
        self.version = version;
    }

    /// Applies a change that this router observed itself; a change for which the limit leaves no record is counted.
    pub(super) fn apply_change(
        &mut self,
        now: Micros,
        lifetime: Micros,
        function: &str,
        change: CopyChange,
        budget: &mut RecordBudget,
        counts: &mut Counts,
    ) {
        if !self.ensure_record(function, budget) {
            counts.beliefs_left_out += 1;
            return;
        }
        let refuted = self
            .records
            .get_mut(function)
            .is_some_and(|record| record.apply(now, lifetime, change));
        if refuted {
            counts.refuted += 1;
            self.doubt.on_refuted();
        }
    }

    /// Creates a record for the function if it has none and the limit allows it. Returns whether it has one.
    pub(super) fn ensure_record(
        &mut self,
        function: impl AsRef<str> + Into<Arc<str>>,
        budget: &mut RecordBudget,
    ) -> bool {
        if self.records.contains_key(function.as_ref()) {
            return true;
        }
        let reserved = budget.reserve();
        if reserved {
            self.records.insert(function.into(), CopyRecord::default());
        }
        reserved
    }

    /// Removes the records that contain no information any more.
    pub(super) fn remove_idle_records(
        &mut self,
        now: Micros,
        lifetime: Micros,
        budget: &mut RecordBudget,
    ) {
        let before = self.records.len();
        self.records
            .retain(|_, record| !record.is_idle(now, lifetime));
        budget.release(before - self.records.len());
    }

    /// Whether this difference may be accepted now.
    pub(super) fn is_credible(&mut self, function: &Arc<str>, kind: DriftKind) -> bool {
        self.doubt.is_credible(function, kind, self.reports)
    }

    /// Records that the report contradicted itself.
    pub(super) fn on_contradiction(&mut self) {
        self.doubt.on_contradiction();
    }

    /// Records that the comparison of a report is complete.
    pub(super) fn on_compared(&mut self, was_consistent: bool) {
        self.doubt.on_compared(self.reports, was_consistent);
    }

    /// Counts a drift found in the current report.
    pub(super) fn count_drift(&mut self, kind: DriftKind) {
        let tally = &mut self.drifts[kind.index()];
        tally.found += 1;
        tally.last_report = self.reports;
    }

    /// Since when the copies of the function have been unclaimed for this reason.
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

    /// Why the copies of the function are unclaimed; `None` if they were not found unclaimed.
    pub(super) fn unclaimed_reason(&self, function: &str) -> Option<&UnclaimedReason> {
        self.unclaimed.get(function).map(|(_, reason)| reason)
    }

    /// Marks the copies of the function as unclaimed since `now`.
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

    /// Clears the marks of unclaimed copies for the functions that `keep` rejects.
    pub(super) fn retain_unclaimed(&mut self, keep: impl Fn(&Arc<str>) -> bool) {
        self.unclaimed.retain(|function, _| keep(function));
    }

    pub(super) fn record(&self, function: &str) -> Option<&CopyRecord> {
        self.records.get(function)
    }

    pub(super) fn record_mut(&mut self, function: &str) -> Option<&mut CopyRecord> {
        self.records.get_mut(function)
    }

    /// Functions that are recorded as warm, in the order of their names.
    pub(super) fn recorded_warm(
        &self,
        now: Micros,
    ) -> impl Iterator<Item = (&Arc<str>, &CopyRecord)> {
        self.records
            .iter()
            .filter(move |(_, record)| record.is_warm(now))
    }

    /// Number of functions that have a record.
    pub(super) fn record_count(&self) -> usize {
        self.records.len()
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

    /// Number of reports that were not older than the last accepted one.
    pub(super) fn reports(&self) -> u64 {
        self.reports
    }

    pub(super) fn drift_tally(&self, kind: DriftKind) -> DriftTally {
        self.drifts[kind.index()]
    }
}
