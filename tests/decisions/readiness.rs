//! Readiness: while the endpoint list may be out of date, only workers that have recently passed a health check get
//! new work.

use crate::helpers::*;
use crate::script::*;
use cedarpulley::interface::DispatchOutcome::{Rejected, Succeeded, Unreachable};
use cedarpulley::interface::*;

/// The workers to which these actions send health checks.
fn probed(actions: &[Action]) -> Vec<WorkerIndex> {
    let to = |action: &Action| match action {
        Action::Probe { worker } => Some(*worker),
        _ => None,
    };
    actions.iter().filter_map(to).collect()
}

/// A script in which one worker has function 0 loaded and the lease of the endpoint list has just ended.
fn with_ended_lease(site: Site, workers: u32) -> (Script, WorkerIndex) {
    let mut script = Script::new(1, site, workers);
    script.renew_lease(2 * SECOND);
    let warm_worker = warm_up(&mut script, 0, 1);
    script.advance(2 * SECOND);
    (script, warm_worker)
}

/// During an outage of discovery, workers that drained were sent new work until the outage ended.
#[test]
fn after_the_lease_ends_invocations_wait_for_a_health_check() {
    let (mut script, warm_worker) = with_ended_lease(PLAIN, 3);
    let (first, actions) = script.arrive(0, 0, 1, 2 * SECOND);
    assert_eq!(
        (sent(&actions), probed(&actions)),
        (vec![], vec![warm_worker])
    );
    let (_, actions) = script.arrive(0, 0, 1, 2 * SECOND);
    assert!(sent(&actions).is_empty() && probed(&actions).is_empty());
    script.advance(5 * MS);
    let actions = script.end_probe(warm_worker, Succeeded, 5 * MS);
    assert_eq!(sent(&actions), [warm_worker]);
    // The result of a recent health check is still valid; after the drain grace a new check is needed.
    let actions = answer(&mut script, first, 100 * MS);
    assert_eq!(
        (sent(&actions), probed(&actions)),
        (vec![warm_worker], vec![])
    );
    script.advance(DRAIN_GRACE);
    let (_, actions) = script.arrive(0, 0, 1, 2 * SECOND);
    assert!(sent(&actions).is_empty());
}

#[test]
fn a_worker_that_fails_its_health_check_gets_no_new_work() {
    let (mut script, draining) = with_ended_lease(PLAIN, 2);
    script.arrive(0, 0, 1, 2 * SECOND);
    script.advance(5 * MS);
    let actions = script.end_probe(draining, Rejected, 5 * MS);
    let other = 1 - draining;
    assert_eq!((sent(&actions), probed(&actions)), (vec![], vec![other]));
    script.advance(5 * MS);
    assert_eq!(sent(&script.end_probe(other, Succeeded, 5 * MS)), [other]);
    // The list is up to date again and takes precedence over the failed check.
    script.renew_lease(2 * SECOND);
    let (_, actions) = script.arrive(0, 0, 1, 2 * SECOND);
    assert_eq!((sent(&actions), probed(&actions)), (vec![draining], vec![]));
}

/// During an outage of discovery, a load order was sent to a draining worker.
#[test]
fn after_the_lease_ends_no_load_is_ordered_without_a_health_check() {
    let (mut script, _) = with_ended_lease(
        Site {
            orders: true,
            ..PLAIN
        },
        2,
    );
    let actions = script.request_copy(0, 7);
    assert_eq!((ordered(&actions), probed(&actions)), (vec![], vec![0]));
    script.end_probe(0, Succeeded, 5 * MS);
    assert_eq!(ordered(&script.request_copy(0, 7)), [0]);
}

/// A worker that restarts during an outage of discovery must get slow start although its restart is not announced.
#[test]
fn a_worker_that_was_unreachable_gets_slow_start_and_has_no_copies() {
    for away in [200 * MS, 3 * SECOND] {
        let (mut script, worker) = with_ended_lease(PLAIN, 1);
        let (first, _) = script.arrive(0, 0, 40, 2 * SECOND);
        script.end_probe(worker, Unreachable, 5 * MS);
        script.client_leaves(first);
        script.advance(away);
        let mut at_once = sent(&script.arrive(0, 0, 40, 2 * SECOND).1).len();
        at_once += sent(&script.end_probe(worker, Succeeded, 5 * MS)).len();
        for _ in 0..40 {
            at_once += sent(&script.arrive(0, 0, 40, 2 * SECOND).1).len();
        }
        assert_eq!(at_once == 1, away > SECOND, "{away} us away: {at_once}");
    }
}

/// A result that is no longer valid when it arrives lets nothing be decided. If the check were repeated at once, a worker
/// that answers slowly, or one that refuses connections at once where the grace is very short, would be checked without a
/// pause.
#[test]
fn a_health_check_whose_result_came_too_late_is_repeated_at_the_next_tick() {
    let (mut script, warm_worker) = with_ended_lease(PLAIN, 2);
    script.arrive(0, 0, 1, 2 * SECOND);
    script.advance(DRAIN_GRACE);
    let late = script.end_probe(warm_worker, Succeeded, DRAIN_GRACE);
    assert!(probed(&late).is_empty(), "checked again in the same step");
    assert_eq!(probed(&script.advance(10 * MS)), [warm_worker]);
}

/// A health check that the router could not send is no evidence about the worker. If no connection is available, a
/// check ends in the same step that sends it; sending it again in that step would never end.
#[test]
fn a_health_check_that_was_not_sent_is_retried_at_the_next_tick() {
    let (mut script, warm_worker) = with_ended_lease(PLAIN, 2);
    script.arrive(0, 0, 1, 2 * SECOND);
    let actions = script.end_probe(warm_worker, DispatchOutcome::NotSent, 0);
    assert_eq!((probed(&actions), sent(&actions)), (vec![], vec![]));
    assert_eq!(probed(&script.advance(10 * MS)), [warm_worker]);
}

/// A script without health checks in which one worker has function 0 loaded and the drain lease ends now.
fn without_health_checks() -> (Script, WorkerIndex) {
    let site = Site {
        health_checks: false,
        orders: true,
        ..PLAIN
    };
    let (mut script, warm_worker) = with_ended_lease(site, 2);
    script.renew_lease(0);
    (script, warm_worker)
}

/// During an outage of discovery, workers that drained were sent new work until the outage ended, where health checks are
/// not allowed.
#[test]
fn without_health_checks_new_work_is_refused_once_any_drain_grace_may_be_over() {
    let (mut script, _) = without_health_checks();
    let arrived: Vec<_> = (0..4)
        .map(|_| script.arrive(0, 0, 1, 2 * SECOND).0)
        .collect();
    let is_queued = |script: &Script, invocation| {
        script.is_unanswered(invocation) && !script.is_in_flight(invocation)
    };
    let queued = arrived.into_iter().find(|&one| is_queued(&script, one));
    let actions = script.advance(DRAIN_GRACE);
    assert!(actions.iter().any(is_rejection), "{actions:?}");
    assert!(!script.is_unanswered(queued.expect("one is queued")));
    for trigger in 0..3 {
        let (_, actions) = script.arrive(trigger, 0, 1, 2 * SECOND);
        assert!(actions.iter().any(is_rejection), "{actions:?}");
        assert_eq!((sent(&actions), probed(&actions)), (vec![], vec![]));
    }
    assert_eq!(ordered(&script.request_copy(0, 7)), []);
    script.renew_lease(2 * SECOND);
    assert_eq!(ordered(&script.request_copy(0, 7)), [0]);
    let (again, _) = script.arrive(0, 0, 1, 2 * SECOND);
    assert!(script.is_unanswered(again));
}

/// A router that stood still reads what discovery sent meanwhile right afterwards: what arrived before waits for that, and
/// so does an invocation whose attempt was held back.
#[test]
fn without_health_checks_work_waits_for_the_list_while_discovery_is_not_lost() {
    let (mut script, _) = without_health_checks();
    script.renew_drain_lease(script.now, false);
    let (withheld, _) = script.arrive(2, 0, 1, 2 * SECOND);
    assert!(script.is_in_flight(withheld));
    script.advance(DRAIN_GRACE);
    let (arrived, actions) = script.arrive(0, 3, 1, 2 * SECOND);
    assert_eq!(sent(&actions), []);
    script.end(
        withheld,
        0,
        DispatchOutcome::NotSent,
        CopyStatus::Unreported,
    );
    assert!(script.is_unanswered(withheld) && script.is_unanswered(arrived));
    script.renew_drain_lease(script.now + SECOND, false);
    assert!(script.is_in_flight(withheld) && script.is_in_flight(arrived));
}

/// The rule must cost nothing while any drain that is not in the list would be within its grace.
#[test]
fn without_health_checks_work_is_sent_within_the_drain_grace_after_the_lease() {
    let (mut script, warm_worker) = without_health_checks();
    script.advance(DRAIN_GRACE - MS);
    assert_eq!(sent(&script.arrive(0, 0, 1, 2 * SECOND).1), [warm_worker]);
}

fn is_rejection(action: &Action) -> bool {
    matches!(
        action,
        Action::Reject {
            retry_after: Some(_),
            ..
        }
    )
}
