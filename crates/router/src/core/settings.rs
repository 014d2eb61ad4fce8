//! The settings of the router core.

use cedarpulley::interface::Micros;

use crate::replication::ReplicationSettings;

/// Settings of the core, apart from those that the balancer is created with. All times are in microseconds.
#[derive(Clone, Debug)]
pub struct CoreSettings {
    /// Time before the client timeout at which the final answer is due; the front needs this time to send it.
    pub answer_margin: Micros,
    /// Largest difference expected between a client's clock and this router's.
    pub clock_margin: Micros,
    /// Limit on the total size of the bodies of all open invocations, in bytes.
    pub memory_bytes: u64,
    /// Weight of each front relative to the others, by front index.
    pub front_weights: Vec<f64>,
    /// Share of each account, by account index; empty if all invocations belong to one account.
    pub account_shares: Vec<f64>,
    /// Time after which a load order without a result ends as timed out.
    pub order_timeout: Micros,
    /// Only the balancer decides: no shares between accounts are enforced, and retries do not join invocations by
    /// idempotency key. The limits on memory and on the number of functions still apply.
    pub balancer_only: bool,
    /// How long new dispatches may still be sent to a worker after it was reported as draining.
    pub drain_grace: Micros,
    /// Set if this router is a member of a group that shares its invocations.
    pub replication: Option<ReplicationSettings>,
}
