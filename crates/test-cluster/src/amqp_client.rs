//! The clients of a scenario that use AMQP: they publish triggers at their times, read the answers and, where the
//! scenario says so, retry after an answer that was no success.

use std::collections::HashMap;
use std::net::{IpAddr, SocketAddr};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use async_io::Timer;
use cedarpulley_amqp::connection::Login;
use cedarpulley_amqp::protocol::basic::AMQPProperties;
use cedarpulley_amqp::types::{AMQPValue, FieldTable, LongString, ShortString};
use cedarpulley_amqp::{Connection, Event, Role, trigger};
use cedarpulley_emulators::{lock, unix_time_us};
use cedarpulley_net::{Stream, connect};
use futures_lite::{AsyncReadExt, AsyncWriteExt, FutureExt};

const CONNECT_TIMEOUT_US: i64 = 1_000_000;
const RECONNECT_BACKOFF: Duration = Duration::from_millis(200);
/// Bytes that may wait for a broker that reads slowly; beyond, arrivals are not published.
const MAX_BUFFERED: usize = 8 << 20;
const READ_BUFFER: usize = 64 * 1024;
/// Longest wait without an arrival, for heartbeats.
const IDLE_TICK: Duration = Duration::from_millis(500);
const MIN_WAIT: Duration = Duration::from_micros(200);

/// One invocation as its client sends it.
#[derive(Clone, Debug)]
pub struct Arrival {
    /// When it is due, from the traffic's beginning.
    pub at: Duration,
    /// Invocation id; also its idempotency key.
    pub id: String,
    /// Trigger type.
    pub trigger_type: String,
    /// The function that it asks for.
    pub function: String,
    /// The account that it is billed to.
    pub account: String,
    /// Sent over KServe v2 instead of AMQP.
    pub over_kserve: bool,
    /// The queue that it is published to over AMQP.
    pub queue: String,
    /// Its client gives up after this.
    pub timeout_ms: u64,
    /// Memory of a copy of its function, in MB.
    pub copy_mb: f64,
    /// Lanes of a copy of its function.
    pub lanes: u32,
    /// The request's body.
    pub body: Arc<str>,
    /// How often its client retries.
    pub retries: u32,
    /// Its place in a session, if it belongs to one.
    pub turn: Option<Turn>,
}

/// One invocation's place in its session.
#[derive(Clone, Debug)]
pub struct Turn {
    /// Id of the session.
    pub session: String,
    /// It is the first one.
    pub start: bool,
    /// It is the last one.
    pub end: bool,
}

/// Which function a client asks for as it sends, where that is not the arrival's own: an operator's clients may
/// choose a version by what is loaded.
pub type FunctionOverride = Arc<dyn Fn(&Arrival) -> String + Send + Sync>;

/// Latencies from when an invocation was due to its answer, in microseconds, of those due at or after the instant.
pub type LatencyRecorder = Arc<Mutex<(hdrhistogram::Histogram<u64>, Instant)>>;

/// The final outcomes that each invocation was answered with, by id, in the order of arrival.
pub type Answers = Arc<Mutex<HashMap<String, Vec<String>>>>;

/// A client that publishes over AMQP.
pub struct AmqpClient {
    /// The broker's address.
    pub broker: SocketAddr,
    /// Source address of its connections.
    pub from: IpAddr,
    /// Its reply queue.
    pub reply_queue: String,
    /// When the traffic begins.
    pub began: Instant,
    /// In the order of their times.
    pub arrivals: Vec<Arrival>,
    /// Where latencies are recorded, if anywhere.
    pub latencies: Option<LatencyRecorder>,
    /// Where answers are recorded, if anywhere.
    pub answers: Option<Answers>,
    /// Overrides the functions that arrivals ask for.
    pub function_override: Option<FunctionOverride>,
}

/// What a client has sent so far; outlives its connections.
#[derive(Default)]
struct Progress {
    /// Index of the next arrival to send.
    next: usize,
    /// Sent and not answered, by id, where the answer matters to the client.
    open: HashMap<String, Arrival>,
}

/// Empty if the text is too long for a short string.
fn short_string(s: &str) -> ShortString {
    ShortString::try_new(s).unwrap_or_default()
}

fn properties(arrival: &Arrival, asks: Option<&FunctionOverride>, replies: &str) -> AMQPProperties {
    let mut headers = FieldTable::default();
    let text = |s: &str| AMQPValue::LongString(LongString::from(s));
    let function = asks.map_or_else(|| arrival.function.clone(), |asks| asks(arrival));
    headers.insert(short_string(trigger::FUNCTION), text(&function));
    headers.insert(
        short_string(trigger::SENT_AT_US),
        AMQPValue::LongLongInt(unix_time_us()),
    );
    headers.insert(
        short_string(trigger::COPY_MB),
        AMQPValue::LongLongInt(arrival.copy_mb as i64),
    );
    headers.insert(
        short_string(trigger::LANES),
        AMQPValue::LongLongInt(i64::from(arrival.lanes)),
    );
    if let Some(turn) = &arrival.turn {
        headers.insert(short_string(trigger::SEQUENCE_ID), text(&turn.session));
        headers.insert(
            short_string(trigger::SEQUENCE_START),
            AMQPValue::Boolean(turn.start),
        );
        headers.insert(
            short_string(trigger::SEQUENCE_END),
            AMQPValue::Boolean(turn.end),
        );
    }
    AMQPProperties::default()
        .with_content_type(short_string("application/json"))
        .with_headers(headers)
        .with_correlation_id(short_string(&arrival.id))
        .with_message_id(short_string(&arrival.id))
        .with_reply_to(short_string(replies))
        .with_expiration(short_string(&arrival.timeout_ms.to_string()))
        .with_type(short_string(&arrival.trigger_type))
        .with_app_id(short_string(&arrival.account))
}

impl AmqpClient {
    /// Runs until dropped.
    pub async fn run(self) {
        let clock = Instant::now();
        let now = || clock.elapsed().as_micros() as i64;
        let mut progress = Progress::default();
        loop {
            let mut connection = Connection::new(now(), self.role(), self.login());
            let stream = connect(self.broker, Some(self.from), CONNECT_TIMEOUT_US).await;
            if let Ok(mut stream) = stream {
                self.converse(&mut connection, &mut stream, &now, &mut progress)
                    .await;
            }
            Timer::after(RECONNECT_BACKOFF).await;
            // What fell due while there was no broker is never sent.
            let elapsed = self.began.elapsed();
            while self
                .arrivals
                .get(progress.next)
                .is_some_and(|a| a.at < elapsed)
            {
                progress.next += 1;
            }
        }
    }

    fn role(&self) -> Role {
        Role::Requester {
            reply_queue: self.reply_queue.clone(),
        }
    }

    fn login(&self) -> Login {
        Login {
            virtual_host: "/".into(),
            user: "guest".into(),
            password: "guest".into(),
            heartbeat_s: 10,
            name: self.reply_queue.clone(),
            max_body: 1 << 20,
        }
    }

    /// Sends and receives over one connection until it ends.
    async fn converse(
        &self,
        connection: &mut Connection,
        stream: &mut Stream,
        now: &impl Fn() -> i64,
        progress: &mut Progress,
    ) {
        let mut buffer = vec![0; READ_BUFFER];
        let mut events = Vec::new();
        let mut retries: Vec<Arrival> = Vec::new();
        loop {
            if connection.is_ready() {
                self.publish_due(connection, progress, &mut retries);
            }
            if connection.tick(now()).is_err() {
                return;
            }
            let bytes = connection.output(now());
            if !bytes.is_empty() && stream.write_all(&bytes).await.is_err() {
                return;
            }
            let wait = async {
                Timer::after(self.until_next(progress)).await;
                None
            };
            let read = async { Some(stream.read(&mut buffer).await) };
            match read.or(wait).await {
                None => continue,
                Some(Ok(length)) if length > 0 => {
                    if connection
                        .receive(now(), &buffer[..length], &mut events)
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
                        retries.extend(self.on_answer(&message.properties, progress));
                    }
                    Event::Closed { .. } | Event::ChannelLost { .. } => return,
                    _ => {}
                }
            }
        }
    }

    /// Publishes retries, and the arrivals whose time has come.
    fn publish_due(
        &self,
        connection: &mut Connection,
        progress: &mut Progress,
        retries: &mut Vec<Arrival>,
    ) {
        for retry in retries.drain(..) {
            self.publish(connection, &retry);
            progress.open.insert(retry.id.clone(), retry);
        }
        let elapsed = self.began.elapsed();
        while let Some(arrival) = self.arrivals.get(progress.next).filter(|a| a.at <= elapsed) {
            if connection.unsent_bytes() < MAX_BUFFERED {
                self.publish(connection, arrival);
                if arrival.retries > 0 || self.latencies.is_some() {
                    progress.open.insert(arrival.id.clone(), arrival.clone());
                }
            }
            progress.next += 1;
        }
    }

    fn publish(&self, connection: &mut Connection, arrival: &Arrival) {
        let properties = properties(arrival, self.function_override.as_ref(), &self.reply_queue);
        connection.publish(&arrival.queue, properties, arrival.body.as_bytes());
    }

    fn until_next(&self, progress: &Progress) -> Duration {
        self.arrivals.get(progress.next).map_or(IDLE_TICK, |next| {
            (self.began + next.at)
                .saturating_duration_since(Instant::now())
                .max(MIN_WAIT)
        })
    }

    /// Records an answer; the retry, if the client makes one.
    fn on_answer(&self, properties: &AMQPProperties, progress: &mut Progress) -> Option<Arrival> {
        let id = properties.correlation_id().as_ref()?.as_str().to_owned();
        let outcome = properties
            .headers()
            .as_ref()
            .and_then(|headers| headers.inner().get(trigger::OUTCOME))
            .and_then(trigger::text)
            .unwrap_or_default();
        if let Some(answers) = &self.answers {
            lock(answers)
                .entry(id.clone())
                .or_default()
                .push(outcome.to_owned());
        }
        let mut arrival = progress.open.remove(&id)?;
        if let Some(times) = &self.latencies {
            let mut times = lock(times);
            let due = self.began + arrival.at;
            // From when it was due, so that a late client is not taken for a quick router.
            if due >= times.1 {
                times.0.saturating_record(due.elapsed().as_micros() as u64);
            }
        }
        if outcome == "succeeded" || arrival.retries == 0 {
            return None;
        }
        arrival.retries -= 1;
        arrival.id = format!("{}+", arrival.id);
        Some(arrival)
    }
}
