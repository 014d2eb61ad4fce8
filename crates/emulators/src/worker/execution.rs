//! Duration of an invocation: its work is drawn at random and advances with its share of the cores.

use std::time::{Duration, Instant};

use async_io::Timer;
use rand::{Rng, SeedableRng};
use rand_distr::{Distribution, LogNormal};

use super::{TIME_STEP, WorkerShared};

/// Standard deviation of the logarithm of the work.
const LOG_DEVIATION: f64 = 0.35;

impl WorkerShared {
    /// Waits until this much work is done. How fast it advances depends on the cores, slow start and faults.
    pub(super) async fn execute(&self, work: Duration) {
        let mut left = work.as_secs_f64();
        while left > 0.0 {
            let faults = self.faults();
            let pace = if faults.paused {
                0.0
            } else {
                self.with_incarnation(|incarnation| {
                    incarnation.pace(&self.profile) / faults.slowdown
                })
                .unwrap_or(0.0)
            };
            let step = if pace > 0.0 {
                TIME_STEP.as_secs_f64().min(left / pace)
            } else {
                TIME_STEP.as_secs_f64()
            };
            let began = Instant::now();
            Timer::after(Duration::from_secs_f64(step)).await;
            left -= began.elapsed().as_secs_f64() * pace;
        }
    }
}

/// Draws the work of an invocation from a log-normal distribution with this mean. Every worker with the same seed draws
/// the same work for the same invocation.
pub(super) fn draw_work(seed: u64, invocation_id: &str, mean: Duration) -> Duration {
    use std::hash::{BuildHasher, BuildHasherDefault, DefaultHasher};
    let hash = BuildHasherDefault::<DefaultHasher>::default().hash_one((seed, invocation_id));
    let mut random = rand_pcg::Pcg64Mcg::seed_from_u64(hash);
    let _: u64 = random.next_u64();
    let mu = mean.as_secs_f64().max(1e-6).ln() - LOG_DEVIATION * LOG_DEVIATION / 2.0;
    let seconds = LogNormal::new(mu, LOG_DEVIATION).map_or(0.0, |d| d.sample(&mut random));
    Duration::from_secs_f64(seconds.min(mean.as_secs_f64() * 10.0))
}
