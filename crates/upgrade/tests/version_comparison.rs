//! The comparison of two versions.

use std::hash::{BuildHasher, BuildHasherDefault, DefaultHasher};

use cedarpulley_upgrade::VersionCounters;
use cedarpulley_upgrade::version_comparison::{Verdict, VersionComparison};

fn happens(of: (u64, u64), rate: f64) -> u64 {
    let draw = BuildHasherDefault::<DefaultHasher>::default().hash_one(of) % 1_000_000;
    u64::from((draw as f64) < rate * 1e6)
}

/// A member's counts grow by `ended` each time; (old, new) rates of errors by trigger type.
fn plays(seed: u64, rounds: u64, types: &[(u64, u64, f64, f64)]) -> VersionComparison {
    let (mut comparison, mut counts) = (VersionComparison::default(), Vec::new());
    for (t, _) in types.iter().enumerate() {
        for v in ["1", "2"] {
            let (version, trigger) = (v.into(), format!("t{t}").into());
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
        for (t, (was, is, old, new)) in types.iter().enumerate() {
            for (side, n, rate) in [(0, was, old), (1, is, new)] {
                let c = &mut counts[t * 2 + side];
                for _ in 0..*n {
                    draws += 1;
                    c.completed += 1;
                    c.errored += happens((seed, draws), *rate);
                }
            }
        }
        comparison.record(0, counts.clone(), "1", "2");
    }
    comparison
}

#[test]
fn chance_alone_is_not_significant_and_a_clear_difference_is() {
    // Looked at after each of 600 rounds, 60 plans with one of ten canaries.
    let stopped = (0..60).filter(|seed| {
        (1..30)
            .any(|n| plays(*seed, n * 20, &[(20, 2, 0.05, 0.05)]).verdict() == Verdict::MoreErrors)
    });
    assert_eq!(stopped.count(), 0);
    let found = (0..60)
        .filter(|seed| plays(*seed, 200, &[(20, 2, 0.02, 0.2)]).verdict() == Verdict::MoreErrors);
    assert!(found.count() >= 59);
    // Too few, or too small a difference to matter.
    assert_eq!(
        plays(1, 5, &[(20, 2, 0.0, 1.0)]).verdict(),
        Verdict::TooFewSamples
    );
    assert_ne!(
        plays(1, 20_000, &[(20, 20, 0.01, 0.015)]).verdict(),
        Verdict::MoreErrors
    );
}

#[test]
fn versions_are_compared_within_one_trigger_type_only() {
    // The new version gets mostly the trigger type that errs often with both.
    for seed in 0..20 {
        let comparison = plays(seed, 300, &[(20, 2, 0.01, 0.01), (2, 20, 0.3, 0.3)]);
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
