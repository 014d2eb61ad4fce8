//! A running router with a front for callers, before a stand-in worker.
#![allow(dead_code)] // Each test file uses its part.

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

pub const MOST_BODY: usize = 64 * 1024;

pub struct Running {
    pub router: Child,
    pub address: SocketAddr,
    pub folder: PathBuf,
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

/// So many ports were given to tests of this process, or were taken.
static GIVEN: AtomicU16 = AtomicU16::new(0);

/// Ports that no system gives out by itself, neither to a listener that asks for any nor to a client.
const FIRST_PORT: u16 = 10_000;
const PORTS: u16 = 20_000;

/// A port that is free now and that no other test was given. Symptom: one that the system had given out is free
/// again until the router listens, so another test's router, worker or client got it, and clients called that.
pub fn free_address() -> SocketAddr {
    let first = (std::process::id() % u32::from(PORTS)) as u16;
    let next = || FIRST_PORT + first.wrapping_add(GIVEN.fetch_add(1, Ordering::Relaxed)) % PORTS;
    let mut addresses = (0..PORTS).map(|_| SocketAddr::from(([127, 0, 0, 1], next())));
    // Not bound to see: a router that another test starts just then holds a copy of that listener until it runs.
    addresses
        .find(|a| TcpStream::connect(a).is_err())
        .expect("a free port")
}

/// A router with one worker whose invocations take so long.
pub fn start(name: &str, work: Duration) -> Running {
    start_with(name, work, MOST_BODY / 1024, 1, "")
}

/// With bodies up to `body_kb`, so many megabytes for all of them, and more lines for its front.
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
    // What an earlier run left must not be read as this one's.
    let _ = std::fs::remove_dir_all(folder.join("traces"));
    std::fs::create_dir_all(&folder).expect("a folder");
    let logs = folder.join("traffic");
    let ground = Host::new(2, Some(&logs)).expect("a ground");
    let any = SocketAddr::from(([127, 0, 0, 1], 0));
    let nature = store::StoreProfile {
        mb_per_s: 1e6,
        full_rate_fetches: 8,
        max_fetches: 100,
    };
    let store = Store::start(&ground, "store", any, nature).expect("a store");
    let nature = WorkerProfile::unlimited(100.0);
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
        &ground,
        "worker",
        any,
        1,
        nature,
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
    std::fs::write(&file, settings).expect("written");
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
    while Instant::now() < until && TcpStream::connect(address).is_err() {
        std::thread::sleep(Duration::from_millis(20));
    }
    running
}

impl Running {
    /// So many invocations have reached the worker.
    pub fn received(&self) -> usize {
        self.logged(r#""what":"received""#)
    }

    pub fn send(&self, method: &str, path: &str, headers: &str, body: &[u8]) -> TcpStream {
        let mut stream = TcpStream::connect(self.address).expect("it listens");
        stream
            .set_read_timeout(Some(Duration::from_secs(10)))
            .expect("set");
        let length = body.len();
        let head = format!(
            "{method} {path} HTTP/1.1\r\nhost: x\r\nconnection: close\r\ncontent-length: {length}\r\n{headers}\r\n"
        );
        stream.write_all(head.as_bytes()).expect("written");
        // A router that has said no already may not read all of it.
        let _ = stream.write_all(body);
        stream
    }

    /// Status, and head and body as text.
    pub fn ask(&self, method: &str, path: &str, headers: &str, body: &[u8]) -> (u16, String) {
        read(self.send(method, path, headers, body))
    }

    pub fn logged(&self, word: &str) -> usize {
        self.worker.flush();
        let text = std::fs::read_to_string(self.logs.join("worker.ndjson")).expect("a log");
        text.matches(word).count()
    }
}

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

/// Waits for it to hold; false if it does not within ten seconds.
pub fn comes(mut holds: impl FnMut() -> bool) -> bool {
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
    pub fn told_to_stop(&self) {
        let pid = Pid::from_raw(self.router.id() as i32).expect("a pid");
        kill_process(pid, Signal::TERM).expect("told");
    }

    /// Ended by itself and in good order.
    pub fn ended_well(&mut self) -> bool {
        let mut code = None;
        comes(|| {
            code = self.router.try_wait().expect("waited").map(|s| s.code());
            code.is_some()
        });
        code == Some(Some(0))
    }
}
