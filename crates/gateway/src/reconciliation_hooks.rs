//! Functions that other components of the router set for the reconciliation to call.

use std::cell::RefCell;
use std::sync::Arc;

use cedarpulley_reconcile::Claims;

/// Returns the copies that upgrade plans claim of functions that a worker has just reported.
pub type ClaimsProvider = Box<dyn Fn(&[Arc<str>]) -> Claims>;
/// Returns whether an upgrade plan manages a function's copies.
pub type PlanCheck = Box<dyn Fn(&str) -> bool>;
/// Called when sessions have lost their prefix, with the worker, the function and the sessions.
pub type PrefixLossListener = Box<dyn Fn(&str, &str, &[Arc<str>])>;

/// The functions that other components have set; each may be absent.
#[derive(Default)]
pub(crate) struct ReconciliationHooks {
    claims_provider: RefCell<Option<ClaimsProvider>>,
    prefix_loss_listener: RefCell<Option<PrefixLossListener>>,
    plan_check: RefCell<Option<PlanCheck>>,
}

impl ReconciliationHooks {
    /// Sets the provider of the copies that upgrade plans claim.
    pub(crate) fn set_claims_provider(&self, provider: ClaimsProvider) {
        *self.claims_provider.borrow_mut() = Some(provider);
    }

    /// Sets the check for functions that an upgrade plan manages.
    pub(crate) fn set_plan_check(&self, check: PlanCheck) {
        *self.plan_check.borrow_mut() = Some(check);
    }

    /// Sets the listener for sessions whose prefix is lost.
    pub(crate) fn set_prefix_loss_listener(&self, listener: PrefixLossListener) {
        *self.prefix_loss_listener.borrow_mut() = Some(listener);
    }

    /// The copies that upgrade plans claim of these functions; absent without upgrades.
    pub(crate) fn claims_of(&self, functions: &[Arc<str>]) -> Option<Claims> {
        let provider = self.claims_provider.borrow();
        provider.as_ref().map(|claims_of| claims_of(functions))
    }

    /// Whether an upgrade plan manages this function's copies; false without upgrades.
    pub(crate) fn is_planned(&self, function: &str) -> bool {
        let plan_check = self.plan_check.borrow();
        plan_check.as_ref().is_some_and(|manages| manages(function))
    }

    /// Calls the listener for sessions whose prefix is lost.
    pub(crate) fn prefix_lost(&self, worker: &str, function: &str, sessions: &[Arc<str>]) {
        if let Some(listener) = &*self.prefix_loss_listener.borrow() {
            listener(worker, function, sessions);
        }
    }
}
