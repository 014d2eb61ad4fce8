//! Clients that keep their connections for as long as they may, and note how each request ended.

use std::io::{BufReader, ErrorKind, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::draws::Draws;
use crate::platform::{answer, call, id};

/// The longest that a client waits for its answer.
pub const DEADLINE: Duration = Duration::from_millis(2_000);
/// A client that has been answered later than this beyond its deadline was not answered in time.
const ANSWER_SLACK: Duration = Duration::from_millis(1_500);
/// A request on an open connection that the router closes in this time has crossed the closing, and is sent again once.
const CROSSING: Duration = Duration::from_millis(300);
/// New connections come for so long after a router was told to stop; open ones are used until the kill.
const NEW_CONNECTIONS_FOR: Duration = Duration::from_millis(500);
/// One in so many requests must not run twice.
const ONCE_ONE_IN: u64 = 3;
/// Functions that are asked for.
const FUNCTIONS: u64 = 6;

/// How a request ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum End {
    Answered(u16),
    /// The connection ended without an answer.
    Closed {
        /// It had carried an answer before, and ended at once.
        crossing: bool,
    },
    /// Nothing came in its time.
    Silent,
}

/// A request that was sent whole.
#[derive(Clone, Debug)]
pub struct Sent {
    pub id: String,
    pub once: bool,
    pub router: usize,
    pub at: Instant,
    pub ended: Instant,
    pub end: End,
}

/// What a client needs.
#[derive(Clone)]
pub struct ClientSettings {
    pub router: usize,
    pub address: SocketAddr,
    pub seed: u64,
    pub stop: Arc<AtomicBool>,
    pub last_id: Arc<AtomicU32>,
    pub told_to_stop: ToldToStop,
}

/// When a router was told to stop, while it shuts down.
pub type ToldToStop = Arc<Mutex<Option<Instant>>>;

impl ClientSettings {
    fn connect(&self) -> Option<Connection> {
        let told = *self.told_to_stop.lock().expect("a time");
        let has_left = told.is_some_and(|told| told.elapsed() > NEW_CONNECTIONS_FOR);
        if has_left {
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

    /// How the request ended, and whether the connection goes on; `None` if it could not be sent whole.
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
            let crossing = self.answered > 0 && began.elapsed() < CROSSING;
            End::Closed { crossing }
        };
        Some((end, false))
    }
}

/// Sends requests until it is told to stop.
pub fn run(settings: &ClientSettings) -> Vec<Sent> {
    let mut draws = Draws::new(settings.seed);
    let mut connection = None;
    let mut sent = Vec::new();
    while !settings.stop.load(Ordering::Relaxed) {
        thread::sleep(draws.millis(2, 60));
        let Some(mut open) = connection.take().or_else(|| settings.connect()) else {
            continue;
        };
        let id = id(settings.last_id.fetch_add(1, Ordering::Relaxed));
        let once = draws.one_in(ONCE_ONE_IN);
        let at = Instant::now();
        let Some((end, goes_on)) = open.exchange(&request(&id, once, &mut draws)) else {
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
        connection = goes_on.then_some(open);
    }
    sent
}

fn request(id: &str, once: bool, draws: &mut Draws) -> String {
    let class = if once { "once" } else { "plain" };
    let function = format!(
        "{:016x}",
        0x2000 + draws.below(FUNCTIONS) * 2 + u64::from(once)
    );
    let wait = format!("Wait-Ms: {}", DEADLINE.as_millis());
    call(id, class, &function, "", "body").replace("Wait-Ms: 60000", &wait)
}
