//! Each fault of a relay is seen to have its effect, before a plain echo server and a plain HTTP server.

use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::mpsc::{Receiver, Sender, channel};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use cedarpulley_emulators::Host;
use cedarpulley_emulators::http::{Partition, Server, full};
use cedarpulley_test_cluster::links::{LinkFault, Links};
use cedarpulley_test_cluster::relay::{Relay, RelayConfig, RelayMode};
use cedarpulley_test_cluster::until;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use hyper::{Request, StatusCode};

/// Only a failing test waits so long.
const PATIENCE: Duration = Duration::from_secs(20);
/// What must not come is listened for so long; a slow machine only makes it easier to pass.
const QUIET: Duration = Duration::from_millis(150);

/// Every connection to the echo: its address, and how it ended there once it has; every request to the server.
type Ends = Arc<Mutex<Vec<(SocketAddr, Option<ErrorKind>)>>>;

struct Setup {
    links: Links,
    relay: Relay,
    ends: Ends,
    bodies: Receiver<String>,
    _server: Option<Server>,
    _host: Host,
}

/// An echo or an HTTP server, which hands out what it gets and gives it back.
fn setup(mode: RelayMode) -> Setup {
    let (ends, (tell, bodies)) = (Ends::default(), channel());
    let host = Host::new(2, None).expect("an emulator host");
    let any = SocketAddr::from(([127, 0, 0, 1], 0));
    let seen = ends.clone();
    let (to, server) = match mode {
        RelayMode::Bytes => {
            let listener = TcpListener::bind(any).expect("a listener");
            let to = listener.local_addr().expect("an address");
            std::thread::spawn(move || echoes(&listener, &seen, &tell));
            (to, None)
        }
        RelayMode::Messages => {
            let handle = move |from: SocketAddr, request: Request<Incoming>| {
                let (seen, tell) = (seen.clone(), tell.clone());
                async move {
                    seen.lock().expect("ends").push((from, None));
                    let body = request
                        .into_body()
                        .collect()
                        .await
                        .expect("a body")
                        .to_bytes();
                    let _ = tell.send(String::from_utf8_lossy(&body).into_owned());
                    full(StatusCode::OK, body)
                }
            };
            let server = Server::start(&host, any, Partition::default(), handle).expect("a server");
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
        ends,
        bodies,
        _server: server,
        _host: host,
    }
}

fn echoes(listener: &TcpListener, seen: &Ends, tell: &Sender<String>) {
    for (n, stream) in listener.incoming().flatten().enumerate() {
        let from = stream.peer_addr().expect("a peer");
        seen.lock().expect("ends").push((from, None));
        let (seen, tell) = (seen.clone(), tell.clone());
        std::thread::spawn(move || {
            // A close is told from a reset.
            let end = echo(stream, &tell).map_or_else(|e| e.kind(), |()| ErrorKind::Other);
            seen.lock().expect("ends")[n].1 = Some(end);
        });
    }
}

fn echo(mut stream: TcpStream, tell: &Sender<String>) -> std::io::Result<()> {
    let mut buffer = vec![0; 4096];
    loop {
        match stream.read(&mut buffer)? {
            0 => return Ok(()),
            n => {
                let _ = tell.send(String::from_utf8_lossy(&buffer[..n]).into_owned());
                stream.write_all(&buffer[..n])?;
            }
        }
    }
}

impl Setup {
    fn connect(&self) -> TcpStream {
        let stream = TcpStream::connect(self.relay.address).expect("it listens");
        stream.set_read_timeout(Some(PATIENCE)).expect("set");
        stream
    }

    /// Connected, and known to reach the far side.
    fn through(&self) -> TcpStream {
        let mut stream = self.connect();
        stream.write_all(b"first").expect("written");
        assert_eq!(said(&mut stream, 5), Ok("first".into()));
        stream
    }

    fn ended(&self, n: usize) -> Option<ErrorKind> {
        self.ends.lock().expect("ends").get(n).and_then(|e| e.1)
    }

    /// The body comes back.
    fn post(&self, stream: &mut TcpStream, body: &str) -> Result<String, ErrorKind> {
        let length = body.len();
        let text =
            format!("POST /x HTTP/1.1\r\nhost: far\r\ncontent-length: {length}\r\n\r\n{body}");
        stream.write_all(text.as_bytes()).map_err(|e| e.kind())?;
        let mut answer = String::new();
        while !answer.ends_with(&format!("\r\n\r\n{body}")) {
            answer.push_str(&said(stream, 1)?);
        }
        Ok(body.to_owned())
    }
}

fn said(stream: &mut TcpStream, length: usize) -> Result<String, ErrorKind> {
    let mut buffer = vec![0; length];
    stream.read_exact(&mut buffer).map_err(|e| e.kind())?;
    Ok(String::from_utf8_lossy(&buffer).into_owned())
}

fn silent(stream: &mut TcpStream) -> bool {
    stream.set_read_timeout(Some(QUIET)).expect("set");
    let silent = said(stream, 1) == Err(ErrorKind::WouldBlock);
    stream.set_read_timeout(Some(PATIENCE)).expect("set");
    silent
}

/// Sooner or later it is reset, whatever it still says.
fn is_reset(stream: &mut TcpStream) -> bool {
    loop {
        match said(stream, 1) {
            Ok(_) => {}
            Err(ErrorKind::ConnectionReset) => return true,
            Err(_) => return false,
        }
    }
}

#[test]
fn bytes_pass_from_the_near_sides_own_address_and_closes_are_passed_on() {
    let s = setup(RelayMode::Bytes);
    let stream = s.through();
    assert_eq!(
        s.ends.lock().expect("ends")[0].0.ip().to_string(),
        "127.0.10.1"
    );
    assert_eq!(s.ended(0), None);
    drop(stream);
    assert!(
        until(PATIENCE, || s.ended(0) == Some(ErrorKind::Other)),
        "a plain close"
    );
}

#[test]
fn held_bytes_arrive_when_the_link_is_healed_in_either_direction() {
    let s = setup(RelayMode::Bytes);
    for (from, to) in [("near", "far"), ("far", "near")] {
        let mut stream = s.through();
        s.links.set(from, to, LinkFault::Held);
        stream.write_all(b"held").expect("written");
        assert!(silent(&mut stream));
        s.links.heal();
        assert_eq!(said(&mut stream, 4), Ok("held".into()));
        // The other direction was whole all along: one that only hears hears on.
        s.links.set(to, from, LinkFault::Pass);
    }
    // A connection that comes during it, and one that is closed during it.
    s.links.set("near", "far", LinkFault::Held);
    let mut late = s.connect();
    late.write_all(b"late").expect("written");
    assert!(silent(&mut late));
    let count = s.ends.lock().expect("ends").len();
    s.links.heal();
    assert_eq!(said(&mut late, 4), Ok("late".into()));
    s.links.set("near", "far", LinkFault::Held);
    late.write_all(b"last words").expect("written");
    drop(late);
    std::thread::sleep(QUIET);
    assert_eq!(s.ended(count), None, "its end is held too");
    s.links.heal();
    assert!(until(PATIENCE, || s.ended(count).is_some()));
    assert_eq!(
        s.bodies.try_iter().last(),
        Some("last words".into()),
        "they came before it"
    );
}

#[test]
fn lost_bytes_reset_their_connection_when_the_link_is_healed() {
    let s = setup(RelayMode::Bytes);
    let (mut speaks, mut idle) = (s.through(), s.through());
    s.links.set("near", "far", LinkFault::Lost);
    speaks.write_all(b"lost").expect("written");
    assert!(silent(&mut speaks));
    s.links.heal();
    assert!(is_reset(&mut speaks));
    assert!(until(PATIENCE, || s.ended(0) == Some(ErrorKind::ConnectionReset)));
    idle.write_all(b"idle").expect("written");
    assert_eq!(
        said(&mut idle, 4),
        Ok("idle".into()),
        "nothing of it was lost"
    );
}

#[test]
fn a_reset_is_seen_on_both_sides_and_a_refusal_before_any_connection() {
    let s = setup(RelayMode::Bytes);
    let mut stream = s.through();
    s.links.set("near", "far", LinkFault::Refused);
    let refused = TcpStream::connect(s.relay.address)
        .map(drop)
        .map_err(|e| e.kind());
    assert_eq!(refused, Err(ErrorKind::ConnectionRefused));
    stream.write_all(b"stands").expect("written");
    assert_eq!(said(&mut stream, 6), Ok("stands".into()));
    s.links.set("near", "far", LinkFault::Reset);
    assert!(is_reset(&mut stream) && is_reset(&mut s.connect()));
    assert!(until(PATIENCE, || s.ended(0) == Some(ErrorKind::ConnectionReset)));
    s.links.heal();
    // Healed before anyone can have looked.
    let mut stream = s.through();
    s.links.set("far", "near", LinkFault::Reset);
    s.links.heal();
    assert!(is_reset(&mut stream));
    s.through();
}

#[test]
fn a_half_open_connection_is_dead_to_one_side_until_the_link_is_healed() {
    let s = setup(RelayMode::Bytes);
    let mut stream = s.through();
    s.links.set("near", "far", LinkFault::HalfOpen);
    assert!(until(PATIENCE, || s.ended(0) == Some(ErrorKind::ConnectionReset)));
    stream.write_all(b"to nobody").expect("written");
    assert!(silent(&mut stream));
    s.links.heal();
    assert!(is_reset(&mut stream));
    let mut stream = s.through();
    s.links.set("far", "near", LinkFault::HalfOpen);
    assert!(is_reset(&mut stream));
    assert_eq!(s.ended(1), None, "the far side is not told");
    s.links.heal();
    assert!(until(PATIENCE, || s.ended(1) == Some(ErrorKind::ConnectionReset)));
}

/// At least so late, by the clock; how much later is the machine's affair.
#[test]
fn delays_and_throttling_keep_the_order_of_bytes() {
    let s = setup(RelayMode::Bytes);
    let mut stream = s.through();
    let (by, spread) = (Duration::from_millis(60), Duration::from_millis(40));
    s.links
        .set("near", "far", LinkFault::Delayed { by, spread });
    let began = Instant::now();
    for piece in [b"one,", b"two,", b"six."] {
        stream.write_all(piece).expect("written");
        std::thread::sleep(Duration::from_millis(5));
    }
    assert_eq!(said(&mut stream, 12), Ok("one,two,six.".into()));
    assert!(began.elapsed() >= by);
    s.links.set(
        "near",
        "far",
        LinkFault::Throttled {
            bytes_per_s: 10_000,
        },
    );
    let began = Instant::now();
    stream.write_all(&[b'x'; 2000]).expect("written");
    assert_eq!(said(&mut stream, 2000).map(|t| t.len()), Ok(2000));
    // The last slice need not be waited out.
    assert!(began.elapsed() >= Duration::from_millis(140));
}

#[test]
fn whole_messages_pass_and_are_held_lost_or_reset() {
    let s = setup(RelayMode::Messages);
    let mut stream = s.connect();
    for body in ["a", "b"] {
        assert_eq!(s.post(&mut stream, body), Ok(body.into()));
    }
    let from: Vec<_> = s.ends.lock().expect("ends").iter().map(|e| e.0).collect();
    assert!(
        from.len() == 2 && from[0] == from[1],
        "one connection is kept: {from:?}"
    );
    s.links.set("near", "far", LinkFault::Held);
    let gone = "POST /x HTTP/1.1\r\nhost: far\r\ncontent-length: 4\r\n\r\nheld";
    stream.write_all(gone.as_bytes()).expect("written");
    assert!(until(PATIENCE, || s.relay.in_flight() == 1) && silent(&mut stream));
    drop(stream);
    s.links.heal();
    let got: Vec<String> = (0..3)
        .map(|_| s.bodies.recv_timeout(PATIENCE).expect("it comes"))
        .collect();
    assert_eq!(
        got,
        ["a", "b", "held"],
        "it arrives though its sender has gone"
    );
    // Answers lost: the far side has acted, the near side waits, until the link is whole.
    let mut stream = s.connect();
    s.links.set("far", "near", LinkFault::Lost);
    stream.write_all(gone.as_bytes()).expect("written");
    assert_eq!(s.bodies.recv_timeout(PATIENCE), Ok("held".into()));
    assert!(silent(&mut stream));
    s.links.heal();
    assert!(is_reset(&mut stream));
    let mut stream = s.connect();
    assert_eq!(s.post(&mut stream, "again"), Ok("again".into()));
    s.links.set("near", "far", LinkFault::HalfOpen);
    assert!(silent(&mut stream));
    s.links.set("near", "far", LinkFault::Reset);
    assert!(is_reset(&mut stream));
}

/// Each on a connection of its own, so that one that waits holds up none.
#[test]
fn whole_messages_are_dropped_duplicated_and_reordered_by_the_seed() {
    let s = setup(RelayMode::Messages);
    let ask = |n: usize, s: &Setup| {
        let mut stream = s.connect();
        let text = format!("POST /x HTTP/1.1\r\nhost: far\r\ncontent-length: 2\r\n\r\n{n:02}");
        stream.write_all(text.as_bytes()).expect("written");
        stream
    };
    s.links.set(
        "near",
        "far",
        LinkFault::UnreliableMessages {
            drop: 0.0,
            twice: 1.0,
            after: 0.0,
        },
    );
    let kept = ask(1, &s);
    let twice = [(); 2].map(|()| s.bodies.recv_timeout(PATIENCE).expect("it comes"));
    assert_eq!(twice, ["01", "01"]);
    s.links.set(
        "near",
        "far",
        LinkFault::UnreliableMessages {
            drop: 1.0,
            twice: 0.0,
            after: 0.0,
        },
    );
    let mut dropped = ask(2, &s);
    assert!(silent(&mut dropped));
    // One waits for a later one but for a bounded time, which a busy machine may let pass: then once more.
    assert!(until(PATIENCE, || {
        s.links.set(
            "near",
            "far",
            LinkFault::UnreliableMessages {
                drop: 0.0,
                twice: 0.0,
                after: 1.0,
            },
        );
        let _first = ask(3, &s);
        let waits = s.bodies.recv_timeout(QUIET).is_err();
        s.links.heal();
        let _second = ask(4, &s);
        let order = [(); 2].map(|()| s.bodies.recv_timeout(PATIENCE).unwrap_or_default());
        waits && order == ["04", "03"]
    }));
    s.links.set(
        "far",
        "near",
        LinkFault::UnreliableMessages {
            drop: 1.0,
            twice: 0.0,
            after: 0.0,
        },
    );
    let mut unheard = ask(5, &s);
    assert_eq!(s.bodies.recv_timeout(PATIENCE), Ok("05".into()));
    assert!(silent(&mut unheard));
    drop(kept);
}
