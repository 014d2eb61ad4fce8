//! Upgrades in a simulated world.

mod world;

use cedarpulley_upgrade::*;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use world::*;

fn settled(w: &World) -> bool {
    w.phase().is_some_and(Phase::is_over)
}

#[test]
fn an_upgrade_completes_in_all_regions_and_respects_floors_and_sessions() {
    for (seed, room) in [(1, 3), (2, 2), (3, 1), (4, 1)] {
        let mut w = World::new(seed, Policy::Planner, 4, room);
        w.orders(10 * S, vec![order(1, "", "2")]);
        let over = w.run(600 * S, settled);
        assert!(w.violations.is_empty(), "{:#?}", w.violations);
        assert!(
            over && w.phase() == Some(Phase::Done),
            "{:#?} {:#?}",
            w.log,
            w.shown()
        );
        w.run(w.now + 20 * S, |_| false);
        assert_eq!(w.holds(&old()), 0);
        assert!(w.totals.failed == 0 && w.violations.is_empty());
        // Where only sessions are in the way, they are waited for until the limit.
        let second = |l: &String| {
            l.split(' ')
                .next()
                .and_then(|s| s.parse::<i64>().ok())
                .unwrap_or(0)
        };
        let mut since = 0;
        for l in &w.log {
            since = if l.contains("is next") || l.contains("begins with") {
                second(l)
            } else {
                since
            };
            let short = l.contains("the drain limit has passed") && second(l) - since < 39;
            assert!(!short, "{:#?}", w.log);
        }
    }
}

/// More plays, or others, set by environment variables.
fn from_environment(name: &str, usual: u64) -> u64 {
    std::env::var(name)
        .ok()
        .and_then(|v| v.parse().ok())
        .unwrap_or(usual)
}

fn fault() -> impl Strategy<Value = Fault> {
    let (member, worker) = (0..5usize, 0..6usize);
    let short = || (1..25i64).prop_map(|s| s * S);
    prop_oneof![
        (member.clone(), short()).prop_map(|(m, d)| Fault::Crash(m, d)),
        (member.clone(), short()).prop_map(|(m, d)| Fault::Pause(m, d)),
        (member.clone(), short()).prop_map(|(m, d)| Fault::Isolated(m, d)),
        (member, short()).prop_map(|(m, d)| Fault::MissesPlans(m, d)),
        short().prop_map(Fault::Cut),
        (worker.clone(), short()).prop_map(|(w, d)| Fault::WorkerDies(w, d)),
        (worker, short()).prop_map(|(w, d)| Fault::LoadsFail(w, d * 3)),
        short().prop_map(|d| Fault::SlowStore(d * 2)),
        short().prop_map(Fault::LostRequests),
        short().prop_map(Fault::MoreErrors),
        short().prop_map(Fault::Slower),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: from_environment("CASES", 40) as u32,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(from_environment("RSEED", 11)),
        ..ProptestConfig::default()
    })]

    #[test]
    fn under_random_faults_no_invariant_breaks_and_the_plan_ends_or_has_a_wait_reason(
        seed in 0..10_000u64,
        room in 1..4u32,
        workers in 3..6usize,
        faults in prop::collection::vec((5..160i64, fault()), 0..7),
        back in prop::option::of(20..120i64),
    ) {
        let mut w = World::new(seed, Policy::Planner, workers, room);
        w.orders(5 * S, vec![order(1, "", "2")]);
        for (at, fault) in faults {
            w.fault(at * S, fault);
        }
        if let Some(at) = back {
            w.orders(at * S, vec![order(1, "", "2"), order(2, "2", "")]);
        }
        let over = w.run(900 * S, |w| w.now > 250 * S && settled(w));
        prop_assert!(w.violations.is_empty(), "{:#?} {:#?}", w.violations, w.log);
        let why = w.shown().map(|s| s.wait_reason).unwrap_or_default();
        prop_assert!(over || !why.is_empty(), "{:#?} {:#?}", w.log, w.shown());
        println!("{seed} {room} {workers} {over} {why} {:?} {:?}", w.phase(), w.totals);
    }
}

/// A world whose order has come, gone on to some phase.
fn at(seed: u64, room: u32, phase: Phase, stage: Option<Stage>) -> World {
    let mut w = World::new(seed, Policy::Planner, 4, room);
    w.orders(5 * S, vec![order(1, "", "2")]);
    let there = |w: &World| {
        w.shown().is_some_and(|s| {
            s.phase == phase && stage.is_none_or(|st| s.regions.iter().any(|r| r.stage == st))
        })
    };
    assert!(w.run(300 * S, there), "{:#?}", w.log);
    w
}

fn ends(mut w: World, phase: Phase) -> World {
    let over = w.run(w.now + 600 * S, settled);
    assert!(
        over && w.violations.is_empty(),
        "{:#?} {:#?} {:#?}",
        w.violations,
        w.log,
        w.shown()
    );
    assert_eq!(w.phase(), Some(phase), "{:#?}", w.log);
    w.run(w.now + 30 * S, |_| false);
    assert!(w.violations.is_empty(), "{:#?}", w.violations);
    let left = if phase == Phase::Done { old() } else { new() };
    assert_eq!(w.holds(&left), 0, "{:#?}", w.log);
    w
}

const STEPS: [(Phase, Option<Stage>); 5] = [
    (Phase::Waiting, None),
    (Phase::Canary, None),
    (Phase::Rolling, Some(Stage::Loading)),
    (Phase::Rolling, Some(Stage::Draining)),
    (Phase::Rolling, Some(Stage::Done)),
];

#[test]
fn a_leader_that_crashes_or_pauses_in_any_step_is_succeeded() {
    for (phase, stage) in STEPS {
        for (seed, stops) in [(5, false), (6, true)] {
            let mut w = at(seed, 2, phase, stage);
            w.fault(
                w.now,
                if stops {
                    Fault::Pause(0, 30 * S)
                } else {
                    Fault::Crash(0, 30 * S)
                },
            );
            let w = ends(w, Phase::Done);
            assert!(w.log.iter().any(|l| l.contains(" 1: ")), "{:#?}", w.log);
        }
    }
}

#[test]
fn a_partitioned_region_freezes_in_any_step_and_resumes_later() {
    for (phase, stage) in STEPS {
        let mut w = at(7, 2, phase, stage);
        w.fault(w.now, Fault::Cut(40 * S));
        let region = |w: &World| {
            w.shown()
                .and_then(|s| s.regions.into_iter().find(|r| &*r.region == "b"))
        };
        w.run(w.now + 5 * S, |_| false);
        let frozen = region(&w).map(|r| (r.stage, r.new_share));
        w.run(w.now + 33 * S, |_| false);
        assert_eq!(
            region(&w).map(|r| (r.stage, r.new_share)),
            frozen,
            "{:#?}",
            w.log
        );
        ends(w, Phase::Done);
    }
}

#[test]
fn a_version_with_more_errors_is_rolled_back_from_any_step_and_floors_hold() {
    for (seed, room) in [(8, 3), (9, 1)] {
        for (phase, stage) in &STEPS[1..] {
            let mut w = at(seed, room, *phase, *stage);
            w.fault(w.now, Fault::MoreErrors(600 * S));
            // Beyond the last region there is nothing to compare with.
            let over = w.run(w.now + 600 * S, settled);
            assert!(
                over && w.violations.is_empty(),
                "{:#?} {:#?}",
                w.violations,
                w.log
            );
            let back = w
                .shown()
                .is_some_and(|s| s.phase == Phase::RolledBack && s.reason.contains("errs"));
            assert!(
                back || w.phase() == Some(Phase::Done) && *phase == Phase::Rolling,
                "{:#?}",
                w.log
            );
        }
    }
}

#[test]
fn a_slower_version_pauses_the_plan_which_resumes_or_rolls_back() {
    let mut w = at(10, 3, Phase::Canary, None);
    w.rate = 20;
    w.fault(w.now, Fault::Slower(600 * S));
    assert!(
        w.run(200 * S, |w| w.phase() == Some(Phase::Paused)),
        "{:#?}",
        w.log
    );
    ends(w, Phase::RolledBack);
    let mut w = at(10, 3, Phase::Canary, None);
    w.rate = 20;
    w.fault(w.now, Fault::Slower(25 * S));
    if w.run(200 * S, |w| w.phase() == Some(Phase::Paused)) {
        w.run(w.now + 300 * S, settled);
        assert!(w.log.iter().any(|l| l.contains("resumes")), "{:#?}", w.log);
    }
}

#[test]
fn orders_are_queued_withdrawn_and_not_started_twice() {
    // Withdrawn, before and after it began.
    let withdrawn = Order {
        withdrawn: true,
        ..order(1, "", "2")
    };
    let mut w = at(11, 2, Phase::Waiting, None);
    w.orders(w.now, vec![withdrawn.clone()]);
    w.run(w.now + 60 * S, settled);
    assert!(
        matches!(w.phase(), Some(Phase::Cancelled | Phase::RolledBack)),
        "{:#?}",
        w.log
    );
    let mut w = at(12, 2, Phase::Rolling, Some(Stage::Draining));
    w.orders(w.now, vec![withdrawn]);
    ends(w, Phase::RolledBack);
    // The other way round.
    let mut w = at(13, 2, Phase::Rolling, Some(Stage::Done));
    w.orders(w.now, vec![order(1, "", "2"), order(5, "2", "")]);
    let mut w = ends(w, Phase::RolledBack);
    let step = w.shown().map(|s| s.step);
    w.run(w.now + 20 * S, |_| false);
    assert_eq!(w.shown().map(|s| s.step), step, "nothing is begun anew");
    // The next one.
    let mut w = at(14, 3, Phase::Canary, None);
    w.orders(w.now, vec![order(1, "", "2"), order(2, "2", "3")]);
    w.run(w.now + 10 * S, |_| false);
    assert_eq!(w.shown().map(|s| s.queued_serials), Some(vec![2]));
    let next = |w: &World| {
        w.shown()
            .is_some_and(|s| &*s.to == "3" && s.phase == Phase::Done)
    };
    assert!(
        w.run(900 * S, next) && w.violations.is_empty(),
        "{:#?} {:#?}",
        w.violations,
        w.log
    );
}

#[test]
fn a_failing_worker_backs_off_and_a_slow_store_gets_one_load_at_a_time() {
    let mut w = World::new(15, Policy::Planner, 4, 3);
    w.orders(5 * S, vec![order(1, "", "2")]);
    w.fault(0, Fault::LoadsFail(0, 90 * S));
    let w = ends(w, Phase::Done);
    // Held back longer each time: far fewer tries than there was time for.
    assert!(w.totals.loads <= 16, "{}", w.totals.loads);

    let mut w = at(16, 3, Phase::Rolling, Some(Stage::Done));
    w.fault(w.now, Fault::SlowStore(600 * S));
    w.run(w.now + 15 * S, |_| false);
    let mut most = 0;
    w.run(w.now + 25 * S, |w| {
        most = most.max(w.loading(&new()));
        false
    });
    assert_eq!(most, 1, "{:#?}", w.log);
}

/// What `benches/three_ways.rs` compares the planner's way by: no faults, more workers and more invocations.
#[test]
fn no_invariant_breaks_without_faults() {
    for (room, seed) in [3, 1]
        .into_iter()
        .flat_map(|room| (1..=10).map(move |seed| (room, seed)))
    {
        for ordered in [true, false] {
            let mut w = World::new(seed, Policy::Planner, 6, room);
            w.rate = 16;
            if ordered {
                w.orders(20 * S, vec![order(1, "", "2")]);
            }
            w.run(500 * S, |_| false);
            assert!(w.violations.is_empty(), "{:#?} {:#?}", w.violations, w.log);
        }
    }
}

#[test]
fn a_router_with_an_old_plan_delays_steps_that_would_harm_it() {
    // From before the order, and from before its region is shifted.
    for (from, waits) in [
        (0, "has not reported this plan"),
        (1, "routes by an earlier step"),
    ] {
        let mut w = match from {
            0 => World::new(17, Policy::Planner, 4, 3),
            _ => at(17, 3, Phase::Rolling, Some(Stage::Loading)),
        };
        if from == 0 {
            w.orders(5 * S, vec![order(1, "", "2")]);
        }
        w.fault(w.now, Fault::MissesPlans(2, 60 * S));
        let w = ends(w, Phase::Done);
        assert!(w.log.iter().any(|l| l.contains(waits)), "{:#?}", w.log);
    }
}

#[test]
fn sessions_of_a_worker_that_dies_during_a_drain_reach_copies_that_stay() {
    for seed in 20..36 {
        let mut w = at(seed, 3, Phase::Rolling, Some(Stage::Draining));
        for (n, worker) in [0, 2, 4].into_iter().enumerate() {
            w.fault(w.now + (2 + 4 * n as i64) * S, Fault::WorkerDies(worker, S));
        }
        w.run(w.now + 60 * S, |_| false);
        assert!(w.violations.is_empty(), "{:#?} {:#?}", w.violations, w.log);
    }
}
