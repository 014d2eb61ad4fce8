//! The AMQP front: one connection for each consumed queue. It turns messages into requests for the core, and
//! final answers into messages; the connection's state machine is in `cedarpulley_amqp::connection`.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;

use async_io::Timer;
use bytes::Bytes;
use cedarpulley::interface::Micros;
use cedarpulley_amqp::connection::Login;
use cedarpulley_amqp::protocol::basic::AMQPProperties;
use cedarpulley_amqp::{Connection, ConnectionError, Event, Message, Role, trigger};
use cedarpulley_net::{Notifier, connect};
use cedarpulley_router::backoff::Backoff;
use cedarpulley_router::concurrency_limit::FrontState;
use cedarpulley_router::{
    Answer, Delivery, FrontIndex, IncomingInvocation, Input, Payload, Session,
};
use futures_lite::io::{ReadHalf, WriteHalf, split};
use futures_lite::{AsyncReadExt, AsyncWriteExt, FutureExt};
use hdrhistogram::Histogram;

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
    pub name: String,
    pub broker: SocketAddr,
    pub virtual_host: String,
    pub user: String,
    pub password: String,
    pub queue: String,
    pub heartbeat_s: u16,
    pub tls: Option<ClientTls>,
}

/// Histograms over all AMQP fronts, in microseconds: from taking a message to its final answer, and until
/// that answer was committed.
pub struct AnswerTimes {
    pub answered: RefCell<Histogram<u64>>,
    pub committed: RefCell<Histogram<u64>>,
}

impl Default for AnswerTimes {
    fn default() -> Self {
        // From a microsecond to ten minutes with three digits; these bounds are always valid.
        let times =
            || RefCell::new(Histogram::new_with_bounds(1, 600_000_000, 3).expect("valid bounds"));
        AnswerTimes {
            answered: times(),
            committed: times(),
        }
    }
}

/// The front of one consumed queue.
pub struct AmqpFront {
    pub ix: FrontIndex,
    source: AmqpSource,
    max_body_bytes: u64,
    context: Rc<GatewayContext>,
    times: Rc<AnswerTimes>,
    connection: RefCell<Option<Connection>>,
    life: Cell<u32>,
    granted: Cell<u32>,
    /// By delivery tag of the current connection: where its answer goes, and when it was taken.
    pending: RefCell<HashMap<u64, (AMQPProperties, Micros)>>,
    bell: Notifier,
    is_up: Cell<bool>,
    reopen_at: Cell<Option<Micros>>,
    closing: Cell<bool>,
}

impl AmqpFront {
    pub fn new(
        ix: FrontIndex,
        source: AmqpSource,
        max_body_bytes: u64,
        context: Rc<GatewayContext>,
        times: Rc<AnswerTimes>,
    ) -> Self {
        AmqpFront {
            ix,
            source,
            max_body_bytes,
            context,
            times,
            connection: RefCell::default(),
            life: Cell::new(0),
            granted: Cell::new(0),
            pending: RefCell::default(),
            bell: Notifier::default(),
            is_up: Cell::new(false),
            reopen_at: Cell::new(None),
            closing: Cell::new(false),
        }
    }

    /// The core admits this many messages at once: the prefetch.
    pub fn grant(&self, most: u32) {
        self.granted.set(most);
        if let Some(c) = self.connection.borrow_mut().as_mut() {
            c.set_prefetch(most.min(u32::from(u16::MAX)) as u16);
        }
        self.bell.notify();
    }

    /// Publishes an answer, unless its delivery belongs to an earlier connection.
    pub fn answer(&self, delivery: Delivery, answer: &Answer) {
        if delivery.incarnation != self.life.get() || !self.is_up.get() {
            return;
        }
        let pending = self.pending.borrow();
        let Some((to, taken)) = pending.get(&delivery.tag) else {
            return;
        };
        self.times
            .answered
            .borrow_mut()
            .saturating_record((self.context.clock.now() - taken).max(0) as u64);
        if let Some(c) = self.connection.borrow_mut().as_mut() {
            let (f, r) = (fate_name(answer.outcome), reason_name(answer.reason));
            let properties = trigger::answer_properties(
                to,
                f,
                r,
                None,
                answer.retry_after,
                answer.body.first_part_length,
            );
            let reply_to = to.reply_to().as_ref().map(|r| r.as_str());
            c.answer(
                delivery.tag,
                reply_to.map(|to| (to, properties, answer.body.bytes.as_ref())),
            );
        }
        self.bell.notify();
    }

    /// Acknowledges a message without an answer.
    pub fn discard(&self, delivery: Delivery) {
        if delivery.incarnation == self.life.get()
            && let Some(c) = self.connection.borrow_mut().as_mut()
        {
            c.answer(delivery.tag, None);
            self.bell.notify();
        }
    }

    /// Nothing more is delivered, and all answers are committed.
    pub fn is_drained(&self) -> bool {
        let connection = self.connection.borrow();
        !self.is_up.get()
            || connection
                .as_ref()
                .is_none_or(|c| c.has_stopped_consuming() && c.uncommitted_answers() == 0)
    }

    /// Closes the connection and does not reconnect.
    pub fn close(&self, now: Micros) {
        self.closing.set(true);
        if let Some(c) = self.connection.borrow_mut().as_mut() {
            c.close(now);
        }
        self.bell.notify();
    }

    /// Connects, consumes, and reconnects, for as long as the router runs.
    pub async fn run(self: Rc<Self>) {
        let mut backoff = Backoff::new(self.context.seed ^ u64::from(self.ix) << 32);
        while !self.closing.get() {
            let began = self.context.clock.now();
            match connect(
                self.source.broker,
                self.context.local_address,
                CONNECT_TIMEOUT,
            )
            .await
            {
                Ok(stream) => match BrokerStream::connect(stream, self.source.tls.as_ref()).await {
                    Ok(wire) => {
                        let fault = self.run_connection(wire, &mut backoff).await;
                        tracing::warn!(front = %self.source.name, cause = %fault, "connection to the broker ended");
                    }
                    Err(e) => {
                        tracing::warn!(front = %self.source.name, cause = %e, "no TLS with the broker");
                    }
                },
                Err(e) => {
                    tracing::warn!(front = %self.source.name, cause = %e, "no connection to the broker")
                }
            }
            self.connection.borrow_mut().take();
            self.set_down();
            if self.closing.get() {
                return;
            }
            let now = self.context.clock.now();
            Timer::at(
                self.context
                    .clock
                    .instant(now + backoff.next_delay(now - began)),
            )
            .await;
        }
    }

    fn set_down(&self) {
        self.pending.borrow_mut().clear();
        self.reopen_at.set(None);
        if self.is_up.replace(false) {
            self.context.feed(Input::FrontChanged {
                front: self.ix,
                state: FrontState::Down,
            });
        }
    }

    async fn run_connection(
        self: &Rc<Self>,
        wire: BrokerStream,
        backoff: &mut Backoff,
    ) -> ConnectionError {
        let login = Login {
            virtual_host: self.source.virtual_host.clone(),
            user: self.source.user.clone(),
            password: self.source.password.clone(),
            heartbeat_s: self.source.heartbeat_s,
            name: self.context.name.clone(),
            max_body: self.max_body_bytes,
        };
        let prefetch = self.granted.get().clamp(1, u32::from(u16::MAX)) as u16;
        let role = Role::Responder {
            queue: self.source.queue.clone(),
            prefetch,
        };
        *self.connection.borrow_mut() =
            Some(Connection::new(self.context.clock.now(), role, login));
        let ready_since = Cell::new(self.context.clock.now());
        let backoff = RefCell::new(backoff);
        let (mut reads, mut writes) = split(wire);
        let reading = self.read(&mut reads, &ready_since, &backoff);
        let fault = reading.or(self.write(&mut writes)).await;
        // Tells the broker why, if it still reads.
        let last = self.connection.borrow_mut().as_mut().map(|c| {
            if fault.code != 200 {
                c.close_with_error(self.context.clock.now(), &fault);
            }
            c.output(self.context.clock.now())
        });
        if let Some(bytes) = last {
            // A broker that reads nothing is not waited for.
            let told = async {
                let _ = writes.write_all(&bytes).await;
                let _ = writes.flush().await;
            };
            let timeout = async {
                Timer::after(CLOSE_TIMEOUT).await;
            };
            told.or(timeout).await;
        }
        fault
    }

    async fn read(
        self: &Rc<Self>,
        stream: &mut ReadHalf<BrokerStream>,
        ready_since: &Cell<Micros>,
        backoff: &RefCell<&mut Backoff>,
    ) -> ConnectionError {
        let mut buffer = vec![0; READ_BUFFER_BYTES];
        let mut events = Vec::new();
        loop {
            let n = match stream.read(&mut buffer).await {
                Ok(0) => return ConnectionError::new(320, "the broker closed the connection"),
                Ok(n) => n,
                Err(e) => return ConnectionError::new(320, e.to_string()),
            };
            let now = self.context.clock.now();
            let received = match self.connection.borrow_mut().as_mut() {
                Some(c) => c.receive(now, &buffer[..n], &mut events),
                None => return ConnectionError::new(320, "closed"),
            };
            for event in events.drain(..) {
                match event {
                    Event::Ready => {
                        self.life.set(self.life.get().wrapping_add(1));
                        self.is_up.set(true);
                        ready_since.set(now);
                        tracing::info!(front = %self.source.name, queue = %self.source.queue, "consuming");
                        self.context.feed(Input::FrontChanged {
                            front: self.ix,
                            state: FrontState::Up,
                        });
                    }
                    Event::Delivered(message) => self.delivered(*message),
                    Event::Committed(tags) => {
                        for tag in tags {
                            let pending = self.pending.borrow_mut().remove(&tag);
                            if let Some((_, taken)) = pending {
                                self.times
                                    .committed
                                    .borrow_mut()
                                    .saturating_record((now - taken).max(0) as u64);
                                let delivery = Delivery {
                                    front: self.ix,
                                    incarnation: self.life.get(),
                                    tag,
                                };
                                self.context.feed(Input::AnswerDelivered(delivery));
                            }
                        }
                    }
                    Event::Blocked(blocked) => {
                        tracing::warn!(front = %self.source.name, blocked, "the broker takes no publishes");
                        let state = if blocked {
                            FrontState::Blocked
                        } else {
                            FrontState::Up
                        };
                        self.context.feed(Input::FrontChanged {
                            front: self.ix,
                            state,
                        });
                    }
                    Event::ChannelLost { code, text } => {
                        tracing::warn!(front = %self.source.name, code, text, "the broker closed the channel");
                        self.set_down();
                        let wait = backoff.borrow_mut().next_delay(now - ready_since.get());
                        self.reopen_at.set(Some(now + wait));
                    }
                    Event::Cancelled => {
                        return ConnectionError::new(320, "the queue is no longer consumed");
                    }
                    Event::Closed { code, text } => return ConnectionError { code, text },
                }
            }
            if let Err(fault) = received {
                return fault;
            }
            self.bell.notify();
            // Guards against a broker that keeps sending but reads nothing: its output must not pile up here.
            while self
                .connection
                .borrow()
                .as_ref()
                .is_some_and(|c| c.unsent_bytes() > MAX_OUTPUT_BYTES)
            {
                Timer::after(std::time::Duration::from_millis(1)).await;
            }
        }
    }

    async fn write(self: &Rc<Self>, stream: &mut WriteHalf<BrokerStream>) -> ConnectionError {
        loop {
            let now = self.context.clock.now();
            let (bytes, due) = {
                let mut connection = self.connection.borrow_mut();
                let Some(c) = connection.as_mut() else {
                    return ConnectionError::new(320, "closed");
                };
                if let Err(fault) = c.tick(now) {
                    return fault;
                }
                if self.reopen_at.get().is_some_and(|at| at <= now) {
                    self.reopen_at.set(None);
                    c.reopen(now);
                }
                c.commit(now);
                (
                    c.output(now),
                    c.next_due()
                        .min(self.reopen_at.get().unwrap_or(Micros::MAX)),
                )
            };
            if !bytes.is_empty() {
                let sent = async {
                    stream.write_all(&bytes).await?;
                    stream.flush().await
                };
                if let Err(e) = sent.await {
                    return ConnectionError::new(320, e.to_string());
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
            self.bell.notified().or(due).await;
        }
    }

    fn delivered(&self, message: Message) {
        let delivery = Delivery {
            front: self.ix,
            incarnation: self.life.get(),
            tag: message.delivery_tag,
        };
        let understood = if message.oversized {
            let cause = format!("larger than {} bytes", self.max_body_bytes);
            Err(trigger::InvalidField {
                field: "body",
                cause,
            })
        } else {
            trigger::parse(&message, self.context.clock.wall_time())
                .and_then(|t| self.parse(&message, t, delivery))
        };
        match understood {
            Ok(mut taken) => {
                taken.body = Payload {
                    bytes: Bytes::from(message.body),
                    first_part_length: taken.body.first_part_length,
                };
                self.pending.borrow_mut().insert(
                    message.delivery_tag,
                    (message.properties, self.context.clock.now()),
                );
                self.context.feed(Input::MessageArrived(taken));
            }
            Err(wrong) => {
                // Never requeued: it would be delivered again for ever.
                tracing::debug!(front = %self.source.name, field = wrong.field, cause = %wrong.cause, "not understood");
                self.context.count_malformed();
                if let Some(c) = self.connection.borrow_mut().as_mut() {
                    match message
                        .properties
                        .reply_to()
                        .as_ref()
                        .map(|r| r.as_str())
                        .filter(|r| !r.is_empty())
                    {
                        Some(to) => {
                            let p = &message.properties;
                            let field = format!("{}: {}", wrong.field, wrong.cause);
                            let answer = trigger::answer_properties(
                                p,
                                "errored",
                                "not-understood",
                                Some(&field),
                                None,
                                None,
                            );
                            c.answer(message.delivery_tag, Some((to, answer, b"")));
                        }
                        None => c.reject(message.delivery_tag),
                    }
                }
            }
        }
    }

    fn parse(
        &self,
        message: &Message,
        trigger_message: trigger::TriggerMessage,
        delivery: Delivery,
    ) -> Result<IncomingInvocation, trigger::InvalidField> {
        let unknown = |field, name: &str| trigger::InvalidField {
            field,
            cause: format!("'{name}' is unknown"),
        };
        let trigger = self
            .context
            .names
            .trigger_index(&trigger_message.trigger_type)
            .ok_or_else(|| unknown("type", &trigger_message.trigger_type))?;
        let account = self
            .context
            .names
            .account_index(trigger_message.account.as_deref())
            .ok_or_else(|| unknown("app-id", trigger_message.account.as_deref().unwrap_or("")))?;
        let identity: Option<Arc<str>> = trigger_message.identity.map(Arc::from);
        Ok(IncomingInvocation {
            delivery,
            name: identity.clone(),
            identity,
            redelivered: message.redelivered,
            client_retry: trigger_message.repeat,
            trigger,
            account,
            function: Arc::from(trigger_message.function),
            idempotency_key: trigger_message.idempotency_key.map(Arc::from),
            waited: trigger_message.waited_us,
            client_timeout: trigger_message.client_timeout_us.unwrap_or(Micros::MAX / 8),
            cost_hint: trigger_message.cost_hint_us,
            load_hint: trigger_message.load_hint_us,
            copy_mb: trigger_message.copy_mb,
            lanes: trigger_message.lanes,
            session: trigger_message.session.map(|(id, start, end)| Session {
                id: Arc::from(id),
                is_first: start,
                is_last: end,
            }),
            requested_function: None,
            preferred_worker: None,
            predetermined_answer: None,
            body: Payload {
                bytes: Bytes::new(),
                first_part_length: trigger_message.first_part,
            },
        })
    }
}
