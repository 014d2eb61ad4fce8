//! Compares one report with the records of a worker: [`Comparison::run`] corrects each record that the report refutes,
//! queues repairs, and returns the result of the poll.
//!
//! Mechanisms:
//! 1. A function that is loading, according to this router or the worker, is not corrected, nor is a record that
//!    changed after the report began.
//! 2. A difference in the report of a doubted worker is accepted once two successive reports show it.
//! 3. The record of a loaded copy is renewed before it expires, unless the copy is unclaimed or about to be evicted.
//! 4. A session whose prefix is lost is released: it loses nothing by moving to another worker.
//! 5. Each router corrects its own records; only the router that is first for the worker queues repairs, after its own
//!    poll.
//! 6. An unclaimed copy is reported once and unloaded after a grace period, within which an owner may return. It is
//!    unloaded only after it has been idle for longer than any router may record it as warm, so that an unload leaves
//!    no router with a wrong record.

use std::sync::Arc;

use cedarpulley::interface::Micros;

use super::ownership::{Ownership, UnclaimedReason};
use super::trust::ReportOrigin;
use super::worker_state::WorkerState;
use super::worker_table::RecordBudget;
use super::{Counts, Output, ReconcilerSettings};
use crate::drift::{Drift, DriftCause, DriftKind};
use crate::observation::{Consistency, FunctionReport, Observation};
use crate::polling::{PollResult, SeededRandom, longest_interval};
use crate::repair::{Repair, RepairAction, RepairQueue};

/// A function is under load while its number of uses, halved with each lifetime of a record, is at least this.
const MIN_USES_UNDER_LOAD: f64 = 1.0;
/// Number of record lifetimes after a use for which some router may still record the copy as warm: a report may have
/// renewed the record when the copy had been idle for almost one lifetime.
const MAX_RECORD_LIFETIMES: Micros = 2;

/// The state of the reconciler that a comparison uses, apart from that of the worker.
pub(super) struct ComparisonContext<'a> {
    pub(super) now: Micros,
    pub(super) settings: &'a ReconcilerSettings,
    pub(super) ownership: &'a Ownership,
    pub(super) budget: &'a mut RecordBudget,
    pub(super) repairs: &'a mut RepairQueue,
    pub(super) random: &'a mut SeededRandom,
    pub(super) counts: &'a mut Counts,
    pub(super) out: &'a mut Vec<Output>,
}

/// A comparison of one report with the records of one worker.
pub(super) struct Comparison<'a> {
    pub(super) context: ComparisonContext<'a>,
    pub(super) worker: &'a Arc<str>,
    pub(super) state: &'a mut WorkerState,
    /// When the observation began.
    pub(super) began: Micros,
    pub(super) origin: ReportOrigin,
    /// The report answers a poll of this router, and this router is first for the worker.
    pub(super) may_repair: bool,
}

/// The result of comparing reported copies of a function with its record.
enum PresentOutcome {
    /// The record has a different number of copies.
    Miscounted,
    /// The record is about to expire.
    Renew,
    /// The record agrees; the number of copies is stored in it.
    Agrees,
    /// Not recorded as warm, and not corrected: the copies are unclaimed or about to be evicted.
    Ignored,
    /// Not recorded as warm.
    Unseen,
}

impl Comparison<'_> {
    /// Compares the whole report; outputs are appended to those of the context.
    pub(super) fn run(mut self, observation: &Observation) -> PollResult {
        let first_output = self.context.out.len();
        let state = &*self.state;
        let copy_mb = |function: &str| state.record(function).map_or(0.0, |b| b.copy_mb());
        let consistency = observation.consistency(copy_mb, state.memory_mb());
        self.context.counts.contradictions += consistency.contradictions;
        let consistent = Observation {
            entries: consistency.entries.values().map(|e| (*e).clone()).collect(),
            ..observation.clone()
        };
        self.state.set_observed(self.began, consistent);
        if consistency.contradictions > 0 {
            self.state.on_contradiction();
        }
        if self.is_new_incarnation() {
            self.report_drift(None, DriftKind::OtherIncarnation, DriftCause::Restarted);
        }
        self.compare_missing(&consistency, observation.truncated);
        for entry in consistency.entries.values().filter(|e| e.copies > 0) {
            let function = entry.function.clone();
            if self.state.ensure_record(function, self.context.budget) {
                self.compare_present(entry);
            } else {
                self.context.counts.beliefs_left_out += 1;
            }
        }
        if !observation.truncated {
            let entries = &consistency.entries;
            self.state.retain_unclaimed(|function| {
                entries.get(&**function).is_some_and(|e| e.copies > 0)
            });
        }
        let lifetime = self.context.settings.record_lifetime;
        self.state
            .remove_idle_records(self.context.now, lifetime, self.context.budget);
        self.state.on_compared(consistency.contradictions == 0);
        self.result(first_output)
    }

    fn is_new_incarnation(&self) -> bool {
        self.origin == ReportOrigin::NewIncarnation
    }

    /// The result of the poll, from the outputs since `first_output`.
    fn result(&self, first_output: usize) -> PollResult {
        let mut causes =
            self.context.out[first_output..]
                .iter()
                .filter_map(|output| match output {
                    Output::DriftFound(drift) => Some(drift.cause),
                    _ => None,
                });
        // Ordinary causes do not count as drift. Without this, the loads of other routers would keep all workers at the
        // shortest poll interval permanently.
        if causes.clone().any(|cause| !cause.is_ordinary()) {
            PollResult::Drifted
        } else if causes.next().is_some() || self.state.doubt() > 0 {
            PollResult::Changed
        } else {
            PollResult::Clean
        }
    }

    /// Corrects the records of functions that are recorded as warm but not loaded.
    fn compare_missing(&mut self, consistency: &Consistency, truncated: bool) {
        let (missing, all) = self.missing(consistency, truncated);
        for function in missing {
            // A new incarnation explains the difference, so it needs no confirmation by a second report.
            if !self.is_new_incarnation() && !self.is_credible(&function, DriftKind::Phantom) {
                continue;
            }
            self.correct_missing(&function, all);
        }
    }

    /// The functions that are recorded as warm but missing from the report, and whether they are more than one and all
    /// that were recorded as warm.
    fn missing(&mut self, consistency: &Consistency, truncated: bool) -> (Vec<Arc<str>>, bool) {
        let now = self.context.now;
        let mut missing: Vec<Arc<str>> = Vec::new();
        let mut all = true;
        for (function, record) in self.state.recorded_warm(now) {
            let entry = consistency.entries.get(&**function);
            if entry.is_some_and(|e| e.copies > 0) {
                all = false;
            } else if consistency.contradictory.contains(&&**function)
                || truncated && entry.is_none()
            {
                // The report says nothing about this function.
            } else if record.is_loading(now) || entry.is_some_and(|e| e.loading) {
                self.context.counts.left_under_load += 1;
            } else if !record.is_older_than(self.began) {
                self.context.counts.left_belief_newer += 1;
            } else {
                missing.push(function.clone());
            }
        }
        all &= missing.len() > 1;
        (missing, all)
    }

    /// Corrects the record of a missing function, and queues a load if the function is under load.
    fn correct_missing(&mut self, function: &Arc<str>, all_missing: bool) {
        let (now, lifetime) = (self.context.now, self.context.settings.record_lifetime);
        let Some(record) = self.state.record_mut(function) else {
            return;
        };
        let sessions: Vec<Arc<str>> = record.sessions().map(|(id, _)| id.clone()).collect();
        let ordered_unused = record.is_ordered_unused();
        record.correct(now, self.began, lifetime, 0);
        let uses = record.uses_at(now, lifetime);
        self.push_correction(function, 0);
        self.context.counts.corrected += 1;
        self.release_sessions(function, sessions);
        if !self.is_new_incarnation() {
            let cause = match (all_missing, ordered_unused) {
                (true, _) => DriftCause::Flushed,
                (_, true) => DriftCause::LostLoad,
                _ => DriftCause::Evicted,
            };
            self.report_drift(Some(function), DriftKind::Phantom, cause);
        }
        if self.may_repair && uses >= MIN_USES_UNDER_LOAD {
            self.queue_repair(function, RepairAction::Load, uses);
        }
    }

    /// Compares the record of a function with a reported entry that has copies.
    fn compare_present(&mut self, entry: &FunctionReport) {
        let now = self.context.now;
        let unclaimed = self.context.ownership.unclaimed_reason(entry);
        let Some(record) = self.state.record(&entry.function) else {
            return;
        };
        if record.is_loading(now) || entry.loading {
            self.context.counts.left_under_load += 1;
            return;
        }
        if !record.is_older_than(self.began) {
            self.context.counts.left_belief_newer += 1;
            return;
        }
        let function = &entry.function;
        match self.present_outcome(entry, unclaimed.is_some()) {
            PresentOutcome::Miscounted => {
                if self.is_credible(function, DriftKind::Miscounted) {
                    self.correct_present(entry);
                    self.context.counts.corrected += 1;
                    self.report_drift(
                        Some(function),
                        DriftKind::Miscounted,
                        DriftCause::PartlyEvicted,
                    );
                }
            }
            PresentOutcome::Renew => {
                self.correct_present(entry);
                self.context.counts.renewed += 1;
            }
            PresentOutcome::Agrees => {
                if let Some(record) = self.state.record_mut(function) {
                    record.set_copy_count(entry.copies);
                }
            }
            PresentOutcome::Ignored => {}
            PresentOutcome::Unseen => {
                if self.is_credible(function, DriftKind::Unseen) {
                    self.correct_present(entry);
                    self.context.counts.corrected += 1;
                    self.report_drift(Some(function), DriftKind::Unseen, self.unseen_cause(entry));
                }
            }
        }
        self.compare_prefixes(entry);
        if self.may_repair {
            self.compare_claims(entry, unclaimed);
        }
    }

    /// How a reported entry that has copies compares with the record of its function.
    fn present_outcome(&self, entry: &FunctionReport, is_unclaimed: bool) -> PresentOutcome {
        let (now, lifetime) = (self.context.now, self.context.settings.record_lifetime);
        let longest = longest_interval(self.context.settings.poll_interval);
        let Some(record) = self.state.record(&entry.function) else {
            return PresentOutcome::Ignored;
        };
        // An idle copy that the worker will probably evict before it is polled again.
        let is_eviction_expected = entry.busy.unwrap_or(0) == 0
            && entry
                .idle
                .is_some_and(|idle| idle > (lifetime - longest).max(lifetime / 2));
        if record.is_warm(now) {
            if record.copies().is_some_and(|copies| copies != entry.copies) {
                PresentOutcome::Miscounted
            } else if record.remaining(now) < longest * 2 && !is_eviction_expected && !is_unclaimed
            {
                PresentOutcome::Renew
            } else {
                PresentOutcome::Agrees
            }
        } else if is_unclaimed || is_eviction_expected {
            // An unclaimed copy is to be unloaded, so it is not offered for use; a use would claim it.
            PresentOutcome::Ignored
        } else {
            PresentOutcome::Unseen
        }
    }

    /// The likely cause of a loaded copy that was not recorded as warm.
    fn unseen_cause(&self, entry: &FunctionReport) -> DriftCause {
        match &entry.ordered_by {
            Some(by) if self.context.ownership.is_own_name(by) => DriftCause::LostLoad,
            Some(_) => DriftCause::LoadedElsewhere,
            None => DriftCause::LoadedOnMiss,
        }
    }

    /// Sets the record, also in the balancer, to the reported number of copies.
    fn correct_present(&mut self, entry: &FunctionReport) {
        let (now, lifetime) = (self.context.now, self.context.settings.record_lifetime);
        if let Some(record) = self.state.record_mut(&entry.function) {
            record.correct(now, self.began, lifetime, entry.copies);
        }
        self.push_correction(&entry.function, entry.copies);
    }

    /// Releases sessions whose prefix is lost.
    fn compare_prefixes(&mut self, entry: &FunctionReport) {
        let (began, is_new_incarnation) = (self.began, self.is_new_incarnation());
        let Some(record) = self.state.record(&entry.function) else {
            return;
        };
        // If the worker does not report sessions, only a new incarnation proves that a prefix is lost.
        let is_cached = |id: &Arc<str>| match &entry.sessions {
            Some(cached) => cached.contains(id),
            None => !is_new_incarnation,
        };
        let lost: Vec<Arc<str>> = record
            .sessions()
            .filter(|(id, used)| *used < began && !is_cached(id))
            .map(|(id, _)| id.clone())
            .collect();
        if lost.is_empty() || !self.is_credible(&entry.function, DriftKind::PrefixLost) {
            return;
        }
        if let Some(record) = self.state.record_mut(&entry.function) {
            record.remove_sessions(&lost);
        }
        self.release_sessions(&entry.function, lost);
    }

    /// Reports an unclaimed copy, and queues its unload after the grace period. Without this, copies ordered by a
    /// router that died, or for an upgrade plan that ended, would occupy memory without ever being invoked.
    fn compare_claims(&mut self, entry: &FunctionReport, unclaimed: Option<UnclaimedReason>) {
        let (now, function) = (self.context.now, &entry.function);
        let settings = self.context.settings;
        // A use by any router is a claim: a copy is not unloaded while some router may still record it as warm.
        let idle_for = settings.grace_period.max(
            settings
                .record_lifetime
                .saturating_mul(MAX_RECORD_LIFETIMES),
        );
        let used = self
            .state
            .record(function)
            .is_some_and(|record| record.used_within(now, idle_for));
        let Some(reason) = unclaimed.filter(|_| !used && entry.busy.unwrap_or(0) == 0) else {
            self.state.clear_unclaimed(function);
            return;
        };
        if !self.is_credible(function, DriftKind::Orphan) {
            return;
        }
        let known = self.state.unclaimed_since(function, &reason);
        let since = known.unwrap_or(now);
        if known.is_none() {
            let (kind, cause) = match &reason {
                UnclaimedReason::OwnerGone(_) => (DriftKind::Orphan, DriftCause::RouterGone),
                UnclaimedReason::PlanEnded(_) => (DriftKind::Orphan, DriftCause::PlanEnded),
                UnclaimedReason::Retired => (DriftKind::OlderVersion, DriftCause::LostUnload),
            };
            self.state.set_unclaimed(now, function, reason);
            self.report_drift(Some(function), kind, cause);
        }
        // If the worker does not report the idle time, it is counted from when the copy was first found unclaimed.
        let idle = entry.idle.unwrap_or(now - since);
        if now - since >= settings.grace_period && idle >= idle_for {
            let term = entry.term.clone();
            self.queue_repair(function, RepairAction::Unload { term }, 0.0);
        }
    }

    /// Whether a difference may be accepted now; if not, it is counted as left because of doubt.
    fn is_credible(&mut self, function: &Arc<str>, kind: DriftKind) -> bool {
        let credible = self.state.is_credible(function, kind);
        self.context.counts.left_doubted += u64::from(!credible);
        credible
    }

    fn push_correction(&mut self, function: &Arc<str>, copies: u32) {
        self.context.out.push(Output::CorrectCopies {
            worker: self.worker.clone(),
            function: function.clone(),
            copies,
        });
    }

    fn release_sessions(&mut self, function: &Arc<str>, sessions: Vec<Arc<str>>) {
        if sessions.is_empty() {
            return;
        }
        self.context.counts.sessions_let_go += sessions.len() as u64;
        self.context.out.push(Output::PrefixLost {
            worker: self.worker.clone(),
            function: function.clone(),
            sessions,
        });
        self.report_drift(Some(function), DriftKind::PrefixLost, DriftCause::Evicted);
    }

    fn queue_repair(&mut self, function: &Arc<str>, action: RepairAction, urgency: f64) {
        let repair = Repair {
            worker: self.worker.clone(),
            function: function.clone(),
            action,
            began: self.began,
            urgency: (urgency.max(0.0) * 1e3) as u64,
        };
        let context = &mut self.context;
        if !context.repairs.push(context.now, context.random, repair) {
            context.counts.repairs_dropped += 1;
        }
    }

    fn report_drift(&mut self, function: Option<&Arc<str>>, kind: DriftKind, cause: DriftCause) {
        self.state.count_drift(kind);
        self.context.counts.count_drift(kind);
        self.context.out.push(Output::DriftFound(Drift {
            kind,
            cause,
            worker: self.worker.clone(),
            function: function.cloned(),
        }));
    }
}
