//! The types that hold the state of the router. Each type owns one part and exposes a few methods; the event handlers
//! in the parent module coordinate them.

pub(super) mod admission;
pub(super) mod attempt;
pub(super) mod functions;
pub(super) mod invocation;
pub(super) mod invocation_table;
pub(super) mod load_orders;
pub(super) mod observers;
pub(super) mod pending_replication;
pub(super) mod timers;
pub(super) mod workers;
