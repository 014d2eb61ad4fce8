//! Queues, connections and deliveries of the broker.

use std::collections::{BTreeMap, HashMap, VecDeque};
use std::sync::Arc;

use cedarpulley_amqp::frames::{write, write_message, write_method};
use cedarpulley_amqp::protocol::basic::{self, AMQPProperties};
use cedarpulley_amqp::protocol::{AMQPClass, channel, tx};
use cedarpulley_amqp::trigger;
use cedarpulley_amqp::types::ShortString;
use serde_json::json;

use super::protocol::{CHANNEL_ID, FRAME_MAX};
use super::{DEAD_LETTER_QUEUE, short_string};
use crate::{Log, unix_time_us};

pub(super) type ConnectionId = u64;
type DeliveryTag = u64;

/// A message in a queue, or delivered and not yet acknowledged.
pub(super) struct Message {
    /// Ids increase in the order in which messages are published.
    id: u64,
    properties: AMQPProperties,
    body: Arc<Vec<u8>>,
    redelivered: bool,
    queue: String,
    /// Unix time in microseconds; absent if the message does not expire.
    expires_us: Option<i64>,
}

/// A message that a client publishes.
pub(super) struct Publication {
    pub(super) queue: String,
    pub(super) properties: AMQPProperties,
    pub(super) body: Vec<u8>,
}

/// A publication whose frames have not all been received yet.
pub(super) struct PartialPublication {
    pub(super) queue: String,
    /// Size of the body in bytes, and the properties.
    pub(super) header: Option<(u64, AMQPProperties)>,
    pub(super) body: Vec<u8>,
}

impl PartialPublication {
    pub(super) fn is_complete(&self) -> bool {
        self.header
            .as_ref()
            .is_some_and(|(size, _)| self.body.len() as u64 >= *size)
    }
}

/// An operation of a transactional channel that takes effect with the commit.
pub(super) enum PendingOperation {
    Publish(Box<Publication>),
    Ack(DeliveryTag),
    Reject(DeliveryTag),
}

/// A consumer of a queue.
#[derive(Clone)]
pub(super) struct Consumer {
    /// The consumer does not acknowledge its deliveries.
    pub(super) no_ack: bool,
    pub(super) tag: ShortString,
}

/// The one channel of a connection.
#[derive(Default)]
pub(super) struct Channel {
    pub(super) open: bool,
    pub(super) transactional: bool,
    /// Largest number of unacknowledged deliveries; 0 means no limit.
    pub(super) prefetch: usize,
    pub(super) consumer: Option<Consumer>,
    pub(super) next_tag: DeliveryTag,
    pub(super) unacked: BTreeMap<DeliveryTag, Message>,
    pub(super) pending: Vec<PendingOperation>,
    pub(super) incoming: Option<PartialPublication>,
}

impl Channel {
    pub(super) fn acknowledges(&self) -> bool {
        self.consumer.as_ref().is_some_and(|c| !c.no_ack)
    }

    fn is_at_prefetch_limit(&self, consumer: &Consumer) -> bool {
        !consumer.no_ack && self.prefetch > 0 && self.unacked.len() >= self.prefetch
    }
}

/// A connection of a peer, without its socket.
pub(super) struct Connection {
    /// The peer's IP address.
    pub(super) from: String,
    /// Bytes that have not been written to the socket yet.
    output: Vec<u8>,
    wake: smol::channel::Sender<()>,
    /// The connection is closed once all output is written.
    pub(super) closing: bool,
    pub(super) channel: Channel,
}

impl Connection {
    pub(super) fn send_on_channel(&mut self, method: AMQPClass) {
        write_method(&mut self.output, CHANNEL_ID, method);
    }

    pub(super) fn send_on_connection(&mut self, method: AMQPClass) {
        write_method(&mut self.output, 0, method);
    }

    pub(super) fn send_heartbeat(&mut self) {
        write(&mut self.output, &cedarpulley_amqp::frames::heartbeat());
    }

    pub(super) fn send_bytes(&mut self, bytes: &[u8]) {
        self.output.extend_from_slice(bytes);
    }

    pub(super) fn close_channel(&mut self, close: channel::Close) {
        self.send_on_channel(AMQPClass::Channel(channel::AMQPMethod::Close(close)));
        self.channel.open = false;
    }

    /// Opens the channel with a new state; the state of an earlier channel is dropped.
    pub(super) fn open_channel(&mut self) {
        self.closing = false;
        self.channel = Channel {
            open: true,
            ..Channel::default()
        };
    }

    pub(super) fn take_output(&mut self) -> Vec<u8> {
        std::mem::take(&mut self.output)
    }

    /// Wakes the task that writes to the socket.
    pub(super) fn wake(&self) {
        let _ = self.wake.try_send(());
    }
}

#[derive(Default)]
struct Queue {
    ready: VecDeque<Message>,
    /// Connections that consume from the queue; the front one receives the next message.
    consumers: VecDeque<ConnectionId>,
}

/// Queues and connections of a broker.
pub(super) struct State {
    log: Log,
    queues: HashMap<String, Queue>,
    connections: HashMap<ConnectionId, Connection>,
    /// The last id assigned to a connection or message.
    last_id: u64,
}

fn text(field: &Option<ShortString>) -> String {
    field
        .as_ref()
        .map(|s| s.as_str().to_owned())
        .unwrap_or_default()
}

fn correlation_id(properties: &AMQPProperties) -> String {
    text(properties.correlation_id())
}

impl State {
    pub(super) fn new(log: Log) -> Self {
        State {
            log,
            queues: HashMap::new(),
            connections: HashMap::new(),
            last_id: 0,
        }
    }

    fn next_id(&mut self) -> u64 {
        self.last_id += 1;
        self.last_id
    }

    pub(super) fn connect(
        &mut self,
        from: String,
        wake: smol::channel::Sender<()>,
    ) -> ConnectionId {
        let id = self.next_id();
        let connection = Connection {
            from,
            output: Vec::new(),
            wake,
            closing: false,
            channel: Channel::default(),
        };
        self.connections.insert(id, connection);
        id
    }

    pub(super) fn connection(&mut self, id: ConnectionId) -> Option<&mut Connection> {
        self.connections.get_mut(&id)
    }

    pub(super) fn connections(&self) -> impl Iterator<Item = (ConnectionId, &Connection)> {
        self.connections.iter().map(|(id, c)| (*id, c))
    }

    pub(super) fn connections_mut(&mut self) -> impl Iterator<Item = &mut Connection> {
        self.connections.values_mut()
    }

    pub(super) fn declare(&mut self, queue: String) {
        self.queues.entry(queue).or_default();
    }

    pub(super) fn ready(&self, queue: &str) -> usize {
        self.queues.get(queue).map_or(0, |q| q.ready.len())
    }

    /// Returns false if the queue does not exist.
    pub(super) fn add_consumer(&mut self, queue: &str, id: ConnectionId) -> bool {
        let Some(queue) = self.queues.get_mut(queue) else {
            return false;
        };
        queue.consumers.push_back(id);
        true
    }

    pub(super) fn remove_consumer(&mut self, id: ConnectionId) {
        for queue in self.queues.values_mut() {
            queue.consumers.retain(|c| *c != id);
        }
    }

    /// Removes a connection; its unacknowledged messages are redelivered.
    pub(super) fn disconnect(&mut self, id: ConnectionId) {
        self.requeue_unacked(id);
        self.connections.remove(&id);
        self.deliver_ready();
    }

    /// Returns the unacknowledged messages of a connection to their original positions in their queues, marked as
    /// redelivered, and drops its consumer and pending operations.
    pub(super) fn requeue_unacked(&mut self, id: ConnectionId) {
        let Some(connection) = self.connections.get_mut(&id) else {
            return;
        };
        let channel = &mut connection.channel;
        let unacked = std::mem::take(&mut channel.unacked);
        (channel.pending, channel.incoming, channel.consumer) = (Vec::new(), None, None);
        let from = connection.from.clone();
        self.remove_consumer(id);
        for (_, mut message) in unacked.into_iter().rev() {
            self.log.write(
                "requeued",
                json!({"id": correlation_id(&message.properties), "from": from}),
            );
            message.redelivered = true;
            if let Some(queue) = self.queues.get_mut(&message.queue) {
                let position = queue.ready.partition_point(|m| m.id < message.id);
                queue.ready.insert(position, message);
            }
        }
    }

    /// Appends a message to its queue and logs it as published.
    pub(super) fn enqueue(&mut self, from: &str, publication: Publication) {
        let Publication {
            queue: name,
            properties,
            body,
        } = publication;
        let header = |key: &str| {
            let table = properties.headers().as_ref()?;
            trigger::text(table.inner().get(key)?).map(str::to_owned)
        };
        let timeout_us = text(properties.expiration())
            .parse::<i64>()
            .ok()
            .map(|ms| ms * 1000);
        self.log.write(
            "published",
            json!({
                "queue": name, "id": correlation_id(&properties), "from": from, "type": text(properties.kind()),
                "account": text(properties.app_id()), "function": header(trigger::FUNCTION),
                "timeout": timeout_us, "fate": header(trigger::OUTCOME), "reason": header(trigger::REASON),
                "reply_to": text(properties.reply_to()),
            }),
        );
        let message = Message {
            id: self.next_id(),
            expires_us: timeout_us.map(|t| unix_time_us() + t),
            properties,
            body: Arc::new(body),
            redelivered: false,
            queue: name.clone(),
        };
        // A message for a queue that does not exist is dropped, as by the default exchange of AMQP.
        if let Some(queue) = self.queues.get_mut(&name) {
            queue.ready.push_back(message);
        }
    }

    /// Applies all operations since the last commit.
    pub(super) fn commit(&mut self, id: ConnectionId) {
        let Some(connection) = self.connections.get_mut(&id) else {
            return;
        };
        let pending = std::mem::take(&mut connection.channel.pending);
        let from = connection.from.clone();
        for operation in pending {
            match operation {
                PendingOperation::Publish(publication) => self.enqueue(&from, *publication),
                PendingOperation::Ack(tag) => {
                    if let Some(acked) = self.take_unacked(id, tag) {
                        self.log.write(
                            "acked",
                            json!({"id": correlation_id(&acked.properties), "from": from}),
                        );
                    }
                }
                PendingOperation::Reject(tag) => {
                    if let Some(rejected) = self.take_unacked(id, tag) {
                        self.move_to_dead_letters(&from, rejected);
                    }
                }
            }
        }
        if let Some(connection) = self.connections.get_mut(&id) {
            connection.send_on_channel(AMQPClass::Tx(tx::AMQPMethod::CommitOk(tx::CommitOk {})));
        }
    }

    fn take_unacked(&mut self, id: ConnectionId, tag: DeliveryTag) -> Option<Message> {
        self.connections.get_mut(&id)?.channel.unacked.remove(&tag)
    }

    fn move_to_dead_letters(&mut self, from: &str, mut rejected: Message) {
        self.log.write(
            "dead",
            json!({"id": correlation_id(&rejected.properties), "from": from}),
        );
        rejected.queue = DEAD_LETTER_QUEUE.to_owned();
        let dead_letters = self.queues.entry(DEAD_LETTER_QUEUE.to_owned()).or_default();
        dead_letters.ready.push_back(rejected);
    }

    /// Delivers ready messages, round-robin, to consumers below their prefetch limits; drops expired messages.
    pub(super) fn deliver_ready(&mut self) {
        let now = unix_time_us();
        for queue in self.queues.values_mut() {
            let mut at_limit = 0;
            while !queue.ready.is_empty() && at_limit < queue.consumers.len() {
                let Some(id) = queue.consumers.pop_front() else {
                    break;
                };
                queue.consumers.push_back(id);
                let Some(connection) = self.connections.get_mut(&id) else {
                    break;
                };
                let Some(consumer) = connection.channel.consumer.clone() else {
                    break;
                };
                if connection.channel.is_at_prefetch_limit(&consumer) {
                    at_limit += 1;
                    continue;
                }
                at_limit = 0;
                let Some(message) = queue.ready.pop_front() else {
                    break;
                };
                if message.expires_us.is_some_and(|expires| expires <= now) {
                    self.log.write(
                        "expired",
                        json!({"id": correlation_id(&message.properties)}),
                    );
                    continue;
                }
                connection.deliver(&self.log, consumer, message);
            }
        }
        self.connections.values().for_each(Connection::wake);
    }
}

impl Connection {
    fn deliver(&mut self, log: &Log, consumer: Consumer, message: Message) {
        self.channel.next_tag += 1;
        let delivery_tag = self.channel.next_tag;
        log.write(
            "delivered",
            json!({
                "id": correlation_id(&message.properties), "to": self.from, "queue": message.queue,
                "redelivered": message.redelivered, "fate": null,
            }),
        );
        let deliver = basic::AMQPMethod::Deliver(basic::Deliver {
            consumer_tag: consumer.tag,
            delivery_tag,
            redelivered: message.redelivered,
            exchange: short_string(""),
            routing_key: short_string(&message.queue),
        });
        write_message(
            &mut self.output,
            CHANNEL_ID,
            deliver,
            message.properties.clone(),
            &message.body,
            FRAME_MAX,
        );
        if !consumer.no_ack {
            self.channel.unacked.insert(delivery_tag, message);
        }
    }
}
