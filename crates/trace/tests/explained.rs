//! Three injected faults, each ranked first among the causes, and no cause where there is no fault.

use std::io::Cursor;

use cedarpulley::interface::*;
use cedarpulley_router::admission_control::RejectionReason;
use cedarpulley_router::{AnswerReason, FinalOutcome};
use cedarpulley_trace::explain::{Cause, CauseRanker, RankedCause};
use cedarpulley_trace::reader::Reader;
use cedarpulley_trace::records::{NameKind, Record, RecordedEvent};
use cedarpulley_trace::start::Source;

const MS: Micros = 1_000;

struct Recording {
    source: Source,
    explain: CauseRanker,
    now: Micros,
    inv: u32,
}

impl Recording {
    fn new() -> Recording {
        let kept = Cursor::new(include_bytes!("kept/format-1.trace"));
        let source = Reader::open(kept).expect("a trace").sources.swap_remove(0);
        let mut t = Recording {
            source,
            explain: CauseRanker::default(),
            now: 0,
            inv: 0,
        };
        (0..4).for_each(|w| {
            t.record(Record::Name {
                kind: NameKind::Worker,
                index: w,
                name: format!("w{w}"),
            })
        });
        (0..4).for_each(|f| {
            t.record(Record::Name {
                kind: NameKind::Function,
                index: f,
                name: format!("f{f}"),
            })
        });
        t
    }

    fn record(&mut self, record: Record) {
        self.explain.record(
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

    fn arrives(&mut self, function: u32, actions: impl FnOnce(u32) -> Vec<Action>) -> u32 {
        self.inv += 1;
        let invocation = self.inv;
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
            client_timeout_in: 4_000 * MS,
            waited: 0,
            repeat: false,
            preferred_worker: None,
        };
        self.decided(Event::Invocation(arrival), actions(invocation));
        invocation
    }

    /// A dispatch and its end after `took`; a success is answered before the module hears of it.
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
        let good = outcome == DispatchOutcome::Succeeded;
        if good {
            self.answered(
                invocation,
                FinalOutcome::Succeeded,
                AnswerReason::Worker,
                took,
            );
        }
        let ending = DispatchEnded {
            invocation,
            dispatch: 0,
            worker,
            outcome,
            took,
            answered: good,
            copy_status,
            function_load: None,
            report: LoadReport::default(),
        };
        self.decided(Event::DispatchEnded(ending), vec![]);
        if !good {
            self.answered(
                invocation,
                FinalOutcome::Errored,
                AnswerReason::GivenUp,
                took,
            );
        }
    }

    fn answered(&mut self, inv: u32, outcome: FinalOutcome, reason: AnswerReason, took: Micros) {
        self.record(Record::Answered {
            invocation: Some(inv),
            front: 0,
            outcome,
            reason,
            trigger: 0,
            account: 0,
            took,
        });
    }

    fn ranked(self) -> Vec<RankedCause> {
        self.explain.ranked()
    }
}

#[test]
fn invocations_in_time_have_no_cause() {
    let mut t = Recording::new();
    (0..50).for_each(|n| {
        t.executes(
            n % 4,
            n % 4,
            60 * MS,
            DispatchOutcome::Succeeded,
            CopyStatus::Warm,
        )
    });
    assert!(t.ranked().is_empty());
}

#[test]
fn an_unresponsive_worker_ranks_first_and_a_slow_one_is_distinguished() {
    let mut t = Recording::new();
    (0..40).for_each(|n| {
        t.executes(
            0,
            n % 2,
            60 * MS,
            DispatchOutcome::Succeeded,
            CopyStatus::Warm,
        )
    });
    (0..5).for_each(|_| {
        t.executes(
            0,
            2,
            900 * MS,
            DispatchOutcome::TimedOut,
            CopyStatus::Unreported,
        )
    });
    (0..3).for_each(|_| t.executes(0, 3, 900 * MS, DispatchOutcome::Succeeded, CopyStatus::Warm));
    let ranked = t.ranked();
    assert_eq!(
        (&ranked[0].cause, ranked[0].lost),
        (&Cause::WorkerUnresponsive("w2".into()), 5)
    );
    assert_eq!(
        (&ranked[1].cause, ranked[1].late),
        (&Cause::WorkerSlow("w3".into()), 3)
    );
    // Of a billed value of 2.5 a late answer earns a tenth.
    assert!(
        (ranked[0].cost - 12.5).abs() < 1e-9 && (ranked[1].cost - 6.75).abs() < 1e-9,
        "{ranked:?}"
    );
}

#[test]
fn a_slow_store_is_one_cause_for_many_functions() {
    let mut t = Recording::new();
    t.executes(3, 0, 900 * MS, DispatchOutcome::Succeeded, CopyStatus::Warm);
    for function in 0..3 {
        t.executes(
            function,
            1,
            1_500 * MS,
            DispatchOutcome::Succeeded,
            CopyStatus::LoadAwaited,
        );
        // Held while its load was on order, and given up.
        let inv = t.arrives(function, |_| {
            vec![Action::LoadOrder {
                worker: 1,
                function,
                copies: 1,
            }]
        });
        t.now += 900 * MS;
        t.answered(
            inv,
            FinalOutcome::Throttled,
            AnswerReason::GivenUp,
            900 * MS,
        );
    }
    let ranked = t.ranked();
    assert_eq!(
        ranked[0].cause,
        Cause::ManyFunctionLoads("3 functions".into())
    );
    assert_eq!((ranked[0].lost, ranked[0].late), (3, 3));
}

#[test]
fn shares_queueing_and_load_capacity_are_distinct_causes() {
    let mut t = Recording::new();
    (0..4).for_each(|_| {
        t.record(Record::Rejected {
            front: 0,
            trigger: 0,
            account: 0,
            reason: RejectionReason::Account,
        })
    });
    t.record(Record::Rejected {
        front: 0,
        trigger: 0,
        account: 0,
        reason: RejectionReason::Worth,
    });
    for _ in 0..3 {
        let inv = t.arrives(0, |_| vec![]);
        t.now += 700 * MS;
        t.answered(
            inv,
            FinalOutcome::Throttled,
            AnswerReason::GivenUp,
            700 * MS,
        );
    }
    let result = LoadOrderResult::NoCapacity;
    t.decided(
        Event::OrderEnded {
            worker: 0,
            function: 1,
            result,
            took: 1,
            copies: 0,
        },
        vec![],
    );
    let inv = t.arrives(1, |_| vec![]);
    t.answered(inv, FinalOutcome::Throttled, AnswerReason::GivenUp, 0);
    let causes: Vec<(Cause, u64)> = t.ranked().into_iter().map(|r| (r.cause, r.lost)).collect();
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

/// A question for how many copies stand at another worker ends like an order; the load is still out.
#[test]
fn the_end_of_a_copy_count_query_ends_no_load() {
    let mut t = Recording::new();
    let inv = t.arrives(0, |_| {
        vec![Action::LoadOrder {
            worker: 1,
            function: 0,
            copies: 1,
        }]
    });
    let result = LoadOrderResult::Loaded;
    t.decided(
        Event::OrderEnded {
            worker: 2,
            function: 0,
            result,
            took: 1,
            copies: 0,
        },
        vec![],
    );
    t.now += 900 * MS;
    let second = t.arrives(0, |_| vec![]);
    t.now += 900 * MS;
    t.answered(inv, FinalOutcome::Throttled, AnswerReason::GivenUp, 0);
    t.answered(second, FinalOutcome::Throttled, AnswerReason::GivenUp, 0);
    let ranked = t.ranked();
    assert_eq!(
        (&ranked[0].cause, ranked[0].lost),
        (&Cause::FunctionLoad("f0".into()), 2)
    );
}
