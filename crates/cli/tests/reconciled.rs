//! Three routers in two regions whose warm index is held against what workers say: whatever copies do unseen, belief
//! comes to be what the workers hold, what a dead router left is unloaded, and the rules hold. Counts and what comes
//! about in the end, never times.

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

/// What is believed outlives the traffic for this long, so that nothing but a correction ends it.
const KEPT_MS: u64 = 60_000;
/// Orphans are unloaded after twice the time that copies are believed in.
const SHORT_KEPT_MS: u64 = 3_000;

fn reconciled(kept_ms: u64, change: impl FnOnce(&mut Scenario)) -> Scenario {
    day(|d| {
        (d.peers, d.seconds) = (true, 4.0);
        d.settings
            .loads
            .insert("idle_kept_ms".into(), (kept_ms as i64).into());
        for (key, value) in [("every_ms", 300), ("grace_ms", 1000)] {
            d.settings.reconcile.insert(key.into(), value.into());
        }
        change(d);
    })
}

/// All copies are ordered, and so have somebody's name.
fn ordered(day: &mut Scenario) {
    day.settings
        .loads
        .insert("loads_when_absent".into(), false.into());
}

/// Played to the end of its traffic; what happens next is up to the test.
struct After {
    fleet: Cluster,
    _folder: tempfile::TempDir,
}

fn after(day: &Scenario, before: impl FnOnce(&Cluster), meanwhile: impl FnOnce(&Cluster)) -> After {
    after_tampered(day, None, before, meanwhile)
}

fn after_tampered(
    day: &Scenario,
    tamper: Option<&str>,
    before: impl FnOnce(&Cluster),
    meanwhile: impl FnOnce(&Cluster),
) -> After {
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
    After {
        fleet,
        _folder: folder,
    }
}

fn ready(held: Vec<LoadedFunctionInfo>) -> BTreeSet<String> {
    held.into_iter()
        .filter(|h| h.state == "READY")
        .map(|h| h.function)
        .collect()
}

impl After {
    /// What a router says of a worker, if it answers and knows it.
    fn of_worker(&self, router: usize, worker: usize) -> Option<Value> {
        let id = format!("{}-", self.fleet.worker_name(worker));
        let state = self.fleet.state(router)?;
        let all = state["reconcile"]["workers"].as_array()?.clone();
        all.into_iter()
            .find(|w| w["id"].as_str().is_some_and(|i| i.starts_with(&id)))
    }

    fn believes(&self, router: usize, worker: usize) -> Option<BTreeSet<String>> {
        let said = self.of_worker(router, worker)?;
        Some(
            said["believes"]
                .as_array()?
                .iter()
                .filter_map(Value::as_str)
                .map(str::to_owned)
                .collect(),
        )
    }

    /// All that these routers believe in stands, at these workers.
    fn all_true(&self, routers: &[usize], workers: &[usize]) -> bool {
        routers.iter().all(|r| {
            workers.iter().all(|w| {
                self.believes(*r, *w)
                    .is_some_and(|b| b.is_subset(&ready(self.fleet.workers[*w].loaded_functions())))
            })
        })
    }

    fn comes_true(&self, routers: &[usize], workers: &[usize]) {
        if !until(PATIENCE, || self.all_true(routers, workers)) {
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
            panic!("belief does not come to be what workers hold");
        }
    }

    fn all(&self) -> Vec<usize> {
        (0..self.fleet.workers.len()).collect()
    }

    /// Of all routers that answer.
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

    /// Several routers believe in something there before it is taken away: else a test shows nothing.
    fn is_believed_in(&self, workers: &[usize]) {
        let in_any = |w: &usize| {
            (0..3).any(|r| self.believes(r, *w).is_some_and(|b| !b.is_empty()))
                && !ready(self.fleet.workers[*w].loaded_functions()).is_empty()
        };
        assert!(
            until(PATIENCE, || workers.iter().all(in_any)),
            "there is something to be wrong about"
        );
    }

    fn log(&self, worker: usize) -> Vec<Value> {
        self.fleet.workers[worker].flush();
        lines(
            &self
                .fleet
                .folder()
                .join(format!("traffic/{}.ndjson", self.fleet.worker_name(worker))),
        )
    }

    fn logged(&self, worker: usize, what: &str) -> usize {
        self.log(worker)
            .iter()
            .filter(|l| l["what"] == what)
            .count()
    }

    /// Answers of each worker that each router had taken in, where it knows it.
    fn answers(&self) -> BTreeMap<(usize, usize), u64> {
        let all = ROUTERS
            .iter()
            .flat_map(|r| self.all().into_iter().map(move |w| (*r, w)));
        all.filter_map(|(r, w)| Some(((r, w), self.of_worker(r, w)?["answers"].as_u64()?)))
            .collect()
    }

    fn untimely(&self) -> Vec<String> {
        self.all()
            .iter()
            .flat_map(|w| untimely(&self.log(*w)))
            .collect()
    }

    fn holds(self) {
        assert!(self.fleet.stop(PATIENCE), "the routers end in good order");
        assert_eq!(self.untimely(), Vec::<String>::new());
        let verdict = self.fleet.verdict().expect("a verdict");
        assert_eq!(verdict.broken(), 0, "{}", verdict.table());
    }
}

const ROUTERS: [usize; 3] = [0, 1, 2];

fn lines(file: &Path) -> Vec<Value> {
    let text = std::fs::read_to_string(file).expect("a log");
    // The last line may be half written.
    text.lines()
        .filter_map(|l| serde_json::from_str(l).ok())
        .collect()
}

/// By a worker's log: a router that has a load of its own under way there orders no second one, and nobody orders an
/// unload of what loads.
fn untimely(log: &[Value]) -> Vec<String> {
    let (mut stands, mut loads) = (BTreeSet::new(), BTreeSet::new());
    let (mut ordered, mut wrong) = (BTreeMap::<&str, Vec<&str>>::new(), Vec::new());
    for l in log {
        let text = |key: &str| l[key].as_str().unwrap_or_default();
        let (what, function, from) = (text("what"), text("function"), text("from"));
        match what {
            "ordered" if !stands.contains(function) => {
                let by = ordered.entry(function).or_default();
                if by.contains(&from) {
                    wrong.push(format!(
                        "{from} orders {function} again while its load is under way: {l}"
                    ));
                }
                by.push(from);
            }
            "order-refused" | "order-lost" if l["load"] != false => {
                let by = ordered.entry(function).or_default();
                let last = by.iter().rposition(|f| from.is_empty() || *f == from);
                last.map(|n| by.remove(n));
            }
            "loading" => drop(loads.insert(function)),
            "unload" if loads.contains(function) => {
                wrong.push(format!(
                    "{from} has {function} unloaded while it loads: {l}"
                ));
            }
            "loaded" => {
                loads.remove(function);
                ordered.remove(function);
                if l["stands"] == true {
                    stands.insert(function);
                }
            }
            "evicted" | "unloaded" => drop(stands.remove(function)),
            "down" => {
                (stands, loads) = Default::default();
                ordered.clear();
            }
            _ => {}
        }
    }
    wrong
}

/// An answer that began after a drift, and after belief last changed, finds it, where no load is under way and the
/// worker is not doubted.
const ROUNDS: u64 = 1;
/// An answer that began before, and a note of the one before it.
const UNDER_WAY: u64 = 2;

/// What came of a router's spoilt beliefs, by its log.
#[derive(Debug, Default)]
struct Spoilt {
    /// By kind.
    found: BTreeMap<String, u64>,
    /// Of what was said otherwise and not found.
    late: Vec<String>,
    most_rounds: u64,
    over: bool,
}

fn spoilt(log: &[Value]) -> Spoilt {
    let mut it = Spoilt::default();
    // By worker and function: how many are believed wrongly, since when, and rounds in which it was said otherwise.
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
            "meddled: no more is spoilt" => it.over = true,
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
                            it.late
                                .push(format!("{f} at {w}: {} are believed, {said:?}: {l}", o.0));
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
                    *it.found.entry(text("kind")).or_default() += 1;
                    it.most_rounds = it.most_rounds.max(rounds);
                }
            }
            _ => {}
        }
    }
    it
}

#[test]
fn spoilt_beliefs_of_a_running_router_are_each_found_in_one_round() {
    let _turn = TURNS.acquire_blocking();
    let it = after_tampered(&reconciled(KEPT_MS, |_| {}), Some("spoilt"), |_| {}, |_| {});
    let file = it.fleet.folder().join("routers/router-0.log");
    assert!(
        until(PATIENCE, || spoilt(&lines(&file)).over),
        "it is spoilt to the end"
    );
    it.comes_true(&ROUTERS, &it.all());
    let found = spoilt(&lines(&file));
    eprintln!("{found:?}");
    assert_eq!((found.late, found.most_rounds), (Vec::new(), ROUNDS));
    // Copies believed that are not there, of a version nobody has too, copies forgotten, and wrong numbers.
    for kind in ["Phantom", "Unseen", "Miscounted"] {
        assert!(
            found.found.get(kind).is_some_and(|n| *n >= 5),
            "{:?}",
            found.found
        );
    }
    it.holds();
}

#[test]
fn repairs_under_a_load_are_seen_in_the_logs() {
    let _turn = TURNS.acquire_blocking();
    let it = after_tampered(
        &reconciled(KEPT_MS, ordered),
        Some("orders"),
        |_| {},
        |_| {},
    );
    assert!(!it.untimely().is_empty(), "many orders for one are noticed");
    assert!(it.fleet.stop(PATIENCE));
}

#[test]
fn flushes_evictions_and_restarts_at_the_same_address_are_found() {
    let _turn = TURNS.acquire_blocking();
    // Most sessions have turns left when the traffic ends: their prefixes are believed in.
    let sessions = |d: &mut Scenario| {
        d.triggers
            .iter_mut()
            .for_each(|t| (t.sessions, t.turns, t.pause_ms) = (0.5, 30, 400));
    };
    let it = after(&reconciled(KEPT_MS, sessions), |_| {}, |_| {});
    let all = it.all();
    it.is_believed_in(&all);
    it.comes_true(&ROUTERS, &all);
    // Nothing was wrong, and nothing was taken for it.
    let before = (it.count("phantom"), it.count("other_incarnation"));
    it.fleet.workers[0].evict_all_idle();
    let evicted: usize = (1..3)
        .map(|w| it.fleet.workers[w].evict_idle(7, 2).len())
        .sum();
    let answers = it.answers();
    it.fleet.workers[3].crash();
    it.fleet.workers[3].restart().expect("it starts");
    assert!(evicted > 0);
    it.comes_true(&ROUTERS, &all);
    assert!(it.count("phantom") > before.0 && it.count("other_incarnation") > before.1);
    // By the answers that were taken in since; what was found before they were counted is not looked at.
    for ((r, w), before) in answers.into_iter().filter(|a| a.0.1 < 3) {
        let said = it.of_worker(r, w).expect("it knows it");
        let by = said["found_by"]["phantom"].as_u64().unwrap_or(0);
        assert!(
            by <= before + ROUNDS + UNDER_WAY,
            "router {r}, worker {w}: after {before}: {said}"
        );
    }
    assert!(it.count("prefix_lost") > 0 && it.count("sessions_let_go") > 0);
    let metrics = it.metrics(0);
    assert!(
        metrics.contains("cedarpulley_reconcile_answers_total"),
        "{metrics}"
    );
    // Most of it by one that asked, the rest by its notes.
    assert!(it.count("notes") > 0 && it.count("corrected") > 0);
    it.holds();
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
    let it = after(&reconciled(KEPT_MS, ordered), lose, meanwhile);
    let all = it.all();
    let lost: usize = all.iter().map(|w| it.logged(*w, "order-lost")).sum();
    assert!(lost > 0, "orders were lost");
    it.comes_true(&ROUTERS, &all);
    it.holds();
}

#[test]
fn what_a_dead_router_ordered_is_unloaded_by_another_though_orders_get_lost() {
    let _turn = TURNS.acquire_blocking();
    let it = after(&reconciled(SHORT_KEPT_MS, ordered), |_| {}, |_| {});
    let by = |name: &str| {
        let held = it.fleet.workers.iter().flat_map(|w| w.loaded_functions());
        held.filter(|h| h.ordered_by.router.as_deref() == Some(name))
            .count()
    };
    let (dead, others) = (by("r1"), by("r0") + by("r2"));
    let all: Vec<_> = it
        .fleet
        .workers
        .iter()
        .map(|w| w.loaded_functions())
        .collect();
    assert!(dead > 0, "it had copies ordered: {all:?}");
    it.fleet.workers.iter().for_each(|w| w.lose_orders(0, 1));
    it.fleet.kill_router(1);
    assert!(
        until(PATIENCE * 2, || by("r1") == 0),
        "{} of {dead} are left",
        by("r1")
    );
    assert_eq!(by("r0") + by("r2"), others, "nothing else was touched");
    let lost: usize = it.all().iter().map(|w| it.logged(*w, "order-lost")).sum();
    assert!(it.count("orphan") >= dead as u64 && it.count("unloaded") >= (dead + lost) as u64);
    it.comes_true(&[0, 2], &it.all());
    it.holds();
}

#[test]
fn each_side_of_a_cut_finds_its_own_and_both_agree_when_it_is_healed() {
    let _turn = TURNS.acquire_blocking();
    let it = after(&reconciled(KEPT_MS, |_| {}), |_| {}, |_| {});
    let all = it.all();
    it.is_believed_in(&all);
    it.fleet.set_region_fault("west", LinkFault::Held);
    it.fleet.workers.iter().for_each(|w| w.evict_all_idle());
    // Routers 0 and 2 and the first two workers are in the east.
    it.comes_true(&[0, 2], &all[..2]);
    it.comes_true(&[1], &all[2..]);
    it.fleet.links.heal();
    it.comes_true(&ROUTERS, &all);
    it.holds();
}

#[test]
fn an_index_that_lies_is_noticed_and_in_the_end_belief_is_true() {
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
    let it = after(&reconciled(KEPT_MS, |_| {}), lie(true), |_| {});
    let lied: usize = it.all().iter().map(|w| it.logged(*w, "lied")).sum();
    assert!(
        lied > 0
            && until(PATIENCE, || it.count("contradictions") > 0
                && it.count("left_doubted") > 0)
    );
    lie(false)(&it.fleet);
    it.comes_true(&ROUTERS, &it.all());
    assert_eq!(
        it.count("unloaded"),
        0,
        "nobody's copies are unloaded for a lie"
    );
    it.holds();
}

/// Without a group each router asks for itself; without the section none does.
#[test]
fn it_works_alone_and_is_off_without_its_section() {
    let _turn = TURNS.acquire_blocking();
    let alone = after(&reconciled(KEPT_MS, |d| d.peers = false), |_| {}, |_| {});
    assert!(until(PATIENCE, || alone
        .all()
        .iter()
        .all(|w| alone.logged(*w, "index") >= 6)));
    alone.holds();
    let off = after(
        &reconciled(KEPT_MS, |d| d.settings.reconcile.clear()),
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
