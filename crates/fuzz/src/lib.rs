//! One function for each reader of bytes from outside: it must accept any input without a panic and keep to its
//! bounds. `tests/targets.rs` calls them with generated inputs; docs/design/plumbing.md describes longer runs.
//!
//! * [`mod@kserve`], clients and workers that speak KServe v2.
//! * [`mod@amqp`], brokers.
//! * [`mod@platform`], the platform's clients, workers and command channel.
//! * [`mod@trace`], trace files.

#![warn(missing_docs)]

pub mod amqp;
pub mod kserve;
pub mod platform;
pub mod trace;
