//! `cedarpulley node` while discovery is out of reach.
//!
//! Incident, told by its first tests. Seen: discovery was lost; workers began to drain just after that, stayed up and
//! turned new work away; the routers went on sending invocations, and an order to load, for as long as the outage lasted.
//! How it came about: what discovery announces counts as told 7 s after it was lost, heard or not, and new work must end
//! a grace after that. Cause: a failed poll only made the next one later. Nothing told the core that the list might be out
//! of date, so every worker in it was good for ever. Proof: these tests, which count what reaches a draining worker once
//! that time is over. Before the repair the first of 60 invocations went there in each test, and was turned away.

use std::io::{BufReader, Write};
use std::net::TcpListener;
use std::thread;
use std::time::{Duration, Instant};

use rustix::process::Signal;

mod platform;
use platform::*;

/// What discovery would have announced counts as told so long after it was lost, at the latest.
const TOLD_AFTER: Duration = Duration::from_secs(7);
/// The grace of a draining worker in `platform`'s settings, and what a time limit on sockets grows by.
const GRACE: Duration = Duration::from_millis(550);
const REQUESTS: u32 = 60;

fn probes_allowed(config: String) -> String {
    config.replace(r#""cancel":true"#, r#""cancel":true,"probes":true"#)
}

/// A router with a second worker beside the first one.
fn with_second_worker(part: u16) -> (World, Shared) {
    let (w, at, seen) = (
        World::with(part, probes_allowed),
        own(part),
        Shared::default(),
    );
    worker(TcpListener::bind(at).expect("bind"), seen.clone());
    w.tell(2, "s-2", at, "active");
    (w, seen)
}

fn drain(worker: &Shared) -> Instant {
    worker.lock().expect("seen").draining = true;
    Instant::now()
}

fn turned_away_since(worker: &Shared, since: Instant) -> usize {
    let seen = worker.lock().expect("seen");
    seen.turned_away.iter().filter(|at| **at > since).count()
}

/// Sends invocations of both kinds, of a function that is loaded and of new ones, and returns how many were served.
fn served(w: &World, first: u32) -> usize {
    let ask = |n: u32| {
        let class = if n.is_multiple_of(2) { "plain" } else { "once" };
        let function = if n.is_multiple_of(3) {
            format!("{:016x}", 0x1000 + n)
        } else {
            GOOD.to_owned()
        };
        w.ask(&call(&id(n), class, &function, "", "x"))
            .expect("an answer")
            .0
    };
    (first..first + REQUESTS).filter(|n| ask(*n) == 200).count()
}

/// Loses discovery by `lose`, has the first worker drain just after that, and sees what goes there once it counts as told.
fn a_worker_that_drains_unheard_gets_nothing_new(part: u16, lose: impl FnOnce(&mut World)) {
    let (mut w, second) = with_second_worker(part);
    assert_eq!(served(&w, 1), REQUESTS as usize);
    lose(&mut w);
    let lost = Instant::now();
    drain(&w.seen);
    thread::sleep((lost + TOLD_AFTER + GRACE).saturating_duration_since(Instant::now()));
    let told = Instant::now();
    let served = served(&w, 1_000);
    assert_eq!(turned_away_since(&w.seen, told), 0, "sends after the grace");
    assert_eq!(served, REQUESTS as usize);
    assert!(second.lock().expect("seen").probes > 0);
}

fn lose(outage: Outage) -> impl FnOnce(&mut World) {
    move |w| w.channel.lock().expect("channel").outage = Some(outage)
}

#[test]
fn a_worker_that_drains_while_discovery_is_silent_gets_nothing_new() {
    a_worker_that_drains_unheard_gets_nothing_new(30, lose(Outage::Silent));
}

#[test]
fn a_worker_that_drains_while_discovery_closes_gets_nothing_new() {
    a_worker_that_drains_unheard_gets_nothing_new(31, lose(Outage::Closes));
}

#[test]
fn a_worker_that_drains_while_discovery_is_garbled_gets_nothing_new() {
    a_worker_that_drains_unheard_gets_nothing_new(32, lose(Outage::Garbled));
}

#[test]
fn a_worker_that_drains_while_discovery_is_behind_gets_nothing_new() {
    a_worker_that_drains_unheard_gets_nothing_new(33, lose(Outage::Behind));
}

/// The configuration names a channel at which nobody listens.
#[test]
fn a_worker_that_drains_after_a_move_to_nowhere_gets_nothing_new() {
    a_worker_that_drains_unheard_gets_nothing_new(34, |w| {
        let text = std::fs::read_to_string(&w.file).expect("read");
        let (old, new) = (w.first_channel, own(34));
        let text = text.replace(
            &format!(r#""channel":"{old}""#),
            &format!(r#""channel":"{new}""#),
        );
        std::fs::write(&w.file, text).expect("written");
        w.signal(Signal::HUP);
    });
}

/// A router that starts in an outage knows only what its configuration holds, of whatever age.
#[test]
fn a_router_that_starts_while_discovery_is_lost_checks_its_workers() {
    let (mut w, _second) = with_second_worker(35);
    // What the configuration holds names the first worker alone.
    w.channel.lock().expect("channel").outage = Some(Outage::Closes);
    drain(&w.seen);
    w.node.kill().expect("killed");
    w.node.wait().expect("ended");
    let restarted = Instant::now();
    w.node = start(&w.file, &w.folder, w.address);
    w.until("it serves again", |w| {
        w.ask("GET /-/healthy HTTP/1.1\r\n\r\n")
            .is_some_and(|a| a.0 == 200)
    });
    let text = call(&id(1), "plain", GOOD, "", "x").replace("Wait-Ms: 60000", "Wait-Ms: 9000");
    assert_eq!(w.ask(&text).expect("an answer").0, 503);
    assert_eq!(turned_away_since(&w.seen, restarted), 0);
    // It is ready again, and used although discovery is not.
    w.seen.lock().expect("seen").draining = false;
    assert_eq!(
        w.ask(&call(&id(2), "plain", GOOD, "", "x"))
            .expect("an answer")
            .0,
        200
    );
}

/// Deep in an outage, a worker that begins to drain gets work for the grace at most.
#[test]
fn a_worker_that_drains_deep_in_an_outage_has_its_grace_and_no_more() {
    let (w, second) = with_second_worker(36);
    w.channel.lock().expect("channel").outage = Some(Outage::Silent);
    thread::sleep(TOLD_AFTER + GRACE);
    assert_eq!(served(&w, 1), REQUESTS as usize);
    let first_to_drain = drain(&w.seen);
    thread::sleep((first_to_drain + GRACE).saturating_duration_since(Instant::now()));
    let told = Instant::now();
    assert_eq!(served(&w, 1_000), REQUESTS as usize);
    assert_eq!(turned_away_since(&w.seen, told), 0, "sends after the grace");
    // Discovery is back, and says that both are in service.
    w.seen.lock().expect("seen").draining = false;
    drain(&second);
    w.channel.lock().expect("channel").outage = None;
    w.tell(3, "s-2", own(36), "left");
    assert_eq!(served(&w, 2_000), REQUESTS as usize);
}

/// A server that is behind answers each poll: what it did not know is heard late, once it has caught up.
#[test]
fn a_drain_heard_from_a_server_that_was_behind_has_no_grace_left() {
    let patient = |config: String| {
        probes_allowed(config).replace(
            "\"stopSendingWithin\":500000000",
            "\"stopSendingWithin\":600000000000",
        )
    };
    let (w, at, second) = (World::with(37, patient), own(37), Shared::default());
    worker(TcpListener::bind(at).expect("bind"), second.clone());
    // The first worker alone has the function loaded.
    assert_eq!(served(&w, 1), REQUESTS as usize);
    w.tell(2, "s-2", at, "active");
    let asked = |w: &World| w.channel.lock().expect("channel").asked.len();
    w.channel.lock().expect("channel").outage = Some(Outage::Behind);
    let before = asked(&w);
    w.until("it is behind", |w| asked(w) > before + 2);
    let drains = event(3, w.workers, "s-1", "leaving");
    w.channel.lock().expect("channel").events.push(drains);
    w.channel.lock().expect("channel").outage = None;
    w.until("it has caught up", |w| {
        w.channel.lock().expect("channel").asked.contains(&3)
    });
    let told = drain(&w.seen);
    assert_eq!(served(&w, 1_000), REQUESTS as usize);
    assert_eq!(turned_away_since(&w.seen, told), 0);
}

/// With no connection left a health check ends at once; sent again at once, it would hold up everything else.
#[test]
fn a_health_check_without_a_connection_holds_up_nobody() {
    // Objectives beyond the test's patience: what waits for a worker goes on waiting.
    let one_connection = |config: String| {
        probes_allowed(config)
            .replace("\"sockets\":256", "\"sockets\":66")
            .replace("8000000000", "60000000000")
    };
    let (w, at, second) = (World::with(38, one_connection), own(38), Shared::default());
    worker(TcpListener::bind(at).expect("bind"), second);
    let mut kept = w.connect();
    kept.write_all(call(&id(1), "once", KEPT, "", "x").as_bytes())
        .expect("sent");
    w.until("it is out", |w| w.calls(&id(1)) == 1);
    w.tell(2, "s-2", at, "active");
    w.channel.lock().expect("channel").outage = Some(Outage::Closes);
    thread::sleep(Duration::from_millis(2_500));
    drain(&w.seen);
    // The first worker fails its check on the one connection, and the second one cannot be asked.
    let text = call(&id(2), "plain", GOOD, "", "x");
    let mut waiting = w.connect();
    waiting.write_all(text.as_bytes()).expect("sent");
    w.until("it was asked", |w| w.seen.lock().expect("seen").probes > 0);
    thread::sleep(Duration::from_millis(200));
    w.turns();
    w.free(&id(1));
    let answers = answer(&mut BufReader::new(kept)).expect("an answer");
    assert_eq!(answers.0, 200);
}
