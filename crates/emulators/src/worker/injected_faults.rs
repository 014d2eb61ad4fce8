//! Injected faults that make the loaded functions of a worker differ from what routers record: functions evicted
//! without notice, lost orders and a falsified index. Also versions that fail or are slow. Each eviction, lost order
//! and falsified entry is logged.

use rand::seq::IndexedRandom;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use serde_json::{Value, json};

use super::{Worker, WorkerShared};
use crate::lock;

/// The faults that are set; orders that are still to be lost are counted down.
#[derive(Default)]
pub(super) struct InjectedFaults {
    loads_to_lose: u32,
    unloads_to_lose: u32,
    false_index: Option<FalseIndex>,
    version_faults: Vec<VersionFault>,
}

struct FalseIndex {
    report: FalseReport,
    /// Number of index requests that were answered with the falsified index.
    requests: u64,
}

/// How the index is falsified. Each field but the seed is the share of the entries that is affected, drawn anew for
/// each answer.
#[derive(Clone, Debug, Default)]
pub struct FalseReport {
    /// Seed of the draws.
    pub seed: u64,
    /// Share of the entries that is left out.
    pub dropped: f64,
    /// Share that is followed by an entry for another version of the same name, which is not loaded.
    pub added: f64,
    /// Share that is listed with one copy too many.
    pub miscounted: f64,
    /// Share that is listed twice, the second time as unavailable.
    pub contradicted: f64,
}

/// Fault of the functions whose names end with a suffix.
#[derive(Clone, Debug)]
struct VersionFault {
    suffix: String,
    failing_share: f64,
    slowdown: f64,
}

/// Effect of a version fault on one invocation.
#[derive(Clone, Copy, Debug)]
pub(super) struct Malfunction {
    /// The invocation fails after its work is done.
    pub(super) fails: bool,
    /// Factor by which its work is multiplied.
    pub(super) slowdown: f64,
}

/// Kind of an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum OrderKind {
    Load,
    Unload,
}

impl Worker {
    /// Evicts a function without notice; returns false if the function is not loaded or not idle.
    pub fn evict(&self, function: &str) -> bool {
        self.shared.remove_idle(
            "evicted",
            |name| name == function,
            &json!({"why": "unseen"}),
        ) > 0
    }

    /// Evicts up to `max_count` idle functions, drawn with this seed; returns their names.
    pub fn evict_idle(&self, seed: u64, max_count: usize) -> Vec<String> {
        let idle = self
            .loaded_functions()
            .into_iter()
            .filter(|function| function.busy == 0 && function.state == "READY");
        let idle: Vec<String> = idle.map(|function| function.function).collect();
        let mut random = Pcg64Mcg::seed_from_u64(seed);
        let drawn = idle.sample(&mut random, max_count);
        drawn
            .filter(|function| self.evict(function))
            .cloned()
            .collect()
    }

    /// Adds, or removes, a user of the function that no router knows of, which keeps the function busy. Returns false
    /// if the function is not ready at this worker.
    pub fn set_unseen_user(&self, function: &str, present: bool) -> bool {
        self.shared
            .with_incarnation(|incarnation| incarnation.set_unseen_user(function, present))
            .unwrap_or(false)
    }

    /// Loses the next `loads` load orders and `unloads` unload orders: the worker answers them with success but does
    /// not execute them.
    pub fn lose_orders(&self, loads: u32, unloads: u32) {
        let mut injected = lock(&self.shared.injected);
        (injected.loads_to_lose, injected.unloads_to_lose) = (loads, unloads);
    }

    /// Falsifies the index from now on; `None` ends that.
    pub fn falsify_index(&self, report: Option<FalseReport>) {
        lock(&self.shared.injected).false_index = report.map(|report| FalseIndex {
            report,
            requests: 0,
        });
    }

    /// Sets a fault of the functions whose names end with `suffix`: the share `failing_share` of their invocations
    /// fails after the work is done, and all of them take `slowdown` times their work. A share of 0 with a factor of 1
    /// removes the fault.
    pub fn set_version_fault(&self, suffix: &str, failing_share: f64, slowdown: f64) {
        let mut injected = lock(&self.shared.injected);
        injected.version_faults.retain(|f| f.suffix != suffix);
        if failing_share > 0.0 || slowdown != 1.0 {
            injected.version_faults.push(VersionFault {
                suffix: suffix.to_owned(),
                failing_share,
                slowdown,
            });
        }
    }
}

impl WorkerShared {
    /// Returns whether this order is lost; if so, counts and logs it.
    pub(super) fn loses_order(&self, function: &str, kind: OrderKind) -> bool {
        let mut injected = lock(&self.injected);
        let left = match kind {
            OrderKind::Load => &mut injected.loads_to_lose,
            OrderKind::Unload => &mut injected.unloads_to_lose,
        };
        if *left == 0 {
            return false;
        }
        *left -= 1;
        self.log.write(
            "order-lost",
            json!({"function": function, "load": kind == OrderKind::Load}),
        );
        true
    }

    /// Returns the effect of version faults on an invocation. The draw depends only on the worker's seed, the
    /// invocation and the fault.
    pub(super) fn malfunction_of(&self, function: &str, invocation_id: &str) -> Malfunction {
        use std::hash::{BuildHasher, BuildHasherDefault, DefaultHasher};
        let injected = lock(&self.injected);
        let Some(fault) = injected
            .version_faults
            .iter()
            .find(|f| function.ends_with(&f.suffix))
        else {
            return Malfunction {
                fails: false,
                slowdown: 1.0,
            };
        };
        let hash = BuildHasherDefault::<DefaultHasher>::default().hash_one((
            self.seed,
            invocation_id,
            &fault.suffix,
        ));
        let draw: f64 = Pcg64Mcg::seed_from_u64(hash).random();
        Malfunction {
            fails: draw < fault.failing_share,
            slowdown: fault.slowdown,
        }
    }

    /// Returns the index with the entries falsified as injected.
    pub(super) fn falsify_index(&self, entries: Vec<Value>) -> Vec<Value> {
        let (report, requests) = match lock(&self.injected).false_index.as_mut() {
            None => return entries,
            Some(false_index) => {
                false_index.requests += 1;
                (false_index.report.clone(), false_index.requests)
            }
        };
        let mut random = Pcg64Mcg::seed_from_u64(report.seed ^ requests << 32);
        let mut all = Vec::new();
        let log_change = |how: &str, entry: &Value| {
            let (name, version) = (&entry["name"], &entry["version"]);
            self.log.write(
                "lied",
                json!({"how": how, "name": name, "version": version}),
            );
        };
        for mut entry in entries {
            let mut draws = |share: f64| random.random::<f64>() < share;
            let (dropped, added) = (draws(report.dropped), draws(report.added));
            let (miscounted, contradicted) = (draws(report.miscounted), draws(report.contradicted));
            if miscounted {
                log_change("miscounted", &entry);
                entry["parameters"]["copies"] =
                    (entry["parameters"]["copies"].as_u64().unwrap_or(0) + 1).into();
            }
            let (mut invented, mut repeated) = (entry.clone(), entry.clone());
            if dropped {
                log_change("dropped", &entry);
            } else {
                all.push(entry);
            }
            if added {
                invented["version"] = format!("{}", 900 + requests % 100).into();
                log_change("added", &invented);
                all.push(invented);
            }
            if contradicted && !dropped {
                log_change("contradicted", &repeated);
                repeated["state"] = "UNAVAILABLE".into();
                all.push(repeated);
            }
        }
        all
    }
}
