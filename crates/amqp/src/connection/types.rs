//! The public types of a connection: its role and login, messages and events.

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
    /// Publishes triggers, and consumes the answers without acknowledgements.
    Requester {
        /// The queue for the answers; it is declared when the channel opens.
        reply_queue: String,
    },
}

/// The login, and the limits that this client proposes or applies.
#[derive(Clone, Debug)]
pub struct Login {
    /// The virtual host.
    pub virtual_host: String,
    /// Name of the user.
    pub user: String,
    /// The user's password.
    pub password: String,
    /// Proposed heartbeat interval in seconds; the lower proposal of both sides applies. 0 leaves it to the broker.
    pub heartbeat_s: u16,
    /// The connection's name, as the broker shows it to its administrators.
    pub name: String,
    /// Size limit of a message body in bytes; larger bodies are discarded, see [`Message::oversized`].
    pub max_body: u64,
}

/// A message that the broker delivered.
#[derive(Clone, Debug, PartialEq)]
pub struct Message {
    /// The delivery tag: identifies the delivery on its channel.
    pub delivery_tag: u64,
    /// Whether the broker may have delivered the message before.
    pub redelivered: bool,
    /// The routing key that the message was published with.
    pub routing_key: String,
    /// The standard properties, including the headers.
    pub properties: AMQPProperties,
    /// The body; empty if it is oversized.
    pub body: Vec<u8>,
    /// Whether the body exceeded [`Login::max_body`] and was discarded.
    pub oversized: bool,
}

/// An event on a connection.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// The channel is open and consuming. Delivery tags of an earlier channel are no longer valid.
    Ready,
    /// A message was delivered.
    Delivered(Box<Message>),
    /// The body of a message that was delivered is longer than its header states, so that only its beginning is known.
    /// The connection fails after this event.
    Withdrawn {
        /// The tag of the delivery.
        delivery_tag: u64,
    },
    /// The answers to these deliveries are committed.
    Committed(Vec<u64>),
    /// The broker blocked the connection and accepts no messages (true), or unblocked it (false).
    Blocked(bool),
    /// The broker closed the channel; its delivery tags are no longer valid.
    ChannelLost {
        /// The reply code, as defined by the AMQP specification.
        code: u16,
        /// The broker's reason.
        text: String,
    },
    /// The broker cancelled the consumer: it no longer delivers from the queue.
    Cancelled,
    /// The connection was closed, by the broker or by this side.
    Closed {
        /// The reply code, as defined by the AMQP specification.
        code: u16,
        /// The reason.
        text: String,
    },
}
