//! AMQP 0-9-1, free of I/O: bytes and time go in, bytes and events come out. No socket, clock or thread here.
//!
//! * [`connection`]: one connection with one channel, as a responder (consumes, and answers in transactions) or as a
//!   requester (publishes, and consumes the answers); begin reading here.
//! * [`frames`]: bytes to frames and back, within the negotiated size.
//! * [`trigger`]: what the properties and headers of a trigger message mean, and those of its answer.
//! * [`error`]: why a connection ends, with the reply codes of the specification.
//! * [`protocol_error`]: what a broker may not do.
//!
//! The frame codec is `amq-protocol`'s; the states are from the public specification of AMQP 0-9-1.

#![warn(missing_docs)]

pub mod connection;
pub mod error;
pub mod frames;
pub mod protocol_error;
pub mod trigger;

pub use amq_protocol::protocol;
pub use amq_protocol::types;
pub use connection::{Connection, Event, Message, Role};
pub use error::ConnectionError;
pub use protocol_error::ProtocolError;
