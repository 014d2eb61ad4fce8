//! `cedarpulley node` over real sockets, against a small scripted worker, command channel and clients: rules
//! and counts, never times.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU16, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// Long enough for anything here on a loaded machine; only a failing test waits so long.
const PATIENCE: Duration = Duration::from_secs(20);

/// Functions by which the worker knows how to behave.
const GOOD: &str = "00000000000000a0";
const NOISE: &str = "00000000000000a1";
const TWICE: &str = "00000000000000a2";
const SLOW: &str = "00000000000000a3";
const HUGE: &str = "00000000000000a4";
const HALF: &str = "00000000000000a5";

/// An address of this process's own.
fn own(part: u16) -> SocketAddr {
    static LAST: AtomicU16 = AtomicU16::new(0);
    let pid = std::process::id();
    let n = LAST.fetch_add(1, Ordering::Relaxed);
    SocketAddr::from(([127, 100 + part as u8, (pid >> 8) as u8, pid as u8], 5050 + n))
}

/// What crossed the worker's sockets.
#[derive(Default)]
struct Seen {
    calls: Vec<(String, String)>,
    killed: Vec<String>,
    /// Answers of `SLOW` that are written.
    written: Vec<String>,
    connections: usize,
    orders: Vec<String>,
}

type Shared = Arc<Mutex<Seen>>;

fn worker(listener: TcpListener, seen: Shared) {
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            seen.lock().expect("seen").connections += 1;
            let seen = seen.clone();
            thread::spawn(move || serve(stream, &seen));
        }
    });
}

fn serve(stream: TcpStream, seen: &Shared) {
    let mut lines = BufReader::new(stream.try_clone().expect("clone"));
    let mut out = stream;
    let mut line = String::new();
    while lines.read_line(&mut line).is_ok_and(|n| n > 0) {
        let words: Vec<&str> = line.trim_end().split(' ').collect();
        match words[..] {
            ["FN", id, fields, length] => {
                let mut body = vec![0; length.parse::<usize>().expect("a length") + 2];
                lines.read_exact(&mut body).expect("the body");
                body.truncate(body.len() - 2);
                let function = fields.split(',').find_map(|f| f.strip_prefix("obj=")).expect("a function");
                seen.lock().expect("seen").calls.push((id.to_owned(), function.to_owned()));
                let mut good = format!("{id} ok same=0 {}\r\n", body.len()).into_bytes();
                good.extend_from_slice(&body);
                good.extend_from_slice(b"\r\n");
                let answer = match function {
                    NOISE => b"\xff\x00 what is this\r\n".to_vec(),
                    TWICE => [b"ffffffffffffffff ok - 3\r\nxyz\r\n", &good[..], &good[..]].concat(),
                    HUGE => format!("{id} ok - 3221225472\r\nmore and more").into_bytes(),
                    HALF => format!("{id} ok - 10\r\nhalf").into_bytes(),
                    SLOW => {
                        let mut out = out.try_clone().expect("clone");
                        let (seen, id) = (seen.clone(), id.to_owned());
                        thread::spawn(move || {
                            thread::sleep(Duration::from_millis(600));
                            let _ = out.write_all(&good);
                            seen.lock().expect("seen").written.push(id);
                        });
                        Vec::new()
                    }
                    _ => good,
                };
                if out.write_all(&answer).is_err() {
                    return;
                }
            }
            ["KILL", id] => seen.lock().expect("seen").killed.push(id.to_owned()),
            ["SPAWN", tag, fields] => {
                seen.lock().expect("seen").orders.push(fields.to_owned());
                out.write_all(format!("{tag} ok n=1 0\r\n\r\n").as_bytes()).expect("an answer");
            }
            ["REAP", _] => {}
            _ => panic!("the worker was told {line:?}"),
        }
        line.clear();
    }
}

/// A channel that tells what it is given to tell.
#[derive(Default)]
struct Channel {
    events: Vec<String>,
    /// Breaks off in the middle of the next answer.
    breaks: bool,
    asked: Vec<u64>,
}

fn channel(listener: TcpListener, shared: Arc<Mutex<Channel>>) {
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let shared = shared.clone();
            thread::spawn(move || tell(stream, &shared));
        }
    });
}

fn tell(stream: TcpStream, shared: &Mutex<Channel>) {
    let mut lines = BufReader::new(stream.try_clone().expect("clone"));
    let mut out = stream;
    let mut line = String::new();
    while lines.read_line(&mut line).is_ok_and(|n| n > 0) {
        if let Some(from) = line.strip_prefix("GET /cmd/next?resume=") {
            let from: u64 = from.split('&').next().expect("a number").parse().expect("a number");
            shared.lock().expect("channel").asked.push(from);
            let until = Instant::now() + Duration::from_millis(400);
            while Instant::now() < until && shared.lock().expect("channel").events.len() as u64 <= from {
                thread::sleep(Duration::from_millis(5));
            }
            let mut it = shared.lock().expect("channel");
            let new = &it.events[(from as usize).min(it.events.len())..];
            let body = format!(r#"{{"cursor":{},"cmds":[{}]}}"#, from + new.len() as u64, new.join(","));
            let text = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len());
            if std::mem::take(&mut it.breaks) {
                let _ = out.write_all(&text.as_bytes()[..text.len() - 5]);
                return;
            }
            drop(it);
            if out.write_all(text.as_bytes()).is_err() {
                return;
            }
        }
        line.clear();
    }
}

struct World {
    node: Child,
    address: SocketAddr,
    seen: Shared,
    channel: Arc<Mutex<Channel>>,
    workers: SocketAddr,
    file: std::path::PathBuf,
    first_channel: SocketAddr,
}

fn event(cursor: u64, worker: SocketAddr, id: &str, state: &str) -> String {
    format!(
        r#"{{"cursor":{cursor},"nodes":{{"version":1,"full":false,"servers":[{{"id":"{id}","addr":"{worker}",
        "zone":"east","kind":"std","cell":0,"state":"{state}","weight":1,"started_ms":0}}]}}}}"#
    )
    .replace('\n', "")
}

impl World {
    fn new(part: u16) -> World {
        World::with(part, 256)
    }

    fn with(part: u16, sockets: u32) -> World {
        World::of(part, sockets, "miss")
    }

    /// `absent`: what a worker does that lacks the function.
    fn of(part: u16, sockets: u32, absent: &str) -> World {
        let (seen, told) = (Shared::default(), Arc::new(Mutex::new(Channel::default())));
        let (workers, address, first_channel) = (own(part), own(part), own(part));
        worker(TcpListener::bind(workers).expect("bind"), seen.clone());
        channel(TcpListener::bind(first_channel).expect("bind"), told.clone());
        told.lock().expect("channel").events.push(event(1, workers, "s-1", "active"));
        let known = format!(r#"{{"cursor":1,"cmds":[{}]}}"#, event(1, workers, "s-1", "active"));
        let config = format!(
            r#"{{"name":"n0","listen":"{address}","seed":"00000000000000ff",
            "channel":"{first_channel}","known":{known},
            "limits":{{"cores":1.0,"memory_mb":64,"sockets":{sockets}}},
            "settings":{{"granularity":1000000,"fleetSize":1,
            "zones":["east"],"kinds":["std"],"orgs":[{{"name":"acme","allowancePerS":100000,"share":1}}],
            "permissions":{{"cancel":true,"sendCap":3,"retryAfter":true,
            "maxRetryAfter":1000000000,"streamsPerConn":10,
            "connectTimeout":250000000,"keepalive":15000000000}},
            "rules":{{"answerSlack":5000000,"stopSendingWithin":500000000,
            "overloadFactor":1000,"fall":3000000000}},
            "familyInfo":{{"mayLoad":true,"whenAbsent":"{absent}","answerWithin":4000000000,
            "staysLoaded":5000000000,"tellsCrowd":true}},
            "services":[{{"name":"plain","aim":400000000,"hardLimit":2000000000,"effect":"retryable"}},
            {{"name":"once","aim":400000000,"hardLimit":2000000000,"effect":"fragile"}}]}}}}"#
        );
        let file = std::env::temp_dir().join(format!("cedarpulley-node-{}-{part}.json", std::process::id()));
        std::fs::write(&file, config).expect("written");
        let mut world =
            World { node: start(&file, address), address, seen, channel: told, workers, file, first_channel };
        let until = Instant::now() + PATIENCE;
        while world.ask("GET /-/healthy HTTP/1.1\r\nHost: x\r\n\r\n").is_none_or(|a| a.0 != 200) {
            assert!(
                Instant::now() < until && world.node.try_wait().expect("a state").is_none(),
                "it does not serve"
            );
            thread::sleep(Duration::from_millis(10));
        }
        world
    }

    fn connect(&self) -> TcpStream {
        let stream = TcpStream::connect(self.address).expect("it listens");
        stream.set_read_timeout(Some(PATIENCE)).expect("set");
        stream
    }

    fn ask(&self, text: &str) -> Option<(u16, String, Vec<u8>)> {
        let mut stream = TcpStream::connect(self.address).ok()?;
        stream.set_read_timeout(Some(PATIENCE)).expect("set");
        stream.write_all(text.as_bytes()).ok()?;
        answer(&mut BufReader::new(stream))
    }

    fn calls(&self, id: &str) -> usize {
        self.seen.lock().expect("seen").calls.iter().filter(|c| c.0 == id).count()
    }

    fn signal(&self, signal: rustix::process::Signal) {
        let pid = rustix::process::Pid::from_child(&self.node);
        rustix::process::kill_process(pid, signal).expect("signalled");
    }

    /// Waits for something that must come about.
    fn until(&self, what: &str, mut came: impl FnMut(&Self) -> bool) {
        let until = Instant::now() + PATIENCE;
        while !came(self) {
            assert!(Instant::now() < until, "{what}");
            thread::sleep(Duration::from_millis(10));
        }
    }
}

impl Drop for World {
    fn drop(&mut self) {
        let lives = self.node.try_wait().is_ok_and(|ended| ended.is_none());
        let _ = self.node.kill();
        let _ = self.node.wait();
        let _ = std::fs::remove_file(&self.file);
        assert!(lives || thread::panicking(), "the router has ended");
    }
}

fn start(file: &std::path::Path, address: SocketAddr) -> Child {
    Command::new(env!("CARGO_BIN_EXE_cedarpulley"))
        .args(["--level", "warn", "node"])
        .env("BALANCER_CONFIG", file)
        .env("BALANCER_LISTEN", address.to_string())
        .env("BALANCER_NAME", "n0")
        .stdout(Stdio::null())
        .spawn()
        .expect("started")
}

/// Status, head and body.
fn answer(stream: &mut BufReader<TcpStream>) -> Option<(u16, String, Vec<u8>)> {
    let mut head = String::new();
    while !head.ends_with("\r\n\r\n") {
        stream.read_line(&mut head).ok().filter(|n| *n > 0)?;
    }
    let length = head.lines().find_map(|l| l.strip_prefix("Content-Length: "))?;
    let mut body = vec![0; length.parse().ok()?];
    stream.read_exact(&mut body).ok()?;
    Some((head.split(' ').nth(1)?.parse().ok()?, head, body))
}

fn call(id: &str, class: &str, function: &str, extra: &str, body: &str) -> String {
    let length = body.len();
    format!(
        "POST /api/v2/{function}/call HTTP/1.1\r\nHost: backend.local\r\nX-Class: {class}\r\nReq-Id: {id}\r\n\
         Req-Wait-Ms: 2000\r\nReq-Owner: acme\r\n{extra}Content-Length: {length}\r\n\r\n{body}"
    )
}

fn id(n: u32) -> String {
    format!("{n:016x}")
}

#[test]
fn calm_traffic_is_served_once_each_also_sent_ahead() {
    let w = World::new(1);
    let stream = w.connect();
    let mut answers = BufReader::new(stream.try_clone().expect("clone"));
    let mut out = stream;
    let ahead: String = (0..8).map(|n| call(&id(n), "plain", GOOD, "", &format!("body {n}"))).collect();
    out.write_all(ahead.as_bytes()).expect("sent");
    for n in 0..8 {
        let a = answer(&mut answers).expect("an answer");
        assert_eq!((a.0, a.2), (200, format!("body {n}").into_bytes()));
    }
    out.write_all(call(&id(9), "once", GOOD, "Connection: close\r\n", "last").as_bytes()).expect("sent");
    let a = answer(&mut answers).expect("an answer");
    assert_eq!((a.0, a.1.contains("Connection: close")), (200, true));
    assert!(answer(&mut answers).is_none());
    assert!((0..8).chain([9]).all(|n| w.calls(&id(n)) == 1));
    let seen = w.seen.lock().expect("seen");
    assert!(seen.orders.iter().all(|o| o.contains(GOOD)) && !seen.orders.is_empty());
    drop(seen);
}

/// Fleet test: orders for copies that stood already were two in three of all that 300 routers sent.
#[test]
fn where_workers_load_on_a_miss_the_first_call_needs_no_order() {
    let w = World::of(14, 256, "load");
    let a = w.ask(&call(&id(1), "plain", GOOD, "", "first")).expect("an answer");
    assert_eq!((a.0, a.2, w.calls(&id(1))), (200, b"first".to_vec(), 1));
    assert!(w.seen.lock().expect("seen").orders.is_empty());
}

#[test]
fn rude_clients_get_a_refusal_and_nothing_of_theirs_reaches_a_worker() {
    let w = World::new(2);
    let rude = [
        call(&id(1), "plain", GOOD, "Transfer-Encoding: chunked\r\n", "0\r\n\r\nPOST /"),
        call(&id(2), "nobody", GOOD, "", ""),
        call("xyz", "plain", GOOD, "", ""),
        call(&id(3), "plain", "nothex", "", ""),
        call(&id(4), "plain", GOOD, "X-Extras: lanes:-1\r\n", ""),
        call(&id(5), "plain", GOOD, "Req-Cost: nan\r\n", ""),
        "POST /api/v2/00000000000000a0/call HTTP/1.1\r\nContent-Length: -7\r\n\r\n".to_owned(),
        "GARBAGE\r\n\r\n".to_owned(),
        format!("GET / HTTP/1.1\r\nX: {}", "y".repeat(20_000)),
    ];
    for text in &rude {
        let a = w.ask(text).unwrap_or_else(|| panic!("no answer to {}", &text[..text.len().min(200)]));
        assert!((400..500).contains(&a.0) && a.0 != 429, "{a:?}");
    }
    // A large body is refused by its head, and the refusal is not lost while the rest is still being sent.
    let mut stream = w.connect();
    let head = call(&id(6), "plain", GOOD, "", "").replace("Content-Length: 0", "Content-Length: 8000000");
    stream.write_all(head.as_bytes()).expect("sent");
    let mut sender = stream.try_clone().expect("clone");
    let sending = thread::spawn(move || sender.write_all(&vec![b'z'; 8_000_000]).is_ok());
    assert_eq!(answer(&mut BufReader::new(stream)).expect("an answer").0, 413);
    let _ = sending.join();
    // Silent and half ones are closed by the router.
    for text in ["", "POST /api/v2/00000000000000a0/call HT"] {
        let mut stream = w.connect();
        stream.write_all(text.as_bytes()).expect("sent");
        assert_eq!(stream.read(&mut [0; 16]).expect("closed, not silent"), 0);
    }
    assert!(w.seen.lock().expect("seen").calls.is_empty());
}

/// Symptom: a refusal is kept for a while so that it is read, and its descriptor is not free for the next
/// client.
#[test]
fn hundreds_that_are_silent_or_refused_leave_room_for_others() {
    let w = World::with(3, 128);
    for (n, text) in [(1, ""), (2, "GARBAGE\r\n\r\n")] {
        let mut kept = Vec::new();
        for _ in 0..300 {
            let mut stream = w.connect();
            stream.write_all(text.as_bytes()).expect("sent");
            kept.push(stream);
        }
        assert_eq!(w.ask(&call(&id(n), "plain", GOOD, "", "still")).expect("an answer").0, 200);
        let fds = std::fs::read_dir(format!("/proc/{}/fd", w.node.id())).expect("listed").count();
        assert!(fds < 128, "{fds} descriptors");
    }
    assert_eq!(w.ask(&call(&id(3), "plain", GOOD, "", "again")).expect("an answer").0, 200);
}

#[test]
fn an_open_id_is_refused_to_a_second_and_the_first_unharmed() {
    let w = World::new(4);
    let mut first = w.connect();
    first.write_all(call(&id(1), "once", SLOW, "", "mine").as_bytes()).expect("sent");
    w.until("the first is out", |w| w.calls(&id(1)) == 1);
    assert_eq!(w.ask(&call(&id(1), "once", GOOD, "", "not mine")).expect("an answer").0, 409);
    let a = answer(&mut BufReader::new(first)).expect("an answer");
    assert_eq!((a.0, a.2), (200, b"mine".to_vec()));
    assert_eq!(w.calls(&id(1)), 1);
}

#[test]
fn spoilt_answers_harm_only_their_own() {
    // What must not run twice and may have run is dispatched once and answered with an error. A fresh router
    // each, as the module passes over a worker that spoilt its last answer.
    for (n, function) in [(2, NOISE), (3, HUGE), (4, HALF)] {
        let w = World::new(10 + n as u16);
        // Good, with more beside it that is not its own.
        let a = w.ask(&call(&id(1), "plain", TWICE, "", "one")).expect("an answer");
        assert_eq!((a.0, a.2), (200, b"one".to_vec()));
        // Out at the same time as a spoilt one, a good one comes through.
        let mut slow = w.connect();
        slow.write_all(call(&id(5), "once", SLOW, "", "kept").as_bytes()).expect("sent");
        w.until("it is out", |w| w.calls(&id(5)) == 1);
        let a = w.ask(&call(&id(n), "once", function, "", "x")).expect("an answer");
        assert!(a.0 >= 500 && a.0 != 503, "{a:?}");
        assert_eq!(w.calls(&id(n)), 1);
        assert_eq!(answer(&mut BufReader::new(slow)).expect("an answer").2, b"kept");
    }
}

/// Fleet test, join: routers ended in a panic when the telling of one client's leaving answered another. The
/// router asserts, built for tests, that no book is open then.
#[test]
fn a_client_that_leaves_has_its_dispatch_called_back() {
    let w = World::new(6);
    let mut stream = w.connect();
    stream.write_all(call(&id(1), "plain", SLOW, "", "x").as_bytes()).expect("sent");
    w.until("it is out", |w| w.calls(&id(1)) == 1);
    drop(stream);
    w.until("it is called back", |w| w.seen.lock().expect("seen").killed.contains(&id(1)));
}

/// Symptom: a client says that it sends nothing more just as its answer comes, and gets none.
#[test]
fn an_answer_that_came_before_its_client_stopped_sending_is_written() {
    let w = World::new(15);
    let mut stream = w.connect();
    stream.write_all(call(&id(1), "once", SLOW, "", "x").as_bytes()).expect("sent");
    w.until("it is out", |w| w.calls(&id(1)) == 1);
    // The router finds both at once, the answer first.
    w.signal(rustix::process::Signal::STOP);
    w.until("its answer is written", |w| w.seen.lock().expect("seen").written.contains(&id(1)));
    stream.shutdown(std::net::Shutdown::Write).expect("shut");
    w.signal(rustix::process::Signal::CONT);
    assert_eq!(answer(&mut BufReader::new(stream)).expect("an answer").0, 200);
}

#[test]
fn the_channel_breaks_moves_and_goes_on_where_it_was() {
    let w = World::new(7);
    let second = Shared::default();
    let address = own(7);
    worker(TcpListener::bind(address).expect("bind"), second.clone());
    // The event breaks off in the middle and comes again.
    w.channel.lock().expect("channel").breaks = true;
    w.channel.lock().expect("channel").events.push(event(2, w.workers, "s-1", "left"));
    w.channel.lock().expect("channel").events.push(event(3, address, "s-2", "active"));
    w.until("the change is told", |w| w.channel.lock().expect("channel").asked.contains(&3));
    assert_eq!(w.ask(&call(&id(1), "plain", GOOD, "", "x")).expect("an answer").0, 200);
    assert_eq!((w.calls(&id(1)), second.lock().expect("seen").calls.len()), (0, 1));
    // The configuration names another channel: the numbers go on there.
    let moved = Arc::new(Mutex::new(Channel::default()));
    moved.lock().expect("channel").events = w.channel.lock().expect("channel").events.clone();
    let to = own(7);
    channel(TcpListener::bind(to).expect("bind"), moved.clone());
    let text = std::fs::read_to_string(&w.file).expect("read");
    std::fs::write(&w.file, "not json").expect("written");
    w.signal(rustix::process::Signal::HUP);
    assert_eq!(w.ask(&call(&id(2), "plain", GOOD, "", "x")).expect("an answer").0, 200);
    let old = format!(r#""channel":"{}""#, w.first_channel);
    std::fs::write(&w.file, text.replace(&old, &format!(r#""channel":"{to}""#))).expect("written");
    w.signal(rustix::process::Signal::HUP);
    w.until("the new channel is asked", |_| moved.lock().expect("channel").asked.first() == Some(&3));
    // A new worker at the address of one that has gone is another worker.
    moved.lock().expect("channel").events.push(event(4, address, "s-2", "left"));
    moved.lock().expect("channel").events.push(event(5, address, "s-3", "active"));
    w.until("it is told", |_| moved.lock().expect("channel").asked.contains(&5));
    let before = second.lock().expect("seen").connections;
    assert_eq!(w.ask(&call(&id(3), "plain", GOOD, "", "x")).expect("an answer").0, 200);
    assert!(second.lock().expect("seen").connections > before, "an old connection was used");
}

#[test]
fn an_order_to_stop_leaves_nothing_unanswered() {
    let mut w = World::new(8);
    let mut stream = w.connect();
    stream.write_all(call(&id(1), "once", SLOW, "", "x").as_bytes()).expect("sent");
    w.until("it is out", |w| w.calls(&id(1)) == 1);
    w.signal(rustix::process::Signal::TERM);
    // What crosses the order is served still, and told that the connection closes.
    let a = w.ask(&call(&id(2), "plain", GOOD, "", "crossed")).expect("an answer");
    assert_eq!(a.0, 200);
    let a = answer(&mut BufReader::new(stream)).expect("an answer");
    assert_eq!((a.0, a.1.contains("Connection: close")), (200, true));
    assert!(w.node.wait().expect("ended").success());
    // It starts again from nothing on the same address at once.
    w.node = start(&w.file, w.address);
    w.until("it serves again", |w| w.ask("GET /-/healthy HTTP/1.1\r\n\r\n").is_some_and(|a| a.0 == 200));
    assert_eq!(w.ask(&call(&id(3), "plain", GOOD, "", "x")).expect("an answer").0, 200);
}

#[test]
fn a_bad_start_is_one_line_with_the_cause() {
    let run = |config: Option<&str>, listen: &str| {
        let mut it = Command::new(env!("CARGO_BIN_EXE_cedarpulley"));
        it.arg("node").env("BALANCER_LISTEN", listen).env_remove("BALANCER_CONFIG");
        if let Some(config) = config {
            it.env("BALANCER_CONFIG", config);
        }
        let out = it.output().expect("run");
        let text = String::from_utf8_lossy(&out.stderr).into_owned();
        assert_eq!((out.status.code(), text.lines().count()), (Some(2), 1), "{text}");
        text
    };
    assert!(run(None, "127.0.0.1:1").contains("BALANCER_CONFIG"));
    assert!(run(Some("/nowhere/at/all"), "127.0.0.1:1").contains("/nowhere/at/all"));
    assert!(run(Some("/nowhere"), "here").contains("BALANCER_LISTEN"));
    let odd = std::env::temp_dir().join(format!("cedarpulley-node-odd-{}", std::process::id()));
    std::fs::write(&odd, "{").expect("written");
    run(odd.to_str(), "127.0.0.1:1");
    let _ = std::fs::remove_file(&odd);
    let w = World::new(9);
    assert!(run(w.file.to_str(), &w.address.to_string()).contains("BALANCER_LISTEN"));
}
