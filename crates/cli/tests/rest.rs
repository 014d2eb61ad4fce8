//! Tests the KServe v2 front over REST of a running router with an emulated worker.

use std::io::{Read, Write};
use std::net::TcpStream;
use std::time::Duration;

mod running;
use running::{MAX_BODY_BYTES, eventually, read, start, start_with};

/// Headers of requests that must not end by the client timeout, however slow the machine is.
const LONG_TIMEOUT: &str = "cedarpulley-trigger-type: patient\r\ncedarpulley-lanes: 50\r\n";
/// Headers of non-idempotent requests with the usual client timeout.
const NON_IDEMPOTENT: &str = "cedarpulley-trigger-type: once\r\ncedarpulley-lanes: 50\r\n";

#[test]
fn requests_are_answered_and_invalid_ones_are_rejected_with_the_cause() {
    let r = start("rest-plain", Duration::from_millis(5));
    assert_eq!(r.ask("GET", "/v2/health/live", "", b"").0, 200);
    assert_eq!(r.ask("GET", "/v2/health/ready", "", b"").0, 200);
    assert_eq!(r.ask("GET", "/v2/nothing", "", b"").0, 404);
    assert_eq!(r.ask("GET", "/v2/models/f/infer", "", b"").0, 405);
    let (status, text) = r.ask("POST", "/v2/models/once%3Af/infer", NON_IDEMPOTENT, b"{}");
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
    let late = format!("{NON_IDEMPOTENT}cedarpulley-sent-at-us: 1000\r\n");
    let (status, text) = r.ask("POST", "/v2/models/f/infer", &late, b"{}");
    assert!(
        status == 429 && text.contains("cedarpulley-reason: expired"),
        "{text}"
    );
    assert_eq!(
        r.ask(
            "POST",
            "/v2/models/f/infer",
            NON_IDEMPOTENT,
            &vec![b' '; MAX_BODY_BYTES + 1]
        )
        .0,
        413
    );
    assert_eq!(
        r.ask(
            "POST",
            "/v2/models/f/infer",
            NON_IDEMPOTENT,
            &vec![b' '; MAX_BODY_BYTES]
        )
        .0,
        200
    );
    // A body shorter than its content-length is not dispatched.
    let before = r.received();
    let mut stream = TcpStream::connect(r.address).expect("the router listens");
    let head = format!(
        "POST /v2/models/f/infer HTTP/1.1\r\nhost: x\r\n{NON_IDEMPOTENT}content-length: 10\r\n\r\n{{}}"
    );
    stream.write_all(head.as_bytes()).expect("written");
    drop(stream);
    std::thread::sleep(Duration::from_millis(100));
    assert_eq!(r.received(), before);
}

/// The work of the invocation takes longer than the test waits for its cancellation.
#[test]
fn the_dispatch_of_a_disconnected_client_is_cancelled_and_not_repeated() {
    let r = start("rest-vanish", Duration::from_secs(30));
    let stream = r.send("POST", "/v2/models/f/infer", LONG_TIMEOUT, b"{}");
    assert!(
        eventually(|| r.received() == 1),
        "the worker has received the invocation"
    );
    drop(stream);
    assert!(
        eventually(|| r.logged(r#""what":"left""#) == 1),
        "the worker must see the connection close before the work is done"
    );
    assert_eq!(r.received(), 1);
}

#[test]
#[expect(
    clippy::too_many_lines,
    reason = "one scenario or table of cases, told in order"
)]
fn shutdown_answers_accepted_requests_and_exits_successfully() {
    let mut r = start("rest-stop", Duration::from_secs(3));
    let named = |n: usize| format!("{LONG_TIMEOUT}x-request-id: call-{n}\r\n");
    let streams: Vec<TcpStream> = (0..5)
        .map(|n| r.send("POST", "/v2/models/f/infer", &named(n), b"{}"))
        .collect();
    assert!(
        eventually(|| r.received() == 5),
        "all requests are accepted"
    );
    r.request_stop();
    // From the signal on, the router rejects new requests explicitly or no longer listens.
    let rejects_new = || {
        let Ok(mut late) = TcpStream::connect(r.address) else {
            return true;
        };
        late.set_read_timeout(Some(Duration::from_millis(100)))
            .expect("set");
        let head = format!(
            "POST /v2/models/f/infer HTTP/1.1\r\nhost: x\r\nconnection: close\r\n{LONG_TIMEOUT}content-length: 2\r\n\r\n{{}}"
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
    assert!(
        eventually(rejects_new),
        "the router still accepts new requests"
    );
    // The rejection must come before all requests are answered and the router has exited.
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
        "the router rejected requests only after its work was done"
    );
    assert!(streams.into_iter().all(|s| read(s).0 == 200));
    assert!(r.exits_successfully());
    // The trace alone shows the course of one invocation, by the name that the client gave it.
    let trace = |args: &[&str]| {
        let mut command = std::process::Command::new(env!("CARGO_BIN_EXE_cedarpulley"));
        let out = command
            .arg("trace")
            .args(args)
            .arg(r.folder.join("traces"))
            .output()
            .expect("the program runs");
        (
            out.status.code(),
            String::from_utf8_lossy(&out.stdout).into_owned(),
        )
    };
    let (code, shown) = trace(&["show", "call-3"]);
    let words = [
        "taken from kserve",
        "patient for f, gives up",
        "dispatched to 127.0.0.1",
        "Succeeded after",
        "answered: Succeeded",
    ];
    assert!(
        code == Some(0) && words.iter().all(|w| shown.contains(w)),
        "{shown}"
    );
    assert_eq!(trace(&["show", "nobody"]).0, Some(2));
    let (code, replayed) = trace(&["replay"]);
    assert!(
        code == Some(0) && replayed.contains("none differs; the same module"),
        "{replayed}"
    );
    assert_eq!(trace(&["verify"]).0, Some(0));
}

/// Opens as many connections as the descriptor limit allows, up to ten thousand, and bounds the memory of each.
#[test]
fn idle_connections_delay_no_other_client() {
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
        .map(|_| TcpStream::connect(r.address).expect("the router listens"))
        .collect();
    assert_eq!(
        r.ask("POST", "/v2/models/f/infer", NON_IDEMPOTENT, b"{}").0,
        200
    );
    let status = std::fs::read_to_string(format!("/proc/{}/status", r.router.id()))
        .expect("the program runs");
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
    assert_eq!(
        r.ask("POST", "/v2/models/f/infer", NON_IDEMPOTENT, b"{}").0,
        200
    );
}

#[test]
fn versions_raw_tensors_and_the_index_are_served() {
    let r = start("rest-more", Duration::from_millis(1));
    let (status, text) = r.ask(
        "POST",
        "/v2/models/once%3Af/versions/2/infer",
        NON_IDEMPOTENT,
        b"{}",
    );
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
    let headers = format!(
        "{NON_IDEMPOTENT}inference-header-content-length: {}\r\n",
        json.len()
    );
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
    let beyond = format!("{NON_IDEMPOTENT}inference-header-content-length: 500\r\n");
    let (status, text) = r.ask("POST", "/v2/models/f/infer", &beyond, b"{}");
    assert!(
        status == 400 && text.contains("beyond the body's end"),
        "{text}"
    );
}

#[test]
fn a_body_at_the_limit_of_64_mb_is_accepted_and_a_larger_one_rejected() {
    let r = start_with("rest-large", Duration::from_millis(1), 64 * 1024, 200, "");
    let mut body = vec![b' '; 64 << 20];
    (body[0], body[(64 << 20) - 1]) = (b'{', b'}');
    assert_eq!(
        r.ask("POST", "/v2/models/f/infer", LONG_TIMEOUT, &body).0,
        200
    );
    body.push(b' ');
    assert_eq!(
        r.ask("POST", "/v2/models/f/infer", LONG_TIMEOUT, &body).0,
        413
    );
    assert_eq!(
        r.ask("POST", "/v2/models/f/infer", LONG_TIMEOUT, b"{}").0,
        200
    );
}

/// Also checks a body that is longer than its content-length: the request is rejected and not executed.
#[test]
fn half_closed_endless_and_overlong_requests_affect_no_other_client() {
    let r = start("rest-odd", Duration::from_millis(500));
    // A half-closed connection cannot be distinguished from a closed one, so the dispatch is cancelled.
    let stream = r.send("POST", "/v2/models/f/infer", NON_IDEMPOTENT, b"{}");
    stream.shutdown(std::net::Shutdown::Write).expect("shut");
    assert_eq!(read(stream).0, 0);
    let before = r.received();
    let mut stream = TcpStream::connect(r.address).expect("the router listens");
    stream
        .set_read_timeout(Some(Duration::from_secs(10)))
        .expect("set");
    let head = format!(
        "POST /v2/models/f/infer HTTP/1.1\r\nhost: x\r\n{NON_IDEMPOTENT}content-length: 2\r\n\r\n{{}}GARBAGE\r\n\r\n"
    );
    stream.write_all(head.as_bytes()).expect("written");
    let (status, text) = read(stream);
    assert_eq!(status, 400, "{text}");
    assert_eq!(text.matches("HTTP/1.1 ").count(), 1, "{text}");
    assert_eq!(r.received(), before);
    // Endless headers.
    let mut stream = TcpStream::connect(r.address).expect("the router listens");
    stream
        .set_read_timeout(Some(Duration::from_secs(10)))
        .expect("set");
    let _ = stream.write_all(b"POST /v2/models/f/infer HTTP/1.1\r\n");
    (0..10_000).for_each(|n| drop(stream.write_all(format!("x-{n}: {n}\r\n").as_bytes())));
    let mut text = Vec::new();
    let _ = stream.read_to_end(&mut text);
    assert!(eventually(|| r
        .ask("POST", "/v2/models/f/infer", NON_IDEMPOTENT, b"{}")
        .0
        == 200));
}

/// A client retries while its first request is dispatched: there is one dispatch, and both requests get the same answer.
#[test]
fn concurrent_requests_with_one_idempotency_key_are_dispatched_once() {
    let r = start("rest-token", Duration::from_secs(1));
    let headers = format!("{LONG_TIMEOUT}idempotency-key: k1\r\n");
    let first = r.send("POST", "/v2/models/f/infer", &headers, b"{}");
    assert!(
        eventually(|| r.received() == 1),
        "the first request is dispatched"
    );
    let second = r.send("POST", "/v2/models/f/infer", &headers, b"{}");
    let (first, second) = (read(first), read(second));
    assert_eq!((first.0, second.0), (200, 200));
    let body = |text: &str| text.split("\r\n\r\n").nth(1).map(str::to_owned);
    assert_eq!(body(&first.1), body(&second.1));
    assert_eq!(r.received(), 1);
}

/// Bodies that are announced but not yet received count against the memory limit; above it, a request is rejected unread.
#[test]
fn announced_bodies_count_against_the_memory_limit() {
    let r = start("rest-promised", Duration::from_millis(1));
    let head = format!(
        "POST /v2/models/f/infer HTTP/1.1\r\nhost: x\r\n{NON_IDEMPOTENT}content-length: {MAX_BODY_BYTES}\r\n\r\n"
    );
    let promise = || {
        let mut stream = TcpStream::connect(r.address).expect("the router listens");
        stream.write_all(head.as_bytes()).expect("written");
        stream
    };
    let promised: Vec<TcpStream> = (0..(1 << 20) / MAX_BODY_BYTES).map(|_| promise()).collect();
    assert!(eventually(|| r
        .ask("POST", "/v2/models/f/infer", LONG_TIMEOUT, b"{}")
        .0
        == 429));
    drop(promised);
    assert!(eventually(|| r
        .ask("POST", "/v2/models/f/infer", LONG_TIMEOUT, b"{}")
        .0
        == 200));
}

/// The text of a request with a declared length of 2, with a body of that length and further bytes.
fn request_of_two_bytes_and(rest: &str) -> String {
    format!(
        "POST /v2/models/f/infer HTTP/1.1\r\nhost: x\r\n{LONG_TIMEOUT}content-length: 2\r\n\r\n{{}}{rest}"
    )
}

/// Guards against serving a request whose declared length cuts off its body. The work of the invocation takes longer
/// than the test waits for its rejection.
#[test]
fn a_request_longer_than_its_length_is_not_served() {
    let r = start("rest-cut-off", Duration::from_secs(30));
    for (at_once, late) in [("}", ""), ("rest", ""), ("", "}"), ("", "rest")] {
        let before = r.received();
        let mut stream = TcpStream::connect(r.address).expect("the router listens");
        let request = request_of_two_bytes_and(at_once);
        stream.write_all(request.as_bytes()).expect("written");
        if !late.is_empty() {
            assert!(eventually(|| r.received() > before), "it is executed");
            stream.write_all(late.as_bytes()).expect("written");
        }
        stream
            .set_read_timeout(Some(Duration::from_secs(10)))
            .expect("set");
        let (status, text) = read(stream);
        assert_eq!(status, 400, "{at_once}{late}: {text}");
        assert_eq!(text.matches("HTTP/1.1 ").count(), 1, "{text}");
        assert_eq!(r.received() > before, !late.is_empty());
    }
    assert!(
        eventually(|| r.logged(r#""what":"left""#) == 2),
        "the worker must see that both dispatches are cancelled"
    );
}

/// A further request may follow a request in one piece, in two, or after an empty line.
#[test]
fn pipelined_requests_are_answered() {
    let r = start("rest-pipelined", Duration::from_millis(5));
    let next = "GET /v2/health/ready HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n";
    for (at_once, late) in [("", next), (next, ""), ("\r\n", next), ("GE", &next[2..])] {
        let mut stream = TcpStream::connect(r.address).expect("the router listens");
        let request = request_of_two_bytes_and(at_once);
        stream.write_all(request.as_bytes()).expect("written");
        stream.write_all(late.as_bytes()).expect("written");
        let (_, text) = read(stream);
        assert_eq!(text.matches("HTTP/1.1 200").count(), 2, "{text}");
    }
}
