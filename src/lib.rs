//! cedarpulley decides which worker runs an invocation, before workers that keep only some of many
//! programs loaded.
//!
//! * [`balancer`]: all decisions, behind one entry point, [`Balancer::handle`].
//! * [`interface`]: the plain event, action and settings types that it speaks; no wire.
//! * [`ids`]: maps outside ids to the small indices used by both, for any caller.

#![warn(missing_docs)]

pub mod balancer;
pub mod ids;
pub mod interface;

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

/// All source files of the decision module, in a fixed order: a digest over their texts names the build behind a
/// recorded decision.
pub const MODULE_SOURCES: &[ModuleSource] = sources![
    "balancer/mod.rs",
    "balancer/account_quota.rs",
    "balancer/attempts.rs",
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
    "balancer/readiness.rs",
    "balancer/routing.rs",
    "balancer/slow_start.rs",
    "balancer/workers.rs",
    "interface.rs",
];
