//! Upgrades in a simulation of routers, workers and sessions, with faults.

mod simulation;

use cedarpulley_upgrade::*;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use simulation::*;

/// The plan has ended.
fn is_over(sim: &Simulation) -> bool {
    sim.phase().is_some_and(Phase::is_over)
}

/// Guards against floors that are undercut and sessions that are ended early, also where both versions do not fit.
#[test]
fn an_upgrade_completes_in_all_regions_and_respects_floors_and_sessions() {
    for (seed, copies_per_worker) in [(1, 3), (2, 2), (3, 1), (4, 1)] {
        let mut sim = Simulation::new(seed, Policy::Planner, 4, copies_per_worker);
        sim.schedule_orders(10 * SECOND, vec![order(1, "", "2")]);
        let over = sim.run(600 * SECOND, is_over);
        assert!(sim.violations.is_empty(), "{:#?}", sim.violations);
        assert!(
            over && sim.phase() == Some(Phase::Done),
            "{:#?} {:#?}",
            sim.log,
            sim.plan_status()
        );
        sim.run(sim.now + 20 * SECOND, |_| false);
        assert_eq!(sim.workers_with(&old_function()), 0);
        assert!(sim.totals.failed == 0 && sim.violations.is_empty());
        // A plan that only sessions delay waits for them until the drain limit.
        let second = |l: &String| {
            l.split(' ')
                .next()
                .and_then(|s| s.parse::<i64>().ok())
                .unwrap_or(0)
        };
        let mut since = 0;
        for l in &sim.log {
            since = if l.contains("is next") || l.contains("begins with") {
                second(l)
            } else {
                since
            };
            let too_early = l.contains("the drain limit has passed") && second(l) - since < 39;
            assert!(!too_early, "{:#?}", sim.log);
        }
    }
}

/// A number from an environment variable, for longer runs or other seeds.
fn from_environment(name: &str, default: u64) -> u64 {
    std::env::var(name)
        .ok()
        .and_then(|v| v.parse().ok())
        .unwrap_or(default)
}

fn any_fault() -> impl Strategy<Value = Fault> {
    let (member, worker) = (0..5usize, 0..6usize);
    let duration = || (1..25i64).prop_map(|s| s * SECOND);
    prop_oneof![
        (member.clone(), duration()).prop_map(|(m, d)| Fault::Crash(m, d)),
        (member.clone(), duration()).prop_map(|(m, d)| Fault::Pause(m, d)),
        (member.clone(), duration()).prop_map(|(m, d)| Fault::Isolated(m, d)),
        (member, duration()).prop_map(|(m, d)| Fault::MissesPlans(m, d)),
        duration().prop_map(Fault::Cut),
        (worker.clone(), duration()).prop_map(|(w, d)| Fault::WorkerDies(w, d)),
        (worker, duration()).prop_map(|(w, d)| Fault::LoadsFail(w, d * 3)),
        duration().prop_map(|d| Fault::SlowStore(d * 2)),
        duration().prop_map(Fault::LostRequests),
        duration().prop_map(Fault::MoreErrors),
        duration().prop_map(Fault::Slower),
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
        copies_per_worker in 1..4u32,
        workers in 3..6usize,
        faults in prop::collection::vec((5..160i64, any_fault()), 0..7),
        reversed_at in prop::option::of(20..120i64),
    ) {
        let mut sim = Simulation::new(seed, Policy::Planner, workers, copies_per_worker);
        sim.schedule_orders(5 * SECOND, vec![order(1, "", "2")]);
        for (at, fault) in faults {
            sim.schedule_fault(at * SECOND, fault);
        }
        if let Some(at) = reversed_at {
            sim.schedule_orders(at * SECOND, vec![order(1, "", "2"), order(2, "2", "")]);
        }
        let over = sim.run(900 * SECOND, |sim| sim.now > 250 * SECOND && is_over(sim));
        prop_assert!(sim.violations.is_empty(), "{:#?} {:#?}", sim.violations, sim.log);
        let wait_reason = sim.plan_status().map(|s| s.wait_reason).unwrap_or_default();
        prop_assert!(over || !wait_reason.is_empty(), "{:#?} {:#?}", sim.log, sim.plan_status());
        println!("{seed} {copies_per_worker} {workers} {over} {wait_reason} {:?} {:?}", sim.phase(), sim.totals);
    }
}

/// A simulation that has carried out an order up to a phase and, if given, a stage in one of its regions.
fn simulation_in(
    seed: u64,
    copies_per_worker: u32,
    phase: Phase,
    stage: Option<Stage>,
) -> Simulation {
    let mut sim = Simulation::new(seed, Policy::Planner, 4, copies_per_worker);
    sim.schedule_orders(5 * SECOND, vec![order(1, "", "2")]);
    let is_reached = |sim: &Simulation| {
        sim.plan_status().is_some_and(|s| {
            s.phase == phase && stage.is_none_or(|st| s.regions.iter().any(|r| r.stage == st))
        })
    };
    assert!(sim.run(300 * SECOND, is_reached), "{:#?}", sim.log);
    sim
}

/// Runs until the plan has ended, and checks the phase, the invariants and that no copies of the other version are
/// left.
fn run_to_end(mut sim: Simulation, phase: Phase) -> Simulation {
    let over = sim.run(sim.now + 600 * SECOND, is_over);
    assert!(
        over && sim.violations.is_empty(),
        "{:#?} {:#?} {:#?}",
        sim.violations,
        sim.log,
        sim.plan_status()
    );
    assert_eq!(sim.phase(), Some(phase), "{:#?}", sim.log);
    sim.run(sim.now + 30 * SECOND, |_| false);
    assert!(sim.violations.is_empty(), "{:#?}", sim.violations);
    let unloaded = if phase == Phase::Done {
        old_function()
    } else {
        new_function()
    };
    assert_eq!(sim.workers_with(&unloaded), 0, "{:#?}", sim.log);
    sim
}

/// The phases of an upgrade and, where the phase has several, the stages of a region.
const PHASES_AND_STAGES: [(Phase, Option<Stage>); 5] = [
    (Phase::Waiting, None),
    (Phase::Canary, None),
    (Phase::Rolling, Some(Stage::Loading)),
    (Phase::Rolling, Some(Stage::Draining)),
    (Phase::Rolling, Some(Stage::Done)),
];

/// Guards against a plan that stops, or two leaders that act at once, after the leader has crashed or paused.
#[test]
fn a_leader_that_crashes_or_pauses_in_any_step_is_succeeded() {
    for (phase, stage) in PHASES_AND_STAGES {
        for (seed, pauses) in [(5, false), (6, true)] {
            let mut sim = simulation_in(seed, 2, phase, stage);
            sim.schedule_fault(
                sim.now,
                if pauses {
                    Fault::Pause(0, 30 * SECOND)
                } else {
                    Fault::Crash(0, 30 * SECOND)
                },
            );
            let sim = run_to_end(sim, Phase::Done);
            assert!(sim.log.iter().any(|l| l.contains(" 1: ")), "{:#?}", sim.log);
        }
    }
}

/// Guards against steps in a region whose routers cannot be reached, which may still route by an earlier step.
#[test]
fn a_partitioned_region_freezes_in_any_step_and_resumes_later() {
    for (phase, stage) in PHASES_AND_STAGES {
        let mut sim = simulation_in(7, 2, phase, stage);
        sim.schedule_fault(sim.now, Fault::Cut(40 * SECOND));
        let region = |sim: &Simulation| {
            sim.plan_status()
                .and_then(|s| s.regions.into_iter().find(|r| &*r.region == "b"))
        };
        sim.run(sim.now + 5 * SECOND, |_| false);
        let frozen = region(&sim).map(|r| (r.stage, r.new_share));
        sim.run(sim.now + 33 * SECOND, |_| false);
        assert_eq!(
            region(&sim).map(|r| (r.stage, r.new_share)),
            frozen,
            "{:#?}",
            sim.log
        );
        run_to_end(sim, Phase::Done);
    }
}

/// Guards against a faulty version that stays in service, and against a rollback that undercuts the floors.
#[test]
fn a_version_with_more_errors_is_rolled_back_from_any_step_and_floors_hold() {
    for (seed, copies_per_worker) in [(8, 3), (9, 1)] {
        for (phase, stage) in &PHASES_AND_STAGES[1..] {
            let mut sim = simulation_in(seed, copies_per_worker, *phase, *stage);
            sim.schedule_fault(sim.now, Fault::MoreErrors(600 * SECOND));
            // Once the last region has the new version, there is no old version to compare with.
            let over = sim.run(sim.now + 600 * SECOND, is_over);
            assert!(
                over && sim.violations.is_empty(),
                "{:#?} {:#?}",
                sim.violations,
                sim.log
            );
            let is_rolled_back = sim
                .plan_status()
                .is_some_and(|s| s.phase == Phase::RolledBack && s.reason.contains("errs"));
            assert!(
                is_rolled_back || sim.phase() == Some(Phase::Done) && *phase == Phase::Rolling,
                "{:#?}",
                sim.log
            );
        }
    }
}

/// Guards against a rollback for a slowness that passes, and against a slow version that stays in service.
#[test]
fn a_slower_version_pauses_the_plan_which_resumes_or_rolls_back() {
    let mut sim = simulation_in(10, 3, Phase::Canary, None);
    sim.traffic_rate = 20;
    sim.schedule_fault(sim.now, Fault::Slower(600 * SECOND));
    assert!(
        sim.run(200 * SECOND, |sim| sim.phase() == Some(Phase::Paused)),
        "{:#?}",
        sim.log
    );
    run_to_end(sim, Phase::RolledBack);
    let mut sim = simulation_in(10, 3, Phase::Canary, None);
    sim.traffic_rate = 20;
    sim.schedule_fault(sim.now, Fault::Slower(25 * SECOND));
    if sim.run(200 * SECOND, |sim| sim.phase() == Some(Phase::Paused)) {
        sim.run(sim.now + 300 * SECOND, is_over);
        assert!(
            sim.log.iter().any(|l| l.contains("resumes")),
            "{:#?}",
            sim.log
        );
    }
}

/// Guards against orders that are lost, carried out twice or carried out although they were withdrawn.
#[test]
fn orders_are_queued_withdrawn_and_not_started_twice() {
    // An order that is withdrawn, before and after its plan begins.
    let withdrawn = Order {
        withdrawn: true,
        ..order(1, "", "2")
    };
    let mut sim = simulation_in(11, 2, Phase::Waiting, None);
    sim.schedule_orders(sim.now, vec![withdrawn.clone()]);
    sim.run(sim.now + 60 * SECOND, is_over);
    assert!(
        matches!(sim.phase(), Some(Phase::Cancelled | Phase::RolledBack)),
        "{:#?}",
        sim.log
    );
    let mut sim = simulation_in(12, 2, Phase::Rolling, Some(Stage::Draining));
    sim.schedule_orders(sim.now, vec![withdrawn]);
    run_to_end(sim, Phase::RolledBack);
    // An order that reverses the one before.
    let mut sim = simulation_in(13, 2, Phase::Rolling, Some(Stage::Done));
    sim.schedule_orders(sim.now, vec![order(1, "", "2"), order(5, "2", "")]);
    let mut sim = run_to_end(sim, Phase::RolledBack);
    let step = sim.plan_status().map(|s| s.step);
    sim.run(sim.now + 20 * SECOND, |_| false);
    assert_eq!(
        sim.plan_status().map(|s| s.step),
        step,
        "no order is carried out again"
    );
    // An order that is queued.
    let mut sim = simulation_in(14, 3, Phase::Canary, None);
    sim.schedule_orders(sim.now, vec![order(1, "", "2"), order(2, "2", "3")]);
    sim.run(sim.now + 10 * SECOND, |_| false);
    assert_eq!(sim.plan_status().map(|s| s.queued_serials), Some(vec![2]));
    let next = |sim: &Simulation| {
        sim.plan_status()
            .is_some_and(|s| &*s.to == "3" && s.phase == Phase::Done)
    };
    assert!(
        sim.run(900 * SECOND, next) && sim.violations.is_empty(),
        "{:#?} {:#?}",
        sim.violations,
        sim.log
    );
}

/// Guards against loads that are repeated without a pause, and against concurrent loads that overload a slow store.
#[test]
fn a_failing_worker_backs_off_and_a_slow_store_gets_one_load_at_a_time() {
    let mut sim = Simulation::new(15, Policy::Planner, 4, 3);
    sim.schedule_orders(5 * SECOND, vec![order(1, "", "2")]);
    sim.schedule_fault(0, Fault::LoadsFail(0, 90 * SECOND));
    let sim = run_to_end(sim, Phase::Done);
    // The backoff doubles, so there are far fewer loads than there was time for.
    assert!(sim.totals.loads <= 16, "{}", sim.totals.loads);

    let mut sim = simulation_in(16, 3, Phase::Rolling, Some(Stage::Done));
    sim.schedule_fault(sim.now, Fault::SlowStore(600 * SECOND));
    sim.run(sim.now + 15 * SECOND, |_| false);
    let mut max_loading = 0;
    sim.run(sim.now + 25 * SECOND, |sim| {
        max_loading = max_loading.max(sim.workers_loading(&new_function()));
        false
    });
    assert_eq!(max_loading, 1, "{:#?}", sim.log);
}

/// The runs with which `benches/three_ways.rs` measures the planner: no faults, more workers and more invocations.
#[test]
fn no_invariant_breaks_without_faults() {
    for (copies_per_worker, seed) in [3, 1]
        .into_iter()
        .flat_map(|copies_per_worker| (1..=10).map(move |seed| (copies_per_worker, seed)))
    {
        for ordered in [true, false] {
            let mut sim = Simulation::new(seed, Policy::Planner, 6, copies_per_worker);
            sim.traffic_rate = 16;
            if ordered {
                sim.schedule_orders(20 * SECOND, vec![order(1, "", "2")]);
            }
            sim.run(500 * SECOND, |_| false);
            assert!(
                sim.violations.is_empty(),
                "{:#?} {:#?}",
                sim.violations,
                sim.log
            );
        }
    }
}

/// Guards against steps that assume that all routers know the plan: a router without it would route sessions to another
/// version, or to copies that are unloaded.
#[test]
fn a_router_with_an_old_plan_delays_steps_that_would_harm_it() {
    // The router misses the plan from before the order, or from before new work is routed elsewhere in its region.
    for (missed_from, wait_reason) in [(0, "has not heard of it"), (1, "goes by an earlier step")] {
        let mut sim = match missed_from {
            0 => Simulation::new(17, Policy::Planner, 4, 3),
            _ => simulation_in(17, 3, Phase::Rolling, Some(Stage::Loading)),
        };
        if missed_from == 0 {
            sim.schedule_orders(5 * SECOND, vec![order(1, "", "2")]);
        }
        sim.schedule_fault(sim.now, Fault::MissesPlans(2, 60 * SECOND));
        let sim = run_to_end(sim, Phase::Done);
        assert!(
            sim.log.iter().any(|l| l.contains(wait_reason)),
            "{:#?}",
            sim.log
        );
    }
}

/// Guards against sessions that move from a dead worker to an idle outgoing copy that is then unloaded.
#[test]
fn sessions_of_a_worker_that_dies_during_a_drain_reach_copies_that_stay() {
    for seed in 20..36 {
        let mut sim = simulation_in(seed, 3, Phase::Rolling, Some(Stage::Draining));
        for (n, worker) in [0, 2, 4].into_iter().enumerate() {
            sim.schedule_fault(
                sim.now + (2 + 4 * n as i64) * SECOND,
                Fault::WorkerDies(worker, SECOND),
            );
        }
        sim.run(sim.now + 60 * SECOND, |_| false);
        assert!(
            sim.violations.is_empty(),
            "{:#?} {:#?}",
            sim.violations,
            sim.log
        );
    }
}
