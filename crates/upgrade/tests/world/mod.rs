//! A small simulated world: routers with planners, workers with memory, a store that loads take time from, sessions that
//! begin and end, and a toy that grants terms as the shared state does. Steps of a tenth of a second, everything by a
//! seed. What must never be is gathered in [`World::wrong`].
#![allow(dead_code)] // Each target uses its part.

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
const IDLE_KEPT: Micros = 12 * S;
const LOAD: Micros = 3 * S;
const REBUILD: Micros = 300 * MS;
const SERVICE: Micros = 100 * MS;
const OBJECTIVE: Micros = 600 * MS;
const GIVES_UP: Micros = 3 * S;

pub fn terms() -> Terms {
    Terms {
        lease: 3 * S,
        evaluation_interval: 200 * MS,
        majority_timeout: 4 * S,
        order_delivery_timeout: 1500 * MS,
        observation_lifetime: 4 * S,
        quiet_period: 6 * S,
        loads_at_once: 2,
        load_within: 25 * S,
        hold_back: 2 * S,
        renewal_interval: 3 * S,
        shown_for: S,
        canary_least: 5 * S,
        canary_most: 30 * S,
        paused_most: 15 * S,
        gone_after: 15 * S,
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
    Stop(usize, Micros),
    Alone(usize, Micros),
    /// Hears of no plan, and serves on by what it knows.
    Deaf(usize, Micros),
    Cut(Micros),
    WorkerDies(usize, Micros),
    LoadsFail(usize, Micros),
    SlowStore(Micros),
    LostOrders(Micros),
    Errs(Micros),
    Slow(Micros),
}

struct Member {
    planner: Planner,
    region: Name,
    up: bool,
    stopped: Micros,
    alone: Micros,
    deaf: Micros,
    nonce: u64,
    believed: Vec<(bool, Micros)>,
    told: Vec<bool>,
    counts: BTreeMap<Name, Count>,
    bound: BTreeMap<u64, Name>,
    /// Of 1000: how fast its clock goes.
    pace: Micros,
    offset: Micros,
    heard: bool,
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
    fn stands(&self, now: Micros) -> bool {
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

struct Inv {
    member: usize,
    region: Name,
    session: Option<u64>,
    function: Name,
    version: Name,
    at: Micros,
}

enum Ev {
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
    Order {
        m: usize,
        worker: Name,
        function: Name,
        load: bool,
        term: Name,
        seen: Micros,
        strict: bool,
        over: bool,
    },
    Script(Fault),
    Orders(Vec<Order>),
}

#[derive(Clone, Debug, Default, PartialEq)]
pub struct Sums {
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
    waiting: Vec<Inv>,
    events: BTreeMap<(Micros, u64), Ev>,
    serial: u64,
    cut_until: Micros,
    slow_store: Micros,
    /// Before, nobody can know that a worker died.
    known_dead: Micros,
    lost_orders: Micros,
    errs: Micros,
    slow: Micros,
    file: Vec<Order>,
    terms_of: BTreeMap<Name, (usize, u64)>,
    highest: Ballot,
    /// No more capacity is lost than the planner takes.
    pub calm: bool,
    pub began: bool,
    one_by_one: usize,
    pub rate: u64,
    pub sums: Sums,
    pub wrong: Vec<String>,
    pub log: Vec<String>,
}

fn hashed(of: impl std::hash::Hash) -> u64 {
    BuildHasherDefault::<DefaultHasher>::default().hash_one(of)
}

pub fn old() -> Name {
    function(MODEL, "")
}

pub fn new() -> Name {
    function(MODEL, "2")
}

impl World {
    /// Three routers in one region, two in the other; `workers` in each. `room`: copies that fit on a worker.
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
            slow_store: 0,
            known_dead: 0,
            lost_orders: 0,
            errs: 0,
            slow: 0,
            file: Vec::new(),
            terms_of: BTreeMap::new(),
            highest: Ballot::default(),
            calm: true,
            began: false,
            one_by_one: 0,
            rate: 12,
            sums: Sums::default(),
            wrong: Vec::new(),
            log: Vec::new(),
        };
        for n in 0..5 {
            let (pace, offset) = (990 + w.draw(20) as Micros, w.draw(300) as Micros * S);
            w.members.push(Member {
                planner: Planner::new(terms()),
                region: region(n),
                up: true,
                stopped: 0,
                alone: 0,
                deaf: 0,
                nonce: 1,
                believed: vec![(true, 0); 5],
                told: Vec::new(),
                counts: BTreeMap::new(),
                bound: BTreeMap::new(),
                pace,
                offset,
                heard: true,
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

    fn at(&mut self, when: Micros, ev: Ev) {
        self.serial += 1;
        self.events.insert((when, self.serial), ev);
    }

    pub fn fault(&mut self, at: Micros, fault: Fault) {
        // Where orders are lost, renewals are, too, and copies go for idleness.
        let calm = [
            Fault::LoadsFail(0, 0),
            Fault::SlowStore(0),
            Fault::Errs(0),
            Fault::Slow(0),
            Fault::Deaf(0, 0),
        ];
        self.calm &= calm
            .iter()
            .any(|f| std::mem::discriminant(f) == std::mem::discriminant(&fault));
        self.at(at, Ev::Script(fault));
    }

    pub fn orders(&mut self, at: Micros, orders: Vec<Order>) {
        self.at(at, Ev::Orders(orders));
    }

    fn clock(&self, m: usize) -> Micros {
        self.members[m].offset + self.now / 1000 * self.members[m].pace
    }

    fn runs(&self, m: usize) -> bool {
        self.members[m].up && self.members[m].stopped <= self.now
    }

    fn joined(&self, a: usize, b: usize) -> bool {
        let (x, y) = (&self.members[a], &self.members[b]);
        a == b
            || self.runs(a)
                && self.runs(b)
                && x.alone.max(y.alone) <= self.now
                && (x.region == y.region || self.cut_until <= self.now)
    }

    fn has_majority(&self, m: usize) -> bool {
        (0..self.members.len())
            .filter(|o| self.joined(m, *o))
            .count()
            * 2
            > self.members.len()
    }

    fn reaches(&self, m: usize, w: usize) -> bool {
        let it = &self.members[m];
        let near = it.region == self.workers[w].region;
        it.alone <= self.now && (near || self.cut_until <= self.now)
    }

    fn worker(&self, name: &str) -> Option<usize> {
        self.workers.iter().position(|w| *w.name == *name)
    }

    fn tell(&mut self, m: usize, input: Input) {
        let (nonce, when) = (
            self.members[m].nonce,
            self.now + 20 * MS + self.draw(300) as Micros * MS,
        );
        self.at(when, Ev::In { m, nonce, input });
    }

    pub fn step(&mut self) {
        self.now += DT;
        self.bring();
        self.believe();
        if self.now % S == 0 {
            self.look();
        }
        for m in 0..self.members.len() {
            if self.runs(m) {
                self.handle(m, Input::Tick);
            }
        }
        self.work();
        self.arrive();
        self.dispatch();
        match self.policy {
            Policy::Planner => self.check_floor(),
            _ => self.baseline(),
        }
    }

    fn bring(&mut self) {
        while let Some(entry) = self.events.first_entry().filter(|e| e.key().0 <= self.now) {
            let ev = entry.remove();
            let later = self.now + 20 * MS + self.draw(400) as Micros * MS;
            match ev {
                Ev::Lead { m, nonce, key } => {
                    let outcome = match self.has_majority(m)
                        && self.runs(m)
                        && self.members[m].nonce == nonce
                    {
                        true => {
                            let number = self.register.0.number + 1;
                            let ballot = Ballot {
                                number,
                                member: m as u16,
                                nonce,
                            };
                            self.register.0 = ballot;
                            let last = self.register.1.as_ref().map(|(_, v)| v.clone().into());
                            Outcome::Leads { ballot, last }
                        }
                        false => Outcome::NoMajority,
                    };
                    self.at(
                        later,
                        Ev::In {
                            m,
                            nonce,
                            input: Input::Decided { key, outcome },
                        },
                    );
                }
                Ev::Write {
                    m,
                    nonce,
                    key,
                    ballot,
                    value,
                } => {
                    let outcome = match self.has_majority(m) && self.runs(m) {
                        true if ballot >= self.register.0 => {
                            self.register = (ballot, Some((ballot, value)));
                            Outcome::Written { ballot }
                        }
                        true => Outcome::Overtaken,
                        false => Outcome::NoMajority,
                    };
                    // Now and then the answer is lost, and not what was written.
                    let lost = self.draw(50) == 0;
                    let outcome = if lost { Outcome::NoMajority } else { outcome };
                    self.at(
                        later,
                        Ev::In {
                            m,
                            nonce,
                            input: Input::Decided { key, outcome },
                        },
                    );
                    for o in (0..self.members.len())
                        .filter(|o| self.joined(m, *o))
                        .collect::<Vec<_>>()
                    {
                        self.hear(o);
                    }
                }
                Ev::In { m, nonce, input } => {
                    if self.members[m].nonce != nonce || !self.members[m].up {
                        continue;
                    }
                    if self.members[m].stopped > self.now {
                        // Its own timers go first when it wakes.
                        let when = self.members[m].stopped + 2 * DT;
                        self.at(when, Ev::In { m, nonce, input });
                    } else {
                        self.members[m].heard |= matches!(input, Input::PlanHeard { .. });
                        self.handle(m, input);
                    }
                }
                Ev::Order {
                    m,
                    worker,
                    function,
                    load,
                    term,
                    seen,
                    strict,
                    over,
                } => {
                    self.ordered(m, &worker, &function, load, &term, seen, strict, over);
                }
                Ev::Script(fault) => self.befall(fault),
                Ev::Orders(orders) => {
                    self.file = orders.clone();
                    (0..self.members.len())
                        .for_each(|m| self.tell(m, Input::Orders(orders.clone())));
                }
            }
        }
    }

    fn hear(&mut self, m: usize) {
        let hears = self.members[m].deaf <= self.now;
        if let Some((ballot, bytes)) = self.register.1.clone().filter(|_| hears) {
            self.tell(
                m,
                Input::PlanHeard {
                    model: MODEL.into(),
                    ballot,
                    bytes: bytes.into(),
                },
            );
        }
    }

    fn befall(&mut self, fault: Fault) {
        self.log.push(format!("{} s: {fault:?}", self.now / S));
        let until = |for_: Micros| self.now + for_;
        match fault {
            Fault::Crash(m, d) => {
                let it = &mut self.members[m];
                (it.up, it.stopped, it.heard) = (false, self.now + d, false);
                it.counts.clear();
                it.bound.clear();
            }
            Fault::Stop(m, d) if self.members[m].up => self.members[m].stopped = until(d),
            Fault::Stop(..) => {}
            Fault::Alone(m, d) => self.members[m].alone = until(d),
            Fault::Deaf(m, d) => self.members[m].deaf = until(d),
            Fault::Cut(d) => self.cut_until = until(d),
            Fault::WorkerDies(w, d) => {
                self.known_dead = until(3 * S);
                self.workers[w].dead_until = until(d);
                self.workers[w].copies.clear();
            }
            Fault::LoadsFail(w, d) => self.workers[w].bad_until = until(d),
            Fault::SlowStore(d) => self.slow_store = until(d),
            Fault::LostOrders(d) => self.lost_orders = until(d),
            Fault::Errs(d) => self.errs = until(d),
            Fault::Slow(d) => self.slow = until(d),
        }
    }

    fn believe(&mut self) {
        for m in 0..self.members.len() {
            if !self.members[m].up && self.members[m].stopped <= self.now {
                let it = &mut self.members[m];
                (it.up, it.planner) = (true, Planner::new(terms()));
                it.nonce += 1;
                it.told.clear();
                let file = self.file.clone();
                self.tell(m, Input::Orders(file));
            }
            if !self.runs(m) {
                continue;
            }
            // A router that returns takes nothing before it has caught up.
            if !self.members[m].heard && self.has_majority(m) {
                self.members[m].heard = self.register.1.is_none();
                self.hear(m);
            }
            for o in 0..self.members.len() {
                let joined = self.joined(m, o);
                let now = self.now;
                let (alive, differs) = &mut self.members[m].believed[o];
                if joined == *alive {
                    *differs = now;
                } else if now - *differs > 2 * S {
                    *alive = joined;
                }
            }
            let alive: Vec<bool> = self.members[m].believed.iter().map(|b| b.0).collect();
            if alive != self.members[m].told {
                self.members[m].told = alive.clone();
                let regions = self.members.iter().map(|m| m.region.clone()).collect();
                self.handle(
                    m,
                    Input::Members {
                        me: m as u16,
                        alive,
                        regions,
                    },
                );
            }
        }
    }

    /// Once a second all routers look at the workers and tell their counts.
    fn look(&mut self) {
        for m in 0..self.members.len() {
            if !self.runs(m) {
                continue;
            }
            let mut seen = Vec::new();
            for w in 0..self.workers.len() {
                let it = &self.workers[w];
                if it.dead_until > self.now + S || !self.reaches(m, w) {
                    continue;
                }
                let holds = it.copies.iter().map(|(f, c)| {
                    let ready = c.stands(self.now);
                    let sessions = c
                        .prefixes
                        .values()
                        .filter(|p| self.now - p.1 < SESSION_IDLE)
                        .count() as u32;
                    Held {
                        function: f.clone(),
                        copies: u32::from(ready),
                        lanes: if ready { LANES } else { 0 },
                        busy: c.busy.len() as u32,
                        loading: !ready,
                        sessions,
                        copy_mb: COPY_MB,
                    }
                });
                seen.push(WorkerSeen {
                    name: it.name.clone(),
                    region: it.region.clone(),
                    takes_new: it.dead_until <= self.now,
                    seen_at: self.clock(m),
                    memory_mb: it.memory,
                    used_mb: it.copies.len() as u32 * COPY_MB,
                    holds: holds.collect(),
                });
            }
            // Who cannot be reached stays known as it was last seen; what is gone from the list is not.
            self.tell(m, Input::Workers(seen));
            let goes_by = self.members[m].planner.goes_by(MODEL);
            let counts: Vec<Count> = self.members[m].counts.values().cloned().collect();
            for o in (0..self.members.len())
                .filter(|o| self.joined(m, *o))
                .collect::<Vec<_>>()
            {
                let (member, model, counts) = (m as u16, MODEL.into(), counts.clone());
                self.tell(
                    o,
                    Input::Counted {
                        member,
                        model,
                        goes_by,
                        counts,
                    },
                );
            }
            // Records are gossiped: who missed a write hears of it.
            if self.has_majority(m) {
                self.hear(m);
            }
        }
    }

    fn handle(&mut self, m: usize, input: Input) {
        let mut out = Vec::new();
        let (now, nonce) = (self.clock(m), self.members[m].nonce);
        self.members[m].planner.handle(now, input, &mut out);
        for output in out {
            let soon = self.now + 20 * MS + self.draw(400) as Micros * MS;
            match output {
                Output::Lead { key } => self.at(soon, Ev::Lead { m, nonce, key }),
                Output::Write { key, ballot, value } => {
                    self.acts(m, &ballot.term());
                    self.at(
                        soon,
                        Ev::Write {
                            m,
                            nonce,
                            key,
                            ballot,
                            value: value.to_vec(),
                        },
                    );
                }
                Output::Want {
                    worker,
                    function,
                    term,
                    ..
                } => self.send(m, worker, function, true, term),
                Output::Unwant {
                    worker,
                    function,
                    term,
                } => self.send(m, worker, function, false, term),
                Output::Log(text) => self.log.push(format!("{} s: {m}: {text}", self.now / S)),
            }
        }
    }

    fn acts(&mut self, m: usize, term: &Name) {
        let who = (m, self.members[m].nonce);
        if *self.terms_of.entry(term.clone()).or_insert(who) != who {
            self.wrong.push(format!("two planners act in term {term}"));
        }
    }

    fn send(&mut self, m: usize, worker: Name, function: Name, load: bool, term: Name) {
        self.acts(m, &term);
        let mut parts = term
            .split('.')
            .map(|p| u64::from_str_radix(p, 16).unwrap_or(0));
        let number: u32 = term
            .split('.')
            .next()
            .and_then(|n| n.parse().ok())
            .unwrap_or(0);
        let ballot = Ballot {
            number,
            member: m as u16,
            nonce: parts.nth(2).unwrap_or(0),
        };
        // Orders to go of two leaders must not cross: neither knows what the other has let go.
        if !load && ballot < self.highest {
            self.wrong.push(format!(
                "{} s: {m} lets go in term {term} after a later one did",
                self.now / S
            ));
        }
        if !load {
            self.highest = self.highest.max(ballot);
        }
        let Some(w) = self.worker(&worker) else {
            return;
        };
        if !self.reaches(m, w) || self.lost_orders > self.now && self.draw(2) == 0 {
            return;
        }
        let shown = self.members[m].planner.shown();
        let region = shown.first().and_then(|s| {
            s.regions
                .iter()
                .find(|r| r.region == self.workers[w].region)
        });
        let (strict, over) = region.map_or((false, false), |r| {
            (r.stage == Stage::Draining, r.drain_limit_passed)
        });
        let when = self.now + 20 * MS + self.draw(900) as Micros * MS;
        let seen = self.now - 1500 * MS;
        self.at(
            when,
            Ev::Order {
                m,
                worker,
                function,
                load,
                term,
                seen,
                strict,
                over,
            },
        );
    }

    #[allow(clippy::too_many_arguments)] // The parts of one order.
    fn ordered(
        &mut self,
        m: usize,
        worker: &Name,
        f: &Name,
        load: bool,
        term: &Name,
        seen: Micros,
        strict: bool,
        over: bool,
    ) {
        let Some(w) = self
            .worker(worker)
            .filter(|w| self.workers[*w].dead_until <= self.now)
        else {
            return;
        };
        if load {
            let declined = self.draw(10) == 0;
            if let Some(c) = self.workers[w].copies.get_mut(f) {
                c.used = self.now;
            } else if !declined && self.fits(w) {
                self.load(w, f, m);
            }
            return;
        }
        let Some(c) = self.workers[w]
            .copies
            .get(f)
            .filter(|c| c.busy.is_empty() && c.ready_at <= self.now)
        else {
            return;
        };
        let lost: Vec<u64> =
            c.prefixes
                .iter()
                .filter(|(id, p)| {
                    (strict || p.0 < seen)
                        && self.sessions.get(id).is_some_and(|s| {
                            s.worker == Some(w) && self.now - s.last < SESSION_IDLE
                        })
                })
                .map(|(id, _)| *id)
                .collect();
        if !lost.is_empty() && !over {
            self.wrong.push(format!(
                "{} s: {f} goes from {worker} by {term} with sessions {lost:?}",
                self.now / S
            ));
        }
        let region = self.workers[w].region.clone();
        let before: Vec<_> = (0..self.members.len())
            .map(|r| self.usable(r, &region))
            .collect();
        self.workers[w].copies.remove(f);
        for (r, was) in before.into_iter().enumerate() {
            if let (Some((was, need)), Some((is, _))) = (was, self.usable(r, &region))
                && is < was.min(need)
                && self.now > self.known_dead
            {
                self.wrong.push(format!(
                    "{} s: {region}: {is} lanes of {need} for router {r} by {term}",
                    self.now / S
                ));
            }
        }
    }

    /// Lanes for what begins in a region at a router there, and its floor.
    fn usable(&self, m: usize, region: &Name) -> Option<(u32, u32)> {
        let it = &self.members[m];
        // One that is away for as long as is counted as gone has no word in it.
        let away = it.alone.max(if it.region.as_ref() == "b" {
            self.cut_until
        } else {
            0
        }) > self.now;
        if it.region != *region || !self.runs(m) || away || !it.heard {
            return None;
        }
        let shown = it.planner.shown();
        let plan = shown.first()?;
        if !matches!(
            plan.phase,
            Phase::Canary | Phase::Rolling | Phase::Paused | Phase::Back
        ) {
            return None;
        }
        let r = plan.regions.iter().find(|r| r.region == *region)?;
        let lanes = |f: &Name| {
            let stands = |w: &&Worker| {
                w.region == *region
                    && w.dead_until <= self.now
                    && w.copies.get(f).is_some_and(|c| c.stands(self.now))
            };
            self.workers.iter().filter(stands).count() as u32 * LANES
        };
        let (from, to) = (function(MODEL, &plan.from), function(MODEL, &plan.to));
        let usable = match r.new_share {
            0 => lanes(&from),
            1000 => lanes(&to),
            _ => lanes(&from) + lanes(&to),
        };
        Some((usable, r.floor_lanes))
    }

    fn check_floor(&mut self) {
        if !self.calm {
            return;
        }
        for m in 0..self.members.len() {
            let region = self.members[m].region.clone();
            if let Some((lanes, need)) = self.usable(m, &region)
                && lanes < need
            {
                self.wrong.push(format!(
                    "{} s: {region}: {lanes} lanes of {need} at router {m}",
                    self.now / S
                ));
            }
        }
    }

    fn fits(&self, w: usize) -> bool {
        let it = &self.workers[w];
        it.dead_until <= self.now && (it.copies.len() as u32 + 1) * COPY_MB <= it.memory
    }

    fn load(&mut self, w: usize, f: &Name, by: usize) {
        self.sums.loads += 1;
        let others = self
            .workers
            .iter()
            .flat_map(|w| w.copies.values())
            .filter(|c| c.ready_at > self.now)
            .count();
        let slow = if self.slow_store > self.now { 4 } else { 1 };
        let took = (LOAD + self.draw(1000) as Micros * MS) * slow * (4 + others as Micros) / 4;
        let fails = self.workers[w].bad_until > self.now;
        let copy = Copy {
            ready_at: self.now + took,
            fails,
            by,
            used: self.now + took,
            ..Copy::default()
        };
        self.workers[w].copies.insert(f.clone(), copy);
    }

    fn work(&mut self) {
        let (now, mut ended) = (self.now, Vec::new());
        for w in &mut self.workers {
            w.copies.retain(|f, c| {
                let just = c.ready_at <= now && c.ready_at > now - DT;
                if just {
                    ended.push((c.by, w.name.clone(), f.clone(), !c.fails));
                }
                c.busy.retain(|until| *until > now);
                c.prefixes.retain(|_, p| now - p.1 < SESSION_IDLE);
                !(just && c.fails)
                    && (c.ready_at > now || now - c.used < IDLE_KEPT || !c.busy.is_empty())
            });
        }
        for (m, worker, function, ok) in ended {
            self.tell(
                m,
                Input::LoadEnded {
                    worker,
                    function,
                    ok,
                },
            );
        }
    }

    fn arrive(&mut self) {
        for region in ["a", "b"].map(Name::from) {
            if self.draw(100) < self.rate {
                self.next_session += 1;
                let left = 3 + self.draw(14) as u32;
                let next = self.now;
                let it = Session {
                    region: region.clone(),
                    left,
                    next,
                    began: false,
                    version: None,
                    worker: None,
                    last: next,
                };
                self.sessions.insert(self.next_session, it);
            }
            for _ in 0..2 {
                if self.draw(100) < self.rate * 4 {
                    self.call(region.clone(), None);
                }
            }
        }
        let due: Vec<u64> = self
            .sessions
            .iter()
            .filter(|(_, s)| s.next <= self.now)
            .map(|(id, _)| *id)
            .collect();
        for id in due {
            let again = self.now + 500 * MS + self.draw(1500) as Micros * MS;
            let Some(s) = self.sessions.get_mut(&id) else {
                continue;
            };
            (s.next, s.left) = (again, s.left.saturating_sub(1));
            let region = s.region.clone();
            if s.left == 0 {
                self.sessions.remove(&id);
                for w in &mut self.workers {
                    w.copies.values_mut().for_each(|c| {
                        c.prefixes.remove(&id);
                    });
                }
                continue;
            }
            self.call(region, Some(id));
        }
    }

    fn call(&mut self, region: Name, session: Option<u64>) {
        let near: Vec<usize> = (0..self.members.len())
            .filter(|m| {
                self.runs(*m) && self.members[*m].heard && self.members[*m].region == region
            })
            .collect();
        if near.is_empty() {
            return;
        }
        let m = near[self.draw(near.len() as u64) as usize];
        let draw = self.draw(u64::MAX);
        let begins = session.is_some_and(|id| !self.sessions[&id].began);
        let p = &self.members[m].planner;
        let known = session.and_then(|id| self.members[m].bound.get(&id).cloned());
        let version = match session {
            _ if self.policy != Policy::Planner => self.baseline_version(session, &region, draw),
            Some(id) if known.is_none() && p.wants_binding(MODEL, begins) => {
                if !self.has_majority(m) {
                    self.sums.refused += 1;
                    return;
                }
                let wished = p.proposes(MODEL, &region, draw, begins).unwrap_or_default();
                let version = self.bindings.entry(id).or_insert(wished).clone();
                self.members[m].bound.insert(id, version.clone());
                version
            }
            Some(_) if known.is_some() => known.unwrap_or_default(),
            _ => p
                .goes_to(MODEL, &region, draw, session.is_some())
                .map_or(Name::from(""), |w| w.version),
        };
        if let Some(id) = session {
            if self.policy == Policy::Planner && self.members[m].planner.over(MODEL, &version) {
                self.sums.sessions_over += 1;
                self.sessions.remove(&id);
                return;
            }
            let Some(s) = self.sessions.get_mut(&id) else {
                return;
            };
            s.began = true;
            s.last = self.now;
            if s.version.as_ref().is_some_and(|v| *v != version) {
                self.sums.two_versions += 1;
                if self.policy == Policy::Planner {
                    self.wrong.push(format!(
                        "{} s: session {id} meets version '{version}', too",
                        self.now / S
                    ));
                }
            }
            s.version = Some(version.clone());
        }
        self.sums.invocations += 1;
        self.waiting.push(Inv {
            member: m,
            region,
            session,
            function: function(MODEL, &version),
            version,
            at: self.now,
        });
    }

    fn dispatch(&mut self) {
        for inv in std::mem::take(&mut self.waiting) {
            if self.now - inv.at > GIVES_UP {
                self.ended(&inv, true, true);
                continue;
            }
            let m = inv.member;
            let here = |w: &usize| {
                self.workers[*w].region == inv.region && self.workers[*w].dead_until <= self.now
            };
            let near: Vec<usize> = (0..self.workers.len()).filter(here).collect();
            let free: Vec<usize> = near
                .iter()
                .copied()
                .filter(|w| {
                    let copy = self.workers[*w].copies.get(&inv.function);
                    copy.is_some_and(|c| c.stands(self.now) && c.busy.len() < LANES as usize)
                })
                .collect();
            let prefers = inv
                .session
                .and_then(|id| self.sessions.get(&id)?.worker)
                .filter(|w| free.contains(w));
            let Some(w) = prefers.or_else(|| {
                free.get(self.draw(free.len().max(1) as u64) as usize)
                    .copied()
            }) else {
                let loads = near
                    .iter()
                    .any(|w| self.workers[*w].copies.contains_key(&inv.function));
                // A miss: a load where there is room, and nobody else's.
                if !loads && let Some(w) = near.iter().copied().find(|w| self.fits(*w)) {
                    self.load(w, &inv.function.clone(), m);
                }
                self.waiting.push(inv);
                continue;
            };
            let now = self.now;
            let errs = self.errs > now && inv.function == new() && self.draw(4) == 0;
            let slow = self.slow > now && inv.function == new();
            let kept = inv.session.is_some_and(|id| {
                let before = self.sessions.get(&id).and_then(|s| s.worker);
                before.is_some_and(|b| {
                    self.workers[b]
                        .copies
                        .values()
                        .any(|c| c.prefixes.contains_key(&id))
                })
            });
            let copy = self.workers[w]
                .copies
                .get_mut(&inv.function)
                .expect("stands");
            let mut took = SERVICE + if slow { OBJECTIVE } else { 0 };
            if let Some(id) = inv.session {
                let had = copy.prefixes.get(&id).copied();
                let (began, moved) = (had.map_or(now, |p| p.0), had.is_none());
                copy.prefixes.insert(id, (began, now));
                if let Some(s) = self.sessions.get_mut(&id) {
                    if moved && s.worker.is_some() {
                        self.sums.rebuilt += 1;
                        self.sums.lost += u64::from(!kept);
                        took += REBUILD;
                    }
                    s.worker = Some(w);
                }
            }
            copy.busy.push(now + took);
            copy.used = now;
            let late = now + took - inv.at > OBJECTIVE;
            self.ended(&inv, errs, late);
        }
    }

    fn ended(&mut self, inv: &Inv, errored: bool, late: bool) {
        self.sums.failed += u64::from(errored);
        self.sums.in_objective += u64::from(!errored && !late);
        let count = self.members[inv.member]
            .counts
            .entry(inv.version.clone())
            .or_default();
        (count.version, count.trigger) = (inv.version.clone(), "t".into());
        count.ended += 1;
        count.errored += u64::from(errored);
        count.late += u64::from(late);
    }

    // ---- what is compared with ----

    fn baseline(&mut self) {
        let Some(began) = self.file.first().map(|_| self.now) else {
            return;
        };
        let all = self.workers.len();
        if self.policy == Policy::AllAtOnce && !self.began {
            self.began = true;
            for w in 0..all {
                self.workers[w].copies.remove(&old());
                self.load(w, &new(), 0);
            }
        }
        if self.policy == Policy::OneByOne && self.one_by_one < all {
            let w = self.one_by_one;
            match self.workers[w].copies.get(&new()) {
                Some(c) if c.ready_at <= self.now => self.one_by_one += 1,
                Some(_) => {}
                None => {
                    self.workers[w].copies.remove(&old());
                    self.load(w, &new(), 0);
                }
            }
        }
        let stand = self
            .workers
            .iter()
            .all(|w| w.copies.get(&new()).is_some_and(|c| c.stands(self.now)));
        let done = if self.policy == Policy::OneByOne {
            self.one_by_one == all
        } else {
            stand
        };
        if done && self.sums.done_at.is_none() {
            self.sums.done_at = Some(began);
        }
        // Nothing lets new copies go for idleness meanwhile.
        for c in self
            .workers
            .iter_mut()
            .filter_map(|w| w.copies.get_mut(&new()))
        {
            c.used = c.used.max(self.now);
        }
        let left = self.sums.done_at.is_none();
        for c in self
            .workers
            .iter_mut()
            .filter_map(|w| w.copies.get_mut(&old()))
            .filter(|_| left)
        {
            c.used = c.used.max(self.now);
        }
    }

    /// To whatever stands in the region, by the copies there; a session stays with its version while that stands.
    fn baseline_version(&self, session: Option<u64>, region: &Name, draw: u64) -> Name {
        let count = |f: &Name| {
            self.workers
                .iter()
                .filter(|w| w.region == *region && w.copies.contains_key(f))
                .count() as u64
        };
        let (was, is) = (count(&old()), count(&new()));
        let version = session.and_then(|id| self.sessions.get(&id)?.version.clone());
        match version {
            Some(v) if count(&function(MODEL, &v)) > 0 => v,
            _ if draw % (was + is).max(1) < is => "2".into(),
            _ => "".into(),
        }
    }

    pub fn shown(&self) -> Option<PlanStatus> {
        let plans = (0..self.members.len())
            .filter(|m| self.runs(*m))
            .flat_map(|m| self.members[m].planner.shown());
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
