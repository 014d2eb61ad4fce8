//! [`RefusalLog`]: logs when the router begins to refuse all new work because workers may have been told to drain, and
//! when it takes new work again.

use std::cell::Cell;

use cedarpulley::interface::Micros;

use crate::metrics::NodeMetrics;

/// The present refusal of all new work, if there is one.
#[derive(Default)]
pub(crate) struct RefusalLog {
    /// Whether refusals are logged. Before clients are accepted, nobody is refused.
    is_enabled: Cell<bool>,
    /// When the refusal was noticed; `None` while new work is accepted.
    began_at: Cell<Option<Micros>>,
    /// Number of requests that had been refused when the last refusal ended.
    refused_before: Cell<u64>,
}

impl RefusalLog {
    /// Begins to log refusals.
    pub fn enable(&self) {
        self.is_enabled.set(true);
    }

    /// Logs the beginning or the end of a refusal; called periodically.
    pub fn observe(&self, now: Micros, metrics: NodeMetrics) {
        match (self.began_at.get(), metrics.refuses_new_work) {
            (None, true) if self.is_enabled.get() => self.began(now, metrics),
            (Some(began_at), false) => self.ended(now - began_at, metrics),
            _ => {}
        }
    }

    fn began(&self, now: Micros, metrics: NodeMetrics) {
        self.began_at.set(Some(now));
        tracing::warn!(
            unheard_ms = metrics.unheard / 1_000,
            remedy = "restore discovery; do not restart routers",
            "new work is refused: workers may drain unannounced, and health checks are not permitted"
        );
    }

    fn ended(&self, duration: Micros, metrics: NodeMetrics) {
        self.began_at.set(None);
        let refused_before = self.refused_before.replace(metrics.drains_unknown);
        tracing::warn!(
            refused = metrics.drains_unknown - refused_before,
            refused_ms = duration / 1_000,
            "new work is accepted again"
        );
    }
}
