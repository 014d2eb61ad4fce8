//! One report compared with what is believed: [`Comparison::run`] corrects each belief that the report refutes, queues
//! repairs, and tells what the poll led to.
//!
//! Mechanisms:
//! 1. What is loading, as this router or the worker knows it, is left alone, and so is a belief that changed after
//!    the report began.
//! 2. What a doubted worker reports is believed once two reports in a row show it.
//! 3. What is there and believed is renewed before the belief ends, unless nobody claims it or it is about
//!    to leave.
//! 4. A session whose prefix is lost is released: it loses nothing by going elsewhere.
//! 5. Belief is corrected by each router for itself; repairs are left to the one that is first, by its own poll.
//! 6. A copy that nobody claims is found once, and unloaded after a grace period, in which an owner may come back.
//!    It is unloaded only after it has been idle for longer than any router may believe in it: so an unload leaves
//!    no router with a wrong belief.

use std::sync::Arc;

use cedarpulley::interface::Micros;

use super::ownership::{Ownership, UnclaimedReason};
use super::trust::ReportOrigin;
use super::worker_state::WorkerState;
use super::worker_table::BeliefBudget;
use super::{Counts, Output, ReconcilerSettings};
use crate::drift::{Drift, DriftCause, DriftKind};
use crate::observation::{Consistency, FunctionReport, Observation};
use crate::polling::{PollResult, SeededRandom, longest_interval};
use crate::repair::{Repair, RepairAction, RepairQueue};

/// A function is under load while its uses, halved with each lifetime of a belief, are at least this.
const UNDER_LOAD: f64 = 1.0;
/// For so many times the lifetime of a belief after a use, some router may believe in the copy: its last renewal by a
/// report may have come when it had been idle for almost that long.
const BELIEVED_FOR: Micros = 2;

/// What of the reconciler takes part in a comparison.
pub(super) struct ComparisonContext<'a> {
    pub(super) now: Micros,
    pub(super) settings: &'a ReconcilerSettings,
    pub(super) ownership: &'a Ownership,
    pub(super) budget: &'a mut BeliefBudget,
    pub(super) repairs: &'a mut RepairQueue,
    pub(super) random: &'a mut SeededRandom,
    pub(super) counts: &'a mut Counts,
    pub(super) out: &'a mut Vec<Output>,
}

/// One report about one worker.
pub(super) struct Comparison<'a> {
    pub(super) context: ComparisonContext<'a>,
    pub(super) worker: &'a Arc<str>,
    pub(super) state: &'a mut WorkerState,
    pub(super) began: Micros,
    pub(super) origin: ReportOrigin,
    /// The report is the answer to a poll of this router, which is first for the worker.
    pub(super) may_repair: bool,
}

/// What a report of copies that are there means for the belief.
enum PresentOutcome {
    /// Another number is believed.
    Miscounted,
    /// The belief is about to end.
    Renew,
    /// The belief is right, and its number of copies is noted.
    Agrees,
    /// Not believed, and left so: it is to be unloaded, or about to leave.
    Ignored,
    /// Not believed.
    Unseen,
}

impl Comparison<'_> {
    pub(super) fn run(mut self, observation: &Observation) -> PollResult {
        let first_output = self.context.out.len();
        let state = &*self.state;
        let copy_mb = |function: &str| state.belief(function).map_or(0.0, |b| b.copy_mb());
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
        self.compare_absent(&consistency, observation.truncated);
        for entry in consistency.entries.values().filter(|e| e.copies > 0) {
            let function = entry.function.clone();
            if self.state.follow(function, self.context.budget) {
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
        let lifetime = self.context.settings.belief_lifetime;
        self.state
            .forget_idle(self.context.now, lifetime, self.context.budget);
        self.state.on_compared(consistency.contradictions == 0);
        self.result(first_output)
    }

    fn is_new_incarnation(&self) -> bool {
        self.origin == ReportOrigin::NewIncarnation
    }

    fn result(&self, first_output: usize) -> PollResult {
        let mut causes =
            self.context.out[first_output..]
                .iter()
                .filter_map(|output| match output {
                    Output::DriftFound(drift) => Some(drift.cause),
                    _ => None,
                });
        // Symptom: what other routers load is news all day, and all workers are polled at the shortest interval for ever.
        if causes.clone().any(|cause| !cause.is_ordinary()) {
            PollResult::Drifted
        } else if causes.next().is_some() || self.state.doubt() > 0 {
            PollResult::Changed
        } else {
            PollResult::Clean
        }
    }

    /// Corrects what is believed and is not among what is there.
    fn compare_absent(&mut self, consistency: &Consistency, cut: bool) {
        let (missing, all) = self.missing(consistency, cut);
        for function in missing {
            // That the incarnation is another one was found before, and is no reason for doubt.
            if !self.is_new_incarnation() && !self.is_credible(&function, DriftKind::Phantom) {
                continue;
            }
            self.correct_absent(&function, all);
        }
    }

    /// The functions that are believed and missing, and whether they are several and all that was believed.
    fn missing(&mut self, consistency: &Consistency, cut: bool) -> (Vec<Arc<str>>, bool) {
        let now = self.context.now;
        let mut missing: Vec<Arc<str>> = Vec::new();
        let mut all = true;
        for (function, belief) in self.state.believed(now) {
            let entry = consistency.entries.get(&**function);
            if entry.is_some_and(|e| e.copies > 0) {
                all = false;
            } else if consistency.unclear.contains(&&**function) || cut && entry.is_none() {
                // Nothing is known of it.
            } else if belief.is_loading(now) || entry.is_some_and(|e| e.loading) {
                self.context.counts.left_under_load += 1;
            } else if !belief.is_older_than(self.began) {
                self.context.counts.left_belief_newer += 1;
            } else {
                missing.push(function.clone());
            }
        }
        all &= missing.len() > 1;
        (missing, all)
    }

    fn correct_absent(&mut self, function: &Arc<str>, all_missing: bool) {
        let (now, lifetime) = (self.context.now, self.context.settings.belief_lifetime);
        let Some(belief) = self.state.belief_mut(function) else {
            return;
        };
        let sessions: Vec<Arc<str>> = belief.sessions().map(|(id, _)| id.clone()).collect();
        let ordered_unused = belief.is_ordered_unused();
        belief.correct(now, self.began, lifetime, 0);
        let uses = belief.uses_at(now, lifetime);
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
        if self.may_repair && uses >= UNDER_LOAD {
            self.queue_repair(function, RepairAction::Load, uses);
        }
    }

    /// Compares what the worker reports to be there.
    fn compare_present(&mut self, entry: &FunctionReport) {
        let now = self.context.now;
        let unclaimed = self.context.ownership.unclaimed_reason(entry);
        let Some(belief) = self.state.belief(&entry.function) else {
            return;
        };
        if belief.is_loading(now) || entry.loading {
            self.context.counts.left_under_load += 1;
            return;
        }
        if !belief.is_older_than(self.began) {
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
                if let Some(belief) = self.state.belief_mut(function) {
                    belief.note_copies(entry.copies);
                }
            }
            PresentOutcome::Ignored => {}
            PresentOutcome::Unseen => {
                if self.is_credible(function, DriftKind::Unseen) {
                    self.correct_present(entry);
                    self.context.counts.corrected += 1;
                    self.report_drift(Some(function), DriftKind::Unseen, self.load_cause(entry));
                }
            }
        }
        self.compare_prefixes(entry);
        if self.may_repair {
            self.compare_claims(entry, unclaimed);
        }
    }

    fn present_outcome(&self, entry: &FunctionReport, is_unclaimed: bool) -> PresentOutcome {
        let (now, lifetime) = (self.context.now, self.context.settings.belief_lifetime);
        let longest = longest_interval(self.context.settings.poll_interval);
        let Some(belief) = self.state.belief(&entry.function) else {
            return PresentOutcome::Ignored;
        };
        // It will have left by itself before the worker is polled again.
        let is_leaving = entry.busy.unwrap_or(0) == 0
            && entry
                .idle
                .is_some_and(|idle| idle > (lifetime - longest).max(lifetime / 2));
        if belief.is_believed(now) {
            if belief.copies().is_some_and(|copies| copies != entry.copies) {
                PresentOutcome::Miscounted
            } else if belief.remaining(now) < longest * 2 && !is_leaving && !is_unclaimed {
                PresentOutcome::Renew
            } else {
                PresentOutcome::Agrees
            }
        } else if is_unclaimed || is_leaving {
            // What is to be unloaded is not for use; whoever uses it claims it.
            PresentOutcome::Ignored
        } else {
            PresentOutcome::Unseen
        }
    }

    fn load_cause(&self, entry: &FunctionReport) -> DriftCause {
        match &entry.ordered_by {
            Some(by) if self.context.ownership.is_me(by) => DriftCause::LostLoad,
            Some(_) => DriftCause::LoadedElsewhere,
            None => DriftCause::LoadedOnMiss,
        }
    }

    fn correct_present(&mut self, entry: &FunctionReport) {
        let (now, lifetime) = (self.context.now, self.context.settings.belief_lifetime);
        if let Some(belief) = self.state.belief_mut(&entry.function) {
            belief.correct(now, self.began, lifetime, entry.copies);
        }
        self.push_correction(&entry.function, entry.copies);
    }

    /// Releases sessions whose prefix is lost.
    fn compare_prefixes(&mut self, entry: &FunctionReport) {
        let (began, is_new_incarnation) = (self.began, self.is_new_incarnation());
        let Some(belief) = self.state.belief(&entry.function) else {
            return;
        };
        // Of a worker that reports nothing of sessions it is known only that a new incarnation has none.
        let is_cached = |id: &Arc<str>| match &entry.sessions {
            Some(cached) => cached.contains(id),
            None => !is_new_incarnation,
        };
        let lost: Vec<Arc<str>> = belief
            .sessions()
            .filter(|(id, used)| *used < began && !is_cached(id))
            .map(|(id, _)| id.clone())
            .collect();
        if lost.is_empty() || !self.is_credible(&entry.function, DriftKind::PrefixLost) {
            return;
        }
        if let Some(belief) = self.state.belief_mut(&entry.function) {
            belief.forget_sessions(&lost);
        }
        self.release_sessions(&entry.function, lost);
    }

    /// Finds a copy that nobody claims, and queues its unload after the grace period.
    /// Symptom: a router died, or a plan ended, with copies ordered; they fill memory, and nobody ever invokes them.
    fn compare_claims(&mut self, entry: &FunctionReport, unclaimed: Option<UnclaimedReason>) {
        let (now, function) = (self.context.now, &entry.function);
        let settings = self.context.settings;
        // A use is a claim, whoever's: so long as any router may still believe in the copy, it is not touched.
        let idle_for = settings
            .grace_period
            .max(settings.belief_lifetime.saturating_mul(BELIEVED_FOR));
        let used = self
            .state
            .belief(function)
            .is_some_and(|belief| belief.used_within(now, idle_for));
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
        // Where the worker does not tell for how long it was idle, it counts from when it was first seen so.
        let idle = entry.idle.unwrap_or(now - since);
        if now - since >= settings.grace_period && idle >= idle_for {
            let term = entry.term.clone();
            self.queue_repair(function, RepairAction::Unload { term }, 0.0);
        }
    }

    /// Whether a difference may be believed now; if not, that is counted.
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
