//! Which reports of a worker count: those of its present incarnation, as far as they are not doubted.
//!
//! Mechanisms:
//! 1. A report of an earlier incarnation is void; that such a one is back counts once it was reported twice.
//! 2. Doubt grows with each contradiction, up to a bound; while it lasts, a difference counts once two reports
//!    in a row show it.

use std::collections::BTreeMap;
use std::sync::Arc;

use crate::drift::DriftKind;

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
pub(super) struct Doubt {
    level: u8,
    /// Differences that were reported while it was doubted, and in which report.
    unconfirmed: BTreeMap<(Arc<str>, DriftKind), u64>,
}

impl Doubt {
    /// 0: reports are believed at once.
    pub(super) fn level(&self) -> u8 {
        self.level
    }

    /// A report contradicted itself, or an earlier one.
    pub(super) fn on_contradiction(&mut self) {
        self.add(CONTRADICTION_DOUBT);
    }

    /// An invocation refuted a report.
    pub(super) fn on_refuted(&mut self) {
        self.add(REFUTATION_DOUBT);
    }

    /// True if a difference in the report of this number may be believed now.
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

    /// The report of this number was compared to the end.
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

/// The process of a worker, and those before it.
#[derive(Debug, Default)]
pub(super) struct Incarnations {
    current: Option<u64>,
    former: Vec<u64>,
    /// Another than the current one, reported once.
    unconfirmed: Option<u64>,
}

impl Incarnations {
    pub(super) fn current(&self) -> Option<u64> {
        self.current
    }

    /// All of them as former ones, for another process behind the same name.
    pub(super) fn into_former(mut self) -> Incarnations {
        self.former.extend(self.current);
        Incarnations {
            former: self.former,
            ..Incarnations::default()
        }
    }

    /// None if the report is void.
    /// Symptom: a worker was restarted at the same address, and answers of its old process are still under way.
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
            // It was over, or so it was reported.
            doubt.on_contradiction();
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
