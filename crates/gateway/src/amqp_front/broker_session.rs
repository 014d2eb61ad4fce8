//! One connection of an AMQP front to its broker: reads, handles and writes frames until the connection ends.

use std::cell::{Cell, RefCell};

use async_io::Timer;
use bytes::Bytes;
use cedarpulley::interface::Micros;
use cedarpulley_amqp::connection::Login;
use cedarpulley_amqp::{Connection, ConnectionError, Event, Message, Role, trigger};
use cedarpulley_net::LoopShare;
use cedarpulley_router::Input;
use cedarpulley_router::backoff::Backoff;
use cedarpulley_router::concurrency_limit::FrontState;
use futures_lite::io::{ReadHalf, WriteHalf, split};
use futures_lite::{AsyncReadExt, AsyncWriteExt, FutureExt};

use super::{AmqpFront, PendingAnswer};
use crate::amqp_messages;
use crate::tls::BrokerStream;

/// Reply code of a connection that ends for a reason outside the protocol.
const CONNECTION_FORCED: u16 = 320;
/// Reply code of a connection that was closed normally.
const REPLY_SUCCESS: u16 = 200;
const READ_BUFFER_BYTES: usize = 16 * 1024;
/// Time limit for writing the last frames: a broker that reads nothing must not delay the shutdown.
const CLOSE_TIMEOUT: std::time::Duration = std::time::Duration::from_millis(500);
/// Limit on buffered output for a broker that reads slowly; above it, reading from the broker pauses.
const MAX_OUTPUT_BYTES: usize = 4 * 1024 * 1024;

/// A front while it is connected.
pub(super) struct BrokerSession<'a> {
    front: &'a AmqpFront,
    /// When consuming last began; until then, when the connection was established.
    ready_since: Cell<Micros>,
    /// Delays before the channel is reopened; they grow until the queue has been consumed for a while.
    backoff: RefCell<&'a mut Backoff>,
}

impl<'a> BrokerSession<'a> {
    /// Consumes the queue over one connection until it ends; returns why it ended.
    pub(super) async fn run(
        front: &'a AmqpFront,
        stream: BrokerStream,
        backoff: &'a mut Backoff,
    ) -> ConnectionError {
        let login = Login {
            virtual_host: front.source.virtual_host.clone(),
            user: front.source.user.clone(),
            password: front.source.password.clone(),
            heartbeat_s: front.source.heartbeat_s,
            name: front.context.name.clone(),
            max_body: front.max_body_bytes,
        };
        let prefetch = front.granted.get().clamp(1, u32::from(u16::MAX)) as u16;
        let role = Role::Responder {
            queue: front.source.queue.clone(),
            prefetch,
        };
        *front.connection.borrow_mut() =
            Some(Connection::new(front.context.clock.now(), role, login));
        let session = BrokerSession {
            front,
            ready_since: Cell::new(front.context.clock.now()),
            backoff: RefCell::new(backoff),
        };
        let (mut reader, mut writer) = split(stream);
        let fault = session
            .read(&mut reader)
            .or(session.write(&mut writer))
            .await;
        session.write_last_frames(&mut writer, &fault).await;
        fault
    }

    /// Sends the reason for closing to the broker, and gives up after [`CLOSE_TIMEOUT`] if the broker does not read.
    async fn write_last_frames(
        &self,
        stream: &mut WriteHalf<BrokerStream>,
        fault: &ConnectionError,
    ) {
        let last = self
            .front
            .connection
            .borrow_mut()
            .as_mut()
            .map(|connection| {
                if fault.code != REPLY_SUCCESS {
                    connection.close_with_error(self.front.context.clock.now(), fault);
                }
                connection.output(self.front.context.clock.now())
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
    async fn read(&self, stream: &mut ReadHalf<BrokerStream>) -> ConnectionError {
        let mut buffer = vec![0; READ_BUFFER_BYTES];
        let mut events = Vec::new();
        let mut share = LoopShare::default();
        loop {
            let length = match stream.read(&mut buffer).await {
                Ok(0) => {
                    return ConnectionError::new(
                        CONNECTION_FORCED,
                        "the broker closed the connection",
                    );
                }
                Ok(length) => length,
                Err(error) => return ConnectionError::new(CONNECTION_FORCED, error.to_string()),
            };
            let now = self.front.context.clock.now();
            let received = match self.front.connection.borrow_mut().as_mut() {
                Some(connection) => connection.receive(now, &buffer[..length], &mut events),
                None => return ConnectionError::new(CONNECTION_FORCED, "closed"),
            };
            for event in events.drain(..) {
                if let Err(fault) = self.handle_event(now, event) {
                    return fault;
                }
                share.step().await;
            }
            if let Err(fault) = received {
                return fault;
            }
            self.front.output_ready.notify();
            // Output for a broker that keeps sending but does not read must not grow without bound.
            while self
                .front
                .connection
                .borrow()
                .as_ref()
                .is_some_and(|connection| connection.unsent_bytes() > MAX_OUTPUT_BYTES)
            {
                Timer::after(std::time::Duration::from_millis(1)).await;
            }
        }
    }

    /// Handles one event of the connection; an error ends the connection.
    fn handle_event(&self, now: Micros, event: Event) -> Result<(), ConnectionError> {
        let front = self.front.source.name.as_str();
        match event {
            Event::Ready => {
                self.front
                    .incarnation
                    .set(self.front.incarnation.get().wrapping_add(1));
                self.front.is_up.set(true);
                self.ready_since.set(now);
                tracing::info!(front, queue = %self.front.source.queue, "consuming the queue");
                self.front.set_state(FrontState::Up);
            }
            Event::Delivered(message) => self.handle_message(*message),
            Event::Withdrawn { delivery_tag } => self.withdraw(delivery_tag),
            Event::Committed(tags) => tags.into_iter().for_each(|tag| self.committed(now, tag)),
            Event::Blocked(true) => {
                tracing::warn!(front, blocked = true, "the broker blocked publishing");
                self.front.set_state(FrontState::Blocked);
            }
            Event::Blocked(false) => {
                tracing::warn!(front, blocked = false, "the broker unblocked publishing");
                self.front.set_state(FrontState::Up);
            }
            Event::ChannelLost { code, text } => {
                tracing::warn!(front, code, text, "the broker closed the channel");
                self.front.set_down();
                self.front.reopen_at.set(Some(now + self.reopen_delay(now)));
            }
            Event::Cancelled => {
                return Err(ConnectionError::new(
                    CONNECTION_FORCED,
                    "the queue is no longer consumed",
                ));
            }
            Event::Closed { code, text } => return Err(ConnectionError { code, text }),
        }
        Ok(())
    }

    /// Notifies the core that the answer to this delivery is not awaited any more, unless it has been committed.
    fn withdraw(&self, tag: u64) {
        if self.front.pending.borrow_mut().remove(&tag).is_some() {
            self.front
                .context
                .feed(Input::ClientLeft(self.front.delivery(tag)));
        }
    }

    /// Notifies the core that the broker has committed the answer to this delivery, so that the core can drop the
    /// request.
    fn committed(&self, now: Micros, tag: u64) {
        let pending = self.front.pending.borrow_mut().remove(&tag);
        if let Some(pending) = pending {
            self.front.times.record_committed(now - pending.received_at);
            self.front
                .context
                .feed(Input::AnswerDelivered(self.front.delivery(tag)));
        }
    }

    /// Writes output and handles due timers until the connection ends.
    async fn write(&self, stream: &mut WriteHalf<BrokerStream>) -> ConnectionError {
        loop {
            let now = self.front.context.clock.now();
            let (bytes, due) = {
                let mut connection = self.front.connection.borrow_mut();
                let Some(connection) = connection.as_mut() else {
                    return ConnectionError::new(CONNECTION_FORCED, "closed");
                };
                if let Err(fault) = connection.tick(now) {
                    return fault;
                }
                if self.front.reopen_at.get().is_some_and(|at| at <= now) {
                    self.front.reopen_at.set(None);
                    connection.reopen(now);
                }
                connection.commit(now);
                (
                    connection.output(now),
                    connection
                        .next_due()
                        .min(self.front.reopen_at.get().unwrap_or(Micros::MAX)),
                )
            };
            if !bytes.is_empty() {
                let sent = async {
                    stream.write_all(&bytes).await?;
                    stream.flush().await
                };
                if let Err(error) = sent.await {
                    return ConnectionError::new(CONNECTION_FORCED, error.to_string());
                }
                continue;
            }
            let due = async {
                match due {
                    Micros::MAX => std::future::pending().await,
                    due => {
                        Timer::at(self.front.context.clock.instant(due)).await;
                    }
                }
            };
            self.front.output_ready.notified().or(due).await;
        }
    }

    fn handle_message(&self, message: Message) {
        let delivery = self.front.delivery(message.delivery_tag);
        match amqp_messages::parse(
            &message,
            delivery,
            &self.front.context,
            self.front.max_body_bytes,
        ) {
            Ok(mut invocation) => {
                invocation.body.bytes = Bytes::from(message.body);
                let pending = PendingAnswer {
                    properties: message.properties,
                    received_at: self.front.context.clock.now(),
                };
                self.front
                    .pending
                    .borrow_mut()
                    .insert(message.delivery_tag, pending);
                self.front.context.feed(Input::MessageArrived(invocation));
            }
            Err(malformed) => self.reject_malformed(&message, &malformed),
        }
    }

    /// Answers a malformed message with an error, or rejects it if it has no reply queue. It is never requeued, as the
    /// broker would deliver it again forever.
    fn reject_malformed(&self, message: &Message, malformed: &trigger::InvalidField) {
        tracing::debug!(front = %self.front.source.name, field = malformed.field, cause = %malformed.cause, "malformed message");
        self.front.context.count_malformed();
        let mut connection = self.front.connection.borrow_mut();
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
                let answer = trigger::answer_properties(
                    properties,
                    "errored",
                    "not-understood",
                    Some(&cause),
                    None,
                    None,
                );
                connection.answer(message.delivery_tag, Some((queue, answer, b"")));
            }
            None => connection.reject(message.delivery_tag),
        }
    }

    fn reopen_delay(&self, now: Micros) -> Micros {
        self.backoff
            .borrow_mut()
            .next_delay(now - self.ready_since.get())
    }
}
