//! KServe v2 towards workers, free of I/O: the requests that are sent, and what each ending proves.
//!
//! * [`requests`]: infer, load, unload, ready and live, as HTTP requests.
//! * [`endings`]: every way in which a request can end, and whether it may have run; begin reading here.
//! * [`reports`]: what answers tell of the worker.

pub mod endings;
pub mod reports;
pub mod requests;

pub use endings::{Ended, Reading};
