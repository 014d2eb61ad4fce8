//! Which connection carries what, and which clients' connections stay.

use cedarpulley_platform::config::Limits;
use cedarpulley_platform::connection_limiter::{
    Admission, ClientId, ConnectionLimiter, MOST_REFUSED,
};
use cedarpulley_platform::connection_pool::{ConnectionPool, Placement};
use cedarpulley_platform::event_loop_lag::EventLoopLag;
use cedarpulley_platform::graceful_shutdown::GracefulShutdown;
use cedarpulley_platform::resource_limits::ResourceLimits;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

const MS: i64 = 1_000;
const SECOND: i64 = 1_000_000;

fn pool(most: usize) -> ConnectionPool {
    ConnectionPool::new(most, 3, 10 * SECOND, 250 * MS)
}

fn opened(b: &mut ConnectionPool, now: i64, worker: u32) -> u64 {
    match b.place(now, worker) {
        Placement::New(ix) => {
            b.opened(ix);
            ix
        }
        other => panic!("{other:?}"),
    }
}

#[test]
fn each_thing_out_has_a_connection_of_its_own_while_descriptors_last() {
    let mut b = pool(2);
    let (first, second) = (opened(&mut b, 0, 7), opened(&mut b, 0, 7));
    // Then the one with the fewest out is shared, up to the streams allowed.
    for _ in 0..4 {
        assert!(matches!(b.place(1, 7), Placement::Existing(ix) if ix == first || ix == second));
    }
    assert_eq!((b.place(1, 7), b.full), (Placement::Full, 1));
    assert_eq!(b.place(1, 8), Placement::Full);
    assert!(!b.ended(2, first, true));
    assert_eq!(b.place(3, 7), Placement::Existing(first));
}

#[test]
fn the_idle_connection_used_last_is_used_next() {
    let mut b = pool(10);
    let (first, second) = (opened(&mut b, 0, 7), opened(&mut b, 0, 7));
    b.ended(5, second, true);
    b.ended(6, first, true);
    assert_eq!(b.place(7, 7), Placement::Existing(first));
    assert_eq!(b.place(7, 7), Placement::Existing(second));
}

/// Symptom: a late answer is taken for that of a later dispatch; or a vanished machine's open connection
/// swallows all.
#[test]
fn what_ended_without_its_answer_leaves_its_connection_to_no_other() {
    let mut b = pool(10);
    let ix = opened(&mut b, 0, 7);
    assert!(b.ended(5, ix, false));
    assert!(matches!(b.place(6, 7), Placement::New(_)));
    assert_eq!(b.stale(6), [ix]);
}

/// Symptom: an answer that stops in the middle, on a connection that stays open.
#[test]
fn half_an_answer_is_noticed_by_time() {
    let mut b = pool(10);
    let ix = opened(&mut b, 0, 7);
    b.heard(100 * MS, ix, true);
    b.heard(200 * MS, ix, true);
    assert!(b.stale(340 * MS).is_empty());
    assert_eq!(b.stale(351 * MS), [ix]);
    b.heard(352 * MS, ix, false);
    assert!(b.stale(900 * MS).is_empty());
}

#[test]
fn an_idle_connection_goes_before_the_worker_closes_it() {
    let mut b = pool(10);
    let ix = opened(&mut b, 0, 7);
    b.ended(SECOND, ix, true);
    assert!(b.stale(8 * SECOND).is_empty());
    assert_eq!(b.stale(9 * SECOND + 1), [ix]);
    b.closed(ix);
    assert_eq!(b.count(), 0);
}

/// Symptom: a worker drops idle connections early and without a word, and the next request on one is reset.
#[test]
fn idle_connections_are_trusted_only_while_they_are_found_alive() {
    let mut b = pool(10);
    let ix = opened(&mut b, 0, 7);
    b.heard(1, ix, false);
    b.ended(1, ix, true);
    // Idle for 200 ms, then reset at once.
    assert_eq!(b.place(200 * MS, 7), Placement::Existing(ix));
    b.broke(200 * MS + 80, ix);
    let mut now = SECOND;
    let mut conn = opened(&mut b, now, 7);
    let (mut reused, mut renewed) = (0, 0);
    for _ in 0..400 {
        b.heard(now, conn, false);
        b.ended(now, conn, true);
        // Idle for more than half of what was too long.
        now += 101 * MS;
        match b.place(now, 7) {
            Placement::Existing(ix) => {
                assert_eq!(ix, conn);
                reused += 1;
            }
            Placement::New(ix) => {
                b.opened(ix);
                conn = ix;
                renewed += 1;
            }
            Placement::Full => panic!("there is room"),
        }
        if renewed == 1 && reused == 0 {
            // Shorter rests show them alive, and trust comes back.
            for _ in 0..400 {
                b.heard(now, conn, false);
                b.ended(now, conn, true);
                now += 60 * MS;
                assert_eq!(b.place(now, 7), Placement::Existing(conn));
            }
        }
    }
    assert_eq!((renewed, reused), (1, 399));
    // One that breaks while the worker is at work tells nothing of idle ones.
    b.broke(now + 50 * MS, conn);
    let last = opened(&mut b, now + 60 * MS, 7);
    b.ended(now + 60 * MS, last, true);
    assert_eq!(b.place(now + 160 * MS, 7), Placement::Existing(last));
}

#[test]
fn a_worker_that_is_gone_gets_nothing_more_on_its_connections() {
    let mut b = pool(10);
    let ix = opened(&mut b, 0, 7);
    let Placement::New(connecting) = b.place(0, 7) else {
        panic!("a new one")
    };
    // What has not come up yet is to be closed at once: its address may be another worker's by then.
    assert_eq!(b.retire(7), [connecting]);
    assert!(b.is_retired(ix) && b.is_retired(connecting));
    let Placement::New(next) = b.place(1, 7) else {
        panic!("a new one")
    };
    assert!(!b.is_retired(next) && b.ended(2, ix, true));
}

/// No client has sent a whole request.
const NONE: fn(ClientId) -> bool = |_| false;

fn connected(limiter: &mut ConnectionLimiter, now: i64) -> Admission {
    limiter.connected(now, NONE)
}

fn admitted(limiter: &mut ConnectionLimiter, now: i64) -> ClientId {
    let admission = connected(limiter, now);
    assert!(
        !admission.refused && admission.evicts.is_none(),
        "{admission:?}"
    );
    admission.id
}

#[test]
fn silent_connections_go_first_and_early() {
    let mut d = ConnectionLimiter::new(3);
    let idle = admitted(&mut d, 0);
    d.pending(10, idle);
    d.idle(20, idle);
    let busy = admitted(&mut d, 30);
    d.pending(40, busy);
    let silent = admitted(&mut d, 50);
    let next = connected(&mut d, 300 * MS);
    assert_eq!((next.refused, next.evicts), (false, Some(silent)));
    d.pending(300 * MS, next.id);
    let last = connected(&mut d, 301 * MS);
    assert_eq!((last.refused, last.evicts), (false, Some(idle)));
    d.pending(302 * MS, last.id);
    // All are owed an answer: none goes, and the new one is refused.
    let refused = connected(&mut d, 303 * MS);
    assert_eq!((refused.refused, refused.evicts), (true, None));
    assert_eq!(
        (d.count(), d.count_refused(), d.evicted(), d.refused()),
        (3, 1, 2, 1)
    );
    d.closed(refused.id);
    assert!(d.overdue(60 * SECOND, NONE).is_empty());
}

/// Otherwise an answer that is being written breaks off, and its request is lost.
#[test]
fn a_connection_whose_answer_is_being_written_is_not_evicted() {
    let mut d = ConnectionLimiter::new(1);
    let busy = admitted(&mut d, 0);
    d.pending(0, busy);
    d.responding(MS, busy, None);
    assert!(!d.has_room(SECOND, NONE) && connected(&mut d, SECOND).refused);
    d.idle(SECOND, busy);
    assert!(d.has_room(SECOND, NONE) && !d.has_room(SECOND, |_| true));
}

/// A request lies unread on a connection that looks idle: closing it would lose the request.
#[test]
fn a_connection_with_an_unread_request_is_neither_evicted_nor_overdue() {
    let mut d = ConnectionLimiter::new(2);
    let (first, second) = (admitted(&mut d, 0), admitted(&mut d, 1));
    let asks = |id| id == first;
    assert_eq!(d.connected(300 * MS, asks).evicts, Some(second));
    assert!(
        !d.overdue(10 * SECOND, asks).contains(&first)
            && d.overdue(10 * SECOND, NONE).contains(&first)
    );
    assert!(!d.without_request(asks).contains(&first) && d.without_request(NONE).contains(&first));
}

/// A flood that goes on after its refusal would otherwise keep everybody else out.
#[test]
fn requests_after_the_last_answer_keep_nobody_out() {
    let mut d = ConnectionLimiter::new(1);
    let flooding = admitted(&mut d, 0);
    d.closing(MS, flooding);
    assert_eq!(d.connected(2 * MS, |_| true).evicts, Some(flooding));
}

/// A refusal that is destroyed by a reset is a request that got no answer; but refused ones must not use up the reserve.
#[test]
fn a_few_refused_connections_stay_until_their_refusal_is_read() {
    let mut d = ConnectionLimiter::new(1);
    let busy = admitted(&mut d, 0);
    d.pending(0, busy);
    let refused: Vec<Admission> = (0..20).map(|n| connected(&mut d, n * MS)).collect();
    assert!(
        refused.iter().all(|a| a.refused) && d.count() == 1 && d.count_refused() == MOST_REFUSED
    );
    // The one refused first goes first, and none before there are too many.
    let evicted: Vec<_> = refused.iter().filter_map(|a| a.evicts).collect();
    assert_eq!(
        evicted,
        refused[..20 - MOST_REFUSED]
            .iter()
            .map(|a| a.id)
            .collect::<Vec<_>>()
    );
    // One that goes on sending does not become a client, and goes after a while.
    let last = refused[19].id;
    d.pending(30 * MS, last);
    d.receiving(30 * MS, last);
    assert_eq!((d.count(), d.count_refused()), (1, MOST_REFUSED));
    assert!(d.overdue(SECOND, NONE).is_empty() && d.overdue(2 * SECOND, NONE).contains(&last));
}

/// A crowd fills the table, and a usual client is evicted between its connecting and its request.
#[test]
fn who_has_just_come_goes_after_whoever_is_idle() {
    let mut d = ConnectionLimiter::new(2);
    let idle = admitted(&mut d, 0);
    d.pending(MS, idle);
    d.idle(2 * MS, idle);
    let new = admitted(&mut d, 300 * MS);
    assert_eq!(connected(&mut d, 301 * MS).evicts, Some(idle));
    assert_eq!(connected(&mut d, 302 * MS).evicts, Some(new));
}

/// A client in the middle of its request goes after all that have no request under way, and so does one that may not yet
/// have read its last answer.
#[test]
fn who_is_sending_or_reading_goes_last() {
    let mut d = ConnectionLimiter::new(3);
    let sending = admitted(&mut d, 0);
    d.receiving(0, sending);
    let reading = admitted(&mut d, MS);
    d.closing(400 * MS, reading);
    let idle = admitted(&mut d, 2 * MS);
    d.idle(401 * MS, idle);
    let next = connected(&mut d, 500 * MS);
    assert_eq!(next.evicts, Some(idle));
    d.pending(500 * MS, next.id);
    // Long enough to have read its answer.
    assert_eq!(connected(&mut d, 700 * MS).evicts, Some(reading));
}

#[test]
fn a_request_must_be_whole_soon_and_an_idle_client_may_stay_a_while() {
    let mut d = ConnectionLimiter::new(10);
    let slow = admitted(&mut d, 0);
    d.receiving(SECOND, slow);
    assert!(d.has_unfinished() && d.overdue(2 * SECOND, NONE).is_empty());
    // A bad client is to be rid of within three seconds of its coming.
    assert_eq!(d.overdue(2 * SECOND + 1, NONE), [slow]);
    d.closed(slow);
    let good = admitted(&mut d, 0);
    d.pending(0, good);
    // A client that does not read its answer has no longer than one that does not send, or than it waits itself.
    d.responding(0, good, None);
    assert!(d.has_unfinished() && d.overdue(2 * SECOND, NONE).is_empty());
    assert_eq!(d.overdue(2 * SECOND + 1, NONE), [good]);
    d.responding(0, good, Some(3 * SECOND));
    assert!(d.overdue(3 * SECOND, NONE).is_empty() && d.overdue(3 * SECOND + 1, NONE) == [good]);
    d.idle(0, good);
    assert!(!d.has_unfinished());
    assert!(d.overdue(4 * SECOND + 500 * MS, NONE).is_empty());
    assert_eq!(d.overdue(6 * SECOND, NONE), [good]);
    d.receiving(4 * SECOND, good);
    assert!(d.overdue(6 * SECOND, NONE).is_empty());
    assert_eq!(d.overdue(6 * SECOND + 1, NONE), [good]);
}

#[test]
fn clients_keep_more_than_their_third_and_workers_the_rest() {
    for sockets in [256, 384, 512, 1024] {
        let b = ResourceLimits::of(Limits {
            sockets,
            memory_mb: 32.0,
        });
        assert!(
            b.clients as u64 > sockets / 3
                && b.clients + b.workers < sockets as usize
                && b.workers > 60
        );
        assert_eq!(b.body_bytes, 4 << 20);
    }
    let none = ResourceLimits::of(Limits {
        sockets: 0,
        memory_mb: 1.0,
    });
    assert_eq!((none.clients, none.workers), (1, 1));
}

#[test]
fn a_router_that_stops_takes_what_crossed_the_order_and_exits_once_all_is_out() {
    let mut s = GracefulShutdown::new(2 * SECOND);
    assert!(!s.begun() && s.accepts(90 * SECOND) && !s.may_exit(90 * SECOND, false));
    s.begin(SECOND);
    s.begin(5 * SECOND);
    assert!(s.begun() && s.accepts(1_700 * MS) && !s.accepts(1_701 * MS));
    assert!(!s.may_exit(1_700 * MS, false) && s.may_exit(1_701 * MS, false));
    // What it owes it waits for, but not for ever.
    assert!(!s.may_exit(4_200 * MS, true) && s.may_exit(4_201 * MS, true));
}

/// Otherwise what was sent while the process stood still is taken for newly sent: its deadline and a drain's grace would
/// count from the reading.
#[test]
fn the_event_loop_knows_how_late_it_may_be() {
    let mut lag = EventLoopLag::new(50 * MS, 0);
    for n in 1..=10 {
        lag.beat(n * 50 * MS);
        assert_eq!(lag.lag(n * 50 * MS + 49 * MS), 0);
    }
    // It stood still for a second: that is known before the next beat, at that beat, and until the one after it.
    assert_eq!(lag.lag(1_500 * MS), 950 * MS);
    lag.beat(1_500 * MS);
    assert_eq!(lag.lag(1_510 * MS), 910 * MS);
    lag.beat(1_550 * MS);
    assert_eq!(lag.lag(1_560 * MS), 0);
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: RngSeed::Fixed(19), failure_persistence: None, cases: 200, ..ProptestConfig::default()
    })]

    /// Whatever happens, the tables keep to their bounds and no connection carries more than its streams.
    #[test]
    fn bounds_hold(steps in prop::collection::vec((0..6u8, 0..4u32, any::<prop::sample::Index>()), 0..200)) {
        let (mut b, mut d) = (pool(6), ConnectionLimiter::new(4));
        let (mut out, mut clients): (Vec<u64>, Vec<u64>) = Default::default();
        for (n, (step, worker, pick)) in steps.into_iter().enumerate() {
            let now = n as i64 * 40 * MS;
            match step {
                0 | 1 => match b.place(now, worker) {
                    Placement::New(ix) => {
                        b.opened(ix);
                        out.push(ix);
                    }
                    Placement::Existing(ix) => out.push(ix),
                    Placement::Full => {}
                },
                2 if !out.is_empty() => {
                    let ix = out.swap_remove(pick.index(out.len()));
                    if b.ended(now, ix, worker > 0) {
                        prop_assert!(!out.contains(&ix));
                        b.closed(ix);
                    }
                }
                3 => {
                    for ix in b.stale(now) {
                        out.retain(|o| *o != ix);
                        b.closed(ix);
                    }
                }
                4 => {
                    let admission = d.connected(now, |id| id % 3 == 0);
                    clients.retain(|c| Some(*c) != admission.evicts);
                    clients.push(admission.id);
                }
                _ if !clients.is_empty() => {
                    let ix = clients[pick.index(clients.len())];
                    match worker {
                        0 => d.pending(now, ix),
                        1 => d.idle(now, ix),
                        2 => d.receiving(now, ix),
                        _ => {
                            d.closed(ix);
                            clients.retain(|c| *c != ix);
                        }
                    }
                }
                _ => {}
            }
            prop_assert!(b.count() <= 6 && d.count() <= 4 && d.count_refused() <= MOST_REFUSED);
            prop_assert!(out.iter().all(|ix| out.iter().filter(|o| *o == ix).count() <= 3));
        }
    }
}
