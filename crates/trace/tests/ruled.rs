//! Each rule seen to break in a trace that breaks it, and to hold in one that does not.

use std::collections::HashMap;
use std::io::Cursor;

use cedarpulley::interface::*;
use cedarpulley_router::{AnswerReason, FinalOutcome};
use cedarpulley_trace::reader::{BlockRead, Reader};
use cedarpulley_trace::records::{Record, RecordedEvent};
use cedarpulley_trace::rule_check::{RuleCheck, RuleChecker};
use cedarpulley_trace::start::Source;

/// No rule broken.
const NONE: [u8; 0] = [];
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

enum Told {
    Comes(u32),
    Sends(u32, u32),
    Ends(u32, u32, DispatchOutcome),
    Answers(u32, FinalOutcome),
    Leaves(u32),
    Drains(u32),
    Orders,
}
use Told::*;

fn record(told: &Told) -> Vec<Record> {
    let decided = |event, actions| {
        vec![Record::Decided {
            event: RecordedEvent::Other(event),
            actions,
        }]
    };
    let timer = Event::Timer { token: 1 };
    match *told {
        Comes(inv) => {
            let arrival = Arrival {
                invocation: inv,
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
                invocation: inv,
                front: 0,
                correlation_hash: Some(u64::from(inv)),
                redelivered: false,
            };
            [vec![taken], decided(Event::Invocation(arrival), vec![])].concat()
        }
        Sends(inv, worker) => decided(
            timer,
            vec![Action::Dispatch {
                invocation: inv,
                worker,
                timeout: None,
            }],
        ),
        Ends(inv, dispatch, outcome) => {
            let (took, note, report) = (MS, CopyStatus::Unreported, LoadReport::default());
            let ending = DispatchEnded {
                invocation: inv,
                dispatch,
                worker: 0,
                outcome,
                took,
                answered: false,
                copy_status: note,
                function_load: None,
                report,
            };
            decided(Event::DispatchEnded(ending), vec![])
        }
        Answers(inv, fate) => {
            let (reason, took) = (AnswerReason::GivenUp, MS);
            vec![Record::Answered {
                invocation: Some(inv),
                front: 0,
                outcome: fate,
                reason,
                trigger: 0,
                account: 0,
                took,
            }]
        }
        Leaves(inv) => decided(Event::ClientLeft { invocation: inv }, vec![]),
        Drains(worker) => {
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
        Orders => decided(
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
fn judged(effect: Effect, sides: &[&[(Micros, Told)]]) -> RuleCheck {
    let (of, mut rules, mut sources) = (source(effect), RuleChecker::default(), HashMap::new());
    for (n, told) in sides.iter().enumerate() {
        sources.insert(n as u32, of.clone());
        for (at, told) in *told {
            record(told)
                .iter()
                .for_each(|r| rules.record(n as u32, &of, at * MS, r));
        }
    }
    rules.finish(&sources)
}

fn broken(effect: Effect, told: &[(Micros, Told)]) -> Vec<u8> {
    judged(effect, &[told])
        .violations_by_rule
        .into_keys()
        .collect()
}

const ONCE: Effect = Effect::NonIdempotent;
const ANY: Effect = Effect::Idempotent;
const TOKEN: Effect = Effect::IdempotentByKey {
    scope: DeduplicationScope::Zone,
    window: 1_000 * MS,
};

#[test]
fn rule_1_one_answer_before_the_client_timeout() {
    let good = (900, Answers(1, FinalOutcome::Succeeded));
    assert_eq!(broken(ANY, &[(0, Comes(1)), good, (9_000, Orders)]), NONE);
    assert_eq!(
        broken(
            ANY,
            &[(0, Comes(1)), (2_200, Answers(1, FinalOutcome::Succeeded))]
        ),
        [1]
    );
    assert_eq!(
        broken(ANY, &[(0, Comes(1)), (2_200, Orders)]),
        [1],
        "never answered"
    );
    let cut = judged(ANY, &[&[(0, Comes(1)), (1_000, Orders)]]);
    assert_eq!(
        (cut.violations_by_rule.len(), cut.unseen),
        (0, 1),
        "its trace ends before"
    );
    assert_eq!(
        broken(ANY, &[(0, Comes(1)), (9, Leaves(1)), (5_000, Orders)]),
        NONE,
        "no answer is owed"
    );
    let after = [
        (0, Comes(1)),
        (9, Answers(1, FinalOutcome::Succeeded)),
        (10, Sends(1, 0)),
        (11, Ends(1, 0, DispatchOutcome::ConnectionLost)),
    ];
    assert_eq!(broken(ANY, &after), [1]);
    let unsent = [
        (0, Comes(1)),
        (9, Answers(1, FinalOutcome::Succeeded)),
        (10, Sends(1, 0)),
        (10, Ends(1, 0, DispatchOutcome::NotSent)),
    ];
    assert_eq!(broken(ANY, &unsent), NONE, "it never left");
}

#[test]
fn rule_2_non_idempotent_work_is_not_repeated() {
    let again = |first: DispatchOutcome, effect| {
        let told = [
            (0, Comes(1)),
            (1, Sends(1, 0)),
            (20, Ends(1, 0, first)),
            (30, Sends(1, 0)),
            (40, Ends(1, 1, DispatchOutcome::Succeeded)),
            (40, Answers(1, FinalOutcome::Succeeded)),
        ];
        broken(effect, &told)
    };
    assert_eq!(again(DispatchOutcome::Unreachable, ONCE), NONE);
    assert_eq!(again(DispatchOutcome::TimedOut, ONCE), [2]);
    assert_eq!(again(DispatchOutcome::TimedOut, ANY), NONE);
    assert_eq!(again(DispatchOutcome::TimedOut, TOKEN), NONE);
    let harmless = [
        (0, Comes(1)),
        (1, Sends(1, 0)),
        (9, Ends(1, 0, DispatchOutcome::ConnectionLost)),
        (9, Answers(1, FinalOutcome::Throttled)),
    ];
    assert_eq!(
        (broken(ONCE, &harmless), broken(ANY, &harmless)),
        (vec![2], vec![])
    );
    let two = [
        (0, Comes(1)),
        (1, Sends(1, 0)),
        (2, Sends(1, 1)),
        (9, Ends(1, 1, DispatchOutcome::Succeeded)),
        (9, Answers(1, FinalOutcome::Succeeded)),
    ];
    assert_eq!(broken(ANY, &two), [2], "second copies are forbidden");
    // By the mark of the message: another router may have run it.
    let first: &[(Micros, Told)] = &[
        (0, Comes(1)),
        (1, Sends(1, 0)),
        (20, Ends(1, 0, DispatchOutcome::ConnectionLost)),
        (20, Leaves(1)),
    ];
    let second: &[(Micros, Told)] = &[
        (50, Comes(1)),
        (51, Sends(1, 0)),
        (60, Ends(1, 0, DispatchOutcome::Succeeded)),
        (60, Answers(1, FinalOutcome::Succeeded)),
    ];
    assert_eq!(
        judged(ONCE, &[first, second])
            .violations_by_rule
            .into_keys()
            .collect::<Vec<_>>(),
        [2]
    );
    assert!(judged(ANY, &[first, second]).violations_by_rule.is_empty());
}

#[test]
fn rule_2_retries_by_key_stay_within_scope_and_window() {
    let repeat = |worker: u32, at: Micros| {
        let told = [
            (0, Drains(0)),
            (0, Drains(1)),
            (0, Comes(1)),
            (1, Sends(1, 0)),
            (20, Ends(1, 0, DispatchOutcome::TimedOut)),
            (at, Sends(1, worker)),
            (at + 1, Ends(1, 1, DispatchOutcome::Succeeded)),
            (at + 1, Answers(1, FinalOutcome::Succeeded)),
        ];
        broken(TOKEN, &told)
    };
    assert_eq!((repeat(0, 100), repeat(1, 100)), (vec![], vec![2]));
    // Past the window, and past the grace of a drain too: one break, the graver is told.
    assert_eq!(repeat(0, 1_100), [3]);
}

#[test]
fn rules_3_and_5_drain_grace_and_load_order_quota() {
    let sent = |at: Micros| {
        let ends = [
            (at, Sends(1, 0)),
            (at + 1, Ends(1, 0, DispatchOutcome::Succeeded)),
            (at + 1, Answers(1, FinalOutcome::Succeeded)),
        ];
        let told: Vec<(Micros, Told)> = [(0, Drains(0)), (0, Comes(1))]
            .into_iter()
            .chain(ends)
            .collect();
        broken(ANY, &told)
    };
    assert_eq!((sent(400), sent(600)), (vec![], vec![3]));
    let orders = |n: i64, apart: Micros| {
        let told: Vec<(Micros, Told)> = (0..n).map(|k| (k * apart, Orders)).collect();
        broken(ANY, &told)
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
    let judged = rules.finish(&HashMap::from([(0, of)]));
    assert_eq!(
        (
            judged.invocations,
            judged.violations_by_rule.len(),
            judged.unseen
        ),
        (16, 0, 0)
    );
}
