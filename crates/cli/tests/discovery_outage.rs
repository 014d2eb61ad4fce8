//! `cedarpulley node` while discovery is out of reach.
//!
//! Incident, told by its first tests. Seen: discovery was lost; workers began to drain just after that, stayed up and
//! turned new work away; the routers went on sending invocations, and an order to load, for as long as the outage lasted.
//! How it came about: what discovery announces counts as told 7 s after it was lost, heard or not, and new work must end
//! a grace after that. Cause: a failed poll only made the next one later. Nothing told the core that the list might be out
//! of date, so every worker in it was good for ever. Proof: these tests, which count what reaches a draining worker once
//! that time is over. Before the repair the first of 60 invocations went there in each test, and was turned away.

use std::net::TcpListener;
use std::thread;
use std::time::{Duration, Instant};

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

fn workers_that_drain_unheard_get_nothing_new(part: u16, outage: Outage) {
    let (w, second) = with_second_worker(part);
    assert_eq!(served(&w, 1), REQUESTS as usize);
    w.channel.lock().expect("channel").outage = Some(outage);
    let lost = Instant::now();
    drain(&w.seen);
    thread::sleep((lost + TOLD_AFTER + GRACE).saturating_duration_since(Instant::now()));
    let told = Instant::now();
    let served = served(&w, 1_000);
    assert_eq!(turned_away_since(&w.seen, told), 0, "sends after the grace");
    assert_eq!(served, REQUESTS as usize);
    assert!(!second.lock().expect("seen").draining);
}

#[test]
fn a_worker_that_drains_while_discovery_is_silent_gets_nothing_new() {
    workers_that_drain_unheard_get_nothing_new(30, Outage::Silent);
}

#[test]
fn a_worker_that_drains_while_discovery_closes_gets_nothing_new() {
    workers_that_drain_unheard_get_nothing_new(31, Outage::Closes);
}
