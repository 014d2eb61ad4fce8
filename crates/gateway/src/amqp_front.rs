//! The AMQP front: one connection for each consumed queue. It converts messages into requests for the core, and
//! final answers into messages. The connection's state machine is in `cedarpulley_amqp::connection`;
//! [`amqp_messages`](crate::amqp_messages) parses messages.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;

use async_io::Timer;
use cedarpulley::interface::Micros;
use cedarpulley_amqp::protocol::basic::AMQPProperties;
use cedarpulley_amqp::{Connection, trigger};
use cedarpulley_net::{FairStream, Notifier, connect};
use cedarpulley_router::backoff::Backoff;
use cedarpulley_router::concurrency_limit::FrontState;
use cedarpulley_router::{Answer, Delivery, FrontIndex, Input};

use crate::answer_times::AnswerTimes;
use crate::context::GatewayContext;
use crate::outcome_names::{outcome_name, reason_name};
use crate::tls::{BrokerStream, ClientTls};
use broker_session::BrokerSession;

mod broker_session;

/// Time limit for connecting to a broker, in microseconds.
const CONNECT_TIMEOUT: Micros = 2_000_000;

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
    /// TLS configuration, if the connection uses TLS.
    pub tls: Option<ClientTls>,
}

/// A received message whose answer is not yet committed by the broker.
struct PendingAnswer {
    /// Properties of the message, which contain the reply queue.
    properties: AMQPProperties,
    received_at: Micros,
}

/// The front of one consumed queue.
pub struct AmqpFront {
    index: FrontIndex,
    source: AmqpSource,
    max_body_bytes: u64,
    context: Rc<GatewayContext>,
    times: Rc<AnswerTimes>,
    connection: RefCell<Option<Connection>>,
    /// Number of channels opened so far; delivery tags are unique within one channel.
    incarnation: Cell<u32>,
    /// Number of messages that the core admits at once.
    granted: Cell<u32>,
    /// Unanswered messages by delivery tag of the current channel.
    pending: RefCell<HashMap<u64, PendingAnswer>>,
    /// Wakes the task that writes to the connection when there may be output.
    output_ready: Notifier,
    /// Whether the queue is being consumed.
    is_up: Cell<bool>,
    /// When to reopen the channel, if the broker has closed it.
    reopen_at: Cell<Option<Micros>>,
    /// Whether the router is shutting down, so that the connection is not reopened.
    closing: Cell<bool>,
}

impl AmqpFront {
    /// Creates the front with this index; it is idle until [`run`](Self::run) is called.
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
            output_ready: Notifier::default(),
            is_up: Cell::new(false),
            reopen_at: Cell::new(None),
            closing: Cell::new(false),
        }
    }

    /// Sets how many messages the core admits at once; used as the prefetch count.
    pub fn grant(&self, limit: u32) {
        self.granted.set(limit);
        if let Some(connection) = self.connection.borrow_mut().as_mut() {
            connection.set_prefetch(limit.min(u32::from(u16::MAX)) as u16);
        }
        self.output_ready.notify();
    }

    /// Publishes an answer, unless its delivery belongs to an earlier channel.
    pub fn answer(&self, delivery: Delivery, answer: &Answer) {
        if delivery.incarnation != self.incarnation.get() || !self.is_up.get() {
            return;
        }
        let pending = self.pending.borrow();
        let Some(PendingAnswer {
            properties,
            received_at,
        }) = pending.get(&delivery.tag)
        else {
            return;
        };
        self.times
            .record_answered(self.context.clock.now() - received_at);
        if let Some(connection) = self.connection.borrow_mut().as_mut() {
            let (outcome, reason) = (outcome_name(answer.outcome), reason_name(answer.reason));
            let answer_properties = trigger::answer_properties(
                properties,
                outcome,
                reason,
                None,
                answer.retry_after,
                answer.body.first_part_length,
            );
            let reply_to = properties.reply_to().as_ref().map(|queue| queue.as_str());
            connection.answer(
                delivery.tag,
                reply_to.map(|queue| (queue, answer_properties, answer.body.bytes.as_ref())),
            );
        }
        self.output_ready.notify();
    }

    /// Acknowledges a message without an answer.
    pub fn discard(&self, delivery: Delivery) {
        if delivery.incarnation == self.incarnation.get()
            && let Some(connection) = self.connection.borrow_mut().as_mut()
        {
            connection.answer(delivery.tag, None);
            self.output_ready.notify();
        }
    }

    /// Returns whether no more messages are delivered and all answers are committed.
    pub fn is_drained(&self) -> bool {
        let connection = self.connection.borrow();
        !self.is_up.get()
            || connection.as_ref().is_none_or(|connection| {
                connection.has_stopped_consuming() && connection.uncommitted_answers() == 0
            })
    }

    /// Closes the connection and does not reconnect.
    pub fn close(&self, now: Micros) {
        self.closing.set(true);
        if let Some(connection) = self.connection.borrow_mut().as_mut() {
            connection.close(now);
        }
        self.output_ready.notify();
    }

    /// Connects, consumes and reconnects until the front is closed.
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
            Timer::at(
                self.context
                    .clock
                    .instant(now + backoff.next_delay(now - began)),
            )
            .await;
        }
    }

    async fn connect_and_consume(&self, backoff: &mut Backoff) {
        let (broker, local_address) = (self.source.broker, self.context.local_address);
        let stream = match connect(broker, local_address, CONNECT_TIMEOUT).await {
            Ok(stream) => stream,
            Err(error) => {
                tracing::warn!(front = %self.source.name, cause = %error, "connecting to the broker failed");
                return;
            }
        };
        let stream = FairStream::new(stream);
        match BrokerStream::connect(stream, self.source.tls.as_ref()).await {
            Ok(stream) => {
                let fault = BrokerSession::run(self, stream, backoff).await;
                tracing::warn!(front = %self.source.name, cause = %fault, "connection to the broker ended");
            }
            Err(error) => {
                tracing::warn!(front = %self.source.name, cause = %error, "TLS handshake with the broker failed");
            }
        }
    }

    fn set_state(&self, state: FrontState) {
        self.context.feed(Input::FrontChanged {
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

    fn delivery(&self, tag: u64) -> Delivery {
        Delivery {
            front: self.index,
            incarnation: self.incarnation.get(),
            tag,
        }
    }
}
