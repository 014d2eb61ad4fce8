//! Which workers are outliers, and how they come back.

use crate::helpers::{answer, sent, warm_up};
use crate::script::*;
use cedarpulley::interface::*;

/// Symptom of hangs and cut links: work in flight and no answer at all. Only what may run again attempts the worker.
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
    script.pass(1_500 * MS);
    let (_, actions) = script.arrive(2, 0, 4, 2 * SECOND);
    assert!(!sent(&actions).contains(&warm_worker));
}

/// All dispatches in flight time out at once (the router's own process was stopped, say), and so does the first probe.
#[test]
fn with_every_worker_an_outlier_probes_go_on() {
    let mut script = Script::new(1, PLAIN, 1);
    warm_up(&mut script, 0, 8);
    let tries: Vec<InvocationIndex> = (0..8)
        .map(|_| script.arrive(0, 0, 8, 2 * SECOND).0)
        .collect();
    script.pass(1_500 * MS);
    tries
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
    script.pass(600 * MS);
    assert!(script.is_in_flight(invocation));
    script.end(
        invocation,
        0,
        DispatchOutcome::TimedOut,
        CopyStatus::Unreported,
    );
    script.pass(500 * MS);
    let (_, now) = script.arrive(0, 0, 8, 2 * SECOND);
    let later = script.pass(SECOND);
    assert_eq!(sent(&now).len() + sent(&later).len(), 1);
}

/// catania-main-later, class_fail: a worker silent for one trigger type keeps serving the others.
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
    script.pass(2 * SECOND);
    script.end(
        invocation,
        0,
        DispatchOutcome::TimedOut,
        CopyStatus::Unreported,
    );
    script.end(other, 0, DispatchOutcome::TimedOut, CopyStatus::Unreported);
    let (_, actions) = script.arrive(2, 2, 4, 2 * SECOND);
    assert!(!sent(&actions).contains(&silent));
    // The other type goes by its own record there, whichever worker it is warm on.
    let (_, actions) = script.arrive(0, 0, 4, 2 * SECOND);
    assert_eq!(sent(&actions).len(), 1);
}

/// catania-main on sockets, long days: the index of a worker that has gone is given to a new one, which must
/// not inherit the old one's outcomes.
#[test]
fn a_new_worker_under_a_reused_index_starts_without_outcomes_or_copies() {
    let mut script = Script::new(21, PLAIN, 1);
    let warm_worker = warm_up(&mut script, 0, 2);
    // It was full with one, and broke another: it bears little, and is judged bad.
    for (trigger, outcome) in [
        (0, DispatchOutcome::Rejected),
        (2, DispatchOutcome::ConnectionLost),
    ] {
        let (invocation, _) = script.arrive(trigger, 0, 2, 2 * SECOND);
        script.pass(50 * MS);
        script.end(invocation, 0, outcome, CopyStatus::Unreported);
    }
    assert!(sent(&script.arrive(2, 0, 2, 2 * SECOND).1).is_empty());
    script.list(
        EndpointListKind::Changes,
        &[entry(warm_worker, EndpointState::Gone, None)],
    );
    script.pass(3 * SECOND);
    let new = Endpoint {
        fingerprint: 4711,
        ..entry(warm_worker, EndpointState::InService, None)
    };
    script.list(EndpointListKind::Changes, &[new]);
    let (invocation, actions) = script.arrive(2, 0, 2, 2 * SECOND);
    assert_eq!(sent(&actions), [warm_worker]);
    script.pass(600 * MS);
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
