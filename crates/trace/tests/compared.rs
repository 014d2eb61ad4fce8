//! What two modules decide about the same events, told apart by kind; rows that are decided anew.

mod small;

use std::io::Cursor;

use cedarpulley::interface::*;
use cedarpulley_trace::compare::{
    Comparison, ComparisonResult, Decision, DifferenceCount, DifferenceKind, kinds,
};
use cedarpulley_trace::reader::Reader;
use cedarpulley_trace::replay::{DecisionReader, ReplayStep, redo, replay, replay_steps};
use cedarpulley_trace::start::Provenance;
use small::written;

fn open(bytes: Vec<u8>) -> Reader<Cursor<Vec<u8>>> {
    Reader::open(Cursor::new(bytes)).expect("a trace")
}

fn with_this_build(bytes: Vec<u8>) -> ComparisonResult {
    let mut compare = Comparison::default();
    compare.begin_incarnation();
    let done = replay_steps(&mut [open(bytes)], |step| {
        if let ReplayStep::Decided {
            recorded, replayed, ..
        } = step
        {
            compare.decision(&recorded, &replayed);
        }
        Ok(true)
    });
    assert!(done.expect("driven").stopped.is_none());
    compare.finish()
}

fn elsewhere(n: u64, actions: &mut [Action]) {
    for action in actions.iter_mut().filter(|_| n == 4 || n == 8) {
        if let Action::Dispatch { worker, .. } = action {
            *worker = (*worker + 1) % 3;
        }
    }
}

#[test]
#[expect(
    clippy::too_many_lines,
    reason = "one scenario or table of cases, told in order"
)]
fn each_kind_of_difference_is_reported() {
    let send = |worker| Action::Dispatch {
        invocation: 1,
        worker,
        timeout: None,
    };
    let order = |worker, function| Action::LoadOrder {
        worker,
        function,
        copies: 1,
    };
    let throttle = Action::Reject {
        invocation: 1,
        retry_after: Some(5),
    };
    let timer = |token| Action::Timer { token, after: 9 };
    let cases: [(&[Action], &[Action], &[DifferenceKind]); 11] = [
        (&[send(1)], &[send(1)], &[]),
        (&[send(1)], &[send(2)], &[DifferenceKind::OtherWorker]),
        (
            &[send(1)],
            &[],
            &[DifferenceKind::OtherDecision(
                Decision::Dispatched,
                Decision::Queued,
            )],
        ),
        (
            &[],
            &[throttle],
            &[DifferenceKind::OtherDecision(
                Decision::Queued,
                Decision::Throttled,
            )],
        ),
        (
            &[throttle],
            &[Action::Reject {
                invocation: 1,
                retry_after: None,
            }],
            &[DifferenceKind::OtherParameters],
        ),
        (
            &[order(1, 0)],
            &[order(2, 0)],
            &[DifferenceKind::OtherLoadWorkers],
        ),
        (
            &[order(1, 0)],
            &[order(1, 0), order(2, 0)],
            &[DifferenceKind::MoreLoadOrders],
        ),
        (&[order(1, 0)], &[], &[DifferenceKind::FewerLoadOrders]),
        (&[timer(1)], &[timer(2)], &[DifferenceKind::Timers]),
        (
            &[Action::Probe { worker: 1 }],
            &[],
            &[DifferenceKind::Maintenance],
        ),
        // Called back and sent again is a sending.
        (
            &[
                Action::Cancel {
                    invocation: 1,
                    dispatch: 0,
                },
                send(1),
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
    for (one, other, wanted) in cases {
        assert_eq!(kinds(one, other), wanted, "{one:?} {other:?}");
    }
}

#[test]
fn the_first_difference_of_an_incarnation_is_counted_apart() {
    let same = with_this_build(written(5, |_, _| {}));
    assert_eq!((same.incarnations_differing, same.differing), (0, 0));
    assert_eq!(same.decisions, same.decisions_exact);
    let other = with_this_build(written(5, |n, actions| elsewhere(n, actions)));
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
    let changed = written(5, |n, actions| elsewhere(n, actions));
    let mut anew = Vec::new();
    redo(&mut [open(changed.clone())], &mut anew).expect("redone");
    assert_eq!(open(anew.clone()).sources[0].provenance, Provenance::Redone);
    assert!(
        replay(&mut [open(anew.clone())])
            .expect("replayed")
            .difference
            .is_none()
    );
    let (mut one, mut other) = (
        DecisionReader::new(open(changed)),
        DecisionReader::new(open(anew)),
    );
    let (mut decisions, mut differ) = (0, 0);
    while let Some((_, _, actions)) = one.next().expect("read") {
        let (.., redone) = other.next().expect("read").expect("as many");
        decisions += 1;
        differ += usize::from(!kinds(&actions, &redone).is_empty());
    }
    assert!(other.next().expect("read").is_none());
    assert_eq!((decisions, differ), (41, 2));
}
