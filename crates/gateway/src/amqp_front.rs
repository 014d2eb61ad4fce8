//! The AMQP front: one connection for each consumed queue. It turns messages into requests for the core, and
//! final answers into messages; the connection's state machine is in `cedarpulley_amqp::connection`, and messages are
//! parsed in [`amqp_messages`](crate::amqp_messages).

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;

use async_io::Timer;
use bytes::Bytes;
use cedarpulley::interface::Micros;
use cedarpulley_amqp::connection::Login;
use cedarpulley_amqp::protocol::basic::AMQPProperties;
use cedarpulley_amqp::{Connection, Event, Fault, Message, Role, meaning};
use cedarpulley_net::{Bell, connect};
use cedarpulley_router::admission::FrontState;
use cedarpulley_router::backoff::Backoff;
use cedarpulley_router::{Answer, Delivery, FrontIndex, Input};
use futures_lite::io::{ReadHalf, WriteHalf, split};
use futures_lite::{AsyncReadExt, AsyncWriteExt, FutureExt};

use crate::amqp_messages;
use crate::answer_times::AnswerTimes;
use crate::context::GatewayContext;
use crate::outcome_names::{fate_name, reason_name};
use crate::tls::{BrokerStream, ClientTls};

const READ_BUFFER_BYTES: usize = 64 * 1024;
/// Limit on writing the last frames to a broker: one that reads nothing must not delay the shutdown.
const CLOSE_TIMEOUT: std::time::Duration = std::time::Duration::from_millis(500);
/// Time limit for connecting to a broker, in microseconds.
const CONNECT_TIMEOUT: Micros = 2_000_000;
/// Output that may wait for a broker that reads slowly; beyond, nothing more is read from it either.
const MAX_OUTPUT_BYTES: usize = 4 * 1024 * 1024;

/// A broker's queue to consume from.
#[derive(Clone, Debug)]
pub struct AmqpSource {
    /// Name of the front in logs and traces.
    pub name: String,
    /// Address of the broker.
    pub broker: SocketAddr,
    /// Virtual host at the broker.
    pub virtual_host: String,
    /// User at the broker.
    pub user: String,
    /// Password of `user`.
    pub password: String,
    /// The queue consumed.
    pub queue: String,
    /// Heartbeat interval in seconds; 0 for none.
    pub heartbeat_s: u16,
    /// TLS to the broker, if it is used.
    pub tls: Option<ClientTls>,
}

/// A message that was taken and is not yet answered and committed.
struct PendingAnswer {
    /// Of the message: they say where its answer goes.
    properties: AMQPProperties,
    taken_at: Micros,
}

/// When to connect or open a channel again: the delays grow until the queue has been consumed for a while.
struct ReopenBackoff<'a> {
    ready_since: Cell<Micros>,
    backoff: RefCell<&'a mut Backoff>,
}

impl ReopenBackoff<'_> {
    fn delay(&self, now: Micros) -> Micros {
        self.backoff
            .borrow_mut()
            .after(now - self.ready_since.get())
    }
}

/// The front of one consumed queue.
pub struct AmqpFront {
    index: FrontIndex,
    source: AmqpSource,
    max_body_bytes: u64,
    context: Rc<GatewayContext>,
    times: Rc<AnswerTimes>,
    connection: RefCell<Option<Connection>>,
    /// Counts the channels opened; delivery tags are unique within one.
    incarnation: Cell<u32>,
    /// How many messages the core admits at once.
    granted: Cell<u32>,
    /// By delivery tag of the current channel.
    pending: RefCell<HashMap<u64, PendingAnswer>>,
    /// Wakes the writer of the connection: there may be output.
    output_ready: Bell,
    /// The queue is being consumed.
    is_up: Cell<bool>,
    /// When the channel is opened again, if the broker closed it.
    reopen_at: Cell<Option<Micros>>,
    /// The router shuts down: the connection is not opened again.
    closing: Cell<bool>,
}

impl AmqpFront {
    /// The front with this index; it does nothing until [`run`](Self::run).
    pub fn new(
        index: FrontIndex,
        source: AmqpSource,
        max_body_bytes: u64,
        context: Rc<GatewayContext>,
        times: Rc<AnswerTimes>,
    ) -> Self {
        AmqpFront {
            index,
            source,
            max_body_bytes,
            context,
            times,
            connection: RefCell::default(),
            incarnation: Cell::new(0),
            granted: Cell::new(0),
            pending: RefCell::default(),
            output_ready: Bell::default(),
            is_up: Cell::new(false),
            reopen_at: Cell::new(None),
            closing: Cell::new(false),
        }
    }

    /// The core admits this many messages at once: the prefetch.
    pub fn grant(&self, most: u32) {
        self.granted.set(most);
        if let Some(connection) = self.connection.borrow_mut().as_mut() {
            connection.set_prefetch(most.min(u32::from(u16::MAX)) as u16);
        }
        self.output_ready.ring();
    }

    /// Publishes an answer, unless its delivery belongs to an earlier channel.
    pub fn answer(&self, delivery: Delivery, answer: &Answer) {
        if delivery.life != self.incarnation.get() || !self.is_up.get() {
            return;
        }
        let pending = self.pending.borrow();
        let Some(PendingAnswer {
            properties,
            taken_at,
        }) = pending.get(&delivery.tag)
        else {
            return;
        };
        self.times
            .record_answered(self.context.clock.now() - taken_at);
        if let Some(connection) = self.connection.borrow_mut().as_mut() {
            let (outcome, reason) = (fate_name(answer.fate), reason_name(answer.reason));
            let answer_properties = meaning::answer(
                properties,
                outcome,
                reason,
                None,
                answer.return_after,
                answer.body.first,
            );
            let reply_to = properties.reply_to().as_ref().map(|queue| queue.as_str());
            connection.answer(
                delivery.tag,
                reply_to.map(|queue| (queue, answer_properties, answer.body.bytes.as_ref())),
            );
        }
        self.output_ready.ring();
    }

    /// Acknowledges a message without an answer.
    pub fn discard(&self, delivery: Delivery) {
        if delivery.life == self.incarnation.get()
            && let Some(connection) = self.connection.borrow_mut().as_mut()
        {
            connection.answer(delivery.tag, None);
            self.output_ready.ring();
        }
    }

    /// Nothing more is delivered, and all answers are committed.
    pub fn is_drained(&self) -> bool {
        let connection = self.connection.borrow();
        !self.is_up.get()
            || connection
                .as_ref()
                .is_none_or(|connection| connection.is_quiet() && connection.unsafe_answers() == 0)
    }

    /// Closes the connection and does not reconnect.
    pub fn close(&self, now: Micros) {
        self.closing.set(true);
        if let Some(connection) = self.connection.borrow_mut().as_mut() {
            connection.close(now);
        }
        self.output_ready.ring();
    }

    /// Connects, consumes, and reconnects, for as long as the router runs.
    pub async fn run(self: Rc<Self>) {
        let mut backoff = Backoff::new(self.context.seed ^ u64::from(self.index) << 32);
        while !self.closing.get() {
            let began = self.context.clock.now();
            self.connect_and_consume(&mut backoff).await;
            self.connection.borrow_mut().take();
            self.set_down();
            if self.closing.get() {
                return;
            }
            let now = self.context.clock.now();
            Timer::at(self.context.clock.instant(now + backoff.after(now - began))).await;
        }
    }

    async fn connect_and_consume(self: &Rc<Self>, backoff: &mut Backoff) {
        let (broker, local_address) = (self.source.broker, self.context.local_address);
        let stream = match connect(broker, local_address, CONNECT_TIMEOUT).await {
            Ok(stream) => stream,
            Err(error) => {
                tracing::warn!(front = %self.source.name, cause = %error, "no connection to the broker");
                return;
            }
        };
        match BrokerStream::connect(stream, self.source.tls.as_ref()).await {
            Ok(stream) => {
                let fault = self.run_connection(stream, backoff).await;
                tracing::warn!(front = %self.source.name, cause = %fault, "connection to the broker ended");
            }
            Err(error) => {
                tracing::warn!(front = %self.source.name, cause = %error, "TLS handshake with the broker failed");
            }
        }
    }

    fn set_state(&self, state: FrontState) {
        self.context.feed(Input::Front {
            front: self.index,
            state,
        });
    }

    fn set_down(&self) {
        self.pending.borrow_mut().clear();
        self.reopen_at.set(None);
        if self.is_up.replace(false) {
            self.set_state(FrontState::Down);
        }
    }

    /// Consumes the queue over one connection until it ends; returns why it ended.
    async fn run_connection(self: &Rc<Self>, stream: BrokerStream, backoff: &mut Backoff) -> Fault {
        let login = Login {
            virtual_host: self.source.virtual_host.clone(),
            user: self.source.user.clone(),
            password: self.source.password.clone(),
            heartbeat_s: self.source.heartbeat_s,
            name: self.context.name.clone(),
            most_body: self.max_body_bytes,
        };
        let prefetch = self.granted.get().clamp(1, u32::from(u16::MAX)) as u16;
        let role = Role::Answers {
            queue: self.source.queue.clone(),
            prefetch,
        };
        *self.connection.borrow_mut() =
            Some(Connection::new(self.context.clock.now(), role, login));
        let backoff = ReopenBackoff {
            ready_since: Cell::new(self.context.clock.now()),
            backoff: RefCell::new(backoff),
        };
        let (mut reader, mut writer) = split(stream);
        let reading = self.read(&mut reader, &backoff);
        let fault = reading.or(self.write(&mut writer)).await;
        self.write_last_frames(&mut writer, &fault).await;
        fault
    }

    /// Tells the broker why the connection ends, if it still reads; a broker that reads nothing is not waited for.
    async fn write_last_frames(&self, stream: &mut WriteHalf<BrokerStream>, fault: &Fault) {
        let last = self.connection.borrow_mut().as_mut().map(|connection| {
            if fault.code != 200 {
                connection.fail(self.context.clock.now(), fault);
            }
            connection.output(self.context.clock.now())
        });
        let Some(bytes) = last else {
            return;
        };
        let written = async {
            let _ = stream.write_all(&bytes).await;
            let _ = stream.flush().await;
        };
        let timeout = async {
            Timer::after(CLOSE_TIMEOUT).await;
        };
        written.or(timeout).await;
    }

    /// Reads and handles frames until the connection ends.
    async fn read(
        self: &Rc<Self>,
        stream: &mut ReadHalf<BrokerStream>,
        backoff: &ReopenBackoff<'_>,
    ) -> Fault {
        let mut buffer = vec![0; READ_BUFFER_BYTES];
        let mut events = Vec::new();
        loop {
            let length = match stream.read(&mut buffer).await {
                Ok(0) => return Fault::new(320, "the broker closed the connection"),
                Ok(length) => length,
                Err(error) => return Fault::new(320, error.to_string()),
            };
            let now = self.context.clock.now();
            let received = match self.connection.borrow_mut().as_mut() {
                Some(connection) => connection.receive(now, &buffer[..length], &mut events),
                None => return Fault::new(320, "closed"),
            };
            for event in events.drain(..) {
                if let Err(fault) = self.handle_event(now, event, backoff) {
                    return fault;
                }
            }
            if let Err(fault) = received {
                return fault;
            }
            self.output_ready.ring();
            // Guards against a broker that keeps sending but reads nothing: its output must not pile up here.
            while self
                .connection
                .borrow()
                .as_ref()
                .is_some_and(|connection| connection.waiting() > MAX_OUTPUT_BYTES)
            {
                Timer::after(std::time::Duration::from_millis(1)).await;
            }
        }
    }

    /// Handles one event of the connection; an error ends the connection.
    fn handle_event(
        &self,
        now: Micros,
        event: Event,
        backoff: &ReopenBackoff<'_>,
    ) -> Result<(), Fault> {
        let front = self.source.name.as_str();
        match event {
            Event::Ready => {
                self.incarnation.set(self.incarnation.get().wrapping_add(1));
                self.is_up.set(true);
                backoff.ready_since.set(now);
                tracing::info!(front, queue = %self.source.queue, "consuming the queue");
                self.set_state(FrontState::Up);
            }
            Event::Delivered(message) => self.handle_message(*message),
            Event::Committed(tags) => tags.into_iter().for_each(|tag| self.committed(now, tag)),
            Event::Blocked(true) => {
                tracing::warn!(front, blocked = true, "the broker takes no publishes");
                self.set_state(FrontState::Blocked);
            }
            Event::Blocked(false) => {
                tracing::warn!(front, blocked = false, "the broker takes publishes again");
                self.set_state(FrontState::Up);
            }
            Event::ChannelLost { code, text } => {
                tracing::warn!(front, code, text, "the broker closed the channel");
                self.set_down();
                self.reopen_at.set(Some(now + backoff.delay(now)));
            }
            Event::Cancelled => return Err(Fault::new(320, "the queue is no longer consumed")),
            Event::Closed { code, text } => return Err(Fault { code, text }),
        }
        Ok(())
    }

    /// The broker has committed the answer to this delivery, so that the core may forget the request.
    fn committed(&self, now: Micros, tag: u64) {
        let pending = self.pending.borrow_mut().remove(&tag);
        if let Some(pending) = pending {
            self.times.record_committed(now - pending.taken_at);
            self.context.feed(Input::Safe(self.delivery(tag)));
        }
    }

    fn delivery(&self, tag: u64) -> Delivery {
        Delivery {
            front: self.index,
            life: self.incarnation.get(),
            tag,
        }
    }

    /// Writes output, and does what is due by time, until the connection ends.
    async fn write(self: &Rc<Self>, stream: &mut WriteHalf<BrokerStream>) -> Fault {
        loop {
            let now = self.context.clock.now();
            let (bytes, due) = {
                let mut connection = self.connection.borrow_mut();
                let Some(connection) = connection.as_mut() else {
                    return Fault::new(320, "closed");
                };
                if let Err(fault) = connection.tick(now) {
                    return fault;
                }
                if self.reopen_at.get().is_some_and(|at| at <= now) {
                    self.reopen_at.set(None);
                    connection.reopen(now);
                }
                connection.commit(now);
                (
                    connection.output(now),
                    connection
                        .next_due()
                        .min(self.reopen_at.get().unwrap_or(Micros::MAX)),
                )
            };
            if !bytes.is_empty() {
                let sent = async {
                    stream.write_all(&bytes).await?;
                    stream.flush().await
                };
                if let Err(error) = sent.await {
                    return Fault::new(320, error.to_string());
                }
                continue;
            }
            let due = async {
                match due {
                    Micros::MAX => std::future::pending().await,
                    due => {
                        Timer::at(self.context.clock.instant(due)).await;
                    }
                }
            };
            self.output_ready.heard().or(due).await;
        }
    }

    fn handle_message(&self, message: Message) {
        let delivery = self.delivery(message.tag);
        match amqp_messages::parse(&message, delivery, &self.context, self.max_body_bytes) {
            Ok(mut taken) => {
                taken.body.bytes = Bytes::from(message.body);
                let pending = PendingAnswer {
                    properties: message.properties,
                    taken_at: self.context.clock.now(),
                };
                self.pending.borrow_mut().insert(message.tag, pending);
                self.context.feed(Input::Taken(taken));
            }
            Err(malformed) => self.refuse_malformed(&message, &malformed),
        }
    }

    /// Answers a malformed message with an error, or rejects it if it has no reply queue. It is never requeued: it
    /// would be delivered again for ever.
    fn refuse_malformed(&self, message: &Message, malformed: &meaning::Misunderstood) {
        tracing::debug!(front = %self.source.name, field = malformed.field, cause = %malformed.cause, "malformed message");
        self.context.count_malformed();
        let mut connection = self.connection.borrow_mut();
        let Some(connection) = connection.as_mut() else {
            return;
        };
        let properties = &message.properties;
        let reply_to = properties
            .reply_to()
            .as_ref()
            .map(|queue| queue.as_str())
            .filter(|queue| !queue.is_empty());
        match reply_to {
            Some(queue) => {
                let cause = format!("{}: {}", malformed.field, malformed.cause);
                let answer = meaning::answer(
                    properties,
                    "errored",
                    "not-understood",
                    Some(&cause),
                    None,
                    None,
                );
                connection.answer(message.tag, Some((queue, answer, b"")));
            }
            None => connection.reject(message.tag),
        }
    }
}
