//! Compares three ways to bring a new version into service, with routers in processes of their own: by the planner, by
//! replacing all copies at once, and by upgrading one worker after the other without regard to sessions. Prints for
//! `docs/measurements.md` the cost of each way and its difference to the planner by seed.
//!
//! Run with `cargo bench -p cedarpulley-cli --bench three_ways`. The environment sets the number of seeds (`PLAYS`,
//! default 10) and the first seed (`SEED`, default 1).
//!
//! Method:
//! 1. All ways have the same seeds, arrivals, workers, time of the order and settings except `[upgrade]`, and start with
//!    both models loaded on each worker before the routers start. The ways of one seed run at the same time, under the
//!    same load.
//! 2. The other two ways are performed by an operator, who sends requests of the repository extension directly to the
//!    workers. Old copies of a worker are unloaded as soon as they are idle, then the new copies are loaded.
//! 3. In those two ways, the clients name the version. They choose it for new work in proportion to the loaded copies of
//!    each version, which they know without delay. A session stays with its version while any copy of it is loaded.
//! 4. The figures come from the invariant checker and the logs of the workers, computed by the same rules for all ways.

use std::collections::{HashMap, HashSet};
use std::hash::{BuildHasher, BuildHasherDefault, DefaultHasher};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Instant;

use cedarpulley_emulators::lock;
use cedarpulley_emulators::worker::{LoadedFunctionInfo, Worker};
use cedarpulley_invariant_checker::RebuildCause;
use cedarpulley_test_cluster::amqp_client::{Arrival, FunctionOverride};
use cedarpulley_test_cluster::cluster::Cluster;
use cedarpulley_test_cluster::operator;
use cedarpulley_test_cluster::scenario::Scenario;
use cedarpulley_test_cluster::script::Script;
use cedarpulley_test_cluster::until;
use serde_json::Value;

#[path = "../tests/fleets/mod.rs"]
mod fleets;
#[path = "../../upgrade/tests/interval/mod.rs"]
mod interval;
#[path = "../tests/upgrading/mod.rs"]
mod upgrading;
use fleets::*;
use interval::interval;
use upgrading::*;

/// Time in which invocations arrive, in seconds; long enough for each way to complete its upgrade.
const ARRIVAL_SECONDS: f64 = 50.0;
/// Drain limit of the upgrade order, in milliseconds. It is longer than any session, which has at most 11 turns 750 ms
/// apart, so that no session is ended early.
const DRAIN_MS: u64 = 12_000;
/// Suffix that names the new version of a model.
const NEW_VERSION_SUFFIX: &str = "/versions/2";

/// How the new version is brought into service.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Way {
    /// The planner of the routers upgrades the models.
    Planner,
    /// The operator upgrades all workers at the same time.
    AllAtOnce,
    /// The operator upgrades one worker after the other.
    OneByOne,
}

const WAYS: [Way; 3] = [Way::Planner, Way::AllAtOnce, Way::OneByOne];

/// Names of the figures, which are the rows of the printed table.
const FIGURES: [&str; 12] = [
    "in objective, %",
    "prefixes found",
    "prefixes rebuilt",
    "of these, worker alive",
    "sessions on two versions",
    "answered `session-over`",
    "below the floor",
    "lowest lanes, % of what stood",
    "loads since the order",
    "of these, of the old version",
    "orders of routers for the old version",
    "took, s",
];

/// The number in this environment variable, or the default.
fn number_from_environment(name: &str, default: u64) -> u64 {
    std::env::var(name)
        .ok()
        .and_then(|value| value.parse().ok())
        .unwrap_or(default)
}

/// The scenario of a run, which differs between the ways in `[upgrade]` only.
fn scenario(seed: u64, way: Way) -> Scenario {
    let mut scenario = slow_to_load(seed, ARRIVAL_SECONDS);
    if way != Way::Planner {
        scenario.settings.upgrade.clear();
    }
    scenario
}

/// Name of the new version of a model.
fn new_version(model: &str) -> String {
    format!("{model}{NEW_VERSION_SUFFIX}")
}

/// The state of a function at a worker; none if it is not loaded there.
fn loaded_function(worker: &Worker, function: &str) -> Option<LoadedFunctionInfo> {
    worker
        .loaded_functions()
        .into_iter()
        .find(|loaded| loaded.function == function)
}

/// Whether a worker has the new versions of all models and no old version.
fn is_upgraded(worker: &Worker) -> bool {
    let is_ready = |function: &str| {
        loaded_function(worker, function).is_some_and(|loaded| loaded.state == "READY")
    };
    MODELS
        .iter()
        .all(|model| loaded_function(worker, model).is_none() && is_ready(&new_version(model)))
}

/// Unloads the old versions from a worker, then loads the new ones.
fn upgrade_worker(worker: &Worker) {
    let old_models = || {
        MODELS
            .into_iter()
            .filter(|model| loaded_function(worker, model).is_some())
    };
    until(PLANNED, || {
        old_models().for_each(|model| {
            operator::unload(worker.address, model).expect("the worker accepts the unload request")
        });
        old_models().next().is_none()
    });
    load_all(&[worker], new_version);
}

/// Upgrades all workers as an operator does. Repeats this until no old copy has been loaded again for a while: a miss
/// loads one, and so does a router that did not expect the copy to be unloaded.
fn upgrade_manually(cluster: &Cluster, way: Way) {
    cluster
        .log
        .write("upgrade", serde_json::json!({"models": MODELS}));
    let start = Instant::now();
    if way == Way::AllAtOnce {
        thread::scope(|scope| {
            cluster
                .workers
                .iter()
                .for_each(|worker| drop(scope.spawn(move || upgrade_worker(worker))))
        });
    } else {
        cluster.workers.iter().for_each(upgrade_worker);
    }
    let mut last_change = Instant::now();
    until(PLANNED.saturating_sub(start.elapsed()), || {
        for worker in cluster.workers.iter().filter(|worker| !is_upgraded(worker)) {
            upgrade_worker(worker);
            last_change = Instant::now();
        }
        last_change.elapsed() > SETTLED
    });
    cluster.end_upgrade(&MODELS);
}

/// Chooses the version of each invocation in proportion to the warm copies of both versions; while no copy is warm, to
/// the copies that are being loaded.
fn choose_by_loaded_copies(cluster: &Cluster, seed: u64) -> FunctionOverride {
    let (workers, sessions_on_new) = (
        cluster.workers.clone(),
        Mutex::new(HashMap::<String, bool>::new()),
    );
    Arc::new(move |arrival: &Arrival| {
        let all_loaded: Vec<LoadedFunctionInfo> =
            workers.iter().flat_map(Worker::loaded_functions).collect();
        let (old, new) = (arrival.function.clone(), new_version(&arrival.function));
        let count = |function: &str, ready: bool| {
            let counts = |loaded: &&LoadedFunctionInfo| {
                loaded.function == function && (!ready || loaded.state == "READY")
            };
            all_loaded.iter().filter(counts).count() as u64
        };
        let any_ready = count(&old, true) + count(&new, true) > 0;
        let (old_count, new_count) = (count(&old, any_ready), count(&new, any_ready));
        let draw = BuildHasherDefault::<DefaultHasher>::default().hash_one((seed, &arrival.id))
            % (old_count + new_count).max(1);
        let mut sessions_on_new = lock(&sessions_on_new);
        let session = arrival.turn.as_ref().map(|turn| turn.session.clone());
        let on_new = session
            .as_ref()
            .and_then(|session| sessions_on_new.get(session).copied());
        let to_new = match on_new {
            Some(true) if new_count > 0 => true,
            Some(false) if old_count > 0 => false,
            _ => old_count == 0 || draw < new_count,
        };
        if let Some(session) = session {
            sessions_on_new.insert(session, to_new);
        }
        if to_new { new } else { old }
    })
}

/// The events about copies of the upgraded models in the logs of the workers, in order of time: time in microseconds,
/// worker, event and function.
fn copy_events(played: &Played) -> Vec<(i64, String, String, String)> {
    let mut events = Vec::new();
    let of_models = |function: &str| {
        MODELS
            .iter()
            .any(|model| function == *model || function == new_version(model))
    };
    for worker in (0..played.fleet.workers.len()).map(|index| played.fleet.worker_name(index)) {
        let file = played
            .fleet
            .folder()
            .join(format!("traffic/{worker}.ndjson"));
        for line in std::fs::read_to_string(file).expect("a log").lines() {
            let line: Value = serde_json::from_str(line).expect("JSON");
            let text = |key: &str| line[key].as_str().unwrap_or_default().to_owned();
            if of_models(&text("function"))
                && !matches!(&*text("what"), "received" | "ran" | "held" | "prefix")
            {
                events.push((
                    line["t"].as_i64().expect("a time"),
                    worker.clone(),
                    text("what"),
                    text("function"),
                ));
            }
        }
    }
    events.sort();
    events
}

/// Time of the upgrade order, in microseconds.
fn order_time_us(played: &Played) -> i64 {
    let log =
        std::fs::read_to_string(played.fleet.folder().join("traffic/day.ndjson")).expect("a log");
    let lines = log
        .lines()
        .map(|line| serde_json::from_str::<Value>(line).expect("JSON"));
    let time_us = lines
        .filter(|line| line["what"] == "upgrade")
        .find_map(|line| line["t"].as_i64());
    time_us.expect("the upgrade was ordered")
}

/// Four figures about copies since the order: all loads; loads of the old version; load orders of routers for the old
/// version (its other loads are misses); and the time in seconds until no old copy was left for the rest of the run and
/// the new copies had reached the floor, a share of the copies loaded before the order. The time is NaN if that state
/// was not reached.
fn copy_figures(played: &Played) -> [f64; 4] {
    let ordered_us = order_time_us(played);
    let mut loaded: HashSet<(String, String)> = HashSet::new();
    let (mut loaded_before, mut loads, mut old_loads, mut old_orders) = (0, 0, 0, 0);
    let mut reached_us = None;
    for (time_us, worker, what, function) in copy_events(played) {
        if time_us < ordered_us {
            loaded_before = loaded.len();
        }
        match what.as_str() {
            "loading" if time_us >= ordered_us => {
                loads += 1;
                old_loads += u64::from(!function.ends_with(NEW_VERSION_SUFFIX));
            }
            "ordered" if time_us >= ordered_us => {
                old_orders += u64::from(!function.ends_with(NEW_VERSION_SUFFIX))
            }
            "loaded" => drop(loaded.insert((worker, function))),
            "unloaded" | "evicted" => drop(loaded.remove(&(worker, function))),
            _ => continue,
        }
        let new_loaded = loaded
            .iter()
            .filter(|(_, function)| function.ends_with(NEW_VERSION_SUFFIX))
            .count();
        let is_upgraded =
            new_loaded == loaded.len() && new_loaded as f64 >= FLOOR * loaded_before as f64;
        reached_us = if is_upgraded {
            reached_us.or(Some(time_us))
        } else {
            None
        };
    }
    let took_s = reached_us.map_or(f64::NAN, |time_us| (time_us - ordered_us) as f64 / 1e6);
    [
        f64::from(loads),
        old_loads as f64,
        old_orders as f64,
        took_s,
    ]
}

/// Runs one way with one seed, and returns the values of [`FIGURES`].
fn run(seed: u64, way: Way) -> [f64; FIGURES.len()] {
    let scenario = scenario(seed, way);
    let script = match way {
        Way::Planner => Script::new(seed)
            .at(ORDERED_MS, |cluster| order(cluster, DRAIN_MS))
            .at(ORDERED_MS + 1, ends),
        // `order` waits until the copies have settled; the other ways do the same first.
        _ => Script::new(seed)
            .at(ORDERED_MS, settles)
            .at(ORDERED_MS + 1, move |cluster| {
                upgrade_manually(cluster, way)
            }),
    };
    let function_override =
        |cluster: &Cluster| (way != Way::Planner).then(|| choose_by_loaded_copies(cluster, seed));
    let played = play_asking(
        &scenario,
        None,
        stands_everywhere,
        function_override,
        script,
        PATIENCE,
    );
    let verdict = &played.verdict;
    if way == Way::Planner {
        assert_eq!(verdict.broken(), 0, "{}", verdict.table());
    }
    let promise = |name: &str| verdict.promises.get(name).copied().unwrap_or(0) as f64;
    let reason = |name: &str| verdict.by_reason.get(name).copied().unwrap_or(0) as f64;
    let lowest_percent = verdict
        .floors
        .values()
        .map(|lanes| 100.0 * FLOOR * lanes.lowest as f64 / lanes.floor)
        .fold(f64::NAN, f64::min);
    let prefixes = &verdict.prefixes;
    let [loads, old_loads, old_orders, took_s] = copy_figures(&played);
    let row = [
        100.0 * verdict.within_objective as f64 / played.sent as f64,
        prefixes.found as f64,
        prefixes.rebuilt as f64,
        (prefixes.rebuilt - prefixes.caused_by(RebuildCause::Died)) as f64,
        promise("sessions"),
        reason("session-over"),
        promise("floor"),
        lowest_percent,
        loads,
        old_loads,
        old_orders,
        took_s,
    ];
    eprintln!(
        "seed {seed} {way:?}: {row:.2?} of {} sent; rules {:?}; reasons {:?}",
        played.sent, verdict.rules, verdict.by_reason
    );
    row
}

fn main() {
    let (first_seed, seeds) = (
        number_from_environment("SEED", 1),
        number_from_environment("PLAYS", 10),
    );
    let load_average = || std::fs::read_to_string("/proc/loadavg").unwrap_or_default();
    let results: Vec<[[f64; FIGURES.len()]; WAYS.len()]> = (first_seed..first_seed + seeds)
        .map(|seed| {
            let rows = thread::scope(|scope| {
                WAYS.map(|way| scope.spawn(move || run(seed, way)))
                    .map(|thread| thread.join().expect("the run completes"))
            });
            eprintln!("seed {seed}, load of the machine {}", load_average().trim());
            rows
        })
        .collect();
    println!("| | {} |", WAYS.map(|way| format!("{way:?}")).join(" | "));
    println!("| --- {}|", "| --- ".repeat(WAYS.len()));
    for (index, name) in FIGURES.iter().enumerate() {
        // Only runs with a finite value count; a difference to the planner needs one from both ways.
        let finite_values = |way: usize, difference: bool| -> Vec<f64> {
            let values = results
                .iter()
                .map(|rows| rows[way][index] - if difference { rows[0][index] } else { 0.0 });
            values.filter(|value| value.is_finite()).collect()
        };
        let format_cell = |way: usize, difference: bool| {
            let values = finite_values(way, difference);
            let (mean, half_width) = interval(&values);
            let number_of_runs = if values.len() < results.len() {
                format!(", {} plays", values.len())
            } else {
                String::new()
            };
            if difference {
                format!("{mean:+.2} +- {half_width:.2}{number_of_runs}")
            } else {
                format!("{mean:.2} +- {half_width:.2}{number_of_runs}")
            }
        };
        let cells = (0..WAYS.len()).map(|way| match way {
            0 => format_cell(way, false),
            _ => format!("{} ({})", format_cell(way, false), format_cell(way, true)),
        });
        println!("| {name} | {} |", cells.collect::<Vec<_>>().join(" | "));
    }
}
