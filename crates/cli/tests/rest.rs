//! The KServe v2 front over REST of a running router, before a stand-in worker.

use std::io::{Read, Write};
use std::net::TcpStream;
use std::time::Duration;

mod running;
use running::{MOST_BODY, comes, read, start, start_with};

/// For what must not end by the client's time, however long a machine takes.
const PATIENT: &str = "cedarpulley-trigger-type: patient\r\ncedarpulley-lanes: 50\r\n";
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
    let (status, text) = r.ask(
        "POST",
        "/v2/models/f/infer",
        "cedarpulley-trigger-type: what\r\n",
        b"{}",
    );
    assert!(
        status == 400 && text.contains("cedarpulley-trigger-type: 'what' is unknown"),
        "{text}"
    );
    let late = format!("{ONCE}cedarpulley-sent-at-us: 1000\r\n");
    let (status, text) = r.ask("POST", "/v2/models/f/infer", &late, b"{}");
    assert!(
        status == 429 && text.contains("cedarpulley-reason: expired"),
        "{text}"
    );
    assert_eq!(
        r.ask(
            "POST",
            "/v2/models/f/infer",
            ONCE,
            &vec![b' '; MOST_BODY + 1]
        )
        .0,
        413
    );
    assert_eq!(
        r.ask("POST", "/v2/models/f/infer", ONCE, &vec![b' '; MOST_BODY])
            .0,
        200
    );
    // A body shorter than told: nothing is dispatched for it.
    let before = r.received();
    let mut stream = TcpStream::connect(r.address).expect("it listens");
    let head = format!(
        "POST /v2/models/f/infer HTTP/1.1\r\nhost: x\r\n{ONCE}content-length: 10\r\n\r\n{{}}"
    );
    stream.write_all(head.as_bytes()).expect("written");
    drop(stream);
    std::thread::sleep(Duration::from_millis(100));
    assert_eq!(r.received(), before);
}

/// Its work takes longer than the test waits for the end of it.
#[test]
fn a_client_that_vanishes_has_its_dispatch_called_back_and_nothing_sent_again() {
    let r = start("rest-vanish", Duration::from_secs(30));
    let stream = r.send("POST", "/v2/models/f/infer", PATIENT, b"{}");
    assert!(comes(|| r.received() == 1), "the worker got it");
    drop(stream);
    assert!(
        comes(|| r.logged(r#""what":"left""#) == 1),
        "the worker saw its connection close before its work was done"
    );
    assert_eq!(r.received(), 1);
}

#[test]
#[expect(
    clippy::too_many_lines,
    reason = "one scenario or table of cases, told in order"
)]
fn a_router_told_to_stop_answers_what_it_took_and_ends_well() {
    let mut r = start("rest-stop", Duration::from_secs(3));
    let marked = |n: usize| format!("{PATIENT}x-request-id: call-{n}\r\n");
    let streams: Vec<TcpStream> = (0..5)
        .map(|n| r.send("POST", "/v2/models/f/infer", &marked(n), b"{}"))
        .collect();
    assert!(comes(|| r.received() == 5), "all are taken");
    r.told_to_stop();
    // As soon as it knows, nothing new is taken: it says so, or nobody listens any more.
    let refused = || {
        let Ok(mut late) = TcpStream::connect(r.address) else {
            return true;
        };
        late.set_read_timeout(Some(Duration::from_millis(100)))
            .expect("set");
        let head = format!(
            "POST /v2/models/f/infer HTTP/1.1\r\nhost: x\r\nconnection: close\r\n{PATIENT}content-length: 2\r\n\r\n{{}}"
        );
        let mut answer = [0; 12];
        match late
            .write_all(head.as_bytes())
            .and_then(|()| late.read(&mut answer))
        {
            Ok(n) => n == 0 || answer.ends_with(b"429"),
            Err(e) => e.kind() != std::io::ErrorKind::WouldBlock,
        }
    };
    assert!(comes(refused), "it still takes what is new");
    // Not only because all was answered and it has ended.
    let out = |s: &TcpStream| {
        s.set_nonblocking(true).expect("set");
        let out = s
            .peek(&mut [0])
            .is_err_and(|e| e.kind() == std::io::ErrorKind::WouldBlock);
        s.set_nonblocking(false).expect("set");
        out
    };
    assert!(
        streams.iter().any(out),
        "it refused only after its work was done"
    );
    assert!(streams.into_iter().all(|s| read(s).0 == 200));
    assert!(r.ended_well());
    // From its trace alone: the life of one of them, by the mark that its client gave it.
    let trace = |args: &[&str]| {
        let mut command = std::process::Command::new(env!("CARGO_BIN_EXE_cedarpulley"));
        let out = command
            .arg("trace")
            .args(args)
            .arg(r.folder.join("traces"))
            .output()
            .expect("it runs");
        (
            out.status.code(),
            String::from_utf8_lossy(&out.stdout).into_owned(),
        )
    };
    let (code, life) = trace(&["show", "call-3"]);
    let words = [
        "taken from kserve",
        "patient for f, gives up",
        "dispatched to 127.0.0.1",
        "Succeeded after",
        "answered: Succeeded",
    ];
    assert!(
        code == Some(0) && words.iter().all(|w| life.contains(w)),
        "{life}"
    );
    assert_eq!(trace(&["show", "nobody"]).0, Some(2));
    let (code, replayed) = trace(&["replay"]);
    assert!(
        code == Some(0) && replayed.contains("none differs; the same module"),
        "{replayed}"
    );
    assert_eq!(trace(&["verify"]).0, Some(0));
}

/// As many as descriptors allow, up to ten thousand; each costs the router little.
#[test]
fn idle_connections_hold_nobody_up() {
    let r = start_with(
        "rest-idle",
        Duration::from_millis(1),
        64,
        1,
        "most_connections = 10100\n",
    );
    let allowed = rustix::process::getrlimit(rustix::process::Resource::Nofile)
        .current
        .unwrap_or(u64::MAX);
    let many = allowed.saturating_sub(1000).min(10_000) / 2 * 2;
    let idle: Vec<TcpStream> = (0..many)
        .map(|_| TcpStream::connect(r.address).expect("it listens"))
        .collect();
    assert_eq!(r.ask("POST", "/v2/models/f/infer", ONCE, b"{}").0, 200);
    let status =
        std::fs::read_to_string(format!("/proc/{}/status", r.router.id())).expect("it runs");
    let kb = status.lines().find_map(|l| {
        l.strip_prefix("VmRSS:")?
            .trim()
            .strip_suffix("kB")?
            .trim()
            .parse()
            .ok()
    });
    let kb: u64 = kb.expect("a figure");
    assert!(
        kb < 40 * 1024 + 20 * many,
        "{kb} kB with {many} connections"
    );
    drop(idle);
    assert_eq!(r.ask("POST", "/v2/models/f/infer", ONCE, b"{}").0, 200);
}

#[test]
fn versions_raw_tensors_and_the_index() {
    let r = start("rest-more", Duration::from_millis(1));
    let (status, text) = r.ask("POST", "/v2/models/once%3Af/versions/2/infer", ONCE, b"{}");
    assert!(
        status == 200 && text.contains(r#""model_name":"once:f/versions/2""#),
        "{text}"
    );
    let (_, text) = r.ask("POST", "/v2/repository/index", "", b"{}");
    assert!(
        text.contains(r#"{"name":"once:f","reason":"","state":"READY","version":"2"}"#),
        "{text}"
    );
    let json =
        br#"{"inputs":[{"name":"x","datatype":"FP32","shape":[1],"parameters":{"binary_data_size":4}}]}"#;
    let body = [json.as_slice(), &[0, 1, 254, 255]].concat();
    let headers = format!("{ONCE}inference-header-content-length: {}\r\n", json.len());
    let mut stream = r.send("POST", "/v2/models/f/infer", &headers, &body);
    let mut answer = Vec::new();
    stream.read_to_end(&mut answer).expect("answered");
    assert!(
        answer.ends_with(&[0, 1, 254, 255]),
        "{}",
        String::from_utf8_lossy(&answer)
    );
    let text = String::from_utf8_lossy(&answer).into_owned();
    assert!(
        text.contains("inference-header-content-length: ") && text.contains("octet-stream"),
        "{text}"
    );
    let beyond = format!("{ONCE}inference-header-content-length: 500\r\n");
    let (status, text) = r.ask("POST", "/v2/models/f/infer", &beyond, b"{}");
    assert!(
        status == 400 && text.contains("beyond the body's end"),
        "{text}"
    );
}

#[test]
fn a_body_of_64_mb_passes_and_one_beyond_does_not() {
    let r = start_with("rest-large", Duration::from_millis(1), 64 * 1024, 200, "");
    let mut body = vec![b' '; 64 << 20];
    (body[0], body[(64 << 20) - 1]) = (b'{', b'}');
    assert_eq!(r.ask("POST", "/v2/models/f/infer", PATIENT, &body).0, 200);
    body.push(b' ');
    assert_eq!(r.ask("POST", "/v2/models/f/infer", PATIENT, &body).0, 413);
    assert_eq!(r.ask("POST", "/v2/models/f/infer", PATIENT, b"{}").0, 200);
}

/// Longer than told: what is beyond is read as the next request, and refused as one.
#[test]
fn half_closed_flooded_and_overlong() {
    let r = start("rest-odd", Duration::from_millis(500));
    // Half-closed cannot be told from gone: its dispatch is called back.
    let stream = r.send("POST", "/v2/models/f/infer", ONCE, b"{}");
    stream.shutdown(std::net::Shutdown::Write).expect("shut");
    assert_eq!(read(stream).0, 0);
    let before = r.received();
    let mut stream = TcpStream::connect(r.address).expect("it listens");
    stream
        .set_read_timeout(Some(Duration::from_secs(10)))
        .expect("set");
    let head = format!(
        "POST /v2/models/f/infer HTTP/1.1\r\nhost: x\r\n{ONCE}content-length: 2\r\n\r\n{{}}GARBAGE\r\n\r\n"
    );
    stream.write_all(head.as_bytes()).expect("written");
    let (status, text) = read(stream);
    assert!(status == 200 && text.contains("HTTP/1.1 400"), "{text}");
    assert_eq!(r.received(), before + 1);
    // Headers without end.
    let mut stream = TcpStream::connect(r.address).expect("it listens");
    stream
        .set_read_timeout(Some(Duration::from_secs(10)))
        .expect("set");
    let _ = stream.write_all(b"POST /v2/models/f/infer HTTP/1.1\r\n");
    (0..10_000).for_each(|n| drop(stream.write_all(format!("x-{n}: {n}\r\n").as_bytes())));
    let mut text = Vec::new();
    let _ = stream.read_to_end(&mut text);
    assert!(comes(
        || r.ask("POST", "/v2/models/f/infer", ONCE, b"{}").0 == 200
    ));
}

/// A client's own retry while the first is out: one dispatch, the same answer to both.
#[test]
fn the_same_token_twice_at_once_is_one_dispatch() {
    let r = start("rest-token", Duration::from_secs(1));
    let headers = format!("{PATIENT}idempotency-key: k1\r\n");
    let first = r.send("POST", "/v2/models/f/infer", &headers, b"{}");
    assert!(comes(|| r.received() == 1), "the first is out");
    let second = r.send("POST", "/v2/models/f/infer", &headers, b"{}");
    let (first, second) = (read(first), read(second));
    assert_eq!((first.0, second.0), (200, 200));
    let body = |text: &str| text.split("\r\n\r\n").nth(1).map(str::to_owned);
    assert_eq!(body(&first.1), body(&second.1));
    assert_eq!(r.received(), 1);
}

/// Bodies that are only promised count against the memory bound: beyond it a request is turned away unread.
#[test]
fn promised_bodies_are_bounded() {
    let r = start("rest-promised", Duration::from_millis(1));
    let head = format!(
        "POST /v2/models/f/infer HTTP/1.1\r\nhost: x\r\n{ONCE}content-length: {MOST_BODY}\r\n\r\n"
    );
    let promise = || {
        let mut stream = TcpStream::connect(r.address).expect("it listens");
        stream.write_all(head.as_bytes()).expect("written");
        stream
    };
    let promised: Vec<TcpStream> = (0..(1 << 20) / MOST_BODY).map(|_| promise()).collect();
    assert!(comes(|| r
        .ask("POST", "/v2/models/f/infer", PATIENT, b"{}")
        .0
        == 429));
    drop(promised);
    assert!(comes(|| r
        .ask("POST", "/v2/models/f/infer", PATIENT, b"{}")
        .0
        == 200));
}
