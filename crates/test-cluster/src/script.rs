//! Scripts of timed actions on a cluster. An action runs once at its time, or repeatedly at random intervals that are
//! drawn with a seed. Actions are closures that run in the thread of the caller, in the order of their times.

use std::time::{Duration, Instant};

use rand::SeedableRng;
use rand_distr::{Distribution, Exp};
use rand_pcg::Pcg64Mcg;

use crate::cluster::Cluster;

type Action<'a> = Box<dyn FnMut(&Cluster, &mut Pcg64Mcg) + 'a>;

/// One run of an action.
struct Step {
    at: Duration,
    /// Index of the action.
    action: usize,
}

/// Timed actions on a cluster.
pub struct Script<'a> {
    random: Pcg64Mcg,
    steps: Vec<Step>,
    actions: Vec<Action<'a>>,
}

impl<'a> Script<'a> {
    /// Creates a script without actions; the seed is used for all draws.
    pub fn new(seed: u64) -> Self {
        Script {
            random: Pcg64Mcg::seed_from_u64(seed),
            steps: Vec::new(),
            actions: Vec::new(),
        }
    }

    /// Adds an action that runs once, this many milliseconds after the start of the script.
    pub fn at(mut self, ms: u64, mut action: impl FnMut(&Cluster) + 'a) -> Self {
        self.add_step(Duration::from_millis(ms));
        self.actions
            .push(Box::new(move |cluster, _| action(cluster)));
        self
    }

    /// Adds an action that runs repeatedly within the range `ms`, in milliseconds after the start of the script, with
    /// exponentially distributed intervals of the mean `mean_ms`. The action gets the random generator of the script.
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

    /// Adds a step for the action that is added next.
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
