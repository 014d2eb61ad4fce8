//! What is done to a cluster, and when: actions at their times, or repeatedly in intervals drawn by a seed. Actions are
//! closures over the cluster, run in the order of their times in the caller's thread.

use std::time::{Duration, Instant};

use rand::SeedableRng;
use rand_distr::{Distribution, Exp};
use rand_pcg::Pcg64Mcg;

use crate::cluster::Cluster;

type Action<'a> = Box<dyn FnMut(&Cluster, &mut Pcg64Mcg) + 'a>;

struct Step {
    at: Duration,
    /// Index of its action.
    action: usize,
}

/// Timed actions on a cluster.
pub struct Script<'a> {
    random: Pcg64Mcg,
    steps: Vec<Step>,
    actions: Vec<Action<'a>>,
}

impl<'a> Script<'a> {
    /// Without actions; the seed is that of all draws.
    pub fn new(seed: u64) -> Self {
        Script {
            random: Pcg64Mcg::seed_from_u64(seed),
            steps: Vec::new(),
            actions: Vec::new(),
        }
    }

    /// Runs an action once, this many milliseconds after the beginning.
    pub fn at(mut self, ms: u64, mut action: impl FnMut(&Cluster) + 'a) -> Self {
        self.add_step(Duration::from_millis(ms));
        self.actions
            .push(Box::new(move |cluster, _| action(cluster)));
        self
    }

    /// Runs an action repeatedly between the two times, in exponential intervals of this mean; the action may draw.
    pub fn repeatedly(
        mut self,
        ms: std::ops::Range<u64>,
        mean_ms: f64,
        action: impl FnMut(&Cluster, &mut Pcg64Mcg) + 'a,
    ) -> Self {
        let mut at = ms.start as f64;
        while let Ok(gap) = Exp::new(1.0 / mean_ms) {
            at += gap.sample(&mut self.random);
            if at >= ms.end as f64 {
                break;
            }
            self.add_step(Duration::from_millis(at as u64));
        }
        self.actions.push(Box::new(action));
        self
    }

    /// A step of the action that is added next.
    fn add_step(&mut self, at: Duration) {
        self.steps.push(Step {
            at,
            action: self.actions.len(),
        });
    }

    /// Runs all actions at their times, counted from `began`.
    pub fn run(mut self, cluster: &Cluster, began: Instant) {
        self.steps.sort_by_key(|step| step.at);
        for Step { at, action } in self.steps {
            std::thread::sleep((began + at).saturating_duration_since(Instant::now()));
            self.actions[action](cluster, &mut self.random);
        }
    }
}
