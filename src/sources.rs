//! The sources of the decision module, for a digest that names the build behind a recorded decision.

/// One source file.
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

/// All source files that decide, in a fixed order.
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
    "balancer/routing.rs",
    "balancer/slow_start.rs",
    "balancer/workers.rs",
    "interface.rs",
];
