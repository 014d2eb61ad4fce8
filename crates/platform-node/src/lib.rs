//! One router on the users' platform as a process: sockets, signals and the configuration around the core in
//! `cedarpulley-router`. It decides nothing: what came in goes to the core, what the core puts out is carried out in
//! order; which connection carries what, and which is kept, `cedarpulley-platform` decides.
//!
//! Begin reading at [`run`] in `startup`; then [`node`] (the loop around the core), `client_connections`,
//! `worker_connections`, `discovery`, `signals` and `shutdown`.

mod client_connections;
mod discovery;
pub mod node;
mod shutdown;
mod signals;
mod startup;
mod worker_connections;

pub use startup::{StartError, run};
