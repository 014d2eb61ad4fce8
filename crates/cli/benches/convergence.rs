//! How soon a group is whole again after a cut heals, over processes and under traffic; prints the figures of
//! `docs/measurements.md`: `cargo bench -p cedarpulley-cli --bench convergence`.

#[path = "../tests/fleets/mod.rs"]
mod fleets;
#[path = "../tests/sharing/mod.rs"]
mod sharing;

use fleets::LONG_MS;
use sharing::*;

const SEEDS: std::ops::RangeInclusive<u64> = 1..=5;

fn main() {
    for cut_off in [ONE_OF_THREE, REGION_OF_THREE, ONE_OF_FIVE, REGION_OF_FIVE] {
        let mut plays = Vec::new();
        for seed in SEEDS {
            let healed = cut_off.plays(seed);
            println!("{cut_off:?}, seed {seed}: {healed:?}");
            plays.push(healed);
        }
        let figures = |of: fn(&Healed) -> f64| {
            let mut all: Vec<f64> = plays.iter().map(of).collect();
            all.sort_by(f64::total_cmp);
            format!("{:.0} / {:.0} ms", all[all.len() / 2], all[all.len() - 1])
        };
        println!(
            "{cut_off:?} for {LONG_MS} ms, {} plays, p50 / max: all alive {}, believed so {}, held again {}",
            plays.len(),
            figures(|h| h.alive),
            figures(|h| h.believed),
            figures(|h| h.holds),
        );
    }
}
