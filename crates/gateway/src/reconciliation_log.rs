//! What the reconciliation logs: differences found, and for tests that corrupt a belief all that matters to them.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::sync::Arc;

use cedarpulley::interface::Micros;
use cedarpulley_reconcile::{DriftCause, DriftKind, Observation};
use serde_json::{Value, json};

/// The log of one router's reconciliation.
#[derive(Default)]
pub(crate) struct ReconciliationLog {
    /// Only once a test has corrupted a belief: since when each worker's last report holds; from then on all
    /// that matters is logged.
    logged_reports: RefCell<Option<BTreeMap<Arc<str>, Micros>>>,
}

impl ReconciliationLog {
    /// From now on all that matters to tests is logged.
    pub(crate) fn enable_details(&self) {
        self.logged_reports
            .borrow_mut()
            .get_or_insert_with(BTreeMap::new);
    }

    fn has_details(&self) -> bool {
        self.logged_reports.borrow().is_some()
    }

    /// A test has corrupted a belief.
    pub(crate) fn belief_corrupted(&self, now: Micros, worker: &str, function: &str, copies: u32) {
        tracing::info!(worker, function, copies, at = now, "meddled: spoilt");
    }

    /// The core's belief in copies has changed.
    pub(crate) fn belief_changed(&self, worker: &str, function: &str) {
        if self.has_details() {
            tracing::info!(worker, function, "meddled: changed");
        }
    }

    /// Logs reports just taken in, for tests that count rounds.
    pub(crate) fn reports<'a>(
        &self,
        reports: impl Iterator<Item = (&'a Arc<str>, Micros, &'a Observation)>,
    ) {
        let mut logged_reports = self.logged_reports.borrow_mut();
        let Some(logged) = &mut *logged_reports else {
            return;
        };
        for (worker, began, observation) in reports {
            if logged.insert(worker.clone(), began) == Some(began) {
                continue;
            }
            let entries = observation
                .entries
                .iter()
                .map(|e| json!([&*e.function, e.copies, e.loading]));
            let entries = Value::from_iter(entries);
            tracing::info!(worker = &**worker, at = began, said = %entries, "meddled: heard");
        }
    }

    /// A copy that nobody claims is unloaded.
    pub(crate) fn unloaded(&self, worker: &str, function: &str) {
        tracing::info!(worker, function, "reconcile: unloaded, as nobody claims it");
    }

    /// Differences that are part of normal operation are logged for debugging only.
    pub(crate) fn drift(
        &self,
        worker: &str,
        function: Option<&str>,
        kind: DriftKind,
        cause: DriftCause,
    ) {
        let is_expected = matches!(
            (kind, cause),
            (
                DriftKind::Unseen,
                DriftCause::LoadedElsewhere | DriftCause::LoadedOnMiss
            )
        );
        if is_expected && !self.has_details() {
            tracing::debug!(worker, function, ?kind, ?cause, "reconcile: drift");
        } else {
            tracing::info!(worker, function, ?kind, ?cause, "reconcile: drift");
        }
    }
}
