//! Measures how soon the routers of a group agree again after a partition has healed, with routers in processes of their
//! own and under traffic. Prints the figures for `docs/measurements.md`.
//!
//! Run with `cargo bench -p cedarpulley-cli --bench convergence`.

#[path = "../tests/fleets/mod.rs"]
mod fleets;
#[path = "../tests/sharing/mod.rs"]
mod sharing;

use fleets::LONG_MS;
use sharing::*;

/// Seeds of the runs, one run each.
const SEEDS: std::ops::RangeInclusive<u64> = 1..=5;

fn main() {
    for cut_off in [ONE_OF_THREE, REGION_OF_THREE, ONE_OF_FIVE, REGION_OF_FIVE] {
        let mut runs = Vec::new();
        for seed in SEEDS {
            let healed = cut_off.plays(seed);
            println!("{cut_off:?}, seed {seed}: {healed:?}");
            runs.push(healed);
        }
        let median_and_max = |time_ms: fn(&Healed) -> f64| {
            let mut sorted: Vec<f64> = runs.iter().map(time_ms).collect();
            sorted.sort_by(f64::total_cmp);
            format!(
                "{:.0} / {:.0} ms",
                sorted[sorted.len() / 2],
                sorted[sorted.len() - 1]
            )
        };
        println!(
            "{cut_off:?} for {LONG_MS} ms, {} plays, p50 / max: all alive {}, believed so {}, held again {}",
            runs.len(),
            median_and_max(|healed| healed.alive),
            median_and_max(|healed| healed.believed),
            median_and_max(|healed| healed.holds),
        );
    }
}
