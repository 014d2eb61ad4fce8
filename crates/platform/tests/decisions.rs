//! Which connection carries what, and which clients' connections stay.

use cedarpulley_platform::berths::{Berths, Place};
use cedarpulley_platform::bounds::Bounds;
use cedarpulley_platform::config::Limits;
use cedarpulley_platform::doorkeeper::Doorkeeper;
use cedarpulley_platform::stopping::Stopping;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

const MS: i64 = 1_000;
const SECOND: i64 = 1_000_000;

fn berths(most: usize) -> Berths {
    Berths::new(most, 3, 10 * SECOND, 250 * MS)
}

fn opened(b: &mut Berths, now: i64, worker: u32) -> u64 {
    match b.place(now, worker) {
        Place::Open(ix) => {
            b.opened(ix);
            ix
        }
        other => panic!("{other:?}"),
    }
}

#[test]
fn each_thing_out_has_a_connection_of_its_own_while_descriptors_last() {
    let mut b = berths(2);
    let (first, second) = (opened(&mut b, 0, 7), opened(&mut b, 0, 7));
    // Then the one with the fewest out is shared, up to the streams allowed.
    for _ in 0..4 {
        assert!(matches!(b.place(1, 7), Place::On(ix) if ix == first || ix == second));
    }
    assert_eq!((b.place(1, 7), b.full), (Place::Full, 1));
    assert_eq!(b.place(1, 8), Place::Full);
    assert!(!b.ended(2, first, true));
    assert_eq!(b.place(3, 7), Place::On(first));
}

#[test]
fn the_idle_connection_used_last_is_used_next() {
    let mut b = berths(10);
    let (first, second) = (opened(&mut b, 0, 7), opened(&mut b, 0, 7));
    b.ended(5, second, true);
    b.ended(6, first, true);
    assert_eq!(b.place(7, 7), Place::On(first));
    assert_eq!(b.place(7, 7), Place::On(second));
}

/// Symptom: a late answer is taken for that of a later dispatch; or a vanished machine's open connection
/// swallows all.
#[test]
fn what_ended_without_its_answer_leaves_its_connection_to_no_other() {
    let mut b = berths(10);
    let ix = opened(&mut b, 0, 7);
    assert!(b.ended(5, ix, false));
    assert!(matches!(b.place(6, 7), Place::Open(_)));
    assert_eq!(b.stale(6), [ix]);
}

/// Symptom: an answer that stops in the middle, on a connection that stays open.
#[test]
fn half_an_answer_is_noticed_by_time() {
    let mut b = berths(10);
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
    let mut b = berths(10);
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
    let mut b = berths(10);
    let ix = opened(&mut b, 0, 7);
    b.heard(1, ix, false);
    b.ended(1, ix, true);
    // Idle for 200 ms, then reset at once.
    assert_eq!(b.place(200 * MS, 7), Place::On(ix));
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
            Place::On(ix) => {
                assert_eq!(ix, conn);
                reused += 1;
            }
            Place::Open(ix) => {
                b.opened(ix);
                conn = ix;
                renewed += 1;
            }
            Place::Full => panic!("there is room"),
        }
        if renewed == 1 && reused == 0 {
            // Shorter rests show them alive, and trust comes back.
            for _ in 0..400 {
                b.heard(now, conn, false);
                b.ended(now, conn, true);
                now += 60 * MS;
                assert_eq!(b.place(now, 7), Place::On(conn));
            }
        }
    }
    assert_eq!((renewed, reused), (1, 399));
    // One that breaks while the worker is at work tells nothing of idle ones.
    b.broke(now + 50 * MS, conn);
    let last = opened(&mut b, now + 60 * MS, 7);
    b.ended(now + 60 * MS, last, true);
    assert_eq!(b.place(now + 160 * MS, 7), Place::On(last));
}

#[test]
fn a_worker_that_is_gone_gets_nothing_more_on_its_connections() {
    let mut b = berths(10);
    let ix = opened(&mut b, 0, 7);
    b.retire(7);
    assert!(matches!(b.place(1, 7), Place::Open(_)));
    assert!(b.ended(2, ix, true));
}

#[test]
fn silent_connections_go_first_and_early() {
    let mut d = Doorkeeper::new(3);
    let (idle, _) = d.came(0).expect("room");
    d.whole(10, idle);
    d.answered(20, idle);
    let (busy, _) = d.came(30).expect("room");
    d.whole(40, busy);
    let (silent, _) = d.came(50).expect("room");
    let (next, out) = d.came(300 * MS).expect("room");
    assert_eq!(out, Some(silent));
    d.whole(300 * MS, next);
    let (last, out) = d.came(301 * MS).expect("room");
    assert_eq!(out, Some(idle));
    d.whole(302 * MS, last);
    // All are owed an answer: none goes.
    assert!(d.came(303 * MS).is_none());
    assert_eq!((d.count(), d.turned_out), (3, 2));
    assert!(d.overdue(60 * SECOND).is_empty());
}

/// Symptom: a crowd fills the table, and a usual client is turned out between its connecting and its request.
#[test]
fn who_has_just_come_goes_after_whoever_is_idle() {
    let mut d = Doorkeeper::new(2);
    let (idle, _) = d.came(0).expect("room");
    d.whole(MS, idle);
    d.answered(2 * MS, idle);
    let (new, _) = d.came(300 * MS).expect("room");
    let (_, out) = d.came(301 * MS).expect("room");
    assert_eq!(out, Some(idle));
    let (_, out) = d.came(302 * MS).expect("room");
    assert_eq!(out, Some(new));
}

#[test]
fn a_request_must_be_whole_soon_and_an_idle_client_may_stay_a_while() {
    let mut d = Doorkeeper::new(10);
    let (slow, _) = d.came(0).expect("room");
    d.began(SECOND, slow);
    assert!(d.overdue(2 * SECOND).is_empty());
    // A bad client is to be rid of within three seconds of its coming.
    assert_eq!(d.overdue(2 * SECOND + 1), [slow]);
    d.left(slow);
    let (good, _) = d.came(0).expect("room");
    d.whole(0, good);
    // A client that does not read its answer has no longer than one that does not send.
    d.answering(0, good);
    assert!(d.owes() && d.overdue(2 * SECOND).is_empty());
    assert_eq!(d.overdue(2 * SECOND + 1), [good]);
    d.answered(0, good);
    assert!(!d.owes());
    assert!(d.overdue(4 * SECOND + 500 * MS).is_empty());
    assert_eq!(d.overdue(6 * SECOND), [good]);
    d.began(4 * SECOND, good);
    assert!(d.overdue(6 * SECOND).is_empty());
    assert_eq!(d.overdue(6 * SECOND + 1), [good]);
}

#[test]
fn clients_keep_more_than_their_third_and_workers_the_rest() {
    for sockets in [256, 384, 512, 1024] {
        let b = Bounds::of(Limits { sockets, memory_mb: 32.0 });
        assert!(b.clients as u64 > sockets / 3 && b.clients + b.workers < sockets as usize && b.workers > 60);
        assert_eq!(b.body_bytes, 4 << 20);
    }
    let none = Bounds::of(Limits { sockets: 0, memory_mb: 1.0 });
    assert_eq!((none.clients, none.workers), (1, 1));
}

#[test]
fn a_router_that_stops_takes_what_crossed_the_order_and_leaves_once_all_is_out() {
    let mut s = Stopping::new(2 * SECOND);
    assert!(!s.stops() && s.takes(90 * SECOND) && !s.leaves(90 * SECOND, false));
    s.told(SECOND);
    s.told(5 * SECOND);
    assert!(s.stops() && s.takes(1_700 * MS) && !s.takes(1_701 * MS));
    // What came and is not read yet is found between two looks.
    let mut look = |at: i64, open| s.leaves(at * MS, open);
    assert!((0..4).all(|n| !look(1_700 + n, false)) && !look(1_705, true));
    assert!((0..4).all(|n| !look(1_710 + n, false)) && look(1_715, false));
    // What it owes it waits for, but not for ever.
    assert!(!look(4_200, true) && look(4_201, true));
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: RngSeed::Fixed(19), failure_persistence: None, cases: 200, ..ProptestConfig::default()
    })]

    /// Whatever happens, the tables keep to their bounds and no connection carries more than its streams.
    #[test]
    fn bounds_hold(steps in prop::collection::vec((0..6u8, 0..4u32, any::<prop::sample::Index>()), 0..200)) {
        let (mut b, mut d) = (berths(6), Doorkeeper::new(4));
        let (mut out, mut callers): (Vec<u64>, Vec<u64>) = Default::default();
        for (n, (step, worker, pick)) in steps.into_iter().enumerate() {
            let now = n as i64 * 40 * MS;
            match step {
                0 | 1 => match b.place(now, worker) {
                    Place::Open(ix) => {
                        b.opened(ix);
                        out.push(ix);
                    }
                    Place::On(ix) => out.push(ix),
                    Place::Full => {}
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
                    if let Some((ix, gone)) = d.came(now) {
                        callers.retain(|c| Some(*c) != gone);
                        callers.push(ix);
                    }
                }
                _ if !callers.is_empty() => {
                    let ix = callers[pick.index(callers.len())];
                    match worker {
                        0 => d.whole(now, ix),
                        1 => d.answered(now, ix),
                        2 => d.began(now, ix),
                        _ => {
                            d.left(ix);
                            callers.retain(|c| *c != ix);
                        }
                    }
                }
                _ => {}
            }
            prop_assert!(b.count() <= 6 && d.count() <= 4);
            prop_assert!(out.iter().all(|ix| out.iter().filter(|o| *o == ix).count() <= 3));
        }
    }
}
