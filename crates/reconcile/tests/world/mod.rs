//! Routers and workers in one process: the state machines that run in the program, messages with delays between them,
//! and the history of what really happened, against which each correction is checked.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap};
use std::sync::Arc;

use cedarpulley::interface::Micros;
use cedarpulley_reconcile::polling::SeededRandom;
use cedarpulley_reconcile::*;

pub const S: Micros = 1_000_000;
pub const EVERY: Micros = 2 * S;
pub const KEPT: Micros = 30 * S;
pub const GRACE: Micros = 5 * S;
/// A drift is found by so many words of its worker that began after it, and after belief last changed, while no load is
/// under way; by so many in a row of one that is doubted.
pub const ROUNDS: u64 = 1;
pub const DOUBTED_ROUNDS: u64 = 2;
/// Loads take this long, messages up to a tenth of it.
const LOAD: Micros = 400_000;

fn arc(text: &str) -> Arc<str> {
    Arc::from(text)
}

pub fn worker(n: usize) -> String {
    format!("w{n}")
}

pub fn function(n: usize) -> String {
    format!("f{n}")
}

pub fn router(n: usize) -> String {
    format!("r{n}")
}

#[derive(Clone, Debug, Default)]
pub struct Copies {
    pub copies: u32,
    /// Loads that are on their way, by the worker's own word.
    loading: u32,
    used: Micros,
    by: Option<Arc<str>>,
}

#[derive(Debug, Default)]
pub struct Worker {
    pub life: u64,
    pub holds: BTreeMap<String, Copies>,
    /// Since when there were so many copies, by function.
    past: BTreeMap<String, Vec<(Micros, u32)>>,
    pub silent: bool,
    pub polls: u64,
    /// One in so many entries is corrupted.
    pub corrupted: Option<u64>,
    reported_falsely: bool,
}

#[derive(Clone, Debug)]
enum Due {
    /// A question is at the worker.
    Looked {
        router: usize,
        worker: usize,
        began: Micros,
    },
    Said {
        router: usize,
        worker: usize,
        began: Micros,
        observation: Observation,
    },
    Silent {
        router: usize,
        worker: usize,
    },
    Noted {
        router: usize,
        id: Arc<str>,
        version: (u64, u64),
        left: Micros,
        began: Micros,
        value: Arc<[u8]>,
    },
    Loaded {
        router: usize,
        worker: usize,
        function: String,
        life: u64,
        order: bool,
    },
    Loads {
        router: usize,
        worker: usize,
        function: String,
        order: bool,
    },
    Over {
        router: usize,
        worker: usize,
        function: String,
        order: bool,
        found: bool,
        well: bool,
    },
}

/// A router's core, as far as belief goes.
#[derive(Debug, Default)]
pub struct Core {
    pub believes: BTreeMap<(usize, String), Micros>,
    /// When it last knew something by itself.
    evidence: BTreeMap<(usize, String), Micros>,
    pub under_way: BTreeMap<(usize, String), u32>,
    pub alive: bool,
}

pub struct World {
    pub now: Micros,
    pub workers: Vec<Worker>,
    pub routers: Vec<Reconciler>,
    pub cores: Vec<Core>,
    due: BinaryHeap<Reverse<(Micros, u64)>>,
    events: BTreeMap<u64, Due>,
    serial: u64,
    chance: SeededRandom,
    /// When the observation began that is being taken in.
    began: Micros,
    pub found: Vec<Drift>,
    pub wants: u64,
    pub unloads: BTreeMap<(usize, String), u64>,
    pub violations: Vec<String>,
    /// Rounds in a row in which a worker's word and a router's belief stayed apart, by router, worker and function, and
    /// what was believed.
    apart: BTreeMap<(usize, usize, String), (u64, bool)>,
}

impl World {
    pub fn new(seed: u64, routers: usize, workers: usize, asks_per_s: f64) -> World {
        let members: Vec<Arc<str>> = (0..routers).map(|r| arc(&router(r))).collect();
        let seats = |_| {
            (0..workers).map(|w| PolledWorker {
                worker: arc(&worker(w)),
                id: arc(&worker(w)),
                memory_mb: 0.0,
            })
        };
        let machine = |r: usize| {
            let terms = ReconcilerSettings {
                router_name: members[r].clone(),
                poll_interval: EVERY,
                grace_period: GRACE,
                belief_lifetime: KEPT,
                polls_per_s: asks_per_s,
                repairs_per_s: 20.0,
                seed: seed + r as u64,
            };
            let (mut it, mut out) = (Reconciler::new(0, terms), Vec::new());
            it.handle(0, Input::Members(members.clone()), &mut out);
            it.handle(0, Input::Workers(seats(r).collect()), &mut out);
            it
        };
        World {
            now: 0,
            workers: (0..workers)
                .map(|_| Worker {
                    life: 1,
                    ..Worker::default()
                })
                .collect(),
            routers: (0..routers).map(machine).collect(),
            cores: (0..routers)
                .map(|_| Core {
                    alive: true,
                    ..Core::default()
                })
                .collect(),
            due: BinaryHeap::new(),
            events: BTreeMap::new(),
            serial: 0,
            chance: SeededRandom::new(seed ^ 0x77),
            began: 0,
            found: Vec::new(),
            wants: 0,
            unloads: BTreeMap::new(),
            violations: Vec::new(),
            apart: BTreeMap::new(),
        }
    }

    fn later(&mut self, within: Micros, due: Due) {
        let at = self.now + 1 + (within as f64 * self.chance.draw()) as Micros;
        self.serial += 1;
        self.due.push(Reverse((at, self.serial)));
        self.events.insert(self.serial, due);
    }

    /// What really stands.
    pub fn holds(&self, w: usize, f: &str) -> u32 {
        self.workers[w].holds.get(f).map_or(0, |c| c.copies)
    }

    pub fn set(&mut self, w: usize, f: &str, copies: u32) {
        let worker = &mut self.workers[w];
        worker.holds.entry(f.to_owned()).or_default().copies = copies;
        worker
            .past
            .entry(f.to_owned())
            .or_default()
            .push((self.now, copies));
    }

    pub fn flush(&mut self, w: usize) {
        let all: Vec<String> = self.workers[w].holds.keys().cloned().collect();
        all.iter().for_each(|f| self.set(w, f, 0));
    }

    pub fn restart(&mut self, w: usize) {
        self.flush(w);
        self.workers[w].life += 1;
        self.workers[w].holds.clear();
    }

    /// Somebody else's.
    pub fn load_by(&mut self, w: usize, f: &str, by: &str) {
        self.set(w, f, 1);
        let now = self.now;
        let copies = self.workers[w].holds.entry(f.to_owned()).or_default();
        (copies.by, copies.used) = (Some(arc(by)), now);
    }

    pub fn order(&mut self, r: usize, w: usize, f: &str) {
        if self.cores[r].alive {
            self.believes(r, w, f, Change::LoadOrdered);
            *self.cores[r]
                .under_way
                .entry((w, f.to_owned()))
                .or_default() += 1;
            self.later(
                LOAD / 10,
                Due::Loads {
                    router: r,
                    worker: w,
                    function: f.to_owned(),
                    order: true,
                },
            );
        }
    }

    pub fn dispatch(&mut self, r: usize, w: usize, f: &str) {
        if self.cores[r].alive {
            self.believes(r, w, f, Change::Dispatched);
            *self.cores[r]
                .under_way
                .entry((w, f.to_owned()))
                .or_default() += 1;
            self.later(
                LOAD / 10,
                Due::Loads {
                    router: r,
                    worker: w,
                    function: f.to_owned(),
                    order: false,
                },
            );
        }
    }

    pub fn kill(&mut self, r: usize) {
        self.cores[r].alive = false;
        let members: Vec<Arc<str>> = (0..self.routers.len())
            .filter(|r| self.cores[*r].alive)
            .map(|r| arc(&router(r)))
            .collect();
        for r in 0..self.routers.len() {
            self.handle(r, Input::Members(members.clone()));
        }
    }

    fn believes(&mut self, r: usize, w: usize, f: &str, change: Change) {
        self.handle(
            r,
            Input::BeliefChanged {
                worker: &worker(w),
                function: f,
                change,
            },
        );
    }

    fn handle(&mut self, r: usize, input: Input) {
        if !self.cores[r].alive {
            return;
        }
        let mut out = Vec::new();
        self.routers[r].handle(self.now, input, &mut out);
        out.into_iter().for_each(|o| self.carry_out(r, o));
    }

    #[allow(
        clippy::too_many_lines,
        reason = "one scenario or table of cases, told in order"
    )]
    fn carry_out(&mut self, r: usize, output: Output) {
        let index_of = |worker: &str| worker[1..].parse::<usize>().expect("a number");
        match output {
            Output::Poll { worker } => {
                let (w, now) = (index_of(&worker), self.now);
                self.workers[w].polls += 1;
                self.later(
                    LOAD / 10,
                    Due::Looked {
                        router: r,
                        worker: w,
                        began: now,
                    },
                );
            }
            Output::CorrectCopies {
                worker,
                function,
                copies,
            } => {
                let w = index_of(&worker);
                self.is_true(r, w, &function, copies);
                let (core, key) = (&mut self.cores[r], (w, function.to_string()));
                match copies {
                    0 => drop(core.believes.remove(&key)),
                    _ => drop(core.believes.insert(key, self.now + KEPT)),
                }
            }
            Output::Load { worker, function } => {
                self.wants += 1;
                let (w, f) = (index_of(&worker), function.to_string());
                if self.cores[r].under_way.contains_key(&(w, f.clone())) {
                    self.violations
                        .push(format!("{f} at {w} is wanted while it is under way"));
                }
                self.order(r, w, &f);
            }
            Output::Unload {
                worker, function, ..
            } => {
                let (w, f) = (index_of(&worker), function.to_string());
                *self.unloads.entry((w, f.clone())).or_default() += 1;
                let (now, key) = (self.now, (w, f.clone()));
                let used =
                    |c: &Core| c.alive && c.believes.get(&key).is_some_and(|until| now < *until);
                if self.cores.iter().any(used) {
                    self.violations.push(format!(
                        "{f} at {w} is unloaded while a router believes in it"
                    ));
                }
                if self
                    .cores
                    .iter()
                    .any(|c| c.alive && c.under_way.contains_key(&key))
                {
                    self.violations.push(format!(
                        "{f} at {w} is unloaded while its load is under way"
                    ));
                }
                self.set(w, &f, 0);
            }
            Output::SendNote { id, version, value } => {
                let (left, began, value) = (self.now, self.began, Arc::<[u8]>::from(value));
                for to in 0..self.routers.len() {
                    if to == r {
                        continue;
                    }
                    let (id, value) = (id.clone(), Arc::clone(&value));
                    self.later(
                        LOAD / 10,
                        Due::Noted {
                            router: to,
                            id,
                            version,
                            left,
                            began,
                            value,
                        },
                    );
                }
            }
            Output::PrefixLost { .. } => {}
            Output::DriftFound(drift) => self.found.push(drift),
        }
    }

    /// A correction says what was so at some time since the observation began, and nothing that this router has known
    /// better since.
    fn is_true(&mut self, r: usize, w: usize, f: &str, copies: u32) {
        let (began, key) = (self.began, (w, f.to_owned()));
        let past = self.workers[w].past.get(f).cloned().unwrap_or_default();
        let before = past.iter().rev().find(|p| p.0 <= began).map_or(0, |p| p.1);
        let was = before == copies || past.iter().any(|p| p.0 >= began && p.1 == copies);
        if !was && !self.workers[w].reported_falsely {
            self.violations.push(format!(
                "{f} at {w}: {copies} were never there since {began}"
            ));
        }
        if self.cores[r]
            .evidence
            .get(&key)
            .is_some_and(|at| *at >= began)
        {
            self.violations.push(format!(
                "{f} at {w}: an older observation overturned a newer belief"
            ));
        }
        if self.cores[r].under_way.contains_key(&key)
            && copies == 0
            && !self.cores[r].believes.contains_key(&key)
        {
            self.violations.push(format!(
                "{f} at {w} is repaired while its load is under way"
            ));
        }
    }

    /// A word was taken in: what it says otherwise than is believed, and may say, is found by this round; of a doubted
    /// worker by the second one in a row that says so.
    #[allow(
        clippy::too_many_lines,
        reason = "one scenario or table of cases, told in order"
    )]
    fn rounds(
        &mut self,
        r: usize,
        w: usize,
        began: Micros,
        said: &Observation,
        take: impl FnOnce(&mut World),
    ) {
        let shown = |it: &World| {
            let name = worker(w);
            it.routers[r]
                .worker_statuses()
                .find(|s| s.worker == name)
                .map(|s| (s.doubt, s.incarnation))
                .expect("it knows it")
        };
        let began_of = |it: &World| {
            it.routers[r]
                .observed()
                .find(|o| **o.0 == *worker(w))
                .map(|o| o.1)
                .unwrap_or(Micros::MIN)
        };
        let (before, doubted) = (began_of(self), shown(self).0 > 0);
        take(self);
        if !self.cores[r].alive || began_of(self) <= before {
            return;
        }
        let life = shown(self).1;
        if life != said.incarnation {
            return;
        }
        let believed = self.cores[r]
            .believes
            .keys()
            .filter(|k| k.0 == w)
            .map(|k| k.1.clone());
        let all: BTreeSet<String> = believed
            .chain(said.entries.iter().map(|e| e.function.to_string()))
            .collect();
        for f in all {
            let key = (w, f.clone());
            let entry = said.entries.iter().find(|e| *e.function == *f);
            let stands = entry.is_some_and(|e| e.copies > 0);
            let core = &self.cores[r];
            let free = !core.under_way.contains_key(&key)
                && entry.is_none_or(|e| !e.loading)
                && core.evidence.get(&key).is_none_or(|at| *at < began);
            // It may leave before it is polled again, or is not for use.
            let member =
                |by: &str| (0..self.cores.len()).any(|r| self.cores[r].alive && router(r) == by);
            let left_alone = entry.is_some_and(|e| {
                e.ordered_by.as_deref().is_some_and(|by| !member(by))
                    || e.idle.is_some_and(|idle| idle > KEPT / 2)
            });
            let believes = core
                .believes
                .get(&key)
                .is_some_and(|until| self.now < *until);
            let at = (r, w, f.clone());
            let before = self
                .apart
                .remove(&at)
                .filter(|a| a.1 == believes)
                .map_or(0, |a| a.0);
            if !free || left_alone || believes == stands {
                continue;
            }
            let (rounds, most) = (before + 1, if doubted { DOUBTED_ROUNDS } else { ROUNDS });
            if rounds >= most {
                self.violations.push(format!(
                    "{f} at {w}: {r} has not found it in {rounds} rounds"
                ));
            }
            self.apart.insert(at, (rounds, believes));
        }
    }

    fn look(&mut self, w: usize) -> Observation {
        let now = self.now;
        let corrupted = self.workers[w].corrupted;
        let mut entries = Vec::new();
        for (name, c) in self.workers[w]
            .holds
            .clone()
            .iter()
            .filter(|(_, c)| c.copies > 0 || c.loading > 0)
        {
            let mut copies = c.copies;
            if corrupted.is_some_and(|n| self.chance.draw() * (n as f64) < 1.0) {
                self.workers[w].reported_falsely = true;
                copies = if self.chance.draw() < 0.5 {
                    0
                } else {
                    copies + 1
                };
            }
            let (busy, idle, loading) = (Some(0), Some(now - c.used), c.loading > 0);
            entries.push(FunctionReport {
                busy,
                idle,
                loading,
                ordered_by: c.by.clone(),
                ..FunctionReport::with_copies(name, copies)
            });
        }
        Observation {
            incarnation: Some(self.workers[w].life),
            entries,
            truncated: false,
        }
    }

    fn on_due(&mut self, due: Due) {
        match due {
            Due::Looked {
                router,
                worker,
                began,
            } => {
                let answer = match self.workers[worker].silent {
                    true => Due::Silent { router, worker },
                    false => Due::Said {
                        router,
                        worker,
                        began,
                        observation: self.look(worker),
                    },
                };
                self.later(LOAD / 10, answer);
            }
            Due::Said {
                router,
                worker: w,
                began,
                observation,
            } => {
                self.began = began;
                self.rounds(router, w, began, &observation, |it| {
                    let observation = observation.clone();
                    it.handle(
                        router,
                        Input::Reported {
                            worker: &worker(w),
                            began,
                            observation,
                        },
                    );
                });
            }
            Due::Silent { router, worker: w } => {
                self.handle(router, Input::Unresponsive { worker: &worker(w) })
            }
            Due::Noted { .. } => self.on_note(due),
            Due::Loads {
                router,
                worker,
                function,
                order,
            } => self.on_load_requested(router, worker, function, order),
            Due::Loaded { .. } => self.on_loaded(due),
            Due::Over { .. } => self.on_load_over(due),
        }
    }

    fn on_note(&mut self, due: Due) {
        let Due::Noted {
            router,
            id,
            version,
            left,
            began,
            value,
        } = due
        else {
            return;
        };
        // Known is only that it was under way for no longer than this.
        let transit = self.now - left + (self.chance.draw() * LOAD as f64) as Micros;
        self.began = began;
        self.handle(
            router,
            Input::NoteReceived {
                id: &id,
                version,
                transit,
                value: &value,
            },
        );
    }

    fn on_load_requested(&mut self, r: usize, w: usize, f: String, order: bool) {
        let life = self.workers[w].life;
        let stands = self.holds(w, &f) > 0;
        if let Some(c) = self.workers[w].holds.get_mut(&f).filter(|c| c.copies > 0) {
            c.used = self.now;
            if order {
                c.by = Some(arc(&router(r)));
            }
        }
        let over = Due::Over {
            router: r,
            worker: w,
            function: f.clone(),
            order,
            found: stands,
            well: true,
        };
        if stands {
            self.later(LOAD / 10, over);
        } else {
            self.workers[w].holds.entry(f.clone()).or_default().loading += 1;
            self.later(
                LOAD,
                Due::Loaded {
                    router: r,
                    worker: w,
                    function: f,
                    life,
                    order,
                },
            );
        }
    }

    fn on_loaded(&mut self, due: Due) {
        let Due::Loaded {
            router: r,
            worker: w,
            function: f,
            life,
            order,
        } = due
        else {
            return;
        };
        let well = self.workers[w].life == life;
        if well {
            let copies = self.holds(w, &f).max(1);
            self.set(w, &f, copies);
            let now = self.now;
            let c = self.workers[w].holds.entry(f.clone()).or_default();
            (c.loading, c.used) = (c.loading.saturating_sub(1), now);
            c.by = if order {
                Some(arc(&router(r)))
            } else {
                c.by.clone()
            };
        }
        let over = Due::Over {
            router: r,
            worker: w,
            function: f,
            order,
            found: false,
            well,
        };
        self.later(LOAD / 10, over);
    }

    fn on_load_over(&mut self, due: Due) {
        let Due::Over {
            router: r,
            worker: w,
            function: f,
            order,
            found,
            well,
        } = due
        else {
            return;
        };
        let key = (w, f.clone());
        let core = &mut self.cores[r];
        if let Some(n) = core.under_way.get_mut(&key) {
            *n -= 1;
            if *n == 0 {
                core.under_way.remove(&key);
            }
        }
        if !core.alive {
            return;
        }
        core.evidence.insert(key.clone(), self.now);
        if well {
            core.believes.insert(key, self.now + KEPT);
        } else if order {
            core.believes.remove(&key);
        }
        let stands = if well {
            Some(true)
        } else if order {
            Some(false)
        } else {
            None
        };
        let change = match order {
            true => Change::LoadOrderEnded {
                present: stands,
                copies: None,
            },
            false => Change::DispatchEnded {
                present: stands,
                was_present: found,
                copy_mb: 10.0,
            },
        };
        self.believes(r, w, &f, change);
    }

    pub fn pass(&mut self, time: Micros) {
        let until = self.now + time;
        loop {
            let router = (0..self.routers.len()).filter(|r| self.cores[*r].alive);
            let asks = router.map(|r| (self.routers[r].next_due(), r)).min();
            let due = self.due.peek().map(|d| d.0);
            match (asks, due) {
                (Some((at, r)), due) if at <= until && due.is_none_or(|d| at < d.0) => {
                    self.now = self.now.max(at);
                    self.handle(r, Input::Tick);
                }
                (_, Some((at, serial))) if at <= until => {
                    self.due.pop();
                    self.now = self.now.max(at);
                    if let Some(due) = self.events.remove(&serial) {
                        self.on_due(due);
                    }
                }
                _ => break,
            }
        }
        self.now = until;
    }

    /// Where belief and truth differ, of what is not about to run out.
    pub fn differs(&self) -> Vec<String> {
        let mut all = Vec::new();
        for (r, core) in self.cores.iter().enumerate().filter(|(_, c)| c.alive) {
            let believed = |w: usize, f: &str| {
                core.believes
                    .get(&(w, f.to_owned()))
                    .is_some_and(|u| self.now < *u)
            };
            for (w, worker) in self.workers.iter().enumerate() {
                let phantom = core
                    .believes
                    .iter()
                    .filter(|(k, u)| k.0 == w && self.now < **u);
                let phantom = phantom.filter(|(k, _)| self.holds(w, &k.1) == 0);
                all.extend(phantom.map(|(k, _)| format!("{r} believes in {} at {w}", k.1)));
                let fresh = worker
                    .holds
                    .iter()
                    .filter(|(_, c)| c.copies > 0 && self.now - c.used < KEPT / 2);
                // What is ordered by one that is gone is not for use.
                let fresh = fresh.filter(|(_, c)| c.by.as_deref().is_none_or(|by| by != "x"));
                let unseen = fresh.filter(|(f, _)| !believed(w, f));
                all.extend(unseen.map(|(f, _)| format!("{r} does not know of {f} at {w}")));
            }
        }
        all
    }
}
