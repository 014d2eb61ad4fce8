//! Rolling upgrades of a model, region after region, while sessions under way stay where their prefix is warm. Free of
//! I/O: what is seen and the time go in, orders and steps to be agreed come out. Begin reading at
//! [`Planner::handle`] in `planner.rs`; why it is so is in docs/design/upgrade.md.
//!
//! * [`orders`]: what an operator wants, and which of it is refused.
//! * [`plan`]: the steps of one upgrade as a majority agrees on them, and where what begins goes by each.
//! * [`seen`]: workers and their copies, as far as they are known here, and what is under way there.
//! * [`health`]: the new version against the old one, paired by trigger type.
//! * [`sessions`]: which version a session is of, and where it is warm.
//! * `loads`: what was ordered and is not yet seen, and how much is loaded at once.
//! * `acting`: the next step, and what is loaded and unloaded by the last one.
//! * [`planner`]: who leads, how long it may act, what routers and operators ask.
//!
//! What it must never do: act on a step that no majority holds, take warm lanes of a region below its floor, or have a
//! copy unloaded that sessions use before the operator's limit.

mod acting;
pub mod health;
mod loads;
pub mod orders;
pub mod plan;
pub mod planner;
pub mod seen;
pub mod sessions;

use std::sync::Arc;

/// Of a model, a function, a worker or a region.
pub type Name = Arc<str>;

pub use health::Count;
pub use orders::{Asked, Order, Unfit};
pub use plan::{Ballot, GoesBy, Phase, Plan, Region, Stage, function, key, model_of};
pub use planner::{Claim, Input, Outcome, Output, Planner, Shown, ShownRegion, Terms, Way};
pub use seen::{Held, WorkerSeen};
