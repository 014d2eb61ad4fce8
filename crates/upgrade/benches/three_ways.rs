//! Three ways to bring a new version into service, in the simulated world; prints the figures of
//! `docs/measurements.md`, "Rolling upgrades, simulated": `cargo bench -p cedarpulley-upgrade --bench three_ways`.

#[path = "../tests/interval/mod.rs"]
mod interval;
#[path = "../tests/world/mod.rs"]
mod world;

use interval::interval;
use world::*;

const SEEDS: std::ops::RangeInclusive<u64> = 1..=10;
const FIGURES: [&str; 7] = [
    "in objective, %",
    "rebuilt",
    "lost",
    "loads",
    "two versions",
    "sessions over",
    "took, s",
];
type Figures = [f64; FIGURES.len()];

/// Of whom the versions are, and whether there is an upgrade at all.
const WAYS: [(Policy, bool); 4] = [
    (Policy::Planner, true),
    (Policy::Planner, false),
    (Policy::AllAtOnce, true),
    (Policy::OneByOne, true),
];
const ORDERED_S: i64 = 20;

/// When the planner's last step was done, in seconds.
fn planned_until(w: &World) -> Option<i64> {
    let done = w
        .log
        .iter()
        .find(|l| l.ends_with("is done") && l.contains("step"))?;
    done.split(' ').next()?.parse().ok()
}

fn play(room: u32, seed: u64, policy: Policy, ordered: bool) -> Figures {
    let mut w = World::new(seed, policy, 6, room);
    w.rate = 16;
    if ordered {
        w.orders(ORDERED_S * S, vec![order(1, "", "2")]);
    }
    w.run(500 * S, |_| false);
    assert!(
        policy != Policy::Planner || w.violations.is_empty(),
        "{:#?} {:#?}",
        w.violations,
        w.log
    );
    let done_at = w.totals.done_at.map(|at| at / S).or(planned_until(&w));
    let totals = &w.totals;
    [
        100.0 * totals.in_objective as f64 / totals.invocations as f64,
        totals.rebuilt as f64,
        totals.lost as f64,
        totals.loads as f64,
        totals.two_versions as f64,
        totals.sessions_over as f64,
        done_at.map_or(f64::NAN, |at| (at - ORDERED_S) as f64),
    ]
}

fn main() {
    for room in [3, 1] {
        let played: Vec<Vec<Figures>> = WAYS
            .iter()
            .map(|(policy, ordered)| {
                SEEDS
                    .map(|seed| play(room, seed, *policy, *ordered))
                    .collect()
            })
            .collect();
        for (way, of) in WAYS.iter().zip(&played) {
            println!("room {room} {way:?}");
            for (n, name) in FIGURES.iter().enumerate() {
                let column: Vec<f64> = of.iter().map(|r| r[n]).collect();
                let beside: Vec<f64> = of
                    .iter()
                    .zip(&played[0])
                    .map(|(r, p)| r[n] - p[n])
                    .collect();
                let ((mean, half), (d, dh)) = (interval(&column), interval(&beside));
                println!("  {name}: {mean:.2} +- {half:.2}; beside the planner {d:+.2} +- {dh:.2}");
            }
        }
    }
}
