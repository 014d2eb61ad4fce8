//! The state machine of one connection to a broker, with one channel. The owner of the socket calls
//! [`Connection::receive`] with received bytes and [`Connection::tick`] at [`Connection::next_due`], and sends the
//! bytes that [`Connection::output`] returns.
//!
//! Each connection has only one channel, because `basic.qos` with the global flag then has the same effect at every
//! broker, however the broker interprets that flag (see docs/design/amqp.md). An answer and the acknowledgement of its
//! trigger are sent in one transaction, so that the loss of the channel cannot separate them. Transactions are batched:
//! while one is in flight, further answers are collected for the next.

mod delivery;
mod handshake;
mod liveness;
mod methods;
mod setup;
mod transactions;
mod types;

use amq_protocol::frame::{AMQPFrame, ProtocolVersion};
use amq_protocol::protocol::basic::{AMQPMethod as Basic, AMQPProperties};
use amq_protocol::protocol::connection::{self, AMQPMethod as ConnectionMethod};
use amq_protocol::protocol::{AMQPClass, channel, tx};

use crate::error::{ConnectionError, reply_code};
use crate::frames::{FrameReader, MIN_FRAME_MAX, write, write_message, write_method};
use crate::protocol_error::ProtocolError;
use delivery::DeliveryAssembler;
use handshake::Limits;
use liveness::{Awaited, Liveness};
use setup::Stage;
use transactions::Transactions;

pub use types::{Event, Login, Message, Role};

/// A duration or a point in time, in microseconds.
pub type Micros = i64;

/// Number of the only channel of a connection.
const CHANNEL: u16 = 1;
/// Longest reason for closing a connection that is sent to the broker, in characters.
const MAX_CLOSE_TEXT: usize = 80;

/// The state machine of a connection, as responder or requester.
#[derive(Debug)]
pub struct Connection {
    role: Role,
    login: Login,
    stage: Stage,
    reader: FrameReader,
    /// Bytes that are ready to be sent.
    output: Vec<u8>,
    /// Negotiated size limit of a whole frame in bytes.
    frame_max: u32,
    /// Whether the broker has blocked the connection: it accepts no publishes.
    blocked: bool,
    /// How many deliveries may be unacknowledged at a time, as a responder.
    prefetch: u16,
    /// Whether the consumer is active.
    consuming: bool,
    /// Whether the broker still has to confirm that the consumer is cancelled; deliveries may arrive until then.
    cancel_pending: bool,
    liveness: Liveness,
    deliveries: DeliveryAssembler,
    transactions: Transactions,
}

impl Connection {
    /// Creates the state of a connection whose socket was connected just now. The protocol header is the first output.
    pub fn new(now: Micros, role: Role, login: Login) -> Self {
        let prefetch = if let Role::Responder { prefetch, .. } = &role {
            (*prefetch).max(1)
        } else {
            0
        };
        let mut output = Vec::new();
        let version = ProtocolVersion::amqp_0_9_1();
        write(&mut output, &AMQPFrame::ProtocolHeader(version));
        Connection {
            role,
            stage: Stage::AwaitStart,
            reader: FrameReader::new(MIN_FRAME_MAX),
            output,
            frame_max: MIN_FRAME_MAX,
            blocked: false,
            prefetch,
            consuming: false,
            cancel_pending: false,
            liveness: Liveness::new(now),
            deliveries: DeliveryAssembler::new(login.max_body),
            transactions: Transactions::default(),
            login,
        }
    }

    /// Whether the channel is open, with its consumer set up. Stays true when [`Self::set_prefetch`] cancels the
    /// consumer.
    pub fn is_ready(&self) -> bool {
        self.stage == Stage::Ready
    }

    /// Whether no further delivery can arrive: the consumer is cancelled, and the broker has confirmed it.
    pub fn has_stopped_consuming(&self) -> bool {
        !self.consuming && !self.cancel_pending
    }

    /// Returns the number of deliveries whose answers are not committed: collected or in flight.
    pub fn uncommitted_answers(&self) -> usize {
        self.transactions.uncommitted()
    }

    /// Returns the bytes to send, and removes them from the connection.
    pub fn output(&mut self, now: Micros) -> Vec<u8> {
        if !self.output.is_empty() {
            self.liveness.on_sent(now);
        }
        std::mem::take(&mut self.output)
    }

    /// Returns the number of bytes that wait to be sent.
    pub fn unsent_bytes(&self) -> usize {
        self.output.len() + self.transactions.collected_bytes()
    }

    /// Processes received bytes, and appends the resulting events to `events`. After an error, the caller has to close
    /// the connection with [`Self::close_with_error`].
    pub fn receive(
        &mut self,
        now: Micros,
        bytes: &[u8],
        events: &mut Vec<Event>,
    ) -> Result<(), ConnectionError> {
        self.liveness.on_received(now);
        self.reader.feed(bytes);
        while let Some(frame) = self.reader.next_frame()? {
            let result = self.on_frame(now, frame, events);
            if result == Err(ProtocolError::BodyTooLong) {
                self.withdraw_delivery(events);
            }
            result?;
        }
        Ok(())
    }

    /// Withdraws the delivery to which a body frame has arrived after its body was complete.
    fn withdraw_delivery(&self, events: &mut Vec<Event>) {
        let Some(delivery_tag) = self.deliveries.completed() else {
            return;
        };
        let is_withdrawn = |event: &Event| matches!(event, Event::Delivered(message) if message.delivery_tag == delivery_tag);
        events.retain(|event| !is_withdrawn(event));
        events.push(Event::Withdrawn { delivery_tag });
    }

    /// Sends a heartbeat if one is due. Fails if the broker is silent or does not reply in time. To be called at
    /// [`Self::next_due`].
    pub fn tick(&mut self, now: Micros) -> Result<(), ConnectionError> {
        self.liveness.check(now, self.awaited())?;
        if self.liveness.is_heartbeat_due(now) {
            write(&mut self.output, &AMQPFrame::Heartbeat);
            self.liveness.on_sent(now);
        }
        Ok(())
    }

    /// Returns when [`Self::tick`] has to be called next.
    pub fn next_due(&self) -> Micros {
        self.liveness.next_due(self.awaited())
    }

    /// Returns the replies that the broker owes in the current state.
    fn awaited(&self) -> Awaited {
        Awaited {
            handshake: !matches!(self.stage, Stage::Ready | Stage::NoChannel),
            commit: !self.blocked,
        }
    }

    /// Sets how many deliveries may be unacknowledged at a time; 0 cancels the consumer.
    pub fn set_prefetch(&mut self, prefetch: u16) {
        let Role::Responder { queue, .. } = &self.role else {
            return;
        };
        let consume = methods::consume(queue, false);
        if prefetch > 0 {
            self.prefetch = prefetch;
        }
        if self.stage != Stage::Ready {
            return;
        }
        if prefetch == 0 && self.consuming {
            self.consuming = false;
            self.cancel_pending = true;
            self.send(methods::cancel());
        } else if prefetch > 0 {
            self.send(methods::qos(prefetch));
            if !self.consuming {
                self.send(consume);
                self.consuming = true;
            }
        }
    }

    /// Acknowledges a delivery in one transaction with its answer (queue, properties, body), if it has one. Has no
    /// effect unless the channel is open.
    ///
    /// Without the check of the channel, an answer could be sent on the next channel although the broker has already
    /// delivered the message again to another consumer. That happens when a message or a commit arrives together with
    /// the loss of the channel, is handled first and causes an answer.
    pub fn answer(&mut self, tag: u64, answer: Option<(&str, AMQPProperties, &[u8])>) {
        if self.stage != Stage::Ready {
            return;
        }
        if let Some((reply_to, properties, body)) = answer {
            self.transactions
                .publish(reply_to, properties, body, self.frame_max);
        }
        self.transactions.acknowledge(tag);
    }

    /// Rejects a delivery. The broker passes it to the queue's dead-letter exchange and does not requeue it.
    pub fn reject(&mut self, tag: u64) {
        if self.stage != Stage::Ready {
            return;
        }
        self.transactions.reject(tag);
    }

    /// Sends the collected answers, unless a transaction is in flight. To be called after a batch of answers.
    pub fn commit(&mut self, now: Micros) {
        if self.stage == Stage::Ready && !self.blocked && self.transactions.send(&mut self.output) {
            self.liveness.on_commit_sent(now);
            self.send(methods::commit());
        }
    }

    /// Publishes a trigger. Returns false, without publishing, if the broker is blocked or the channel is not open.
    pub fn publish(&mut self, queue: &str, properties: AMQPProperties, body: &[u8]) -> bool {
        if self.stage != Stage::Ready || self.blocked {
            return false;
        }
        write_message(
            &mut self.output,
            CHANNEL,
            methods::publish(queue),
            properties,
            body,
            self.frame_max,
        );
        true
    }

    /// Opens the channel again after [`Event::ChannelLost`].
    pub fn reopen(&mut self, now: Micros) {
        if self.stage == Stage::NoChannel {
            self.open_channel();
            self.liveness.on_handshake_started(now);
        }
    }

    /// Closes the connection without an error; [`Event::Closed`] follows.
    pub fn close(&mut self, now: Micros) {
        if matches!(self.stage, Stage::Closing | Stage::Closed) {
            return;
        }
        self.send_close(now, reply_code::SUCCESS, "done");
    }

    /// Closes the connection because of an error, and sends the error to the broker.
    pub fn close_with_error(&mut self, now: Micros, error: &ConnectionError) {
        self.send_close(now, error.code, &error.text);
    }

    fn send_close(&mut self, now: Micros, code: u16, text: &str) {
        let text: String = text.chars().take(MAX_CLOSE_TEXT).collect();
        self.send_on_connection(methods::close_connection(code, &text));
        self.stage = Stage::Closing;
        self.liveness.on_handshake_started(now);
    }

    /// Sends a method on the channel.
    fn send(&mut self, method: AMQPClass) {
        write_method(&mut self.output, CHANNEL, method);
    }

    /// Sends a method that concerns the whole connection.
    fn send_on_connection(&mut self, method: AMQPClass) {
        write_method(&mut self.output, 0, method);
    }

    fn open_channel(&mut self) {
        self.send(methods::open_channel());
        self.stage = Stage::AwaitChannel;
    }

    /// Discards all state of the channel.
    fn on_channel_lost(&mut self) {
        self.deliveries.clear();
        self.transactions.clear();
        self.liveness.on_commit_ended();
        self.consuming = false;
        self.cancel_pending = false;
    }

    fn on_frame(
        &mut self,
        now: Micros,
        frame: AMQPFrame,
        events: &mut Vec<Event>,
    ) -> Result<(), ProtocolError> {
        let delivered = match frame {
            AMQPFrame::Heartbeat => None,
            AMQPFrame::Method(0, AMQPClass::Connection(method)) => {
                return self.on_connection_method(now, method, events);
            }
            // Ignores frames that were in transit when the channel was lost or the connection was closed.
            _ if matches!(
                self.stage,
                Stage::NoChannel | Stage::Closing | Stage::Closed
            ) =>
            {
                None
            }
            AMQPFrame::Method(CHANNEL, method) => {
                return self.on_channel_method(now, method, events);
            }
            AMQPFrame::Header(CHANNEL, header) => self
                .deliveries
                .on_header(header.body_size, header.properties)?,
            AMQPFrame::Body(CHANNEL, part) => self.deliveries.on_body(&part)?,
            AMQPFrame::Method(..)
            | AMQPFrame::Header(..)
            | AMQPFrame::Body(..)
            | AMQPFrame::InvalidHeartbeat(_)
            | AMQPFrame::ProtocolHeader(_) => {
                return Err(ProtocolError::unexpected(
                    "a frame on a channel that was not opened",
                ));
            }
        };
        events.extend(delivered.map(|message| Event::Delivered(Box::new(message))));
        Ok(())
    }

    fn on_connection_method(
        &mut self,
        now: Micros,
        method: ConnectionMethod,
        events: &mut Vec<Event>,
    ) -> Result<(), ProtocolError> {
        match (self.stage, method) {
            (Stage::AwaitStart, ConnectionMethod::Start(start)) => {
                let reply = ConnectionMethod::StartOk(handshake::start_ok(&self.login, &start)?);
                self.send_on_connection(AMQPClass::Connection(reply));
                self.stage = Stage::AwaitTune;
            }
            (Stage::AwaitTune, ConnectionMethod::Tune(tune)) => self.on_tune(&tune),
            (Stage::AwaitOpen, ConnectionMethod::OpenOk(_)) => self.open_channel(),
            (_, ConnectionMethod::Close(close)) => {
                self.send_on_connection(methods::connection_close_ok());
                self.on_closed(close.reply_code, close.reply_text.as_str(), events);
            }
            (Stage::Closing, ConnectionMethod::CloseOk(_)) => {
                self.on_closed(reply_code::SUCCESS, "closed", events);
            }
            (Stage::Closing | Stage::Closed, _) => {}
            (_, ConnectionMethod::Blocked(_)) => {
                self.blocked = true;
                events.push(Event::Blocked(true));
            }
            (_, ConnectionMethod::Unblocked(_)) => {
                self.blocked = false;
                self.liveness.on_unblocked(now);
                events.push(Event::Blocked(false));
                self.commit(now);
            }
            (stage, _) => {
                let description = format!("a method while {stage:?}");
                return Err(ProtocolError::unexpected(description));
            }
        }
        Ok(())
    }

    fn on_tune(&mut self, tune: &connection::Tune) {
        let limits = Limits::negotiate(tune, self.login.heartbeat_s);
        self.frame_max = limits.frame_max;
        self.reader.set_frame_max(limits.frame_max);
        self.liveness
            .set_heartbeat(Micros::from(limits.heartbeat_s) * 1_000_000);
        let replies = [
            ConnectionMethod::TuneOk(limits.tune_ok()),
            ConnectionMethod::Open(connection::Open {
                virtual_host: methods::short(&self.login.virtual_host),
            }),
        ];
        for reply in replies {
            self.send_on_connection(AMQPClass::Connection(reply));
        }
        self.stage = Stage::AwaitOpen;
    }

    fn on_closed(&mut self, code: u16, text: &str, events: &mut Vec<Event>) {
        self.on_channel_lost();
        self.stage = Stage::Closed;
        events.push(Event::Closed {
            code,
            text: text.to_owned(),
        });
    }

    fn on_channel_method(
        &mut self,
        now: Micros,
        method: AMQPClass,
        events: &mut Vec<Event>,
    ) -> Result<(), ProtocolError> {
        match (self.stage, method) {
            (_, AMQPClass::Channel(channel::AMQPMethod::Close(close))) => {
                self.send(methods::channel_close_ok());
                self.on_channel_lost();
                self.stage = Stage::NoChannel;
                events.push(Event::ChannelLost {
                    code: close.reply_code,
                    text: close.reply_text.as_str().to_owned(),
                });
            }
            // Replies to a changed prefetch, or to a consumer that was started again.
            (Stage::Ready, AMQPClass::Basic(Basic::QosOk(_) | Basic::ConsumeOk(_))) => {}
            (Stage::Ready, AMQPClass::Basic(Basic::CancelOk(_))) => self.cancel_pending = false,
            (Stage::Ready | Stage::AwaitConsume, AMQPClass::Basic(Basic::Deliver(deliver))) => {
                self.deliveries.on_deliver(&deliver)?;
            }
            (Stage::Ready, AMQPClass::Basic(Basic::Cancel(_))) => {
                self.consuming = false;
                events.push(Event::Cancelled);
            }
            (Stage::Ready, AMQPClass::Tx(tx::AMQPMethod::CommitOk(_)))
                if self.transactions.is_in_flight() =>
            {
                self.liveness.on_commit_ended();
                events.push(Event::Committed(self.transactions.on_committed()));
                self.commit(now);
            }
            (Stage::AwaitConsume, AMQPClass::Basic(Basic::ConsumeOk(_))) => {
                self.stage = Stage::Ready;
                events.push(Event::Ready);
            }
            (_, method) => self.on_channel_setup(&method)?,
        }
        Ok(())
    }

    /// Sends the next request that sets up the consumer on the channel.
    fn on_channel_setup(&mut self, method: &AMQPClass) -> Result<(), ProtocolError> {
        let (request, next) = setup::next_step(self.stage, method, &self.role, self.prefetch)?;
        self.send(request);
        self.stage = next;
        if next == Stage::AwaitConsume {
            self.consuming = true;
        }
        Ok(())
    }
}
