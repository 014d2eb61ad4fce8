//! Tests of the faults of a relay, with a plain echo server or a plain HTTP server on the far side.

use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::mpsc::{Receiver, Sender, channel};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use cedarpulley_emulators::Host;
use cedarpulley_emulators::http::{Partition, Server, response_with};
use cedarpulley_test_cluster::links::{LinkFault, Links};
use cedarpulley_test_cluster::relay::{Relay, RelayConfig, RelayMode};
use cedarpulley_test_cluster::until;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use hyper::{Request, StatusCode};

/// Timeout of waits; only a failing test waits this long.
const TEST_TIMEOUT: Duration = Duration::from_secs(20);
/// How long a test waits to check that no data arrives. A slow machine can only make such a check pass more easily.
const SILENCE_INTERVAL: Duration = Duration::from_millis(150);

/// For each connection to the echo server, or each request to the HTTP server: the source address and, once the
/// connection has ended at the echo server, how it ended.
type SeenConnections = Arc<Mutex<Vec<(SocketAddr, Option<ErrorKind>)>>>;

struct Setup {
    links: Links,
    relay: Relay,
    connections: SeenConnections,
    bodies: Receiver<String>,
    _server: Option<Server>,
    _host: Host,
}

/// Starts a relay with an echo server or an HTTP server on its far side. The server sends the received data back and
/// also to the channel `bodies`.
fn setup(mode: RelayMode) -> Setup {
    let (connections, (received, bodies)) = (SeenConnections::default(), channel());
    let host = Host::new(2, None).expect("an emulator host");
    let any_port = SocketAddr::from(([127, 0, 0, 1], 0));
    let seen = connections.clone();
    let (to, server) = match mode {
        RelayMode::Bytes => {
            let listener = TcpListener::bind(any_port).expect("a listener");
            let to = listener.local_addr().expect("an address");
            std::thread::spawn(move || serve_echo(&listener, &seen, &received));
            (to, None)
        }
        RelayMode::Messages => {
            let handle = move |from: SocketAddr, request: Request<Incoming>| {
                let (seen, received) = (seen.clone(), received.clone());
                async move {
                    seen.lock().expect("connections").push((from, None));
                    let body = request
                        .into_body()
                        .collect()
                        .await
                        .expect("a body")
                        .to_bytes();
                    let _ = received.send(String::from_utf8_lossy(&body).into_owned());
                    response_with(StatusCode::OK, body)
                }
            };
            let server =
                Server::start(&host, any_port, Partition::default(), handle).expect("a server");
            (server.address, Some(server))
        }
    };
    let links = Links::new(None);
    let from = Some([127, 0, 10, 1].into());
    let config = RelayConfig {
        mode,
        near: "near",
        far: "far",
        from,
        to,
        seed: 7,
    };
    let relay = Relay::start(&host, &links, config).expect("a relay");
    Setup {
        links,
        relay,
        connections,
        bodies,
        _server: server,
        _host: host,
    }
}

fn serve_echo(listener: &TcpListener, seen: &SeenConnections, received: &Sender<String>) {
    for (n, stream) in listener.incoming().flatten().enumerate() {
        let from = stream.peer_addr().expect("a peer");
        seen.lock().expect("connections").push((from, None));
        let (seen, received) = (seen.clone(), received.clone());
        std::thread::spawn(move || {
            // `ErrorKind::Other` stands for a plain close, in contrast to a reset.
            let end = echo(stream, &received).map_or_else(|e| e.kind(), |()| ErrorKind::Other);
            seen.lock().expect("connections")[n].1 = Some(end);
        });
    }
}

fn echo(mut stream: TcpStream, received: &Sender<String>) -> std::io::Result<()> {
    let mut buffer = vec![0; 4096];
    loop {
        match stream.read(&mut buffer)? {
            0 => return Ok(()),
            n => {
                let _ = received.send(String::from_utf8_lossy(&buffer[..n]).into_owned());
                stream.write_all(&buffer[..n])?;
            }
        }
    }
}

impl Setup {
    fn connect(&self) -> TcpStream {
        let stream = TcpStream::connect(self.relay.address).expect("the relay listens");
        stream.set_read_timeout(Some(TEST_TIMEOUT)).expect("set");
        stream
    }

    /// Connects and checks that the connection reaches the far side.
    fn connect_through(&self) -> TcpStream {
        let mut stream = self.connect();
        stream.write_all(b"first").expect("written");
        assert_eq!(read_text(&mut stream, 5), Ok("first".into()));
        stream
    }

    /// How connection `n` ended at the echo server; absent while it is open.
    fn end_of(&self, n: usize) -> Option<ErrorKind> {
        self.connections
            .lock()
            .expect("connections")
            .get(n)
            .and_then(|e| e.1)
    }

    /// Posts a body and returns it once the server has sent it back.
    fn post(&self, stream: &mut TcpStream, body: &str) -> Result<String, ErrorKind> {
        let length = body.len();
        let text =
            format!("POST /x HTTP/1.1\r\nhost: far\r\ncontent-length: {length}\r\n\r\n{body}");
        stream.write_all(text.as_bytes()).map_err(|e| e.kind())?;
        let mut answer = String::new();
        while !answer.ends_with(&format!("\r\n\r\n{body}")) {
            answer.push_str(&read_text(stream, 1)?);
        }
        Ok(body.to_owned())
    }
}

/// Reads exactly this many bytes.
fn read_text(stream: &mut TcpStream, length: usize) -> Result<String, ErrorKind> {
    let mut buffer = vec![0; length];
    stream.read_exact(&mut buffer).map_err(|e| e.kind())?;
    Ok(String::from_utf8_lossy(&buffer).into_owned())
}

/// Whether no data arrives within `SILENCE_INTERVAL`.
fn is_silent(stream: &mut TcpStream) -> bool {
    stream
        .set_read_timeout(Some(SILENCE_INTERVAL))
        .expect("set");
    let is_silent = read_text(stream, 1) == Err(ErrorKind::WouldBlock);
    stream.set_read_timeout(Some(TEST_TIMEOUT)).expect("set");
    is_silent
}

/// Reads until the connection ends; returns whether it was reset.
fn is_reset(stream: &mut TcpStream) -> bool {
    loop {
        match read_text(stream, 1) {
            Ok(_) => {}
            Err(ErrorKind::ConnectionReset) => return true,
            Err(_) => return false,
        }
    }
}

#[test]
fn bytes_are_forwarded_from_the_configured_source_address_and_closes_are_passed_on() {
    let setup = setup(RelayMode::Bytes);
    let stream = setup.connect_through();
    assert_eq!(
        setup.connections.lock().expect("connections")[0]
            .0
            .ip()
            .to_string(),
        "127.0.10.1"
    );
    assert_eq!(setup.end_of(0), None);
    drop(stream);
    assert!(
        until(TEST_TIMEOUT, || setup.end_of(0) == Some(ErrorKind::Other)),
        "a plain close"
    );
}

#[test]
fn held_bytes_arrive_when_the_link_is_healed_in_either_direction() {
    let setup = setup(RelayMode::Bytes);
    for (from, to) in [("near", "far"), ("far", "near")] {
        let mut stream = setup.connect_through();
        setup.links.set(from, to, LinkFault::Held);
        stream.write_all(b"held").expect("written");
        assert!(is_silent(&mut stream));
        setup.links.heal();
        assert_eq!(read_text(&mut stream, 4), Ok("held".into()));
        // The opposite direction had no fault all along; a side that only receives continues to receive.
        setup.links.set(to, from, LinkFault::Pass);
    }
    // A connection that is opened during the fault, and then a connection that is closed during the fault.
    setup.links.set("near", "far", LinkFault::Held);
    let mut late = setup.connect();
    late.write_all(b"late").expect("written");
    assert!(is_silent(&mut late));
    let count = setup.connections.lock().expect("connections").len();
    setup.links.heal();
    assert_eq!(read_text(&mut late, 4), Ok("late".into()));
    setup.links.set("near", "far", LinkFault::Held);
    late.write_all(b"last words").expect("written");
    drop(late);
    std::thread::sleep(SILENCE_INTERVAL);
    assert_eq!(
        setup.end_of(count),
        None,
        "the end of the stream is held back too"
    );
    setup.links.heal();
    assert!(until(TEST_TIMEOUT, || setup.end_of(count).is_some()));
    assert_eq!(
        setup.bodies.try_iter().last(),
        Some("last words".into()),
        "the bytes arrive before the end of the stream"
    );
}

#[test]
fn lost_bytes_reset_their_connection_when_the_link_is_healed() {
    let setup = setup(RelayMode::Bytes);
    let (mut sending, mut idle) = (setup.connect_through(), setup.connect_through());
    setup.links.set("near", "far", LinkFault::Lost);
    sending.write_all(b"lost").expect("written");
    assert!(is_silent(&mut sending));
    setup.links.heal();
    assert!(is_reset(&mut sending));
    assert!(until(TEST_TIMEOUT, || setup.end_of(0)
        == Some(ErrorKind::ConnectionReset)));
    idle.write_all(b"idle").expect("written");
    assert_eq!(
        read_text(&mut idle, 4),
        Ok("idle".into()),
        "an idle connection lost no data"
    );
}

#[test]
fn resets_reach_both_sides_and_refusals_affect_only_new_connections() {
    let setup = setup(RelayMode::Bytes);
    let mut stream = setup.connect_through();
    setup.links.set("near", "far", LinkFault::Refused);
    let refused = TcpStream::connect(setup.relay.address)
        .map(drop)
        .map_err(|e| e.kind());
    assert_eq!(refused, Err(ErrorKind::ConnectionRefused));
    stream.write_all(b"stands").expect("written");
    assert_eq!(read_text(&mut stream, 6), Ok("stands".into()));
    setup.links.set("near", "far", LinkFault::Reset);
    assert!(is_reset(&mut stream) && is_reset(&mut setup.connect()));
    assert!(until(TEST_TIMEOUT, || setup.end_of(0)
        == Some(ErrorKind::ConnectionReset)));
    setup.links.heal();
    // The fault is healed at once; the open connection is reset nevertheless.
    let mut stream = setup.connect_through();
    setup.links.set("far", "near", LinkFault::Reset);
    setup.links.heal();
    assert!(is_reset(&mut stream));
    setup.connect_through();
}

#[test]
fn a_half_open_connection_is_reset_on_one_side_until_the_link_is_healed() {
    let setup = setup(RelayMode::Bytes);
    let mut stream = setup.connect_through();
    setup.links.set("near", "far", LinkFault::HalfOpen);
    assert!(until(TEST_TIMEOUT, || setup.end_of(0)
        == Some(ErrorKind::ConnectionReset)));
    stream.write_all(b"to nobody").expect("written");
    assert!(is_silent(&mut stream));
    setup.links.heal();
    assert!(is_reset(&mut stream));
    let mut stream = setup.connect_through();
    setup.links.set("far", "near", LinkFault::HalfOpen);
    assert!(is_reset(&mut stream));
    assert_eq!(
        setup.end_of(1),
        None,
        "the far side does not see the reset yet"
    );
    setup.links.heal();
    assert!(until(TEST_TIMEOUT, || setup.end_of(1)
        == Some(ErrorKind::ConnectionReset)));
}

/// Checks only lower bounds of the delays, because a busy machine may delay more.
#[test]
fn delays_and_throttling_keep_the_order_of_bytes() {
    let setup = setup(RelayMode::Bytes);
    let mut stream = setup.connect_through();
    let (by, spread) = (Duration::from_millis(60), Duration::from_millis(40));
    setup
        .links
        .set("near", "far", LinkFault::Delayed { by, spread });
    let began = Instant::now();
    for piece in [b"one,", b"two,", b"six."] {
        stream.write_all(piece).expect("written");
        std::thread::sleep(Duration::from_millis(5));
    }
    assert_eq!(read_text(&mut stream, 12), Ok("one,two,six.".into()));
    assert!(began.elapsed() >= by);
    setup.links.set(
        "near",
        "far",
        LinkFault::Throttled {
            bytes_per_s: 10_000,
        },
    );
    let began = Instant::now();
    stream.write_all(&[b'x'; 2000]).expect("written");
    assert_eq!(read_text(&mut stream, 2000).map(|t| t.len()), Ok(2000));
    // The bytes are written in four slices with 50 ms in between; the wait after the last slice is not included.
    assert!(began.elapsed() >= Duration::from_millis(140));
}

#[test]
fn complete_messages_pass_and_are_held_lost_or_reset() {
    let setup = setup(RelayMode::Messages);
    let mut stream = setup.connect();
    for body in ["a", "b"] {
        assert_eq!(setup.post(&mut stream, body), Ok(body.into()));
    }
    let from: Vec<_> = setup
        .connections
        .lock()
        .expect("connections")
        .iter()
        .map(|e| e.0)
        .collect();
    assert!(
        from.len() == 2 && from[0] == from[1],
        "both requests use one kept-alive connection: {from:?}"
    );
    setup.links.set("near", "far", LinkFault::Held);
    let request = "POST /x HTTP/1.1\r\nhost: far\r\ncontent-length: 4\r\n\r\nheld";
    stream.write_all(request.as_bytes()).expect("written");
    assert!(until(TEST_TIMEOUT, || setup.relay.in_flight() == 1) && is_silent(&mut stream));
    drop(stream);
    setup.links.heal();
    let got: Vec<String> = (0..3)
        .map(|_| setup.bodies.recv_timeout(TEST_TIMEOUT).expect("received"))
        .collect();
    assert_eq!(
        got,
        ["a", "b", "held"],
        "a held request arrives although its sender has disconnected"
    );
    // Lost responses: the far side has processed the request, and the near side waits until the link is healed.
    let mut stream = setup.connect();
    setup.links.set("far", "near", LinkFault::Lost);
    stream.write_all(request.as_bytes()).expect("written");
    assert_eq!(setup.bodies.recv_timeout(TEST_TIMEOUT), Ok("held".into()));
    assert!(is_silent(&mut stream));
    setup.links.heal();
    assert!(is_reset(&mut stream));
    let mut stream = setup.connect();
    assert_eq!(setup.post(&mut stream, "again"), Ok("again".into()));
    setup.links.set("near", "far", LinkFault::HalfOpen);
    assert!(is_silent(&mut stream));
    setup.links.set("near", "far", LinkFault::Reset);
    assert!(is_reset(&mut stream));
}

/// Each request uses its own connection, so that a waiting request does not block the others.
#[test]
fn complete_messages_are_dropped_duplicated_and_reordered() {
    let setup = setup(RelayMode::Messages);
    let send_request = |n: usize, setup: &Setup| {
        let mut stream = setup.connect();
        let text = format!("POST /x HTTP/1.1\r\nhost: far\r\ncontent-length: 2\r\n\r\n{n:02}");
        stream.write_all(text.as_bytes()).expect("written");
        stream
    };
    setup.links.set(
        "near",
        "far",
        LinkFault::UnreliableMessages {
            drop: 0.0,
            twice: 1.0,
            after: 0.0,
        },
    );
    let kept = send_request(1, &setup);
    let twice = [(); 2].map(|()| setup.bodies.recv_timeout(TEST_TIMEOUT).expect("received"));
    assert_eq!(twice, ["01", "01"]);
    setup.links.set(
        "near",
        "far",
        LinkFault::UnreliableMessages {
            drop: 1.0,
            twice: 0.0,
            after: 0.0,
        },
    );
    let mut dropped = send_request(2, &setup);
    assert!(is_silent(&mut dropped));
    // A reordered request waits for a later request only for a bounded time. A busy machine may exceed that time, so
    // the attempt is repeated until the order is reversed.
    assert!(until(TEST_TIMEOUT, || {
        setup.links.set(
            "near",
            "far",
            LinkFault::UnreliableMessages {
                drop: 0.0,
                twice: 0.0,
                after: 1.0,
            },
        );
        let _first = send_request(3, &setup);
        let is_waiting = setup.bodies.recv_timeout(SILENCE_INTERVAL).is_err();
        setup.links.heal();
        let _second = send_request(4, &setup);
        let order = [(); 2].map(|()| setup.bodies.recv_timeout(TEST_TIMEOUT).unwrap_or_default());
        is_waiting && order == ["04", "03"]
    }));
    setup.links.set(
        "far",
        "near",
        LinkFault::UnreliableMessages {
            drop: 1.0,
            twice: 0.0,
            after: 0.0,
        },
    );
    let mut without_response = send_request(5, &setup);
    assert_eq!(setup.bodies.recv_timeout(TEST_TIMEOUT), Ok("05".into()));
    assert!(is_silent(&mut without_response));
    drop(kept);
}
