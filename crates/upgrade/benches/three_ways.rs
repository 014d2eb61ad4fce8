//! Three ways to bring a new version into service, in a simulation. Prints the figures of `docs/measurements.md`,
//! "Rolling upgrades, simulated": `cargo bench -p cedarpulley-upgrade --bench three_ways`.

#[path = "../tests/interval/mod.rs"]
mod interval;
#[path = "../tests/simulation/mod.rs"]
mod simulation;

use interval::interval;
use simulation::*;

const SEEDS: std::ops::RangeInclusive<u64> = 1..=10;
/// The names of the printed figures.
const FIGURE_NAMES: [&str; 7] = [
    "in objective, %",
    "rebuilt",
    "lost",
    "loads",
    "two versions",
    "sessions over",
    "took, s",
];
/// The figures of one run, in the order of [`FIGURE_NAMES`].
type Figures = [f64; FIGURE_NAMES.len()];

/// The compared ways: the policy, and whether an upgrade is ordered at all.
const WAYS: [(Policy, bool); 4] = [
    (Policy::Planner, true),
    (Policy::Planner, false),
    (Policy::AllAtOnce, true),
    (Policy::OneByOne, true),
];
/// When the upgrade is ordered, in seconds.
const ORDERED_AT_SECONDS: i64 = 20;

/// The time of the first log line of a step that ends with "is done", in seconds.
fn planner_done_at_seconds(sim: &Simulation) -> Option<i64> {
    let done = sim
        .log
        .iter()
        .find(|l| l.ends_with("is done") && l.contains("step"))?;
    done.split(' ').next()?.parse().ok()
}

fn play(copies_per_worker: u32, seed: u64, policy: Policy, ordered: bool) -> Figures {
    let mut sim = Simulation::new(seed, policy, 6, copies_per_worker);
    sim.traffic_rate = 16;
    if ordered {
        sim.schedule_orders(ORDERED_AT_SECONDS * SECOND, vec![order(1, "", "2")]);
    }
    sim.run(500 * SECOND, |_| false);
    assert!(
        policy != Policy::Planner || sim.violations.is_empty(),
        "{:#?} {:#?}",
        sim.violations,
        sim.log
    );
    let done_at = sim
        .totals
        .done_at
        .map(|at| at / SECOND)
        .or(planner_done_at_seconds(&sim));
    let totals = &sim.totals;
    [
        100.0 * totals.in_objective as f64 / totals.invocations as f64,
        totals.rebuilt as f64,
        totals.lost as f64,
        totals.loads as f64,
        totals.two_versions as f64,
        totals.sessions_over as f64,
        done_at.map_or(f64::NAN, |at| (at - ORDERED_AT_SECONDS) as f64),
    ]
}

fn main() {
    for copies_per_worker in [3, 1] {
        let results: Vec<Vec<Figures>> = WAYS
            .iter()
            .map(|(policy, ordered)| {
                SEEDS
                    .map(|seed| play(copies_per_worker, seed, *policy, *ordered))
                    .collect()
            })
            .collect();
        for (way, runs) in WAYS.iter().zip(&results) {
            println!("room {copies_per_worker} {way:?}");
            for (n, name) in FIGURE_NAMES.iter().enumerate() {
                let column: Vec<f64> = runs.iter().map(|r| r[n]).collect();
                let differences: Vec<f64> = runs
                    .iter()
                    .zip(&results[0])
                    .map(|(r, p)| r[n] - p[n])
                    .collect();
                let ((mean, half_width), (difference, difference_half_width)) =
                    (interval(&column), interval(&differences));
                println!(
                    "  {name}: {mean:.2} +- {half_width:.2}; beside the planner {difference:+.2} +- {difference_half_width:.2}"
                );
            }
        }
    }
}
