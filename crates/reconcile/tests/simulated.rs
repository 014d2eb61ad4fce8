//! Random interleavings of loads, dispatches, polls, notes and drift: no correction is untrue, nothing is repaired while
//! its load is under way, nothing is unloaded that a router believes in, and every drift is found within the stated
//! number of rounds. And the same state machines, 3, 9 and 300 of them: polls per worker do not grow with the routers.

mod world;

use cedarpulley_reconcile::DriftKind;
use proptest::prelude::*;
use world::*;

/// A worker is asked at least this often, with jitter, message times and one other poll before it.
const ROUND: i64 = EVERY * 4 + EVERY;
/// In time, until all routers know: one round, and one more by notes or for what was loading. By reports of the
/// worker the world itself counts (`world::ROUNDS`).
const PASSES: i64 = 2;
/// A doubted worker's difference must be reported twice, and doubt lasts for at most so many reports.
const PASSES_DOUBTED: i64 = 10;

#[derive(Clone, Debug)]
enum Step {
    Pass(i64),
    Order(usize, usize, usize),
    Dispatch(usize, usize, usize),
    Evict(usize, usize),
    Flush(usize),
    Restart(usize),
    More(usize, usize),
    Elsewhere(usize, usize),
    Orphan(usize, usize),
    Kill(usize),
    Silent(usize, bool),
    FalseReports(usize, bool),
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let (r, w, f) = (0..3usize, 0..3usize, 0..4usize);
    let step = prop_oneof![
        10 => (1_000..1_500_000i64).prop_map(Step::Pass),
        6 => (r.clone(), w.clone(), f.clone()).prop_map(|(r, w, f)| Step::Order(r, w, f)),
        6 => (r.clone(), w.clone(), f.clone()).prop_map(|(r, w, f)| Step::Dispatch(r, w, f)),
        3 => (w.clone(), f.clone()).prop_map(|(w, f)| Step::Evict(w, f)),
        1 => w.clone().prop_map(Step::Flush),
        1 => w.clone().prop_map(Step::Restart),
        2 => (w.clone(), f.clone()).prop_map(|(w, f)| Step::More(w, f)),
        2 => (w.clone(), f.clone()).prop_map(|(w, f)| Step::Elsewhere(w, f)),
        2 => (w.clone(), f.clone()).prop_map(|(w, f)| Step::Orphan(w, f)),
        1 => (1..3usize).prop_map(Step::Kill),
        1 => (w.clone(), any::<bool>()).prop_map(|(w, on)| Step::Silent(w, on)),
        1 => (w, any::<bool>()).prop_map(|(w, on)| Step::FalseReports(w, on)),
    ];
    prop::collection::vec(step, 10..80)
}

fn play(world: &mut World, step: &Step) {
    match *step {
        Step::Pass(time) => world.pass(time),
        Step::Order(r, w, f) => world.order(r, w, &function(f)),
        Step::Dispatch(r, w, f) => world.dispatch(r, w, &function(f)),
        Step::Evict(w, f) if world.holds(w, &function(f)) > 0 => world.set(w, &function(f), 0),
        Step::More(w, f) if world.holds(w, &function(f)) > 0 => world.set(w, &function(f), 3),
        Step::Evict(..) | Step::More(..) => {}
        Step::Flush(w) => world.flush(w),
        Step::Restart(w) => world.restart(w),
        Step::Elsewhere(w, f) => world.load_by(w, &function(f), "r0"),
        Step::Orphan(w, f) => world.load_by(w, &function(f), "x"),
        Step::Kill(r) => world.kill(r),
        Step::Silent(w, on) => world.workers[w].silent = on,
        Step::FalseReports(w, on) => world.workers[w].corrupted = on.then_some(3),
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 300, failure_persistence: None, rng_seed: proptest::test_runner::RngSeed::Fixed(25), ..ProptestConfig::default() })]

    #[test]
    fn beliefs_converge_to_the_truth_and_no_correction_is_false(seed in any::<u64>(), routers in 1..4usize, steps in steps()) {
        let mut world = World::new(seed, 3, 3, 50.0);
        (routers..3).for_each(|r| world.kill(r));
        let mut had_false_reports = false;
        for step in &steps {
            had_false_reports |= matches!(step, Step::FalseReports(_, true));
            play(&mut world, step);
        }
        for w in &mut world.workers {
            (w.silent, w.corrupted) = (false, None);
        }
        let passes = if had_false_reports || world.routers.iter().any(|r| r.counts.refuted > 0) { PASSES_DOUBTED } else { PASSES };
        // The last answer of a silent worker may be one slow pace away.
        world.pass(ROUND + passes * ROUND);
        prop_assert!(world.violations.is_empty(), "{:?}", world.violations);
        let differs = world.differs();
        prop_assert!(differs.is_empty(), "{differs:?}");
    }
}

/// Without faults no drift is reported, except for what others load.
#[test]
fn without_drift_nothing_is_reported_or_repaired() {
    for seed in 0..20 {
        let mut world = World::new(seed, 3, 4, 50.0);
        for n in 0..200usize {
            let (r, w, f) = (n % 3, n * 7 % 4, n * 5 % 6);
            if n % 2 == 0 {
                world.order(r, w, &function(f))
            } else {
                world.dispatch(r, w, &function(f))
            }
            world.pass(150_000);
        }
        world.pass(10 * S);
        let drift: Vec<_> = world
            .found
            .iter()
            .filter(|d| d.kind != DriftKind::Unseen)
            .collect();
        assert!(
            drift.is_empty() && world.wants == 0 && world.unloads.is_empty(),
            "{drift:?}"
        );
        assert!(world.violations.is_empty() && world.differs().is_empty());
    }
}

/// Of three routers that all poll, one unloads what a departed one left, once.
#[test]
fn orphans_are_unloaded_once() {
    for seed in 0..20 {
        let mut world = World::new(seed, 3, 6, 50.0);
        (0..6).for_each(|w| world.load_by(w, "left", "x"));
        world.pass(2 * KEPT + GRACE + 2 * ROUND);
        assert_eq!(world.unloads.len(), 6);
        assert!(
            world.unloads.values().all(|n| *n == 1) && world.violations.is_empty(),
            "{:?}",
            world.violations
        );
    }
}

/// Polls of a worker a second over a minute in which drift comes and goes.
fn polls_per_worker(routers: usize, workers: usize) -> (f64, u64) {
    let mut world = World::new(11, routers, workers, 50.0);
    world.pass(10 * S);
    let before: u64 = world.workers.iter().map(|w| w.polls).sum();
    for n in 0..12usize {
        (0..8).for_each(|f| world.dispatch(n % routers, (n + f) % workers, &function(f)));
        world.pass(2 * S);
        world.flush(n % workers);
        world.pass(3 * S);
    }
    let after: u64 = world.workers.iter().map(|w| w.polls).sum();
    assert!(world.violations.is_empty(), "{:?}", world.violations);
    let phantoms = world
        .found
        .iter()
        .filter(|d| d.kind == DriftKind::Phantom)
        .count();
    (
        (after - before) as f64 / workers as f64 / 60.0,
        phantoms as u64,
    )
}

#[test]
fn polls_per_worker_do_not_grow_with_the_routers() {
    let few = polls_per_worker(3, 12);
    for routers in [9, 300] {
        let many = polls_per_worker(routers, 12);
        println!("asks a worker a second: {few:?} with 3 routers, {many:?} with {routers}");
        assert!(
            many.0 < few.0 * 1.5 && many.0 > few.0 / 1.5,
            "{few:?} {many:?}"
        );
        assert!(many.1 > 0);
    }
}

/// More workers than its rate limit lets a router poll: it polls as many as it may, and each of them in turn.
#[test]
fn a_rate_limit_bounds_the_polls_of_a_router() {
    let mut world = World::new(5, 1, 200, 10.0);
    world.pass(60 * S);
    let asked: Vec<u64> = world.workers.iter().map(|w| w.polls).collect();
    let all: u64 = asked.iter().sum();
    assert!((560..=610).contains(&all), "{all}");
    assert!(asked.iter().all(|n| (2..=4).contains(n)), "{asked:?}");
}
