//! Faults on command that make what a worker has in memory differ from what routers believe: functions evicted
//! without notice, orders lost, a false index, and versions that fail or are slow. Each that takes effect is logged.

use rand::seq::IndexedRandom;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use serde_json::{Value, json};

use super::{Worker, WorkerShared};
use crate::lock;

/// The faults that are set, and how far they have been used up.
#[derive(Default)]
pub(super) struct InjectedFaults {
    loads_to_lose: u32,
    unloads_to_lose: u32,
    false_index: Option<FalseIndex>,
    version_faults: Vec<VersionFault>,
}

struct FalseIndex {
    report: FalseReport,
    /// Requests answered with it so far.
    requests: u64,
}

/// How the index is falsified: shares of its entries, drawn anew for each answer.
#[derive(Clone, Debug, Default)]
pub struct FalseReport {
    /// Of the draws.
    pub seed: u64,
    /// Share left out.
    pub dropped: f64,
    /// Share followed by a function that is not loaded, of the same name and another version.
    pub added: f64,
    /// Share with a copy too many.
    pub miscounted: f64,
    /// Share listed twice, the second time as unavailable.
    pub contradicted: f64,
}

/// Fault of the functions whose names have this suffix.
#[derive(Clone, Debug)]
struct VersionFault {
    suffix: String,
    failing_share: f64,
    slowdown: f64,
}

/// What a faulty version does to one invocation.
#[derive(Clone, Copy, Debug)]
pub(super) struct Malfunction {
    /// It fails after its work.
    pub(super) fails: bool,
    /// Factor on its work.
    pub(super) slowdown: f64,
}

/// Which kind of order a fault concerns.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum OrderKind {
    Load,
    Unload,
}

impl Worker {
    /// Evicts a function without notice; false if it is not idle here.
    pub fn evict(&self, function: &str) -> bool {
        self.shared.remove_idle(
            "evicted",
            |name| name == function,
            &json!({"why": "unseen"}),
        ) > 0
    }

    /// Evicts up to this many idle functions, drawn by the seed; returns their names.
    pub fn evict_idle(&self, seed: u64, most: usize) -> Vec<String> {
        let idle = self
            .loaded_functions()
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

    /// A user of which no router knows comes or goes. False if the function is not ready here.
    pub fn set_unseen_user(&self, function: &str, on: bool) -> bool {
        self.shared
            .with_incarnation(|incarnation| incarnation.set_unseen_user(function, on))
            .unwrap_or(false)
    }

    /// The next orders, this many of each kind, are answered as if they were carried out, and are not.
    pub fn lose_orders(&self, loads: u32, unloads: u32) {
        let mut injected = lock(&self.shared.injected);
        (injected.loads_to_lose, injected.unloads_to_lose) = (loads, unloads);
    }

    /// Falsifies its index from now on, or no more.
    pub fn falsify_index(&self, lies: Option<FalseReport>) {
        lock(&self.shared.injected).false_index = lies.map(|report| FalseIndex {
            report,
            requests: 0,
        });
    }

    /// Functions whose names have this suffix fail, after their work, for this share of the invocations, and take
    /// this many times their work. With a share of 0 and a factor of 1 the fault is removed.
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
    /// Whether this order is lost; counts and logs it if so.
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

    /// What an invocation suffers: the same for the same invocation and fault.
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

    /// The index as it is answered.
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
