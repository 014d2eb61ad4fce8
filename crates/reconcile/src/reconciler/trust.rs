//! Which reports of a worker are accepted: those of its current incarnation, as far as they are not doubted.
//!
//! Mechanisms:
//! 1. A report of an earlier incarnation is void. The worker is accepted to be that incarnation again only when two
//!    successive reports say so.
//! 2. Doubt increases with each contradiction, up to a bound. While a worker is doubted, a difference is accepted when
//!    two successive reports show it.

use std::collections::BTreeMap;
use std::sync::Arc;

use crate::drift::DriftKind;

/// Levels of doubt: added by a contradiction, added by a refutation, and the largest one. Each consistent report lowers
/// the level by 1.
const CONTRADICTION_DOUBT: u8 = 2;
const REFUTATION_DOUBT: u8 = 1;
const MAX_DOUBT: u8 = 8;
/// Most earlier incarnations of a worker that are remembered.
const MAX_FORMER_INCARNATIONS: usize = 8;

/// The source of a report.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ReportSource {
    /// The answer to a poll of this router.
    OwnPoll,
    /// A note of another member.
    PeerNote,
}

/// The incarnation from which an accepted report originates.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ReportOrigin {
    /// The current one, the first one known of the worker, or one that the worker does not report.
    KnownIncarnation,
    /// A different one from the one before: the worker was restarted.
    NewIncarnation,
}

/// The doubt about the reports of a worker.
#[derive(Debug, Default)]
pub(super) struct Doubt {
    level: u8,
    /// Differences that were reported while the worker was doubted, and the number of the last report with each.
    unconfirmed: BTreeMap<(Arc<str>, DriftKind), u64>,
}

impl Doubt {
    /// The level of doubt; at 0 differences in reports are accepted at once.
    pub(super) fn level(&self) -> u8 {
        self.level
    }

    /// Records that a report contradicted itself or an earlier one.
    pub(super) fn on_contradiction(&mut self) {
        self.add(CONTRADICTION_DOUBT);
    }

    /// Records that an invocation refuted a report.
    pub(super) fn on_refuted(&mut self) {
        self.add(REFUTATION_DOUBT);
    }

    /// Whether a difference in the report with this number may be accepted now.
    pub(super) fn is_credible(
        &mut self,
        function: &Arc<str>,
        kind: DriftKind,
        report: u64,
    ) -> bool {
        if self.level == 0 {
            return true;
        }
        let before = self.unconfirmed.insert((function.clone(), kind), report);
        before.is_some_and(|earlier| earlier + 1 == report)
    }

    /// Records that the comparison of the report with this number is complete.
    pub(super) fn on_compared(&mut self, report: u64, was_consistent: bool) {
        self.unconfirmed.retain(|_, last| *last == report);
        if was_consistent {
            self.level = self.level.saturating_sub(1);
        }
    }

    fn add(&mut self, by: u8) {
        self.level = self.level.saturating_add(by).min(MAX_DOUBT);
    }
}

/// The current incarnation of a worker and its earlier ones.
#[derive(Debug, Default)]
pub(super) struct Incarnations {
    current: Option<u64>,
    former: Vec<u64>,
    /// An incarnation other than the current one that was reported once and awaits confirmation.
    unconfirmed: Option<u64>,
}

impl Incarnations {
    pub(super) fn current(&self) -> Option<u64> {
        self.current
    }

    /// Turns all incarnations into former ones, for a new process under the same name.
    pub(super) fn into_former(mut self) -> Incarnations {
        self.former.extend(self.current);
        Incarnations {
            former: self.former,
            ..Incarnations::default()
        }
    }

    /// Identifies the incarnation of a report; `None` if the report is void. Without this, after a restart at the same
    /// address, answers of the old process that are still in transit would be accepted.
    pub(super) fn identify(
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
            // An earlier report, or the endpoint list, implied that this incarnation had ended.
            doubt.on_contradiction();
        }
        // A change of incarnation must be reported twice if the worker is doubted or if it returns to an earlier one.
        if (is_former || doubt.level > 0) && unconfirmed != Some(incarnation) {
            self.unconfirmed = Some(incarnation);
            return None;
        }
        let before = self.current.replace(incarnation);
        self.former.retain(|former| *former != incarnation);
        self.former.extend(before);
        if self.former.len() > MAX_FORMER_INCARNATIONS {
            self.former.remove(0);
        }
        Some(if before.is_some() {
            ReportOrigin::NewIncarnation
        } else {
            ReportOrigin::KnownIncarnation
        })
    }
}
