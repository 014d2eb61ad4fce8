//! Dispatches and load orders for which this router has no connection: no descriptor is left, or the limit on connections
//! is reached. They end in the same step that gives them.

use crate::helpers::{LOADS_ONLY_ON_ORDER, answer, ordered, sent, warm_up};
use crate::script::*;
use cedarpulley::interface::*;

/// Longest wait for the next tick while invocations are queued.
const TICK: Micros = 10 * MS;

/// The router stood still: a load order that could not be sent was given again in the same step, 445,044 times in one turn
/// of the core loop.
#[test]
fn a_load_order_that_was_not_sent_is_given_again_at_the_next_tick() {
    let mut script = Script::new(41, LOADS_ONLY_ON_ORDER, 2);
    let (invocation, actions) = script.arrive(0, 0, 1, 2 * SECOND);
    let worker = ordered(&actions)[0];
    for _ in 0..20 {
        let actions = script.end_order(worker, 0, LoadOrderResult::NotSent, 0);
        assert!(ordered(&actions).is_empty(), "given again in the same step");
        // It tells nothing about the worker, so the same one is chosen.
        assert_eq!(ordered(&script.advance(TICK)), [worker]);
    }
    script.advance(400 * MS);
    let actions = script.end_order(worker, 0, LoadOrderResult::Loaded, 400 * MS);
    assert_eq!(sent(&actions), [worker]);
    answer(&mut script, invocation, 50 * MS);
}

/// A quota of load orders that orders used up without being sent would prevent loads after the shortage.
#[test]
fn a_load_order_that_was_not_sent_uses_no_quota() {
    let site = Site {
        order_quota: true,
        ..LOADS_ONLY_ON_ORDER
    };
    let mut script = Script::new(42, site, 1);
    let (_, actions) = script.arrive(0, 0, 1, 2 * SECOND);
    assert_eq!(ordered(&actions), [0]);
    for _ in 0..20 {
        script.end_order(0, 0, LoadOrderResult::NotSent, 0);
        assert_eq!(ordered(&script.advance(TICK)), [0]);
    }
}

/// An invocation was dispatched five times in the same step, each time without a connection, and then rejected although
/// it had seconds left.
#[test]
fn an_invocation_without_a_connection_waits_for_one() {
    let mut script = Script::new(43, PLAIN, 2);
    let worker = warm_up(&mut script, 0, 1);
    let (invocation, actions) = script.arrive(0, 0, 1, 2 * SECOND);
    assert_eq!(sent(&actions), [worker]);
    let mut number = 0;
    for _ in 0..8 {
        let actions = script.end(
            invocation,
            number,
            DispatchOutcome::NoConnection,
            CopyStatus::Unreported,
        );
        assert!(
            sent(&actions).is_empty(),
            "dispatched again in the same step"
        );
        let (mut waited, mut dispatched) = (0, Vec::new());
        while dispatched.is_empty() {
            waited += TICK;
            dispatched = sent(&script.advance(TICK));
        }
        number += 1;
        assert_eq!(
            (dispatched, waited),
            (vec![worker], Micros::from(number) * TICK)
        );
    }
    script.advance(50 * MS);
    script.end(
        invocation,
        number,
        DispatchOutcome::Succeeded,
        CopyStatus::Warm,
    );
    assert!(!script.is_unanswered(invocation));
}

/// A dispatch that was to load a copy, and found no connection, must not leave the copy as loaded: the next attempt would get
/// too short a timeout for the load.
#[test]
fn a_load_by_dispatch_without_a_connection_leaves_no_copy() {
    let timeout_of = |actions: &[Action]| {
        actions.iter().find_map(|action| match action {
            Action::Dispatch { timeout, .. } => Some(*timeout),
            _ => None,
        })
    };
    let mut script = Script::new(45, PLAIN, 2);
    let (invocation, actions) = script.arrive(0, 0, 1, 60 * SECOND);
    let with_load = timeout_of(&actions).expect("a dispatch");
    assert!(with_load.is_some());
    script.end(
        invocation,
        0,
        DispatchOutcome::NoConnection,
        CopyStatus::Unreported,
    );
    let actions = script.advance(TICK);
    assert_eq!(timeout_of(&actions), Some(with_load));
}

/// A shortage that lasts takes few dispatches, and each invocation gets its answer in time (the script checks that).
#[test]
fn a_lasting_shortage_takes_few_dispatches() {
    let mut script = Script::new(44, PLAIN, 2);
    warm_up(&mut script, 0, 1);
    let (invocation, mut actions) = script.arrive(0, 0, 1, 2 * SECOND);
    let mut dispatches = 0;
    for _ in 0..300 {
        if !sent(&actions).is_empty() {
            script.end(
                invocation,
                dispatches,
                DispatchOutcome::NoConnection,
                CopyStatus::Unreported,
            );
            dispatches += 1;
        }
        actions = script.advance(TICK);
    }
    assert!(!script.is_unanswered(invocation));
    assert!(
        (5..=20).contains(&dispatches),
        "{dispatches} dispatches in two seconds"
    );
}
