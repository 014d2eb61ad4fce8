//! AMQP 0-9-1, free of I/O: bytes and time go in, bytes and events come out. No socket, clock or thread here.
//!
//! * [`frames`]: bytes to frames and back, within the negotiated size.
//! * [`connection`]: one connection with one channel, as a consumer that answers (transactions) or as a client
//!   that calls; begin reading here.
//! * [`meaning`]: what a trigger message means.
//! * [`broken`]: what a broker may not do.
//!
//! The frame codec is `amq-protocol`'s; the states are from the public specification of AMQP 0-9-1.

pub mod broken;
pub mod connection;
pub mod frames;
pub mod meaning;

pub use amq_protocol::protocol;
pub use amq_protocol::types;
pub use broken::Broken;
pub use connection::{Connection, Event, Fault, Message, Role};
