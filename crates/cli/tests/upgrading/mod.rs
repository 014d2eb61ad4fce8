//! Clusters whose models are upgraded under load with sessions, for the tests in `tests/upgraded.rs` and the measurement
//! in `benches/three_ways.rs`.
#![allow(dead_code, reason = "each target uses only some of the items")]

use std::thread;
use std::time::{Duration, Instant};

use cedarpulley_emulators::worker::Worker;
use cedarpulley_test_cluster::cluster::Cluster;
use cedarpulley_test_cluster::operator;
use cedarpulley_test_cluster::scenario::Scenario;
use cedarpulley_test_cluster::until;
use serde_json::Value;

use crate::fleets::day;

/// The models that are upgraded.
pub const MODELS: [&str; 2] = ["resize:1", "reserve:1"];
/// Timeout of a wait for an upgrade plan. Only a failing test waits this long. On an idle machine a plan ends within 45 s.
/// If a step waits for a busy disk for longer than the lease, the next step begins only after the lease and the time in
/// which orders arrive have passed, which takes 12 s per step.
pub const PLANNED: Duration = Duration::from_secs(180);
/// When the upgrade is ordered, in milliseconds from the start.
pub const ORDERED_MS: u64 = 2_000;
/// Fraction of the lanes that are warm when an upgrade is ordered, below which the upgrade must not go.
pub const FLOOR: f64 = 0.8;
/// Time without changes after which the number of copies counts as stable: several poll intervals of the workers.
pub const SETTLED: Duration = Duration::from_secs(3);

/// A scenario with two models and sessions, in which upgrades are enabled; `change` adapts it to a test.
pub fn upgrading(change: impl FnOnce(&mut Scenario)) -> Scenario {
    day(|day| {
        (day.seconds, day.rate_per_s, day.peers) = (32.0, 30.0, true);
        (day.floor, day.floor_known_ms) = (FLOOR, 5_000);
        day.workers.iter_mut().for_each(|w| w.count = 3);
        day.triggers.retain(|t| t.name != "quote");
        for t in &mut day.triggers {
            (t.part, t.functions, t.lanes, t.work_ms) = (0.5, 1, 8, 30.0);
            (t.sessions, t.turns, t.pause_ms, t.prefix_ms) = (0.8, 6, 500, 20);
        }
        let table = |text: &str| text.parse::<toml::Table>().expect("a table");
        // A plan renews and loads copies within the load quota of invocations, and there are few invocations.
        day.settings.loads.insert("ration_few".into(), 60.into());
        day.settings.upgrade = table(
            "order = \"upgrade.toml\"\nlease_ms = 2000\nshown_ms = 500\ncanary_ms = 1500\n\
             canary_most_ms = 4000\npaused_most_ms = 2000\nhold_back_ms = 1000\ngone_after_ms = 6000\n\
             load_within_ms = 10000\nsession_kept_ms = 60000\n",
        );
        // Members answer late on a busy machine, which must not count as a fault.
        day.settings.peers =
            table("answer_ms = 500\nsuspected_ms = 3000\ncopied_within_ms = 2000\n");
        day.settings.reconcile = table("every_ms = 400\ngrace_ms = 3000\nasks_per_s = 100\n");
        change(day);
    })
}

/// Number of loaded copies at all workers.
pub fn copies(f: &Cluster) -> usize {
    f.workers
        .iter()
        .flat_map(|w| w.loaded_functions())
        .map(|h| h.copies)
        .sum()
}

/// Waits until no more copies are loaded and the routers know of all of them. The floor is a fraction of these copies.
pub fn settles(f: &Cluster) {
    let (mut stood, mut since) = (0, Instant::now());
    let settled = until(PLANNED, || {
        let stands = copies(f);
        if stands != std::mem::replace(&mut stood, stands) {
            since = Instant::now();
        }
        stands > 0 && since.elapsed() > SETTLED
    });
    assert!(settled, "{stood} copies, and more are loaded");
}

/// Orders the upgrade of both models to version 2, once the number of copies is stable.
pub fn order(f: &Cluster, drain_limit_ms: u64) {
    settles(f);
    let one = |model: &&str| {
        format!(
            "[[order]]\nmodel = {model:?}\nto = \"2\"\nserial = 1\ncanary_part = 0.3\nfloor = {FLOOR}\n\
             drain_limit_ms = {drain_limit_ms}\n"
        )
    };
    let text: String = MODELS.iter().map(one).collect();
    f.order_upgrade(&MODELS, &text).expect("ordered");
}

/// Model and phase of each plan in the state that a router reports.
pub fn plans(state: &Value) -> Vec<(String, String)> {
    let text = |p: &Value, key: &str| p[key].as_str().unwrap_or_default().to_owned();
    let plans = state["upgrade"]["plans"].as_array();
    plans
        .into_iter()
        .flatten()
        .map(|p| (text(p, "model"), text(p, "phase")))
        .collect()
}

/// Whether a router reports a plan for each model and all plans are in such a phase.
pub fn all(f: &Cluster, n: usize, phase: impl Fn(&str) -> bool) -> bool {
    let plans = f.state(n).map(|s| plans(&s)).unwrap_or_default();
    plans.len() == MODELS.len() && plans.iter().all(|p| phase(&p.1))
}

/// Whether a plan in this phase has ended.
pub fn is_over(phase: &str) -> bool {
    matches!(phase, "Done" | "RolledBack" | "Ended")
}

/// Waits until all routers report that all plans have ended. A timeout is not an error here; the checks at the end of a
/// test show it.
pub fn ends(f: &Cluster) {
    let over = |n| all(f, n, is_over);
    until(PLANNED, || (0..f.routers.len()).all(over));
    f.end_upgrade(&MODELS);
}

/// Writes an empty upgrade file.
pub fn orders_nothing(f: &Cluster) {
    f.write_upgrade("").expect("an empty file");
}

/// Load time of a copy that is longer than the latency objective, as it is for models. Loads in [`upgrading`] are short.
const SLOW_START_UP_MS: u64 = 1_500;
/// A scenario with models that load slowly, in which invocations arrive for `seconds`.
pub fn slow_to_load(seed: u64, seconds: f64) -> Scenario {
    upgrading(|day| {
        (day.seed, day.seconds) = (seed, seconds);
        day.triggers
            .iter_mut()
            .for_each(|t| t.start_up_ms = SLOW_START_UP_MS);
    })
}

/// Loads both models at each of the workers, in the version that `function` names.
pub fn load_all(at: &[&Worker], function: impl Fn(&str) -> String + Sync) {
    thread::scope(|s| {
        for (worker, model) in at.iter().flat_map(|w| MODELS.map(|m| (w, m))) {
            let function = function(model);
            s.spawn(move || operator::load(worker.address, &function).expect("it is loaded"));
        }
    });
}

/// Loads the old versions at all workers before the routers start, and orders no upgrade.
pub fn stands_everywhere(f: &Cluster) {
    load_all(&f.workers.iter().collect::<Vec<_>>(), str::to_owned);
    orders_nothing(f);
}
