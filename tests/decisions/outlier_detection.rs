//! Outlier detection and the readmission of outliers. The test heads name the simulated site and the scenario in
//! which a failure was found.

use crate::helpers::{answer, sent, warm_up};
use crate::script::*;
use cedarpulley::interface::*;

/// A hanging worker or a cut link leaves dispatches in flight without any answer. Only invocations that may run again
/// may then be sent to the worker.
#[test]
fn a_silent_worker_is_an_outlier() {
    let mut script = Script::new(11, PLAIN, 4);
    let warm_worker = warm_up(&mut script, 0, 4);
    for _ in 0..8 {
        let (invocation, _) = script.arrive(0, 0, 4, 2 * SECOND);
        answer(&mut script, invocation, 40 * MS);
    }
    let (_, actions) = script.arrive(0, 0, 4, 2 * SECOND);
    assert_eq!(sent(&actions), [warm_worker]);
    script.advance(1_500 * MS);
    let (_, actions) = script.arrive(2, 0, 4, 2 * SECOND);
    assert!(!sent(&actions).contains(&warm_worker));
}

/// All dispatches in flight time out at once, as after a stop of the router's own process, and so does the first
/// probe. Probes must go on although every worker is an outlier.
#[test]
fn probes_continue_when_every_worker_is_an_outlier() {
    let mut script = Script::new(1, PLAIN, 1);
    warm_up(&mut script, 0, 8);
    let attempts: Vec<InvocationIndex> = (0..8)
        .map(|_| script.arrive(0, 0, 8, 2 * SECOND).0)
        .collect();
    script.advance(1_500 * MS);
    attempts
        .iter()
        .filter(|invocation| script.is_in_flight(**invocation))
        .copied()
        .collect::<Vec<_>>()
        .into_iter()
        .for_each(|invocation| {
            script.end(
                invocation,
                0,
                DispatchOutcome::TimedOut,
                CopyStatus::Unreported,
            );
        });
    // The first probe is lost too.
    let (invocation, _) = script.arrive(0, 0, 8, 2 * SECOND);
    script.advance(600 * MS);
    assert!(script.is_in_flight(invocation));
    script.end(
        invocation,
        0,
        DispatchOutcome::TimedOut,
        CopyStatus::Unreported,
    );
    script.advance(500 * MS);
    let (_, now) = script.arrive(0, 0, 8, 2 * SECOND);
    let later = script.advance(SECOND);
    assert_eq!(sent(&now).len() + sent(&later).len(), 1);
}

/// Site catania-main-later, scenario class_fail: a worker that does not answer one trigger type must keep serving the
/// others.
#[test]
fn outliers_are_detected_by_trigger_type() {
    let mut script = Script::new(15, PLAIN, 2);
    for trigger in [0, 2] {
        let (invocation, _) = script.arrive(trigger, trigger, 4, 2 * SECOND);
        answer(&mut script, invocation, 600 * MS);
    }
    let (invocation, actions) = script.arrive(2, 2, 4, 2 * SECOND);
    let silent = sent(&actions)[0];
    let (other, _) = script.arrive(2, 2, 4, 2 * SECOND);
    script.advance(2 * SECOND);
    script.end(
        invocation,
        0,
        DispatchOutcome::TimedOut,
        CopyStatus::Unreported,
    );
    script.end(other, 0, DispatchOutcome::TimedOut, CopyStatus::Unreported);
    let (_, actions) = script.arrive(2, 2, 4, 2 * SECOND);
    assert!(!sent(&actions).contains(&silent));
    // The other trigger type has its own history at both workers, so it is sent to the worker where it is warm.
    let (_, actions) = script.arrive(0, 0, 4, 2 * SECOND);
    assert_eq!(sent(&actions).len(), 1);
}

/// Site catania-main over sockets, long scenarios: the index of a worker that is gone is given to a new worker, which
/// must not inherit the outcomes of the old one.
#[test]
fn a_new_worker_under_a_reused_index_starts_without_outcomes_or_copies() {
    let mut script = Script::new(21, PLAIN, 1);
    let warm_worker = warm_up(&mut script, 0, 2);
    // The worker rejects one invocation and loses the connection of another: it gets a low concurrency limit and
    // becomes an outlier.
    for (trigger, outcome) in [
        (0, DispatchOutcome::Rejected),
        (2, DispatchOutcome::ConnectionLost),
    ] {
        let (invocation, _) = script.arrive(trigger, 0, 2, 2 * SECOND);
        script.advance(50 * MS);
        script.end(invocation, 0, outcome, CopyStatus::Unreported);
    }
    assert!(sent(&script.arrive(2, 0, 2, 2 * SECOND).1).is_empty());
    script.send_list(
        EndpointListKind::Changes,
        &[entry(warm_worker, EndpointState::Gone, None)],
    );
    script.advance(3 * SECOND);
    let new = Endpoint {
        fingerprint: 4711,
        ..entry(warm_worker, EndpointState::InService, None)
    };
    script.send_list(EndpointListKind::Changes, &[new]);
    let (invocation, actions) = script.arrive(2, 0, 2, 2 * SECOND);
    assert_eq!(sent(&actions), [warm_worker]);
    script.advance(600 * MS);
    script.end(
        invocation,
        0,
        DispatchOutcome::Succeeded,
        CopyStatus::LoadStarted,
    );
    assert_eq!(
        [(); 2].map(|()| sent(&script.arrive(2, 0, 2, 2 * SECOND).1)),
        [[warm_worker], [warm_worker]]
    );
}
