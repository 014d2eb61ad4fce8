//! Load shedding: invocations that are rejected while many answers are late. The test heads name the simulated site
//! and the scenario in which a failure was found.

use crate::helpers::{answer, sent, warm_up};
use crate::script::*;
use cedarpulley::interface::*;

/// Site kumamoto-office-later, scenario retry_abuse: while answers are late, invocations beyond their account's quota
/// must be rejected.
#[test]
fn over_quota_invocations_are_shed_while_answers_are_late() {
    let mut script = Script::new(16, PLAIN, 2);
    warm_up(&mut script, 0, 64);
    let burst = |script: &mut Script, took: Micros| {
        let (invocations, actions): (Vec<_>, Vec<_>) =
            (0..40).map(|_| script.arrive(0, 0, 64, 2 * SECOND)).unzip();
        script.advance(took);
        for invocation in invocations {
            if script.is_unanswered(invocation) && script.is_in_flight(invocation) {
                script.end(invocation, 0, DispatchOutcome::Succeeded, CopyStatus::Warm);
            }
        }
        script.advance(3 * SECOND);
        actions
            .concat()
            .iter()
            .filter(|a| matches!(a, Action::Reject { .. }))
            .count()
    };
    let bursts = [
        burst(&mut script, 20 * MS),
        burst(&mut script, 900 * MS),
        burst(&mut script, 20 * MS),
    ];
    assert!(bursts[0] == 0 && bursts[2] >= 10, "{bursts:?}");
}

/// Sends one invocation after the other, and ends each with success after the next of the given times.
fn run_sequentially(script: &mut Script, lanes: u32, times: &[Micros]) {
    for &time in times {
        let (invocation, _) = script.arrive(0, 0, lanes, 2 * SECOND);
        answer(script, invocation, time);
    }
}

/// Sends `count` invocations at once, and returns how many of them are rejected at once.
fn count_rejected(script: &mut Script, lanes: u32, count: usize) -> usize {
    let actions = (0..count).flat_map(|_| script.arrive(0, 0, lanes, 2 * SECOND).1);
    actions
        .filter(|a| matches!(a, Action::Reject { .. }))
        .count()
}

/// Site kumamoto-office-later, scenario crash+retry_abuse: half of the attempts were beyond their account's quota.
/// Every other one of them was dispatched, as the pressure oscillated around its threshold, while invocations within
/// the quota were answered late.
#[test]
fn over_quota_invocations_are_dispatched_only_while_pressure_is_below_their_value() {
    // The invocations arriving at once are 1.5 times the burst allowance, which is the quota of two seconds.
    let shed = |quota_per_s: f64, times: &[Micros]| {
        let mut script = Script::new(
            25,
            Site {
                quota_per_s,
                ..PLAIN
            },
            2,
        );
        warm_up(&mut script, 0, 64);
        run_sequentially(&mut script, 64, &[20 * MS; 4]);
        run_sequentially(&mut script, 64, times);
        count_rejected(&mut script, 64, 3 * quota_per_s as usize)
    };
    let some_late = [900 * MS, 900 * MS, 20 * MS, 20 * MS];
    assert_eq!(shed(200.0, &[20 * MS; 4]), 0);
    assert!(shed(200.0, &some_late) >= 150);
    // Simulated fleet, scenario calm: with a quota this small, the random distribution of clients over the routers
    // alone can exceed this router's part of it.
    assert_eq!(shed(10.0, &some_late), 0);
}

/// Sends 20 invocations at once, alternating between two client timeouts and trigger types, and returns how many of
/// each kind are rejected at once.
fn rejected_by_kind(
    script: &mut Script,
    client_timeouts: [Micros; 2],
    types: [u32; 2],
) -> [usize; 2] {
    let mut rejected = [0; 2];
    for n in (0..20).map(|n| n % 2) {
        let (_, actions) = script.arrive(types[n], 0, 64, client_timeouts[n]);
        rejected[n] += actions
            .iter()
            .filter(|a| matches!(a, Action::Reject { .. }))
            .count();
    }
    rejected
}

/// Simulated fleet, scenario calm: under pressure, the trigger type with a fifth of the value of the others was served
/// best of all (79 % of its invocations, 73 % and 72 % of the others).
#[test]
fn low_value_invocations_are_shed_while_answers_are_late() {
    let shed = |third_type_value: f64, late: Micros| {
        let mut script = Script::new(
            28,
            Site {
                quota_per_s: 1e6,
                third_type_value,
                ..PLAIN
            },
            2,
        );
        warm_up(&mut script, 0, 64);
        for time in [20 * MS, late].repeat(32) {
            let (invocation, _) = script.arrive(2, 0, 64, 2 * SECOND);
            answer(&mut script, invocation, time);
        }
        rejected_by_kind(&mut script, [2 * SECOND; 2], [0, 2])
    };
    assert_eq!(shed(9.0, 900 * MS), [10, 0]);
    assert_eq!(shed(9.0, 20 * MS), [0, 0]);
    // With equal values, no invocation is rejected.
    assert_eq!(shed(1.0, 900 * MS), [0, 0]);
}

/// Simulated fleet, scenario join: clients left after 0.2 to 0.4 s and retried. In the worst five seconds, two in
/// five dispatches ended after such a client had left.
#[test]
fn invocations_with_short_client_timeouts_are_shed_while_answers_are_late() {
    let shed = |late: Micros, answered: bool, heavy: Micros| {
        let mut script = Script::new(
            29,
            Site {
                quota_per_s: 1e6,
                ..PLAIN
            },
            2,
        );
        script.cost_hint = Some(heavy).filter(|&h| h > 0);
        warm_up(&mut script, 0, 64);
        for _ in 0..48 {
            let (invocation, _) = script.arrive(0, 0, 64, 700 * MS + heavy);
            script.advance(if answered { 20 * MS } else { 690 * MS + heavy });
            let outcome = if answered {
                DispatchOutcome::Succeeded
            } else {
                DispatchOutcome::TimedOut
            };
            script.end(invocation, 0, outcome, CopyStatus::Unreported);
            run_sequentially(&mut script, 64, &[20 * MS]);
        }
        run_sequentially(&mut script, 64, &[20 * MS, late + heavy].repeat(20));
        rejected_by_kind(&mut script, [700 * MS + heavy, 2 * SECOND], [0, 0])
    };
    assert_eq!(shed(900 * MS, false, 0), [10, 0]);
    assert_eq!(shed(900 * MS, true, 0), [0, 0]);
    assert_eq!(shed(20 * MS, false, 0), [0, 0]);
    // Heavy invocations have a later latency objective, and their clients still leave before it.
    assert_eq!(shed(900 * MS, false, 300 * MS), [10, 0]);
}

/// When all invocations were rejected under pressure, there were no answers that could have lowered the pressure.
#[test]
fn pressure_expires_after_the_idle_retention_time_without_answers() {
    let shed = |pause: Micros| {
        let mut script = Script::new(25, PLAIN, 2);
        warm_up(&mut script, 0, 64);
        run_sequentially(&mut script, 64, &[20 * MS; 4]);
        run_sequentially(&mut script, 64, &[900 * MS; 4]);
        script.advance(pause);
        count_rejected(&mut script, 64, 30)
    };
    assert!(shed(SECOND) >= 5);
    assert_eq!(shed(IDLE_RETENTION + SECOND), 0);
}

/// Site slot-service-later, scenario deploy+shift: while one in six answers was late, invocations that could only be
/// answered late, for a tenth of their value, stayed in the queue and made further answers late.
#[test]
fn queued_invocations_end_at_their_objective_under_pressure() {
    let ends_at_objective = |times: &[Micros]| {
        let mut script = Script::new(26, PLAIN, 1);
        warm_up(&mut script, 0, 1);
        run_sequentially(&mut script, 1, &[20 * MS; 4]);
        run_sequentially(&mut script, 1, times);
        let (_, actions) = script.arrive(0, 0, 1, 2 * SECOND);
        assert_eq!(sent(&actions).len(), 1);
        let (invocation, actions) = script.arrive(0, 0, 1, 2 * SECOND);
        assert!(sent(&actions).is_empty() && script.is_unanswered(invocation));
        script.advance(810 * MS);
        !script.is_unanswered(invocation)
    };
    assert!(!ends_at_objective(&[20 * MS; 4]));
    assert!(ends_at_objective(&[900 * MS, 900 * MS, 20 * MS, 20 * MS]));
}
