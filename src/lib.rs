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
mod sources;

pub use balancer::Balancer;
pub use sources::{MODULE_SOURCES, ModuleSource};
