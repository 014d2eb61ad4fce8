//! Clients that keep their connections open for as long as the router allows it, and record how each request ended.

use std::io::{BufReader, ErrorKind, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::platform::{answer, call, id};
use crate::seeded_random::SeededRandom;

/// Longest time for which a client waits for an answer.
pub const DEADLINE: Duration = Duration::from_millis(2_000);
/// Tolerance after the deadline. An answer that is later than the deadline plus this time counts as missing.
const ANSWER_SLACK: Duration = Duration::from_millis(1_500);
/// If the router closes a reused connection within this time after a request was sent, the request and the close
/// crossed on the network: the router closed an idle connection before it saw the request.
const CROSSING_WINDOW: Duration = Duration::from_millis(300);
/// Clients open new connections to a router for this time after it was signaled to stop. They use open connections
/// until the router is killed.
const NEW_CONNECTION_PERIOD: Duration = Duration::from_millis(500);
/// One in this many requests is non-idempotent and must not run twice.
const NON_IDEMPOTENT_ONE_IN: u64 = 3;
/// Number of functions of each class that clients invoke.
const FUNCTIONS: u64 = 6;

/// How a request ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum End {
    /// The router answered with this HTTP status.
    Answered(u16),
    /// The connection ended without an answer.
    Closed {
        /// The connection had carried an answer before and was closed immediately after the request was sent.
        crossing: bool,
    },
    /// No answer was received in time and the connection is still open.
    Silent,
}

/// A request that was sent completely, and how it ended.
#[derive(Clone, Debug)]
pub struct Sent {
    pub id: String,
    /// The request is non-idempotent.
    pub once: bool,
    /// Number of the router that the request was sent to.
    pub router: usize,
    /// When the request was sent.
    pub at: Instant,
    pub ended: Instant,
    pub end: End,
}

/// The settings of one client.
#[derive(Clone)]
pub struct ClientSettings {
    pub router: usize,
    pub address: SocketAddr,
    pub seed: u64,
    pub stop: Arc<AtomicBool>,
    pub last_id: Arc<AtomicU32>,
    pub stop_requested_at: StopRequestedAt,
}

/// When a router was signaled to stop; `None` unless it is shutting down.
pub type StopRequestedAt = Arc<Mutex<Option<Instant>>>;

impl ClientSettings {
    fn connect(&self) -> Option<Connection> {
        let requested_at = *self.stop_requested_at.lock().expect("a time");
        let is_closed_to_new_connections =
            requested_at.is_some_and(|requested| requested.elapsed() > NEW_CONNECTION_PERIOD);
        if is_closed_to_new_connections {
            return None;
        }
        Connection::open(self.address)
    }
}

struct Connection {
    stream: TcpStream,
    answers: BufReader<TcpStream>,
    answered: u32,
}

impl Connection {
    fn open(address: SocketAddr) -> Option<Connection> {
        let stream = TcpStream::connect_timeout(&address, Duration::from_millis(500)).ok()?;
        stream
            .set_read_timeout(Some(DEADLINE + ANSWER_SLACK))
            .ok()?;
        let answers = BufReader::new(stream.try_clone().ok()?);
        Some(Connection {
            stream,
            answers,
            answered: 0,
        })
    }

    /// Sends a request and returns how it ended and whether the connection can be reused; `None` if the request could
    /// not be sent completely.
    fn exchange(&mut self, text: &str) -> Option<(End, bool)> {
        let began = Instant::now();
        self.stream.write_all(text.as_bytes()).ok()?;
        if let Some((status, head, _)) = answer(&mut self.answers) {
            self.answered += 1;
            return Some((End::Answered(status), !head.contains("Connection: close")));
        }
        let still_open = self
            .stream
            .peek(&mut [0])
            .is_err_and(|error| error.kind() == ErrorKind::WouldBlock);
        let end = if still_open {
            End::Silent
        } else {
            let crossing = self.answered > 0 && began.elapsed() < CROSSING_WINDOW;
            End::Closed { crossing }
        };
        Some((end, false))
    }
}

/// Sends requests until the stop flag is set.
pub fn run(settings: &ClientSettings) -> Vec<Sent> {
    let mut random = SeededRandom::new(settings.seed);
    let mut connection = None;
    let mut sent = Vec::new();
    while !settings.stop.load(Ordering::Relaxed) {
        thread::sleep(random.millis(2, 60));
        let Some(mut open) = connection.take().or_else(|| settings.connect()) else {
            continue;
        };
        let id = id(settings.last_id.fetch_add(1, Ordering::Relaxed));
        let once = random.one_in(NON_IDEMPOTENT_ONE_IN);
        let at = Instant::now();
        let Some((end, is_reusable)) = open.exchange(&request(&id, once, &mut random)) else {
            continue;
        };
        sent.push(Sent {
            id,
            once,
            router: settings.router,
            at,
            ended: Instant::now(),
            end,
        });
        connection = is_reusable.then_some(open);
    }
    sent
}

fn request(id: &str, once: bool, random: &mut SeededRandom) -> String {
    let class = if once { "once" } else { "plain" };
    let function = format!(
        "{:016x}",
        0x2000 + random.below(FUNCTIONS) * 2 + u64::from(once)
    );
    let wait = format!("Wait-Ms: {}", DEADLINE.as_millis());
    call(id, class, &function, "", "body").replace("Wait-Ms: 60000", &wait)
}
