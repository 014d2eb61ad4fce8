//! The clients of a day: publish triggers over AMQP at their times, read the answers, and, where the day says so,
//! come back after an answer that was no success.

use std::collections::HashMap;
use std::net::{IpAddr, SocketAddr};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use async_io::Timer;
use cedarpulley_amqp::connection::Login;
use cedarpulley_amqp::protocol::basic::AMQPProperties;
use cedarpulley_amqp::types::{AMQPValue, FieldTable, LongString, ShortString};
use cedarpulley_amqp::{Connection, Event, Role, meaning};
use cedarpulley_emulators::{lock, unix_time_us};
use cedarpulley_net::{Stream, connect};
use futures_lite::{AsyncReadExt, AsyncWriteExt, FutureExt};

const CONNECT_WITHIN: i64 = 1_000_000;
const AGAIN: Duration = Duration::from_millis(200);
/// At most so much waits for a broker that reads slowly; beyond, arrivals are not published.
const MOST_WAITING: usize = 8 << 20;

/// One invocation as its client wants it.
#[derive(Clone, Debug)]
pub struct Arrival {
    pub at: Duration,
    pub id: String,
    pub kind: String,
    pub function: String,
    pub account: String,
    /// Over KServe v2.
    pub calls: bool,
    pub queue: String,
    pub timeout_ms: u64,
    pub copy_mb: f64,
    pub lanes: u32,
    pub body: Arc<str>,
    /// How often its client comes back.
    pub retries: u32,
    pub turn: Option<Turn>,
}

/// One invocation of a session.
#[derive(Clone, Debug)]
pub struct Turn {
    pub session: String,
    pub start: bool,
    pub end: bool,
}

/// Which function a client asks for just as it sends, where that is not the arrival's own: an operator's clients may
/// name a version by what stands.
pub type Asks = Arc<dyn Fn(&Arrival) -> String + Send + Sync>;

/// Times from publishing to the answer, in microseconds, of those published after a moment.
pub type Times = Arc<Mutex<(hdrhistogram::Histogram<u64>, Instant)>>;

/// What each invocation was answered, in the order of coming.
pub type Answers = Arc<Mutex<HashMap<String, Vec<String>>>>;

pub struct Client {
    pub broker: SocketAddr,
    pub from: IpAddr,
    pub replies: String,
    pub began: Instant,
    /// In the order of their times.
    pub arrivals: Vec<Arrival>,
    pub times: Option<Times>,
    pub answers: Option<Answers>,
    pub asks: Option<Asks>,
}

fn short(s: &str) -> ShortString {
    ShortString::try_new(s).unwrap_or_default()
}

fn properties(a: &Arrival, asks: Option<&Asks>, replies: &str) -> AMQPProperties {
    let mut headers = FieldTable::default();
    let text = |s: &str| AMQPValue::LongString(LongString::from(s));
    let function = asks.map_or_else(|| a.function.clone(), |asks| asks(a));
    headers.insert(short(meaning::FUNCTION), text(&function));
    headers.insert(
        short(meaning::SENT_AT_US),
        AMQPValue::LongLongInt(unix_time_us()),
    );
    headers.insert(
        short(meaning::COPY_MB),
        AMQPValue::LongLongInt(a.copy_mb as i64),
    );
    headers.insert(
        short(meaning::LANES),
        AMQPValue::LongLongInt(i64::from(a.lanes)),
    );
    if let Some(turn) = &a.turn {
        headers.insert(short(meaning::SEQUENCE_ID), text(&turn.session));
        headers.insert(
            short(meaning::SEQUENCE_START),
            AMQPValue::Boolean(turn.start),
        );
        headers.insert(short(meaning::SEQUENCE_END), AMQPValue::Boolean(turn.end));
    }
    AMQPProperties::default()
        .with_content_type(short("application/json"))
        .with_headers(headers)
        .with_correlation_id(short(&a.id))
        .with_message_id(short(&a.id))
        .with_reply_to(short(replies))
        .with_expiration(short(&a.timeout_ms.to_string()))
        .with_type(short(&a.kind))
        .with_app_id(short(&a.account))
}

impl Client {
    /// Runs until dropped.
    pub async fn run(mut self) {
        let clock = Instant::now();
        let now = || clock.elapsed().as_micros() as i64;
        let mut next = 0;
        // Those that may come back.
        let mut open: HashMap<String, Arrival> = HashMap::new();
        loop {
            let login = Login {
                virtual_host: "/".into(),
                user: "guest".into(),
                password: "guest".into(),
                heartbeat_s: 10,
                name: self.replies.clone(),
                most_body: 1 << 20,
            };
            let role = Role::Calls {
                reply_queue: self.replies.clone(),
            };
            let mut connection = Connection::new(now(), role, login);
            if let Ok(mut stream) = connect(self.broker, Some(self.from), CONNECT_WITHIN).await {
                self.converse(&mut connection, &mut stream, &now, &mut next, &mut open)
                    .await;
            }
            Timer::after(AGAIN).await;
            // What fell due while there was no broker was never sent.
            let passed = self.began.elapsed();
            while self.arrivals.get(next).is_some_and(|a| a.at < passed) {
                next += 1;
            }
        }
    }

    async fn converse(
        &mut self,
        connection: &mut Connection,
        stream: &mut Stream,
        now: &impl Fn() -> i64,
        next: &mut usize,
        open: &mut HashMap<String, Arrival>,
    ) {
        let mut buffer = vec![0; 64 * 1024];
        let mut events = Vec::new();
        let mut again: Vec<Arrival> = Vec::new();
        loop {
            if connection.is_ready() {
                for a in again.drain(..) {
                    let properties = properties(&a, self.asks.as_ref(), &self.replies);
                    connection.publish(&a.queue, properties, a.body.as_bytes());
                    open.insert(a.id.clone(), a);
                }
                let passed = self.began.elapsed();
                while let Some(a) = self.arrivals.get(*next).filter(|a| a.at <= passed) {
                    if connection.waiting() < MOST_WAITING {
                        let properties = properties(a, self.asks.as_ref(), &self.replies);
                        connection.publish(&a.queue, properties, a.body.as_bytes());
                        if a.retries > 0 || self.times.is_some() {
                            open.insert(a.id.clone(), a.clone());
                        }
                    }
                    *next += 1;
                }
            }
            if connection.tick(now()).is_err() {
                return;
            }
            let bytes = connection.output(now());
            if !bytes.is_empty() && stream.write_all(&bytes).await.is_err() {
                return;
            }
            let due = self
                .arrivals
                .get(*next)
                .map_or(Duration::from_millis(500), |a| {
                    (self.began + a.at)
                        .saturating_duration_since(Instant::now())
                        .max(Duration::from_micros(200))
                });
            let wait = async {
                Timer::after(due).await;
                None
            };
            let read = async { Some(stream.read(&mut buffer).await) };
            match read.or(wait).await {
                None => continue,
                Some(Ok(n)) if n > 0 => {
                    if connection
                        .receive(now(), &buffer[..n], &mut events)
                        .is_err()
                    {
                        return;
                    }
                }
                Some(_) => return,
            }
            for event in events.drain(..) {
                match event {
                    Event::Delivered(message) => {
                        let p = &message.properties;
                        let Some(id) = p.correlation_id().as_ref().map(|i| i.as_str().to_owned())
                        else {
                            continue;
                        };
                        let fate = p
                            .headers()
                            .as_ref()
                            .and_then(|h| h.inner().get(meaning::FATE));
                        let fate = fate.and_then(meaning::text).unwrap_or_default();
                        if let Some(answers) = &self.answers {
                            lock(answers)
                                .entry(id.clone())
                                .or_default()
                                .push(fate.to_owned());
                        }
                        let Some(mut a) = open.remove(&id) else {
                            continue;
                        };
                        if let Some(times) = &self.times {
                            let mut times = lock(times);
                            let due = self.began + a.at;
                            // From when it was due, so that a late client is not taken for a quick router.
                            if due >= times.1 {
                                times.0.saturating_record(due.elapsed().as_micros() as u64);
                            }
                        }
                        if fate != "succeeded" && a.retries > 0 {
                            a.retries -= 1;
                            a.id = format!("{}+", a.id);
                            again.push(a);
                        }
                    }
                    Event::Closed { .. } | Event::ChannelLost { .. } => return,
                    _ => {}
                }
            }
        }
    }
}
