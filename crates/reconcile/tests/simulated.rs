//! Simulates random interleavings of loads, dispatches, polls, notes and drifts, and checks that no correction is
//! false, that no function is repaired while it is loading, that no copy is unloaded that a router records as warm, and
//! that every drift is found within the stated number of rounds. Further tests run 3, 9 and 300 routers and check that
//! the polls per worker do not grow with the number of routers.

mod simulation;

use cedarpulley_reconcile::DriftKind;
use proptest::prelude::*;
use simulation::*;

/// A worker is polled at least once in this time (microseconds): the longest interval is 4 times the base interval, and
/// one more covers jitter, message times and one other poll before it.
const ROUND_TIME: i64 = POLL_INTERVAL * 4 + POLL_INTERVAL;
/// Rounds of polls until all routers have correct records: one round, and one more for the notes or for functions that
/// were loading. The simulation itself counts the reports that a correction takes (`simulation::MAX_REPORTS`).
const CORRECTION_ROUNDS: i64 = 2;
/// The same with doubted workers: a difference must be reported twice, and doubt lasts for at most this many reports.
const CORRECTION_ROUNDS_DOUBTED: i64 = 10;

/// One step of a simulated scenario. Numbers are indexes, in the order router, worker, function.
#[derive(Clone, Debug)]
enum Step {
    /// Time passes, in microseconds.
    Pass(i64),
    /// A router orders a load.
    Order(usize, usize, usize),
    /// A router dispatches an invocation.
    Dispatch(usize, usize, usize),
    /// A worker evicts all copies of a function.
    Evict(usize, usize),
    /// A worker evicts all functions.
    Flush(usize),
    /// A worker process restarts.
    Restart(usize),
    /// The number of copies of a loaded function becomes 3.
    More(usize, usize),
    /// A function is loaded that router `r0` is reported to have ordered, without an event at that router.
    Elsewhere(usize, usize),
    /// A function is loaded that router `x`, which is not a member, ordered.
    Orphan(usize, usize),
    /// A router dies.
    Kill(usize),
    /// A worker stops or resumes answering polls.
    Silent(usize, bool),
    /// A worker starts or stops reporting false numbers of copies.
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

fn apply(simulation: &mut Simulation, step: &Step) {
    match *step {
        Step::Pass(time) => simulation.advance(time),
        Step::Order(r, w, f) => simulation.order_load(r, w, &function_name(f)),
        Step::Dispatch(r, w, f) => simulation.dispatch(r, w, &function_name(f)),
        Step::Evict(w, f) if simulation.copies_at(w, &function_name(f)) > 0 => {
            simulation.set_copies(w, &function_name(f), 0)
        }
        Step::More(w, f) if simulation.copies_at(w, &function_name(f)) > 0 => {
            simulation.set_copies(w, &function_name(f), 3)
        }
        Step::Evict(..) | Step::More(..) => {}
        Step::Flush(w) => simulation.flush(w),
        Step::Restart(w) => simulation.restart(w),
        Step::Elsewhere(w, f) => simulation.load_ordered_by(w, &function_name(f), "r0"),
        Step::Orphan(w, f) => simulation.load_ordered_by(w, &function_name(f), "x"),
        Step::Kill(r) => simulation.kill(r),
        Step::Silent(w, on) => simulation.workers[w].silent = on,
        Step::FalseReports(w, on) => simulation.workers[w].corrupted_one_in = on.then_some(3),
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 300, failure_persistence: None, rng_seed: proptest::test_runner::RngSeed::Fixed(25), ..ProptestConfig::default() })]

    /// Guards against records that stay wrong after evictions, restarts, unanswered polls or false reports, and against
    /// corrections that contradict the state of the worker or newer evidence.
    #[test]
    fn records_converge_to_the_state_of_the_workers_and_no_correction_is_false(seed in any::<u64>(), routers in 1..4usize, steps in steps()) {
        let mut simulation = Simulation::new(seed, 3, 3, 50.0);
        (routers..3).for_each(|r| simulation.kill(r));
        let mut had_false_reports = false;
        for step in &steps {
            had_false_reports |= matches!(step, Step::FalseReports(_, true));
            apply(&mut simulation, step);
        }
        for w in &mut simulation.workers {
            (w.silent, w.corrupted_one_in) = (false, None);
        }
        let rounds = if had_false_reports || simulation.routers.iter().any(|r| r.counts.refuted > 0) { CORRECTION_ROUNDS_DOUBTED } else { CORRECTION_ROUNDS };
        // An unresponsive worker is polled at the longest interval, so its next poll may be one round away.
        simulation.advance(ROUND_TIME + rounds * ROUND_TIME);
        prop_assert!(simulation.violations.is_empty(), "{:?}", simulation.violations);
        let differences = simulation.differences();
        prop_assert!(differences.is_empty(), "{differences:?}");
    }
}

/// Guards against drifts that are reported without a fault; only loads of other routers may be reported.
#[test]
fn without_drift_nothing_is_reported_or_repaired() {
    for seed in 0..20 {
        let mut simulation = Simulation::new(seed, 3, 4, 50.0);
        for n in 0..200usize {
            let (r, w, f) = (n % 3, n * 7 % 4, n * 5 % 6);
            if n % 2 == 0 {
                simulation.order_load(r, w, &function_name(f))
            } else {
                simulation.dispatch(r, w, &function_name(f))
            }
            simulation.advance(150_000);
        }
        simulation.advance(10 * SECOND);
        let unexpected: Vec<_> = simulation
            .drifts
            .iter()
            .filter(|d| d.kind != DriftKind::Unseen)
            .collect();
        assert!(
            unexpected.is_empty()
                && simulation.requested_loads == 0
                && simulation.unloads.is_empty(),
            "{unexpected:?}"
        );
        assert!(simulation.violations.is_empty() && simulation.differences().is_empty());
    }
}

/// Guards against copies of a departed router that are unloaded by several of three routers, or several times.
#[test]
fn orphans_are_unloaded_once() {
    for seed in 0..20 {
        let mut simulation = Simulation::new(seed, 3, 6, 50.0);
        (0..6).for_each(|w| simulation.load_ordered_by(w, "left", "x"));
        simulation.advance(2 * RECORD_LIFETIME + GRACE_PERIOD + 2 * ROUND_TIME);
        assert_eq!(simulation.unloads.len(), 6);
        assert!(
            simulation.unloads.values().all(|n| *n == 1) && simulation.violations.is_empty(),
            "{:?}",
            simulation.violations
        );
    }
}

/// Returns the polls per worker and second over a minute with recurring drifts, and the number of phantom drifts found.
fn polls_per_worker(routers: usize, workers: usize) -> (f64, u64) {
    let mut simulation = Simulation::new(11, routers, workers, 50.0);
    simulation.advance(10 * SECOND);
    let before: u64 = simulation.workers.iter().map(|w| w.polls).sum();
    for n in 0..12usize {
        (0..8).for_each(|f| simulation.dispatch(n % routers, (n + f) % workers, &function_name(f)));
        simulation.advance(2 * SECOND);
        simulation.flush(n % workers);
        simulation.advance(3 * SECOND);
    }
    let after: u64 = simulation.workers.iter().map(|w| w.polls).sum();
    assert!(
        simulation.violations.is_empty(),
        "{:?}",
        simulation.violations
    );
    let phantoms = simulation
        .drifts
        .iter()
        .filter(|d| d.kind == DriftKind::Phantom)
        .count();
    (
        (after - before) as f64 / workers as f64 / 60.0,
        phantoms as u64,
    )
}

/// Guards against polls per worker that increase with the number of routers.
#[test]
fn polls_per_worker_do_not_grow_with_the_routers() {
    let few = polls_per_worker(3, 12);
    for routers in [9, 300] {
        let many = polls_per_worker(routers, 12);
        println!(
            "polls per worker and second, phantoms: {few:?} with 3 routers, {many:?} with {routers}"
        );
        assert!(
            many.0 < few.0 * 1.5 && many.0 > few.0 / 1.5,
            "{few:?} {many:?}"
        );
        assert!(many.1 > 0);
    }
}

/// Guards against a router that exceeds its rate limit, or that starves some workers, when more workers are due than
/// the limit allows.
#[test]
fn a_rate_limit_bounds_the_polls_of_a_router() {
    let mut simulation = Simulation::new(5, 1, 200, 10.0);
    simulation.advance(60 * SECOND);
    let polls: Vec<u64> = simulation.workers.iter().map(|w| w.polls).collect();
    let total: u64 = polls.iter().sum();
    assert!((560..=610).contains(&total), "{total}");
    assert!(polls.iter().all(|n| (2..=4).contains(n)), "{polls:?}");
}
