//! Each rule is reported as violated for a trace that violates it, and as kept for one that does not.

use std::collections::HashMap;
use std::io::Cursor;

use cedarpulley::interface::*;
use cedarpulley_router::{AnswerReason, FinalOutcome};
use cedarpulley_trace::reader::{BlockRead, Reader};
use cedarpulley_trace::records::{Record, RecordedEvent};
use cedarpulley_trace::rule_check::{RuleCheck, RuleChecker};
use cedarpulley_trace::start::Source;

/// No rule broken.
const NO_RULE: [u8; 0] = [];
const MS: Micros = 1_000;
const KEPT: &[u8] = include_bytes!("kept/format-1.trace");

fn source(effect: Effect) -> Source {
    let mut s = Reader::open(Cursor::new(KEPT))
        .expect("a trace")
        .sources
        .swap_remove(0);
    s.start.startup.triggers[0].effect = effect;
    s.start.startup.rules.drain_grace = 500 * MS;
    (
        s.start.startup.loads.order_quota_window,
        s.start.startup.loads.order_quota_base,
        s.start.startup.loads.order_quota_per_invocation,
    ) = (1_000 * MS, 2.0, 0.5);
    s
}

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
    reason = "one scenario or table of cases, told in order"
)]
fn record(step: &RecordedStep) -> Vec<Record> {
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
                client_timeout_in: 2_000 * MS,
                waited: 0,
                repeat: false,
                preferred_worker: None,
            };
            let taken = Record::Accepted {
                invocation,
                front: 0,
                correlation_hash: Some(u64::from(invocation)),
                redelivered: false,
            };
            [vec![taken], decided(Event::Invocation(arrival), vec![])].concat()
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
            let (took, copy_status, report) = (MS, CopyStatus::Unreported, LoadReport::default());
            let ending = DispatchEnded {
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
            decided(Event::DispatchEnded(ending), vec![])
        }
        Answered(invocation, fate) => {
            let (reason, took) = (AnswerReason::GivenUp, MS);
            vec![Record::Answered {
                invocation: Some(invocation),
                front: 0,
                outcome: fate,
                reason,
                trigger: 0,
                account: 0,
                took,
            }]
        }
        ClientLeaves(invocation) => decided(Event::ClientLeft { invocation }, vec![]),
        WorkerDrains(worker) => {
            let entry = Endpoint {
                worker,
                fingerprint: 1,
                zone: worker,
                machine_kind: 0,
                cell: 0,
                state: EndpointState::Draining,
                weight: 1.0,
                started_at: None,
            };
            let happened = RecordedEvent::List {
                kind: EndpointListKind::Changes,
                endpoints: vec![entry],
            };
            vec![Record::Decided {
                event: happened,
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

/// Of one router, or of two that saw it one after the other.
fn checked(effect: Effect, routers: &[&[(Micros, RecordedStep)]]) -> RuleCheck {
    let (of, mut rules, mut sources) = (source(effect), RuleChecker::default(), HashMap::new());
    for (n, steps) in routers.iter().enumerate() {
        sources.insert(n as u32, of.clone());
        for (at, step) in *steps {
            record(step)
                .iter()
                .for_each(|r| rules.record(n as u32, &of, at * MS, r));
        }
    }
    rules.finish(&sources)
}

fn violated_rules(effect: Effect, steps: &[(Micros, RecordedStep)]) -> Vec<u8> {
    checked(effect, &[steps])
        .violations_by_rule
        .into_keys()
        .collect()
}

const NON_IDEMPOTENT: Effect = Effect::NonIdempotent;
const IDEMPOTENT: Effect = Effect::Idempotent;
const BY_KEY: Effect = Effect::IdempotentByKey {
    scope: DeduplicationScope::Zone,
    window: 1_000 * MS,
};

#[test]
fn rule_1_one_answer_before_the_client_timeout() {
    let good = (900, Answered(1, FinalOutcome::Succeeded));
    assert_eq!(
        violated_rules(IDEMPOTENT, &[(0, Arrives(1)), good, (9_000, OrdersLoad)]),
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
    let cut = checked(IDEMPOTENT, &[&[(0, Arrives(1)), (1_000, OrdersLoad)]]);
    assert_eq!(
        (cut.violations_by_rule.len(), cut.unseen),
        (0, 1),
        "its trace ends before"
    );
    assert_eq!(
        violated_rules(
            IDEMPOTENT,
            &[(0, Arrives(1)), (9, ClientLeaves(1)), (5_000, OrdersLoad)]
        ),
        NO_RULE,
        "no answer is owed"
    );
    let after = [
        (0, Arrives(1)),
        (9, Answered(1, FinalOutcome::Succeeded)),
        (10, Dispatches(1, 0)),
        (11, DispatchEnds(1, 0, DispatchOutcome::ConnectionLost)),
    ];
    assert_eq!(violated_rules(IDEMPOTENT, &after), [1]);
    let unsent = [
        (0, Arrives(1)),
        (9, Answered(1, FinalOutcome::Succeeded)),
        (10, Dispatches(1, 0)),
        (10, DispatchEnds(1, 0, DispatchOutcome::NotSent)),
    ];
    assert_eq!(
        violated_rules(IDEMPOTENT, &unsent),
        NO_RULE,
        "it never left"
    );
}

#[test]
#[expect(
    clippy::too_many_lines,
    reason = "one scenario or table of cases, told in order"
)]
fn rule_2_non_idempotent_work_is_not_repeated() {
    let again = |first: DispatchOutcome, effect| {
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
    assert_eq!(again(DispatchOutcome::Unreachable, NON_IDEMPOTENT), NO_RULE);
    assert_eq!(again(DispatchOutcome::TimedOut, NON_IDEMPOTENT), [2]);
    assert_eq!(again(DispatchOutcome::TimedOut, IDEMPOTENT), NO_RULE);
    assert_eq!(again(DispatchOutcome::TimedOut, BY_KEY), NO_RULE);
    let harmless = [
        (0, Arrives(1)),
        (1, Dispatches(1, 0)),
        (9, DispatchEnds(1, 0, DispatchOutcome::ConnectionLost)),
        (9, Answered(1, FinalOutcome::Throttled)),
    ];
    assert_eq!(
        (
            violated_rules(NON_IDEMPOTENT, &harmless),
            violated_rules(IDEMPOTENT, &harmless)
        ),
        (vec![2], vec![])
    );
    let two = [
        (0, Arrives(1)),
        (1, Dispatches(1, 0)),
        (2, Dispatches(1, 1)),
        (9, DispatchEnds(1, 1, DispatchOutcome::Succeeded)),
        (9, Answered(1, FinalOutcome::Succeeded)),
    ];
    assert_eq!(
        violated_rules(IDEMPOTENT, &two),
        [2],
        "second copies are forbidden"
    );
    // By the mark of the message: another router may have run it.
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
        checked(NON_IDEMPOTENT, &[first, second])
            .violations_by_rule
            .into_keys()
            .collect::<Vec<_>>(),
        [2]
    );
    assert!(
        checked(IDEMPOTENT, &[first, second])
            .violations_by_rule
            .is_empty()
    );
}

#[test]
fn rule_2_retries_by_key_stay_within_scope_and_window() {
    let repeat = |worker: u32, at: Micros| {
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
        violated_rules(BY_KEY, &steps)
    };
    assert_eq!((repeat(0, 100), repeat(1, 100)), (vec![], vec![2]));
    // Past the window, and past the grace of a drain too: one violation, the graver is reported.
    assert_eq!(repeat(0, 1_100), [3]);
}

#[test]
fn rules_3_and_5_drain_grace_and_load_order_quota() {
    let sent = |at: Micros| {
        let ends = [
            (at, Dispatches(1, 0)),
            (at + 1, DispatchEnds(1, 0, DispatchOutcome::Succeeded)),
            (at + 1, Answered(1, FinalOutcome::Succeeded)),
        ];
        let steps: Vec<(Micros, RecordedStep)> = [(0, WorkerDrains(0)), (0, Arrives(1))]
            .into_iter()
            .chain(ends)
            .collect();
        violated_rules(IDEMPOTENT, &steps)
    };
    assert_eq!((sent(400), sent(600)), (vec![], vec![3]));
    let orders = |n: i64, apart: Micros| {
        let steps: Vec<(Micros, RecordedStep)> = (0..n).map(|k| (k * apart, OrdersLoad)).collect();
        violated_rules(IDEMPOTENT, &steps)
    };
    assert_eq!(
        (orders(2, 1), orders(3, 1), orders(9, 600)),
        (vec![], vec![5], vec![])
    );
}

#[test]
fn the_format_1_fixture_violates_no_rule() {
    let (mut r, mut rules) = (
        Reader::open(Cursor::new(KEPT)).expect("a trace"),
        RuleChecker::default(),
    );
    let of = r.sources[0].clone();
    while let Some(BlockRead::Block { records, .. }) = r.next().expect("read") {
        records
            .iter()
            .for_each(|(at, x)| rules.record(0, &of, *at, x));
    }
    let checked = rules.finish(&HashMap::from([(0, of)]));
    assert_eq!(
        (
            checked.invocations,
            checked.violations_by_rule.len(),
            checked.unseen
        ),
        (16, 0, 0)
    );
}
