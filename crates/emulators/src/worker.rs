//! A worker: KServe v2 with the model repository extension over HTTP. Cores are shared among what runs, functions
//! are loaded through the store into bounded memory, each copy has lanes, a young worker does only part of its work
//! and falls over when pushed, and repeats of a token are dropped within a window.
//!
//! Mechanisms:
//! 1. Versions of a model are functions side by side (`m/versions/2`); who ordered a copy last is kept with it.
//! 2. What earlier invocations of a sequence built up in a copy makes the next one there cheap (`sequences`).
//! 3. What is held is told by the repository index (`index`), and can be made to drift from belief (`drift`).

mod drift;
mod held;
mod index;
mod sequences;

pub use drift::Lies;
pub use index::{Held, Orderer};

use std::collections::{HashMap, VecDeque};
use std::net::{IpAddr, SocketAddr};
use std::sync::{Arc, Mutex, Weak};
use std::time::{Duration, Instant};

use async_io::{Async, Timer};
use bytes::Bytes;
use http_body_util::{BodyExt, Empty, Limited};
use hyper::body::Incoming;
use hyper::header::HeaderValue;
use hyper::{Request, Response, StatusCode};
use percent_encoding::percent_decode_str;
use rand::{Rng, SeedableRng};
use rand_distr::{Distribution, LogNormal};
use serde_json::json;
use smol::lock::Semaphore;
use smol_hyper::rt::FuturesIo;

use self::drift::Drift;
use self::held::{AtWork, Holds, Use, report};
use self::index::VERSIONS;
use self::sequences::Prefixes;
use crate::http::{Body, Cut, Server, full};
use crate::{Ground, Log, lock, wall_us};

/// Of the binary-data extension.
const JSON_LENGTH: &str = "inference-header-content-length";
const MOST_BODY: usize = 128 << 20;
/// What runs is advanced in steps of this length.
const STEP: Duration = Duration::from_millis(10);
/// Spread of the work about its mean, in units of its logarithm.
const SPREAD: f64 = 0.35;
/// The listener of a process that ended is closed within this time, however busy the machine.
const LISTENER_GONE: Duration = Duration::from_secs(10);
/// A repeat waits so long for the first one's answer.
const REPEAT_WAITS: Duration = Duration::from_secs(2);

/// What invocations of one trigger type are like.
#[derive(Clone, Debug)]
pub struct Program {
    pub work: Duration,
    pub copy_mb: f64,
    pub start_up: Duration,
    pub lanes: usize,
    /// Set for tokened ones: repeats are dropped for so long.
    pub window: Option<Duration>,
    /// Work beside its own for one that does not find its sequence's prefix.
    pub prefix: Duration,
}

#[derive(Clone, Debug)]
pub struct Nature {
    pub cores: f64,
    pub memory_mb: f64,
    /// Invocations waiting beyond this are refused.
    pub most_waiting: usize,
    pub most_loads: usize,
    pub loads_when_absent: bool,
    pub cold_part: f64,
    pub cold_for: Duration,
    pub overload_multiple: f64,
    pub overload_window: Duration,
}

impl Nature {
    /// Room for all that comes, and warm from its start.
    pub fn roomy(cores: f64) -> Self {
        Nature {
            cores,
            memory_mb: 1e6,
            most_waiting: 100_000,
            most_loads: 8,
            loads_when_absent: true,
            cold_part: 1.0,
            cold_for: Duration::ZERO,
            overload_multiple: f64::MAX,
            overload_window: Duration::from_secs(1),
        }
    }
}

/// Tokens that a group of workers remembers.
#[derive(Clone, Default)]
pub struct Memory(Arc<Mutex<HashMap<String, Remembered>>>);

/// Since when a token is known, and the answer once there is one.
type Remembered = (Instant, Option<Told>);

/// An answer's body, and how much of it is JSON where raw tensors follow.
type Told = (Bytes, Option<usize>);

/// A token that was entered and whose invocation has not begun: it never ran if it ends now.
struct Entered {
    memory: Memory,
    token: String,
    ran: bool,
}

impl Drop for Entered {
    fn drop(&mut self) {
        if !self.ran {
            lock(&self.memory.0).remove(&self.token);
        }
    }
}

#[derive(Clone, Debug, Default)]
struct Faults {
    hang: bool,
    pause: bool,
    slow: f64,
    mute: Option<String>,
    draining: bool,
}

struct Copy {
    lanes: Arc<Semaphore>,
    copies: usize,
    mb: f64,
    busy: usize,
    used: Instant,
    /// None while loading; then whether it stands.
    stands: Option<bool>,
    use_of: Use,
    /// The last order's.
    by: Orderer,
    prefixes: Prefixes,
}

/// What one process of the worker holds.
struct Life {
    began: Instant,
    /// Was there all along.
    warm: bool,
    copies: HashMap<String, Copy>,
    loads: usize,
    running: usize,
    waiting: usize,
    sent: VecDeque<(Instant, Duration)>,
    /// Unlike any other process's.
    number: u64,
    /// What was held, running, loading and idle, in byte-microseconds, by account and function.
    totals: HashMap<(String, String), [u128; 3]>,
}

struct Inner {
    name: String,
    ground: Ground,
    log: Log,
    seed: u64,
    nature: Nature,
    store: SocketAddr,
    programs: HashMap<String, Program>,
    memory: Memory,
    cut: Cut,
    faults: Mutex<Faults>,
    drift: Mutex<Drift>,
    life: Mutex<Option<Life>>,
    server: Mutex<Option<Server>>,
    starts: Mutex<u32>,
}

#[derive(Clone)]
pub struct Worker {
    pub address: SocketAddr,
    inner: Arc<Inner>,
}

/// A task's part in a count, given back however the task ends.
struct Part<F: FnMut(&mut Life)>(Arc<Inner>, F);

impl<F: FnMut(&mut Life)> Drop for Part<F> {
    fn drop(&mut self) {
        if let Some(life) = lock(&self.0.life).as_mut() {
            (self.1)(life);
        }
    }
}

/// Says in the log how an invocation left, also when its connection was closed on it.
struct Leaves {
    log: Log,
    cut: Cut,
    peer: IpAddr,
    id: String,
    dispatch: String,
    how: &'static str,
}

impl Drop for Leaves {
    fn drop(&mut self) {
        self.log.write(
            "left",
            json!({
                "id": self.id, "dispatch": self.dispatch, "from": self.peer.to_string(), "how": self.how,
                "unseen_since": self.cut.unseen_since(self.peer),
            }),
        );
    }
}

impl Worker {
    #[allow(clippy::too_many_arguments)] // What a worker is made of.
    pub fn start(
        ground: &Ground,
        name: &str,
        address: SocketAddr,
        seed: u64,
        nature: Nature,
        store: SocketAddr,
        programs: HashMap<String, Program>,
        memory: Memory,
    ) -> std::io::Result<Worker> {
        let inner = Arc::new(Inner {
            name: name.to_owned(),
            ground: ground.clone(),
            log: ground.log(name)?,
            seed,
            nature,
            store,
            programs,
            memory,
            cut: Cut::default(),
            faults: Mutex::new(Faults {
                slow: 1.0,
                ..Faults::default()
            }),
            drift: Mutex::default(),
            life: Mutex::new(None),
            server: Mutex::new(None),
            starts: Mutex::new(0),
        });
        let mut worker = Worker { address, inner };
        worker.address = worker.up(true)?;
        Ok(worker)
    }

    fn up(&self, warm: bool) -> std::io::Result<SocketAddr> {
        let life = Life {
            began: Instant::now(),
            warm,
            copies: HashMap::new(),
            loads: 0,
            running: 0,
            waiting: 0,
            sent: VecDeque::new(),
            number: rand::random::<u64>() >> 1,
            totals: HashMap::new(),
        };
        let weak = Arc::downgrade(&self.inner);
        let handle = move |from: SocketAddr, request| serve(weak.clone(), from, request);
        *lock(&self.inner.life) = Some(life);
        let server = Server::start(
            &self.inner.ground,
            self.address,
            self.inner.cut.clone(),
            handle,
        )
        .inspect_err(|_| *lock(&self.inner.life) = None)?;
        let address = server.address;
        *lock(&self.inner.server) = Some(server);
        *lock(&self.inner.starts) += 1;
        self.inner.log.write(
            "up",
            json!({"address": address.to_string(), "cores": self.inner.nature.cores, "cold": !warm}),
        );
        Ok(address)
    }

    /// The process is gone, with all it held.
    pub fn crash(&self) {
        self.inner.log.write("down", json!({}));
        let server = lock(&self.inner.server).take();
        drop(server);
        *lock(&self.inner.life) = None;
    }

    /// A fresh process, cold and empty, at the same address.
    pub fn start_again(&self) -> std::io::Result<()> {
        let until = Instant::now() + LISTENER_GONE;
        // Symptom: `AddrInUse` just after a crash, as the executor has yet to drop the listener.
        loop {
            match self.up(false) {
                Err(e) if e.kind() == std::io::ErrorKind::AddrInUse && Instant::now() < until => {
                    std::thread::sleep(STEP);
                }
                up => return up.map(|_| lock(&self.inner.faults).draining = false),
            }
        }
    }

    /// How often it has been started.
    pub fn starts(&self) -> u32 {
        *lock(&self.inner.starts)
    }

    pub fn is_up(&self) -> bool {
        lock(&self.inner.server).is_some()
    }

    /// Takes calls, runs them and answers none.
    pub fn hang(&self, on: bool) {
        lock(&self.inner.faults).hang = on;
    }

    pub fn pause(&self, on: bool) {
        lock(&self.inner.faults).pause = on;
    }

    pub fn slow(&self, times: f64) {
        lock(&self.inner.faults).slow = times;
    }

    /// Leaves one trigger type unanswered.
    pub fn mute(&self, kind: Option<&str>) {
        lock(&self.inner.faults).mute = kind.map(str::to_owned);
    }

    pub fn drain(&self) {
        lock(&self.inner.faults).draining = true;
    }

    pub fn cut(&self, zones: u64) {
        self.inner.cut.set(zones);
    }

    /// Idle copies are gone.
    pub fn flush_copies(&self) {
        self.inner
            .remove("evicted", |_| true, json!({"why": "flush"}));
    }

    pub fn flush(&self) {
        self.inner.log.flush();
    }
}

async fn serve(inner: Weak<Inner>, from: SocketAddr, request: Request<Incoming>) -> Response<Body> {
    let Some(it) = inner.upgrade() else {
        return full(StatusCode::SERVICE_UNAVAILABLE, "");
    };
    let path = request.uri().path().to_owned();
    let parts: Vec<&str> = path.trim_start_matches('/').split('/').collect();
    let model = |name: &str| percent_decode_str(name).decode_utf8_lossy().into_owned();
    let versioned =
        |name: &str, version: &str| format!("{}{VERSIONS}{}", model(name), model(version));
    match parts.as_slice() {
        ["v2", "health", "live" | "ready"] => full(StatusCode::OK, ""),
        ["v2", "models", name, "ready"] => full(
            if it.stands(&model(name)) {
                StatusCode::OK
            } else {
                StatusCode::NOT_FOUND
            },
            "",
        ),
        ["v2", "models", name, "versions", version, "ready"] => {
            let stands = it.stands(&versioned(name, version));
            full(
                if stands {
                    StatusCode::OK
                } else {
                    StatusCode::NOT_FOUND
                },
                "",
            )
        }
        ["v2", "models", name, "infer"] => infer(it, from, model(name), request).await,
        ["v2", "models", name, "versions", version, "infer"] => {
            infer(it, from, versioned(name, version), request).await
        }
        ["v2", "repository", "index"] => index::answer(it, from.ip().to_string(), request).await,
        ["v2", "repository", "models", name, "load"] => {
            load(it, from.ip(), model(name), request).await
        }
        [
            "v2",
            "repository",
            "models",
            name,
            "versions",
            version,
            "load",
        ] => load(it, from.ip(), versioned(name, version), request).await,
        ["v2", "repository", "models", name, "unload"] => {
            unload(&it, from.ip(), &model(name), &request)
        }
        [
            "v2",
            "repository",
            "models",
            name,
            "versions",
            version,
            "unload",
        ] => unload(&it, from.ip(), &versioned(name, version), &request),
        _ => full(StatusCode::NOT_FOUND, ""),
    }
}

fn refuse(status: StatusCode) -> Response<Body> {
    let mut response = full(status, "");
    response
        .headers_mut()
        .insert("cedarpulley-ran", HeaderValue::from_static("no"));
    response
}

enum Found {
    /// Wait for its lane; whether this one began the load or waits for one begun before.
    Copy {
        lanes: Arc<Semaphore>,
        began: bool,
        waited: bool,
    },
    NoRoom,
    Absent,
}

impl Inner {
    fn grown(&self, life: &Life) -> f64 {
        if life.warm {
            return 1.0;
        }
        let age = life.began.elapsed().as_secs_f64() / self.nature.cold_for.as_secs_f64().max(1e-9);
        self.nature.cold_part + (1.0 - self.nature.cold_part) * age.min(1.0)
    }

    /// True if this one pushes it over.
    fn pushed(&self, work: Duration) -> bool {
        let mut life = lock(&self.life);
        let Some(life) = life.as_mut() else {
            return false;
        };
        let (now, n) = (Instant::now(), &self.nature);
        life.sent.push_back((now, work));
        while life
            .sent
            .front()
            .is_some_and(|(at, _)| now - *at > n.overload_window)
        {
            life.sent.pop_front();
        }
        if life.warm || life.began.elapsed() >= n.cold_for {
            return false;
        }
        let sent: f64 = life.sent.iter().map(|(_, w)| w.as_secs_f64()).sum();
        sent > n.overload_multiple * n.cores * self.grown(life) * n.overload_window.as_secs_f64()
    }

    /// The copy to run on, and, where its load is to be begun now, the number of the process to load it into.
    fn find(
        &self,
        function: &str,
        program: &Program,
        may_load: bool,
        copies: usize,
    ) -> (Found, Option<u64>) {
        let mut life = lock(&self.life);
        let Some(life) = life.as_mut() else {
            return (Found::NoRoom, None);
        };
        if let Some(copy) = life.copies.get_mut(function) {
            copy.used = Instant::now();
            let waited = copy.stands.is_none();
            if copy.stands != Some(false) {
                return (
                    Found::Copy {
                        lanes: copy.lanes.clone(),
                        began: false,
                        waited,
                    },
                    None,
                );
            }
        }
        if !may_load {
            return (Found::Absent, None);
        }
        let needed = program.copy_mb * copies as f64;
        let mut used: f64 = life.copies.values().map(|c| c.mb).sum();
        if life.loads >= self.nature.most_loads {
            return (Found::NoRoom, None);
        }
        while used + needed > self.nature.memory_mb {
            let idle = life
                .copies
                .iter()
                .filter(|(_, c)| c.busy == 0 && c.stands.is_some());
            let Some(oldest) = idle.min_by_key(|(_, c)| c.used).map(|(n, _)| n.clone()) else {
                return (Found::NoRoom, None);
            };
            used -= life.copies.remove(&oldest).map_or(0.0, |c| c.mb);
            self.log
                .write("evicted", json!({"function": oldest, "why": "room"}));
        }
        let lanes = Arc::new(Semaphore::new(0));
        let used = Instant::now();
        let use_of = Use {
            parted: 0.0,
            at_work: 0,
            since: used,
        };
        let copy = Copy {
            lanes: lanes.clone(),
            copies,
            mb: needed,
            busy: 0,
            used,
            stands: None,
            use_of,
            by: Orderer::default(),
            prefixes: Prefixes::default(),
        };
        life.copies.insert(function.to_owned(), copy);
        life.loads += 1;
        (
            Found::Copy {
                lanes,
                began: true,
                waited: false,
            },
            Some(life.number),
        )
    }

    /// Fetches from the store and starts up; wakes whoever waits.
    async fn load(
        self: Arc<Self>,
        into: u64,
        function: String,
        program: Program,
        holds: Arc<Mutex<Holds>>,
    ) {
        let began = Instant::now();
        self.log.write("loading", json!({"function": function}));
        let fetched = fetch(self.store, &function, program.copy_mb).await;
        if fetched {
            Timer::after(program.start_up).await;
        }
        let mut life = lock(&self.life);
        // Symptom: a load of a process that crashed made the next one's copy stand before it was there.
        let Some(life) = life.as_mut().filter(|l| l.number == into) else {
            return;
        };
        life.loads = life.loads.saturating_sub(1);
        lock(&holds).add(life, 0.0, began.elapsed().as_secs_f64(), 0.0);
        let Some(copy) = life.copies.get_mut(&function) else {
            return;
        };
        copy.stands = Some(fetched);
        copy.use_of.since = Instant::now();
        // A failed one lets all that wait go, to be told.
        let lanes = program.lanes * copy.copies;
        copy.lanes.add_permits(if fetched {
            lanes
        } else {
            self.nature.most_waiting
        });
        let by = copy.by.clone();
        if !fetched {
            life.copies.remove(&function);
        }
        self.log.write(
            "loaded",
            json!({
                "function": function, "stands": fetched, "lanes": lanes, "router": by.router, "term": by.term,
            }),
        );
    }

    fn holds(
        self: &Arc<Self>,
        id: &str,
        account: &str,
        function: &str,
        program: &Program,
    ) -> Arc<Mutex<Holds>> {
        Arc::new(Mutex::new(Holds {
            it: self.clone(),
            log: self.log.clone(),
            id: id.to_owned(),
            account: account.to_owned(),
            function: function.to_owned(),
            bytes: (program.copy_mb * 1e6) as u64,
            running: 0,
            loading: 0,
            idle: 0,
            reported: false,
        }))
    }

    fn stands(&self, function: &str) -> bool {
        lock(&self.life)
            .as_ref()
            .and_then(|l| l.copies.get(function)?.stands)
            == Some(true)
    }

    /// Idle copies of these functions go, each with such a line in the log; how many went.
    fn remove(&self, what: &str, which: impl Fn(&str) -> bool, fields: serde_json::Value) -> usize {
        let mut life = lock(&self.life);
        let Some(life) = life.as_mut() else { return 0 };
        let mut gone: Vec<String> = Vec::new();
        life.copies.retain(|name, c| {
            let stays = !which(name) || c.busy > 0 || c.stands.is_none();
            if !stays {
                gone.push(name.clone());
            }
            stays
        });
        gone.sort();
        for name in &gone {
            let mut fields = fields.clone();
            fields["function"] = name.as_str().into();
            self.log.write(what, fields);
        }
        gone.len()
    }

    /// Until its process goes on, if it stands still; for ever, if it answers nothing.
    async fn while_still(&self) {
        loop {
            let faults = lock(&self.faults).clone();
            if !faults.hang && !faults.pause {
                return;
            }
            Timer::after(STEP).await;
        }
    }
}

async fn fetch(store: SocketAddr, function: &str, mb: f64) -> bool {
    let fetching = async {
        let stream = Async::<std::net::TcpStream>::connect(store).await.ok()?;
        let (mut sender, connection) =
            hyper::client::conn::http1::handshake(FuturesIo::new(stream))
                .await
                .ok()?;
        let path = format!("/{}?mb={mb}", function.replace(['/', '?', ' '], "_"));
        let request = Request::get(path)
            .header("host", store.to_string())
            .body(Empty::<Bytes>::new())
            .ok()?;
        let answer = async {
            let answer = sender.send_request(request).await.ok()?;
            let ok = answer.status().is_success();
            answer.into_body().collect().await.ok()?;
            Some(ok)
        };
        let driver = async {
            let _ = connection.await;
            std::future::pending::<Option<bool>>().await
        };
        futures_lite::FutureExt::or(answer, driver).await
    };
    fetching.await.unwrap_or(false)
}

fn header(request: &Request<Incoming>, name: &str) -> String {
    request
        .headers()
        .get(name)
        .and_then(|v| v.to_str().ok())
        .unwrap_or_default()
        .to_owned()
}

/// Functions begin with their trigger type.
fn kind_of(function: &str) -> &str {
    let name = function
        .split_once(VERSIONS)
        .map_or(function, |(name, _)| name);
    name.split(':').next().unwrap_or("")
}

fn loaded() -> Response<Body> {
    let mut response = full(StatusCode::OK, "");
    response
        .headers_mut()
        .insert("cedarpulley-copies", HeaderValue::from_static("1"));
    response
}

fn unload(
    it: &Arc<Inner>,
    from: IpAddr,
    function: &str,
    request: &Request<Incoming>,
) -> Response<Body> {
    let by = Orderer::of(request);
    let fields = json!({"from": from.to_string(), "router": by.router, "term": by.term});
    it.log.write(
        "unload",
        json!({"function": function, "from": from.to_string(), "router": by.router}),
    );
    if !it.loses(function, false) {
        it.remove("unloaded", |name| name == function, fields);
    }
    full(StatusCode::OK, "")
}

async fn load(
    it: Arc<Inner>,
    from: IpAddr,
    function: String,
    request: Request<Incoming>,
) -> Response<Body> {
    let (by, account) = (
        Orderer::of(&request),
        header(&request, "cedarpulley-account"),
    );
    it.log.write(
        "ordered",
        json!({
            "function": function, "from": from.to_string(), "held_since": it.cut.held_since(from),
            "router": by.router, "term": by.term,
        }),
    );
    let refused = |status| {
        it.log.write(
            "order-refused",
            json!({"function": function, "from": from.to_string()}),
        );
        full(status, "")
    };
    if lock(&it.faults).draining {
        return refused(StatusCode::SERVICE_UNAVAILABLE);
    }
    // An order does not say of which trigger type the function is; its name does.
    let Some(program) = it.programs.get(kind_of(&function)).cloned() else {
        return refused(StatusCode::BAD_REQUEST);
    };
    if it.loses(&function, true) {
        return loaded();
    }
    let (found, begin) = it.find(&function, &program, true, 1);
    if by != Orderer::default()
        && let Some(copy) = lock(&it.life)
            .as_mut()
            .and_then(|l| l.copies.get_mut(&function))
    {
        copy.by = by;
    }
    let holds = it.holds("", &account, &function, &program);
    if let Some(into) = begin {
        it.ground
            .executor
            .spawn(
                it.clone()
                    .load(into, function.clone(), program, holds.clone()),
            )
            .detach();
    }
    let Found::Copy { lanes, .. } = found else {
        return refused(StatusCode::INSUFFICIENT_STORAGE);
    };
    // Taken and given back at once: then it stands, or its load failed.
    drop(lanes.acquire().await);
    let mut response = match it.stands(&function) {
        true => loaded(),
        false => full(StatusCode::INTERNAL_SERVER_ERROR, ""),
    };
    report(&mut response, &holds);
    response
}

async fn infer(
    it: Arc<Inner>,
    from: SocketAddr,
    function: String,
    request: Request<Incoming>,
) -> Response<Body> {
    let header = |name: &str| header(&request, name);
    let (id, dispatch) = (
        header("cedarpulley-invocation"),
        header("cedarpulley-dispatch"),
    );
    let (kind, token) = (
        header("cedarpulley-trigger-type"),
        header("idempotency-key"),
    );
    let account = header("cedarpulley-account");
    let json_length = header(JSON_LENGTH).parse::<usize>().ok();
    let held_since = it.cut.held_since(from.ip());
    let peer = from.ip();
    let from = peer.to_string();
    let program = it.programs.get(&kind).cloned();
    let work = program
        .as_ref()
        .map_or(Duration::ZERO, |p| drawn(it.seed, &id, p.work));
    it.log.write(
        "received",
        json!({
            "id": id, "dispatch": dispatch, "from": from, "type": kind, "function": function,
            "work": work.as_micros() as u64, "held_since": held_since,
        }),
    );
    let (log, cut) = (it.log.clone(), it.cut.clone());
    let mut leaves = Leaves {
        log,
        cut,
        peer,
        id: id.clone(),
        dispatch,
        how: "closed",
    };
    let (parts, body) = request.into_parts();
    let body = Limited::new(body, MOST_BODY).collect().await;
    let (Some(program), Ok(body)) = (program, body) else {
        leaves.how = "refused";
        return refuse(StatusCode::BAD_REQUEST);
    };
    let body = body.to_bytes();
    let json = json_length.and_then(|n| body.get(..n)).unwrap_or(&body);
    let sequence = sequences::of(&parts.headers, json);
    if it.pushed(work) {
        it.log.write("fell", json!({}));
        let falls = it.clone();
        // The process ends, and this task with it.
        let down = async move {
            let server = lock(&falls.server).take();
            drop(server);
        };
        it.ground.executor.spawn(down).detach();
        std::future::pending::<()>().await;
    }
    let (faults, full_up) = {
        let life = lock(&it.life);
        let full_up = life
            .as_ref()
            .is_none_or(|l| l.waiting >= it.nature.most_waiting);
        (lock(&it.faults).clone(), full_up)
    };
    if faults.draining || full_up {
        leaves.how = "refused";
        return refuse(StatusCode::SERVICE_UNAVAILABLE);
    }
    let window = program.window.filter(|_| !token.is_empty());
    let mut entered = None;
    if let Some(window) = window {
        match enter(&it, &token, window) {
            Some(new) => entered = Some(new),
            None => {
                leaves.how = "repeat";
                let mut response = repeated(&it, &id, &token, window).await;
                // It held nothing of its own.
                report(&mut response, &it.holds(&id, &account, &function, &program));
                return response;
            }
        }
    }
    let crowd = {
        let mut life = lock(&it.life);
        let Some(life) = life.as_mut() else {
            return refuse(StatusCode::SERVICE_UNAVAILABLE);
        };
        life.waiting += 1;
        let crowd = life.copies.get(&function).map_or(0, |c| c.busy);
        if let Some(copy) = life.copies.get_mut(&function) {
            copy.busy += 1;
        }
        crowd
    };
    let waits = Part(it.clone(), |l: &mut Life| {
        l.waiting = l.waiting.saturating_sub(1)
    });
    let (found, begin) = it.find(&function, &program, it.nature.loads_when_absent, 1);
    let holds = it.holds(&id, &account, &function, &program);
    if let Some(into) = begin {
        let loading = it
            .clone()
            .load(into, function.clone(), program.clone(), holds.clone());
        it.ground.executor.spawn(loading).detach();
        if let Some(copy) = lock(&it.life)
            .as_mut()
            .and_then(|l| l.copies.get_mut(&function))
        {
            copy.busy += 1;
        }
    }
    let name = function.clone();
    let _busy = Part(it.clone(), move |l: &mut Life| {
        if let Some(copy) = l.copies.get_mut(&name) {
            copy.busy = copy.busy.saturating_sub(1);
            copy.used = Instant::now();
        }
    });
    let (lanes, note) = match found {
        Found::Copy {
            lanes,
            began,
            waited,
        } => (
            lanes,
            if began {
                "began"
            } else if waited {
                "waited"
            } else {
                "found"
            },
        ),
        Found::NoRoom => {
            leaves.how = "refused";
            return refuse(StatusCode::SERVICE_UNAVAILABLE);
        }
        Found::Absent => {
            leaves.how = "refused";
            return refuse(StatusCode::NOT_FOUND);
        }
    };
    let lane = lanes.acquire().await;
    if note != "found" && !it.stands(&function) {
        leaves.how = "refused";
        let mut response = refuse(StatusCode::NOT_FOUND);
        response
            .headers_mut()
            .insert("cedarpulley-copy", HeaderValue::from_static("load-errored"));
        return response;
    }
    drop(waits);
    let session = sequence.as_ref().map(|s| s.id.as_str());
    it.log.write(
        "ran",
        json!({"id": id, "type": kind, "token": token, "function": function, "session": session}),
    );
    leaves.how = "ran";
    // As it is when this one's work begins.
    let met = sequence.as_ref().and_then(|s| {
        let how = lock(&it.life)
            .as_ref()?
            .copies
            .get(&function)
            .map_or("rebuilt", |c| c.prefixes.meet(s));
        it.log.write(
            "prefix",
            json!({
                "id": id, "session": s.id, "function": function, "how": how, "end": s.end,
                "from": peer.to_string(),
            }),
        );
        Some(how)
    });
    let again = if met == Some("rebuilt") {
        program.prefix
    } else {
        Duration::ZERO
    };
    let (errs, times) = it.ails(&function, &id);
    if let Some(entered) = entered.as_mut() {
        entered.ran = true;
    }
    if let Some(life) = lock(&it.life).as_mut() {
        life.running += 1;
    }
    let running = Part(it.clone(), |l: &mut Life| {
        l.running = l.running.saturating_sub(1)
    });
    let at_work = {
        let mut life = lock(&it.life);
        let joined = life.as_mut().and_then(|life| {
            let (began, idle) = life.copies.get_mut(&function)?.use_of.join();
            lock(&holds).add(life, 0.0, 0.0, idle);
            Some(began)
        });
        joined.map(|began| AtWork {
            it: it.clone(),
            function: function.clone(),
            began,
            holds: holds.clone(),
        })
    };
    run(&it, (work + again).mul_f64(times)).await;
    drop(at_work);
    if let Some(sequence) = &sequence
        && let Some(copy) = lock(&it.life)
            .as_mut()
            .and_then(|l| l.copies.get_mut(&function))
    {
        copy.prefixes.ran(sequence);
    }
    drop(running);
    drop(lane);
    let answer = echoed(&function, &id, json_length, &body);
    // What failed is not remembered as done.
    if window.is_some()
        && !errs
        && let Some(known) = lock(&it.memory.0).get_mut(&token)
    {
        known.1 = Some(answer.clone());
    }
    let faults = lock(&it.faults).clone();
    if faults.hang || faults.mute.as_deref() == Some(&kind) {
        leaves.how = "silent";
        std::future::pending::<()>().await;
    }
    leaves.how = "answered";
    let (busy, held) = {
        let life = lock(&it.life);
        let life = life.as_ref();
        let held = life.map_or(0, |l| l.running + l.waiting);
        (
            life.map_or(0.0, |l| (l.running as f64 / it.nature.cores).min(1.0)),
            held,
        )
    };
    let metrics = format!("TEXT cpu_utilization={busy:.2}, named_metrics.held={held}");
    let mut response = match errs {
        true => full(
            StatusCode::INTERNAL_SERVER_ERROR,
            r#"{"error":"this version errs"}"#,
        ),
        false => told(answer),
    };
    if let Some(how) = met {
        response
            .headers_mut()
            .insert("cedarpulley-prefix", HeaderValue::from_static(how));
    }
    let headers = response.headers_mut();
    headers.insert("content-type", HeaderValue::from_static("application/json"));
    headers.insert("cedarpulley-copy", HeaderValue::from_static(note));
    headers.insert("cedarpulley-crowd", HeaderValue::from(crowd));
    if let Ok(metrics) = HeaderValue::from_str(&metrics) {
        headers.insert("endpoint-load-metrics", metrics);
    }
    report(&mut response, &holds);
    response
}

/// Raw tensors come back as they came; of others only the name is told.
fn echoed(function: &str, id: &str, json_length: Option<usize>, body: &Bytes) -> Told {
    let mut outputs = json!([]);
    let raw = json_length
        .filter(|n| n < &body.len())
        .map(|n| body.slice(n..));
    if let (Some(n), Some(_)) = (json_length, &raw) {
        let head = serde_json::from_slice::<serde_json::Value>(&body[..n]).unwrap_or_default();
        outputs = head.get("inputs").cloned().unwrap_or(outputs);
    }
    let head = json!({"model_name": function, "id": id, "outputs": outputs}).to_string();
    match raw {
        None => (Bytes::from(head), None),
        Some(raw) => (
            Bytes::from([head.as_bytes(), &raw].concat()),
            Some(head.len()),
        ),
    }
}

fn told((body, json): Told) -> Response<Body> {
    let mut response = full(StatusCode::OK, body);
    if let Some(json) = json {
        response
            .headers_mut()
            .insert(JSON_LENGTH, HeaderValue::from(json));
    }
    response
}

/// Remembers a token from now on, unless it is known.
fn enter(it: &Arc<Inner>, token: &str, window: Duration) -> Option<Entered> {
    let mut memory = lock(&it.memory.0);
    memory.retain(|_, (at, _)| at.elapsed() < window);
    if memory.contains_key(token) {
        return None;
    }
    memory.insert(token.to_owned(), (Instant::now(), None));
    Some(Entered {
        memory: it.memory.clone(),
        token: token.to_owned(),
        ran: false,
    })
}

/// The answer to a token that is known.
async fn repeated(it: &Arc<Inner>, id: &str, token: &str, window: Duration) -> Response<Body> {
    it.log.write("repeat", json!({"id": id, "token": token}));
    let until = Instant::now() + REPEAT_WAITS;
    while Instant::now() < until {
        let seen = lock(&it.memory.0)
            .get(token)
            .filter(|(at, _)| at.elapsed() < window)
            .cloned();
        match seen {
            Some((_, Some(answer))) => return told(answer),
            Some((_, None)) => Timer::after(STEP).await,
            None => break,
        };
    }
    full(
        StatusCode::INTERNAL_SERVER_ERROR,
        "the first one has not ended",
    )
}

/// Advances with its part of the cores until the work is done.
async fn run(it: &Inner, work: Duration) {
    let mut left = work.as_secs_f64();
    while left > 0.0 {
        let faults = lock(&it.faults).clone();
        let pace = match lock(&it.life).as_ref() {
            _ if faults.pause => 0.0,
            Some(life) => {
                let cores = it.nature.cores * it.grown(life);
                (cores / life.running.max(1) as f64).min(1.0) / faults.slow
            }
            None => 0.0,
        };
        let step = if pace > 0.0 {
            STEP.as_secs_f64().min(left / pace)
        } else {
            STEP.as_secs_f64()
        };
        let began = Instant::now();
        Timer::after(Duration::from_secs_f64(step)).await;
        left -= began.elapsed().as_secs_f64() * pace;
    }
}

/// The same for the same invocation wherever it runs.
fn drawn(seed: u64, id: &str, mean: Duration) -> Duration {
    use std::hash::{BuildHasher, BuildHasherDefault, DefaultHasher};
    let hash = BuildHasherDefault::<DefaultHasher>::default().hash_one((seed, id));
    let mut random = rand_pcg::Pcg64Mcg::seed_from_u64(hash);
    let _: u64 = random.next_u64();
    let mu = mean.as_secs_f64().max(1e-6).ln() - SPREAD * SPREAD / 2.0;
    let times = LogNormal::new(mu, SPREAD).map_or(0.0, |d| d.sample(&mut random));
    Duration::from_secs_f64(times.min(mean.as_secs_f64() * 10.0))
}

/// When the present process of a worker began, on the wall's clock; 0 for one that was there all along.
pub fn began_us(worker: &Worker) -> i64 {
    match lock(&worker.inner.life).as_ref() {
        Some(life) if !life.warm => wall_us() - life.began.elapsed().as_micros() as i64,
        _ => 0,
    }
}

impl std::fmt::Debug for Worker {
    fn fmt(&self, f: &mut std::fmt::Formatter) -> std::fmt::Result {
        write!(f, "worker {} at {}", self.inner.name, self.address)
    }
}
