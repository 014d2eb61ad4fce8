//! The state of the router, by concern. Each type owns its part behind a few methods; the event handlers in the parent
//! module pass events between them.

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
