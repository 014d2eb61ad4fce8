//! What is owed at the moment when something ends: a client's connection, a worker's, or the router itself. Each crossing
//! is forced: the router's process is halted, what should cross is put into the kernel's buffers and seen there, and the
//! process goes on.

use std::io::{BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use procfs::net::TcpState::SynSent;
use rustix::process::Signal;

mod platform;
use platform::*;

const HEALTH: &str = "GET /-/healthy HTTP/1.1\r\n\r\n";
/// Requests that come later than this after the order to stop are refused.
const STILL_ACCEPTS: Duration = Duration::from_millis(700);
/// A connection is idle for less than this.
const IDLE_KEPT: Duration = Duration::from_millis(5_300);

fn send(w: &World, text: &str) -> TcpStream {
    let mut stream = w.connect();
    stream.write_all(text.as_bytes()).expect("sent");
    stream
}

fn address(stream: &TcpStream) -> SocketAddr {
    stream.local_addr().expect("an address")
}

fn status(stream: TcpStream) -> u16 {
    answer(&mut BufReader::new(stream)).expect("an answer").0
}

/// A connection on which the router has answered once.
fn open(w: &World) -> TcpStream {
    let stream = send(w, HEALTH);
    assert_eq!(
        answer(&mut BufReader::new(stream.try_clone().expect("clone")))
            .expect("an answer")
            .0,
        200
    );
    stream
}

/// The function has a copy and the worker an idle connection: a request for it leaves as soon as it is read.
fn warm_up(w: &World) {
    assert_eq!(
        w.ask(&call(&id(1_000), "plain", GOOD, "", "x"))
            .expect("an answer")
            .0,
        200
    );
}

fn told_to_stop(w: &World) {
    w.signal(Signal::TERM);
    w.until("it shuts down", |w| {
        w.ask(HEALTH).is_none_or(|a| a.0 == 503)
    });
}

/// The router ends well, and a new one takes its place.
fn exits(w: &mut World) {
    assert!(w.node.wait().expect("ended").success());
    w.node = start(&w.file, &w.folder, w.address);
}

/// The configuration names another discovery channel, which tells what the first one has told.
fn second_channel(w: &World, part: u16) -> (Arc<Mutex<Channel>>, String) {
    let (to, told) = (own(part), Arc::new(Mutex::new(Channel::default())));
    told.lock().expect("channel").events = w.channel.lock().expect("channel").events.clone();
    channel(TcpListener::bind(to).expect("bind"), told.clone());
    let text = std::fs::read_to_string(&w.file).expect("read");
    let (old, new) = (
        format!(r#""channel":"{}""#, w.first_channel),
        format!(r#""channel":"{to}""#),
    );
    (told, text.replace(&old, &new))
}

fn is_asked(w: &World, told: &Mutex<Channel>) {
    w.until("the new channel is asked", |_| {
        !told.lock().expect("channel").asked.is_empty()
    });
}

/// With as much sent ahead as is kept, nothing more was read, and the client's closing went unnoticed.
#[test]
fn a_client_that_sent_far_ahead_and_left_has_nothing_more_begun() {
    let w = World::new(30);
    let ahead: String = (2..30)
        .map(|n| call(&id(n), "once", GOOD, "", "x"))
        .collect();
    let stream = send(&w, &(call(&id(1), "once", KEPT, "", "x") + &ahead));
    w.until("the first is out", |w| w.calls(&id(1)) == 1);
    w.turns();
    drop(stream);
    w.until("it is called back", |w| {
        w.seen.lock().expect("seen").killed.contains(&id(1))
    });
    w.free(&id(1));
    w.turns();
    assert!((2..30).all(|n| w.calls(&id(n)) == 0));
}

/// Each of many requests sent ahead has its answer, in order: those that are kept, and those beyond.
#[test]
fn each_request_sent_far_ahead_is_answered() {
    let w = World::new(31);
    let ahead: String = (2..30)
        .map(|n| call(&id(n), "plain", GOOD, "", "x"))
        .collect();
    let stream = send(&w, &(call(&id(1), "once", KEPT, "", "x") + &ahead));
    w.until("the first is out", |w| w.calls(&id(1)) == 1);
    w.turns();
    w.free(&id(1));
    let mut answers = BufReader::new(stream);
    let statuses: Vec<u16> = (1..30)
        .map(|_| answer(&mut answers).expect("an answer").0)
        .collect();
    let served = statuses.iter().take_while(|s| **s == 200).count();
    assert!(
        served >= 8 && statuses[served..].iter().all(|s| *s == 503),
        "{statuses:?}"
    );
    assert!((1..30).all(|n| w.calls(&id(n)) == usize::from((n as usize) <= served)));
}

/// A request and its client's closing lie unread together: the request was sent on, for nobody.
#[test]
fn a_request_whose_client_has_left_before_it_is_read_is_not_begun() {
    for on_open_connection in [false, true] {
        let w = World::new(32);
        warm_up(&w);
        let kept = on_open_connection.then(|| open(&w));
        w.halt();
        let mut stream = kept.unwrap_or_else(|| w.connect());
        stream
            .write_all(call(&id(1), "once", GOOD, "", "x").as_bytes())
            .expect("sent");
        let client = address(&stream);
        drop(stream);
        w.closing_arrived(client);
        w.goes_on();
        w.turns();
        w.turns();
        assert_eq!(w.calls(&id(1)), 0);
    }
}

/// A request waits for a lane. Its client leaves, and the lane becomes free, before the router looks at either; it looks
/// first at what has come first.
#[test]
fn a_waiting_request_whose_client_has_left_is_not_begun() {
    for leaves_first in [false, true] {
        let w = World::new(33);
        let first = send(&w, &call(&id(1), "once", KEPT, "", "x"));
        w.until("it is out", |w| w.calls(&id(1)) == 1);
        let second = send(&w, &call(&id(2), "once", KEPT, "", "x"));
        w.turns();
        assert_eq!(w.calls(&id(2)), 0);
        w.halt();
        let (client, mut second) = (address(&second), Some(second));
        let mut leave = || {
            drop(second.take());
            w.closing_arrived(client);
        };
        if leaves_first {
            leave();
        }
        w.free(&id(1));
        w.lies_unread(w.workers);
        leave();
        w.goes_on();
        assert_eq!(status(first), 200);
        w.turns();
        assert_eq!(w.calls(&id(2)), 0);
    }
}

/// The refusal was followed by a close with the request unread, and so by a reset.
#[test]
fn whoever_finds_no_room_reads_its_refusal_and_no_reset() {
    let w = World::with(34, |c| c.replace("\"sockets\":256", "\"sockets\":4"));
    let busy = [1, 2].map(|n| {
        let stream = send(
            &w,
            &call(&id(n), "once", KEPT, "X-Extras: lanes:8\r\n", "x"),
        );
        w.until("it is out", |w| w.calls(&id(n)) == 1);
        stream
    });
    w.halt();
    let refused: Vec<TcpStream> = (10..16)
        .map(|n| send(&w, &call(&id(n), "plain", GOOD, "", "x")))
        .collect();
    refused
        .iter()
        .for_each(|stream| w.lies_unread(address(stream)));
    w.goes_on();
    for stream in refused {
        let mut answers = BufReader::new(stream);
        assert_eq!(answer(&mut answers).expect("an answer").0, 503);
        assert_eq!(answers.read(&mut [0; 16]).expect("closed, not reset"), 0);
    }
    for (n, stream) in [1, 2].into_iter().zip(busy) {
        w.free(&id(n));
        assert_eq!(status(stream), 200);
    }
}

/// The connection that looked idle for longest was closed for a new one, with its request unread.
#[test]
fn a_connection_with_an_unread_request_makes_no_room_for_others() {
    for new_comes_first in [false, true] {
        let w = World::with(35, |c| c.replace("\"sockets\":256", "\"sockets\":8"));
        let mut idle: Vec<TcpStream> = (0..4).map(|_| open(&w)).collect();
        w.halt();
        let come = || {
            let stream = send(&w, &call(&id(2), "plain", GOOD, "", "x"));
            w.lies_unread(address(&stream));
            stream
        };
        let first = new_comes_first.then(come);
        idle[0]
            .write_all(call(&id(1), "plain", GOOD, "", "x").as_bytes())
            .expect("sent");
        w.lies_unread(address(&idle[0]));
        let new = first.unwrap_or_else(come);
        w.goes_on();
        assert_eq!(
            (status(idle.remove(0)), status(new)),
            (200, 200),
            "{new_comes_first}"
        );
    }
}

/// Half a request was dropped without a word when its connection had to make room.
#[test]
fn half_a_request_that_makes_room_for_others_is_refused() {
    let w = World::with(36, |c| c.replace("\"sockets\":256", "\"sockets\":4"));
    let text = call(&id(1), "plain", GOOD, "", "x");
    let half: Vec<TcpStream> = (0..2)
        .map(|_| {
            let stream = send(&w, &text[..text.len() / 2]);
            w.accepted(address(&stream));
            stream
        })
        .collect();
    assert_eq!(
        w.ask(&call(&id(2), "plain", GOOD, "", "x"))
            .expect("an answer")
            .0,
        200
    );
    let mut statuses = half.into_iter().map(status);
    assert!(statuses.all(|s| s == 503));
}

/// The process stands still for longer than a connection may be idle, and a request arrives on it meanwhile.
#[test]
fn a_request_that_arrived_while_the_router_stood_still_is_served() {
    let w = World::new(37);
    let mut stream = open(&w);
    w.halt();
    stream
        .write_all(call(&id(1), "plain", GOOD, "", "x").as_bytes())
        .expect("sent");
    w.lies_unread(address(&stream));
    thread::sleep(IDLE_KEPT);
    w.goes_on();
    assert_eq!(status(stream), 200);
}

/// The deadline that a worker is given counted from when the router read the request.
#[test]
fn a_worker_is_given_no_more_time_than_the_client_has_left() {
    let w = World::new(38);
    warm_up(&w);
    assert_eq!(
        w.ask(&call(&id(1), "once", GOOD, "", "x"))
            .expect("an answer")
            .0,
        200
    );
    let mut stream = open(&w);
    w.halt();
    stream
        .write_all(call(&id(2), "once", GOOD, "", "x").as_bytes())
        .expect("sent");
    w.lies_unread(address(&stream));
    thread::sleep(Duration::from_secs(1));
    w.goes_on();
    assert_eq!(status(stream), 200);
    let given = w.seen.lock().expect("seen").deadlines.clone();
    // As much less as it stood still, with the protocol's slack.
    assert!(given[&id(2)] <= given[&id(1)] - 1_000 + 150, "{given:?}");
}

/// A worker moves while a connection to its old address is coming up: another worker may listen there by then.
#[test]
fn nothing_goes_to_the_old_address_of_a_worker_that_has_moved() {
    let patient = |c: String| {
        c.replace("\"miss\"", "\"load\"")
            .replace("250000000", "30000000000")
    };
    let (w, old, new) = (World::with(39, patient), own(39), own(39));
    let (at_old, at_new) = (Shared::default(), Shared::default());
    let (listener, _first) = full_listener(old);
    worker(TcpListener::bind(new).expect("bind"), at_new.clone());
    w.tell(2, "s-2", old, "active");
    w.tell(3, "s-1", w.workers, "left");
    let stream = send(&w, &call(&id(1), "plain", GOOD, "", "x"));
    w.until("it connects", |_| {
        rows(None, Some(old)).iter().any(|r| r.state == SynSent)
    });
    w.tell(4, "s-2", new, "active");
    assert_eq!(status(stream), 200);
    worker(listener, at_old.clone());
    w.turns();
    assert_eq!(
        (
            at_old.lock().expect("seen").calls.len(),
            at_new.lock().expect("seen").calls.len()
        ),
        (0, 1)
    );
}

/// A request comes in pieces, and the router is told to stop between them.
#[test]
fn a_request_in_pieces_is_answered_by_a_router_that_shuts_down() {
    let mut w = World::new(40);
    let text = call(&id(1), "plain", GOOD, "", "x");
    let (first, rest) = text.split_at(text.len() / 2);
    let mut stream = send(&w, first);
    w.turns();
    told_to_stop(&w);
    // And until after the next look for connections on which nothing is in progress.
    thread::sleep(STILL_ACCEPTS + Duration::from_millis(200));
    stream.write_all(rest.as_bytes()).expect("sent");
    assert_eq!(status(stream), 503);
    exits(&mut w);
}

/// A connection stands in the listener's backlog, its request whole, as the router finds that it may exit. On a machine too
/// slow to halt the router before that, once more.
#[test]
fn what_stands_in_the_backlog_of_a_router_that_shuts_down_is_answered() {
    let mut w = World::new(41);
    for _ in 0..10 {
        let began = Instant::now();
        told_to_stop(&w);
        w.signal(Signal::STOP);
        let came = TcpStream::connect(w.address).and_then(|mut stream| {
            stream.set_read_timeout(Some(PATIENCE))?;
            stream
                .write_all(call(&id(1), "plain", GOOD, "", "x").as_bytes())
                .map(|()| stream)
        });
        let in_time = began.elapsed() < STILL_ACCEPTS;
        if in_time {
            w.halt();
            thread::sleep(STILL_ACCEPTS);
        }
        w.goes_on();
        if in_time {
            assert!([200, 503].contains(&status(came.expect("it listens"))));
        }
        exits(&mut w);
        if in_time {
            return;
        }
        w.until("it serves again", |w| {
            w.ask(HEALTH).is_some_and(|a| a.0 == 200)
        });
    }
    panic!("the machine is too slow");
}

/// Discovery moves while a router shuts down: it heard no further signal, and nothing of what the new address tells.
#[test]
fn a_router_that_shuts_down_follows_discovery_to_a_new_address() {
    let mut w = World::new(42);
    let stream = send(&w, &call(&id(1), "once", KEPT, "", "x"));
    w.until("it is out", |w| w.calls(&id(1)) == 1);
    told_to_stop(&w);
    let (told, text) = second_channel(&w, 42);
    std::fs::write(&w.file, text).expect("written");
    w.signal(Signal::HUP);
    is_asked(&w, &told);
    w.free(&id(1));
    assert_eq!(status(stream), 200);
    exits(&mut w);
}

/// The configuration is still being written as the signal comes.
#[test]
fn a_configuration_that_is_half_written_is_read_again() {
    let w = World::new(43);
    let (told, text) = second_channel(&w, 43);
    std::fs::write(&w.file, &text[..text.len() / 2]).expect("written");
    w.signal(Signal::HUP);
    w.turns();
    std::fs::write(&w.file, text).expect("written");
    is_asked(&w, &told);
    assert_eq!(
        w.ask(&call(&id(1), "plain", GOOD, "", "x"))
            .expect("an answer")
            .0,
        200
    );
}
