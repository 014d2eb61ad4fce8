//! An AMQP 0-9-1 client, free of I/O: the caller passes in received bytes and the time, and gets back bytes to send and
//! events. The crate uses no sockets, clocks or threads.
//!
//! * [`connection`]: one connection with one channel, as a responder (consumes a queue, and answers in transactions) or
//!   as a requester (publishes triggers, and consumes the answers); start reading here.
//! * [`frames`]: converts between bytes and frames, within the negotiated frame size.
//! * [`trigger`]: parses the properties and headers of a trigger message, and builds those of its answer.
//! * [`error`]: the error that ends a connection, with the reply codes of the specification.
//! * [`protocol_error`]: violations of the protocol by the broker.
//!
//! The frame codec is from the crate `amq-protocol`; the states follow the public specification of AMQP 0-9-1.

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
