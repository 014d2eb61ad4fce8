//! The KServe v2 front of a running router, before a stand-in worker.

use std::collections::HashMap;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

use cedarpulley_standins::Ground;
use cedarpulley_standins::store::{self, Store};
use cedarpulley_standins::worker::{Memory, Nature, Program, Worker};
use rustix::process::{Pid, Signal, kill_process};

const MOST_BODY: usize = 64 * 1024;

struct Running {
    router: Child,
    address: SocketAddr,
    logs: PathBuf,
    worker: Worker,
    _store: Store,
}

impl Drop for Running {
    fn drop(&mut self) {
        let _ = self.router.kill();
        let _ = self.router.wait();
    }
}

/// A router with one worker whose invocations take so long.
fn start(name: &str, work: Duration) -> Running {
    let folder = Path::new(env!("CARGO_TARGET_TMPDIR")).join(name);
    let logs = folder.join("traffic");
    let ground = Ground::new(2, Some(&logs)).expect("a ground");
    let any = SocketAddr::from(([127, 0, 0, 1], 0));
    let nature = store::Nature { mb_per_s: 1e6, abreast: 8, most: 100 };
    let store = Store::start(&ground, "store", any, nature).expect("a store");
    let nature = Nature::roomy(100.0);
    let program = Program { work, copy_mb: 1.0, start_up: Duration::from_millis(1), lanes: 50, window: None };
    let programs = ["once", "again"].map(|k| (k.to_owned(), program.clone()));
    let (at, programs) = (store.server.address, HashMap::from(programs));
    let worker =
        Worker::start(&ground, "worker", any, 1, nature, at, programs, Memory::default()).expect("a worker");
    // A port that is free now; nobody else asks for it in the moment between.
    let address = TcpListener::bind(any).and_then(|l| l.local_addr()).expect("a free port");
    let file = folder.join("router.toml");
    let settings = format!(
        "[router]\nseed = 1\nmemory_mb = 1\nmost_body_kb = {}\n[[trigger]]\nname = \"once\"\neffect = \"non-idempotent\"\n\
         latency_objective_ms = 900\nclient_timeout_ms = 3000\n[[trigger]]\nname = \"again\"\n\
         effect = \"idempotent\"\nlatency_objective_ms = 900\nclient_timeout_ms = 3000\n\
         [[kserve]]\nlisten = \"{address}\"\n[workers]\nlist = [{{ address = \"{}\" }}]\n",
        MOST_BODY / 1024,
        worker.address
    );
    std::fs::write(&file, settings).expect("written");
    let router = Command::new(env!("CARGO_BIN_EXE_cedarpulley"))
        .args(["--level", "warn", "serve"])
        .arg(&file)
        .stdout(Stdio::null())
        .spawn()
        .expect("the program starts");
    let running = Running { router, address, logs, worker, _store: store };
    let until = Instant::now() + Duration::from_secs(10);
    while Instant::now() < until && TcpStream::connect(address).is_err() {
        std::thread::sleep(Duration::from_millis(20));
    }
    running
}

impl Running {
    fn send(&self, method: &str, path: &str, headers: &str, body: &[u8]) -> TcpStream {
        let mut stream = TcpStream::connect(self.address).expect("it listens");
        stream.set_read_timeout(Some(Duration::from_secs(10))).expect("set");
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
    fn ask(&self, method: &str, path: &str, headers: &str, body: &[u8]) -> (u16, String) {
        read(self.send(method, path, headers, body))
    }

    fn logged(&self, word: &str) -> usize {
        self.worker.flush();
        let text = std::fs::read_to_string(self.logs.join("worker.ndjson")).expect("a log");
        text.matches(word).count()
    }
}

fn read(mut stream: TcpStream) -> (u16, String) {
    let mut text = Vec::new();
    let _ = stream.read_to_end(&mut text);
    let text = String::from_utf8_lossy(&text).into_owned();
    (text.split(' ').nth(1).and_then(|s| s.parse().ok()).unwrap_or(0), text)
}

const ONCE: &str = "cedarpulley-trigger-type: once\r\ncedarpulley-lanes: 50\r\n";

#[test]
fn requests_are_answered_and_wrong_ones_named() {
    let r = start("rest-plain", Duration::from_millis(5));
    assert_eq!(r.ask("GET", "/v2/health/live", "", b"").0, 200);
    assert_eq!(r.ask("GET", "/v2/health/ready", "", b"").0, 200);
    assert_eq!(r.ask("GET", "/v2/nothing", "", b"").0, 404);
    assert_eq!(r.ask("GET", "/v2/models/f/infer", "", b"").0, 405);
    let (status, text) = r.ask("POST", "/v2/models/once%3Af/infer", ONCE, b"{}");
    assert_eq!(status, 200, "{text}");
    assert!(
        text.contains("cedarpulley-fate: succeeded") && text.contains(r#""model_name":"once:f""#),
        "{text}"
    );
    let (status, text) = r.ask("POST", "/v2/models/f/infer", "cedarpulley-trigger-type: what\r\n", b"{}");
    assert!(status == 400 && text.contains("cedarpulley-trigger-type: 'what' is unknown"), "{text}");
    let late = format!("{ONCE}cedarpulley-sent-at-us: 1000\r\n");
    let (status, text) = r.ask("POST", "/v2/models/f/infer", &late, b"{}");
    assert!(status == 429 && text.contains("cedarpulley-reason: expired"), "{text}");
    assert_eq!(r.ask("POST", "/v2/models/f/infer", ONCE, &vec![b' '; MOST_BODY + 1]).0, 413);
    assert_eq!(r.ask("POST", "/v2/models/f/infer", ONCE, &vec![b' '; MOST_BODY]).0, 200);
    // A body shorter than told: nothing is dispatched for it.
    let before = r.logged(r#""what":"received""#);
    let mut stream = TcpStream::connect(r.address).expect("it listens");
    let head = format!("POST /v2/models/f/infer HTTP/1.1\r\nhost: x\r\n{ONCE}content-length: 10\r\n\r\n{{}}");
    stream.write_all(head.as_bytes()).expect("written");
    drop(stream);
    std::thread::sleep(Duration::from_millis(100));
    assert_eq!(r.logged(r#""what":"received""#), before);
}

#[test]
fn a_client_that_vanishes_has_its_dispatch_called_back_and_nothing_sent_again() {
    let r = start("rest-vanish", Duration::from_millis(1500));
    let stream = r.send("POST", "/v2/models/f/infer", ONCE, b"{}");
    std::thread::sleep(Duration::from_millis(300));
    drop(stream);
    std::thread::sleep(Duration::from_millis(400));
    assert_eq!(r.logged(r#""what":"received""#), 1);
    assert_eq!(
        r.logged(r#""what":"left""#),
        1,
        "the worker saw its connection close before its work was done"
    );
}

#[test]
fn a_router_told_to_stop_answers_what_it_took_and_ends_well() {
    let mut r = start("rest-stop", Duration::from_millis(600));
    let streams: Vec<TcpStream> = (0..5).map(|_| r.send("POST", "/v2/models/f/infer", ONCE, b"{}")).collect();
    std::thread::sleep(Duration::from_millis(200));
    let pid = Pid::from_raw(r.router.id() as i32).expect("a pid");
    kill_process(pid, Signal::TERM).expect("told");
    std::thread::sleep(Duration::from_millis(50));
    // Nothing new is taken.
    if let Ok(mut late) = TcpStream::connect(r.address) {
        let head = format!(
            "POST /v2/models/f/infer HTTP/1.1\r\nhost: x\r\nconnection: close\r\n{ONCE}content-length: 2\r\n\r\n{{}}"
        );
        late.write_all(head.as_bytes()).expect("written");
        late.set_read_timeout(Some(Duration::from_secs(5))).expect("set");
        assert_eq!(read(late).0, 429);
    }
    assert!(streams.into_iter().all(|s| read(s).0 == 200));
    let until = Instant::now() + Duration::from_secs(5);
    while Instant::now() < until && r.router.try_wait().expect("waited").is_none() {
        std::thread::sleep(Duration::from_millis(20));
    }
    assert_eq!(r.router.try_wait().expect("waited").and_then(|s| s.code()), Some(0));
}

#[test]
fn idle_connections_hold_nobody_up() {
    let r = start("rest-idle", Duration::from_millis(1));
    let idle: Vec<TcpStream> =
        (0..1000).map(|_| TcpStream::connect(r.address).expect("it listens")).collect();
    assert_eq!(r.ask("POST", "/v2/models/f/infer", ONCE, b"{}").0, 200);
    drop(idle);
    assert_eq!(r.ask("POST", "/v2/models/f/infer", ONCE, b"{}").0, 200);
}

/// A client's own retry while the first is out: one dispatch, the same answer to both.
#[test]
fn the_same_token_twice_at_once_is_one_dispatch() {
    let r = start("rest-token", Duration::from_millis(500));
    let headers = format!("{ONCE}idempotency-key: k1\r\n");
    let first = r.send("POST", "/v2/models/f/infer", &headers, b"{}");
    std::thread::sleep(Duration::from_millis(100));
    let second = r.send("POST", "/v2/models/f/infer", &headers, b"{}");
    let (first, second) = (read(first), read(second));
    assert_eq!((first.0, second.0), (200, 200));
    let body = |text: &str| text.split("\r\n\r\n").nth(1).map(str::to_owned);
    assert_eq!(body(&first.1), body(&second.1));
    assert_eq!(r.logged(r#""what":"received""#), 1);
}

/// Bodies that are only promised count against the memory bound: beyond it a request is turned away unread.
#[test]
fn promised_bodies_are_bounded() {
    let r = start("rest-promised", Duration::from_millis(1));
    let head =
        format!("POST /v2/models/f/infer HTTP/1.1\r\nhost: x\r\n{ONCE}content-length: {MOST_BODY}\r\n\r\n");
    let promise = || {
        let mut stream = TcpStream::connect(r.address).expect("it listens");
        stream.write_all(head.as_bytes()).expect("written");
        stream
    };
    let promised: Vec<TcpStream> = (0..(1 << 20) / MOST_BODY).map(|_| promise()).collect();
    std::thread::sleep(Duration::from_millis(200));
    assert_eq!(r.ask("POST", "/v2/models/f/infer", ONCE, b"{}").0, 429);
    drop(promised);
    std::thread::sleep(Duration::from_millis(200));
    assert_eq!(r.ask("POST", "/v2/models/f/infer", ONCE, b"{}").0, 200);
}
