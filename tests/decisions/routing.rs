//! The ordinary path of invocations: free lanes, exploration, the queue, sessions, draining, placement. The test heads
//! name the simulated site and the scenario in which a failure was found.

use std::collections::BTreeSet;

use crate::helpers::{answer, sent, warm_up};
use crate::script::*;
use cedarpulley::interface::*;

#[test]
fn a_free_warm_lane_is_used_and_is_then_taken_by_a_queued_invocation() {
    let mut script = Script::new(1, PLAIN, 4);
    let warm_worker = warm_up(&mut script, 0, 1);
    let (first, actions) = script.arrive(0, 0, 1, 2 * SECOND);
    assert_eq!(sent(&actions), [warm_worker]);
    // The lane is taken: most invocations are queued, one in five loads a further copy.
    let mut queued = None;
    for _ in 0..3 {
        let (invocation, actions) = script.arrive(0, 0, 1, 2 * SECOND);
        if actions.is_empty() {
            queued = Some(invocation);
        }
    }
    assert!(queued.is_some());
    let actions = answer(&mut script, first, 50 * MS);
    assert_eq!(sent(&actions), [warm_worker]);
}

#[test]
fn exploration_loads_for_about_one_draw_in_five() {
    let (mut loads, mut queued) = (0, 0);
    for seed in 0..400 {
        let mut script = Script::new(seed, PLAIN, 4);
        let warm_worker = warm_up(&mut script, 0, 1);
        script.arrive(0, 0, 1, 2 * SECOND);
        let (_, actions) = script.arrive(0, 0, 1, 2 * SECOND);
        match sent(&actions).as_slice() {
            [] => queued += 1,
            [w] => {
                assert_ne!(*w, warm_worker);
                loads += 1;
            }
            more => panic!("{more:?}"),
        }
    }
    assert_eq!(loads + queued, 400);
    assert!((50..110).contains(&loads), "{loads} of 400 loaded");
}

#[test]
fn a_full_queue_overflows_to_the_busy_warm_worker() {
    let mut script = Script::new(5, PLAIN, 1);
    let warm_worker = warm_up(&mut script, 0, 1);
    script.arrive(0, 0, 1, 2 * SECOND);
    let mut overflow = Vec::new();
    for _ in 0..40 {
        overflow.extend(sent(&script.arrive(0, 0, 1, 2 * SECOND).1));
    }
    assert!(!overflow.is_empty() && overflow.iter().all(|w| *w == warm_worker));
}

#[test]
fn the_warm_state_expires_and_the_next_load_follows_the_rendezvous_order() {
    let mut script = Script::new(6, PLAIN, 6);
    let warm_worker = warm_up(&mut script, 0, 1);
    script.advance(IDLE_RETENTION + SECOND);
    let mut other = Script::new(
        99,
        Site {
            routers: 2,
            ..PLAIN
        },
        6,
    );
    let (_, again) = script.arrive(0, 0, 1, 2 * SECOND);
    let (_, elsewhere) = other.arrive(0, 0, 1, 2 * SECOND);
    assert_eq!(
        (sent(&again), sent(&elsewhere)),
        (vec![warm_worker], vec![warm_worker])
    );
}

/// Site slot-service, scenario deploy: a warm worker that drains must be used within the drain grace, and must get no
/// work after it.
#[test]
fn a_draining_worker_gets_work_only_within_the_drain_grace() {
    let mut script = Script::new(7, PLAIN, 4);
    let warm_worker = warm_up(&mut script, 0, 2);
    script.send_list(
        EndpointListKind::Changes,
        &[entry(warm_worker, EndpointState::Draining, None)],
    );
    script.advance(100 * MS);
    let (_, actions) = script.arrive(0, 0, 2, 2 * SECOND);
    assert_eq!(sent(&actions), [warm_worker]);
    script.advance(DRAIN_GRACE);
    let (_, actions) = script.arrive(0, 0, 2, 2 * SECOND);
    assert!(!sent(&actions).contains(&warm_worker));
}

/// Site catania-main-later: each router saw only a small part of a busy function, and all routers sent it to the same
/// worker.
#[test]
fn many_routers_spread_a_busy_function_over_several_preferred_workers() {
    let mut first_workers = BTreeSet::new();
    for position in 0..16 {
        let mut script = Script::at_position(
            position,
            position.into(),
            Site {
                routers: 16,
                ..PLAIN
            },
            8,
        );
        let mut last = 0;
        for _ in 0..12 {
            let (invocation, actions) = script.arrive(0, 0, 1, 2 * SECOND);
            last = sent(&actions)[0];
            answer(&mut script, invocation, 100 * MS);
        }
        first_workers.insert(last);
    }
    // All routers are in one zone, as are four of the eight workers; the preferred workers in that zone come first.
    assert!(first_workers.len() >= 4, "{first_workers:?}");
}

#[test]
fn a_session_sticks_to_its_worker_if_a_lane_there_is_free() {
    let mut script = Script::new(1, PLAIN, 4);
    let warm_worker = warm_up(&mut script, 0, 2);
    // Another worker has a copy, too.
    let other = (0..4).find(|w| *w != warm_worker).expect("one of four");
    script.handle(&Event::CopiesReported {
        worker: other,
        function: 0,
        copies: 1,
    });
    for at in [warm_worker, other, warm_worker, other] {
        script.preferred_worker = Some(at);
        let (invocation, actions) = script.arrive(0, 0, 2, 2 * SECOND);
        assert_eq!(sent(&actions), [at]);
        answer(&mut script, invocation, 50 * MS);
    }
    // If all lanes of the session's worker are taken, the session goes to another warm worker.
    script.preferred_worker = Some(warm_worker);
    let to: Vec<_> = (0..4)
        .flat_map(|_| sent(&script.arrive(0, 0, 2, 2 * SECOND).1))
        .collect();
    assert_eq!((to[0], to.contains(&other)), (warm_worker, true), "{to:?}");
    // If the session's worker is not warm, the session is routed as any other invocation.
    let cold_worker = (0..4)
        .find(|w| *w != warm_worker && *w != other)
        .expect("one of four");
    let mut script = Script::new(1, PLAIN, 4);
    let warm_worker = warm_up(&mut script, 0, 2);
    script.preferred_worker = Some(if warm_worker == cold_worker {
        other
    } else {
        cold_worker
    });
    assert_eq!(sent(&script.arrive(0, 0, 2, 2 * SECOND).1), [warm_worker]);
}
