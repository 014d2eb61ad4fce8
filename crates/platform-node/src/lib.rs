//! One router on the users' platform as a process: sockets, signals and the configuration around the core in
//! `cedarpulley-router`. It decides nothing: what came in goes to the core, what the core puts out is carried
//! out in order; which connection carries what, and which stays, `cedarpulley-platform` decides.
//!
//! Begin reading at [`run`]; then [`node`] (the loop around the core), `front` (clients), `links` (workers),
//! `channel` (the command channel).

mod channel;
mod front;
mod links;
pub mod node;

pub use node::{Unstarted, run};
