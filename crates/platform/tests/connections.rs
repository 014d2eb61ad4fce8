//! Which connection to a worker carries what, which clients' connections stay open, and how descriptors are divided.

use cedarpulley_platform::config::Limits;
use cedarpulley_platform::connection_limiter::{
    Admission, ClientId, ConnectionLimiter, MAX_REJECTED,
};
use cedarpulley_platform::connection_pool::{
    ConnectionPool, LateAnswer::Impossible, LateAnswer::Possible, Placement,
};
use cedarpulley_platform::resource_limits::ResourceLimits;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

const MS: i64 = 1_000;
const SECOND: i64 = 1_000_000;

fn pool(max_connections: usize) -> ConnectionPool {
    ConnectionPool::new(max_connections, 3, 10 * SECOND, 250 * MS)
}

fn opened(pool: &mut ConnectionPool, now: i64, worker: u32) -> u64 {
    match pool.place(now, worker) {
        Placement::New(id) => {
            pool.connected(id);
            id
        }
        other => panic!("{other:?}"),
    }
}

#[test]
fn exchanges_share_connections_only_at_the_connection_limit() {
    let mut pool = pool(2);
    let (first, second) = (opened(&mut pool, 0, 7), opened(&mut pool, 0, 7));
    // Then the one with the fewest exchanges in flight is shared, up to the streams allowed.
    for _ in 0..4 {
        assert!(matches!(pool.place(1, 7), Placement::Existing(id) if id == first || id == second));
    }
    assert_eq!(
        (pool.place(1, 7), pool.exhausted()),
        (Placement::Exhausted, 1)
    );
    assert_eq!(pool.place(1, 8), Placement::Exhausted);
    assert!(!pool.exchange_ended(2, first, Impossible));
    assert_eq!(pool.place(3, 7), Placement::Existing(first));
}

#[test]
fn most_recently_used_idle_connection_is_reused_first() {
    let mut pool = pool(10);
    let (first, second) = (opened(&mut pool, 0, 7), opened(&mut pool, 0, 7));
    pool.exchange_ended(5, second, Impossible);
    pool.exchange_ended(6, first, Impossible);
    assert_eq!(pool.place(7, 7), Placement::Existing(first));
    assert_eq!(pool.place(7, 7), Placement::Existing(second));
}

/// Symptom: a late answer is taken for that of a later attempt; or everything sent on the open connection to a vanished
/// machine is lost.
#[test]
fn connection_with_an_outstanding_answer_is_not_reused() {
    let mut pool = pool(10);
    let id = opened(&mut pool, 0, 7);
    assert!(pool.exchange_ended(5, id, Possible));
    assert!(matches!(pool.place(6, 7), Placement::New(_)));
    assert_eq!(pool.due_for_close(6), [id]);
}

/// Symptom: an answer stops half-way, the connection stays open, and its exchanges wait for ever.
#[test]
fn partial_answer_times_out() {
    let mut pool = pool(10);
    let id = opened(&mut pool, 0, 7);
    pool.received(100 * MS, id, true);
    pool.received(200 * MS, id, true);
    assert!(pool.due_for_close(340 * MS).is_empty());
    assert_eq!(pool.due_for_close(351 * MS), [id]);
    pool.received(352 * MS, id, false);
    assert!(pool.due_for_close(900 * MS).is_empty());
}

#[test]
fn idle_connection_is_closed_before_the_worker_closes_it() {
    let mut pool = pool(10);
    let id = opened(&mut pool, 0, 7);
    pool.exchange_ended(SECOND, id, Impossible);
    assert!(pool.due_for_close(8 * SECOND).is_empty());
    assert_eq!(pool.due_for_close(9 * SECOND + 1), [id]);
    pool.closed(id);
    assert_eq!(pool.count(), 0);
}

/// Symptom: a worker drops idle connections early and without closing them, and the next request on one is reset.
#[test]
fn idle_reuse_time_shrinks_on_reset_and_grows_back() {
    let mut pool = pool(10);
    let id = opened(&mut pool, 0, 7);
    pool.received(1, id, false);
    pool.exchange_ended(1, id, Impossible);
    // Idle for 200 ms, then reset at once.
    assert_eq!(pool.place(200 * MS, 7), Placement::Existing(id));
    pool.lost(200 * MS + 80, id);
    let mut now = SECOND;
    let mut connection = opened(&mut pool, now, 7);
    let (mut reused, mut renewed) = (0, 0);
    for _ in 0..400 {
        pool.received(now, connection, false);
        pool.exchange_ended(now, connection, Impossible);
        // Idle for more than half of the time that was too long.
        now += 101 * MS;
        match pool.place(now, 7) {
            Placement::Existing(id) => {
                assert_eq!(id, connection);
                reused += 1;
            }
            Placement::New(id) => {
                pool.connected(id);
                connection = id;
                renewed += 1;
            }
            Placement::Exhausted => panic!("there is room"),
        }
        if renewed == 1 && reused == 0 {
            // After shorter idle times they are alive, and the trusted time grows back.
            for _ in 0..400 {
                pool.received(now, connection, false);
                pool.exchange_ended(now, connection, Impossible);
                now += 60 * MS;
                assert_eq!(pool.place(now, 7), Placement::Existing(connection));
            }
        }
    }
    assert_eq!((renewed, reused), (1, 399));
    // One that is lost while the worker executes a request shows nothing about idle ones.
    pool.lost(now + 50 * MS, connection);
    let last = opened(&mut pool, now + 60 * MS, 7);
    pool.exchange_ended(now + 60 * MS, last, Impossible);
    assert_eq!(pool.place(now + 160 * MS, 7), Placement::Existing(last));
}

#[test]
fn retired_worker_gets_no_new_exchanges_on_its_connections() {
    let mut pool = pool(10);
    let id = opened(&mut pool, 0, 7);
    let Placement::New(connecting) = pool.place(0, 7) else {
        panic!("a new one")
    };
    // One that is not established yet is to be closed at once: its address may be another worker's by then.
    assert_eq!(pool.retire(7), [connecting]);
    assert!(pool.is_retired(id) && pool.is_retired(connecting));
    let Placement::New(next) = pool.place(1, 7) else {
        panic!("a new one")
    };
    assert!(!pool.is_retired(next) && pool.exchange_ended(2, id, Impossible));
}

/// No client has sent a complete request.
const NONE: fn(ClientId) -> bool = |_| false;

fn connected(limiter: &mut ConnectionLimiter, now: i64) -> Admission {
    limiter.connected(now, NONE)
}

fn admitted(limiter: &mut ConnectionLimiter, now: i64) -> ClientId {
    let admission = connected(limiter, now);
    assert!(
        !admission.rejected && admission.evicts.is_none(),
        "{admission:?}"
    );
    admission.id
}

#[test]
fn silent_connections_are_evicted_first() {
    let mut limiter = ConnectionLimiter::new(3);
    let idle = admitted(&mut limiter, 0);
    limiter.pending(10, idle);
    limiter.idle(20, idle);
    let busy = admitted(&mut limiter, 30);
    limiter.pending(40, busy);
    let silent = admitted(&mut limiter, 50);
    let next = connected(&mut limiter, 300 * MS);
    assert_eq!((next.rejected, next.evicts), (false, Some(silent)));
    limiter.pending(300 * MS, next.id);
    let last = connected(&mut limiter, 301 * MS);
    assert_eq!((last.rejected, last.evicts), (false, Some(idle)));
    limiter.pending(302 * MS, last.id);
    // All wait for an answer: none is evicted, and the new one is rejected.
    let rejected = connected(&mut limiter, 303 * MS);
    assert_eq!((rejected.rejected, rejected.evicts), (true, None));
    assert_eq!(
        (
            limiter.count(),
            limiter.count_rejected(),
            limiter.evicted(),
            limiter.rejected()
        ),
        (3, 1, 2, 1)
    );
    limiter.closed(rejected.id);
    assert!(limiter.overdue(60 * SECOND, NONE).is_empty());
}

/// Otherwise the response that is being written is cut off, and its request is lost.
#[test]
fn connection_being_written_to_is_not_evicted() {
    let mut limiter = ConnectionLimiter::new(1);
    let busy = admitted(&mut limiter, 0);
    limiter.pending(0, busy);
    limiter.responding(MS, busy, None);
    assert!(!limiter.has_capacity(SECOND, NONE) && connected(&mut limiter, SECOND).rejected);
    limiter.idle(SECOND, busy);
    assert!(limiter.has_capacity(SECOND, NONE) && !limiter.has_capacity(SECOND, |_| true));
}

/// A request is unread on a connection that looks idle: closing it would lose the request.
#[test]
fn connection_with_an_unread_request_is_neither_evicted_nor_overdue() {
    let mut limiter = ConnectionLimiter::new(2);
    let (first, second) = (admitted(&mut limiter, 0), admitted(&mut limiter, 1));
    let has_request = |id| id == first;
    assert_eq!(
        limiter.connected(300 * MS, has_request).evicts,
        Some(second)
    );
    assert!(
        !limiter.overdue(10 * SECOND, has_request).contains(&first)
            && limiter.overdue(10 * SECOND, NONE).contains(&first)
    );
    assert!(
        !limiter.without_request(has_request).contains(&first)
            && limiter.without_request(NONE).contains(&first)
    );
}

/// Otherwise a client that floods the router even after its rejection would keep everybody else out.
#[test]
fn connection_sending_after_its_last_answer_is_evictable() {
    let mut limiter = ConnectionLimiter::new(1);
    let flooding = admitted(&mut limiter, 0);
    limiter.closing(MS, flooding);
    assert_eq!(limiter.connected(2 * MS, |_| true).evicts, Some(flooding));
}

/// A rejection that is lost by a reset is a request without an answer; but rejected connections must not use up the
/// reserved descriptors.
#[test]
fn rejected_connections_stay_open_up_to_a_limit() {
    let mut limiter = ConnectionLimiter::new(1);
    let busy = admitted(&mut limiter, 0);
    limiter.pending(0, busy);
    let rejected: Vec<Admission> = (0..20).map(|n| connected(&mut limiter, n * MS)).collect();
    assert!(
        rejected.iter().all(|a| a.rejected)
            && limiter.count() == 1
            && limiter.count_rejected() == MAX_REJECTED
    );
    // The one rejected first is evicted first, and none before there are too many.
    let evicted: Vec<_> = rejected.iter().filter_map(|a| a.evicts).collect();
    assert_eq!(
        evicted,
        rejected[..20 - MAX_REJECTED]
            .iter()
            .map(|a| a.id)
            .collect::<Vec<_>>()
    );
    // One that goes on sending is not admitted by that, and times out.
    let last = rejected[19].id;
    limiter.pending(30 * MS, last);
    limiter.receiving(30 * MS, last);
    assert_eq!(
        (limiter.count(), limiter.count_rejected()),
        (1, MAX_REJECTED)
    );
    assert!(
        limiter.overdue(SECOND, NONE).is_empty()
            && limiter.overdue(2 * SECOND, NONE).contains(&last)
    );
}

/// Symptom: when many connect at once, a well-behaved client is evicted between its connecting and its request.
#[test]
fn idle_connections_are_evicted_before_new_ones() {
    let mut limiter = ConnectionLimiter::new(2);
    let idle = admitted(&mut limiter, 0);
    limiter.pending(MS, idle);
    limiter.idle(2 * MS, idle);
    let new = admitted(&mut limiter, 300 * MS);
    assert_eq!(connected(&mut limiter, 301 * MS).evicts, Some(idle));
    assert_eq!(connected(&mut limiter, 302 * MS).evicts, Some(new));
}

/// A client in the middle of its request is evicted after all that have none in progress, and so is one that may not yet
/// have read its last response.
#[test]
fn sending_and_reading_clients_are_evicted_last() {
    let mut limiter = ConnectionLimiter::new(3);
    let sending = admitted(&mut limiter, 0);
    limiter.receiving(0, sending);
    let reading = admitted(&mut limiter, MS);
    limiter.closing(400 * MS, reading);
    let idle = admitted(&mut limiter, 2 * MS);
    limiter.idle(401 * MS, idle);
    let next = connected(&mut limiter, 500 * MS);
    assert_eq!(next.evicts, Some(idle));
    limiter.pending(500 * MS, next.id);
    // Long enough to have read its response.
    assert_eq!(connected(&mut limiter, 700 * MS).evicts, Some(reading));
}

#[test]
fn request_response_and_idle_timeouts_are_enforced() {
    let mut limiter = ConnectionLimiter::new(10);
    let slow = admitted(&mut limiter, 0);
    limiter.receiving(SECOND, slow);
    assert!(limiter.has_unfinished() && limiter.overdue(2 * SECOND, NONE).is_empty());
    // A misbehaving client must be closed within three seconds of connecting.
    assert_eq!(limiter.overdue(2 * SECOND + 1, NONE), [slow]);
    limiter.closed(slow);
    let good = admitted(&mut limiter, 0);
    limiter.pending(0, good);
    // A client has as long to read its response as to send its request, or until its own deadline if that is later.
    limiter.responding(0, good, None);
    assert!(limiter.has_unfinished() && limiter.overdue(2 * SECOND, NONE).is_empty());
    assert_eq!(limiter.overdue(2 * SECOND + 1, NONE), [good]);
    limiter.responding(0, good, Some(3 * SECOND));
    assert!(
        limiter.overdue(3 * SECOND, NONE).is_empty()
            && limiter.overdue(3 * SECOND + 1, NONE) == [good]
    );
    limiter.idle(0, good);
    assert!(!limiter.has_unfinished());
    assert!(limiter.overdue(4 * SECOND + 500 * MS, NONE).is_empty());
    assert_eq!(limiter.overdue(6 * SECOND, NONE), [good]);
    limiter.receiving(4 * SECOND, good);
    assert!(limiter.overdue(6 * SECOND, NONE).is_empty());
    assert_eq!(limiter.overdue(6 * SECOND + 1, NONE), [good]);
}

#[test]
fn descriptors_and_memory_are_divided_between_clients_and_workers() {
    for sockets in [256, 384, 512, 1024] {
        let limits = ResourceLimits::of(Limits {
            sockets,
            memory_mb: 32.0,
        });
        assert!(
            limits.clients as u64 > sockets / 3
                && limits.clients + limits.workers < sockets as usize
                && limits.workers > 60
        );
        assert_eq!(limits.body_bytes, 4 << 20);
    }
    let none = ResourceLimits::of(Limits {
        sockets: 0,
        memory_mb: 1.0,
    });
    assert_eq!((none.clients, none.workers), (1, 1));
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: RngSeed::Fixed(19), failure_persistence: None, cases: 200, ..ProptestConfig::default()
    })]

    /// The tables stay within their limits, and no connection carries more exchanges than its streams.
    #[test]
    fn connection_limits_hold_for_any_sequence_of_events(
        steps in prop::collection::vec((0..6u8, 0..4u32, any::<prop::sample::Index>()), 0..200),
    ) {
        let (mut pool, mut limiter) = (pool(6), ConnectionLimiter::new(4));
        let (mut in_flight, mut clients): (Vec<u64>, Vec<u64>) = Default::default();
        for (n, (step, worker, pick)) in steps.into_iter().enumerate() {
            let now = n as i64 * 40 * MS;
            match step {
                0 | 1 => match pool.place(now, worker) {
                    Placement::New(id) => {
                        pool.connected(id);
                        in_flight.push(id);
                    }
                    Placement::Existing(id) => in_flight.push(id),
                    Placement::Exhausted => {}
                },
                2 if !in_flight.is_empty() => {
                    let id = in_flight.swap_remove(pick.index(in_flight.len()));
                    let late = if worker > 0 { Impossible } else { Possible };
                    if pool.exchange_ended(now, id, late) {
                        prop_assert!(!in_flight.contains(&id));
                        pool.closed(id);
                    }
                }
                3 => {
                    for id in pool.due_for_close(now) {
                        in_flight.retain(|other| *other != id);
                        pool.closed(id);
                    }
                }
                4 => {
                    let admission = limiter.connected(now, |id| id % 3 == 0);
                    clients.retain(|c| Some(*c) != admission.evicts);
                    clients.push(admission.id);
                }
                _ if !clients.is_empty() => {
                    let id = clients[pick.index(clients.len())];
                    match worker {
                        0 => limiter.pending(now, id),
                        1 => limiter.idle(now, id),
                        2 => limiter.receiving(now, id),
                        _ => {
                            limiter.closed(id);
                            clients.retain(|c| *c != id);
                        }
                    }
                }
                _ => {}
            }
            prop_assert!(pool.count() <= 6 && limiter.count() <= 4 && limiter.count_rejected() <= MAX_REJECTED);
            prop_assert!(in_flight.iter().all(|id| in_flight.iter().filter(|other| *other == id).count() <= 3));
        }
    }
}
