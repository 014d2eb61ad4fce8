//! Three ways to bring a new version into service, over processes: by the planner, all copies at once, and a worker at
//! a time without regard to sessions. Prints for docs/measurements.md what each cost, and the differences by seed:
//! `cargo bench -p cedarpulley-cli --bench three_ways`. `PLAYS` (10) seeds from `SEED` (1) on.
//!
//! Mechanisms:
//! 1. Alike in all: seeds, arrivals, workers, both models loaded on each worker before the routers start, the moment of
//!    the order, and every setting but `[upgrade]`. The ways of a seed are played side by side, under the same load.
//! 2. The other two ways are an operator's, by the repository extension straight at the workers. A worker's old copies
//!    go as soon as they are not at work, then its new ones are loaded.
//! 3. Their clients name the version: what begins goes by the parts of the copies that stand, known to them at once; a
//!    session stays with its version while that stands anywhere.
//! 4. What is told comes from the judge and the workers' logs, by the same rules for all.

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

/// Time enough for all ways while invocations arrive.
const SECONDS: f64 = 50.0;
/// Longer than a session lasts, so that none is cut short: 11 turns, 750 ms apart at most.
const DRAIN_MS: u64 = 12_000;
const NEW: &str = "/versions/2";

#[derive(Clone, Copy, Debug, PartialEq)]
enum Way {
    Planner,
    AllAtOnce,
    OneByOne,
}

const WAYS: [Way; 3] = [Way::Planner, Way::AllAtOnce, Way::OneByOne];

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

fn from_environment(name: &str, usual: u64) -> u64 {
    std::env::var(name)
        .ok()
        .and_then(|v| v.parse().ok())
        .unwrap_or(usual)
}

fn compared(seed: u64, way: Way) -> Scenario {
    let mut day = slow_to_load(seed, SECONDS);
    if way != Way::Planner {
        day.settings.upgrade.clear();
    }
    day
}

fn new(model: &str) -> String {
    format!("{model}{NEW}")
}

fn held(worker: &Worker, function: &str) -> Option<LoadedFunctionInfo> {
    worker
        .loaded_functions()
        .into_iter()
        .find(|h| h.function == function)
}

fn is_over(worker: &Worker) -> bool {
    let stands = |f: &str| held(worker, f).is_some_and(|h| h.state == "READY");
    MODELS
        .iter()
        .all(|m| held(worker, m).is_none() && stands(&new(m)))
}

fn goes_over(worker: &Worker) {
    let old = || MODELS.into_iter().filter(|m| held(worker, m).is_some());
    until(PLANNED, || {
        old().for_each(|m| operator::unload(worker.address, m).expect("it is told"));
        old().next().is_none()
    });
    load_all(&[worker], new);
}

/// Until nothing old has come back for a while: by a miss, or by a router that did not expect the copy to go.
fn by_hand(f: &Cluster, way: Way) {
    f.log
        .write("upgrade", serde_json::json!({"models": MODELS}));
    let since = Instant::now();
    if way == Way::AllAtOnce {
        thread::scope(|s| {
            f.workers
                .iter()
                .for_each(|w| drop(s.spawn(move || goes_over(w))))
        });
    } else {
        f.workers.iter().for_each(goes_over);
    }
    let mut quiet = Instant::now();
    until(PLANNED.saturating_sub(since.elapsed()), || {
        for worker in f.workers.iter().filter(|w| !is_over(w)) {
            goes_over(worker);
            quiet = Instant::now();
        }
        quiet.elapsed() > SETTLED
    });
    f.end_upgrade(&MODELS);
}

/// By what stands; while nothing does, by what is being loaded.
fn by_what_stands(f: &Cluster, seed: u64) -> FunctionOverride {
    let (workers, of) = (
        f.workers.clone(),
        Mutex::new(HashMap::<String, bool>::new()),
    );
    Arc::new(move |a: &Arrival| {
        let all: Vec<LoadedFunctionInfo> =
            workers.iter().flat_map(Worker::loaded_functions).collect();
        let (old, new) = (a.function.clone(), new(&a.function));
        let count = |function: &str, ready: bool| {
            let counts =
                |h: &&LoadedFunctionInfo| h.function == function && (!ready || h.state == "READY");
            all.iter().filter(counts).count() as u64
        };
        let any = count(&old, true) + count(&new, true) > 0;
        let (was, is) = (count(&old, any), count(&new, any));
        let draw = BuildHasherDefault::<DefaultHasher>::default().hash_one((seed, &a.id))
            % (was + is).max(1);
        let mut of = lock(&of);
        let session = a.turn.as_ref().map(|t| t.session.clone());
        let known = session.as_ref().and_then(|s| of.get(s).copied());
        let to_new = match known {
            Some(true) if is > 0 => true,
            Some(false) if was > 0 => false,
            _ => was == 0 || draw < is,
        };
        if let Some(session) = session {
            of.insert(session, to_new);
        }
        if to_new { new } else { old }
    })
}

/// Of the workers' logs, what is about copies of these models: when, at which worker, what, and of which function.
fn copies_told(played: &Played) -> Vec<(i64, String, String, String)> {
    let mut all = Vec::new();
    let of_models = |f: &str| MODELS.iter().any(|m| f == *m || f == new(m));
    for worker in (0..played.fleet.workers.len()).map(|w| played.fleet.worker_name(w)) {
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
                all.push((
                    line["t"].as_i64().expect("a time"),
                    worker.clone(),
                    text("what"),
                    text("function"),
                ));
            }
        }
    }
    all.sort();
    all
}

fn ordered_at(played: &Played) -> i64 {
    let log =
        std::fs::read_to_string(played.fleet.folder().join("traffic/day.ndjson")).expect("a log");
    let lines = log
        .lines()
        .map(|l| serde_json::from_str::<Value>(l).expect("JSON"));
    let at = lines
        .filter(|l| l["what"] == "upgrade")
        .find_map(|l| l["t"].as_i64());
    at.expect("it was ordered")
}

/// Loads since the order, of these the old version's, what routers ordered of it (the rest are misses), and until the
/// old copies were gone for good and so many new ones stood as the floor asks of what stood before; no time if it did
/// not come to that.
fn copies_went(played: &Played) -> [f64; 4] {
    let ordered = ordered_at(played);
    let mut stand: HashSet<(String, String)> = HashSet::new();
    let (mut stood, mut loads, mut of_old, mut orders) = (0, 0, 0, 0);
    let mut reached = None;
    for (t, worker, what, function) in copies_told(played) {
        if t < ordered {
            stood = stand.len();
        }
        match what.as_str() {
            "loading" if t >= ordered => {
                loads += 1;
                of_old += u64::from(!function.ends_with(NEW));
            }
            "ordered" if t >= ordered => orders += u64::from(!function.ends_with(NEW)),
            "loaded" => drop(stand.insert((worker, function))),
            "unloaded" | "evicted" => drop(stand.remove(&(worker, function))),
            _ => continue,
        }
        let of_new = stand.iter().filter(|(_, f)| f.ends_with(NEW)).count();
        let there = of_new == stand.len() && of_new as f64 >= FLOOR * stood as f64;
        reached = if there { reached.or(Some(t)) } else { None };
    }
    let took = reached.map_or(f64::NAN, |t| (t - ordered) as f64 / 1e6);
    [f64::from(loads), of_old as f64, orders as f64, took]
}

fn figures(seed: u64, way: Way) -> [f64; FIGURES.len()] {
    let day = compared(seed, way);
    let script = match way {
        Way::Planner => Script::new(seed)
            .at(ORDERED_MS, |f| order(f, DRAIN_MS))
            .at(ORDERED_MS + 1, ends),
        // What `order` waits for comes first here, too.
        _ => Script::new(seed)
            .at(ORDERED_MS, settles)
            .at(ORDERED_MS + 1, move |f| by_hand(f, way)),
    };
    let asks = |f: &Cluster| (way != Way::Planner).then(|| by_what_stands(f, seed));
    let played = play_asking(&day, None, stands_everywhere, asks, script, PATIENCE);
    let v = &played.verdict;
    if way == Way::Planner {
        assert_eq!(v.broken(), 0, "{}", v.table());
    }
    let promise = |name: &str| v.promises.get(name).copied().unwrap_or(0) as f64;
    let reason = |name: &str| v.by_reason.get(name).copied().unwrap_or(0) as f64;
    let lowest = v
        .floors
        .values()
        .map(|s| 100.0 * FLOOR * s.lowest as f64 / s.floor)
        .fold(f64::NAN, f64::min);
    let p = &v.prefixes;
    let [loads, of_old, orders, took] = copies_went(&played);
    let row = [
        100.0 * v.within_objective as f64 / played.sent as f64,
        p.found as f64,
        p.rebuilt as f64,
        (p.rebuilt - p.caused_by(RebuildCause::Died)) as f64,
        promise("sessions"),
        reason("session-over"),
        promise("floor"),
        lowest,
        loads,
        of_old,
        orders,
        took,
    ];
    eprintln!(
        "seed {seed} {way:?}: {row:.2?} of {} sent; rules {:?}; reasons {:?}",
        played.sent, v.rules, v.by_reason
    );
    row
}

fn main() {
    let (first, plays) = (from_environment("SEED", 1), from_environment("PLAYS", 10));
    let load = || std::fs::read_to_string("/proc/loadavg").unwrap_or_default();
    let played: Vec<[[f64; FIGURES.len()]; WAYS.len()]> = (first..first + plays)
        .map(|seed| {
            let rows = thread::scope(|s| {
                WAYS.map(|way| s.spawn(move || figures(seed, way)))
                    .map(|p| p.join().expect("it was played"))
            });
            eprintln!("seed {seed}, load of the machine {}", load().trim());
            rows
        })
        .collect();
    println!("| | {} |", WAYS.map(|w| format!("{w:?}")).join(" | "));
    println!("| --- {}|", "| --- ".repeat(WAYS.len()));
    for (n, name) in FIGURES.iter().enumerate() {
        // Of plays that came to an end, both of them where they are compared.
        let of = |way: usize, beside: bool| -> Vec<f64> {
            let pairs = played
                .iter()
                .map(|rows| rows[way][n] - if beside { rows[0][n] } else { 0.0 });
            pairs.filter(|x| x.is_finite()).collect()
        };
        let told = |way: usize, beside: bool| {
            let of = of(way, beside);
            let (mean, half) = interval(&of);
            let some = if of.len() < played.len() {
                format!(", {} plays", of.len())
            } else {
                String::new()
            };
            if beside {
                format!("{mean:+.2} +- {half:.2}{some}")
            } else {
                format!("{mean:.2} +- {half:.2}{some}")
            }
        };
        let cells = (0..WAYS.len()).map(|way| match way {
            0 => told(way, false),
            _ => format!("{} ({})", told(way, false), told(way, true)),
        });
        println!("| {name} | {} |", cells.collect::<Vec<_>>().join(" | "));
    }
}
