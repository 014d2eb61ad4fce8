//! [`NodeMetrics`]: what `GET /-/metrics` reports, in the Prometheus text format.

use bytes::Bytes;
use cedarpulley::interface::Micros;

/// The metrics of a router at one time.
#[derive(Clone, Copy, Debug)]
pub(crate) struct NodeMetrics {
    /// Whether all new work is refused, as workers may drain unannounced and health checks are not allowed.
    pub refuses_new_work: bool,
    /// Number of requests refused for that reason since the start.
    pub drains_unknown: u64,
    /// Time since discovery's last response, or since the start if there was none, in microseconds.
    pub unheard: Micros,
}

impl NodeMetrics {
    /// The metrics in the Prometheus text format.
    pub fn encode(&self) -> Bytes {
        let unheard_seconds = self.unheard as f64 / 1e6;
        let refused = u8::from(self.refuses_new_work);
        let total = self.drains_unknown;
        let text = format!(
            "# TYPE cedarpulley_node_discovery_unheard_seconds gauge\n\
             cedarpulley_node_discovery_unheard_seconds {unheard_seconds}\n\
             # TYPE cedarpulley_node_new_work_refused gauge\n\
             cedarpulley_node_new_work_refused {refused}\n\
             # TYPE cedarpulley_node_drains_unknown_total counter\n\
             cedarpulley_node_drains_unknown_total {total}\n"
        );
        Bytes::from(text)
    }
}
