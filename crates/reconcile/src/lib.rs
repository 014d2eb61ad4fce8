//! Reconciles the warm index (the copies that a router records as warm at its workers) with what the workers report,
//! and repairs differences, without I/O. Start reading at [`Reconciler::handle`] in `reconciler.rs`; its submodules are
//! in `reconciler/`.
//!
//! * [`observation`]: what a worker reported at one moment, and whether the report is consistent in itself.
//! * `copy_record`: what this router knows of one function at one worker, when that last changed, and what is loading.
//! * [`drift`]: the kinds of drift, each with its likely cause.
//! * [`polling`]: which member polls which worker, how often, and within which rate limit.
//! * `repair`: the rate-limited queue of loads and unloads; the busiest function is loaded first.
//!
//! This crate never decides where an invocation is sent: it corrects the records of the balancer and requests loads
//! from it.

#![warn(missing_docs)]

mod copy_record;
pub mod drift;
pub mod observation;
pub mod polling;
mod reconciler;
mod repair;

pub use copy_record::CopyChange;
pub use drift::{Drift, DriftCause, DriftKind};
pub use observation::{FunctionReport, Observation};
pub use reconciler::{
    Claims, Counts, Input, Output, PolledWorker, Reconciler, ReconcilerSettings, WorkerStatus,
};
