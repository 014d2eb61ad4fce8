//! Reconciles the warm index (what a router believes to be loaded at its workers) with what the workers report, and
//! repairs what differs; free of I/O. Begin reading at [`Reconciler::handle`] in `reconciler.rs`, whose parts are in
//! `reconciler/`.
//!
//! * [`observation`]: what a worker reported at one moment, and whether it is consistent with itself.
//! * `belief`: what this router believes of one function at one worker, when that last changed, and what is loading.
//! * [`drift`]: the kinds of difference, told apart with their likely cause.
//! * [`polling`]: which member polls which worker, how often, and within which rate limit.
//! * `repair`: the queue of loads and unloads, within a rate, the busiest first.
//!
//! It never decides where an invocation goes: it corrects what the balancer believes, and asks it for loads.

#![warn(missing_docs)]

mod belief;
pub mod drift;
pub mod observation;
pub mod polling;
mod reconciler;
mod repair;

pub use belief::Change;
pub use drift::{Drift, DriftCause, DriftKind};
pub use observation::{FunctionReport, Observation};
pub use reconciler::{
    Claims, Counts, Input, Output, PolledWorker, Reconciler, ReconcilerSettings, WorkerStatus,
};
