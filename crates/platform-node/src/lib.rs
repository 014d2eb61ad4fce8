//! The router process on the users' platform (`cedarpulley node`): it adds sockets, signals and the configuration file
//! to the router core in `cedarpulley-router`. It contains no decision logic: it passes to the core what has arrived,
//! and executes the outputs of the core in order. `cedarpulley-platform` decides which connection carries an exchange,
//! and which connections stay open.
//!
//! Start reading at [`run`] in `startup`; then `node` (which connects the components) and `core_loop`,
//! `client_connections`, `worker_connections`, `discovery`, `signals` and `shutdown`.

#![warn(missing_docs)]

mod client_connections;
mod config_file;
mod core_loop;
mod discovery;
mod metrics;
mod node;
mod read_buffer;
mod refusal_log;
mod shutdown;
mod signals;
mod startup;
mod worker_connections;

pub use startup::{StartError, run};
