//! Faults on command that part what a worker holds from what routers believe of it: copies evicted unseen, orders
//! lost, an index that lies, and versions that err or are slow. Each that comes about is told in the log.

use std::sync::Arc;
use std::time::Instant;

use rand::seq::IndexedRandom;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use serde_json::{Value, json};

use super::{Inner, Worker};
use crate::lock;

#[derive(Default)]
pub(super) struct Drift {
    lost_loads: u32,
    lost_unloads: u32,
    lies: Option<(Lies, u64)>,
    ails: Vec<Ail>,
}

/// How an index is spoilt; parts are of its entries, drawn anew for each answer by the seed.
#[derive(Clone, Debug, Default)]
pub struct Lies {
    pub seed: u64,
    /// Left out.
    pub dropped: f64,
    /// Followed by one that is not held, of the same name and another version.
    pub added: f64,
    /// With a copy too many.
    pub miscounted: f64,
    /// Said twice, the second time as unavailable.
    pub contradicted: f64,
}

/// What functions whose names end so suffer.
#[derive(Clone, Debug)]
struct Ail {
    suffix: String,
    errored_part: f64,
    slow_times: f64,
}

impl Worker {
    /// Gone without a word, if it stands there idle.
    pub fn evict(&self, function: &str) -> bool {
        self.inner
            .remove("evicted", |name| name == function, json!({"why": "unseen"}))
            > 0
    }

    /// Of the idle copies so many, drawn; their functions.
    pub fn evict_idle(&self, seed: u64, most: usize) -> Vec<String> {
        let idle = self
            .held()
            .into_iter()
            .filter(|h| h.busy == 0 && h.state == "READY");
        let idle: Vec<String> = idle.map(|h| h.function).collect();
        let mut random = Pcg64Mcg::seed_from_u64(seed);
        let drawn = idle.sample(&mut random, most);
        drawn
            .filter(|function| self.evict(function))
            .cloned()
            .collect()
    }

    /// Somebody whom no router knows uses it, or no more. False if it does not stand there.
    pub fn use_unseen(&self, function: &str, on: bool) -> bool {
        let mut life = lock(&self.inner.life);
        let copy = life
            .as_mut()
            .and_then(|l| l.copies.get_mut(function))
            .filter(|c| c.stands == Some(true));
        let Some(copy) = copy else { return false };
        copy.busy = if on {
            copy.busy + 1
        } else {
            copy.busy.saturating_sub(1)
        };
        copy.used = Instant::now();
        true
    }

    /// Of the next orders so many are answered as if they were carried out, and are not.
    pub fn lose_orders(&self, loads: u32, unloads: u32) {
        let mut drift = lock(&self.inner.drift);
        (drift.lost_loads, drift.lost_unloads) = (loads, unloads);
    }

    /// Its index lies so from now on, or no more.
    pub fn lies(&self, lies: Option<Lies>) {
        lock(&self.inner.drift).lies = lies.map(|l| (l, 0));
    }

    /// Functions whose names end so err, after their work, for this part of the invocations, and take so many times
    /// their work. Without part and with 1.0 they are well again.
    pub fn ail(&self, suffix: &str, errored_part: f64, slow_times: f64) {
        let mut drift = lock(&self.inner.drift);
        drift.ails.retain(|a| a.suffix != suffix);
        if errored_part > 0.0 || slow_times != 1.0 {
            drift.ails.push(Ail {
                suffix: suffix.to_owned(),
                errored_part,
                slow_times,
            });
        }
    }
}

impl Inner {
    /// Whether this order is lost.
    pub(super) fn loses(&self, function: &str, load: bool) -> bool {
        let mut drift = lock(&self.drift);
        let left = if load {
            &mut drift.lost_loads
        } else {
            &mut drift.lost_unloads
        };
        if *left == 0 {
            return false;
        }
        *left -= 1;
        self.log
            .write("order-lost", json!({"function": function, "load": load}));
        true
    }

    /// Whether this invocation errs, and how many times its work it takes.
    pub(super) fn ails(&self, function: &str, id: &str) -> (bool, f64) {
        use std::hash::{BuildHasher, BuildHasherDefault, DefaultHasher};
        let drift = lock(&self.drift);
        let Some(ail) = drift.ails.iter().find(|a| function.ends_with(&a.suffix)) else {
            return (false, 1.0);
        };
        let hash =
            BuildHasherDefault::<DefaultHasher>::default().hash_one((self.seed, id, &ail.suffix));
        let draw: f64 = Pcg64Mcg::seed_from_u64(hash).random();
        (draw < ail.errored_part, ail.slow_times)
    }
}

/// The index as it is told.
pub(super) fn told(it: &Arc<Inner>, entries: Vec<Value>) -> Vec<Value> {
    let (lies, asked) = match lock(&it.drift).lies.as_mut() {
        None => return entries,
        Some((lies, asked)) => {
            *asked += 1;
            (lies.clone(), *asked)
        }
    };
    let mut random = Pcg64Mcg::seed_from_u64(lies.seed ^ asked << 32);
    let mut all = Vec::new();
    let lied = |how: &str, entry: &Value| {
        let (name, version) = (&entry["name"], &entry["version"]);
        it.log.write(
            "lied",
            json!({"how": how, "name": name, "version": version}),
        );
    };
    for mut entry in entries {
        let mut draws = |part: f64| random.random::<f64>() < part;
        let (dropped, added) = (draws(lies.dropped), draws(lies.added));
        let (miscounted, contradicted) = (draws(lies.miscounted), draws(lies.contradicted));
        if miscounted {
            lied("miscounted", &entry);
            entry["parameters"]["copies"] =
                (entry["parameters"]["copies"].as_u64().unwrap_or(0) + 1).into();
        }
        let (mut other, mut again) = (entry.clone(), entry.clone());
        match dropped {
            true => lied("dropped", &entry),
            false => all.push(entry),
        }
        if added {
            other["version"] = format!("{}", 900 + asked % 100).into();
            lied("added", &other);
            all.push(other);
        }
        if contradicted && !dropped {
            lied("contradicted", &again);
            again["state"] = "UNAVAILABLE".into();
            all.push(again);
        }
    }
    all
}
