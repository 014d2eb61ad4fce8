//! Guards against wrong results of the rule check: each rule must be reported as violated for a trace that violates it,
//! and only for such a trace.

use std::collections::HashMap;
use std::io::Cursor;

use cedarpulley::interface::*;
use cedarpulley_router::{AnswerReason, FinalOutcome};
use cedarpulley_trace::reader::{BlockRead, Reader};
use cedarpulley_trace::records::{Record, RecordedEvent};
use cedarpulley_trace::rule_check::{RuleCheck, RuleChecker};
use cedarpulley_trace::start::Source;

/// The result if no rule is violated.
const NO_RULE: [u8; 0] = [];
/// Microseconds in a millisecond.
const MILLISECOND: Micros = 1_000;
/// A trace in format 1.
const FORMAT_1_TRACE: &[u8] = include_bytes!("kept/format-1.trace");

/// A source with one trigger type of this effect.
fn source(effect: Effect) -> Source {
    let mut source = Reader::open(Cursor::new(FORMAT_1_TRACE))
        .expect("a trace")
        .sources
        .swap_remove(0);
    source.start.startup.triggers[0].effect = effect;
    source.start.startup.rules.drain_grace = 500 * MILLISECOND;
    (
        source.start.startup.loads.order_quota_window,
        source.start.startup.loads.order_quota_base,
        source.start.startup.loads.order_quota_per_invocation,
    ) = (1_000 * MILLISECOND, 2.0, 0.5);
    source
}

/// An event or action in the trace of a router. Numbers are indices of invocations, workers and dispatches.
enum RecordedStep {
    Arrives(u32),
    Dispatches(u32, u32),
    DispatchEnds(u32, u32, DispatchOutcome),
    Answered(u32, FinalOutcome),
    ClientLeaves(u32),
    WorkerDrains(u32),
    OrdersLoad,
}
use RecordedStep::*;

#[expect(
    clippy::too_many_lines,
    reason = "one scenario or table of cases in order"
)]
/// The records of a step.
fn records_of(step: &RecordedStep) -> Vec<Record> {
    let decided = |event, actions| {
        vec![Record::Decided {
            event: RecordedEvent::Other(event),
            actions,
        }]
    };
    let timer = Event::Timer { token: 1 };
    match *step {
        Arrives(invocation) => {
            let arrival = Arrival {
                invocation,
                trigger: 0,
                account: 0,
                function: 0,
                fingerprint: 0,
                cost_hint: None,
                load_hint: None,
                copy_mb: 1.0,
                lanes: 1,
                client_timeout_in: 2_000 * MILLISECOND,
                waited: 0,
                repeat: false,
                preferred_worker: None,
            };
            let accepted = Record::Accepted {
                invocation,
                front: 0,
                correlation_hash: Some(u64::from(invocation)),
                redelivered: false,
            };
            [vec![accepted], decided(Event::Invocation(arrival), vec![])].concat()
        }
        Dispatches(invocation, worker) => decided(
            timer,
            vec![Action::Dispatch {
                invocation,
                worker,
                timeout: None,
            }],
        ),
        DispatchEnds(invocation, dispatch, outcome) => {
            let (took, copy_status, report) =
                (MILLISECOND, CopyStatus::Unreported, LoadReport::default());
            let ended = DispatchEnded {
                invocation,
                dispatch,
                worker: 0,
                outcome,
                took,
                answered: false,
                copy_status,
                function_load: None,
                report,
            };
            decided(Event::DispatchEnded(ended), vec![])
        }
        Answered(invocation, outcome) => {
            let (reason, took) = (AnswerReason::GivenUp, MILLISECOND);
            vec![Record::Answered {
                invocation: Some(invocation),
                front: 0,
                outcome,
                reason,
                trigger: 0,
                account: 0,
                took,
            }]
        }
        ClientLeaves(invocation) => decided(Event::ClientLeft { invocation }, vec![]),
        WorkerDrains(worker) => {
            let endpoint = Endpoint {
                worker,
                fingerprint: 1,
                zone: worker,
                machine_kind: 0,
                cell: 0,
                state: EndpointState::Draining,
                weight: 1.0,
                started_at: None,
            };
            let event = RecordedEvent::List {
                kind: EndpointListKind::Changes,
                endpoints: vec![endpoint],
            };
            vec![Record::Decided {
                event,
                actions: vec![],
            }]
        }
        OrdersLoad => decided(
            timer,
            vec![Action::LoadOrder {
                worker: 0,
                function: 0,
                copies: 1,
            }],
        ),
    }
}

/// Checks the steps of each router, one router after the other. Steps have times in milliseconds.
fn check(effect: Effect, routers: &[&[(Micros, RecordedStep)]]) -> RuleCheck {
    let (source, mut checker, mut sources) =
        (source(effect), RuleChecker::default(), HashMap::new());
    for (n, steps) in routers.iter().enumerate() {
        sources.insert(n as u32, source.clone());
        for (at, step) in *steps {
            records_of(step)
                .iter()
                .for_each(|r| checker.record(n as u32, &source, at * MILLISECOND, r));
        }
    }
    checker.finish(&sources)
}

/// The numbers of the rules that the steps of one router violate.
fn violated_rules(effect: Effect, steps: &[(Micros, RecordedStep)]) -> Vec<u8> {
    check(effect, &[steps])
        .violations_by_rule
        .into_keys()
        .collect()
}

const NON_IDEMPOTENT: Effect = Effect::NonIdempotent;
const IDEMPOTENT: Effect = Effect::Idempotent;
const IDEMPOTENT_BY_KEY: Effect = Effect::IdempotentByKey {
    scope: DeduplicationScope::Zone,
    window: 1_000 * MILLISECOND,
};

#[test]
fn rule_1_one_answer_before_the_client_timeout() {
    let in_time = (900, Answered(1, FinalOutcome::Succeeded));
    assert_eq!(
        violated_rules(IDEMPOTENT, &[(0, Arrives(1)), in_time, (9_000, OrdersLoad)]),
        NO_RULE
    );
    assert_eq!(
        violated_rules(
            IDEMPOTENT,
            &[
                (0, Arrives(1)),
                (2_200, Answered(1, FinalOutcome::Succeeded))
            ]
        ),
        [1]
    );
    assert_eq!(
        violated_rules(IDEMPOTENT, &[(0, Arrives(1)), (2_200, OrdersLoad)]),
        [1],
        "never answered"
    );
    let truncated = check(IDEMPOTENT, &[&[(0, Arrives(1)), (1_000, OrdersLoad)]]);
    assert_eq!(
        (truncated.violations_by_rule.len(), truncated.unseen),
        (0, 1),
        "the trace ends before the deadline"
    );
    assert_eq!(
        violated_rules(
            IDEMPOTENT,
            &[(0, Arrives(1)), (9, ClientLeaves(1)), (5_000, OrdersLoad)]
        ),
        NO_RULE,
        "no answer is due after the client disconnected"
    );
    let dispatched_after_answer = [
        (0, Arrives(1)),
        (9, Answered(1, FinalOutcome::Succeeded)),
        (10, Dispatches(1, 0)),
        (11, DispatchEnds(1, 0, DispatchOutcome::ConnectionLost)),
    ];
    assert_eq!(violated_rules(IDEMPOTENT, &dispatched_after_answer), [1]);
    let not_sent = [
        (0, Arrives(1)),
        (9, Answered(1, FinalOutcome::Succeeded)),
        (10, Dispatches(1, 0)),
        (10, DispatchEnds(1, 0, DispatchOutcome::NotSent)),
    ];
    assert_eq!(
        violated_rules(IDEMPOTENT, &not_sent),
        NO_RULE,
        "the dispatch was not sent"
    );
}

#[test]
#[expect(
    clippy::too_many_lines,
    reason = "one scenario or table of cases in order"
)]
fn rule_2_non_idempotent_work_is_not_repeated() {
    let retried = |first: DispatchOutcome, effect| {
        let steps = [
            (0, Arrives(1)),
            (1, Dispatches(1, 0)),
            (20, DispatchEnds(1, 0, first)),
            (30, Dispatches(1, 0)),
            (40, DispatchEnds(1, 1, DispatchOutcome::Succeeded)),
            (40, Answered(1, FinalOutcome::Succeeded)),
        ];
        violated_rules(effect, &steps)
    };
    assert_eq!(
        retried(DispatchOutcome::Unreachable, NON_IDEMPOTENT),
        NO_RULE
    );
    assert_eq!(retried(DispatchOutcome::TimedOut, NON_IDEMPOTENT), [2]);
    assert_eq!(retried(DispatchOutcome::TimedOut, IDEMPOTENT), NO_RULE);
    assert_eq!(
        retried(DispatchOutcome::TimedOut, IDEMPOTENT_BY_KEY),
        NO_RULE
    );
    let throttled_after_dispatch = [
        (0, Arrives(1)),
        (1, Dispatches(1, 0)),
        (9, DispatchEnds(1, 0, DispatchOutcome::ConnectionLost)),
        (9, Answered(1, FinalOutcome::Throttled)),
    ];
    assert_eq!(
        (
            violated_rules(NON_IDEMPOTENT, &throttled_after_dispatch),
            violated_rules(IDEMPOTENT, &throttled_after_dispatch)
        ),
        (vec![2], vec![])
    );
    let concurrent = [
        (0, Arrives(1)),
        (1, Dispatches(1, 0)),
        (2, Dispatches(1, 1)),
        (9, DispatchEnds(1, 1, DispatchOutcome::Succeeded)),
        (9, Answered(1, FinalOutcome::Succeeded)),
    ];
    assert_eq!(
        violated_rules(IDEMPOTENT, &concurrent),
        [2],
        "hedged requests are not allowed"
    );
    // The correlation id shows that another router dispatched the same message, which may have been executed.
    let first: &[(Micros, RecordedStep)] = &[
        (0, Arrives(1)),
        (1, Dispatches(1, 0)),
        (20, DispatchEnds(1, 0, DispatchOutcome::ConnectionLost)),
        (20, ClientLeaves(1)),
    ];
    let second: &[(Micros, RecordedStep)] = &[
        (50, Arrives(1)),
        (51, Dispatches(1, 0)),
        (60, DispatchEnds(1, 0, DispatchOutcome::Succeeded)),
        (60, Answered(1, FinalOutcome::Succeeded)),
    ];
    assert_eq!(
        check(NON_IDEMPOTENT, &[first, second])
            .violations_by_rule
            .into_keys()
            .collect::<Vec<_>>(),
        [2]
    );
    assert!(
        check(IDEMPOTENT, &[first, second])
            .violations_by_rule
            .is_empty()
    );
}

#[test]
fn rule_2_retries_by_key_stay_within_scope_and_window() {
    let retried = |worker: u32, at: Micros| {
        let steps = [
            (0, WorkerDrains(0)),
            (0, WorkerDrains(1)),
            (0, Arrives(1)),
            (1, Dispatches(1, 0)),
            (20, DispatchEnds(1, 0, DispatchOutcome::TimedOut)),
            (at, Dispatches(1, worker)),
            (at + 1, DispatchEnds(1, 1, DispatchOutcome::Succeeded)),
            (at + 1, Answered(1, FinalOutcome::Succeeded)),
        ];
        violated_rules(IDEMPOTENT_BY_KEY, &steps)
    };
    assert_eq!((retried(0, 100), retried(1, 100)), (vec![], vec![2]));
    // The retry is after the deduplication window and after the drain grace; only the violation of rule 3 is reported.
    assert_eq!(retried(0, 1_100), [3]);
}

#[test]
fn rules_3_and_5_drain_grace_and_load_order_quota() {
    let dispatched_at = |at: Micros| {
        let dispatch = [
            (at, Dispatches(1, 0)),
            (at + 1, DispatchEnds(1, 0, DispatchOutcome::Succeeded)),
            (at + 1, Answered(1, FinalOutcome::Succeeded)),
        ];
        let steps: Vec<(Micros, RecordedStep)> = [(0, WorkerDrains(0)), (0, Arrives(1))]
            .into_iter()
            .chain(dispatch)
            .collect();
        violated_rules(IDEMPOTENT, &steps)
    };
    assert_eq!((dispatched_at(400), dispatched_at(600)), (vec![], vec![3]));
    let orders = |n: i64, interval: Micros| {
        let steps: Vec<(Micros, RecordedStep)> =
            (0..n).map(|k| (k * interval, OrdersLoad)).collect();
        violated_rules(IDEMPOTENT, &steps)
    };
    assert_eq!(
        (orders(2, 1), orders(3, 1), orders(9, 600)),
        (vec![], vec![5], vec![])
    );
}

#[test]
fn the_format_1_fixture_violates_no_rule() {
    let (mut reader, mut checker) = (
        Reader::open(Cursor::new(FORMAT_1_TRACE)).expect("a trace"),
        RuleChecker::default(),
    );
    let source = reader.sources[0].clone();
    while let Some(BlockRead::Block { records, .. }) = reader.next().expect("read") {
        records
            .iter()
            .for_each(|(at, record)| checker.record(0, &source, *at, record));
    }
    let result = checker.finish(&HashMap::from([(0, source)]));
    assert_eq!(
        (
            result.invocations,
            result.violations_by_rule.len(),
            result.unseen
        ),
        (16, 0, 0)
    );
}
