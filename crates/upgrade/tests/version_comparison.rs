//! The statistical comparison of two versions.

use std::hash::{BuildHasher, BuildHasherDefault, DefaultHasher};

use cedarpulley_upgrade::VersionCounters;
use cedarpulley_upgrade::version_comparison::{Verdict, VersionComparison};

/// 1 with probability `rate`, else 0; `seed_and_draw` determines the result.
fn random_event(seed_and_draw: (u64, u64), rate: f64) -> u64 {
    let draw = BuildHasherDefault::<DefaultHasher>::default().hash_one(seed_and_draw) % 1_000_000;
    u64::from((draw as f64) < rate * 1e6)
}

/// The comparison after `rounds` reports of one member. For each trigger type: the invocations of the old and the new
/// version per round, and the error rates of the old and the new version.
fn compare(seed: u64, rounds: u64, types: &[(u64, u64, f64, f64)]) -> VersionComparison {
    let (mut comparison, mut counts) = (VersionComparison::default(), Vec::new());
    for (index, _) in types.iter().enumerate() {
        for version in ["1", "2"] {
            let (version, trigger) = (version.into(), format!("t{index}").into());
            counts.push(VersionCounters {
                version,
                trigger,
                ..VersionCounters::default()
            });
        }
    }
    comparison.record(0, counts.clone(), "1", "2");
    let mut draws = 0;
    for _ in 0..rounds {
        for (index, (old_count, new_count, old_rate, new_rate)) in types.iter().enumerate() {
            for (side, invocations, rate) in [(0, old_count, old_rate), (1, new_count, new_rate)] {
                let count = &mut counts[index * 2 + side];
                for _ in 0..*invocations {
                    draws += 1;
                    count.completed += 1;
                    count.errored += random_event((seed, draws), *rate);
                }
            }
        }
        comparison.record(0, counts.clone(), "1", "2");
    }
    comparison
}

#[test]
fn chance_alone_is_not_significant_and_a_clear_difference_is() {
    // 60 plans, each evaluated after every 20 of 580 rounds; one in eleven invocations goes to the canaries.
    let falsely_stopped = (0..60).filter(|seed| {
        (1..30).any(|n| {
            compare(*seed, n * 20, &[(20, 2, 0.05, 0.05)]).verdict() == Verdict::MoreErrors
        })
    });
    assert_eq!(falsely_stopped.count(), 0);
    let detected = (0..60)
        .filter(|seed| compare(*seed, 200, &[(20, 2, 0.02, 0.2)]).verdict() == Verdict::MoreErrors);
    assert!(detected.count() >= 59);
    // There are too few samples, or the difference is too small to matter.
    assert_eq!(
        compare(1, 5, &[(20, 2, 0.0, 1.0)]).verdict(),
        Verdict::TooFewSamples
    );
    assert_ne!(
        compare(1, 20_000, &[(20, 20, 0.01, 0.015)]).verdict(),
        Verdict::MoreErrors
    );
}

#[test]
fn versions_are_compared_within_one_trigger_type_only() {
    // The new version gets mostly invocations of a trigger type that fails often with both versions.
    for seed in 0..20 {
        let comparison = compare(seed, 300, &[(20, 2, 0.01, 0.01), (2, 20, 0.3, 0.3)]);
        assert_ne!(comparison.verdict(), Verdict::MoreErrors);
    }
}

#[test]
fn counters_of_a_new_incarnation_start_at_zero() {
    let mut comparison = VersionComparison::default();
    let count = |v: &str, completed, errored| VersionCounters {
        version: v.into(),
        trigger: "t".into(),
        completed,
        errored,
        late: 0,
    };
    comparison.record(
        0,
        vec![count("1", 1000, 900), count("2", 1000, 0)],
        "1",
        "2",
    );
    comparison.record(0, vec![count("1", 50, 0), count("2", 50, 0)], "1", "2");
    assert_eq!(
        (comparison.verdict(), comparison.compared()),
        (Verdict::Equivalent, 50)
    );
}
