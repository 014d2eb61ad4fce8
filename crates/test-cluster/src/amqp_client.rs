//! Clients that use AMQP. They publish triggers when these are due, read the answers and, if the scenario has client
//! retries, retry after an answer other than success.

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
/// Limit for unsent bytes while the broker reads slowly; above it, arrivals are skipped instead of published.
const MAX_BUFFERED_BYTES: usize = 8 << 20;
const READ_BUFFER_BYTES: usize = 64 * 1024;
/// Longest wait without an arrival, so that heartbeats are sent in time.
const IDLE_TICK: Duration = Duration::from_millis(500);
/// Shortest wait for the next arrival.
const MIN_WAIT: Duration = Duration::from_micros(200);

/// One invocation that a client sends.
#[derive(Clone, Debug)]
pub struct Arrival {
    /// When the invocation is due, relative to the start of the traffic.
    pub at: Duration,
    /// Id of the invocation, which is also its idempotency key.
    pub id: String,
    /// Trigger type.
    pub trigger_type: String,
    /// The function that is called.
    pub function: String,
    /// The account that the invocation is billed to.
    pub account: String,
    /// Whether the invocation is sent over KServe v2 instead of AMQP.
    pub over_kserve: bool,
    /// The queue that the trigger is published to over AMQP.
    pub queue: String,
    /// Client timeout in milliseconds.
    pub timeout_ms: u64,
    /// Memory of a copy of the function, in MB.
    pub copy_mb: f64,
    /// Number of lanes of a copy of the function.
    pub lanes: u32,
    /// Body of the request.
    pub body: Arc<str>,
    /// Number of retries that the client still makes.
    pub retries: u32,
    /// Position in a session; absent if the invocation belongs to none.
    pub turn: Option<Turn>,
}

/// Position of an invocation in its session.
#[derive(Clone, Debug)]
pub struct Turn {
    /// Id of the session.
    pub session: String,
    /// Whether the invocation is the first of the session.
    pub start: bool,
    /// Whether the invocation is the last of the session.
    pub end: bool,
}

/// Chooses the function of an arrival at the time of sending, in place of [`Arrival::function`]. It simulates clients
/// that choose a version by the loaded functions.
pub type FunctionOverride = Arc<dyn Fn(&Arrival) -> String + Send + Sync>;

/// Latencies in microseconds from the time at which an invocation was due to its answer. Invocations that were due
/// before the instant are not recorded.
pub type LatencyRecorder = Arc<Mutex<(hdrhistogram::Histogram<u64>, Instant)>>;

/// The outcomes in the answers to each invocation, by its id, in the order in which the answers were received.
pub type Answers = Arc<Mutex<HashMap<String, Vec<String>>>>;

/// A client that publishes over AMQP.
pub struct AmqpClient {
    /// Address of the broker.
    pub broker: SocketAddr,
    /// Source address of the connections.
    pub from: IpAddr,
    /// Name of the reply queue.
    pub reply_queue: String,
    /// Start of the traffic.
    pub began: Instant,
    /// The invocations to send, in the order in which they are due.
    pub arrivals: Vec<Arrival>,
    /// Records latencies, if present.
    pub latencies: Option<LatencyRecorder>,
    /// Records answers, if present.
    pub answers: Option<Answers>,
    /// Overrides the functions of arrivals, if present.
    pub function_override: Option<FunctionOverride>,
}

/// Progress of a client, which is kept when its connection is replaced.
#[derive(Default)]
struct Progress {
    /// Index of the next arrival to send.
    next: usize,
    /// Invocations that are sent and not answered, by id. Only invocations whose answers are used, for retries or
    /// latencies, are kept.
    open: HashMap<String, Arrival>,
}

/// Converts a text to an AMQP short string; a text that is too long becomes an empty string.
fn short_string(text: &str) -> ShortString {
    ShortString::try_new(text).unwrap_or_default()
}

fn properties(
    arrival: &Arrival,
    function_override: Option<&FunctionOverride>,
    reply_queue: &str,
) -> AMQPProperties {
    let mut headers = FieldTable::default();
    let text = |value: &str| AMQPValue::LongString(LongString::from(value));
    let function =
        function_override.map_or_else(|| arrival.function.clone(), |choose| choose(arrival));
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
        .with_reply_to(short_string(reply_queue))
        .with_expiration(short_string(&arrival.timeout_ms.to_string()))
        .with_type(short_string(&arrival.trigger_type))
        .with_app_id(short_string(&arrival.account))
}

impl AmqpClient {
    /// Publishes arrivals and reads answers until the future is dropped; reconnects after a lost connection.
    pub async fn run(self) {
        let clock = Instant::now();
        let now = || clock.elapsed().as_micros() as i64;
        let mut progress = Progress::default();
        loop {
            let mut connection = Connection::new(now(), self.role(), self.login());
            let stream = connect(self.broker, Some(self.from), CONNECT_TIMEOUT_US).await;
            if let Ok(mut stream) = stream {
                self.run_connection(&mut connection, &mut stream, &now, &mut progress)
                    .await;
            }
            Timer::after(RECONNECT_BACKOFF).await;
            // Arrivals that became due while there was no connection are never sent.
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
    async fn run_connection(
        &self,
        connection: &mut Connection,
        stream: &mut Stream,
        now: &impl Fn() -> i64,
        progress: &mut Progress,
    ) {
        let mut buffer = vec![0; READ_BUFFER_BYTES];
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
                Timer::after(self.time_until_next_arrival(progress)).await;
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
                        retries.extend(self.handle_answer(&message.properties, progress));
                    }
                    Event::Closed { .. } | Event::ChannelLost { .. } => return,
                    _ => {}
                }
            }
        }
    }

    /// Publishes retries and all arrivals that are due.
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
            if connection.unsent_bytes() < MAX_BUFFERED_BYTES {
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

    fn time_until_next_arrival(&self, progress: &Progress) -> Duration {
        self.arrivals.get(progress.next).map_or(IDLE_TICK, |next| {
            (self.began + next.at)
                .saturating_duration_since(Instant::now())
                .max(MIN_WAIT)
        })
    }

    /// Records an answer; returns the retry, if the client makes one.
    fn handle_answer(
        &self,
        properties: &AMQPProperties,
        progress: &mut Progress,
    ) -> Option<Arrival> {
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
        if let Some(latencies) = &self.latencies {
            let mut latencies = lock(latencies);
            let due = self.began + arrival.at;
            // Latencies count from the due time, so that the delay of a client that sends late is included.
            if due >= latencies.1 {
                latencies
                    .0
                    .saturating_record(due.elapsed().as_micros() as u64);
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
