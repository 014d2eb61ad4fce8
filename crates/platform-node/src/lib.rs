//! The router process on the users' platform (`cedarpulley node`): sockets, signals and the configuration file around
//! the core in `cedarpulley-router`. It decides nothing: what arrived goes to the core, and what the core puts out is
//! carried out in order. `cedarpulley-platform` decides which connection carries what, and which stays open.
//!
//! Begin reading at [`run`] in `startup`; then `node` (ties the parts together) and `core_loop`, `client_connections`,
//! `worker_connections`, `discovery`, `signals` and `shutdown`.

#![warn(missing_docs)]

mod client_connections;
mod config_file;
mod core_loop;
mod discovery;
mod node;
mod read_buffer;
mod shutdown;
mod signals;
mod startup;
mod worker_connections;

pub use startup::{StartError, run};
