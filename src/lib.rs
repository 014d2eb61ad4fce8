//! cedarpulley decides which worker runs an invocation, before workers that keep only some of many
//! programs loaded.
//!
//! * [`control`]: all decisions, behind one entry point, [`Balancer::handle`].
//! * [`interface`]: the plain event, action and start types that it speaks; no wire.
//! * [`ids`]: maps outside ids to the small indices used by both, for any front.

pub mod control;
pub mod ids;
pub mod interface;

pub use control::Balancer;
