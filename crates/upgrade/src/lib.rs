//! Rolling upgrades of a model, one region after another. Active sessions stay on the workers that have cached their
//! prefix.
//!
//! The crate does no I/O. Observations and the time go into [`Planner::handle`]; load and unload requests and steps for
//! a majority to agree on come out. Start reading at [`planner`]; the design and its reasons are in
//! docs/design/upgrade.md.
//!
//! | module | purpose |
//! | --- | --- |
//! | [`planner`] | the entry point of a router: passes events on, answers routing questions |
//! | [`events`], [`settings`], [`status`] | inputs and outputs; intervals and limits; the state shown to an operator |
//! | [`orders`] | the operator's orders, and why an order is rejected |
//! | [`plan`] | the replicated state of one upgrade, and the version to which it routes a request |
//! | `model_upgrade`, `leadership` | one model: its latest plan; which member leads, and for how long it may act |
//! | `cluster_state` | members and workers as this router observes them |
//! | [`observed_state`] | the copies of one worker, as last reported |
//! | `rollout` | what a leader does: the next step of the plan, and the copies that it loads, renews and unloads |
//! | [`version_comparison`] | the new version against the old one, paired by trigger type |
//! | [`sessions`] | the version to which a session is bound, and the worker that has cached its prefix |
//!
//! Three rules hold throughout: a member acts on a step only after a majority has accepted it; the planner never takes
//! the warm lanes of a region below its floor; no copy that sessions use is unloaded before the operator's drain limit.
#![warn(missing_docs)]

mod cluster_state;
pub mod events;
mod leadership;
mod model_upgrade;
pub mod observed_state;
pub mod orders;
pub mod plan;
pub mod planner;
mod rollout;
pub mod sessions;
pub mod settings;
pub mod status;
pub mod version_comparison;

use std::sync::Arc;

/// The name of a model, a version, a function, a worker or a region.
pub type Name = Arc<str>;

pub use events::{Input, Outcome, Output};
pub use observed_state::{FunctionCopies, ObservedWorker};
pub use orders::{Order, OrderError, OrderLine};
pub use plan::{
    Ballot, Phase, Plan, Region, RoutingRule, Stage, function_name, model_of_key, plan_key,
};
pub use planner::{Claim, Planner, RouteChoice};
pub use settings::PlannerSettings;
pub use status::{PlanStatus, RegionStatus};
pub use version_comparison::VersionCounters;
