//! Guards against wrong causes in `trace explain`: each injected fault must be ranked as the right cause, and records
//! without a fault must give no cause.

use std::io::Cursor;

use cedarpulley::interface::*;
use cedarpulley_router::admission_control::RejectionReason;
use cedarpulley_router::{AnswerReason, FinalOutcome};
use cedarpulley_trace::explain::{Cause, CauseRanker, RankedCause};
use cedarpulley_trace::reader::Reader;
use cedarpulley_trace::records::{NameKind, Record, RecordedEvent};
use cedarpulley_trace::start::Source;

/// Microseconds in a millisecond.
const MILLISECOND: Micros = 1_000;

/// Passes constructed records of one router to a [`CauseRanker`].
struct Recording {
    source: Source,
    ranker: CauseRanker,
    now: Micros,
    /// Index of the last invocation.
    last_invocation: u32,
}

impl Recording {
    fn new() -> Recording {
        let kept = Cursor::new(include_bytes!("kept/format-1.trace"));
        let source = Reader::open(kept).expect("a trace").sources.swap_remove(0);
        let mut recording = Recording {
            source,
            ranker: CauseRanker::default(),
            now: 0,
            last_invocation: 0,
        };
        (0..4).for_each(|w| {
            recording.record(Record::Name {
                kind: NameKind::Worker,
                index: w,
                name: format!("w{w}"),
            })
        });
        (0..4).for_each(|f| {
            recording.record(Record::Name {
                kind: NameKind::Function,
                index: f,
                name: format!("f{f}"),
            })
        });
        recording
    }

    fn record(&mut self, record: Record) {
        self.ranker.record(
            0,
            &self.source,
            (Micros::MIN, Micros::MAX),
            self.now,
            &record,
        );
    }

    fn decided(&mut self, event: Event<'static>, actions: Vec<Action>) {
        self.record(Record::Decided {
            event: RecordedEvent::Other(event),
            actions,
        });
    }

    /// Records an arrival with the actions that `actions` returns for its index; returns the index.
    fn arrives(&mut self, function: u32, actions: impl FnOnce(u32) -> Vec<Action>) -> u32 {
        self.last_invocation += 1;
        let invocation = self.last_invocation;
        let arrival = Arrival {
            invocation,
            trigger: 0,
            account: 0,
            function,
            fingerprint: 0,
            cost_hint: None,
            load_hint: None,
            copy_mb: 1.0,
            lanes: 1,
            client_timeout_in: 4_000 * MILLISECOND,
            waited: 0,
            repeat: false,
            preferred_worker: None,
        };
        self.decided(Event::Invocation(arrival), actions(invocation));
        invocation
    }

    /// Records an invocation whose only dispatch ends after `took`. A success is answered before the balancer receives
    /// the end of the dispatch.
    fn executes(
        &mut self,
        function: u32,
        worker: u32,
        took: Micros,
        outcome: DispatchOutcome,
        copy_status: CopyStatus,
    ) {
        let invocation = self.arrives(function, |invocation| {
            vec![Action::Dispatch {
                invocation,
                worker,
                timeout: None,
            }]
        });
        self.now += took;
        let succeeded = outcome == DispatchOutcome::Succeeded;
        if succeeded {
            self.answered(
                invocation,
                FinalOutcome::Succeeded,
                AnswerReason::Worker,
                took,
            );
        }
        let ended = DispatchEnded {
            invocation,
            dispatch: 0,
            worker,
            outcome,
            took,
            answered: succeeded,
            copy_status,
            function_load: None,
            report: LoadReport::default(),
        };
        self.decided(Event::DispatchEnded(ended), vec![]);
        if !succeeded {
            self.answered(
                invocation,
                FinalOutcome::Errored,
                AnswerReason::GivenUp,
                took,
            );
        }
    }

    fn answered(
        &mut self,
        invocation: u32,
        outcome: FinalOutcome,
        reason: AnswerReason,
        took: Micros,
    ) {
        self.record(Record::Answered {
            invocation: Some(invocation),
            front: 0,
            outcome,
            reason,
            trigger: 0,
            account: 0,
            took,
        });
    }

    fn ranked(self) -> Vec<RankedCause> {
        self.ranker.ranked()
    }
}

#[test]
fn invocations_in_time_have_no_cause() {
    let mut recording = Recording::new();
    (0..50).for_each(|n| {
        recording.executes(
            n % 4,
            n % 4,
            60 * MILLISECOND,
            DispatchOutcome::Succeeded,
            CopyStatus::Warm,
        )
    });
    assert!(recording.ranked().is_empty());
}

#[test]
fn an_unresponsive_worker_ranks_first_and_a_slow_one_is_distinguished() {
    let mut recording = Recording::new();
    (0..40).for_each(|n| {
        recording.executes(
            0,
            n % 2,
            60 * MILLISECOND,
            DispatchOutcome::Succeeded,
            CopyStatus::Warm,
        )
    });
    (0..5).for_each(|_| {
        recording.executes(
            0,
            2,
            900 * MILLISECOND,
            DispatchOutcome::TimedOut,
            CopyStatus::Unreported,
        )
    });
    (0..3).for_each(|_| {
        recording.executes(
            0,
            3,
            900 * MILLISECOND,
            DispatchOutcome::Succeeded,
            CopyStatus::Warm,
        )
    });
    let ranked = recording.ranked();
    assert_eq!(
        (&ranked[0].cause, ranked[0].lost),
        (&Cause::WorkerUnresponsive("w2".into()), 5)
    );
    assert_eq!(
        (&ranked[1].cause, ranked[1].late),
        (&Cause::WorkerSlow("w3".into()), 3)
    );
    // A late answer earns a tenth of the billed value of 2.5.
    assert!(
        (ranked[0].cost - 12.5).abs() < 1e-9 && (ranked[1].cost - 6.75).abs() < 1e-9,
        "{ranked:?}"
    );
}

#[test]
fn a_slow_store_is_one_cause_for_many_functions() {
    let mut recording = Recording::new();
    recording.executes(
        3,
        0,
        900 * MILLISECOND,
        DispatchOutcome::Succeeded,
        CopyStatus::Warm,
    );
    for function in 0..3 {
        recording.executes(
            function,
            1,
            1_500 * MILLISECOND,
            DispatchOutcome::Succeeded,
            CopyStatus::LoadAwaited,
        );
        // Queued while a load was in flight, and throttled.
        let invocation = recording.arrives(function, |_| {
            vec![Action::LoadOrder {
                worker: 1,
                function,
                copies: 1,
            }]
        });
        recording.now += 900 * MILLISECOND;
        recording.answered(
            invocation,
            FinalOutcome::Throttled,
            AnswerReason::GivenUp,
            900 * MILLISECOND,
        );
    }
    let ranked = recording.ranked();
    assert_eq!(
        ranked[0].cause,
        Cause::ManyFunctionLoads("3 functions".into())
    );
    assert_eq!((ranked[0].lost, ranked[0].late), (3, 3));
}

#[test]
fn shares_queueing_and_load_capacity_are_distinct_causes() {
    let mut recording = Recording::new();
    (0..4).for_each(|_| {
        recording.record(Record::Rejected {
            front: 0,
            trigger: 0,
            account: 0,
            reason: RejectionReason::Account,
        })
    });
    recording.record(Record::Rejected {
        front: 0,
        trigger: 0,
        account: 0,
        reason: RejectionReason::Worth,
    });
    for _ in 0..3 {
        let invocation = recording.arrives(0, |_| vec![]);
        recording.now += 700 * MILLISECOND;
        recording.answered(
            invocation,
            FinalOutcome::Throttled,
            AnswerReason::GivenUp,
            700 * MILLISECOND,
        );
    }
    let result = LoadOrderResult::NoCapacity;
    recording.decided(
        Event::OrderEnded {
            worker: 0,
            function: 1,
            result,
            took: 1,
            copies: 0,
        },
        vec![],
    );
    let invocation = recording.arrives(1, |_| vec![]);
    recording.answered(
        invocation,
        FinalOutcome::Throttled,
        AnswerReason::GivenUp,
        0,
    );
    let causes: Vec<(Cause, u64)> = recording
        .ranked()
        .into_iter()
        .map(|r| (r.cause, r.lost))
        .collect();
    assert_eq!(causes[0], (Cause::ShareExceeded("amber".into()), 4));
    assert_eq!(causes[1], (Cause::Queued("quote".into()), 3));
    assert!(
        causes.contains(&(Cause::NoLoadCapacity("f1".into()), 1)),
        "{causes:?}"
    );
    assert!(
        causes.contains(&(Cause::AdmissionLimit("worth".into()), 1)),
        "{causes:?}"
    );
}

/// A query of the number of copies at another worker ends with the same event as a load order; it must not end the load
/// that is in flight.
#[test]
fn the_end_of_a_copy_count_query_does_not_end_a_load() {
    let mut recording = Recording::new();
    let invocation = recording.arrives(0, |_| {
        vec![Action::LoadOrder {
            worker: 1,
            function: 0,
            copies: 1,
        }]
    });
    let result = LoadOrderResult::Loaded;
    recording.decided(
        Event::OrderEnded {
            worker: 2,
            function: 0,
            result,
            took: 1,
            copies: 0,
        },
        vec![],
    );
    recording.now += 900 * MILLISECOND;
    let second = recording.arrives(0, |_| vec![]);
    recording.now += 900 * MILLISECOND;
    recording.answered(
        invocation,
        FinalOutcome::Throttled,
        AnswerReason::GivenUp,
        0,
    );
    recording.answered(second, FinalOutcome::Throttled, AnswerReason::GivenUp, 0);
    let ranked = recording.ranked();
    assert_eq!(
        (&ranked[0].cause, ranked[0].lost),
        (&Cause::FunctionLoad("f0".into()), 2)
    );
}
