//! What a router believes to be loaded at its workers, held against what the workers say, and repaired where the two
//! differ; free of I/O. Begin reading at [`Reconciler::handle`] in `reconcile.rs`, whose parts stand in
//! `reconcile/`.
//!
//! * [`observation`]: what a worker said at one moment, and whether it contradicts itself.
//! * [`belief`]: what this router believes of each worker and function, when that last changed, and what is loading.
//! * [`drift`]: the kinds of difference, told apart with their likely cause.
//! * [`asking`]: who asks which worker, how often, and within which budget.
//! * [`repair`]: what is to be ordered or unloaded, within a budget, the busiest first.
//!
//! It never decides where an invocation goes: it corrects what the module believes, and asks the module for loads.

pub mod asking;
pub mod belief;
pub mod drift;
pub mod observation;
pub mod reconcile;
pub mod repair;

pub use belief::Change;
pub use drift::{Cause, Drift, Kind};
pub use observation::{Entry, Observation};
pub use reconcile::{Claims, Counts, Input, Output, Reconciler, Seat, Shown, Terms};
