//! What the owner of a connection passes in, and what it gets back.

use amq_protocol::protocol::basic::AMQPProperties;

/// What the connection is used for.
#[derive(Clone, Debug)]
pub enum Role {
    /// Consumes a queue, acknowledges, and answers in transactions.
    Responder {
        /// The queue to consume.
        queue: String,
        /// How many deliveries may be unacknowledged at a time.
        prefetch: u16,
    },
    /// Publishes, and consumes the answers without acknowledging.
    Requester {
        /// The queue of the answers; it is declared when the channel opens.
        reply_queue: String,
    },
}

/// How to log in, and what to ask for.
#[derive(Clone, Debug)]
pub struct Login {
    /// The virtual host.
    pub virtual_host: String,
    /// Name of the user.
    pub user: String,
    /// The user's password.
    pub password: String,
    /// Heartbeat interval in seconds; the lower of both sides' counts. 0 leaves it to the broker.
    pub heartbeat_s: u16,
    /// The connection's name, for the broker's administrators.
    pub name: String,
    /// Bodies of more bytes are discarded; see [`Message::oversized`].
    pub max_body: u64,
}

/// A delivery.
#[derive(Clone, Debug, PartialEq)]
pub struct Message {
    /// The delivery tag: identifies the delivery on its channel.
    pub delivery_tag: u64,
    /// The broker may have delivered the message before.
    pub redelivered: bool,
    /// The routing key it was published with.
    pub routing_key: String,
    /// The standard properties and the headers.
    pub properties: AMQPProperties,
    /// The body; empty if it is oversized.
    pub body: Vec<u8>,
    /// The body exceeded the limit in [`Login`] and was discarded.
    pub oversized: bool,
}

/// What happened on a connection.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// The channel is open and consuming. Delivery tags of an earlier channel are void.
    Ready,
    /// A message was delivered.
    Delivered(Box<Message>),
    /// The answers to these deliveries are committed.
    Committed(Vec<u64>),
    /// The broker accepts no publishes (true), or does again (false).
    Blocked(bool),
    /// The broker closed the channel; all its deliveries are void.
    ChannelLost {
        /// A reply code of the specification.
        code: u16,
        /// The broker's reason.
        text: String,
    },
    /// The broker cancelled the consumer: it no longer delivers from the queue.
    Cancelled,
    /// The connection ended in good order.
    Closed {
        /// A reply code of the specification.
        code: u16,
        /// The reason.
        text: String,
    },
}
