//! Loads of copies: orders, their quota, failures, reports. The test heads name the simulated site and the scenario
//! in which a failure was found.

use std::collections::BTreeSet;

use crate::helpers::{LOADS_ONLY_ON_ORDER, answer, ordered, sent, warm_up};
use crate::script::*;
use cedarpulley::interface::*;

/// Site catania-main, scenario hot_key+zone_cut: queries for the loaded copies kept far too many copies warm.
#[test]
fn where_orders_are_allowed_one_copy_is_ordered_and_the_invocation_waits_in_the_queue() {
    let mut script = Script::new(8, LOADS_ONLY_ON_ORDER, 6);
    let (invocation, actions) = script.arrive(2, 0, 1, 2 * SECOND);
    let orders: Vec<_> = actions
        .iter()
        .filter(|a| matches!(a, Action::LoadOrder { .. }))
        .collect();
    assert_eq!((orders.len(), sent(&actions).len()), (1, 0));
    let worker = ordered(&actions)[0];
    script.advance(400 * MS);
    let loaded = Event::OrderEnded {
        worker,
        function: 0,
        result: LoadOrderResult::Loaded,
        took: 400 * MS,
        copies: 1,
    };
    assert_eq!(sent(&script.handle(&loaded)), [worker]);
    assert!(script.is_unanswered(invocation));
}

/// Site kumamoto-office: with as many loads in progress as there are workers, queued invocations expired. A load must
/// block its worker for further loads only for the expected load time.
#[test]
fn a_load_occupies_its_worker_for_the_expected_load_time_only() {
    let mut script = Script::new(12, PLAIN, 1);
    for function in 10..18 {
        warm_up(&mut script, function, 1);
    }
    assert_eq!(sent(&script.arrive(0, 0, 1, 2 * SECOND).1), [0]);
    assert!(sent(&script.arrive(0, 1, 1, 2 * SECOND).1).is_empty());
    assert!(sent(&script.advance(300 * MS)).is_empty());
    assert_eq!(sent(&script.advance(400 * MS)), [0]);
}

/// Site catania-main-later, scenario class_fail: one router ordered the same copy 2,200 times from a worker without
/// capacity.
#[test]
fn a_worker_without_capacity_gets_no_further_load_order_at_once() {
    let mut script = Script::new(17, LOADS_ONLY_ON_ORDER, 1);
    let (_, actions) = script.arrive(0, 0, 1, 2 * SECOND);
    let worker = ordered(&actions)[0];
    let full = Event::OrderEnded {
        worker,
        function: 0,
        result: LoadOrderResult::NoCapacity,
        took: MS,
        copies: 0,
    };
    assert!(
        ordered(&script.handle(&full)).is_empty() && ordered(&script.advance(100 * MS)).is_empty()
    );
    assert_eq!(ordered(&script.advance(SECOND)), [worker]);
}

/// Site catania-main over sockets, misbehaving clients: a function unknown to all workers fails to load at one
/// worker after the other. All workers then counted as outliers and took no loads for a while, so invocations of
/// functions without a copy were queued until they were answered without success.
#[test]
fn a_function_that_fails_to_load_does_not_block_loads_of_others() {
    let mut script = Script::new(22, LOADS_ONLY_ON_ORDER, 3);
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
        script.advance(MS);
        targets = ordered(&script.handle(&failed));
        assert!(
            orders < 5,
            "the load is tried at one worker after the other"
        );
    }
    // Every worker still accepts a load of another function at once.
    let mut taken = BTreeSet::new();
    for function in 1..=3 {
        taken.extend(ordered(&script.arrive(0, function, 1, 2 * SECOND).1));
    }
    assert_eq!(taken.len(), 3);
}

/// Simulated fleet, all scenarios: each of 300 routers ordered a copy of every function new to it, which made 64
/// orders for 100 invocations, and nearly all of these copies were already loaded.
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
    // The answer came too soon for a load, so the copy was already loaded; the next invocation uses it.
    answer(&mut script, invocation, 20 * MS);
    assert_eq!(sent(&script.arrive(0, 0, 1, 2 * SECOND).1), [warm_worker]);
    // The only lane is taken. The one invocation in five that explores sends a load order, as no invocation has to
    // wait for that load.
    let drawn: Vec<Action> = (0..20)
        .flat_map(|_| script.arrive(0, 0, 1, 2 * SECOND).1)
        .collect();
    assert!(sent(&drawn).is_empty() && !ordered(&drawn).is_empty());
}

/// Simulated fleet, all scenarios: exploration had used up the quota of load orders, and invocations whose load needed
/// no order were queued for it.
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
    assert_eq!(orders, 2, "the quota of load orders is used up");
    assert_eq!(sent(&script.arrive(0, 5, 1, 2 * SECOND).1).len(), 1);
}

/// Loads by dispatch: a function that no worker can load must not turn workers into outliers. If the function has run
/// before, however, a failed load must count against the worker.
#[test]
fn a_failed_load_counts_against_the_worker_only_once_the_function_has_run() {
    let sent_after_failure = |known: bool| {
        let mut script = Script::new(28, PLAIN, 1);
        let other = warm_up(&mut script, 1, 4);
        if known {
            warm_up(&mut script, 0, 4);
            let (invocation, _) = script.arrive(0, 0, 4, 2 * SECOND);
            answer(&mut script, invocation, 20 * MS);
            script.advance(IDLE_RETENTION + SECOND);
            warm_up(&mut script, 1, 4);
        }
        let (invocation, actions) = script.arrive(2, 0, 4, 2 * SECOND);
        assert_eq!(sent(&actions), [other]);
        script.advance(MS);
        script.end(
            invocation,
            0,
            DispatchOutcome::Errored,
            CopyStatus::Unreported,
        );
        // A non-idempotent invocation is never sent to an outlier.
        sent(&script.arrive(2, 1, 4, 2 * SECOND).1)
    };
    assert_eq!(
        (
            sent_after_failure(false).len(),
            sent_after_failure(true).len()
        ),
        (1, 0)
    );
}

#[test]
fn a_wanted_copy_is_ordered_within_quota_and_capacity() {
    let mut script = Script::new(
        1,
        Site {
            order_quota: true,
            ..LOADS_ONLY_ON_ORDER
        },
        4,
    );
    // No invocation of the function has arrived yet.
    assert_eq!(ordered(&script.request_copy(2, 5)), [2]);
    // A function has one load in progress at a time; the script's quota is two orders in five seconds.
    assert!(ordered(&script.request_copy(3, 5)).is_empty());
    assert_eq!(ordered(&script.request_copy(3, 6)), [3]);
    assert!(ordered(&script.request_copy(1, 7)).is_empty());
    script.advance(6 * SECOND);
    let ended = |script: &mut Script, worker, function| {
        let (result, took) = (LoadOrderResult::Loaded, 400 * MS);
        script.handle(&Event::OrderEnded {
            worker,
            function,
            result,
            took,
            copies: 1,
        });
    };
    ended(&mut script, 2, 5);
    // A loaded copy is ordered again to renew its idle retention; a draining worker gets no order.
    assert_eq!(ordered(&script.request_copy(2, 5)), [2]);
    script.send_list(
        EndpointListKind::Changes,
        &[entry(0, EndpointState::Draining, None)],
    );
    script.advance(SECOND);
    assert!(ordered(&script.request_copy(0, 8)).is_empty());
    let mut script = Script::new(1, PLAIN, 4);
    assert!(
        ordered(&script.request_copy(2, 5)).is_empty(),
        "orders are not allowed there"
    );
}

#[test]
fn reported_copies_are_ignored_while_a_load_is_in_progress() {
    let mut script = Script::new(1, PLAIN, 4);
    let warm_worker = sent(&script.arrive(0, 0, 2, 4 * SECOND).1)[0];
    script.handle(&Event::CopiesReported {
        worker: warm_worker,
        function: 0,
        copies: 0,
    });
    // The invocation takes the second lane of the copy that is being loaded.
    assert_eq!(sent(&script.arrive(0, 0, 2, 4 * SECOND).1), [warm_worker]);
}

#[test]
fn reported_copies_override_the_expected_state() {
    let mut script = Script::new(1, LOADS_ONLY_ON_ORDER, 4);
    let (_, actions) = script.arrive(0, 0, 1, 4 * SECOND);
    let warm_worker = ordered(&actions)[0];
    // Another router has loaded a copy elsewhere: the queued invocation is dispatched there at once.
    let other = (0..4).find(|w| *w != warm_worker).expect("one of four");
    assert_eq!(
        sent(&script.handle(&Event::CopiesReported {
            worker: other,
            function: 0,
            copies: 1
        })),
        [other]
    );
    let (result, took) = (LoadOrderResult::Loaded, 400 * MS);
    script.handle(&Event::OrderEnded {
        worker: warm_worker,
        function: 0,
        result,
        took,
        copies: 1,
    });
    // Both copies have been evicted: the next invocation starts a new load.
    script.handle(&Event::CopiesReported {
        worker: warm_worker,
        function: 0,
        copies: 0,
    });
    script.handle(&Event::CopiesReported {
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

/// A worker that answers an order with success, but has no copy, would be sent the next order at once.
#[test]
fn a_worker_that_loads_nothing_gets_no_further_load_order_at_once() {
    let mut script = Script::new(33, LOADS_ONLY_ON_ORDER, 1);
    let (_, actions) = script.arrive(0, 0, 1, 2 * SECOND);
    let worker = ordered(&actions)[0];
    script.advance(MS);
    let nothing_loaded = Event::OrderEnded {
        worker,
        function: 0,
        result: LoadOrderResult::Loaded,
        took: MS,
        copies: 0,
    };
    assert!(ordered(&script.handle(&nothing_loaded)).is_empty());
    assert!(ordered(&script.advance(100 * MS)).is_empty());
    assert_eq!(ordered(&script.advance(SECOND)), [worker]);
}

/// The router stood still: a worker that answered invocations well but refused the connections for load orders was sent
/// one order after the other without a pause, as failed orders do not make it an outlier for such invocations.
#[test]
fn a_worker_that_cannot_be_reached_gets_no_further_load_order_at_once() {
    for result in [
        LoadOrderResult::Unreachable,
        LoadOrderResult::ConnectionLost,
    ] {
        let mut script = Script::new(31, LOADS_ONLY_ON_ORDER, 1);
        let worker = 0;
        let (earlier, _) = script.arrive(0, 7, 1, 2 * SECOND);
        script.handle(&Event::OrderEnded {
            worker,
            function: 7,
            result: LoadOrderResult::Loaded,
            took: 400 * MS,
            copies: 1,
        });
        answer(&mut script, earlier, 50 * MS);
        let (_, actions) = script.arrive(0, 0, 1, 2 * SECOND);
        assert_eq!(ordered(&actions), [worker]);
        let failed = Event::OrderEnded {
            worker,
            function: 0,
            result,
            took: 0,
            copies: 0,
        };
        let repeated = ordered(&script.handle(&failed));
        assert!(
            repeated.is_empty(),
            "{result:?}: ordered again at {repeated:?}"
        );
        assert!(ordered(&script.advance(CONNECT_TIMEOUT - MS)).is_empty());
        assert_eq!(ordered(&script.advance(20 * MS)), [worker]);
    }
}

/// Where one worker cannot be reached, the copy is ordered from another one at once.
#[test]
fn a_load_order_that_failed_is_repeated_at_another_worker() {
    let mut script = Script::new(32, LOADS_ONLY_ON_ORDER, 3);
    let (_, actions) = script.arrive(0, 0, 1, 2 * SECOND);
    let mut tried = ordered(&actions);
    while let Some(&worker) = tried.last().filter(|_| tried.len() <= 3) {
        let failed = Event::OrderEnded {
            worker,
            function: 0,
            result: LoadOrderResult::Unreachable,
            took: 0,
            copies: 0,
        };
        let next = ordered(&script.handle(&failed));
        if next.is_empty() {
            break;
        }
        tried.extend(next);
    }
    assert_eq!(tried.len(), 3);
    assert_eq!(tried.iter().collect::<BTreeSet<_>>().len(), 3);
}
