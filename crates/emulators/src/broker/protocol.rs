//! Executes the AMQP methods and content frames of peers on the state of the broker.

use cedarpulley_amqp::ConnectionError;
use cedarpulley_amqp::frames::{AMQPFrame, FrameReader};
use cedarpulley_amqp::protocol::basic;
use cedarpulley_amqp::protocol::{AMQPClass, channel, connection, queue, tx};
use cedarpulley_amqp::types::{FieldTable, LongString};

use super::short_string;
use super::state::{
    ConnectionId, Consumer, PartialPublication, PendingOperation, Publication, State,
};

/// Largest frame, in bytes, that the broker negotiates.
pub(super) const FRAME_MAX: u32 = 128 * 1024;
/// Heartbeat interval, in seconds, that the broker negotiates.
pub(super) const HEARTBEAT_S: u16 = 10;
/// Number of the only channel that peers may open.
pub(super) const CHANNEL_ID: u16 = 1;

impl State {
    /// Begins the handshake by sending `connection.start`.
    pub(super) fn greet(&mut self, id: ConnectionId) {
        let Some(connection) = self.connection(id) else {
            return;
        };
        let start = connection::Start {
            version_major: 0,
            version_minor: 9,
            server_properties: FieldTable::default(),
            mechanisms: LongString::from("PLAIN"),
            locales: LongString::from("en_US"),
        };
        connection.send_on_connection(AMQPClass::Connection(connection::AMQPMethod::Start(start)));
        connection.wake();
    }

    /// Executes all complete frames that have been read, and then delivers ready messages.
    pub(super) fn handle_frames(
        &mut self,
        id: ConnectionId,
        reader: &mut FrameReader,
    ) -> Result<(), ConnectionError> {
        while let Some(frame) = reader.next_frame()? {
            match frame {
                AMQPFrame::Method(0, AMQPClass::Connection(method)) => {
                    self.handle_connection_method(id, method)?;
                }
                AMQPFrame::Method(CHANNEL_ID, method) => self.handle_channel_method(id, method)?,
                AMQPFrame::Header(CHANNEL_ID, header) => {
                    if let Some(incoming) = self.incoming(id) {
                        incoming.header = Some((header.body_size, header.properties));
                    }
                    self.finish_publication(id);
                }
                AMQPFrame::Body(CHANNEL_ID, part) => {
                    if let Some(incoming) = self.incoming(id) {
                        incoming.body.extend_from_slice(&part);
                    }
                    self.finish_publication(id);
                }
                AMQPFrame::Heartbeat => {}
                _ => return Err(ConnectionError::new(505, "an unexpected frame")),
            }
        }
        self.deliver_ready();
        Ok(())
    }

    fn incoming(&mut self, id: ConnectionId) -> Option<&mut PartialPublication> {
        self.connection(id)?.channel.incoming.as_mut()
    }

    fn handle_connection_method(
        &mut self,
        id: ConnectionId,
        method: connection::AMQPMethod,
    ) -> Result<(), ConnectionError> {
        use connection::AMQPMethod as M;
        let Some(connection) = self.connection(id) else {
            return Ok(());
        };
        let reply = match method {
            M::StartOk(_) => M::Tune(connection::Tune {
                channel_max: 8,
                frame_max: FRAME_MAX,
                heartbeat: HEARTBEAT_S,
            }),
            M::TuneOk(_) => return Ok(()),
            M::Open(_) => M::OpenOk(connection::OpenOk {}),
            M::Close(_) => {
                connection.closing = true;
                M::CloseOk(connection::CloseOk {})
            }
            M::CloseOk(_) => return Err(ConnectionError::new(200, "closed")),
            _ => return Err(ConnectionError::new(503, "not known here")),
        };
        connection.send_on_connection(AMQPClass::Connection(reply));
        connection.wake();
        Ok(())
    }

    fn handle_channel_method(
        &mut self,
        id: ConnectionId,
        method: AMQPClass,
    ) -> Result<(), ConnectionError> {
        let Some(connection) = self.connection(id) else {
            return Ok(());
        };
        match method {
            AMQPClass::Channel(channel::AMQPMethod::Open(_)) => {
                connection.open_channel();
                let ok = channel::AMQPMethod::OpenOk(channel::OpenOk {});
                connection.send_on_channel(AMQPClass::Channel(ok));
            }
            AMQPClass::Channel(channel::AMQPMethod::CloseOk(_)) => {}
            AMQPClass::Channel(channel::AMQPMethod::Close(_)) => {
                let ok = channel::AMQPMethod::CloseOk(channel::CloseOk {});
                connection.send_on_channel(AMQPClass::Channel(ok));
                connection.channel.open = false;
                self.requeue_unacked(id);
            }
            // Methods that were in transit when the channel was closed are ignored.
            _ if !connection.channel.open => {}
            AMQPClass::Tx(tx::AMQPMethod::Select(_)) => {
                connection.channel.transactional = true;
                let ok = tx::AMQPMethod::SelectOk(tx::SelectOk {});
                connection.send_on_channel(AMQPClass::Tx(ok));
            }
            AMQPClass::Tx(tx::AMQPMethod::Commit(_)) => self.commit(id),
            AMQPClass::Queue(queue::AMQPMethod::Declare(declare)) => {
                self.handle_declare(id, &declare);
            }
            AMQPClass::Basic(method) => {
                if !self.handle_basic_method(id, method)? {
                    return Ok(());
                }
            }
            _ => return Err(ConnectionError::new(540, "not known here")),
        }
        if let Some(connection) = self.connection(id) {
            connection.wake();
        }
        Ok(())
    }

    /// Executes a method of the class `basic`. Returns false if that closed the channel; the task that writes to the
    /// peer is then woken with the next delivery.
    fn handle_basic_method(
        &mut self,
        id: ConnectionId,
        method: basic::AMQPMethod,
    ) -> Result<bool, ConnectionError> {
        use basic::AMQPMethod as M;
        let Some(connection) = self.connection(id) else {
            return Ok(true);
        };
        let channel = &mut connection.channel;
        match method {
            M::Qos(qos) => {
                channel.prefetch = usize::from(qos.prefetch_count);
                connection.send_on_channel(AMQPClass::Basic(M::QosOk(basic::QosOk {})));
            }
            M::Consume(consume) => return Ok(self.handle_consume(id, consume)),
            M::Cancel(cancel) => {
                channel.consumer = None;
                connection.send_on_channel(AMQPClass::Basic(M::CancelOk(basic::CancelOk {
                    consumer_tag: cancel.consumer_tag,
                })));
                self.remove_consumer(id);
            }
            M::Publish(publish) => {
                channel.incoming = Some(PartialPublication {
                    queue: publish.routing_key.as_str().to_owned(),
                    header: None,
                    body: Vec::new(),
                });
            }
            M::Ack(ack) => channel
                .pending
                .push(PendingOperation::Ack(ack.delivery_tag)),
            M::Reject(reject) => channel
                .pending
                .push(PendingOperation::Reject(reject.delivery_tag)),
            _ => return Err(ConnectionError::new(540, "not known here")),
        }
        Ok(true)
    }

    fn handle_declare(&mut self, id: ConnectionId, declare: &queue::Declare) {
        // The broker generates a name for a queue that is declared without one.
        let name = match declare.queue.as_str() {
            "" => format!("replies-of-{id}"),
            name => name.to_owned(),
        };
        let ok = queue::DeclareOk {
            queue: short_string(&name),
            message_count: 0,
            consumer_count: 0,
        };
        if let Some(connection) = self.connection(id) {
            connection.send_on_channel(AMQPClass::Queue(queue::AMQPMethod::DeclareOk(ok)));
        }
        self.declare(name);
    }

    /// Adds a consumer. Returns false, with the channel closed, if the queue does not exist.
    fn handle_consume(&mut self, id: ConnectionId, consume: basic::Consume) -> bool {
        let known = self.add_consumer(consume.queue.as_str(), id);
        let Some(connection) = self.connection(id) else {
            return known;
        };
        if !known {
            connection.close_channel(channel::Close {
                reply_code: 404,
                reply_text: short_string("no such queue"),
                class_id: 60,
                method_id: 20,
            });
            return false;
        }
        let consumer_tag = match consume.consumer_tag.as_str() {
            "" => short_string(&format!("consumer-{id}")),
            _ => consume.consumer_tag,
        };
        connection.channel.consumer = Some(Consumer {
            no_ack: consume.no_ack,
            tag: consumer_tag.clone(),
        });
        let ok = basic::ConsumeOk { consumer_tag };
        connection.send_on_channel(AMQPClass::Basic(basic::AMQPMethod::ConsumeOk(ok)));
        true
    }

    /// Enqueues the publication if its body is complete. On a transactional channel this takes effect with the commit.
    fn finish_publication(&mut self, id: ConnectionId) {
        let Some(connection) = self.connection(id) else {
            return;
        };
        let channel = &mut connection.channel;
        let Some(PartialPublication {
            queue,
            header: Some((_, properties)),
            body,
        }) = channel.incoming.take_if(|incoming| incoming.is_complete())
        else {
            return;
        };
        let publication = Publication {
            queue,
            properties,
            body,
        };
        if channel.transactional {
            let publish = PendingOperation::Publish(Box::new(publication));
            channel.pending.push(publish);
            return;
        }
        let from = connection.from.clone();
        self.enqueue(&from, publication);
    }
}
