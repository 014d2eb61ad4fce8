//! Runs `cedarpulley node` while discovery is unreachable.
//!
//! Guards against invocations and load orders that are sent to draining workers for as long as a discovery outage lasts.
//! Workers began to drain just after discovery was lost; they kept running and rejected new work. An announcement of
//! discovery counts as received at the latest 7 s after discovery was lost, and new work must stop one drain grace later.
//! The cause was that a failed poll only delayed the next one: the router core did not learn that the endpoint list might
//! be out of date, so every listed worker stayed eligible. These tests count what reaches a draining worker after that
//! time. Before the fix, in each test the first of 60 invocations was sent to that worker and rejected.

use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener};
use std::thread;
use std::time::{Duration, Instant};

use rstest::rstest;
use rustix::process::Signal;

mod platform;
use platform::*;

/// Time after the loss of discovery at which its announcements count as received at the latest.
const COUNTS_AS_RECEIVED_AFTER: Duration = Duration::from_secs(7);
/// Drain grace in the settings of `platform` (500 ms), plus the margin of a time limit on sockets.
const GRACE: Duration = Duration::from_millis(550);
/// Invocations sent in each round.
const REQUESTS: u32 = 60;

fn probes_allowed(config: String) -> String {
    config.replace(r#""cancel":true"#, r#""cancel":true,"probes":true"#)
}

/// Starts a router with two workers, which may send them health checks.
fn with_second_worker(part: u16) -> (World, Shared) {
    with_workers(part, probes_allowed)
}

/// Starts a router with two workers and an edited configuration.
fn with_workers(part: u16, edit: impl FnOnce(String) -> String) -> (World, Shared) {
    let (w, at, seen) = (World::with(part, edit), own(part), Shared::default());
    worker(TcpListener::bind(at).expect("bind"), seen.clone());
    w.tell(2, "s-2", at, "active");
    (w, seen)
}

fn drain(worker: &Shared) -> Instant {
    worker.lock().expect("seen").draining = true;
    Instant::now()
}

fn rejected_since(worker: &Shared, since: Instant) -> usize {
    let seen = worker.lock().expect("seen");
    seen.turned_away.iter().filter(|at| **at > since).count()
}

/// Sends invocations of both trigger types, of a loaded function and of new functions, and returns how many succeeded.
fn successes(w: &World, first: u32) -> usize {
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

/// Causes an outage of discovery with `lose` and lets the first worker drain just after that. Checks that nothing is
/// sent to that worker once its draining counts as announced and the drain grace is over.
fn assert_unannounced_drain_stops_new_work(part: u16, lose: impl FnOnce(&mut World)) {
    let (mut w, second) = with_second_worker(part);
    assert_eq!(successes(&w, 1), REQUESTS as usize);
    lose(&mut w);
    let lost = Instant::now();
    drain(&w.seen);
    thread::sleep(
        (lost + COUNTS_AS_RECEIVED_AFTER + GRACE).saturating_duration_since(Instant::now()),
    );
    let grace_over = Instant::now();
    let successes = successes(&w, 1_000);
    assert_eq!(
        rejected_since(&w.seen, grace_over),
        0,
        "sends after the grace"
    );
    assert_eq!(successes, REQUESTS as usize);
    assert!(second.lock().expect("seen").probes > 0);
}

fn lose(outage: Outage) -> impl FnOnce(&mut World) {
    move |w| w.channel.lock().expect("channel").outage = Some(outage)
}

#[test]
fn a_worker_draining_while_discovery_is_silent_gets_no_new_work() {
    assert_unannounced_drain_stops_new_work(30, lose(Outage::Silent));
}

#[test]
fn a_worker_draining_while_discovery_closes_connections_gets_no_new_work() {
    assert_unannounced_drain_stops_new_work(31, lose(Outage::Closes));
}

#[test]
fn a_worker_draining_while_discovery_is_unreadable_gets_no_new_work() {
    assert_unannounced_drain_stops_new_work(32, lose(Outage::Garbled));
}

#[test]
fn a_worker_draining_while_discovery_lags_gets_no_new_work() {
    assert_unannounced_drain_stops_new_work(33, lose(Outage::Behind));
}

/// Lets the router follow discovery at another address.
fn move_discovery(w: &World, from: SocketAddr, to: SocketAddr) {
    let text = std::fs::read_to_string(&w.file).expect("read");
    let channel = |address| format!(r#""channel":"{address}""#);
    let text = text.replace(&channel(from), &channel(to));
    std::fs::write(&w.file, text).expect("written");
    w.signal(Signal::HUP);
}

/// An address without a listener.
fn dead_address(w: &World) -> SocketAddr {
    SocketAddr::new(w.first_channel.ip(), 1)
}

fn move_to_dead_address(w: &mut World) {
    move_discovery(w, w.first_channel, dead_address(w));
}

fn move_back(w: &mut World) {
    move_discovery(w, dead_address(w), w.first_channel);
}

/// The new configuration names a channel address without a listener.
#[test]
fn a_worker_draining_after_discovery_moves_to_a_dead_address_gets_no_new_work() {
    assert_unannounced_drain_stops_new_work(34, move_to_dead_address);
}

/// Kills the router and starts it again.
fn restart(w: &mut World) {
    w.node.kill().expect("killed");
    w.node.wait().expect("ended");
    w.node = start(&w.file, &w.folder, w.address);
    w.until("the router serves requests again", |w| {
        w.ask("GET /-/healthy HTTP/1.1\r\n\r\n")
            .is_some_and(|a| a.0 == 200)
    });
}

/// A router that starts in an outage knows only the workers of its configuration, which may be of any age.
#[test]
fn a_router_started_without_discovery_checks_its_workers() {
    let (mut w, _second) = with_second_worker(35);
    // The configuration names only the first worker.
    w.channel.lock().expect("channel").outage = Some(Outage::Closes);
    drain(&w.seen);
    let restarted = Instant::now();
    restart(&mut w);
    let text = call(&id(1), "plain", GOOD, "", "x").replace("Wait-Ms: 60000", "Wait-Ms: 9000");
    assert_eq!(w.ask(&text).expect("an answer").0, 503);
    assert_eq!(rejected_since(&w.seen, restarted), 0);
    // The worker is ready again, and is used although discovery is still unavailable.
    w.seen.lock().expect("seen").draining = false;
    assert_eq!(
        w.ask(&call(&id(2), "plain", GOOD, "", "x"))
            .expect("an answer")
            .0,
        200
    );
}

/// A worker that begins to drain late in an outage gets new work for at most the drain grace.
#[test]
fn a_worker_draining_late_in_an_outage_gets_only_its_drain_grace() {
    let (w, second) = with_second_worker(36);
    w.channel.lock().expect("channel").outage = Some(Outage::Silent);
    thread::sleep(COUNTS_AS_RECEIVED_AFTER + GRACE);
    assert_eq!(successes(&w, 1), REQUESTS as usize);
    let first_to_drain = drain(&w.seen);
    thread::sleep((first_to_drain + GRACE).saturating_duration_since(Instant::now()));
    let grace_over = Instant::now();
    assert_eq!(successes(&w, 1_000), REQUESTS as usize);
    assert_eq!(
        rejected_since(&w.seen, grace_over),
        0,
        "sends after the grace"
    );
    // Discovery is available again and announces that the second worker has left.
    w.seen.lock().expect("seen").draining = false;
    drain(&second);
    w.channel.lock().expect("channel").outage = None;
    w.tell(3, "s-2", own(36), "left");
    assert_eq!(successes(&w, 2_000), REQUESTS as usize);
}

/// A lagging discovery server answers each poll. Events that it did not have are received late, once it has caught up.
#[test]
fn a_drain_received_from_a_lagging_server_has_no_grace_left() {
    let with_long_times = |config: String| {
        probes_allowed(config).replace(
            "\"stopSendingWithin\":500000000",
            "\"stopSendingWithin\":600000000000",
        )
    };
    let (w, at, second) = (World::with(37, with_long_times), own(37), Shared::default());
    worker(TcpListener::bind(at).expect("bind"), second.clone());
    // Only the first worker has the function loaded.
    assert_eq!(successes(&w, 1), REQUESTS as usize);
    w.tell(2, "s-2", at, "active");
    let asked = |w: &World| w.channel.lock().expect("channel").asked.len();
    w.channel.lock().expect("channel").outage = Some(Outage::Behind);
    let before = asked(&w);
    w.until("the discovery server lags", |w| asked(w) > before + 2);
    let drains = event(3, w.workers, "s-1", "leaving");
    w.channel.lock().expect("channel").events.push(drains);
    w.channel.lock().expect("channel").outage = None;
    w.until("the discovery server has caught up", |w| {
        w.channel.lock().expect("channel").asked.contains(&3)
    });
    let drain_start = drain(&w.seen);
    assert_eq!(successes(&w, 1_000), REQUESTS as usize);
    assert_eq!(rejected_since(&w.seen, drain_start), 0);
}

/// Without a free connection a health check ends at once. If it were repeated at once, it would delay all other work.
#[test]
fn a_health_check_without_a_connection_delays_no_other_work() {
    // Latency objectives above the timeout of the test: invocations that wait for a worker keep waiting.
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
    w.until("the invocation is dispatched", |w| w.calls(&id(1)) == 1);
    w.tell(2, "s-2", at, "active");
    w.channel.lock().expect("channel").outage = Some(Outage::Closes);
    thread::sleep(Duration::from_millis(2_500));
    drain(&w.seen);
    // The first worker fails its health check on the only connection, and the second worker cannot be checked.
    let text = call(&id(2), "plain", GOOD, "", "x");
    let mut waiting = w.connect();
    waiting.write_all(text.as_bytes()).expect("sent");
    w.until("a health check was received", |w| {
        w.seen.lock().expect("seen").probes > 0
    });
    thread::sleep(Duration::from_millis(200));
    w.turns();
    w.free(&id(1));
    let answers = answer(&mut BufReader::new(kept)).expect("an answer");
    assert_eq!(answers.0, 200);
}

/// All messages that a worker has received: calls, load orders and health checks.
fn received(worker: &Shared) -> (usize, usize, usize) {
    let seen = worker.lock().expect("seen");
    let turned_away = seen.turned_away.len();
    (
        seen.calls.len() + turned_away,
        seen.orders.len(),
        seen.probes,
    )
}

/// Checks that each invocation is refused with a Retry-After, and that no worker receives anything.
fn assert_all_refused(w: &World, workers: [&Shared; 2], first: u32) {
    let before = workers.map(received);
    for n in first..first + REQUESTS {
        let class = if n.is_multiple_of(2) { "plain" } else { "once" };
        let text = call(&id(n), class, GOOD, "", "x");
        let (status, head, _) = w.ask(&text).expect("an answer");
        assert_eq!(status, 503);
        assert!(head.contains("Srv-Wait-Ms: 1000\r\n"), "{head}");
    }
    assert_eq!(workers.map(received), before, "sent in the outage");
}

/// Causes a long outage of discovery with `lose` for a router that may send no health checks, and ends it with `find`.
/// Checks that nothing is sent to any worker once unannounced drains may be over, and that all is served after the outage.
fn assert_outage_without_checks_stops_new_work(
    part: u16,
    lose: impl FnOnce(&mut World),
    find: impl FnOnce(&mut World),
) {
    let (mut w, second) = with_workers(part, |config| config);
    assert_eq!(successes(&w, 1), REQUESTS as usize);
    lose(&mut w);
    let lost = Instant::now();
    drain(&w.seen);
    thread::sleep(
        (lost + COUNTS_AS_RECEIVED_AFTER + GRACE).saturating_duration_since(Instant::now()),
    );
    assert_all_refused(&w, [&w.seen, &second], 1_000);
    assert!(metrics(&w).contains("cedarpulley_node_new_work_refused 1\n"));
    let refused = format!("cedarpulley_node_drains_unknown_total {REQUESTS}\n");
    assert!(metrics(&w).contains(&refused));
    // In the outage, another worker has taken the address of the first one, and the second one has left.
    w.seen.lock().expect("seen").draining = false;
    drain(&second);
    for (number, worker, at, state) in [
        (3, "s-1", w.workers, "left"),
        (4, "s-3", w.workers, "active"),
        (5, "s-2", own(part), "left"),
    ] {
        let told = event(number, at, worker, state);
        w.channel.lock().expect("channel").events.push(told);
    }
    find(&mut w);
    w.until("the router has received the events", |w| {
        w.channel.lock().expect("channel").asked.contains(&5)
    });
    let found = Instant::now();
    assert_eq!(successes(&w, 2_000), REQUESTS as usize);
    assert_eq!(rejected_since(&second, found), 0);
    assert_eq!((received(&w.seen).2, received(&second).2), (0, 0));
    assert!(metrics(&w).contains("cedarpulley_node_new_work_refused 0\n"));
}

fn metrics(w: &World) -> String {
    let answer = w.ask("GET /-/metrics HTTP/1.1\r\n\r\n");
    String::from_utf8(answer.expect("an answer").2).expect("text")
}

fn find(w: &mut World) {
    w.channel.lock().expect("channel").outage = None;
}

/// The settings of these tests have no `permissions.probes`.
#[rstest]
#[case::silent(44, Outage::Silent)]
#[case::closing_connections(45, Outage::Closes)]
#[case::unreadable(46, Outage::Garbled)]
#[case::lagging(47, Outage::Behind)]
fn without_health_checks_nothing_is_sent_while_discovery_is(
    #[case] part: u16,
    #[case] outage: Outage,
) {
    assert_outage_without_checks_stops_new_work(part, lose(outage), find);
}

#[test]
fn without_health_checks_nothing_is_sent_after_discovery_moves_to_a_dead_address() {
    assert_outage_without_checks_stops_new_work(48, move_to_dead_address, move_back);
}

/// An outage that is over before announcements count as received must cost nothing: 2 s after a break or a silence, 4 s
/// after a move. The drain grace leaves a slow machine time to hear of the end.
#[rstest]
#[case::silence(49, 1_900, |w: &mut World| lose(Outage::Silent)(w), find)]
#[case::break_(50, 1_900, |w: &mut World| lose(Outage::Closes)(w), find)]
#[case::move_(53, 3_900, move_to_dead_address, move_back)]
fn without_health_checks_nothing_is_refused_in_a_short(
    #[case] part: u16,
    #[case] length_ms: u64,
    #[case] lose: fn(&mut World),
    #[case] find: fn(&mut World),
) {
    let longer_grace = |config: String| {
        let grace = |ns: u64| format!(r#""stopSendingWithin":{ns}"#);
        assert!(config.contains(&grace(500_000_000)));
        config.replace(&grace(500_000_000), &grace(1_500_000_000))
    };
    let (mut w, _second) = with_workers(part, longer_grace);
    lose(&mut w);
    let over = Instant::now() + Duration::from_millis(length_ms);
    let mut first = 1;
    while Instant::now() < over {
        assert_eq!(successes(&w, first), REQUESTS as usize);
        first += REQUESTS;
    }
    find(&mut w);
    assert_eq!(successes(&w, first), REQUESTS as usize);
}

/// As `a_router_started_without_discovery_checks_its_workers`, where no worker can be checked.
#[rstest]
#[case::silent(51, Outage::Silent)]
#[case::closing_connections(52, Outage::Closes)]
fn without_health_checks_a_router_refuses_that_starts_while_discovery_is(
    #[case] part: u16,
    #[case] outage: Outage,
) {
    let (mut w, second) = with_workers(part, |config| config);
    lose(outage)(&mut w);
    restart(&mut w);
    assert_all_refused(&w, [&w.seen, &second], 1);
    find(&mut w);
    w.until("the router serves requests again", |w| {
        w.ask(&call(&id(1_000), "plain", GOOD, "", "x"))
            .is_some_and(|answer| answer.0 == 200)
    });
}
