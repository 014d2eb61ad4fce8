//! The protocols and decisions of a router on the users' platform, free of I/O: bytes and times in, typed events and
//! bytes out. No sockets, clocks or threads; where a request goes is decided by the policy module.
//!
//! Begin reading at [`client_protocol`] and [`worker_protocol`].
//!
//! * [`config`]: the configuration file.
//! * [`discovery`]: the watch events of the worker list, each applied once and in order.
//! * [`client_protocol`]: requests of clients and the responses to them.
//! * [`worker_protocol`]: the line protocol spoken with workers.
//! * [`attempt_outcome`]: what the end of an exchange with a worker proves.
//! * [`connection_pool`]: decides which connection to a worker carries what, and when one is closed.
//! * [`connection_limiter`]: decides which client connections stay open.
//! * [`resource_limits`]: decides how the descriptors and memory that the platform allows are divided.
//! * [`event_loop_lag`]: estimates how late the process reads bytes that have arrived.
//! * [`graceful_shutdown`]: decides what is still accepted after the signal to stop, and when the process exits.

#![warn(missing_docs)]

pub mod attempt_outcome;
mod chunked;
pub mod client_protocol;
pub mod config;
pub mod connection_limiter;
pub mod connection_pool;
pub mod discovery;
pub mod event_loop_lag;
pub mod graceful_shutdown;
pub mod resource_limits;
pub mod worker_protocol;
