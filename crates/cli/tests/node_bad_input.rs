//! Sends bursts of invalid input to `cedarpulley node`: each input gets its specified answer, does not affect other
//! clients, and leaves no file descriptor, buffer or pending answer behind.

use std::io::{BufReader, Read, Write};
use std::net::{Shutdown, TcpListener, TcpStream};

use rustix::process::Signal;

mod platform;
use platform::*;

/// Connections of one kind in a burst: more than the router can hold at once.
const BURST_CONNECTIONS: usize = 150;
const SOCKETS_LIMIT: &str = "\"sockets\":128";

fn world(part: u16) -> World {
    World::with(part, |c| c.replace("\"sockets\":256", SOCKETS_LIMIT))
}

fn descriptors(w: &World) -> usize {
    std::fs::read_dir(format!("/proc/{}/fd", w.node.id()))
        .expect("listed")
        .count()
}

fn memory_kb(w: &World) -> u64 {
    let process = procfs::process::Process::new(w.node.id() as i32).expect("the process runs");
    process.status().expect("a status").vmrss.expect("a size")
}

fn assert_served(w: &World, n: u32) {
    assert_eq!(
        w.ask(&call(&id(n), "plain", GOOD, "", "good"))
            .expect("an answer")
            .0,
        200,
        "{n}"
    );
}

/// Stops the router, which must exit successfully, and restarts it. A router without pending answers exits well before
/// the time limit after which it abandons pending answers.
fn assert_exits_without_pending_answers(w: &mut World) {
    w.signal(Signal::TERM);
    assert!(w.node.wait().expect("ended").success());
    w.node = start(&w.file, &w.folder, w.address);
}

/// One kind of invalid client input.
struct InvalidInput {
    name: &'static str,
    /// What the client sends.
    text: String,
    /// Whether the router answers before it closes the connection.
    answered: bool,
}

fn invalid_inputs() -> Vec<InvalidInput> {
    let good = call(&id(1), "plain", GOOD, "", "body");
    let with = |from: &str, to: &str| good.replace(from, to);
    let chunked = with("Content-Length: 4", "Transfer-Encoding: chunked");
    let kind = |name, text: String, answered| InvalidInput {
        name,
        text,
        answered,
    };
    vec![
        kind("nothing", String::new(), false),
        kind("half a head", good[..40].to_owned(), true),
        kind("half a body", good[..good.len() - 2].to_owned(), true),
        kind(
            "no request",
            "\u{16}\u{3}\u{1} hello\r\n\r\n".to_owned(),
            true,
        ),
        kind(
            "an endless head",
            format!("GET / HTTP/1.1\r\nX: {}", "y".repeat(20_000)),
            true,
        ),
        kind(
            "a huge length",
            with("Content-Length: 4", "Content-Length: 60000000"),
            true,
        ),
        kind(
            "a negative length",
            with("Content-Length: 4", "Content-Length: -4"),
            true,
        ),
        kind(
            "both lengths",
            with(
                "Content-Length: 4",
                "Content-Length: 4\r\nTransfer-Encoding: chunked",
            ),
            true,
        ),
        kind(
            "odd chunks",
            chunked.replace("body", "zz\r\nbody\r\n0\r\n\r\n"),
            true,
        ),
        kind("an unknown class", with("plain", "strange"), true),
        kind("an unknown tenant", with("acme", "nobody"), true),
        kind("no id", with("Req-Id", "Req-No"), true),
        kind("a wait beyond all bounds", with("60000", "1e99"), true),
        kind(
            "far more ahead than is kept",
            call(&id(2), "strange", GOOD, "", "").repeat(200),
            true,
        ),
    ]
}

#[test]
fn bursts_of_invalid_requests_leave_nothing_behind() {
    let mut w = world(30);
    assert_served(&w, 1_000);
    let (before, memory) = (descriptors(&w), memory_kb(&w));
    for (n, input) in invalid_inputs().into_iter().enumerate() {
        let mut kept = Vec::new();
        for m in 0..BURST_CONNECTIONS {
            let mut stream = w.connect();
            // The router may have closed the connection already.
            let _ = stream.write_all(input.text.as_bytes());
            match m % 3 {
                0 => drop(stream),
                1 => {
                    let _ = stream.shutdown(Shutdown::Write);
                    kept.push(stream);
                }
                _ => kept.push(stream),
            }
        }
        assert_served(&w, 2_000 + n as u32);
        let last = kept.pop().expect("one");
        let mut answers = BufReader::new(last);
        let answered = answer(&mut answers);
        assert_eq!(
            answered.is_some(),
            input.answered,
            "{}: {answered:?}",
            input.name
        );
        assert!(
            answered.is_none_or(|a| (400..=503).contains(&a.0)),
            "{}",
            input.name
        );
        assert_eq!(
            answers.read(&mut [0]).unwrap_or(0),
            0,
            "{}: the router closes the connection",
            input.name
        );
    }
    // Connections that are still being closed end by themselves.
    w.until("all descriptors are free", |w| descriptors(w) <= before);
    assert!(
        memory_kb(&w) < memory + (16 << 10),
        "{} kB before, {} after",
        memory,
        memory_kb(&w)
    );
    assert!(
        w.seen
            .lock()
            .expect("seen")
            .calls
            .iter()
            .all(|c| c.0 >= id(1_000))
    );
    assert_exits_without_pending_answers(&mut w);
}

/// The client timeouts are short: a worker with invalid answers is not selected for some time, and invocations queued
/// for it expire.
#[test]
fn bursts_of_invalid_answers_leave_nothing_behind() {
    let with_short_times = |c: String| {
        c.replace(":2000000000,", ":1000000,")
            .replace(":8000000000,", ":200000000,")
    };
    let mut w = World::with(31, |c| {
        with_short_times(c.replace("\"sockets\":256", SOCKETS_LIMIT))
    });
    assert_served(&w, 1_000);
    let before = descriptors(&w);
    let mut broken = 0;
    for (n, function) in [TWICE, NOISE, HALF, HUGE, CUT].into_iter().enumerate() {
        for m in 0..8 {
            let number = (n * 100 + m) as u32;
            let text = call(&id(number), "plain", function, "", "x")
                .replace("Wait-Ms: 60000", "Wait-Ms: 300");
            let a = w.ask(&text).expect("an answer");
            assert!(a.0 == 503 || a.0 == 200 && function == TWICE, "{a:?}");
            broken += if function == TWICE {
                0
            } else {
                w.calls(&id(number))
            };
        }
    }
    assert!(broken >= 3, "{broken} invocations reached the worker");
    w.until("all descriptors are free", |w| descriptors(w) <= before);
    assert_exits_without_pending_answers(&mut w);
}

/// The channel sends unusable answers before it announces valid events.
#[test]
fn unreadable_endpoint_lists_are_ignored_and_leave_nothing_behind() {
    let mut w = world(32);
    assert_served(&w, 1_000);
    let before = descriptors(&w);
    let ok = |body: &str| {
        format!(
            "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}",
            body.len()
        )
    };
    let odd_state = r#"{"cursor":2,"cmds":[{"cursor":2,"nodes":{"servers":[{"id":"s-1","addr":"x","state":"odd"}]}}]}"#;
    let answers = [
        "garbage\r\n\r\n".to_owned(),
        "HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n".to_owned(),
        "HTTP/1.1 200 OK\r\nContent-Length: 99999999999\r\n\r\n".to_owned(),
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n".to_owned(),
        "HTTP/1.1 200 OK\r\n\r\n".to_owned(),
        ok("{not json"),
        ok(r#"{"cursor":-1,"cmds":[]}"#),
        ok(odd_state),
        ok(&odd_state.replace("odd", "active")),
    ];
    let odd = own(32);
    let listener = TcpListener::bind(odd).expect("bind");
    let text = std::fs::read_to_string(&w.file).expect("read");
    let at = |address| {
        text.replace(
            &format!(r#""channel":"{}""#, w.first_channel),
            &format!(r#""channel":"{address}""#),
        )
    };
    std::fs::write(&w.file, at(odd)).expect("written");
    w.signal(Signal::HUP);
    for answer in answers {
        let (mut stream, _) = listener.accept().expect("the router polls again");
        assert!(stream.read(&mut [0; 512]).expect("a request") > 0);
        stream.write_all(answer.as_bytes()).expect("sent");
        // Wait until the router closes the connection after the unusable answer.
        while stream.read(&mut [0; 512]).is_ok_and(|n| n > 0) {}
    }
    assert_served(&w, 1_001);
    std::fs::write(&w.file, &text).expect("written");
    w.signal(Signal::HUP);
    let other = own(32);
    worker(TcpListener::bind(other).expect("bind"), w.seen.clone());
    w.tell(2, "s-2", other, "active");
    w.until("all descriptors are free", |w| descriptors(w) <= before);
    assert_exits_without_pending_answers(&mut w);
}

/// Clients keep their connections open after an answer, more of them than the router can hold, while discovery is
/// unreachable.
#[test]
fn idle_clients_leave_room_for_discovery_workers_and_others() {
    let w = World::with(33, |c| c.replace("\"sockets\":256", SOCKETS_LIMIT));
    let moved = own(33);
    let text = std::fs::read_to_string(&w.file).expect("read");
    let old = format!(r#""channel":"{}""#, w.first_channel);
    std::fs::write(
        &w.file,
        text.replace(&old, &format!(r#""channel":"{moved}""#)),
    )
    .expect("written");
    // No process listens at that address yet.
    w.signal(Signal::HUP);
    let idle: Vec<TcpStream> = (0..BURST_CONNECTIONS)
        .map(|_| {
            let mut stream = w.connect();
            stream
                .write_all(b"GET /-/healthy HTTP/1.1\r\n\r\n")
                .expect("sent");
            assert_eq!(
                answer(&mut BufReader::new(stream.try_clone().expect("clone")))
                    .expect("one")
                    .0,
                200
            );
            stream
        })
        .collect();
    assert!(descriptors(&w) < 128);
    assert_served(&w, 1);
    let channel_state = w.channel.clone();
    channel(TcpListener::bind(moved).expect("bind"), channel_state);
    let (other, seen) = (own(33), Shared::default());
    worker(TcpListener::bind(other).expect("bind"), seen.clone());
    w.tell(2, "s-2", other, "active");
    w.tell(3, "s-1", w.workers, "left");
    assert_served(&w, 2);
    assert_eq!(seen.lock().expect("seen").calls.len(), 1);
    drop(idle);
}

/// Guards against serving a request whose declared length cuts off its body: a worker ran the beginning of a body, and
/// the client was told that its request had succeeded.
#[test]
fn a_request_longer_than_its_length_is_never_served() {
    let w = world(34);
    let decided = [
        "}]",
        "\"hour\": 7}",
        "rest",
        "PO ST",
        "\r\n1;2\r\n",
        "\u{0}",
    ];
    let undecided = ["\r\n", "P", "GET", "DELETE ", "\n\n"];
    let mut clients = Vec::new();
    for (n, rest) in decided.iter().chain(&undecided).enumerate() {
        let text = call(&id(n as u32), "once", GOOD, "", "{\"slots\": [") + rest;
        let mut stream = w.connect();
        stream.write_all(text.as_bytes()).expect("sent");
        clients.push((stream, rest));
    }
    for (stream, rest) in clients {
        assert_rejected_once(stream, rest);
    }
    for (n, rest) in decided.iter().enumerate() {
        assert_eq!(w.calls(&id(n as u32)), 0, "{rest:?}");
    }
    assert_served(&w, 1_000);
}

/// As above, but the rest of the body arrives while the beginning is being executed.
#[test]
fn a_rest_of_a_body_that_arrives_late_cancels_the_execution() {
    let w = world(35);
    for (n, rest) in ["}]", "rest", "P\r\n"].into_iter().enumerate() {
        let id = id(n as u32);
        let mut stream = w.connect();
        let begin = call(&id, "once", KEPT, "", "{\"slots\": [");
        stream.write_all(begin.as_bytes()).expect("sent");
        w.until("the call is executed", |w| w.calls(&id) == 1);
        stream.write_all(rest.as_bytes()).expect("sent");
        assert_rejected_once(stream, rest);
        w.until("the call is cancelled", |w| {
            w.seen.lock().expect("seen").killed.contains(&id)
        });
        w.free(&id);
    }
    assert_served(&w, 1_000);
}

/// Reads the answer to a request that is longer than its length: a single one, after which the connection is closed.
fn assert_rejected_once(stream: TcpStream, rest: &str) {
    let mut answers = BufReader::new(stream);
    assert_eq!(answer(&mut answers).expect("an answer").0, 400, "{rest:?}");
    assert_eq!(answers.read(&mut [0]).unwrap_or(0), 0, "{rest:?}");
}

/// Guards against rejecting the requests of clients that send the next one before the answer, in pieces, after empty
/// lines, or malformed.
#[test]
fn pipelined_requests_are_answered_however_they_arrive() {
    let w = world(36);
    let second = "GET /-/healthy HTTP/1.1\r\nHost: x\r\n\r\n";
    let mut next_id = 0;
    for lines in ["", "\r\n"] {
        for cut in [1, 3, 4, 5, 20] {
            next_id += 1;
            let (id, first) = (id(next_id), call(&id(next_id), "once", GOOD, "", "body"));
            let mut stream = w.connect();
            let head = format!("{first}{lines}{}", &second[..cut]);
            stream.write_all(head.as_bytes()).expect("sent");
            w.until("the call is executed", |w| w.calls(&id) == 1);
            w.turns();
            stream.write_all(&second.as_bytes()[cut..]).expect("sent");
            let mut answers = BufReader::new(stream);
            for _ in 0..2 {
                assert_eq!(answer(&mut answers).expect("an answer").0, 200, "{head:?}");
            }
        }
    }
    let text = call(&id(100), "once", GOOD, "", "body") + "PUT /elsewhere HTTP/1.1\r\n\r\n";
    let mut stream = w.connect();
    stream.write_all(text.as_bytes()).expect("sent");
    let mut answers = BufReader::new(stream);
    for status in [200, 404] {
        assert_eq!(answer(&mut answers).expect("an answer").0, status);
    }
}
