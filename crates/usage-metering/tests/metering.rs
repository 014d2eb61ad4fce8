//! What each dispatch and load order costs whom; sums that add up exactly; reports that merge in any order.

use std::sync::Arc;

use cedarpulley::interface::{CopyStatus, DispatchOutcome};
use cedarpulley_usage_metering::report::{SourceUsage, UsageReport};
use cedarpulley_usage_metering::usage::{
    MICROS_PER_HOUR, OTHER_FUNCTIONS, Usage, UsageByKey, UsageKey, UsageKind,
};
use cedarpulley_usage_metering::{DispatchUsage, LoadUsage, MemoryTotals, Meter, Readings};
use proptest::prelude::*;

const HELD: MemoryTotals = MemoryTotals {
    incarnation: 9,
    running: 700,
    loading: 0,
    idle: 300,
};

fn ended(
    outcome: DispatchOutcome,
    copy_status: CopyStatus,
    totals: Option<MemoryTotals>,
) -> DispatchUsage<'static> {
    let (worker, account, function) = (1, "amber", "f");
    let ended_at = 5 * MICROS_PER_HOUR + 1;
    DispatchUsage {
        ended_at,
        worker,
        account,
        function,
        outcome,
        copy_status,
        took: 50,
        copy_bytes: 100,
        lanes: 2,
        totals,
    }
}

/// What the meter measured: sums and readings together.
fn report_of(meter: &mut Meter) -> UsageReport {
    let part = meter.take_delta();
    assert!(meter.take_delta().is_empty());
    let measured = SourceUsage {
        number: 1,
        router: "r".into(),
        sums: part.sums,
    };
    UsageReport {
        by_source: [(1, measured)].into(),
        readings: part.readings,
    }
}

fn kinds(act: impl FnOnce(&mut Meter)) -> Vec<(UsageKind, u128)> {
    let mut meter = Meter::default();
    act(&mut meter);
    report_of(&mut meter)
        .sums()
        .0
        .iter()
        .map(|(k, s)| (k.kind, s.byte_us))
        .collect()
}

#[test]
fn reported_usage_counts_and_unreported_usage_is_uncertain() {
    let of = |outcome, note, held| kinds(|m| m.record_dispatch(ended(outcome, note, held)));
    let found = of(DispatchOutcome::Succeeded, CopyStatus::Warm, Some(HELD));
    assert_eq!(found, [(UsageKind::Running, 700), (UsageKind::Idle, 300)]);
    // An invocation that errored held what it held.
    assert_eq!(
        of(DispatchOutcome::Errored, CopyStatus::Warm, Some(HELD)),
        found
    );
    // A load that another began: shown, and not charged again.
    let waited = [
        (UsageKind::Running, 700),
        (UsageKind::Idle, 300),
        (UsageKind::Shared, 0),
    ];
    assert_eq!(
        of(
            DispatchOutcome::Succeeded,
            CopyStatus::LoadAwaited,
            Some(HELD)
        ),
        waited
    );
    // A repeat that the worker dropped.
    let repeat = Some(MemoryTotals {
        incarnation: 9,
        ..MemoryTotals::default()
    });
    assert_eq!(
        of(DispatchOutcome::Succeeded, CopyStatus::Unreported, repeat),
        [(UsageKind::Nothing, 0)]
    );
    for silent in [
        DispatchOutcome::TimedOut,
        DispatchOutcome::ConnectionLost,
        DispatchOutcome::Cancelled,
    ] {
        assert_eq!(
            of(silent, CopyStatus::Unreported, None),
            [(UsageKind::Uncertain, 50 * 100 / 2)]
        );
    }
    for never in [
        DispatchOutcome::Rejected,
        DispatchOutcome::Unreachable,
        DispatchOutcome::NotSent,
        DispatchOutcome::NotLoaded,
    ] {
        assert_eq!(
            of(never, CopyStatus::Unreported, None),
            [(UsageKind::Nothing, 0)]
        );
    }
}

#[test]
fn a_load_is_charged_once_to_who_caused_it() {
    let load = |not_started, totals| {
        let (worker, account, function) = (1, "birch", "f");
        let load = LoadUsage {
            ended_at: 1,
            worker,
            account,
            function,
            took: 9,
            copy_bytes: 10,
            not_started,
            totals,
        };
        kinds(|m| m.record_load(load))
    };
    let totals = MemoryTotals {
        incarnation: 9,
        loading: 80,
        ..MemoryTotals::default()
    };
    assert_eq!(load(true, Some(totals)), [(UsageKind::Loading, 80)]);
    assert_eq!(load(true, None), []);
    assert_eq!(load(false, None), [(UsageKind::Uncertain, 90)]);
}

/// Symptom: a response is lost, or the router that received it killed; the next one has the whole total, whichever router
/// receives it.
#[test]
fn a_lost_response_is_covered_by_the_next_and_two_routers_count_it_once() {
    let told = |running| {
        Some(MemoryTotals {
            running,
            idle: 0,
            ..HELD
        })
    };
    let answer = |running| ended(DispatchOutcome::Succeeded, CopyStatus::Warm, told(running));
    let (mut one, mut other) = (Meter::default(), Meter::default());
    one.record_dispatch(answer(700));
    // The answer that told 1,400 never arrived.
    other.record_dispatch(answer(2_100));
    one.record_dispatch(answer(1_500));
    let mut book = report_of(&mut one);
    let mut theirs = report_of(&mut other);
    theirs.by_source = theirs.by_source.into_values().map(|m| (2, m)).collect();
    book.merge(theirs.clone());
    book.merge(theirs);
    assert_eq!(
        book.sums().group_by(|k| k.kind)[&UsageKind::Running],
        Usage {
            byte_us: 2_100,
            count: 3
        }
    );
}

#[test]
fn a_reading_of_a_later_hour_counts_only_its_increase() {
    let mut meter = Meter::default();
    for (hour, running) in [(5, 700), (7, 1_000), (7, 1_100), (8, 1_100)] {
        let told = Some(MemoryTotals {
            running,
            idle: 0,
            ..HELD
        });
        meter.record_dispatch(DispatchUsage {
            ended_at: hour * MICROS_PER_HOUR,
            ..ended(DispatchOutcome::Succeeded, CopyStatus::Warm, told)
        });
    }
    let by: Vec<_> = report_of(&mut meter)
        .sums()
        .group_by(|k| k.hour)
        .into_iter()
        .map(|(h, s)| (h, s.byte_us))
        .collect();
    assert_eq!(by, [(5, 700), (7, 400), (8, 0)]);
}

#[test]
fn uncertain_usage_is_settled_by_the_same_incarnation_only() {
    let silent = ended(DispatchOutcome::TimedOut, CopyStatus::Unreported, None);
    let heard = |incarnation| {
        ended(
            DispatchOutcome::Succeeded,
            CopyStatus::Warm,
            Some(MemoryTotals {
                incarnation,
                ..HELD
            }),
        )
    };
    let uncertain = |events: &[DispatchUsage<'static>]| {
        let mut meter = Meter::default();
        events.iter().for_each(|e| meter.record_dispatch(*e));
        report_of(&mut meter)
            .sums()
            .group_by(|k| k.kind)
            .get(&UsageKind::Uncertain)
            .map(|s| (s.byte_us, s.count))
    };
    assert_eq!(uncertain(&[heard(9), silent, silent]), Some((5_000, 2)));
    assert_eq!(
        uncertain(&[heard(9), silent, silent, heard(9)]),
        Some((0, 0))
    );
    // A worker that restarted took with it what it had not told.
    assert_eq!(uncertain(&[heard(9), silent, heard(10)]), Some((2_500, 1)));
    assert_eq!(
        uncertain(&[silent, heard(9)]),
        Some((2_500, 1)),
        "of which life it was is not known"
    );
    // In another function's line nothing is settled.
    let other = DispatchUsage {
        function: "g",
        ..heard(9)
    };
    assert_eq!(uncertain(&[heard(9), silent, other]), Some((2_500, 1)));
}

fn sums() -> impl Strategy<Value = UsageByKey> {
    let key = (0..3u32, 0..3usize, 0..3usize, 0..7usize);
    proptest::collection::vec((key, any::<u64>(), 0..9u64), 0..20).prop_map(|all| {
        let mut sums = UsageByKey::default();
        for ((hour, account, function, kind), byte_us, count) in all {
            let name = |n: usize| Arc::from(["a", "b", "c"][n]);
            let key = UsageKey {
                hour,
                account: name(account),
                function: name(function),
                kind: UsageKind::ALL[kind],
            };
            sums.add(
                key,
                Usage {
                    byte_us: byte_us.into(),
                    count,
                },
            );
        }
        sums
    })
}

proptest! {
    #[test]
    fn parts_add_up_exactly(some in sums(), others in sums()) {
        let mut all = some.clone();
        all.add_all(&others);
        let mut total = some.total();
        total.add(others.total());
        prop_assert_eq!(all.total(), total);
        let parts = all.group_by(|k| (k.account.clone(), k.kind));
        let mut sum = Usage::default();
        parts.values().for_each(|s| sum.add(*s));
        prop_assert_eq!(sum, total);
    }

    #[test]
    fn reports_merge_in_any_order_and_twice(states in proptest::collection::vec((0..4u128, 0..5u64, sums()), 0..12)) {
        // Of one source a number stands for one state.
        let mut seen = std::collections::HashMap::new();
        let books: Vec<UsageReport> = states
            .into_iter()
            .map(|(source, number, sums)| {
                let sums = seen.entry((source, number)).or_insert(sums).clone();
                let router = format!("r{source}");
                let mut readings = Readings::default();
                for (key, sum) in &sums.0 {
                    readings.record(number, key.clone(), sum.byte_us);
                }
                UsageReport { by_source: [(source, SourceUsage { number, router, sums })].into(), readings }
            })
            .collect();
        let mut forth = UsageReport::default();
        books.iter().cloned().for_each(|b| forth.merge(b));
        let mut back = UsageReport::default();
        books.iter().rev().chain(&books).cloned().for_each(|b| back.merge(b));
        prop_assert_eq!(&forth, &back);
    }
}

/// Symptom: the disk fails for days, and each part that comes back is kept on top of the others.
#[test]
fn restored_readings_are_bounded_and_dropped_ones_counted() {
    let (mut meter, mut tried) = (Meter::default(), 0);
    for round in 0..3u64 {
        let part = meter.take_delta();
        for n in 0..60_000u64 {
            let name = format!("f{round}-{n}");
            let e = ended(
                DispatchOutcome::Succeeded,
                CopyStatus::Warm,
                Some(MemoryTotals { idle: 0, ..HELD }),
            );
            meter.record_dispatch(DispatchUsage {
                function: &name,
                ..e
            });
            tried += 1;
        }
        meter.restore(&part);
    }
    let left_out = meter.dropped_readings;
    let book = report_of(&mut meter);
    assert!(
        book.readings.0.len() <= 100_000,
        "{}",
        book.readings.0.len()
    );
    assert_eq!(book.readings.0.len() as u64 + left_out, tried);
}

#[test]
fn too_many_functions_lose_only_their_names() {
    let mut sums = UsageByKey::default();
    for n in 0..100_010u64 {
        let key = UsageKey {
            hour: 1,
            account: "a".into(),
            function: format!("f{n}").into(),
            kind: UsageKind::Idle,
        };
        sums.add(
            key,
            Usage {
                byte_us: n.into(),
                count: 1,
            },
        );
    }
    assert_eq!(
        sums.total(),
        Usage {
            byte_us: 100_010 * 100_009 / 2,
            count: 100_010
        }
    );
    assert_eq!(
        sums.group_by(|k| k.function.clone())[OTHER_FUNCTIONS].count,
        10
    );
}
