//! Fuzz targets: one function for each parser of untrusted bytes. The parser must accept any input without a panic and
//! must not exceed its bounds. `tests/targets.rs` calls the targets with generated inputs; docs/design/plumbing.md
//! describes longer runs.
//!
//! * [`mod@kserve`]: KServe v2 requests of clients and responses of workers.
//! * [`mod@amqp`]: AMQP 0-9-1 frames of a broker.
//! * [`mod@platform`]: requests of the platform's clients, answers of its workers and responses of its command channel.
//! * [`mod@http_framing`]: requests and responses of HTTP/1.1, as they are observed beside hyper.
//! * [`mod@trace`]: trace files.

#![warn(missing_docs)]

pub mod amqp;
pub mod http_framing;
pub mod kserve;
pub mod platform;
pub mod trace;
