//! The decision module of cedarpulley: decides which worker runs an invocation, where each worker keeps only some of
//! many functions or models loaded. It does no I/O.
//!
//! * [`balancer`]: all decisions, behind one entry point, [`Balancer::handle`].
//! * [`interface`]: the types of the balancer's events, actions and settings, independent of any wire format.
//! * [`table_size`]: the sizes of the module's tables, for the log.
//! * [`ids`]: maps external ids to the small indices that both of them use.

#![warn(missing_docs)]

pub mod balancer;
pub mod ids;
pub mod interface;
pub mod table_size;

pub use balancer::Balancer;

/// One source file of the decision module.
#[derive(Clone, Copy, Debug)]
pub struct ModuleSource {
    /// Its path below `src`.
    pub path: &'static str,
    /// Its text.
    pub text: &'static str,
}

macro_rules! sources {
    ($($path:literal),* $(,)?) => {
        &[$(ModuleSource { path: $path, text: include_str!($path) }),*]
    };
}

/// All source files of the decision module, in a fixed order. A digest over their texts identifies the build that made
/// a recorded decision.
pub const MODULE_SOURCES: &[ModuleSource] = sources![
    "balancer/mod.rs",
    "balancer/account_quota.rs",
    "balancer/attempts.rs",
    "balancer/copies.rs",
    "balancer/deduplication.rs",
    "balancer/eligibility.rs",
    "balancer/endpoints.rs",
    "balancer/estimates.rs",
    "balancer/feedback.rs",
    "balancer/functions.rs",
    "balancer/invocations.rs",
    "balancer/latencies.rs",
    "balancer/load_orders.rs",
    "balancer/load_shedding.rs",
    "balancer/outlier_detection.rs",
    "balancer/placement.rs",
    "balancer/queue.rs",
    "balancer/ranking.rs",
    "balancer/readiness.rs",
    "balancer/routing.rs",
    "balancer/slow_start.rs",
    "balancer/workers.rs",
    "interface.rs",
];
