//! Tests the comparison of decisions by kind of difference, and traces that are rewritten with the decisions of this
//! build.

mod sample_trace;

use std::io::Cursor;

use cedarpulley::interface::*;
use cedarpulley_trace::compare::{
    Comparison, ComparisonResult, Decision, DifferenceCount, DifferenceKind, differences,
};
use cedarpulley_trace::reader::Reader;
use cedarpulley_trace::replay::{DecisionReader, ReplayStep, redo, replay, replay_steps};
use cedarpulley_trace::start::Provenance;
use sample_trace::trace_file;

fn open(bytes: Vec<u8>) -> Reader<Cursor<Vec<u8>>> {
    Reader::open(Cursor::new(bytes)).expect("a trace")
}

/// Compares the recorded decisions with those of this build.
fn compare_with_this_build(bytes: Vec<u8>) -> ComparisonResult {
    let mut comparison = Comparison::default();
    comparison.begin_incarnation();
    let result = replay_steps(&mut [open(bytes)], |step| {
        if let ReplayStep::Decided {
            recorded, replayed, ..
        } = step
        {
            comparison.decision(&recorded, &replayed);
        }
        Ok(true)
    });
    assert!(result.expect("replayed").stopped.is_none());
    comparison.finish()
}

/// Changes the worker of the dispatches in decisions 4 and 8.
fn change_workers(n: u64, actions: &mut [Action]) {
    for action in actions.iter_mut().filter(|_| n == 4 || n == 8) {
        if let Action::Dispatch { worker, .. } = action {
            *worker = (*worker + 1) % 3;
        }
    }
}

#[test]
#[expect(
    clippy::too_many_lines,
    reason = "one scenario or table of cases in order"
)]
fn each_kind_of_difference_is_reported() {
    let dispatch = |worker| Action::Dispatch {
        invocation: 1,
        worker,
        timeout: None,
    };
    let load_order = |worker, function| Action::LoadOrder {
        worker,
        function,
        copies: 1,
    };
    let reject = Action::Reject {
        invocation: 1,
        retry_after: Some(5),
    };
    let timer = |token| Action::Timer { token, after: 9 };
    let cases: [(&[Action], &[Action], &[DifferenceKind]); 11] = [
        (&[dispatch(1)], &[dispatch(1)], &[]),
        (
            &[dispatch(1)],
            &[dispatch(2)],
            &[DifferenceKind::OtherWorker],
        ),
        (
            &[dispatch(1)],
            &[],
            &[DifferenceKind::OtherDecision(
                Decision::Dispatched,
                Decision::Queued,
            )],
        ),
        (
            &[],
            &[reject],
            &[DifferenceKind::OtherDecision(
                Decision::Queued,
                Decision::Throttled,
            )],
        ),
        (
            &[reject],
            &[Action::Reject {
                invocation: 1,
                retry_after: None,
            }],
            &[DifferenceKind::OtherParameters],
        ),
        (
            &[load_order(1, 0)],
            &[load_order(2, 0)],
            &[DifferenceKind::OtherLoadWorkers],
        ),
        (
            &[load_order(1, 0)],
            &[load_order(1, 0), load_order(2, 0)],
            &[DifferenceKind::MoreLoadOrders],
        ),
        (&[load_order(1, 0)], &[], &[DifferenceKind::FewerLoadOrders]),
        (&[timer(1)], &[timer(2)], &[DifferenceKind::Timers]),
        (
            &[Action::Probe { worker: 1 }],
            &[],
            &[DifferenceKind::Maintenance],
        ),
        // An invocation that is cancelled and dispatched again counts as dispatched.
        (
            &[
                Action::Cancel {
                    invocation: 1,
                    dispatch: 0,
                },
                dispatch(1),
            ],
            &[Action::Cancel {
                invocation: 1,
                dispatch: 0,
            }],
            &[DifferenceKind::OtherDecision(
                Decision::Dispatched,
                Decision::Cancelled,
            )],
        ),
    ];
    for (one, other, expected) in cases {
        assert_eq!(differences(one, other), expected, "{one:?} {other:?}");
    }
}

#[test]
fn the_first_difference_of_an_incarnation_is_counted_separately() {
    let same = compare_with_this_build(trace_file(5, |_, _| {}));
    assert_eq!((same.incarnations_differing, same.differing), (0, 0));
    assert_eq!(same.decisions, same.decisions_exact);
    let other = compare_with_this_build(trace_file(5, |n, actions| change_workers(n, actions)));
    assert_eq!(
        other.by_kind,
        [(
            DifferenceKind::OtherWorker,
            DifferenceCount { first: 1, later: 1 }
        )]
    );
    assert_eq!(
        (
            other.incarnations_differing,
            other.differing,
            other.decisions_exact
        ),
        (1, 2, 4)
    );
}

#[test]
fn a_redone_file_replays_without_difference_on_this_build() {
    let changed = trace_file(5, |n, actions| change_workers(n, actions));
    let mut redone = Vec::new();
    redo(&mut [open(changed.clone())], &mut redone).expect("redone");
    assert_eq!(
        open(redone.clone()).sources[0].provenance,
        Provenance::Redone
    );
    assert!(
        replay(&mut [open(redone.clone())])
            .expect("replayed")
            .difference
            .is_none()
    );
    let (mut one, mut other) = (
        DecisionReader::new(open(changed)),
        DecisionReader::new(open(redone)),
    );
    let (mut decisions, mut differing) = (0, 0);
    while let Some((_, _, actions)) = one.next().expect("read") {
        let (.., redone_actions) = other
            .next()
            .expect("read")
            .expect("the same number of decisions");
        decisions += 1;
        differing += usize::from(!differences(&actions, &redone_actions).is_empty());
    }
    assert!(other.next().expect("read").is_none());
    assert_eq!((decisions, differing), (41, 2));
}
