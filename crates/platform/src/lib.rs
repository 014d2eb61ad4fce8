//! The users' platform on the wire, free of I/O: bytes and times in, typed events and bytes out. No sockets,
//! clocks or threads; no choice of where an invocation goes (that is the module's).
//!
//! * [`config`]: what a router is told at its start.
//! * [`channel`]: the command channel's events, each once and in order.
//! * [`clients`]: requests of clients and the answers to them.
//! * [`workers`]: the lines spoken with workers.
//! * [`endings`]: what the end of an exchange proves; the one table from a worker's word to an `Outcome`.
//! * [`berths`]: decides which connection to a worker carries what, and when one is given up.
//! * [`bounds`]: decides how what the platform allows is parted.
//! * [`doorkeeper`]: decides which clients' connections stay.
//! * [`stopping`]: decides what a router that was told to stop still takes, and when it leaves.

pub mod berths;
pub mod bounds;
pub mod channel;
pub mod clients;
pub mod config;
pub mod doorkeeper;
pub mod endings;
pub mod stopping;
pub mod workers;
