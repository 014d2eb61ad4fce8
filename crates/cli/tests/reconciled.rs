//! Reconciliation of three routers in two regions with the copies that workers report.
//!
//! Guards against records of warm copies that stay wrong after copies were evicted, lost or restarted unnoticed, and
//! against copies that a dead router left loaded. The tests check counts and final states, never times.

mod fleets;

use std::collections::{BTreeMap, BTreeSet};
use std::io::{Read, Write};
use std::net::TcpStream;
use std::path::Path;

use cedarpulley_emulators::worker::{FalseReport, LoadedFunctionInfo};
use cedarpulley_test_cluster::cluster::{Cluster, ClusterOptions};
use cedarpulley_test_cluster::links::LinkFault;
use cedarpulley_test_cluster::scenario::Scenario;
use cedarpulley_test_cluster::traffic::Traffic;
use cedarpulley_test_cluster::until;
use fleets::{PATIENCE, PROGRAM, TURNS, day};
use serde_json::Value;

/// Time in milliseconds for which an idle copy stays recorded as warm. It is far longer than the traffic, so that only a
/// correction ends a record.
const IDLE_RETENTION_MS: u64 = 60_000;
/// The same time where orphaned copies must be unloaded during a test, which happens after twice this time.
const SHORT_IDLE_RETENTION_MS: u64 = 3_000;

/// A scenario with reconciliation.
fn reconciliation_scenario(idle_retention_ms: u64, change: impl FnOnce(&mut Scenario)) -> Scenario {
    day(|d| {
        (d.peers, d.seconds) = (true, 4.0);
        d.settings
            .loads
            .insert("idle_kept_ms".into(), (idle_retention_ms as i64).into());
        for (key, value) in [("every_ms", 300), ("grace_ms", 1000)] {
            d.settings.reconcile.insert(key.into(), value.into());
        }
        change(d);
    })
}

/// Workers load only on order, so each copy has the name of the router that ordered it.
fn load_on_order_only(day: &mut Scenario) {
    day.settings
        .loads
        .insert("loads_when_absent".into(), false.into());
}

/// A cluster whose traffic has ended and whose routers still run.
struct ReconciledCluster {
    fleet: Cluster,
    _folder: tempfile::TempDir,
}

/// Runs the traffic of a scenario. `before` is called before the routers start, `meanwhile` during the traffic.
fn run_traffic(
    day: &Scenario,
    before: impl FnOnce(&Cluster),
    meanwhile: impl FnOnce(&Cluster),
) -> ReconciledCluster {
    run_traffic_tampered(day, None, before, meanwhile)
}

/// Like [`run_traffic`]; `tamper` names the fault that one router is started with.
fn run_traffic_tampered(
    day: &Scenario,
    tamper: Option<&str>,
    before: impl FnOnce(&Cluster),
    meanwhile: impl FnOnce(&Cluster),
) -> ReconciledCluster {
    let folder = tempfile::tempdir().expect("a folder");
    let (out, tamper) = (folder.path().to_owned(), tamper.map(str::to_owned));
    let launch = ClusterOptions {
        folder: out,
        program: PROGRAM.into(),
        tamper,
        trace: false,
    };
    let fleet = Cluster::prepare(day, launch).expect("a fleet");
    before(&fleet);
    fleet.start_routers().expect("they come up");
    let traffic = Traffic::begin(day, &fleet);
    meanwhile(&fleet);
    traffic.wait_until_answered(PATIENCE);
    ReconciledCluster {
        fleet,
        _folder: folder,
    }
}

/// The functions of which a copy is ready.
fn ready(held: Vec<LoadedFunctionInfo>) -> BTreeSet<String> {
    held.into_iter()
        .filter(|h| h.state == "READY")
        .map(|h| h.function)
        .collect()
}

impl ReconciledCluster {
    /// What a router reports of a worker; `None` if the router does not respond or does not know the worker.
    fn of_worker(&self, router: usize, worker: usize) -> Option<Value> {
        let id = format!("{}-", self.fleet.worker_name(worker));
        let state = self.fleet.state(router)?;
        let all = state["reconcile"]["workers"].as_array()?.clone();
        all.into_iter()
            .find(|w| w["id"].as_str().is_some_and(|i| i.starts_with(&id)))
    }

    /// The functions that a router records as warm at a worker.
    fn recorded_warm(&self, router: usize, worker: usize) -> Option<BTreeSet<String>> {
        let report = self.of_worker(router, worker)?;
        Some(
            report["believes"]
                .as_array()?
                .iter()
                .filter_map(Value::as_str)
                .map(str::to_owned)
                .collect(),
        )
    }

    /// Whether all copies that these routers record as warm at these workers are ready there.
    fn records_match(&self, routers: &[usize], workers: &[usize]) -> bool {
        routers.iter().all(|r| {
            workers.iter().all(|w| {
                self.recorded_warm(*r, *w)
                    .is_some_and(|b| b.is_subset(&ready(self.fleet.workers[*w].loaded_functions())))
            })
        })
    }

    /// Waits until the records of these routers match the copies of these workers.
    fn wait_until_records_match(&self, routers: &[usize], workers: &[usize]) {
        if !until(PATIENCE, || self.records_match(routers, workers)) {
            for (r, w) in routers
                .iter()
                .flat_map(|r| workers.iter().map(move |w| (*r, *w)))
            {
                let holds = ready(self.fleet.workers[w].loaded_functions());
                eprintln!(
                    "router {r}, worker {w}: {:?}, it holds {holds:?}",
                    self.of_worker(r, w)
                );
            }
            panic!("the records of warm copies do not come to match the workers");
        }
    }

    /// The numbers of all workers.
    fn all(&self) -> Vec<usize> {
        (0..self.fleet.workers.len()).collect()
    }

    /// A counter of reconciliation, summed over all routers that respond.
    fn count(&self, name: &str) -> u64 {
        let states = (0..self.fleet.routers.len()).filter_map(|r| self.fleet.state(r));
        states
            .filter_map(|s| s["reconcile"]["counts"][name].as_u64())
            .sum()
    }

    fn metrics(&self, router: usize) -> String {
        let mut stream = TcpStream::connect(self.fleet.peer_address(router).expect("a member"))
            .expect("it listens");
        stream
            .write_all(b"GET /metrics HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n")
            .expect("sent");
        let mut answer = String::new();
        stream.read_to_string(&mut answer).expect("an answer");
        answer
    }

    /// Waits until each of these workers has ready copies and some router records copies there as warm. Without this, a
    /// test that takes copies away would show nothing.
    fn wait_until_recorded(&self, workers: &[usize]) {
        let in_any = |w: &usize| {
            (0..3).any(|r| self.recorded_warm(r, *w).is_some_and(|b| !b.is_empty()))
                && !ready(self.fleet.workers[*w].loaded_functions()).is_empty()
        };
        assert!(
            until(PATIENCE, || workers.iter().all(in_any)),
            "routers record copies as warm"
        );
    }

    /// The log of an emulated worker.
    fn log(&self, worker: usize) -> Vec<Value> {
        self.fleet.workers[worker].flush();
        lines(
            &self
                .fleet
                .folder()
                .join(format!("traffic/{}.ndjson", self.fleet.worker_name(worker))),
        )
    }

    /// Number of lines for an event in the log of a worker.
    fn logged(&self, worker: usize, what: &str) -> usize {
        self.log(worker)
            .iter()
            .filter(|l| l["what"] == what)
            .count()
    }

    /// Number of reports of each worker that each router has processed, by router and worker.
    fn answers(&self) -> BTreeMap<(usize, usize), u64> {
        let all = ROUTERS
            .iter()
            .flat_map(|r| self.all().into_iter().map(move |w| (*r, w)));
        all.filter_map(|(r, w)| Some(((r, w), self.of_worker(r, w)?["answers"].as_u64()?)))
            .collect()
    }

    /// The orders in the logs of all workers that contradict a load in progress.
    fn untimely_orders(&self) -> Vec<String> {
        self.all()
            .iter()
            .flat_map(|w| untimely_orders(&self.log(*w)))
            .collect()
    }

    /// Stops the routers and checks that no rule is broken.
    fn holds(self) {
        assert!(
            self.fleet.stop(PATIENCE),
            "the routers shut down gracefully"
        );
        assert_eq!(self.untimely_orders(), Vec::<String>::new());
        let verdict = self.fleet.verdict().expect("a verdict");
        assert_eq!(verdict.broken(), 0, "{}", verdict.table());
    }
}

/// The numbers of all routers.
const ROUTERS: [usize; 3] = [0, 1, 2];

/// The JSON lines of a log.
fn lines(file: &Path) -> Vec<Value> {
    let text = std::fs::read_to_string(file).expect("a log");
    // The last line may be partly written.
    text.lines()
        .filter_map(|l| serde_json::from_str(l).ok())
        .collect()
}

/// Finds orders in the log of a worker that contradict a load in progress: a second load order by the router whose load
/// is in progress, or an order by any router to unload a function that is loading.
fn untimely_orders(log: &[Value]) -> Vec<String> {
    let (mut warm, mut loading) = (BTreeSet::new(), BTreeSet::new());
    let (mut ordered, mut wrong) = (BTreeMap::<&str, Vec<&str>>::new(), Vec::new());
    for l in log {
        let text = |key: &str| l[key].as_str().unwrap_or_default();
        let (what, function, from) = (text("what"), text("function"), text("from"));
        match what {
            "ordered" if !warm.contains(function) => {
                let by = ordered.entry(function).or_default();
                if by.contains(&from) {
                    wrong.push(format!(
                        "{from} orders {function} again while its load is in progress: {l}"
                    ));
                }
                by.push(from);
            }
            "order-refused" | "order-lost" if l["load"] != false => {
                let by = ordered.entry(function).or_default();
                let last = by.iter().rposition(|f| from.is_empty() || *f == from);
                last.map(|n| by.remove(n));
            }
            "loading" => drop(loading.insert(function)),
            "unload" if loading.contains(function) => {
                wrong.push(format!(
                    "{from} orders {function} unloaded while it loads: {l}"
                ));
            }
            "loaded" => {
                loading.remove(function);
                ordered.remove(function);
                if l["stands"] == true {
                    warm.insert(function);
                }
            }
            "evicted" | "unloaded" => drop(warm.remove(function)),
            "down" => {
                (warm, loading) = Default::default();
                ordered.clear();
            }
            _ => {}
        }
    }
    wrong
}

/// Number of reports after which a drift must be found, counting reports that began after the drift and after the last
/// change of the record, if no load is in progress and the worker is not doubted.
const ROUNDS: u64 = 1;
/// Further reports that may be processed before a drift is found: one that began before the drift, and a note of the
/// report before that one.
const EARLIER_REPORTS: u64 = 2;

/// How a router found the records that its tampering falsified, according to its log.
#[derive(Debug, Default)]
struct Spoilt {
    /// Number of drifts that were found, by kind.
    found: BTreeMap<String, u64>,
    /// Falsified records that the router had not found although enough reports contradicted them.
    late: Vec<String>,
    /// Largest number of reports that contradicted a record before it was found.
    most_rounds: u64,
    /// The router falsifies no more records.
    over: bool,
}

/// Evaluates the log of the router that falsifies its records.
fn spoilt(log: &[Value]) -> Spoilt {
    let mut result = Spoilt::default();
    // By worker and function: the falsified number of copies, since when, and how many reports contradicted it.
    let mut open = BTreeMap::<(String, String), (u64, i64, u64)>::new();
    for l in log.iter().map(|l| &l["fields"]) {
        let text = |key: &str| l[key].as_str().unwrap_or_default().to_owned();
        let (message, key, at) = (
            text("message"),
            (text("worker"), text("function")),
            l["at"].as_i64(),
        );
        match message.as_str() {
            "meddled: spoilt" => {
                let copies = l["copies"].as_u64().expect("a number");
                open.insert(key, (copies, at.expect("a time"), 0));
            }
            "meddled: changed" => drop(open.remove(&key)),
            "meddled: no more is spoilt" => result.over = true,
            "meddled: heard" => {
                let said: Vec<(String, u64, bool)> =
                    serde_json::from_str(&text("said")).expect("what it said");
                let of_worker = open
                    .iter_mut()
                    .filter(|((w, _), o)| *w == key.0 && o.1 < at.expect("a time"));
                for ((w, f), o) in of_worker {
                    let said = said.iter().find(|s| s.0 == *f);
                    if said.map_or(0, |s| s.1) != o.0 && said.is_none_or(|s| !s.2) {
                        o.2 += 1;
                        if o.2 > ROUNDS {
                            result
                                .late
                                .push(format!("{f} at {w}: {} are recorded, {said:?}: {l}", o.0));
                        }
                    }
                }
                let true_now = |f: &str| said.iter().find(|s| s.0 == f).map_or(0, |s| s.1);
                open.retain(|(w, f), o| {
                    *w != key.0 || o.1 >= at.unwrap_or(0) || true_now(f) != o.0
                });
            }
            "reconcile: drift" => {
                if let Some((.., rounds)) = open.remove(&key) {
                    *result.found.entry(text("kind")).or_default() += 1;
                    result.most_rounds = result.most_rounds.max(rounds);
                }
            }
            _ => {}
        }
    }
    result
}

#[test]
fn falsified_records_of_a_running_router_are_each_found_in_one_round() {
    let _turn = TURNS.acquire_blocking();
    let cluster = run_traffic_tampered(
        &reconciliation_scenario(IDLE_RETENTION_MS, |_| {}),
        Some("spoilt"),
        |_| {},
        |_| {},
    );
    let file = cluster.fleet.folder().join("routers/router-0.log");
    assert!(
        until(PATIENCE, || spoilt(&lines(&file)).over),
        "all records were falsified"
    );
    cluster.wait_until_records_match(&ROUTERS, &cluster.all());
    let found = spoilt(&lines(&file));
    eprintln!("{found:?}");
    assert_eq!((found.late, found.most_rounds), (Vec::new(), ROUNDS));
    // The router records copies that do not exist, also of a version that no worker has, lacks copies that exist, or
    // records wrong numbers.
    for kind in ["Phantom", "Unseen", "Miscounted"] {
        assert!(
            found.found.get(kind).is_some_and(|n| *n >= 5),
            "{:?}",
            found.found
        );
    }
    cluster.holds();
}

#[test]
fn repairs_during_a_load_are_detected_in_the_logs() {
    let _turn = TURNS.acquire_blocking();
    let cluster = run_traffic_tampered(
        &reconciliation_scenario(IDLE_RETENTION_MS, load_on_order_only),
        Some("orders"),
        |_| {},
        |_| {},
    );
    assert!(
        !cluster.untimely_orders().is_empty(),
        "repeated orders for one load are detected"
    );
    assert!(cluster.fleet.stop(PATIENCE));
}

#[test]
fn flushes_evictions_and_restarts_at_the_same_address_are_found() {
    let _turn = TURNS.acquire_blocking();
    // Most sessions have turns left when the traffic ends, so routers record their prefixes as warm.
    let sessions = |d: &mut Scenario| {
        d.triggers
            .iter_mut()
            .for_each(|t| (t.sessions, t.turns, t.pause_ms) = (0.5, 30, 400));
    };
    let cluster = run_traffic(
        &reconciliation_scenario(IDLE_RETENTION_MS, sessions),
        |_| {},
        |_| {},
    );
    let all = cluster.all();
    cluster.wait_until_recorded(&all);
    cluster.wait_until_records_match(&ROUTERS, &all);
    // Nothing was wrong so far; these counts are the baseline.
    let before = (cluster.count("phantom"), cluster.count("other_incarnation"));
    cluster.fleet.workers[0].evict_all_idle();
    let evicted: usize = (1..3)
        .map(|w| cluster.fleet.workers[w].evict_idle(7, 2).len())
        .sum();
    let answers = cluster.answers();
    cluster.fleet.workers[3].crash();
    cluster.fleet.workers[3].restart().expect("it starts");
    assert!(evicted > 0);
    cluster.wait_until_records_match(&ROUTERS, &all);
    assert!(cluster.count("phantom") > before.0 && cluster.count("other_incarnation") > before.1);
    // Counts the reports that were processed since then. Drifts that were found before that count are not examined.
    for ((r, w), before) in answers.into_iter().filter(|a| a.0.1 < 3) {
        let report = cluster
            .of_worker(r, w)
            .expect("the router knows the worker");
        let found_by = report["found_by"]["phantom"].as_u64().unwrap_or(0);
        assert!(
            found_by <= before + ROUNDS + EARLIER_REPORTS,
            "router {r}, worker {w}: after {before}: {report}"
        );
    }
    assert!(cluster.count("prefix_lost") > 0 && cluster.count("sessions_let_go") > 0);
    let metrics = cluster.metrics(0);
    assert!(
        metrics.contains("cedarpulley_reconcile_answers_total"),
        "{metrics}"
    );
    // The router that polled a worker corrects most differences, the others correct theirs from its notes.
    assert!(cluster.count("notes") > 0 && cluster.count("corrected") > 0);
    cluster.holds();
}

#[test]
fn lost_loads_and_lost_copies_under_load_are_found_and_no_rule_is_broken() {
    let _turn = TURNS.acquire_blocking();
    let lose = |f: &Cluster| f.workers.iter().for_each(|w| w.lose_orders(2, 0));
    let meanwhile = |f: &Cluster| {
        for n in 0..12u64 {
            std::thread::sleep(std::time::Duration::from_millis(250));
            let w = &f.workers[n as usize % f.workers.len()];
            if n % 3 == 0 {
                w.evict_all_idle()
            } else {
                drop(w.evict_idle(n, 1))
            }
        }
    };
    let cluster = run_traffic(
        &reconciliation_scenario(IDLE_RETENTION_MS, load_on_order_only),
        lose,
        meanwhile,
    );
    let all = cluster.all();
    let lost: usize = all.iter().map(|w| cluster.logged(*w, "order-lost")).sum();
    assert!(lost > 0, "orders were lost");
    cluster.wait_until_records_match(&ROUTERS, &all);
    cluster.holds();
}

#[test]
fn copies_ordered_by_a_dead_router_are_unloaded_although_orders_get_lost() {
    let _turn = TURNS.acquire_blocking();
    let cluster = run_traffic(
        &reconciliation_scenario(SHORT_IDLE_RETENTION_MS, load_on_order_only),
        |_| {},
        |_| {},
    );
    let ordered_by = |name: &str| {
        let held = cluster
            .fleet
            .workers
            .iter()
            .flat_map(|w| w.loaded_functions());
        held.filter(|h| h.ordered_by.router.as_deref() == Some(name))
            .count()
    };
    let (dead, others) = (ordered_by("r1"), ordered_by("r0") + ordered_by("r2"));
    let all: Vec<_> = cluster
        .fleet
        .workers
        .iter()
        .map(|w| w.loaded_functions())
        .collect();
    assert!(dead > 0, "the dead router had ordered copies: {all:?}");
    cluster
        .fleet
        .workers
        .iter()
        .for_each(|w| w.lose_orders(0, 1));
    cluster.fleet.kill_router(1);
    assert!(
        until(PATIENCE * 2, || ordered_by("r1") == 0),
        "{} of {dead} are left",
        ordered_by("r1")
    );
    assert_eq!(
        ordered_by("r0") + ordered_by("r2"),
        others,
        "no other copy was unloaded"
    );
    let lost: usize = cluster
        .all()
        .iter()
        .map(|w| cluster.logged(*w, "order-lost"))
        .sum();
    assert!(
        cluster.count("orphan") >= dead as u64 && cluster.count("unloaded") >= (dead + lost) as u64
    );
    cluster.wait_until_records_match(&[0, 2], &cluster.all());
    cluster.holds();
}

#[test]
fn each_side_of_a_partition_corrects_its_records_and_both_agree_after_it() {
    let _turn = TURNS.acquire_blocking();
    let cluster = run_traffic(
        &reconciliation_scenario(IDLE_RETENTION_MS, |_| {}),
        |_| {},
        |_| {},
    );
    let all = cluster.all();
    cluster.wait_until_recorded(&all);
    cluster.fleet.set_region_fault("west", LinkFault::Held);
    cluster
        .fleet
        .workers
        .iter()
        .for_each(|w| w.evict_all_idle());
    // Routers 0 and 2 and the first two workers are in the east.
    cluster.wait_until_records_match(&[0, 2], &all[..2]);
    cluster.wait_until_records_match(&[1], &all[2..]);
    cluster.fleet.links.heal();
    cluster.wait_until_records_match(&ROUTERS, &all);
    cluster.holds();
}

#[test]
fn a_false_index_is_noticed_and_records_match_in_the_end() {
    let _turn = TURNS.acquire_blocking();
    let lie = |on: bool| {
        move |f: &Cluster| {
            for (n, w) in f.workers.iter().enumerate() {
                let lies = FalseReport {
                    seed: n as u64,
                    dropped: 0.3,
                    added: 0.2,
                    miscounted: 0.3,
                    contradicted: 0.3,
                };
                w.falsify_index(on.then_some(lies));
            }
        }
    };
    let cluster = run_traffic(
        &reconciliation_scenario(IDLE_RETENTION_MS, |_| {}),
        lie(true),
        |_| {},
    );
    let lied: usize = cluster
        .all()
        .iter()
        .map(|w| cluster.logged(*w, "lied"))
        .sum();
    assert!(
        lied > 0
            && until(PATIENCE, || cluster.count("contradictions") > 0
                && cluster.count("left_doubted") > 0)
    );
    lie(false)(&cluster.fleet);
    cluster.wait_until_records_match(&ROUTERS, &cluster.all());
    assert_eq!(
        cluster.count("unloaded"),
        0,
        "no copy is unloaded because of a false report"
    );
    cluster.holds();
}

/// Without a group each router polls the workers itself; without the section `reconcile` none does.
#[test]
fn reconciliation_works_without_a_group_and_is_off_without_its_section() {
    let _turn = TURNS.acquire_blocking();
    let alone = run_traffic(
        &reconciliation_scenario(IDLE_RETENTION_MS, |d| d.peers = false),
        |_| {},
        |_| {},
    );
    assert!(until(PATIENCE, || alone
        .all()
        .iter()
        .all(|w| alone.logged(*w, "index") >= 6)));
    alone.holds();
    let off = run_traffic(
        &reconciliation_scenario(IDLE_RETENTION_MS, |d| d.settings.reconcile.clear()),
        |_| {},
        |_| {},
    );
    assert!(off.all().iter().all(|w| off.logged(*w, "index") == 0));
    assert!(
        off.fleet
            .state(0)
            .is_some_and(|s| s.get("reconcile").is_none())
    );
    off.holds();
}
