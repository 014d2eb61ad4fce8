//! KServe v2, free of I/O: towards workers (the requests that are sent, and what each ending proves) and as a front.
//!
//! * [`requests`]: infer, load, unload, ready and live, as HTTP requests.
//! * [`endings`]: every way in which a request can end, and whether it may have run; begin reading here.
//! * [`reports`]: what answers tell of the worker.
//! * [`sequences`]: which session a request belongs to.
//! * [`index`]: what a worker says that it holds.
//! * [`serving`]: the other side: what a client of the front asks, and how it is answered.
//! * [`rpc`]: the same over gRPC; its messages are made from `proto/`.
//! * [`tensors`]: between a gRPC message and what workers speak.

pub mod endings;
pub mod index;
pub mod reports;
pub mod requests;
pub mod rpc;
pub mod sequences;
pub mod serving;
pub mod tensors;

pub use endings::{Ended, Reading};
