//! [`ReadinessLog`]: logs when a worker fails a health check, and when it passes one again.

use std::cell::RefCell;
use std::collections::HashSet;

use cedarpulley::interface::DispatchOutcome;

/// Names of the workers whose last health check failed; empty unless workers are checked.
#[derive(Default)]
pub(super) struct ReadinessLog {
    not_ready: RefCell<HashSet<String>>,
}

impl ReadinessLog {
    /// A health check ended. A worker is logged only when its state changes.
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

    /// The list of workers is up to date again, and says who takes new work.
    pub fn clear(&self) {
        self.not_ready.borrow_mut().clear();
    }
}
