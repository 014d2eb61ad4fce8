//! The settings of the core.

use cedarpulley::interface::Micros;

use crate::replication::ReplicationSettings;

/// Settings of the core beside those that the decision module is created with.
#[derive(Clone, Debug)]
pub struct CoreSettings {
    /// The final answer is due this long before the client's timeout: the front needs that time to send it.
    pub answer_margin: Micros,
    /// Largest difference expected between a client's clock and this router's.
    pub clock_margin: Micros,
    /// Limit for the bodies of all invocations that are open, in bytes.
    pub memory_bytes: u64,
    /// Weight of each front relative to the others, by front index.
    pub front_weights: Vec<f64>,
    /// Share of each account, by account index; empty if all invocations belong to one account.
    pub account_shares: Vec<f64>,
    /// An order without a result after this time ends as timed out.
    pub order_timeout: Micros,
    /// Only the decision module decides: no shares between accounts and no joining by idempotency key. The bounds on
    /// memory and functions still apply.
    pub balancer_only: bool,
    /// How long new dispatches may still be sent to a worker after it was reported draining.
    pub drain_grace: Micros,
    /// Set if this router is a member of a group that shares its invocations.
    pub replication: Option<ReplicationSettings>,
}
