//! Plays a day: starts the stand-ins in this process and the routers as processes of their own, sends the clients'
//! invocations, brings the troubles at their times, stops all of it and has it judged.

use std::collections::{BTreeMap, HashMap};
use std::fmt::Write as _;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use async_io::Timer;
use cedarpulley_audit::{Effect, Kind, Terms, Verdict};
use cedarpulley_standins::broker::Broker;
use cedarpulley_standins::list::{List, Row};
use cedarpulley_standins::store::{self, Store};
use cedarpulley_standins::worker::{Memory, Nature, Program, Worker, began_us};
use cedarpulley_standins::{Ground, Log, lock, router_address};
use rand::{Rng, RngExt, SeedableRng};
use rand_distr::{Distribution, Exp, Zipf};
use rand_pcg::Pcg64Mcg;
use rustix::process::{Pid, Signal, kill_process};

use crate::Plain;
use crate::client::{Arrival, Client};
use crate::dayfile::{self, Day, Trouble, Way, What};
use crate::rest_client::Callers;

const CLIENTS: u32 = 3;
/// Tells the draw of the front apart from the others of the same seed.
const CALLS: u64 = 0xca11;
const FLOODS: u64 = 0xf100d << 8;
const THREADS: usize = 3;
/// Routers consume within this time of their start, or the day is not played.
const READY_WITHIN: Duration = Duration::from_secs(15);
/// Beyond the longest client timeout, until a router that was told to stop is gone.
const STOP_WITHIN: Duration = Duration::from_secs(6);
/// The list hears of a crash so much later.
const CRASH_SEEN: Duration = Duration::from_millis(800);
/// A drained worker stays up this long after it was told of.
const DRAIN_LASTS: Duration = Duration::from_secs(2);

pub fn show(verdict: &Verdict, json: bool) -> Plain<()> {
    if json {
        say!("{}", serde_json::to_string_pretty(verdict).map_err(|e| e.to_string())?);
    } else {
        say!("{}", verdict.table().trim_end());
    }
    say!("{}", verdict.last_line());
    Ok(())
}

struct Fleet {
    ground: Ground,
    broker: Broker,
    store: Store,
    list: List,
    workers: Vec<Worker>,
    rows: Mutex<Vec<Row>>,
    routers: Mutex<Vec<Option<Child>>>,
    files: Vec<PathBuf>,
    addresses: Vec<std::net::IpAddr>,
    listens: Vec<SocketAddr>,
    log: Log,
    tamper: Option<String>,
    program: Option<PathBuf>,
}

pub fn play(
    path: &Path,
    out: Option<PathBuf>,
    seed: Option<u64>,
    tamper: Option<String>,
    program: Option<PathBuf>,
    json: bool,
) -> Plain<bool> {
    let mut day = dayfile::read(path)?;
    day.seed = seed.unwrap_or(day.seed);
    let out =
        out.unwrap_or_else(|| std::env::temp_dir().join(format!("cedarpulley-day-{}", std::process::id())));
    let io = |e: std::io::Error| format!("{}: {e}", out.display());
    // A day that was played here before must not be judged with this one.
    for old in ["traffic", "routers", "traces", "meter"] {
        if out.join(old).exists() {
            std::fs::remove_dir_all(out.join(old)).map_err(io)?;
        }
    }
    std::fs::create_dir_all(out.join("routers")).map_err(io)?;
    let terms = terms(&day)?;
    let text = serde_json::to_string_pretty(&terms).map_err(|e| e.to_string())?;
    std::fs::write(out.join("terms.json"), text).map_err(io)?;
    let ground = Ground::new(THREADS, Some(&out.join("traffic"))).map_err(io)?;
    let fleet = Arc::new(fleet(&day, &terms, ground, &out, tamper, program).map_err(io)?);
    let stopped = async_io::block_on(run(&day, &fleet));
    // No router outlives the day, however it went.
    lock(&fleet.routers).iter_mut().flatten().for_each(|c| {
        let _ = c.kill();
        let _ = c.wait();
    });
    let stopped = stopped?;
    fleet.log.flush();
    fleet.broker.flush();
    fleet.store.flush();
    fleet.list.flush();
    fleet.workers.iter().for_each(Worker::flush);
    let verdict = cedarpulley_audit::judge(&out)?;
    let text = serde_json::to_string_pretty(&verdict).map_err(|e| e.to_string())?;
    std::fs::write(out.join("audit.json"), text).map_err(io)?;
    let table = format!("{}{}\n", verdict.table(), verdict.last_line());
    std::fs::write(out.join("summary.txt"), table).map_err(io)?;
    if !json {
        say!("{} (seed {}), left in {}\n", path.display(), day.seed, out.display());
    }
    show(&verdict, json)?;
    if !stopped && verdict.broken() == 0 {
        return Err("a router did not end in good order; see its log under routers/".into());
    }
    Ok(verdict.broken() == 0)
}

fn figure(table: &toml::Table, key: &str, absent: f64) -> f64 {
    match table.get(key) {
        Some(toml::Value::Integer(n)) => *n as f64,
        Some(toml::Value::Float(x)) => *x,
        _ => absent,
    }
}

fn terms(day: &Day) -> Plain<Terms> {
    let (rules, loads) = (&day.settings.rules, &day.settings.loads);
    let us = |table: &toml::Table, key: &str, absent: f64| (figure(table, key, absent) * 1e3) as i64;
    let mut kinds = BTreeMap::new();
    for t in &day.triggers {
        let effect = match t.effect.as_str() {
            "idempotent" => Effect::Idempotent,
            "tokened" => Effect::Tokened,
            "non-idempotent" => Effect::NonIdempotent,
            other => return Err(format!("trigger type {}: no effect is called '{other}'", t.name)),
        };
        let objective_us = t.latency_objective_ms as i64 * 1000;
        kinds.insert(t.name.clone(), Kind { effect, window_us: t.window_ms as i64 * 1000, objective_us });
    }
    Ok(Terms {
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
        second_copies: day.settings.dispatch.get("second_copies").and_then(toml::Value::as_bool)
            == Some(true),
    })
}

fn queue(account: &str) -> String {
    format!("triggers-{account}")
}

fn fleet(
    day: &Day,
    terms: &Terms,
    ground: Ground,
    out: &Path,
    tamper: Option<String>,
    program: Option<PathBuf>,
) -> std::io::Result<Fleet> {
    let any = SocketAddr::from(([127, 0, 0, 1], 0));
    let us = |t: i64| Duration::from_micros(t.max(0) as u64);
    let broker = Broker::start(&ground, "broker", any)?;
    day.accounts.iter().for_each(|a| broker.declare(&queue(&a.name)));
    let nature =
        store::Nature { mb_per_s: day.store.mb_per_s, abreast: day.store.abreast, most: day.store.most };
    let store = Store::start(&ground, "store", any, nature)?;
    let list = List::start(&ground, "list", any)?;
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
            };
            (t.name.clone(), program)
        })
        .collect();
    let loads_when_absent =
        day.settings.loads.get("loads_when_absent").and_then(toml::Value::as_bool).unwrap_or(true);
    let (memory, mut workers, mut rows) = (Memory::default(), Vec::new(), Vec::new());
    for w in &day.workers {
        for _ in 0..w.count {
            let nature = Nature {
                cores: w.cores,
                memory_mb: w.memory_mb,
                most_waiting: day.nature.most_waiting,
                most_loads: day.nature.most_loads,
                loads_when_absent,
                cold_part: terms.cold_part,
                cold_for: us(terms.cold_for_us),
                overload_multiple: terms.overload_multiple,
                overload_window: us(terms.overload_window_us),
            };
            let name = format!("worker-{:02}", workers.len());
            let (store, programs) = (store.server.address, programs.clone());
            let worker =
                Worker::start(&ground, &name, any, day.seed, nature, store, programs, memory.clone())?;
            let row = Row {
                address: worker.address,
                zone: w.zone.clone(),
                kind: w.kind.clone(),
                cell: 0,
                draining: false,
                start: 1,
                started_us: 0,
            };
            list.put(&name, row.clone());
            rows.push(row);
            workers.push(worker);
        }
    }
    let mut files = Vec::new();
    let addresses: Vec<std::net::IpAddr> = (0..day.routers).map(|n| address_of(day, n)).collect();
    // Ports that are free now; the routers take them in a moment.
    let listens = addresses.iter().map(|ip| std::net::TcpListener::bind((*ip, 0))?.local_addr());
    let listens: Vec<SocketAddr> = listens.collect::<std::io::Result<_>>()?;
    for n in 0..day.routers {
        let file = out.join("routers").join(format!("router-{n}.toml"));
        std::fs::write(
            &file,
            router_file(day, n, broker.address, list.server.address, listens[n as usize], program.is_none()),
        )?;
        files.push(file);
    }
    let routers = Mutex::new((0..day.routers).map(|_| None).collect());
    let rows = Mutex::new(rows);
    let log = ground.log("day")?;
    Ok(Fleet {
        ground,
        broker,
        store,
        list,
        workers,
        rows,
        routers,
        files,
        addresses,
        listens,
        log,
        tamper,
        program,
    })
}

fn address_of(day: &Day, n: u32) -> std::net::IpAddr {
    router_address(n % day.zones.len() as u32, n)
}

/// The settings of one router of the day.
fn router_file(
    day: &Day,
    n: u32,
    broker: SocketAddr,
    list: SocketAddr,
    listen: SocketAddr,
    trace: bool,
) -> String {
    let zone = n % day.zones.len() as u32;
    let mut t = String::new();
    let _ = writeln!(
        t,
        "[router]\nseed = {}\nrouters = {}\nposition = {n}",
        day.seed + u64::from(n),
        day.routers
    );
    let _ = writeln!(t, "zone = {:?}\nzones = {:?}", day.zones[zone as usize], day.zones);
    let _ = writeln!(t, "from = \"{}\"\n", address_of(day, n));
    // Each day leaves its routers' ledgers and traces, those of killed ones cut as the kill left them.
    // An earlier build may know nothing of them.
    if trace {
        let _ = writeln!(t, "[trace]\nfolder = \"../traces\"\n\n[meter]\nfolder = \"../meter\"\n");
    }
    let s = &day.settings;
    for (name, table) in
        [("rules", &s.rules), ("dispatch", &s.dispatch), ("loads", &s.loads), ("prices", &s.prices)]
    {
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
        let _ = writeln!(t, "[[trigger]]\nname = {:?}\neffect = {:?}", g.name, g.effect);
        if g.window_ms > 0 {
            let _ = writeln!(t, "window_ms = {}", g.window_ms);
        }
        let _ = writeln!(t, "latency_objective_ms = {}", g.latency_objective_ms);
        let _ = writeln!(t, "client_timeout_ms = {}", g.client_timeout_ms);
        let _ = writeln!(t, "billed_value = {:?}\n", g.billed_value);
    }
    for a in &day.accounts {
        let _ = writeln!(t, "[[account]]\nname = {:?}\nshare = {:?}", a.name, a.share);
        let _ = writeln!(t, "allowance_per_s = {:?}\n", a.allowance_per_s);
    }
    for a in &day.accounts {
        let _ = writeln!(t, "[[amqp]]\nname = {:?}\nbroker = \"{broker}\"", a.name);
        let _ = writeln!(t, "queue = {:?}\nshare_of = {:?}\n", queue(&a.name), a.name);
    }
    if day.kserve_part > 0.0 {
        let _ = writeln!(t, "[[kserve]]\nlisten = \"{listen}\"\n");
    }
    let _ = writeln!(t, "[workers]\nwatch = \"{list}\"");
    t
}

impl Fleet {
    fn start_router(&self, n: usize) -> Plain<()> {
        // Two troubles may have killed it; it comes back once.
        if lock(&self.routers)[n].is_some() {
            return Ok(());
        }
        let wrong = |e: std::io::Error| format!("router {n}: {e}");
        self.log.write("router-up", serde_json::json!({"address": self.addresses[n].to_string()}));
        let program = match &self.program {
            Some(program) => program.clone(),
            None => std::env::current_exe().map_err(wrong)?,
        };
        let log = std::fs::File::options()
            .create(true)
            .append(true)
            .open(self.files[n].with_extension("log"))
            .map_err(wrong)?;
        let mut command = Command::new(program);
        command.arg("serve").arg(&self.files[n]).args(["--log", "json"]);
        if let Some(kind) = &self.tamper {
            // One meddler is enough to be caught, except where all of them together break the rule.
            if n == 0 || kind == "push" {
                command.args(["--tamper", kind]);
            }
        }
        let child = command.stdin(Stdio::null()).stdout(Stdio::null()).stderr(log).spawn().map_err(wrong)?;
        lock(&self.routers)[n] = Some(child);
        Ok(())
    }

    fn kill_router(&self, n: usize) {
        if let Some(mut child) = lock(&self.routers)[n].take() {
            let address = self.addresses[n].to_string();
            self.log.write("router-down", serde_json::json!({"address": address}));
            // Outright, and gone for good before another takes its place.
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    fn row(&self, w: usize, change: impl FnOnce(&mut Row)) {
        let mut rows = lock(&self.rows);
        change(&mut rows[w]);
        self.list.put(&format!("worker-{w:02}"), rows[w].clone());
    }

    fn gone(&self, w: usize) {
        self.list.remove(&format!("worker-{w:02}"));
    }

    fn starts_again(&self, w: usize) {
        if self.workers[w].is_up() || self.workers[w].start_again().is_err() {
            return;
        }
        let (start, started_us) = (self.workers[w].starts(), began_us(&self.workers[w]));
        self.row(w, |r| (r.draining, r.start, r.started_us) = (false, start, started_us));
    }
}

async fn run(day: &Day, fleet: &Arc<Fleet>) -> Plain<bool> {
    for n in 0..day.routers as usize {
        fleet.start_router(n)?;
    }
    let wanted = day.routers as usize * day.accounts.len();
    let until = Instant::now() + READY_WITHIN;
    while fleet.broker.consumers() < wanted {
        if Instant::now() > until {
            return Err("the routers did not come up; see their logs under routers/".into());
        }
        Timer::after(Duration::from_millis(20)).await;
    }
    let began = Instant::now();
    let mut clients: Vec<Vec<Arrival>> = (0..CLIENTS).map(|_| Vec::new()).collect();
    let mut calls = Vec::new();
    for (n, arrival) in arrivals(day).into_iter().enumerate() {
        match arrival.calls {
            true => calls.push(arrival),
            false => clients[n % CLIENTS as usize].push(arrival),
        }
    }
    let mut tasks = Vec::new();
    let callers = Callers {
        routers: fleet.listens.clone(),
        from: [127, 0, 2, 200].into(),
        log: fleet.log.clone(),
        began,
    };
    let executor = fleet.ground.executor.clone();
    tasks.push(fleet.ground.executor.spawn(Arc::new(callers).run(executor, calls)));
    for (n, arrivals) in clients.into_iter().enumerate() {
        let client = Client {
            broker: fleet.broker.address,
            from: [127, 0, 2, 1 + n as u8].into(),
            replies: format!("replies-{n}"),
            began,
            arrivals,
            times: None,
        };
        tasks.push(fleet.ground.executor.spawn(client.run()));
    }
    for (n, trouble) in day.troubles.iter().cloned().enumerate() {
        let (executor, fleet, zones) = (&fleet.ground.executor, fleet.clone(), day.zones.clone());
        let random = Pcg64Mcg::seed_from_u64(day.seed ^ (n as u64 + 1) << 32);
        let task = async move {
            Timer::at(began + Duration::from_secs_f64(trouble.at_s)).await;
            tracing::info!(what = ?trouble.what, "trouble begins");
            bring(&fleet, &trouble, &zones, random).await;
            tracing::info!(what = ?trouble.what, "trouble over");
        };
        tasks.push(executor.spawn(task));
    }
    Timer::at(began + Duration::from_secs_f64(day.seconds)).await;
    let longest = day.triggers.iter().map(|t| t.client_timeout_ms).max().unwrap_or(0);
    Timer::after(Duration::from_millis(longest)).await;
    let stopped = stop(fleet, Duration::from_millis(longest) + STOP_WITHIN).await;
    drop(tasks);
    Ok(stopped)
}

/// Tells all routers to end; true if each did so in good order and in time.
async fn stop(fleet: &Fleet, within: Duration) -> bool {
    let pids: Vec<i32> = lock(&fleet.routers).iter().flatten().map(|c| c.id() as i32).collect();
    for pid in pids.into_iter().filter_map(Pid::from_raw) {
        let _ = kill_process(pid, Signal::TERM);
    }
    let until = Instant::now() + within;
    loop {
        let mut good = true;
        let mut running = 0;
        for child in lock(&fleet.routers).iter_mut().flatten() {
            match child.try_wait() {
                Ok(Some(status)) => good &= status.success(),
                _ => running += 1,
            }
        }
        if running == 0 || Instant::now() > until {
            return good && running == 0;
        }
        Timer::after(Duration::from_millis(20)).await;
    }
}

/// What the day's clients send, and when.
fn arrivals(day: &Day) -> Vec<Arrival> {
    let mut random = Pcg64Mcg::seed_from_u64(day.seed);
    let mut all = Vec::new();
    let mut at = 0.0;
    let body: Arc<str> =
        r#"{"inputs":[{"name":"drawing","shape":[4],"datatype":"FP32","data":[0.1,0.2,0.3,0.4]}]}"#.into();
    let pick = |random: &mut Pcg64Mcg, parts: &[f64]| {
        let mut left = random.random::<f64>() * parts.iter().sum::<f64>();
        parts.iter().position(|p| {
            left -= p;
            left <= 0.0
        })
    };
    let triggers: Vec<f64> = day.triggers.iter().map(|t| t.part).collect();
    let accounts: Vec<f64> = day.accounts.iter().map(|a| a.part).collect();
    let mut ways = Pcg64Mcg::seed_from_u64(day.seed ^ CALLS);
    loop {
        let now = |what: What| {
            day.troubles.iter().find(|t| t.what == what && (t.at_s..t.at_s + t.for_s).contains(&at))
        };
        let rate = day.rate_per_s * now(What::TrafficShift).map_or(1.0, |t| t.size);
        let Ok(gap) = Exp::new(rate) else { break };
        let (hot, scan, abuse) = (now(What::HotFunction), now(What::Scan), now(What::RetryAbuse));
        let retries = abuse.map_or(0, |t| t.size as u32);
        let t = &day.triggers[pick(&mut random, &triggers).unwrap_or(0)];
        let account = &day.accounts[pick(&mut random, &accounts).unwrap_or(0)];
        let rank = Zipf::new(f64::from(t.functions), t.skew).map_or(1.0, |z| z.sample(&mut random)) as u64;
        let draw: f64 = random.random();
        let number = match (hot, scan) {
            (Some(h), _) if draw < h.part => 1,
            (_, Some(s)) if draw < s.part => 1_000_000 + random.next_u64() % 1_000_000,
            _ => rank,
        };
        at += gap.sample(&mut random);
        if at >= day.seconds {
            break;
        }
        all.push(Arrival {
            at: Duration::from_secs_f64(at),
            id: format!("i{:06}", all.len()),
            kind: t.name.clone(),
            function: format!("{}:{number}", t.name),
            account: account.name.clone(),
            calls: ways.random::<f64>() < day.kserve_part,
            queue: queue(&account.name),
            timeout_ms: t.client_timeout_ms,
            copy_mb: t.copy_mb,
            lanes: t.lanes,
            body: body.clone(),
            retries,
        });
    }
    // Floods have draws of their own: taken away, the rest of the day stays as it is.
    let usual = all.clone();
    for (n, flood) in day.troubles.iter().enumerate().filter(|(_, t)| t.what == What::Flood) {
        let mut random = Pcg64Mcg::seed_from_u64(day.seed ^ FLOODS ^ n as u64);
        let calls = flood.front == Some(Way::Kserve);
        let part = if calls { day.kserve_part } else { 1.0 - day.kserve_part };
        // Its share is there already.
        let Ok(gap) = Exp::new(day.rate_per_s * part * (flood.size - 1.0)) else { continue };
        let mut at = flood.at_s;
        loop {
            at += gap.sample(&mut random);
            if at >= (flood.at_s + flood.for_s).min(day.seconds) {
                break;
            }
            // Alike in all to one of the day's, but for its front and account.
            let like = usual[random.random_range(0..usual.len())].clone();
            let account = flood.account.clone().unwrap_or(like.account);
            all.push(Arrival {
                at: Duration::from_secs_f64(at),
                id: format!("i{:06}", all.len()),
                queue: queue(&account),
                account,
                calls,
                ..like
            });
        }
    }
    all.sort_by_key(|a| a.at);
    all
}

async fn bring(fleet: &Arc<Fleet>, t: &Trouble, zones: &[String], mut random: Pcg64Mcg) {
    let lasts = Duration::from_secs_f64(t.for_s);
    let zone = t.zone.as_ref().and_then(|z| zones.iter().position(|n| n == z));
    let chosen: Vec<usize> = (0..fleet.workers.len())
        .filter(|w| t.which.contains(w) || t.which.is_empty() && random.random::<f64>() < t.part)
        .collect();
    let workers = || chosen.iter().map(|w| &fleet.workers[*w]);
    match t.what {
        What::Hang => {
            workers().for_each(|w| w.hang(true));
            Timer::after(lasts).await;
            workers().for_each(|w| w.hang(false));
        }
        What::Slow => {
            workers().for_each(|w| w.slow(t.size));
            Timer::after(lasts).await;
            workers().for_each(|w| w.slow(1.0));
        }
        What::Pauses => {
            let until = Instant::now() + lasts;
            while Instant::now() < until {
                workers().for_each(|w| w.pause(true));
                Timer::after(Duration::from_secs_f64(t.size)).await;
                workers().for_each(|w| w.pause(false));
                Timer::after(Duration::from_secs_f64(t.size * 2.0)).await;
            }
        }
        What::ClassFail => {
            workers().for_each(|w| w.mute(t.trigger.as_deref()));
            Timer::after(lasts).await;
            workers().for_each(|w| w.mute(None));
        }
        What::Crash => {
            workers().for_each(Worker::crash);
            Timer::after(CRASH_SEEN.min(lasts)).await;
            chosen.iter().for_each(|w| fleet.gone(*w));
            Timer::after(lasts.saturating_sub(CRASH_SEEN)).await;
            chosen.iter().for_each(|w| fleet.starts_again(*w));
        }
        What::Preempt => {
            for &w in &chosen {
                fleet.row(w, |r| r.draining = true);
            }
            Timer::after(Duration::from_secs_f64(t.size / 1e3)).await;
            workers().for_each(Worker::crash);
            chosen.iter().for_each(|w| fleet.gone(*w));
            Timer::after(lasts).await;
            chosen.iter().for_each(|w| fleet.starts_again(*w));
        }
        What::DrainWave => {
            for &w in &chosen {
                let executor = fleet.ground.executor.clone();
                let fleet = fleet.clone();
                let one = async move {
                    fleet.row(w, |r| r.draining = true);
                    Timer::after(DRAIN_LASTS / 2).await;
                    fleet.workers[w].drain();
                    Timer::after(DRAIN_LASTS / 2).await;
                    fleet.workers[w].crash();
                    fleet.gone(w);
                    Timer::after(lasts).await;
                    fleet.starts_again(w);
                };
                executor.spawn(one).detach();
                Timer::after(Duration::from_secs_f64(t.size)).await;
            }
        }
        What::ZoneCut => {
            // Workers in the zone hear no router outside of it.
            let Some(zone) = zone else { return };
            let rows = lock(&fleet.rows).clone();
            let inside = |w: &usize| rows[*w].zone == zones[zone];
            let all: Vec<usize> = (0..fleet.workers.len()).filter(inside).collect();
            all.iter().for_each(|w| fleet.workers[*w].cut(!(1 << zone)));
            Timer::after(lasts).await;
            all.iter().for_each(|w| fleet.workers[*w].cut(0));
        }
        What::StoreSlow => {
            fleet.store.slow(t.size);
            Timer::after(lasts).await;
            fleet.store.slow(1.0);
        }
        What::Flush => workers().for_each(Worker::flush_copies),
        What::ChannelDrop => {
            let hit: Vec<bool> = (0..256).map(|_| random.random::<f64>() < t.part).collect();
            fleet.broker.drop_channels(|from| hit[last_octet(from)]);
        }
        What::ConnectionDrop => {
            let hit: Vec<bool> = (0..256).map(|_| random.random::<f64>() < t.part).collect();
            fleet.broker.drop_connections(|from| from.starts_with("127.0.1") && hit[last_octet(from)]);
        }
        What::BrokerRestart => {
            if let Err(e) = fleet.broker.restart(lasts).await {
                tracing::error!(cause = %e, "the broker did not come back");
            }
        }
        What::BrokerBlock => {
            fleet.broker.block(true);
            Timer::after(lasts).await;
            fleet.broker.block(false);
        }
        What::RouterKill => {
            t.which.iter().for_each(|r| fleet.kill_router(*r));
            Timer::after(lasts).await;
            for r in &t.which {
                if let Err(e) = fleet.start_router(*r) {
                    tracing::error!(cause = %e, "a router did not come back");
                }
            }
        }
        What::ListLate => {
            fleet.list.late(Duration::from_secs_f64(t.size));
            Timer::after(lasts).await;
            fleet.list.late(Duration::ZERO);
        }
        // These are in the arrivals.
        What::HotFunction | What::Scan | What::TrafficShift | What::RetryAbuse | What::Flood => {}
    }
}

fn last_octet(from: &str) -> usize {
    from.rsplit('.').next().and_then(|o| o.parse::<u8>().ok()).unwrap_or(0) as usize
}
