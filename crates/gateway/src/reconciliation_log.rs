//! The log lines of the reconciliation: the drifts that it finds and, for tests that corrupt the recorded copies, the
//! details that show when a corruption is corrected.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::sync::Arc;

use cedarpulley::interface::Micros;
use cedarpulley_reconcile::{DriftCause, DriftKind, Observation};
use serde_json::{Value, json};

/// The log of one router's reconciliation.
#[derive(Default)]
pub(crate) struct ReconciliationLog {
    /// Present once a test has corrupted the recorded copies, after which details are logged: by worker, when the query
    /// for the last logged report began, in microseconds.
    logged_reports: RefCell<Option<BTreeMap<Arc<str>, Micros>>>,
}

impl ReconciliationLog {
    /// Enables the details for tests.
    pub(crate) fn enable_details(&self) {
        self.logged_reports
            .borrow_mut()
            .get_or_insert_with(BTreeMap::new);
    }

    /// Whether details are logged.
    fn has_details(&self) -> bool {
        self.logged_reports.borrow().is_some()
    }

    /// Logs that a test has corrupted the recorded copies of a function at a worker.
    pub(crate) fn recorded_copies_corrupted(
        &self,
        now: Micros,
        worker: &str,
        function: &str,
        copies: u32,
    ) {
        tracing::info!(worker, function, copies, at = now, "meddled: spoilt");
    }

    /// Logs a change of the recorded copies, if details are enabled.
    pub(crate) fn recorded_copies_changed(&self, worker: &str, function: &str) {
        if self.has_details() {
            tracing::info!(worker, function, "meddled: changed");
        }
    }

    /// Logs each report that was not logged before, if details are enabled; tests count rounds of reports.
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
                .map(|entry| json!([&*entry.function, entry.copies, entry.loading]));
            let entries = Value::from_iter(entries);
            tracing::info!(worker = &**worker, at = began, said = %entries, "meddled: heard");
        }
    }

    /// Logs that the orphaned copies of a function are unloaded.
    pub(crate) fn unloaded(&self, worker: &str, function: &str) {
        tracing::info!(worker, function, "reconcile: orphaned copies unloaded");
    }

    /// Logs a drift. A drift that occurs in normal operation is logged at debug level unless details are enabled.
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
