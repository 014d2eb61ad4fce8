//! What is done to a fleet, and when: steps at their times, or again and again in gaps drawn by a seed. Steps are
//! closures over the fleet, played in the order of their times in the caller's thread.

use std::time::{Duration, Instant};

use rand::SeedableRng;
use rand_distr::{Distribution, Exp};
use rand_pcg::Pcg64Mcg;

use crate::fleet::Fleet;

type Step<'a> = Box<dyn FnMut(&Fleet, &mut Pcg64Mcg) + 'a>;

pub struct Script<'a> {
    random: Pcg64Mcg,
    steps: Vec<(Duration, usize)>,
    acts: Vec<Step<'a>>,
}

impl<'a> Script<'a> {
    pub fn new(seed: u64) -> Self {
        Script {
            random: Pcg64Mcg::seed_from_u64(seed),
            steps: Vec::new(),
            acts: Vec::new(),
        }
    }

    pub fn at(mut self, ms: u64, mut act: impl FnMut(&Fleet) + 'a) -> Self {
        self.steps
            .push((Duration::from_millis(ms), self.acts.len()));
        self.acts.push(Box::new(move |fleet, _| act(fleet)));
        self
    }

    /// Between the two times, so long apart in the mean; the act has draws of its own.
    pub fn often(
        mut self,
        ms: std::ops::Range<u64>,
        mean_ms: f64,
        act: impl FnMut(&Fleet, &mut Pcg64Mcg) + 'a,
    ) -> Self {
        let mut at = ms.start as f64;
        while let Ok(gap) = Exp::new(1.0 / mean_ms) {
            at += gap.sample(&mut self.random);
            if at >= ms.end as f64 {
                break;
            }
            self.steps
                .push((Duration::from_millis(at as u64), self.acts.len()));
        }
        self.acts.push(Box::new(act));
        self
    }

    /// Times count from `began`.
    pub fn play(mut self, fleet: &Fleet, began: Instant) {
        self.steps.sort_by_key(|s| s.0);
        for (at, act) in self.steps {
            std::thread::sleep((began + at).saturating_duration_since(Instant::now()));
            self.acts[act](fleet, &mut self.random);
        }
    }
}
