//! Stand-ins in this process, routers as processes, and relays between them where the day has regions.
//! [`Fleet::prepare`] sets all of it up, [`Fleet::start_routers`] starts the routers; then its parts are put at fault
//! and [`Fleet::verdict`] has the traffic judged. Dropped, all of it is gone.
//!
//! Mechanisms:
//! 1. A router's links (to the broker, the list, each worker, each other router) have a relay each; the list tells
//!    every router its own relays' addresses, while the logs name the workers' own.
//! 2. What a router or a link was kept from is logged before it begins and after it has ended, for the judge.

use std::collections::{BTreeMap, HashMap};
use std::fmt::Write as _;
use std::net::{IpAddr, SocketAddr};
use std::path::{Path, PathBuf};
use std::sync::Mutex;
use std::time::{Duration, Instant};

use cedarpulley_emulators::broker::Broker;
use cedarpulley_emulators::list::{List, Row};
use cedarpulley_emulators::store::{self, Store};
use cedarpulley_emulators::worker::{Memory, Nature, Program, Worker};
use cedarpulley_emulators::{Ground, Log, lock, router_address};
use cedarpulley_errors::Remedy;
use cedarpulley_invariant_checker::{Effect, Kind, Terms, Verdict};
use serde_json::json;

use crate::links::{Fault, Links};
use crate::plan::Day;
use crate::process::{Process, State};
use crate::relay::{Form, Relay, Reserved};
use crate::until;
use crate::verdict::state;
use crate::wrong::Wrong;

const THREADS: usize = 3;
/// Routers consume within this time of their start, or nothing is played.
const READY_WITHIN: Duration = Duration::from_secs(20);
/// Of all routers of a fleet.
const GROUP: &str = "fleet";
/// Kinds of tampering that break a rule only where all routers have them: many push a worker over, a record is
/// doubted as long as one other doubts it, and votes against a promise, or that nobody keeps, count from a majority on.
const TOGETHER: [&str; 4] = ["push", "undoubting", "promise", "unkept"];
/// As the logs call them.
pub const BROKER: &str = "broker";
pub const LIST: &str = "list";
/// Beside the routers' settings.
const UPGRADE: &str = "upgrade.toml";

/// How a fleet's routers are run.
pub struct Launch {
    /// Where traffic, terms, settings and logs are left.
    pub out: PathBuf,
    pub program: PathBuf,
    /// One router breaks a rule on purpose.
    pub tamper: Option<String>,
    /// They keep traces and ledgers; an earlier build may know nothing of these.
    pub trace: bool,
}

/// A router as another one is told of it.
struct Member {
    name: String,
    region: String,
    address: SocketAddr,
}

pub struct Fleet {
    pub ground: Ground,
    pub broker: Broker,
    pub store: Store,
    pub list: List,
    pub workers: Vec<Worker>,
    pub rows: Mutex<Vec<Row>>,
    pub links: Links,
    /// The rig's own.
    pub log: Log,
    pub routers: Vec<Mutex<Process>>,
    pub addresses: Vec<IpAddr>,
    /// Of the routers by number; of the workers' zones.
    regions: Vec<String>,
    zone_regions: HashMap<String, String>,
    listens: Vec<Reserved>,
    peers: Vec<Reserved>,
    _relays: Vec<Relay>,
    out: PathBuf,
    consumers: usize,
}

fn name_of_worker(n: usize) -> String {
    format!("worker-{n:02}")
}

fn figure(table: &toml::Table, key: &str, absent: f64) -> f64 {
    match table.get(key) {
        Some(toml::Value::Integer(n)) => *n as f64,
        Some(toml::Value::Float(x)) => *x,
        _ => absent,
    }
}

pub fn terms(day: &Day) -> Terms {
    let (rules, loads) = (&day.settings.rules, &day.settings.loads);
    let us =
        |table: &toml::Table, key: &str, absent: f64| (figure(table, key, absent) * 1e3) as i64;
    let mut kinds = BTreeMap::new();
    for t in &day.triggers {
        let (window_us, objective_us) = (
            t.window_ms as i64 * 1000,
            t.latency_objective_ms as i64 * 1000,
        );
        kinds.insert(
            t.name.clone(),
            Kind {
                effect: t.effect,
                window_us,
                objective_us,
            },
        );
    }
    let each = day
        .workers
        .iter()
        .flat_map(|w| (0..w.count).map(|_| day.region_of(&w.zone)));
    let region_of = each
        .enumerate()
        .map(|(n, region)| (name_of_worker(n), region.to_owned()));
    Terms {
        kinds,
        answer_slack_us: us(rules, "answer_slack_ms", 0.0),
        drain_grace_us: us(rules, "drain_grace_ms", 500.0),
        cold_part: figure(rules, "cold_part", 1.0),
        cold_for_us: us(rules, "cold_for_ms", 0.0),
        overload_multiple: figure(rules, "overload_multiple", f64::MAX),
        overload_window_us: us(rules, "overload_window_ms", 1000.0),
        ration_window_us: us(loads, "ration_window_ms", 0.0),
        ration_few: figure(loads, "ration_few", 0.0),
        ration_part: figure(loads, "ration_part", 0.0),
        second_copies: day
            .settings
            .dispatch
            .get("second_copies")
            .and_then(toml::Value::as_bool)
            == Some(true),
        leeway_us: day.leeway_ms as i64 * 1000,
        regions: region_of.collect(),
        floor_part: day.floor,
        floor_known_us: day.floor_known_ms as i64 * 1000,
        floors: Vec::new(),
    }
}

pub(crate) fn queue(account: &str) -> String {
    format!("triggers-{account}")
}

/// As the routers' settings have it.
fn word(effect: Effect) -> &'static str {
    match effect {
        Effect::Idempotent => "idempotent",
        Effect::Tokened => "tokened",
        Effect::NonIdempotent => "non-idempotent",
    }
}

fn address_of(day: &Day, n: u32) -> IpAddr {
    router_address(day.zone_of(n), n)
}

/// Programs of the workers, and which of them stand where.
fn workers(
    day: &Day,
    terms: &Terms,
    ground: &Ground,
    store: SocketAddr,
) -> std::io::Result<(Vec<Worker>, Vec<Row>)> {
    let us = |t: i64| Duration::from_micros(t.max(0) as u64);
    let programs: HashMap<String, Program> = day
        .triggers
        .iter()
        .map(|t| {
            let program = Program {
                work: Duration::from_secs_f64(t.work_ms / 1e3),
                copy_mb: t.copy_mb,
                start_up: Duration::from_millis(t.start_up_ms),
                lanes: t.lanes as usize,
                window: (t.window_ms > 0).then(|| Duration::from_millis(t.window_ms)),
                prefix: Duration::from_millis(t.prefix_ms),
            };
            (t.name.clone(), program)
        })
        .collect();
    let loads_when_absent = day
        .settings
        .loads
        .get("loads_when_absent")
        .and_then(toml::Value::as_bool)
        .unwrap_or(true);
    let (memory, mut workers, mut rows) = (Memory::default(), Vec::new(), Vec::new());
    for w in &day.workers {
        for _ in 0..w.count {
            let nature = Nature {
                cores: w.cores,
                memory_mb: w.memory_mb,
                max_waiting: day.nature.most_waiting,
                max_loads: day.nature.most_loads,
                loads_when_absent,
                slow_start_share: terms.cold_part,
                slow_start: us(terms.cold_for_us),
                overload_multiple: terms.overload_multiple,
                overload_window: us(terms.overload_window_us),
            };
            let (name, programs) = (name_of_worker(workers.len()), programs.clone());
            let any = SocketAddr::from(([127, 0, 0, 1], 0));
            let worker = Worker::start(
                ground,
                &name,
                any,
                day.seed,
                nature,
                store,
                programs,
                memory.clone(),
            )?;
            rows.push(Row {
                address: worker.address,
                zone: w.zone.clone(),
                kind: w.kind.clone(),
                cell: 0,
                draining: false,
                start: 1,
                started_us: 0,
            });
            workers.push(worker);
        }
    }
    Ok((workers, rows))
}

/// The settings of one router of the day.
fn router_file(
    day: &Day,
    n: u32,
    broker: SocketAddr,
    list: SocketAddr,
    listen: SocketAddr,
    members: &[Member],
    trace: bool,
) -> String {
    let zone = day.zone_of(n);
    let mut t = String::new();
    let _ = writeln!(
        t,
        "[router]\nseed = {}\nrouters = {}\nposition = {n}",
        day.seed + u64::from(n),
        day.routers
    );
    let _ = writeln!(
        t,
        "zone = {:?}\nzones = {:?}",
        day.zones[zone as usize], day.zones
    );
    let _ = writeln!(
        t,
        "from = \"{}\"\n{}",
        address_of(day, n),
        day.settings.router
    );
    if let Some(offset) = day.clock_offsets_ms.get(n as usize) {
        let _ = writeln!(t, "[rig]\nclock_offset_ms = {offset}\n");
    }
    // Each day leaves its routers' ledgers and traces, those of killed ones cut as the kill left them.
    // An earlier build may know nothing of them.
    if trace {
        let _ = writeln!(
            t,
            "[trace]\nfolder = \"../traces\"\n\n[meter]\nfolder = \"../meter\"\n"
        );
    }
    let s = &day.settings;
    for (name, table) in [
        ("rules", &s.rules),
        ("dispatch", &s.dispatch),
        ("loads", &s.loads),
        ("prices", &s.prices),
    ] {
        let _ = writeln!(t, "[{name}]\n{table}");
    }
    let mut kinds: Vec<(&str, f64)> = Vec::new();
    for w in &day.workers {
        if !kinds.iter().any(|k| k.0 == w.kind) {
            kinds.push((&w.kind, w.memory_mb));
        }
    }
    for (name, mb) in kinds {
        let _ = writeln!(t, "[[kind]]\nname = {name:?}\nmemory_mb = {mb:?}\n");
    }
    for g in &day.triggers {
        let _ = writeln!(
            t,
            "[[trigger]]\nname = {:?}\neffect = {:?}",
            g.name,
            word(g.effect)
        );
        if g.window_ms > 0 {
            let _ = writeln!(t, "window_ms = {}", g.window_ms);
        }
        if let Some(how) = &g.without_majority {
            let _ = writeln!(t, "without_majority = {how:?}");
        }
        let _ = writeln!(t, "latency_objective_ms = {}", g.latency_objective_ms);
        let _ = writeln!(t, "client_timeout_ms = {}", g.client_timeout_ms);
        let _ = writeln!(t, "billed_value = {:?}\n", g.billed_value);
    }
    for a in &day.accounts {
        let _ = writeln!(t, "[[account]]\nname = {:?}\nshare = {:?}", a.name, a.share);
        let _ = writeln!(t, "allowance_per_s = {:?}\n", a.allowance_per_s);
    }
    let witness = day.witness && n + 1 == day.routers;
    for a in day.accounts.iter().filter(|_| !witness) {
        let _ = writeln!(t, "[[amqp]]\nname = {:?}\nbroker = \"{broker}\"", a.name);
        let _ = writeln!(t, "queue = {:?}\nshare_of = {:?}\n", queue(&a.name), a.name);
    }
    if day.kserve_part > 0.0 && !witness {
        let _ = writeln!(t, "[[kserve]]\nlisten = \"{listen}\"\n");
    }
    let _ = writeln!(t, "[workers]\nwatch = \"{list}\"");
    if let Some(own) = members.get(n as usize) {
        let _ = writeln!(
            t,
            "\n[peers]\nlisten = \"{}\"\ngroup = \"{GROUP}\"",
            own.address
        );
        let _ = writeln!(
            t,
            "name = {:?}\nstate = \"state-{n}\"\n{}",
            own.name, s.peers
        );
        for (k, m) in members.iter().enumerate() {
            let witness = day.witness && k + 1 == members.len();
            let _ = writeln!(
                t,
                "\n[[peers.member]]\nname = {:?}\naddress = \"{}\"",
                m.name, m.address
            );
            let _ = writeln!(
                t,
                "region = {:?}\nweight = 1\nwitness = {witness}",
                m.region
            );
        }
    }
    for (name, table) in [("upgrade", &s.upgrade), ("reconcile", &s.reconcile)] {
        if !table.is_empty() {
            let named = toml::Table::from_iter([(name.to_owned(), table.clone().into())]);
            let _ = writeln!(t, "\n{named}");
        }
    }
    t
}

impl Fleet {
    /// All is up but the routers. What an earlier run left in the folder is removed.
    pub fn prepare(day: &Day, launch: Launch) -> Result<Fleet, Wrong> {
        let out = launch.out.clone();
        let wrong = |source| Wrong::NoFleet {
            folder: out.display().to_string(),
            source,
        };
        Self::set_up(day, &terms(day), launch).map_err(wrong)
    }

    fn set_up(day: &Day, terms: &Terms, launch: Launch) -> std::io::Result<Fleet> {
        let Launch {
            out,
            program,
            tamper,
            trace,
        } = launch;
        for old in ["traffic", "routers", "traces", "meter"] {
            if out.join(old).exists() {
                std::fs::remove_dir_all(out.join(old))?;
            }
        }
        let folder = out.join("routers");
        std::fs::create_dir_all(&folder)?;
        std::fs::write(out.join("terms.json"), serde_json::to_string_pretty(terms)?)?;
        let ground = Ground::new(THREADS, Some(&out.join("traffic")))?;
        let any = SocketAddr::from(([127, 0, 0, 1], 0));
        let broker = Broker::start(&ground, BROKER, any)?;
        day.accounts
            .iter()
            .for_each(|a| broker.declare(&queue(&a.name)));
        let nature = store::Nature {
            mb_per_s: day.store.mb_per_s,
            abreast: day.store.abreast,
            most: day.store.most,
        };
        let store = Store::start(&ground, "store", any, nature)?;
        let list = List::start(&ground, LIST, any)?;
        let (workers, rows) = workers(day, terms, &ground, store.server.address)?;
        rows.iter()
            .enumerate()
            .for_each(|(w, row)| list.put(&name_of_worker(w), row.clone()));

        let log = ground.log("day")?;
        let links = Links::new(Some(log.clone()));
        let addresses: Vec<IpAddr> = (0..day.routers).map(|n| address_of(day, n)).collect();
        let reserved = || {
            addresses
                .iter()
                .map(|ip| Reserved::at(*ip))
                .collect::<std::io::Result<Vec<_>>>()
        };
        let (listens, peers) = (
            reserved()?,
            if day.peers { reserved()? } else { Vec::new() },
        );
        let region = |n: u32| {
            day.region_of(&day.zones[day.zone_of(n) as usize])
                .to_owned()
        };
        let regions: Vec<String> = (0..day.routers).map(region).collect();
        let (mut relays, mut seen, mut routers) = (Vec::new(), HashMap::new(), Vec::new());
        for (n, own) in addresses.iter().enumerate() {
            let mut relay = |far: &str, to: SocketAddr, form: Form| {
                if day.regions.is_empty() {
                    return Ok(to);
                }
                let (near, seed) = (own.to_string(), day.seed ^ (relays.len() as u64 + 1) << 32);
                let relay = Relay::start(&ground, &links, form, &near, far, Some(*own), to, seed)?;
                let address = relay.address;
                relays.push(relay);
                Ok::<_, std::io::Error>(address)
            };
            let broker = relay(BROKER, broker.address, Form::Bytes)?;
            let list = relay(LIST, list.server.address, Form::Bytes)?;
            for (w, worker) in workers.iter().enumerate() {
                let address = relay(&name_of_worker(w), worker.address, Form::Bytes)?;
                seen.insert((*own, worker.address), address);
            }
            let mut members = Vec::new();
            for (m, peer) in peers.iter().enumerate() {
                let address = match m == n {
                    true => peer.address,
                    false => relay(&addresses[m].to_string(), peer.address, Form::Messages)?,
                };
                members.push(Member {
                    name: format!("r{m}"),
                    region: regions[m].clone(),
                    address,
                });
            }
            let file = folder.join(format!("router-{n}.toml"));
            let text = router_file(
                day,
                n as u32,
                broker,
                list,
                listens[n].address,
                &members,
                trace,
            );
            std::fs::write(&file, text)?;
            let mut args = vec!["--log".to_owned(), "json".to_owned()];
            // One meddler is enough to be caught, except where all of them together break the rule.
            if let Some(kind) = tamper
                .as_ref()
                .filter(|k| n == 0 || TOGETHER.contains(&k.as_str()))
            {
                args.extend(["--tamper".to_owned(), kind.clone()]);
            }
            if n < day.clock_offsets_ms.len() {
                args.push("--rig".to_owned());
            }
            let state = folder.join(format!("state-{n}"));
            routers.push(Mutex::new(Process::new(&program, &file, &state, &args)));
        }
        if !day.regions.is_empty() {
            list.seen_as(move |to, worker| seen.get(&(to, worker)).copied().unwrap_or(worker));
        }
        let zone_regions = day
            .zones
            .iter()
            .map(|z| (z.clone(), day.region_of(z).to_owned()))
            .collect();
        Ok(Fleet {
            ground,
            broker,
            store,
            list,
            workers,
            rows: Mutex::new(rows),
            links,
            log,
            routers,
            addresses,
            regions,
            zone_regions,
            listens,
            peers,
            _relays: relays,
            out,
            consumers: (day.routers as usize - usize::from(day.witness)) * day.accounts.len(),
        })
    }

    /// All of them, and until they consume.
    pub fn start_routers(&self) -> Result<(), Wrong> {
        for n in 0..self.routers.len() {
            self.start_router(n, State::Kept)?;
        }
        match until(READY_WITHIN, || self.broker.consumers() >= self.consumers) {
            true if until(READY_WITHIN, || self.all_remember()) => Ok(()),
            true => Err(Wrong::NotWhole),
            false => Err(Wrong::NotUp),
        }
    }

    /// Each that has a group votes in it.
    pub fn all_remember(&self) -> bool {
        (0..self.peers.len()).all(|n| self.remembers(n))
    }

    pub fn remembers(&self, n: usize) -> bool {
        self.state(n).is_some_and(|s| s["memory"] == "whole")
    }

    /// What a router says of its group, if it answers.
    pub fn state(&self, n: usize) -> Option<serde_json::Value> {
        state(self.peer(n)?).ok()
    }

    /// As the table of links and the logs call them.
    pub fn router(&self, n: usize) -> String {
        self.addresses[n].to_string()
    }

    pub fn worker(&self, w: usize) -> String {
        name_of_worker(w)
    }

    /// Their fronts for callers, whether or not they have one.
    pub fn listens(&self) -> Vec<SocketAddr> {
        self.listens.iter().map(|r| r.address).collect()
    }

    /// Where a router listens for others; for [`crate::verdict::state`].
    pub fn peer(&self, n: usize) -> Option<SocketAddr> {
        self.peers.get(n).map(|r| r.address)
    }

    pub fn start_router(&self, n: usize, state: State) -> Result<(), Wrong> {
        let mut router = lock(&self.routers[n]);
        // Two troubles may have killed it; it comes back once.
        if router.is_up() {
            return Ok(());
        }
        self.log
            .write("router-up", json!({"address": self.router(n)}));
        router
            .start(state)
            .map_err(|source| Wrong::Router { number: n, source })
    }

    pub fn kill_router(&self, n: usize) {
        let mut router = lock(&self.routers[n]);
        if router.is_up() {
            self.log
                .write("router-down", json!({"address": self.router(n)}));
            router.kill();
        }
    }

    /// Stands still, or goes on.
    pub fn pause_router(&self, n: usize, on: bool) -> Result<(), Wrong> {
        let mut router = lock(&self.routers[n]);
        if !router.is_up() || router.is_paused() == on {
            return Ok(());
        }
        let tell = || {
            self.log.write(
                "router-paused",
                json!({"address": self.router(n), "on": on}),
            )
        };
        let wrong = |source| Wrong::Router { number: n, source };
        if on {
            tell();
            return router.pause().map_err(wrong);
        }
        router.go_on().map_err(wrong)?;
        tell();
        Ok(())
    }

    /// Where an order to upgrade is written; the routers' settings name it `upgrade.toml`.
    pub fn upgrade_file(&self) -> PathBuf {
        self.out.join("routers").join(UPGRADE)
    }

    /// A new order, whole at once, in the place of what was there. Routers read it at their start, or when told.
    pub fn write_upgrade(&self, text: &str) -> Result<(), Wrong> {
        let (file, new) = (
            self.upgrade_file(),
            self.upgrade_file().with_extension("new"),
        );
        let written = std::fs::write(&new, text).and_then(|()| std::fs::rename(&new, &file));
        written.map_err(Wrong::file(&file))
    }

    /// Told to read its orders again, if it runs.
    pub fn hang_up(&self, n: usize) -> Result<(), Wrong> {
        let router = lock(&self.routers[n]);
        match router.is_up() {
            true => router
                .hang_up()
                .map_err(|source| Wrong::Router { number: n, source }),
            false => Ok(()),
        }
    }

    /// Written, and all routers told. For the judge, what stands of these models now is what their floors are of.
    pub fn order_upgrade(&self, models: &[&str], text: &str) -> Result<(), Wrong> {
        self.write_upgrade(text)?;
        self.log.write("upgrade", json!({"models": models}));
        (0..self.routers.len()).try_for_each(|n| self.hang_up(n))
    }

    /// For the judge: their floors hold no longer.
    pub fn upgrade_over(&self, models: &[&str]) {
        self.log.write("upgrade-over", json!({"models": models}));
    }

    /// Both ways between all routers that are named, or one way from the first to the others.
    pub fn cut_peers(&self, which: &[usize], one_way: bool, fault: Fault) {
        for (i, a) in which.iter().enumerate() {
            for b in &which[i + 1..] {
                if one_way && i == 0 {
                    self.links.set(&self.router(*a), &self.router(*b), fault);
                } else if !one_way {
                    self.links.both(&self.router(*a), &self.router(*b), fault);
                }
            }
        }
    }

    /// All links that cross a region's border, both ways. Broker, list and store stand in no region.
    pub fn cut_region(&self, region: &str, fault: Fault) {
        let rows = lock(&self.rows).clone();
        for (n, own) in self.regions.iter().enumerate() {
            for (w, row) in rows.iter().enumerate() {
                let there = self
                    .zone_regions
                    .get(&row.zone)
                    .is_some_and(|r| r == region);
                if there != (own == region) {
                    self.links.both(&self.router(n), &name_of_worker(w), fault);
                }
            }
            for (m, other) in self.regions.iter().enumerate().skip(n + 1) {
                if (own == region) != (other == region) {
                    self.links.both(&self.router(n), &self.router(m), fault);
                }
            }
        }
    }

    pub fn row(&self, w: usize, change: impl FnOnce(&mut Row)) {
        let mut rows = lock(&self.rows);
        change(&mut rows[w]);
        self.list.put(&name_of_worker(w), rows[w].clone());
    }

    pub fn gone(&self, w: usize) {
        self.list.remove(&name_of_worker(w));
    }

    pub fn starts_again(&self, w: usize) {
        if self.workers[w].is_up() || self.workers[w].start_again().is_err() {
            return;
        }
        let (start, started_us) = (self.workers[w].starts(), self.workers[w].began_us());
        self.row(w, |r| {
            (r.draining, r.start, r.started_us) = (false, start, started_us)
        });
    }

    /// Links whole, nobody paused, all routers told to end; true if each did so in good order and in time.
    pub fn stop(&self, within: Duration) -> bool {
        self.links.heal();
        for n in 0..self.routers.len() {
            if let Err(e) = self.pause_router(n, false) {
                tracing::error!("{}", e.line());
            }
        }
        for router in &self.routers {
            let _ = lock(router).terminate();
        }
        let until = Instant::now() + within;
        let mut good = true;
        for router in &self.routers {
            let mut router = lock(router);
            if router.is_up() {
                let ended = router.wait(until.saturating_duration_since(Instant::now()));
                good &= ended.is_some_and(|status| status.success());
            }
        }
        // No router outlives the day, however it went.
        self.routers.iter().for_each(|r| lock(r).kill());
        good
    }

    /// Of what has crossed the sockets so far.
    pub fn verdict(&self) -> Result<Verdict, Wrong> {
        self.log.flush();
        self.broker.flush();
        self.store.flush();
        self.list.flush();
        self.workers.iter().for_each(Worker::flush);
        Ok(cedarpulley_invariant_checker::judge(&self.out)?)
    }

    pub fn folder(&self) -> &Path {
        &self.out
    }
}
