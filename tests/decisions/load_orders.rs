//! Loads of copies: orders, their quota, failures, reports.

use std::collections::BTreeSet;

use crate::helpers::{ORDERED, answer, ordered, sent, warm_up};
use crate::script::*;
use cedarpulley::interface::*;

/// catania-main, hot_key+zone_cut: querying where copies are loaded kept far too many of them warm.
#[test]
fn where_orders_are_allowed_one_copy_is_ordered_and_the_invocation_waits_in_the_queue() {
    let mut script = Script::new(8, ORDERED, 6);
    let (invocation, actions) = script.arrive(2, 0, 1, 2 * SECOND);
    let orders: Vec<_> = actions
        .iter()
        .filter(|a| matches!(a, Action::LoadOrder { .. }))
        .collect();
    assert_eq!((orders.len(), sent(&actions).len()), (1, 0));
    let worker = ordered(&actions)[0];
    script.pass(400 * MS);
    let stand = Event::OrderEnded {
        worker,
        function: 0,
        result: LoadOrderResult::Loaded,
        took: 400 * MS,
        copies: 1,
    };
    assert_eq!(sent(&script.tell(&stand)), [worker]);
    assert!(script.owes(invocation));
}

/// kumamoto-office: with as many loads in progress as workers, queued invocations expired; a load counts for its usual time.
#[test]
fn a_load_occupies_its_worker_for_the_expected_load_time_only() {
    let mut script = Script::new(12, PLAIN, 1);
    for function in 10..18 {
        warm_up(&mut script, function, 1);
    }
    assert_eq!(sent(&script.arrive(0, 0, 1, 2 * SECOND).1), [0]);
    assert!(sent(&script.arrive(0, 1, 1, 2 * SECOND).1).is_empty());
    assert!(sent(&script.pass(300 * MS)).is_empty());
    assert_eq!(sent(&script.pass(400 * MS)), [0]);
}

/// catania-main-later, class_fail: one router ordered the same copy 2,200 times from a worker without capacity.
#[test]
fn a_worker_without_capacity_gets_no_further_load_order_at_once() {
    let mut script = Script::new(17, ORDERED, 1);
    let (_, actions) = script.arrive(0, 0, 1, 2 * SECOND);
    let worker = ordered(&actions)[0];
    let full = Event::OrderEnded {
        worker,
        function: 0,
        result: LoadOrderResult::NoCapacity,
        took: MS,
        copies: 0,
    };
    assert!(ordered(&script.tell(&full)).is_empty() && ordered(&script.pass(100 * MS)).is_empty());
    assert_eq!(ordered(&script.pass(SECOND)), [worker]);
}

/// catania-main on sockets, rude clients: a function that no worker knows fails to load at once on each in
/// turn. With the workers taken for outliers, each took no load for a while, and what had no copy anywhere was
/// queued until it was answered without success.
#[test]
fn a_function_that_fails_to_load_does_not_block_loads_of_others() {
    let mut script = Script::new(22, ORDERED, 3);
    let (_, actions) = script.arrive(0, 0, 1, 2 * SECOND);
    let mut targets = ordered(&actions);
    let mut orders = 0;
    while let Some(worker) = targets.pop() {
        orders += 1;
        let failed = Event::OrderEnded {
            worker,
            function: 0,
            result: LoadOrderResult::LoadFailed,
            took: MS,
            copies: 0,
        };
        script.pass(MS);
        targets = ordered(&script.tell(&failed));
        assert!(orders < 5, "it goes from worker to worker");
    }
    // Every worker takes a load of something else at once.
    let mut taken = BTreeSet::new();
    for function in 1..=3 {
        taken.extend(ordered(&script.arrive(0, function, 1, 2 * SECOND).1));
    }
    assert_eq!(taken.len(), 3);
}

/// Fleet test, all days: each of 300 routers ordered a copy of each function that it met, 64 orders for 100
/// invocations, and nearly all of them were loaded already.
#[test]
fn the_first_invocation_is_dispatched_without_an_order_where_workers_load_on_demand() {
    let mut script = Script::new(
        27,
        Site {
            orders: true,
            ..PLAIN
        },
        4,
    );
    let (invocation, actions) = script.arrive(0, 0, 1, 2 * SECOND);
    assert_eq!((sent(&actions).len(), ordered(&actions).len()), (1, 0));
    let warm_worker = sent(&actions)[0];
    // Answered at once, the copy stood: no load was needed, and the next one finds its way there.
    answer(&mut script, invocation, 20 * MS);
    assert_eq!(sent(&script.arrive(0, 0, 1, 2 * SECOND).1), [warm_worker]);
    // Its one lane is taken: the draws of one in five are orders, as nothing need wait for them.
    let drawn: Vec<Action> = (0..20)
        .flat_map(|_| script.arrive(0, 0, 1, 2 * SECOND).1)
        .collect();
    assert!(sent(&drawn).is_empty() && !ordered(&drawn).is_empty());
}

/// The same: draws had used up the quota of orders, and what needs no order was queued for it.
#[test]
fn a_load_by_dispatch_needs_no_order_quota() {
    let mut script = Script::new(
        29,
        Site {
            orders: true,
            order_quota: true,
            ..PLAIN
        },
        12,
    );
    for function in 0..5 {
        warm_up(&mut script, function, 1);
    }
    let orders: usize = (0..30)
        .map(|n| script.arrive(0, n % 5, 1, 2 * SECOND).1)
        .map(|actions| ordered(&actions).len())
        .sum();
    assert_eq!(orders, 2, "the order_quota is used up");
    assert_eq!(sent(&script.arrive(0, 5, 1, 2 * SECOND).1).len(), 1);
}

/// The same through dispatches: a function that nobody can load must not have the workers taken for outliers, one
/// that has run before is no excuse for a worker that fails everything.
#[test]
fn a_failed_load_counts_against_the_worker_only_once_the_function_has_run() {
    let failed = |known: bool| {
        let mut script = Script::new(28, PLAIN, 1);
        let other = warm_up(&mut script, 1, 4);
        if known {
            warm_up(&mut script, 0, 4);
            let (invocation, _) = script.arrive(0, 0, 4, 2 * SECOND);
            answer(&mut script, invocation, 20 * MS);
            script.pass(IDLE_RETENTION + SECOND);
            warm_up(&mut script, 1, 4);
        }
        let (invocation, actions) = script.arrive(2, 0, 4, 2 * SECOND);
        assert_eq!(sent(&actions), [other]);
        script.pass(MS);
        script.end(
            invocation,
            0,
            DispatchOutcome::Errored,
            CopyStatus::Unreported,
        );
        // What must not run twice goes to no worker that is judged bad.
        sent(&script.arrive(2, 1, 4, 2 * SECOND).1)
    };
    assert_eq!((failed(false).len(), failed(true).len()), (1, 0));
}

#[test]
fn a_wanted_copy_is_ordered_within_quota_and_capacity() {
    let mut script = Script::new(
        1,
        Site {
            order_quota: true,
            ..ORDERED
        },
        4,
    );
    // Nobody has asked for it yet.
    assert_eq!(ordered(&script.want(2, 5)), [2]);
    // One in progress for the function; the quota of the script is two in five seconds.
    assert!(ordered(&script.want(3, 5)).is_empty());
    assert_eq!(ordered(&script.want(3, 6)), [3]);
    assert!(ordered(&script.want(1, 7)).is_empty());
    script.pass(6 * SECOND);
    let ended = |script: &mut Script, worker, function| {
        let (result, took) = (LoadOrderResult::Loaded, 400 * MS);
        script.tell(&Event::OrderEnded {
            worker,
            function,
            result,
            took,
            copies: 1,
        });
    };
    ended(&mut script, 2, 5);
    // One that stands is renewed, though it needs no load; one that drains takes none.
    assert_eq!(ordered(&script.want(2, 5)), [2]);
    script.list(
        EndpointListKind::Changes,
        &[entry(0, EndpointState::Draining, None)],
    );
    script.pass(SECOND);
    assert!(ordered(&script.want(0, 8)).is_empty());
    let mut script = Script::new(1, PLAIN, 4);
    assert!(
        ordered(&script.want(2, 5)).is_empty(),
        "orders are not allowed there"
    );
}

#[test]
fn reported_copies_are_ignored_while_a_load_is_in_progress() {
    let mut script = Script::new(1, PLAIN, 4);
    let warm_worker = sent(&script.arrive(0, 0, 2, 4 * SECOND).1)[0];
    script.tell(&Event::CopiesReported {
        worker: warm_worker,
        function: 0,
        copies: 0,
    });
    // The second lane of what is being loaded.
    assert_eq!(sent(&script.arrive(0, 0, 2, 4 * SECOND).1), [warm_worker]);
}

#[test]
fn reported_copies_override_the_expected_state() {
    let mut script = Script::new(1, ORDERED, 4);
    let (_, actions) = script.arrive(0, 0, 1, 4 * SECOND);
    let warm_worker = ordered(&actions)[0];
    // Another router has loaded it elsewhere: what waits leaves at once.
    let other = (0..4).find(|w| *w != warm_worker).expect("one of four");
    assert_eq!(
        sent(&script.tell(&Event::CopiesReported {
            worker: other,
            function: 0,
            copies: 1
        })),
        [other]
    );
    let (result, took) = (LoadOrderResult::Loaded, 400 * MS);
    script.tell(&Event::OrderEnded {
        worker: warm_worker,
        function: 0,
        result,
        took,
        copies: 1,
    });
    // Gone without a word: the next one loads anew, somewhere.
    script.tell(&Event::CopiesReported {
        worker: warm_worker,
        function: 0,
        copies: 0,
    });
    script.tell(&Event::CopiesReported {
        worker: other,
        function: 0,
        copies: 0,
    });
    let (_, actions) = script.arrive(0, 0, 1, 2 * SECOND);
    assert!(
        sent(&actions).is_empty() && ordered(&actions).len() == 1,
        "{actions:?}"
    );
}
