//! Constructors for the methods that this client sends, with fixed values for arguments that never vary.

use amq_protocol::protocol::basic::{self, AMQPMethod as Basic};
use amq_protocol::protocol::{AMQPClass, channel, connection, queue, tx};
use amq_protocol::types::{FieldTable, ShortString};

const CONSUMER_TAG: &str = "cedarpulley";

/// Converts text into AMQP's short string; empty if it is too long. All callers pass validated settings or text from
/// received short strings, which are short enough.
pub(super) fn short(text: &str) -> ShortString {
    ShortString::try_new(text).unwrap_or_default()
}

pub(super) fn open_channel() -> AMQPClass {
    AMQPClass::Channel(channel::AMQPMethod::Open(channel::Open {}))
}

pub(super) fn channel_close_ok() -> AMQPClass {
    AMQPClass::Channel(channel::AMQPMethod::CloseOk(channel::CloseOk {}))
}

pub(super) fn close_connection(code: u16, text: &str) -> AMQPClass {
    AMQPClass::Connection(connection::AMQPMethod::Close(connection::Close {
        reply_code: code,
        reply_text: short(text),
        class_id: 0,
        method_id: 0,
    }))
}

pub(super) fn connection_close_ok() -> AMQPClass {
    AMQPClass::Connection(connection::AMQPMethod::CloseOk(connection::CloseOk {}))
}

/// Makes the channel transactional.
pub(super) fn select() -> AMQPClass {
    AMQPClass::Tx(tx::AMQPMethod::Select(tx::Select {}))
}

pub(super) fn commit() -> AMQPClass {
    AMQPClass::Tx(tx::AMQPMethod::Commit(tx::Commit {}))
}

pub(super) fn qos(prefetch_count: u16) -> AMQPClass {
    AMQPClass::Basic(Basic::Qos(basic::Qos {
        prefetch_count,
        global: true,
    }))
}

pub(super) fn declare(queue: &str) -> AMQPClass {
    AMQPClass::Queue(queue::AMQPMethod::Declare(queue::Declare {
        queue: short(queue),
        passive: false,
        durable: false,
        exclusive: false,
        auto_delete: false,
        nowait: false,
        arguments: FieldTable::default(),
    }))
}

pub(super) fn consume(queue: &str, no_ack: bool) -> AMQPClass {
    AMQPClass::Basic(Basic::Consume(basic::Consume {
        queue: short(queue),
        consumer_tag: short(CONSUMER_TAG),
        no_local: false,
        no_ack,
        exclusive: false,
        nowait: false,
        arguments: FieldTable::default(),
    }))
}

pub(super) fn cancel() -> AMQPClass {
    AMQPClass::Basic(Basic::Cancel(basic::Cancel {
        consumer_tag: short(CONSUMER_TAG),
        nowait: false,
    }))
}

/// Publishes to the queue of this name through the default exchange.
pub(super) fn publish(queue: &str) -> Basic {
    Basic::Publish(basic::Publish {
        exchange: short(""),
        routing_key: short(queue),
        mandatory: false,
        immediate: false,
    })
}

pub(super) fn acknowledge(delivery_tag: u64) -> AMQPClass {
    AMQPClass::Basic(Basic::Ack(basic::Ack {
        delivery_tag,
        multiple: false,
    }))
}

pub(super) fn reject(delivery_tag: u64) -> AMQPClass {
    AMQPClass::Basic(Basic::Reject(basic::Reject {
        delivery_tag,
        requeue: false,
    }))
}
