//! What the reconciliation learns from other parts of the router, and reports to them.

use std::cell::RefCell;
use std::sync::Arc;

use cedarpulley_reconcile::Claims;

/// What upgrade plans claim, of functions that a worker has just reported.
pub type ClaimsProvider = Box<dyn Fn(&[Arc<str>]) -> Claims>;
/// Whether an upgrade plan manages a function's copies.
pub type PlanCheck = Box<dyn Fn(&str) -> bool>;
/// Called for sessions whose prefix is lost, with worker, function and sessions.
pub type PrefixLossListener = Box<dyn Fn(&str, &str, &[Arc<str>])>;

/// The functions that other parts have set; each may be absent.
#[derive(Default)]
pub(crate) struct ReconciliationHooks {
    claims_provider: RefCell<Option<ClaimsProvider>>,
    prefix_loss_listener: RefCell<Option<PrefixLossListener>>,
    plan_check: RefCell<Option<PlanCheck>>,
}

impl ReconciliationHooks {
    pub(crate) fn set_claims_provider(&self, provider: ClaimsProvider) {
        *self.claims_provider.borrow_mut() = Some(provider);
    }

    pub(crate) fn set_plan_check(&self, check: PlanCheck) {
        *self.plan_check.borrow_mut() = Some(check);
    }

    pub(crate) fn set_prefix_loss_listener(&self, listener: PrefixLossListener) {
        *self.prefix_loss_listener.borrow_mut() = Some(listener);
    }

    /// What upgrade plans claim of these functions; absent without upgrades.
    pub(crate) fn claims_of(&self, functions: &[Arc<str>]) -> Option<Claims> {
        let provider = self.claims_provider.borrow();
        provider.as_ref().map(|claims_of| claims_of(functions))
    }

    /// Whether an upgrade plan manages this function's copies.
    pub(crate) fn is_planned(&self, function: &str) -> bool {
        let plan_check = self.plan_check.borrow();
        plan_check.as_ref().is_some_and(|manages| manages(function))
    }

    /// Reports sessions whose prefix is lost.
    pub(crate) fn prefix_lost(&self, worker: &str, function: &str, sessions: &[Arc<str>]) {
        if let Some(listener) = &*self.prefix_loss_listener.borrow() {
            listener(worker, function, sessions);
        }
    }
}
