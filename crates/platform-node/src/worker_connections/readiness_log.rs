//! [`ReadinessLog`]: logs when a worker fails its health checks, and when it passes them again.

use std::cell::RefCell;
use std::collections::HashSet;

use cedarpulley::interface::DispatchOutcome;

/// The names of the workers whose last health check failed. It stays empty if no health checks are sent.
#[derive(Default)]
pub(super) struct ReadinessLog {
    not_ready: RefCell<HashSet<String>>,
}

impl ReadinessLog {
    /// Records the result of a health check. A line is logged only when the readiness of the worker changes.
    pub fn check_ended(&self, worker: String, outcome: DispatchOutcome) {
        let mut not_ready = self.not_ready.borrow_mut();
        match outcome {
            DispatchOutcome::NotSent => {}
            DispatchOutcome::Succeeded => {
                if not_ready.remove(&worker) {
                    tracing::warn!(worker, "worker is ready again");
                }
            }
            _ => {
                if !not_ready.contains(&worker) {
                    tracing::warn!(worker, ?outcome, "worker is not ready");
                    not_ready.insert(worker);
                }
            }
        }
    }

    /// Clears the failed health checks. Called when the endpoint list is up to date: the list then determines which
    /// workers receive new work.
    pub fn clear(&self) {
        self.not_ready.borrow_mut().clear();
    }
}
