//! Upgrades in a simulated world.

mod world;

use cedarpulley_upgrade::*;
use proptest::prelude::*;
use world::*;

fn settled(w: &World) -> bool {
    w.phase().is_some_and(Phase::is_over)
}

#[test]
fn an_upgrade_goes_through_all_regions_and_keeps_floors_and_sessions() {
    for (seed, room) in [(1, 3), (2, 2), (3, 1), (4, 1)] {
        let mut w = World::new(seed, Policy::Planner, 4, room);
        w.orders(10 * S, vec![order(1, "", "2")]);
        let over = w.run(600 * S, settled);
        assert!(w.wrong.is_empty(), "{:#?}", w.wrong);
        assert!(over && w.phase() == Some(Phase::Done), "{:#?} {:#?}", w.log, w.shown());
        w.run(w.now + 20 * S, |_| false);
        assert_eq!(w.holds(&old()), 0);
        assert!(w.sums.failed == 0 && w.wrong.is_empty());
    }
}

fn fault() -> impl Strategy<Value = Fault> {
    let (member, worker) = (0..5usize, 0..6usize);
    let short = || (1..25i64).prop_map(|s| s * S);
    prop_oneof![
        (member.clone(), short()).prop_map(|(m, d)| Fault::Crash(m, d)),
        (member.clone(), short()).prop_map(|(m, d)| Fault::Stop(m, d)),
        (member, short()).prop_map(|(m, d)| Fault::Alone(m, d)),
        short().prop_map(Fault::Cut),
        (worker.clone(), short()).prop_map(|(w, d)| Fault::WorkerDies(w, d)),
        (worker, short()).prop_map(|(w, d)| Fault::LoadsFail(w, d * 3)),
        short().prop_map(|d| Fault::SlowStore(d * 2)),
        short().prop_map(Fault::LostOrders),
        short().prop_map(Fault::Errs),
        short().prop_map(Fault::Slow),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig { cases: std::env::var("CASES").ok().and_then(|c| c.parse().ok()).unwrap_or(40), failure_persistence: None, rng_seed: proptest::test_runner::RngSeed::Fixed(11), ..ProptestConfig::default() })]

    #[test]
    fn whatever_befalls_nothing_forbidden_happens_and_the_plan_ends_or_says_why_not(
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
        prop_assert!(w.wrong.is_empty(), "{:#?} {:#?}", w.wrong, w.log);
        let why = w.shown().map(|s| s.waits).unwrap_or_default();
        prop_assert!(over || !why.is_empty(), "{:#?} {:#?}", w.log, w.shown());
        println!("{seed} {room} {workers} {over} {why} {:?} {:?}", w.phase(), w.sums);
    }
}
