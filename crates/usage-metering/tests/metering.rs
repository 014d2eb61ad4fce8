//! Charges for dispatches and load orders, exact sums, and merging of reports. Guards against usage that is charged
//! twice, to the wrong account or not at all, and against reports that depend on the order of merging.

use std::sync::Arc;

use cedarpulley::interface::{CopyStatus, DispatchOutcome};
use cedarpulley_usage_metering::report::{SourceUsage, UsageReport};
use cedarpulley_usage_metering::usage::{
    MICROS_PER_HOUR, OTHER_FUNCTIONS, Usage, UsageByKey, UsageKey, UsageKind,
};
use cedarpulley_usage_metering::{DispatchUsage, LoadUsage, MemoryTotals, Meter, Readings};
use proptest::prelude::*;

/// Totals that a worker reports.
const REPORTED: MemoryTotals = MemoryTotals {
    incarnation: 9,
    running: 700,
    loading: 0,
    idle: 300,
};

/// A dispatch that has ended.
fn dispatch_usage(
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
        duration: 50,
        copy_bytes: 100,
        lanes: 2,
        totals,
    }
}

/// The report with the new usage of a meter.
fn report_of(meter: &mut Meter) -> UsageReport {
    let delta = meter.take_delta();
    assert!(meter.take_delta().is_empty());
    let source_usage = SourceUsage {
        number: 1,
        router: "r".into(),
        sums: delta.sums,
    };
    UsageReport {
        by_source: [(1, source_usage)].into(),
        readings: delta.readings,
    }
}

/// The byte-microseconds of each kind after `record`.
fn usage_by_kind(record: impl FnOnce(&mut Meter)) -> Vec<(UsageKind, u128)> {
    let mut meter = Meter::default();
    record(&mut meter);
    report_of(&mut meter)
        .sums()
        .0
        .iter()
        .map(|(key, usage)| (key.kind, usage.byte_us))
        .collect()
}

#[test]
fn reported_usage_counts_and_unreported_usage_is_uncertain() {
    let usage = |outcome, copy_status, totals| {
        usage_by_kind(|meter| meter.record_dispatch(dispatch_usage(outcome, copy_status, totals)))
    };
    let warm = usage(DispatchOutcome::Succeeded, CopyStatus::Warm, Some(REPORTED));
    assert_eq!(warm, [(UsageKind::Running, 700), (UsageKind::Idle, 300)]);
    // An invocation that errored is charged for the memory that it used.
    assert_eq!(
        usage(DispatchOutcome::Errored, CopyStatus::Warm, Some(REPORTED)),
        warm
    );
    // A load that another invocation started is counted as shared, and not charged again.
    let waited = [
        (UsageKind::Running, 700),
        (UsageKind::Idle, 300),
        (UsageKind::Shared, 0),
    ];
    assert_eq!(
        usage(
            DispatchOutcome::Succeeded,
            CopyStatus::LoadAwaited,
            Some(REPORTED)
        ),
        waited
    );
    // A repeat that the worker dropped.
    let totals_of_repeat = Some(MemoryTotals {
        incarnation: 9,
        ..MemoryTotals::default()
    });
    assert_eq!(
        usage(
            DispatchOutcome::Succeeded,
            CopyStatus::Unreported,
            totals_of_repeat
        ),
        [(UsageKind::Nothing, 0)]
    );
    for may_have_run in [
        DispatchOutcome::TimedOut,
        DispatchOutcome::ConnectionLost,
        DispatchOutcome::Cancelled,
    ] {
        assert_eq!(
            usage(may_have_run, CopyStatus::Unreported, None),
            [(UsageKind::Uncertain, 50 * 100 / 2)]
        );
    }
    for did_not_run in [
        DispatchOutcome::Rejected,
        DispatchOutcome::Unreachable,
        DispatchOutcome::NotSent,
        DispatchOutcome::NotLoaded,
    ] {
        assert_eq!(
            usage(did_not_run, CopyStatus::Unreported, None),
            [(UsageKind::Nothing, 0)]
        );
    }
}

#[test]
fn a_load_is_charged_once_to_the_account_that_caused_it() {
    let usage = |not_started, totals| {
        let (worker, account, function) = (1, "birch", "f");
        let load = LoadUsage {
            ended_at: 1,
            worker,
            account,
            function,
            duration: 9,
            copy_bytes: 10,
            not_started,
            totals,
        };
        usage_by_kind(|meter| meter.record_load(load))
    };
    let totals = MemoryTotals {
        incarnation: 9,
        loading: 80,
        ..MemoryTotals::default()
    };
    assert_eq!(usage(true, Some(totals)), [(UsageKind::Loading, 80)]);
    assert_eq!(usage(true, None), []);
    assert_eq!(usage(false, None), [(UsageKind::Uncertain, 90)]);
}

/// Guards against usage that is lost or counted twice when a response is lost or the router that received it is killed.
/// The next response has the complete total, whichever router receives it.
#[test]
fn a_lost_response_is_covered_by_the_next_one_and_two_routers_count_it_once() {
    let totals = |running| {
        Some(MemoryTotals {
            running,
            idle: 0,
            ..REPORTED
        })
    };
    let dispatch = |running| {
        dispatch_usage(
            DispatchOutcome::Succeeded,
            CopyStatus::Warm,
            totals(running),
        )
    };
    let (mut first_meter, mut second_meter) = (Meter::default(), Meter::default());
    first_meter.record_dispatch(dispatch(700));
    // The response with a total of 1,400 is lost.
    second_meter.record_dispatch(dispatch(2_100));
    first_meter.record_dispatch(dispatch(1_500));
    let mut report = report_of(&mut first_meter);
    let mut second_report = report_of(&mut second_meter);
    second_report.by_source = second_report
        .by_source
        .into_values()
        .map(|usage| (2, usage))
        .collect();
    report.merge(second_report.clone());
    report.merge(second_report);
    assert_eq!(
        report.sums().group_by(|key| key.kind)[&UsageKind::Running],
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
        let totals = Some(MemoryTotals {
            running,
            idle: 0,
            ..REPORTED
        });
        meter.record_dispatch(DispatchUsage {
            ended_at: hour * MICROS_PER_HOUR,
            ..dispatch_usage(DispatchOutcome::Succeeded, CopyStatus::Warm, totals)
        });
    }
    let by_hour: Vec<_> = report_of(&mut meter)
        .sums()
        .group_by(|key| key.hour)
        .into_iter()
        .map(|(hour, usage)| (hour, usage.byte_us))
        .collect();
    assert_eq!(by_hour, [(5, 700), (7, 400), (8, 0)]);
}

#[test]
fn uncertain_usage_is_settled_by_the_same_incarnation_only() {
    let unreported = dispatch_usage(DispatchOutcome::TimedOut, CopyStatus::Unreported, None);
    let reported = |incarnation| {
        dispatch_usage(
            DispatchOutcome::Succeeded,
            CopyStatus::Warm,
            Some(MemoryTotals {
                incarnation,
                ..REPORTED
            }),
        )
    };
    let uncertain = |dispatches: &[DispatchUsage<'static>]| {
        let mut meter = Meter::default();
        dispatches
            .iter()
            .for_each(|dispatch| meter.record_dispatch(*dispatch));
        report_of(&mut meter)
            .sums()
            .group_by(|key| key.kind)
            .get(&UsageKind::Uncertain)
            .map(|usage| (usage.byte_us, usage.count))
    };
    assert_eq!(
        uncertain(&[reported(9), unreported, unreported]),
        Some((5_000, 2))
    );
    assert_eq!(
        uncertain(&[reported(9), unreported, unreported, reported(9)]),
        Some((0, 0))
    );
    // A worker that restarted has lost the totals that it had not reported.
    assert_eq!(
        uncertain(&[reported(9), unreported, reported(10)]),
        Some((2_500, 1))
    );
    assert_eq!(
        uncertain(&[unreported, reported(9)]),
        Some((2_500, 1)),
        "the incarnation in which the first dispatch ran is unknown"
    );
    // A report for another function settles nothing.
    let other_function = DispatchUsage {
        function: "g",
        ..reported(9)
    };
    assert_eq!(
        uncertain(&[reported(9), unreported, other_function]),
        Some((2_500, 1))
    );
}

/// Random usage with few different keys, so that keys coincide.
fn sums() -> impl Strategy<Value = UsageByKey> {
    let key = (0..3u32, 0..3usize, 0..3usize, 0..7usize);
    proptest::collection::vec((key, any::<u64>(), 0..9u64), 0..20).prop_map(|entries| {
        let mut sums = UsageByKey::default();
        for ((hour, account, function, kind), byte_us, count) in entries {
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
    fn sums_are_exact(first in sums(), second in sums()) {
        let mut all = first.clone();
        all.add_all(&second);
        let mut total = first.total();
        total.add(second.total());
        prop_assert_eq!(all.total(), total);
        let groups = all.group_by(|key| (key.account.clone(), key.kind));
        let mut sum = Usage::default();
        groups.values().for_each(|usage| sum.add(*usage));
        prop_assert_eq!(sum, total);
    }

    #[test]
    fn merging_is_independent_of_order_and_repetition(
        states in proptest::collection::vec((0..4u128, 0..5u64, sums()), 0..12),
    ) {
        // For one source, a write number identifies one state.
        let mut known_states = std::collections::HashMap::new();
        let reports: Vec<UsageReport> = states
            .into_iter()
            .map(|(source, number, sums)| {
                let sums = known_states.entry((source, number)).or_insert(sums).clone();
                let router = format!("r{source}");
                let mut readings = Readings::default();
                for (key, sum) in &sums.0 {
                    readings.record(number, key.clone(), sum.byte_us);
                }
                UsageReport { by_source: [(source, SourceUsage { number, router, sums })].into(), readings }
            })
            .collect();
        let mut in_order = UsageReport::default();
        reports.iter().cloned().for_each(|report| in_order.merge(report));
        let mut reversed_and_repeated = UsageReport::default();
        reports.iter().rev().chain(&reports).cloned().for_each(|report| reversed_and_repeated.merge(report));
        prop_assert_eq!(&in_order, &reversed_and_repeated);
    }
}

/// Guards against unlimited memory use while the disk fails for days: every delta that cannot be stored is restored
/// into the meter.
#[test]
fn restored_readings_are_bounded_and_dropped_ones_counted() {
    let (mut meter, mut recorded) = (Meter::default(), 0);
    for round in 0..3u64 {
        let delta = meter.take_delta();
        for n in 0..60_000u64 {
            let name = format!("f{round}-{n}");
            let dispatch = dispatch_usage(
                DispatchOutcome::Succeeded,
                CopyStatus::Warm,
                Some(MemoryTotals {
                    idle: 0,
                    ..REPORTED
                }),
            );
            meter.record_dispatch(DispatchUsage {
                function: &name,
                ..dispatch
            });
            recorded += 1;
        }
        meter.restore(&delta);
    }
    let dropped = meter.dropped_readings;
    let report = report_of(&mut meter);
    assert!(
        report.readings.0.len() <= 100_000,
        "{}",
        report.readings.0.len()
    );
    assert_eq!(report.readings.0.len() as u64 + dropped, recorded);
}

#[test]
fn usage_of_too_many_functions_loses_only_the_names() {
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
        sums.group_by(|key| key.function.clone())[OTHER_FUNCTIONS].count,
        10
    );
}
