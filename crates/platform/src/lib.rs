//! The users' platform on the wire, free of I/O: bytes and times in, typed events and bytes out. No sockets,
//! clocks or threads; where a request goes is decided by the policy module.
//!
//! * [`config`]: what a router is told at its start.
//! * [`discovery`]: the events of the worker list, each once and in order.
//! * [`client_protocol`]: requests of clients and the answers to them.
//! * [`worker_protocol`]: the lines spoken with workers.
//! * [`attempt_outcome`]: what the end of an exchange with a worker proves.
//! * [`connection_pool`]: decides which connection to a worker carries what, and when one is given up.
//! * [`connection_limiter`]: decides which client connections are kept.
//! * [`resource_limits`]: decides how what the platform allows is divided.
//! * [`event_loop_lag`]: estimates how late the process reads what has arrived.
//! * [`graceful_shutdown`]: decides what a router that was told to stop still accepts, and when it exits.

#![warn(missing_docs)]

pub mod attempt_outcome;
pub mod client_protocol;
pub mod config;
pub mod connection_limiter;
pub mod connection_pool;
pub mod discovery;
pub mod event_loop_lag;
pub mod graceful_shutdown;
pub mod resource_limits;
pub mod worker_protocol;
