//! One connection to a broker with one channel on it. The owner of the socket calls [`Connection::receive`] with
//! what came, [`Connection::tick`] at [`Connection::next_due`], and sends what [`Connection::output`] holds.
//!
//! One channel a connection, as `basic.qos` with its global flag then means the same to every broker, whichever
//! way it reads that flag (see docs/design/amqp.md). An answer and the acknowledgement of its trigger go out in one
//! transaction, so no dropped channel can leave one without the other; transactions are batched: while one is on
//! its way, further answers gather for the next.

use amq_protocol::frame::AMQPFrame;
use amq_protocol::protocol::basic::{self, AMQPProperties};
use amq_protocol::protocol::{AMQPClass, channel, connection, queue, tx};
use amq_protocol::types::{AMQPValue, FieldTable, LongString, ShortString};
use cedarpulley_errors::Remedy;
use thiserror::Error;

use crate::Broken;
use crate::frames::{LEAST_FRAME, Reader, write, write_message, write_method};

pub type Micros = i64;

const CHANNEL: u16 = 1;
/// The largest frame asked for; larger messages come in several.
const FRAME_MAX: u32 = 128 * 1024;
/// A reply code of the specification.
const REPLY_SUCCESS: u16 = 200;
/// Dead after so many heartbeat times without a byte, as the specification has it.
const DEAD_AFTER: Micros = 2;
/// From the first byte to consuming; a broker that only trickles is left.
const HANDSHAKE: Micros = 5_000_000;
/// A reply to close or commit is waited for no longer.
const REPLY_WITHIN: Micros = 5_000_000;

/// The connection cannot go on, by this side's word or the broker's; `code` as in the specification's reply codes.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("{text} ({code})")]
pub struct Fault {
    pub code: u16,
    pub text: String,
}

impl Fault {
    pub fn new(code: u16, text: impl Into<String>) -> Self {
        Fault {
            code,
            text: text.into(),
        }
    }
}

impl Remedy for Fault {
    fn remedy(&self) -> &'static str {
        match self.code {
            REPLY_SUCCESS => "nothing: it ended in good order",
            403 => "let user, password and the user's rights at the broker fit the settings",
            404 => "declare the queue at the broker, or mend its name in the settings",
            402 | 530 => "declare the virtual host at the broker, or mend its name in the settings",
            405 | 406 => "let the queue be as the settings say; another may have it for itself",
            501..=505 => "see what stands between router and broker, and report it: a peer errs",
            _ => "see the broker's log; it is tried again by itself",
        }
    }
}

#[derive(Clone, Debug)]
pub enum Role {
    /// Consumes a queue, acknowledges, answers in transactions.
    Answers { queue: String, prefetch: u16 },
    /// Publishes, and consumes without acknowledging from a queue of its own that it declares.
    Calls { reply_queue: String },
}

/// How to introduce oneself.
#[derive(Clone, Debug)]
pub struct Login {
    pub virtual_host: String,
    pub user: String,
    pub password: String,
    /// Seconds; the lower of both sides' counts. 0 leaves it to the broker.
    pub heartbeat_s: u16,
    /// Told to the broker as the client's name.
    pub name: String,
    /// Bodies beyond are not kept.
    pub most_body: u64,
}

#[derive(Clone, Debug, PartialEq)]
pub struct Message {
    pub tag: u64,
    pub redelivered: bool,
    pub routing_key: String,
    pub properties: AMQPProperties,
    pub body: Vec<u8>,
    /// The body was beyond the bound and was let pass unread.
    pub oversized: bool,
}

#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// The channel stands: a new life of it begins.
    Ready,
    Delivered(Box<Message>),
    /// The answers to these deliveries are out for good.
    Committed(Vec<u64>),
    /// The broker reads no more publishes (true) or does again.
    Blocked(bool),
    /// The broker closed the channel; all deliveries of this life are void.
    ChannelLost {
        code: u16,
        text: String,
    },
    /// The broker no longer delivers from the queue.
    Cancelled,
    /// The connection ended in good order.
    Closed {
        code: u16,
        text: String,
    },
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Stage {
    AwaitStart,
    AwaitTune,
    AwaitOpen,
    AwaitChannel,
    AwaitSelect,
    AwaitDeclare,
    AwaitQos,
    AwaitConsume,
    Ready,
    /// The broker closed the channel; the owner says when to open it again.
    NoChannel,
    Closing,
    Closed,
}

#[derive(Debug)]
struct Incoming {
    tag: u64,
    redelivered: bool,
    routing_key: String,
    header: Option<(u64, AMQPProperties)>,
    got: u64,
    body: Vec<u8>,
}

#[derive(Debug)]
pub struct Connection {
    role: Role,
    login: Login,
    stage: Stage,
    reader: Reader,
    frame_max: u32,
    heartbeat: Micros,
    began: Micros,
    heard: Micros,
    spoke: Micros,
    out: Vec<u8>,
    incoming: Option<Incoming>,
    blocked: bool,
    prefetch: u16,
    consuming: bool,
    /// Told to stop consuming; deliveries may still be on their way.
    cancelling: bool,
    batch: Vec<u8>,
    batch_tags: Vec<u64>,
    committing: Vec<u64>,
    waiting_since: Option<Micros>,
}

fn out_of_turn(what: impl Into<String>) -> Broken {
    Broken::OutOfTurn { what: what.into() }
}

fn short(text: &str) -> ShortString {
    // Values come from settings that were checked, or from short strings that arrived.
    ShortString::try_new(text).unwrap_or_default()
}

impl Connection {
    pub fn new(now: Micros, role: Role, login: Login) -> Self {
        let prefetch = if let Role::Answers { prefetch, .. } = &role {
            (*prefetch).max(1)
        } else {
            0
        };
        let mut out = Vec::new();
        let version = amq_protocol::frame::ProtocolVersion::amqp_0_9_1();
        write(&mut out, &AMQPFrame::ProtocolHeader(version));
        Connection {
            role,
            login,
            stage: Stage::AwaitStart,
            reader: Reader::new(LEAST_FRAME),
            frame_max: LEAST_FRAME,
            heartbeat: 0,
            began: now,
            heard: now,
            spoke: now,
            out,
            incoming: None,
            blocked: false,
            prefetch,
            consuming: false,
            cancelling: false,
            batch: Vec::new(),
            batch_tags: Vec::new(),
            committing: Vec::new(),
            waiting_since: None,
        }
    }

    pub fn is_ready(&self) -> bool {
        self.stage == Stage::Ready
    }

    /// Nothing is delivered any more, and nothing is on its way.
    pub fn is_quiet(&self) -> bool {
        !self.consuming && !self.cancelling
    }

    /// Answers that are not safe yet: gathered or on their way.
    pub fn unsafe_answers(&self) -> usize {
        self.batch_tags.len() + self.committing.len()
    }

    /// What is to be sent, taken out.
    pub fn output(&mut self, now: Micros) -> Vec<u8> {
        if !self.out.is_empty() {
            self.spoke = now;
        }
        std::mem::take(&mut self.out)
    }

    /// Bytes that wait to be sent.
    pub fn waiting(&self) -> usize {
        self.out.len() + self.batch.len()
    }

    pub fn receive(
        &mut self,
        now: Micros,
        bytes: &[u8],
        events: &mut Vec<Event>,
    ) -> Result<(), Fault> {
        self.heard = now;
        self.reader.feed(bytes);
        while let Some(frame) = self.reader.next_frame()? {
            self.frame(now, frame, events)?;
        }
        Ok(())
    }

    /// Heartbeats, and peers that fell silent.
    pub fn tick(&mut self, now: Micros) -> Result<(), Fault> {
        if !matches!(self.stage, Stage::Ready | Stage::NoChannel) && now - self.began >= HANDSHAKE {
            return Err(Broken::Stuck.into());
        }
        if self.waiting_since.is_some_and(|t| now - t >= REPLY_WITHIN) && !self.blocked {
            return Err(Broken::NoReply.into());
        }
        if self.heartbeat > 0 {
            if now - self.heard >= DEAD_AFTER * self.heartbeat {
                return Err(Broken::Silent.into());
            }
            if now - self.spoke >= self.heartbeat / 2 {
                write(&mut self.out, &AMQPFrame::Heartbeat);
                self.spoke = now;
            }
        }
        Ok(())
    }

    pub fn next_due(&self) -> Micros {
        let handshake = match self.stage {
            Stage::Ready | Stage::NoChannel => Micros::MAX,
            _ => self.began + HANDSHAKE,
        };
        let beat = match self.heartbeat {
            0 => Micros::MAX,
            h => (self.spoke + h / 2).min(self.heard + DEAD_AFTER * h),
        };
        let reply = self.waiting_since.map_or(Micros::MAX, |t| t + REPLY_WITHIN);
        handshake
            .min(beat)
            .min(if self.blocked { Micros::MAX } else { reply })
    }

    /// How many deliveries may be out; 0 stops consuming altogether.
    pub fn set_prefetch(&mut self, most: u16) {
        let Role::Answers { queue, .. } = &self.role else {
            return;
        };
        let queue = short(queue);
        if most > 0 {
            self.prefetch = most;
        }
        if self.stage != Stage::Ready {
            return;
        }
        if most == 0 && self.consuming {
            self.consuming = false;
            self.cancelling = true;
            let cancel = basic::Cancel {
                consumer_tag: short("cedarpulley"),
                nowait: false,
            };
            self.method(AMQPClass::Basic(basic::AMQPMethod::Cancel(cancel)));
        } else if most > 0 {
            let qos = basic::Qos {
                prefetch_count: most,
                global: true,
            };
            self.method(AMQPClass::Basic(basic::AMQPMethod::Qos(qos)));
            if !self.consuming {
                self.consume(queue, false);
            }
        }
    }

    /// Takes a trigger out of the way together with its answer, if it gets one: both or neither. Void where the channel
    /// does not stand. Symptom: with the news of a lost channel came a message or a commit, which was heard first and
    /// had something answered; that went out on the next channel, while another consumer had the message again.
    pub fn answer(&mut self, tag: u64, answer: Option<(&str, AMQPProperties, &[u8])>) {
        if self.stage != Stage::Ready {
            return;
        }
        if let Some((reply_to, properties, body)) = answer {
            let publish = basic::AMQPMethod::Publish(basic::Publish {
                exchange: short(""),
                routing_key: short(reply_to),
                mandatory: false,
                immediate: false,
            });
            write_message(
                &mut self.batch,
                CHANNEL,
                publish,
                properties,
                body,
                self.frame_max,
            );
        }
        let ack = basic::AMQPMethod::Ack(basic::Ack {
            delivery_tag: tag,
            multiple: false,
        });
        write_method(&mut self.batch, CHANNEL, AMQPClass::Basic(ack));
        self.batch_tags.push(tag);
    }

    /// To the dead-letter path, never back into the queue.
    pub fn reject(&mut self, tag: u64) {
        if self.stage != Stage::Ready {
            return;
        }
        let reject = basic::AMQPMethod::Reject(basic::Reject {
            delivery_tag: tag,
            requeue: false,
        });
        write_method(&mut self.batch, CHANNEL, AMQPClass::Basic(reject));
        self.batch_tags.push(tag);
    }

    /// Sends what has gathered, unless a transaction is on its way. Call it after a batch of answers.
    pub fn commit(&mut self, now: Micros) {
        let idle = self.committing.is_empty() && !self.blocked;
        if self.stage != Stage::Ready || !idle || self.batch_tags.is_empty() {
            return;
        }
        self.out.append(&mut self.batch);
        self.committing = std::mem::take(&mut self.batch_tags);
        self.waiting_since = Some(now);
        self.method(AMQPClass::Tx(tx::AMQPMethod::Commit(tx::Commit {})));
    }

    /// As a client: sends a trigger. False while the broker is blocked or the channel does not stand.
    pub fn publish(&mut self, queue: &str, properties: AMQPProperties, body: &[u8]) -> bool {
        if self.stage != Stage::Ready || self.blocked {
            return false;
        }
        let publish = basic::AMQPMethod::Publish(basic::Publish {
            exchange: short(""),
            routing_key: short(queue),
            mandatory: false,
            immediate: false,
        });
        write_message(
            &mut self.out,
            CHANNEL,
            publish,
            properties,
            body,
            self.frame_max,
        );
        true
    }

    /// After [`Event::ChannelLost`]: opens the channel again.
    pub fn reopen(&mut self, now: Micros) {
        if self.stage == Stage::NoChannel {
            self.open_channel();
            self.began = now;
        }
    }

    /// Ends the connection in good order; [`Event::Closed`] follows.
    pub fn close(&mut self, now: Micros) {
        if matches!(self.stage, Stage::Closing | Stage::Closed) {
            return;
        }
        self.send_close(now, REPLY_SUCCESS, "done");
    }

    /// Tells the broker why the connection ends.
    pub fn fail(&mut self, now: Micros, fault: &Fault) {
        self.send_close(now, fault.code, &fault.text);
    }

    fn send_close(&mut self, now: Micros, code: u16, text: &str) {
        let text: String = text.chars().take(80).collect();
        let close = connection::Close {
            reply_code: code,
            reply_text: short(&text),
            class_id: 0,
            method_id: 0,
        };
        let close = AMQPClass::Connection(connection::AMQPMethod::Close(close));
        write_method(&mut self.out, 0, close);
        self.stage = Stage::Closing;
        self.began = now;
    }

    fn method(&mut self, method: AMQPClass) {
        write_method(&mut self.out, CHANNEL, method);
    }

    fn open_channel(&mut self) {
        self.method(AMQPClass::Channel(channel::AMQPMethod::Open(
            channel::Open {},
        )));
        self.stage = Stage::AwaitChannel;
    }

    fn consume(&mut self, queue: ShortString, no_ack: bool) {
        let consume = basic::Consume {
            queue,
            consumer_tag: short("cedarpulley"),
            no_local: false,
            no_ack,
            exclusive: false,
            nowait: false,
            arguments: FieldTable::default(),
        };
        self.method(AMQPClass::Basic(basic::AMQPMethod::Consume(consume)));
        self.consuming = true;
    }

    /// All that belonged to the channel is void.
    fn channel_gone(&mut self) {
        self.incoming = None;
        self.batch.clear();
        self.batch_tags.clear();
        self.committing.clear();
        self.waiting_since = None;
        self.consuming = false;
        self.cancelling = false;
    }

    fn frame(
        &mut self,
        now: Micros,
        frame: AMQPFrame,
        events: &mut Vec<Event>,
    ) -> Result<(), Broken> {
        match frame {
            AMQPFrame::Heartbeat => Ok(()),
            AMQPFrame::Method(0, AMQPClass::Connection(method)) => {
                self.connection_method(now, method, events)
            }
            // After the channel was lost or on closing, what was still on its way is let pass.
            _ if matches!(
                self.stage,
                Stage::NoChannel | Stage::Closing | Stage::Closed
            ) =>
            {
                Ok(())
            }
            AMQPFrame::Method(CHANNEL, method) => self.channel_method(now, method, events),
            AMQPFrame::Header(CHANNEL, header) => {
                self.header(header.body_size, header.properties, events)
            }
            AMQPFrame::Body(CHANNEL, part) => self.body(&part, events),
            AMQPFrame::Method(..)
            | AMQPFrame::Header(..)
            | AMQPFrame::Body(..)
            | AMQPFrame::InvalidHeartbeat(_)
            | AMQPFrame::ProtocolHeader(_) => {
                Err(out_of_turn("a frame on a channel that was not opened"))
            }
        }
    }

    fn connection_method(
        &mut self,
        now: Micros,
        method: connection::AMQPMethod,
        events: &mut Vec<Event>,
    ) -> Result<(), Broken> {
        use connection::AMQPMethod as M;
        let reply = |m: M| AMQPClass::Connection(m);
        match (self.stage, method) {
            (Stage::AwaitStart, M::Start(start)) => {
                let mechanisms = String::from_utf8_lossy(start.mechanisms.as_bytes()).into_owned();
                if !mechanisms.split(' ').any(|m| m == "PLAIN") {
                    return Err(Broken::NoPlain);
                }
                let mut properties = FieldTable::default();
                let text = |s: &str| AMQPValue::LongString(LongString::from(s));
                properties.insert(short("product"), text("cedarpulley"));
                properties.insert(short("connection_name"), text(&self.login.name));
                let mut capabilities = FieldTable::default();
                for name in ["connection.blocked", "consumer_cancel_notify"] {
                    capabilities.insert(short(name), AMQPValue::Boolean(true));
                }
                properties.insert(short("capabilities"), AMQPValue::FieldTable(capabilities));
                let response = format!("\0{}\0{}", self.login.user, self.login.password);
                let ok = connection::StartOk {
                    client_properties: properties,
                    mechanism: short("PLAIN"),
                    response: LongString::from(response),
                    locale: short("en_US"),
                };
                write_method(&mut self.out, 0, reply(M::StartOk(ok)));
                self.stage = Stage::AwaitTune;
            }
            (Stage::AwaitTune, M::Tune(tune)) => {
                // 0 means no limit; otherwise the lower of both.
                self.frame_max = match tune.frame_max {
                    0 => FRAME_MAX,
                    most => most.clamp(LEAST_FRAME, FRAME_MAX),
                };
                let heartbeat = match (tune.heartbeat, self.login.heartbeat_s) {
                    (0, own) => own,
                    (theirs, 0) => theirs,
                    (theirs, own) => theirs.min(own),
                };
                self.heartbeat = Micros::from(heartbeat) * 1_000_000;
                self.reader.limit(self.frame_max);
                let ok = connection::TuneOk {
                    channel_max: 1,
                    frame_max: self.frame_max,
                    heartbeat,
                };
                write_method(&mut self.out, 0, reply(M::TuneOk(ok)));
                let open = connection::Open {
                    virtual_host: short(&self.login.virtual_host),
                };
                write_method(&mut self.out, 0, reply(M::Open(open)));
                self.stage = Stage::AwaitOpen;
            }
            (Stage::AwaitOpen, M::OpenOk(_)) => self.open_channel(),
            (_, M::Close(close)) => {
                write_method(&mut self.out, 0, reply(M::CloseOk(connection::CloseOk {})));
                self.channel_gone();
                self.stage = Stage::Closed;
                let text = close.reply_text.as_str().to_owned();
                events.push(Event::Closed {
                    code: close.reply_code,
                    text,
                });
            }
            (Stage::Closing, M::CloseOk(_)) => {
                self.channel_gone();
                self.stage = Stage::Closed;
                events.push(Event::Closed {
                    code: REPLY_SUCCESS,
                    text: "closed".into(),
                });
            }
            (Stage::Closing | Stage::Closed, _) => {}
            (_, M::Blocked(_)) => {
                self.blocked = true;
                events.push(Event::Blocked(true));
            }
            (_, M::Unblocked(_)) => {
                self.blocked = false;
                self.waiting_since = self.waiting_since.map(|_| now);
                events.push(Event::Blocked(false));
                self.commit(now);
            }
            (stage, _) => {
                return Err(out_of_turn(format!("a method while {stage:?}")));
            }
        }
        Ok(())
    }

    fn channel_method(
        &mut self,
        now: Micros,
        method: AMQPClass,
        events: &mut Vec<Event>,
    ) -> Result<(), Broken> {
        use basic::AMQPMethod as B;
        match (self.stage, method) {
            (_, AMQPClass::Channel(channel::AMQPMethod::Close(close))) => {
                let ok = AMQPClass::Channel(channel::AMQPMethod::CloseOk(channel::CloseOk {}));
                self.method(ok);
                self.channel_gone();
                self.stage = Stage::NoChannel;
                let text = close.reply_text.as_str().to_owned();
                events.push(Event::ChannelLost {
                    code: close.reply_code,
                    text,
                });
            }
            (Stage::AwaitChannel, AMQPClass::Channel(channel::AMQPMethod::OpenOk(_))) => {
                match &self.role {
                    Role::Answers { .. } => {
                        self.method(AMQPClass::Tx(tx::AMQPMethod::Select(tx::Select {})));
                        self.stage = Stage::AwaitSelect;
                    }
                    Role::Calls { reply_queue } => {
                        let declare = queue::Declare {
                            queue: short(reply_queue),
                            passive: false,
                            durable: false,
                            exclusive: false,
                            auto_delete: false,
                            nowait: false,
                            arguments: FieldTable::default(),
                        };
                        self.method(AMQPClass::Queue(queue::AMQPMethod::Declare(declare)));
                        self.stage = Stage::AwaitDeclare;
                    }
                }
            }
            (Stage::AwaitSelect, AMQPClass::Tx(tx::AMQPMethod::SelectOk(_))) => {
                let qos = basic::Qos {
                    prefetch_count: self.prefetch,
                    global: true,
                };
                self.method(AMQPClass::Basic(B::Qos(qos)));
                self.stage = Stage::AwaitQos;
            }
            (Stage::AwaitQos, AMQPClass::Basic(B::QosOk(_))) => {
                if let Role::Answers { queue, .. } = &self.role {
                    let queue = short(queue);
                    self.consume(queue, false);
                }
                self.stage = Stage::AwaitConsume;
            }
            (Stage::AwaitDeclare, AMQPClass::Queue(queue::AMQPMethod::DeclareOk(_))) => {
                if let Role::Calls { reply_queue } = &self.role {
                    let queue = short(reply_queue);
                    self.consume(queue, true);
                }
                self.stage = Stage::AwaitConsume;
            }
            (Stage::AwaitConsume, AMQPClass::Basic(B::ConsumeOk(_))) => {
                self.stage = Stage::Ready;
                events.push(Event::Ready);
            }
            // Answers to a changed prefetch or a renewed consumer.
            (Stage::Ready, AMQPClass::Basic(B::QosOk(_) | B::ConsumeOk(_))) => {}
            (Stage::Ready, AMQPClass::Basic(B::CancelOk(_))) => self.cancelling = false,
            (Stage::Ready | Stage::AwaitConsume, AMQPClass::Basic(B::Deliver(d))) => {
                if self.incoming.is_some() {
                    return Err(out_of_turn("a delivery within another"));
                }
                self.incoming = Some(Incoming {
                    tag: d.delivery_tag,
                    redelivered: d.redelivered,
                    routing_key: d.routing_key.as_str().to_owned(),
                    header: None,
                    got: 0,
                    body: Vec::new(),
                });
            }
            (Stage::Ready, AMQPClass::Basic(B::Cancel(_))) => {
                self.consuming = false;
                events.push(Event::Cancelled);
            }
            (Stage::Ready, AMQPClass::Tx(tx::AMQPMethod::CommitOk(_)))
                if !self.committing.is_empty() =>
            {
                self.waiting_since = None;
                events.push(Event::Committed(std::mem::take(&mut self.committing)));
                self.commit(now);
            }
            (stage, method) => {
                let (class, id) = (method.get_amqp_class_id(), method.get_amqp_method_id());
                return Err(out_of_turn(format!("method {class}.{id} while {stage:?}")));
            }
        }
        Ok(())
    }

    fn header(
        &mut self,
        size: u64,
        properties: AMQPProperties,
        events: &mut Vec<Event>,
    ) -> Result<(), Broken> {
        let Some(incoming) = self.incoming.as_mut().filter(|i| i.header.is_none()) else {
            return Err(out_of_turn("a content header without its method"));
        };
        incoming.header = Some((size, properties));
        self.delivered(events);
        Ok(())
    }

    fn body(&mut self, part: &[u8], events: &mut Vec<Event>) -> Result<(), Broken> {
        let most = self.login.most_body;
        let Some((size, incoming)) = self
            .incoming
            .as_mut()
            .and_then(|i| Some((i.header.as_ref()?.0, i)))
        else {
            return Err(out_of_turn("a body without its header"));
        };
        incoming.got += part.len() as u64;
        if incoming.got > size {
            return Err(Broken::TooLong);
        }
        if size <= most {
            incoming.body.extend_from_slice(part);
        }
        self.delivered(events);
        Ok(())
    }

    fn delivered(&mut self, events: &mut Vec<Event>) {
        let whole = |i: &mut Incoming| i.header.as_ref().is_some_and(|(size, _)| i.got >= *size);
        let Some(i) = self.incoming.take_if(whole) else {
            return;
        };
        let Some((size, properties)) = i.header else {
            return;
        };
        events.push(Event::Delivered(Box::new(Message {
            tag: i.tag,
            redelivered: i.redelivered,
            routing_key: i.routing_key,
            properties,
            body: i.body,
            oversized: size > self.login.most_body,
        })));
    }
}
