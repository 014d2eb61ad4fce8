//! The ordinary path: free lanes, exploration, the queue, sessions, draining, placement.

use std::collections::BTreeSet;

use crate::helpers::{answer, sent, warm_up};
use crate::script::*;
use cedarpulley::interface::*;

#[test]
fn a_free_warm_lane_is_used_and_a_queued_invocation_follows_into_it() {
    let mut script = Script::new(1, PLAIN, 4);
    let warm_worker = warm_up(&mut script, 0, 1);
    let (first, actions) = script.arrive(0, 0, 1, 2 * SECOND);
    assert_eq!(sent(&actions), [warm_worker]);
    // The lane is taken: most are queued, one in five loads.
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
fn warmth_expires_and_the_next_load_goes_to_the_shared_hash_order() {
    let mut script = Script::new(6, PLAIN, 6);
    let warm_worker = warm_up(&mut script, 0, 1);
    script.pass(IDLE_RETENTION + SECOND);
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

/// slot-service, deploy: a warm worker told to drain serves on within the grace, and nothing goes there after it.
#[test]
fn a_draining_worker_serves_within_the_grace_only() {
    let mut script = Script::new(7, PLAIN, 4);
    let warm_worker = warm_up(&mut script, 0, 2);
    script.list(
        EndpointListKind::Changes,
        &[entry(warm_worker, EndpointState::Draining, None)],
    );
    script.pass(100 * MS);
    let (_, actions) = script.arrive(0, 0, 2, 2 * SECOND);
    assert_eq!(sent(&actions), [warm_worker]);
    script.pass(DRAIN_GRACE);
    let (_, actions) = script.arrive(0, 0, 2, 2 * SECOND);
    assert!(!sent(&actions).contains(&warm_worker));
}

/// catania-main-later: each router saw a small part of a busy function and all brought it to the same worker.
#[test]
fn many_routers_spread_a_busy_function_over_several_preferred_workers() {
    let mut homes = BTreeSet::new();
    for position in 0..16 {
        let mut script = Script::at(
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
        homes.insert(last);
    }
    // All are in one zone, as are four of the eight workers; those homes come first.
    assert!(homes.len() >= 4, "{homes:?}");
}

#[test]
fn a_session_sticks_to_its_worker_if_a_lane_there_is_free() {
    let mut script = Script::new(1, PLAIN, 4);
    let warm_worker = warm_up(&mut script, 0, 2);
    // Another one that holds a copy, too.
    let other = (0..4).find(|w| *w != warm_worker).expect("one of four");
    script.tell(&Event::CopiesReported {
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
    // With its lanes taken it goes to the other, and with neither warm as any other.
    script.preferred_worker = Some(warm_worker);
    let to: Vec<_> = (0..4)
        .flat_map(|_| sent(&script.arrive(0, 0, 2, 2 * SECOND).1))
        .collect();
    assert_eq!((to[0], to.contains(&other)), (warm_worker, true), "{to:?}");
    let stranger = (0..4)
        .find(|w| *w != warm_worker && *w != other)
        .expect("one of four");
    let mut script = Script::new(1, PLAIN, 4);
    let warm_worker = warm_up(&mut script, 0, 2);
    script.preferred_worker = Some(if warm_worker == stranger {
        other
    } else {
        stranger
    });
    assert_eq!(sent(&script.arrive(0, 0, 2, 2 * SECOND).1), [warm_worker]);
}
