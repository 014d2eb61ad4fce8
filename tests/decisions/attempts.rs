//! Attempts, retries and final answers. The test heads name the simulated site and the scenario in which a failure was
//! found.

use crate::helpers::{answer, sent, warm_up};
use crate::script::*;
use cedarpulley::interface::*;

/// An invocation that must not run again must be answered as soon as an attempt that may have run has failed.
#[test]
fn a_non_idempotent_invocation_that_may_have_run_is_answered_at_once() {
    let mut script = Script::new(10, PLAIN, 4);
    let (invocation, _) = script.arrive(2, 0, 1, 2 * SECOND);
    script.advance(50 * MS);
    let actions = script.end(
        invocation,
        0,
        DispatchOutcome::ConnectionLost,
        CopyStatus::Unreported,
    );
    assert!(actions.contains(&Action::Fail { invocation }));
}

/// Attempts that were too short for the work were repeated again and again, and filled the workers with work whose
/// clients had left. Seen in docs/incidents/i93b1a3.md.
#[test]
fn an_attempt_too_short_for_the_work_is_not_dispatched() {
    let mut script = Script::new(14, PLAIN, 4);
    warm_up(&mut script, 0, 4);
    for _ in 0..8 {
        let (invocation, _) = script.arrive(0, 0, 4, 2 * SECOND);
        answer(&mut script, invocation, 200 * MS);
    }
    let (invocation, actions) = script.arrive(2, 0, 4, 150 * MS);
    assert!(
        matches!(actions[0], Action::Reject { invocation: i, .. } if i == invocation),
        "{actions:?}"
    );
}

/// Site kumamoto-office-later, scenario retry_abuse: dispatches in flight for a client that has left must be
/// cancelled.
#[test]
fn a_dispatch_whose_client_left_is_cancelled() {
    let mut script = Script::new(18, PLAIN, 2);
    let (invocation, _) = script.arrive(0, 0, 1, 2 * SECOND);
    assert!(script.client_leaves(invocation).contains(&Action::Cancel {
        invocation,
        dispatch: 0
    }));
}

/// Sends an invocation of this trigger type to the only warm worker, which rejects it for lack of capacity.
fn rejected_by_warm_worker(
    seed: u64,
    trigger: u32,
) -> (Script, InvocationIndex, WorkerIndex, Vec<Action>) {
    let mut script = Script::new(seed, PLAIN, 3);
    let warm_worker = warm_up(&mut script, 0, 4);
    let (invocation, actions) = script.arrive(trigger, 0, 4, 2 * SECOND);
    assert_eq!(sent(&actions), [warm_worker]);
    script.advance(MS);
    let actions = script.end(
        invocation,
        0,
        DispatchOutcome::Rejected,
        CopyStatus::Unreported,
    );
    (script, invocation, warm_worker, actions)
}

/// Site catania-main over sockets, scenario wide+reset+stale: a full worker, which was the fastest to answer, was
/// sent the same invocation again until the invocation's dispatches were used up.
#[test]
fn an_invocation_is_not_retried_at_a_worker_that_rejected_it() {
    let (_, invocation, warm_worker, actions) = rejected_by_warm_worker(23, 2);
    assert!(sent(&actions).iter().all(|w| *w != warm_worker));
    assert!(!actions.contains(&Action::Fail { invocation }));
}

/// Site slot-service-later, scenario deploy+flush: a full worker counted as not warm, so each invocation that it
/// rejected loaded its function at one more worker, until the store stopped.
#[test]
fn an_invocation_rejected_by_the_only_warm_worker_is_queued_and_loads_no_copy() {
    let (mut script, invocation, _, actions) = rejected_by_warm_worker(24, 0);
    assert!(sent(&actions).is_empty() && script.is_unanswered(invocation));
    assert!(sent(&script.advance(40 * MS)).is_empty() && script.is_unanswered(invocation));
}
