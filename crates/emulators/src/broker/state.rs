//! Queues, connections and deliveries of the broker.

use std::collections::{BTreeMap, HashMap, VecDeque};
use std::sync::Arc;

use cedarpulley_amqp::frames::{write, write_message, write_method};
use cedarpulley_amqp::protocol::basic::{self, AMQPProperties};
use cedarpulley_amqp::protocol::{AMQPClass, channel, tx};
use cedarpulley_amqp::trigger;
use cedarpulley_amqp::types::ShortString;
use serde_json::json;

use super::protocol::{CHANNEL, FRAME_MAX};
use super::{DEAD, short_string};
use crate::{Log, unix_time_us};

pub(super) type ConnectionId = u64;
type DeliveryTag = u64;

/// A message in a queue, or delivered and not yet acknowledged.
pub(super) struct Message {
    /// Messages are numbered as they come.
    id: u64,
    properties: AMQPProperties,
    body: Arc<Vec<u8>>,
    redelivered: bool,
    queue: String,
    /// In microseconds of Unix time.
    expires_us: Option<i64>,
}

/// A message as a client publishes it.
pub(super) struct Publication {
    pub(super) queue: String,
    pub(super) properties: AMQPProperties,
    pub(super) body: Vec<u8>,
}

/// A publication whose frames are still coming in.
pub(super) struct PartialPublication {
    pub(super) queue: String,
    /// Size of the body, and properties.
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

/// Takes effect with the transaction's commit.
pub(super) enum PendingOperation {
    Publish(Box<Publication>),
    Ack(DeliveryTag),
    Reject(DeliveryTag),
}

#[derive(Clone)]
pub(super) struct Consumer {
    /// It acknowledges nothing.
    pub(super) no_ack: bool,
    pub(super) tag: ShortString,
}

/// The one channel of a connection.
#[derive(Default)]
pub(super) struct Channel {
    pub(super) open: bool,
    pub(super) transactional: bool,
    /// Most unacknowledged deliveries; 0 for any number.
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

pub(super) struct Connection {
    /// The peer's IP address.
    pub(super) from: String,
    /// Bytes to be sent.
    out: Vec<u8>,
    wake: smol::channel::Sender<()>,
    /// Ends once all is sent.
    pub(super) closing: bool,
    pub(super) channel: Channel,
}

impl Connection {
    pub(super) fn send_on_channel(&mut self, method: AMQPClass) {
        write_method(&mut self.out, CHANNEL, method);
    }

    pub(super) fn send_on_connection(&mut self, method: AMQPClass) {
        write_method(&mut self.out, 0, method);
    }

    pub(super) fn send_heartbeat(&mut self) {
        write(&mut self.out, &cedarpulley_amqp::frames::heartbeat());
    }

    pub(super) fn send_bytes(&mut self, bytes: &[u8]) {
        self.out.extend_from_slice(bytes);
    }

    pub(super) fn close_channel(&mut self, close: channel::Close) {
        self.send_on_channel(AMQPClass::Channel(channel::AMQPMethod::Close(close)));
        self.channel.open = false;
    }

    /// A new channel; the old one's state is gone.
    pub(super) fn open_channel(&mut self) {
        self.closing = false;
        self.channel = Channel {
            open: true,
            ..Channel::default()
        };
    }

    pub(super) fn take_out(&mut self) -> Vec<u8> {
        std::mem::take(&mut self.out)
    }

    /// Wakes the task that writes.
    pub(super) fn wake(&self) {
        let _ = self.wake.try_send(());
    }
}

#[derive(Default)]
struct Queue {
    ready: VecDeque<Message>,
    /// In the order of their turns.
    consumers: VecDeque<ConnectionId>,
}

pub(super) struct State {
    log: Log,
    queues: HashMap<String, Queue>,
    connections: HashMap<ConnectionId, Connection>,
    /// Last id given to a connection or message.
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
            out: Vec::new(),
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

    /// False if there is no such queue.
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

    /// Forgets a connection; its unacknowledged messages are delivered again.
    pub(super) fn disconnect(&mut self, id: ConnectionId) {
        self.requeue_unacked(id);
        self.connections.remove(&id);
        self.deliver_ready();
    }

    /// Unacknowledged messages of a connection return to their places in their queues, marked as redelivered.
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

    /// Puts a message into its queue.
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
        // Without a queue of that name a message is dropped, as on any default exchange.
        if let Some(queue) = self.queues.get_mut(&name) {
            queue.ready.push_back(message);
        }
    }

    /// All operations since the last commit take effect at once.
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
        rejected.queue = DEAD.to_owned();
        let dead_letters = self.queues.entry(DEAD.to_owned()).or_default();
        dead_letters.ready.push_back(rejected);
    }

    /// Delivers ready messages to consumers below their prefetch limit, in turn.
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
            &mut self.out,
            CHANNEL,
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
