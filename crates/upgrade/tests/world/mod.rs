//! A small simulated world: routers with planners, workers with memory, a store that loads take time from, sessions that
//! begin and end, and a register that grants terms as the shared state does. Steps of a tenth of a second, everything by
//! a seed. Invariants that broke are in [`World::violations`].
#![allow(dead_code, reason = "each target uses its part")]

mod baselines;
mod invariants;
mod network;
mod routers;
mod traffic;
mod workers;

use std::collections::BTreeMap;
use std::hash::{BuildHasher, BuildHasherDefault, DefaultHasher};

use cedarpulley::interface::Micros;
use cedarpulley_upgrade::*;

pub const MS: Micros = 1_000;
pub const S: Micros = 1_000_000;
pub const DT: Micros = 100 * MS;
pub const MODEL: &str = "m";
pub const LANES: u32 = 2;
const COPY_MB: u32 = 400;
/// A worker keeps a session's prefix for so long after its last use; longer than what was seen counts.
const SESSION_IDLE: Micros = 8 * S;
const IDLE_RETENTION: Micros = 12 * S;
const LOAD: Micros = 3 * S;
const PREFIX_REBUILD: Micros = 300 * MS;
const SERVICE: Micros = 100 * MS;
const OBJECTIVE: Micros = 600 * MS;
const QUEUE_TIMEOUT: Micros = 3 * S;

pub fn terms() -> PlannerSettings {
    PlannerSettings {
        lease: 3 * S,
        evaluation_interval: 200 * MS,
        majority_timeout: 4 * S,
        order_delivery_timeout: 1500 * MS,
        observation_lifetime: 4 * S,
        quiet_period: 6 * S,
        concurrent_loads: 2,
        load_timeout: 25 * S,
        load_backoff: 2 * S,
        renewal_interval: 3 * S,
        announcement_time: S,
        canary_min_time: 5 * S,
        canary_max_time: 30 * S,
        pause_limit: 15 * S,
        member_gone_after: 15 * S,
        record_refresh_interval: 600 * S,
    }
}

pub fn order(serial: u64, from: &str, to: &str) -> Order {
    Order {
        model: MODEL.into(),
        from: from.into(),
        to: to.into(),
        serial,
        canary: 1,
        canary_part: 100,
        floor: 750,
        drain_limit: 40 * S,
        copy_mb: 0,
        withdrawn: false,
    }
}

#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Policy {
    Planner,
    /// All old copies go and all new ones come at once.
    AllAtOnce,
    /// The old copies of a worker go, new ones come, and then the next worker.
    OneByOne,
}

#[derive(Clone, Debug)]
pub enum Fault {
    Crash(usize, Micros),
    /// Goes on later with all that it had in mind.
    Pause(usize, Micros),
    Isolated(usize, Micros),
    /// Hears of no plan, and serves on by what it knows.
    MissesPlans(usize, Micros),
    Cut(Micros),
    WorkerDies(usize, Micros),
    LoadsFail(usize, Micros),
    SlowStore(Micros),
    LostRequests(Micros),
    MoreErrors(Micros),
    Slower(Micros),
}

struct Member {
    planner: Planner,
    region: Name,
    up: bool,
    paused_until: Micros,
    isolated_until: Micros,
    misses_plans_until: Micros,
    nonce: u64,
    believed: Vec<(bool, Micros)>,
    announced: Vec<bool>,
    counts: BTreeMap<Name, VersionCounters>,
    bindings: BTreeMap<u64, Name>,
    /// Of 1000: how fast its clock goes.
    clock_rate: Micros,
    offset: Micros,
    caught_up: bool,
}

#[derive(Default)]
struct Copy {
    ready_at: Micros,
    fails: bool,
    by: usize,
    used: Micros,
    busy: Vec<Micros>,
    /// By session: when it came here, and was last here.
    prefixes: BTreeMap<u64, (Micros, Micros)>,
}

impl Copy {
    fn is_warm(&self, now: Micros) -> bool {
        self.ready_at <= now && !self.fails
    }
}

struct Worker {
    name: Name,
    region: Name,
    memory: u32,
    dead_until: Micros,
    bad_until: Micros,
    copies: BTreeMap<Name, Copy>,
}

struct Session {
    region: Name,
    left: u32,
    next: Micros,
    began: bool,
    version: Option<Name>,
    worker: Option<usize>,
    last: Micros,
}

struct Invocation {
    member: usize,
    region: Name,
    session: Option<u64>,
    function: Name,
    version: Name,
    at: Micros,
}

/// A request to load or to unload a copy, on its way to a worker.
struct CopyRequest {
    member: usize,
    worker: Name,
    function: Name,
    load: bool,
    term: Name,
    /// The leader knows of sessions that came before.
    observed_by: Micros,
    /// The region drains: later sessions count, too.
    strict: bool,
    /// The drain limit has passed.
    over: bool,
}

enum Event {
    Lead {
        m: usize,
        nonce: u64,
        key: Name,
    },
    Write {
        m: usize,
        nonce: u64,
        key: Name,
        ballot: Ballot,
        value: Vec<u8>,
    },
    In {
        m: usize,
        nonce: u64,
        input: Input,
    },
    CopyRequest(CopyRequest),
    Script(Fault),
    Orders(Vec<Order>),
}

#[derive(Clone, Debug, Default, PartialEq)]
pub struct Totals {
    pub invocations: u64,
    pub in_objective: u64,
    /// Prefixes built again; of these, where the copy that had them was gone, and not only busy.
    pub rebuilt: u64,
    pub lost: u64,
    pub loads: u64,
    pub failed: u64,
    pub refused: u64,
    pub sessions_over: u64,
    pub two_versions: u64,
    pub done_at: Option<Micros>,
}

pub struct World {
    pub now: Micros,
    seed: u64,
    draws: u64,
    policy: Policy,
    members: Vec<Member>,
    workers: Vec<Worker>,
    register: (Ballot, Option<(Ballot, Vec<u8>)>),
    bindings: BTreeMap<u64, Name>,
    sessions: BTreeMap<u64, Session>,
    next_session: u64,
    waiting: Vec<Invocation>,
    events: BTreeMap<(Micros, u64), Event>,
    serial: u64,
    cut_until: Micros,
    slow_store_until: Micros,
    /// Before, nobody can know that a worker died.
    death_known_at: Micros,
    lost_requests_until: Micros,
    errors_until: Micros,
    slower_until: Micros,
    file: Vec<Order>,
    terms_of: BTreeMap<Name, (usize, u64)>,
    highest: Ballot,
    /// No more capacity is lost than the planner takes.
    pub check_floors: bool,
    pub began: bool,
    one_by_one: usize,
    pub rate: u64,
    pub totals: Totals,
    pub violations: Vec<String>,
    pub log: Vec<String>,
}

fn hashed(of: impl std::hash::Hash) -> u64 {
    BuildHasherDefault::<DefaultHasher>::default().hash_one(of)
}

pub fn old() -> Name {
    function_name(MODEL, "")
}

pub fn new() -> Name {
    function_name(MODEL, "2")
}

impl World {
    /// Three routers in one region, two in the other; `workers` in each. `room`: copies that fit on a worker.
    #[allow(
        clippy::too_many_lines,
        reason = "one scenario or table of cases, told in order"
    )]
    pub fn new(seed: u64, policy: Policy, workers: usize, room: u32) -> World {
        let region = |n: usize| Name::from(if n.is_multiple_of(2) { "a" } else { "b" });
        let mut w = World {
            now: 0,
            seed,
            draws: 0,
            policy,
            members: Vec::new(),
            workers: Vec::new(),
            register: (Ballot::default(), None),
            bindings: BTreeMap::new(),
            sessions: BTreeMap::new(),
            next_session: 0,
            waiting: Vec::new(),
            events: BTreeMap::new(),
            serial: 0,
            cut_until: 0,
            slow_store_until: 0,
            death_known_at: 0,
            lost_requests_until: 0,
            errors_until: 0,
            slower_until: 0,
            file: Vec::new(),
            terms_of: BTreeMap::new(),
            highest: Ballot::default(),
            check_floors: true,
            began: false,
            one_by_one: 0,
            rate: 12,
            totals: Totals::default(),
            violations: Vec::new(),
            log: Vec::new(),
        };
        for n in 0..5 {
            let (clock_rate, offset) = (990 + w.draw(20) as Micros, w.draw(300) as Micros * S);
            w.members.push(Member {
                planner: Planner::new(terms()),
                region: region(n),
                up: true,
                paused_until: 0,
                isolated_until: 0,
                misses_plans_until: 0,
                nonce: 1,
                believed: vec![(true, 0); 5],
                announced: Vec::new(),
                counts: BTreeMap::new(),
                bindings: BTreeMap::new(),
                clock_rate,
                offset,
                caught_up: true,
            });
        }
        for n in 0..workers * 2 {
            let copy = Copy {
                used: 0,
                ..Copy::default()
            };
            w.workers.push(Worker {
                name: Name::from(format!("w{n}")),
                region: region(n),
                memory: COPY_MB * room,
                dead_until: 0,
                bad_until: 0,
                copies: [(old(), copy)].into(),
            });
        }
        w
    }

    fn draw(&mut self, below: u64) -> u64 {
        self.draws += 1;
        hashed((self.seed, self.draws)) % below
    }

    fn at(&mut self, when: Micros, event: Event) {
        self.serial += 1;
        self.events.insert((when, self.serial), event);
    }

    pub fn fault(&mut self, at: Micros, fault: Fault) {
        // Where orders are lost, renewals are, too, and copies go for idleness.
        let check_floors = [
            Fault::LoadsFail(0, 0),
            Fault::SlowStore(0),
            Fault::MoreErrors(0),
            Fault::Slower(0),
            Fault::MissesPlans(0, 0),
        ];
        self.check_floors &= check_floors
            .iter()
            .any(|f| std::mem::discriminant(f) == std::mem::discriminant(&fault));
        self.at(at, Event::Script(fault));
    }

    pub fn orders(&mut self, at: Micros, orders: Vec<Order>) {
        self.at(at, Event::Orders(orders));
    }

    fn clock(&self, m: usize) -> Micros {
        self.members[m].offset + self.now / 1000 * self.members[m].clock_rate
    }

    fn is_running(&self, m: usize) -> bool {
        self.members[m].up && self.members[m].paused_until <= self.now
    }

    fn worker(&self, name: &str) -> Option<usize> {
        self.workers.iter().position(|w| *w.name == *name)
    }

    pub fn step(&mut self) {
        self.now += DT;
        self.deliver_events();
        self.update_membership();
        if self.now % S == 0 {
            self.poll_workers();
        }
        for m in 0..self.members.len() {
            if self.is_running(m) {
                self.handle(m, Input::Tick);
            }
        }
        self.advance_workers();
        self.generate_traffic();
        self.dispatch();
        match self.policy {
            Policy::Planner => self.check_floor_lanes(),
            _ => self.baseline(),
        }
    }

    pub fn shown(&self) -> Option<PlanStatus> {
        let plans = (0..self.members.len())
            .filter(|m| self.is_running(*m))
            .flat_map(|m| self.members[m].planner.status());
        plans.max_by_key(|s| (s.is_leader, s.step))
    }

    /// Until that, or the time is over.
    pub fn run(&mut self, until: Micros, mut ends: impl FnMut(&World) -> bool) -> bool {
        while self.now < until {
            self.step();
            if ends(self) {
                return true;
            }
        }
        false
    }

    pub fn phase(&self) -> Option<Phase> {
        self.shown().map(|s| s.phase)
    }

    pub fn holds(&self, f: &Name) -> usize {
        self.workers
            .iter()
            .filter(|w| w.copies.contains_key(f))
            .count()
    }

    pub fn loading(&self, f: &Name) -> usize {
        self.workers
            .iter()
            .filter_map(|w| w.copies.get(f))
            .filter(|c| c.ready_at > self.now)
            .count()
    }
}
