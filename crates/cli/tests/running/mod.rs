//! Harness that runs a router with a KServe front and an emulated worker.
#![allow(dead_code, reason = "each test file uses only a part of this module")]

use std::collections::HashMap;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU16, Ordering};
use std::time::{Duration, Instant};

use cedarpulley_emulators::Host;
use cedarpulley_emulators::store::{self, Store};
use cedarpulley_emulators::worker::{IdempotencyStore, InvocationProfile, Worker, WorkerProfile};
use rustix::process::{Pid, Signal, kill_process};

/// Default limit of a request body.
pub const MAX_BODY_BYTES: usize = 64 * 1024;

/// A running router with its worker. The router process is killed on drop.
pub struct Running {
    pub router: Child,
    /// Address of the KServe front.
    pub address: SocketAddr,
    /// Folder of the router's settings and traces.
    pub folder: PathBuf,
    /// Folder of the logs of the emulators.
    logs: PathBuf,
    pub worker: Worker,
    _store: Store,
}

impl Drop for Running {
    fn drop(&mut self) {
        let _ = self.router.kill();
        let _ = self.router.wait();
    }
}

/// Number of ports that tests of this process have tried so far.
static PORTS_TRIED: AtomicU16 = AtomicU16::new(0);

/// First of the ports for tests. These ports are below the ephemeral range, so that the system assigns them neither to a
/// listener on port 0 nor to a client.
const FIRST_PORT: u16 = 10_000;
/// Number of the ports for tests.
const PORT_COUNT: u16 = 20_000;

/// Returns an address whose port is free and that no other test of this process uses. A port assigned by the system would
/// be free again until the router listens: the router, worker or client of another test got the same port, and the clients
/// connected to that process.
pub fn free_address() -> SocketAddr {
    let first = (std::process::id() % u32::from(PORT_COUNT)) as u16;
    let next = || {
        FIRST_PORT + first.wrapping_add(PORTS_TRIED.fetch_add(1, Ordering::Relaxed)) % PORT_COUNT
    };
    let mut addresses = (0..PORT_COUNT).map(|_| SocketAddr::from(([127, 0, 0, 1], next())));
    // The check connects instead of binding: a router process that another test starts at that moment would inherit the
    // listener and hold it until its exec.
    addresses
        .find(|a| TcpStream::connect(a).is_err())
        .expect("a free port")
}

/// Starts a router with one worker whose invocations take `work`.
pub fn start(name: &str, work: Duration) -> Running {
    start_with(name, work, MAX_BODY_BYTES / 1024, 1, "")
}

/// Starts a router with bodies of up to `body_kb` KiB, `memory_mb` MB for all bodies, and further settings for its front.
#[allow(
    clippy::too_many_lines,
    reason = "one scenario or table of cases, told in order"
)]
pub fn start_with(
    name: &str,
    work: Duration,
    body_kb: usize,
    memory_mb: usize,
    front: &str,
) -> Running {
    let folder = Path::new(env!("CARGO_TARGET_TMPDIR")).join(name);
    // Traces of an earlier run must not be read as traces of this run.
    let _ = std::fs::remove_dir_all(folder.join("traces"));
    std::fs::create_dir_all(&folder).expect("a folder");
    let logs = folder.join("traffic");
    let host = Host::new(2, Some(&logs)).expect("a host");
    let any = SocketAddr::from(([127, 0, 0, 1], 0));
    let profile = store::StoreProfile {
        mb_per_s: 1e6,
        full_rate_fetches: 8,
        max_fetches: 100,
    };
    let store = Store::start(&host, "store", any, profile).expect("a store");
    let profile = WorkerProfile::unlimited(100.0);
    let (start_up, prefix) = (Duration::from_millis(1), Duration::ZERO);
    let program = InvocationProfile {
        mean_work: work,
        copy_mb: 1.0,
        start_up_time: start_up,
        lanes: 50,
        idempotency_window: None,
        prefix_rebuild_work: prefix,
    };
    let programs = ["once", "again", "patient"].map(|k| (k.to_owned(), program.clone()));
    let (at, programs) = (store.server.address, HashMap::from(programs));
    let worker = Worker::start(
        &host,
        "worker",
        any,
        1,
        profile,
        at,
        programs,
        IdempotencyStore::default(),
    )
    .expect("a worker");
    let address = free_address();
    let file = folder.join("router.toml");
    let settings = format!(
        "[router]\nseed = 1\nmemory_mb = {memory_mb}\nmost_body_kb = {body_kb}\n[[trigger]]\nname = \"once\"\neffect = \"non-idempotent\"\n\
         latency_objective_ms = 900\nclient_timeout_ms = 3000\n[[trigger]]\nname = \"again\"\n\
         effect = \"idempotent\"\nlatency_objective_ms = 900\nclient_timeout_ms = 3000\n\
         [[trigger]]\nname = \"patient\"\neffect = \"non-idempotent\"\nlatency_objective_ms = 900\n\
         client_timeout_ms = 60000\n\
         [trace]\nfolder = \"traces\"\n[[kserve]]\nlisten = \"{address}\"\n{front}[workers]\nlist = [{{ address = \"{}\" }}]\n",
        worker.address
    );
    std::fs::write(&file, &settings).expect("written");
    let router = Command::new(env!("CARGO_BIN_EXE_cedarpulley"))
        .args(["--level", "warn", "serve"])
        .arg(&file)
        .stdout(Stdio::null())
        .spawn()
        .expect("the program starts");
    let running = Running {
        router,
        address,
        folder,
        logs,
        worker,
        _store: store,
    };
    let until = Instant::now() + Duration::from_secs(10);
    // A router listens at one address after the other.
    for address in listen_addresses(&settings) {
        while Instant::now() < until && TcpStream::connect(address).is_err() {
            std::thread::sleep(Duration::from_millis(20));
        }
    }
    running
}

/// The addresses at which a router with these settings listens.
fn listen_addresses(settings: &str) -> Vec<SocketAddr> {
    let rests = settings.split("listen = \"").skip(1);
    let texts = rests.filter_map(|rest| rest.split('"').next());
    texts.filter_map(|text| text.parse().ok()).collect()
}

impl Running {
    /// Returns the number of invocations that have reached the worker.
    pub fn received(&self) -> usize {
        self.logged(r#""what":"received""#)
    }

    /// Sends a request on a new connection.
    pub fn send(&self, method: &str, path: &str, headers: &str, body: &[u8]) -> TcpStream {
        let mut stream = TcpStream::connect(self.address).expect("the router listens");
        stream
            .set_read_timeout(Some(Duration::from_secs(10)))
            .expect("set");
        let length = body.len();
        let head = format!(
            "{method} {path} HTTP/1.1\r\nhost: x\r\nconnection: close\r\ncontent-length: {length}\r\n{headers}\r\n"
        );
        stream.write_all(head.as_bytes()).expect("written");
        // A router that has already rejected the request may not read the whole body.
        let _ = stream.write_all(body);
        stream
    }

    /// Sends a request and returns the status of the answer, and its head and body as text.
    pub fn ask(&self, method: &str, path: &str, headers: &str, body: &[u8]) -> (u16, String) {
        read(self.send(method, path, headers, body))
    }

    /// Returns how often the word occurs in the worker's log.
    pub fn logged(&self, word: &str) -> usize {
        self.worker.flush();
        let text = std::fs::read_to_string(self.logs.join("worker.ndjson")).expect("a log");
        text.matches(word).count()
    }
}

/// Reads an answer until the connection is closed; returns its status (0 without an answer) and its text.
pub fn read(mut stream: TcpStream) -> (u16, String) {
    let mut text = Vec::new();
    let _ = stream.read_to_end(&mut text);
    let text = String::from_utf8_lossy(&text).into_owned();
    (
        text.split(' ')
            .nth(1)
            .and_then(|s| s.parse().ok())
            .unwrap_or(0),
        text,
    )
}

/// Waits until the condition holds; returns false if it does not hold within ten seconds.
pub fn eventually(mut holds: impl FnMut() -> bool) -> bool {
    let until = Instant::now() + Duration::from_secs(10);
    while Instant::now() < until {
        if holds() {
            return true;
        }
        std::thread::sleep(Duration::from_millis(20));
    }
    false
}

impl Running {
    /// Sends SIGTERM to the router.
    pub fn request_stop(&self) {
        let pid = Pid::from_raw(self.router.id() as i32).expect("a pid");
        kill_process(pid, Signal::TERM).expect("signalled");
    }

    /// Waits for the router to exit; returns whether it exits with code 0.
    pub fn exits_successfully(&mut self) -> bool {
        let mut code = None;
        eventually(|| {
            code = self.router.try_wait().expect("waited").map(|s| s.code());
            code.is_some()
        });
        code == Some(Some(0))
    }
}
