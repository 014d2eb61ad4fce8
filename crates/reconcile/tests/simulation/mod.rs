//! Simulates routers and workers in one process: the reconcilers of the gateway, messages with delays between them, and
//! the history of the workers' copies, against which each correction is checked.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap};
use std::sync::Arc;

use cedarpulley::interface::Micros;
use cedarpulley_reconcile::polling::SeededRandom;
use cedarpulley_reconcile::*;

/// Microseconds in a second.
pub const SECOND: Micros = 1_000_000;
/// Base interval between two polls of a worker.
pub const POLL_INTERVAL: Micros = 2 * SECOND;
/// How long after its last use a copy is recorded as warm.
pub const RECORD_LIFETIME: Micros = 30 * SECOND;
/// How long an unclaimed copy is left loaded.
pub const GRACE_PERIOD: Micros = 5 * SECOND;
/// Number of reports after which a drift must be found. Only reports count that began after the drift and after the
/// last change of the record, while no load was in progress.
pub const MAX_REPORTS: u64 = 1;
/// The same for a doubted worker, in successive reports.
pub const MAX_REPORTS_DOUBTED: u64 = 2;
/// A load takes up to this long (microseconds), a message up to a tenth of it.
const MAX_LOAD_TIME: Micros = 400_000;

fn arc(text: &str) -> Arc<str> {
    Arc::from(text)
}

/// The name of the worker with this index.
pub fn worker_name(n: usize) -> String {
    format!("w{n}")
}

/// The name of the function with this index.
pub fn function_name(n: usize) -> String {
    format!("f{n}")
}

/// The name of the router with this index.
pub fn router_name(n: usize) -> String {
    format!("r{n}")
}

/// The copies of one function at a worker.
#[derive(Clone, Debug, Default)]
pub struct LoadedFunction {
    /// Number of loaded copies.
    pub copies: u32,
    /// Number of loads in progress, as the worker reports it.
    loading: u32,
    last_used_at: Micros,
    /// The router that last ordered a load.
    ordered_by: Option<Arc<str>>,
}

/// A simulated worker.
#[derive(Debug, Default)]
pub struct Worker {
    /// Incarnation of the worker process.
    pub incarnation: u64,
    /// Loaded and loading functions, by name.
    pub loaded: BTreeMap<String, LoadedFunction>,
    /// For each function, the times at which the number of copies changed, and the new numbers.
    copy_history: BTreeMap<String, Vec<(Micros, u32)>>,
    /// The worker does not answer polls.
    pub silent: bool,
    /// Number of polls sent to the worker.
    pub polls: u64,
    /// One in this many reported entries has a false number of copies; none if absent.
    pub corrupted_one_in: Option<u64>,
    /// The worker has reported a false number of copies.
    reported_falsely: bool,
}

/// An event that happens at a scheduled time.
#[derive(Clone, Debug)]
enum Event {
    /// A poll arrives at the worker.
    PollArrives {
        router: usize,
        worker: usize,
        began: Micros,
    },
    /// The report of a worker arrives at the router that polled it.
    ReportArrives {
        router: usize,
        worker: usize,
        began: Micros,
        observation: Observation,
    },
    /// A router learns that a worker did not answer its poll.
    PollTimesOut { router: usize, worker: usize },
    /// A note arrives at another router.
    NoteArrives {
        router: usize,
        id: Arc<str>,
        version: (u64, u64),
        sent_at: Micros,
        began: Micros,
        value: Arc<[u8]>,
    },
    /// A load ends at a worker; `incarnation` is the incarnation in which it began.
    LoadEnds {
        router: usize,
        worker: usize,
        function: String,
        incarnation: u64,
        is_order: bool,
    },
    /// A load order, or else a dispatch, arrives at a worker.
    LoadRequestArrives {
        router: usize,
        worker: usize,
        function: String,
        is_order: bool,
    },
    /// The result of a load order or dispatch arrives at the router.
    LoadResultArrives {
        router: usize,
        worker: usize,
        function: String,
        is_order: bool,
        was_present: bool,
        succeeded: bool,
    },
}

/// The part of a router core that records warm copies, keyed by worker and function.
#[derive(Debug, Default)]
pub struct RouterCore {
    /// Until when copies are recorded as warm.
    pub warm_until: BTreeMap<(usize, String), Micros>,
    /// When a load order or dispatch of this router last ended.
    last_evidence_at: BTreeMap<(usize, String), Micros>,
    /// Number of load orders and dispatches in progress.
    pub in_progress: BTreeMap<(usize, String), u32>,
    /// The router is running.
    pub alive: bool,
}

/// Routers and workers with simulated time and delayed messages.
pub struct Simulation {
    /// Simulated time, in microseconds.
    pub now: Micros,
    /// The workers, by index.
    pub workers: Vec<Worker>,
    /// The reconcilers of the routers, by index.
    pub routers: Vec<Reconciler>,
    /// The router cores, by index.
    pub cores: Vec<RouterCore>,
    queue: BinaryHeap<Reverse<(Micros, u64)>>,
    events: BTreeMap<u64, Event>,
    serial: u64,
    random: SeededRandom,
    /// When the observation began that is being processed.
    began: Micros,
    /// All drifts that were found.
    pub drifts: Vec<Drift>,
    /// Number of loads that reconcilers requested.
    pub requested_loads: u64,
    /// Number of unloads, by worker and function.
    pub unloads: BTreeMap<(usize, String), u64>,
    /// Descriptions of violated rules.
    pub violations: Vec<String>,
    /// By router, worker and function: the number of successive reports that differed from the record, and whether the
    /// record was warm.
    differing: BTreeMap<(usize, usize, String), (u64, bool)>,
}

impl Simulation {
    /// Creates routers that are all members of one group, and workers that have nothing loaded.
    pub fn new(seed: u64, routers: usize, workers: usize, polls_per_s: f64) -> Simulation {
        let members: Vec<Arc<str>> = (0..routers).map(|r| arc(&router_name(r))).collect();
        let listed_workers = |_| {
            (0..workers).map(|w| PolledWorker {
                worker: arc(&worker_name(w)),
                id: arc(&worker_name(w)),
                memory_mb: 0.0,
            })
        };
        let new_reconciler = |r: usize| {
            let settings = ReconcilerSettings {
                router_name: members[r].clone(),
                poll_interval: POLL_INTERVAL,
                grace_period: GRACE_PERIOD,
                record_lifetime: RECORD_LIFETIME,
                polls_per_s,
                repairs_per_s: 20.0,
                seed: seed + r as u64,
            };
            let (mut reconciler, mut out) = (Reconciler::new(0, settings), Vec::new());
            reconciler.handle(0, Input::Members(members.clone()), &mut out);
            reconciler.handle(0, Input::Workers(listed_workers(r).collect()), &mut out);
            reconciler
        };
        Simulation {
            now: 0,
            workers: (0..workers)
                .map(|_| Worker {
                    incarnation: 1,
                    ..Worker::default()
                })
                .collect(),
            routers: (0..routers).map(new_reconciler).collect(),
            cores: (0..routers)
                .map(|_| RouterCore {
                    alive: true,
                    ..RouterCore::default()
                })
                .collect(),
            queue: BinaryHeap::new(),
            events: BTreeMap::new(),
            serial: 0,
            random: SeededRandom::new(seed ^ 0x77),
            began: 0,
            drifts: Vec::new(),
            requested_loads: 0,
            unloads: BTreeMap::new(),
            violations: Vec::new(),
            differing: BTreeMap::new(),
        }
    }

    /// Schedules an event at a random time within `within` microseconds.
    fn schedule(&mut self, within: Micros, event: Event) {
        let at = self.now + 1 + (within as f64 * self.random.draw()) as Micros;
        self.serial += 1;
        self.queue.push(Reverse((at, self.serial)));
        self.events.insert(self.serial, event);
    }

    /// The number of copies that are loaded at the worker.
    pub fn copies_at(&self, w: usize, f: &str) -> u32 {
        self.workers[w].loaded.get(f).map_or(0, |c| c.copies)
    }

    /// Sets the number of copies at a worker and adds it to the history.
    pub fn set_copies(&mut self, w: usize, f: &str, copies: u32) {
        let worker = &mut self.workers[w];
        worker.loaded.entry(f.to_owned()).or_default().copies = copies;
        worker
            .copy_history
            .entry(f.to_owned())
            .or_default()
            .push((self.now, copies));
    }

    /// Evicts all functions of a worker.
    pub fn flush(&mut self, w: usize) {
        let all: Vec<String> = self.workers[w].loaded.keys().cloned().collect();
        all.iter().for_each(|f| self.set_copies(w, f, 0));
    }

    /// Restarts a worker process.
    pub fn restart(&mut self, w: usize) {
        self.flush(w);
        self.workers[w].incarnation += 1;
        self.workers[w].loaded.clear();
    }

    /// Loads a copy that the router named `by` is reported to have ordered, without an event at any router.
    pub fn load_ordered_by(&mut self, w: usize, f: &str, by: &str) {
        self.set_copies(w, f, 1);
        let now = self.now;
        let loaded = self.workers[w].loaded.entry(f.to_owned()).or_default();
        (loaded.ordered_by, loaded.last_used_at) = (Some(arc(by)), now);
    }

    /// Router `r` orders a load.
    pub fn order_load(&mut self, r: usize, w: usize, f: &str) {
        if self.cores[r].alive {
            self.change_record(r, w, f, CopyChange::LoadOrdered);
            *self.cores[r]
                .in_progress
                .entry((w, f.to_owned()))
                .or_default() += 1;
            self.schedule(
                MAX_LOAD_TIME / 10,
                Event::LoadRequestArrives {
                    router: r,
                    worker: w,
                    function: f.to_owned(),
                    is_order: true,
                },
            );
        }
    }

    /// Router `r` dispatches an invocation.
    pub fn dispatch(&mut self, r: usize, w: usize, f: &str) {
        if self.cores[r].alive {
            self.change_record(r, w, f, CopyChange::Dispatched);
            *self.cores[r]
                .in_progress
                .entry((w, f.to_owned()))
                .or_default() += 1;
            self.schedule(
                MAX_LOAD_TIME / 10,
                Event::LoadRequestArrives {
                    router: r,
                    worker: w,
                    function: f.to_owned(),
                    is_order: false,
                },
            );
        }
    }

    /// Stops router `r`; the others get a new list of members.
    pub fn kill(&mut self, r: usize) {
        self.cores[r].alive = false;
        let members: Vec<Arc<str>> = (0..self.routers.len())
            .filter(|r| self.cores[*r].alive)
            .map(|r| arc(&router_name(r)))
            .collect();
        for r in 0..self.routers.len() {
            self.handle(r, Input::Members(members.clone()));
        }
    }

    /// Passes a change of a record to the reconciler of router `r`.
    fn change_record(&mut self, r: usize, w: usize, f: &str, change: CopyChange) {
        self.handle(
            r,
            Input::RecordChanged {
                worker: &worker_name(w),
                function: f,
                change,
            },
        );
    }

    /// Passes an input to the reconciler of router `r` and executes its outputs.
    fn handle(&mut self, r: usize, input: Input) {
        if !self.cores[r].alive {
            return;
        }
        let mut out = Vec::new();
        self.routers[r].handle(self.now, input, &mut out);
        out.into_iter().for_each(|o| self.execute(r, o));
    }

    /// Executes an output of the reconciler of router `r`, and checks the rules about repairs.
    #[allow(
        clippy::too_many_lines,
        reason = "one scenario or table of cases in order"
    )]
    fn execute(&mut self, r: usize, output: Output) {
        let index_of = |worker: &str| {
            worker[1..]
                .parse::<usize>()
                .expect("the name ends in a number")
        };
        match output {
            Output::Poll { worker } => {
                let (w, now) = (index_of(&worker), self.now);
                self.workers[w].polls += 1;
                self.schedule(
                    MAX_LOAD_TIME / 10,
                    Event::PollArrives {
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
                self.check_correction(r, w, &function, copies);
                let (core, key) = (&mut self.cores[r], (w, function.to_string()));
                match copies {
                    0 => drop(core.warm_until.remove(&key)),
                    _ => drop(core.warm_until.insert(key, self.now + RECORD_LIFETIME)),
                }
            }
            Output::Load { worker, function } => {
                self.requested_loads += 1;
                let (w, f) = (index_of(&worker), function.to_string());
                if self.cores[r].in_progress.contains_key(&(w, f.clone())) {
                    self.violations.push(format!(
                        "{f} at {w}: a load is requested while one is in progress"
                    ));
                }
                self.order_load(r, w, &f);
            }
            Output::Unload {
                worker, function, ..
            } => {
                let (w, f) = (index_of(&worker), function.to_string());
                *self.unloads.entry((w, f.clone())).or_default() += 1;
                let (now, key) = (self.now, (w, f.clone()));
                let records_warm = |c: &RouterCore| {
                    c.alive && c.warm_until.get(&key).is_some_and(|until| now < *until)
                };
                if self.cores.iter().any(records_warm) {
                    self.violations.push(format!(
                        "{f} at {w} is unloaded while a router records it as warm"
                    ));
                }
                if self
                    .cores
                    .iter()
                    .any(|c| c.alive && c.in_progress.contains_key(&key))
                {
                    self.violations
                        .push(format!("{f} at {w} is unloaded while it is loading"));
                }
                self.set_copies(w, &f, 0);
            }
            Output::SendNote { id, version, value } => {
                let (sent_at, began, value) = (self.now, self.began, Arc::<[u8]>::from(value));
                for to in 0..self.routers.len() {
                    if to == r {
                        continue;
                    }
                    let (id, value) = (id.clone(), Arc::clone(&value));
                    self.schedule(
                        MAX_LOAD_TIME / 10,
                        Event::NoteArrives {
                            router: to,
                            id,
                            version,
                            sent_at,
                            began,
                            value,
                        },
                    );
                }
            }
            Output::PrefixLost { .. } => {}
            Output::DriftFound(drift) => self.drifts.push(drift),
        }
    }

    /// Checks a correction: the number of copies must have been true at some time since the observation began, this
    /// router must not have newer evidence of its own, and a load must not be in progress.
    fn check_correction(&mut self, r: usize, w: usize, f: &str, copies: u32) {
        let (began, key) = (self.began, (w, f.to_owned()));
        let copy_history = self.workers[w]
            .copy_history
            .get(f)
            .cloned()
            .unwrap_or_default();
        let before = copy_history
            .iter()
            .rev()
            .find(|p| p.0 <= began)
            .map_or(0, |p| p.1);
        let was_true =
            before == copies || copy_history.iter().any(|p| p.0 >= began && p.1 == copies);
        if !was_true && !self.workers[w].reported_falsely {
            self.violations.push(format!(
                "{f} at {w}: there were never {copies} copies since {began}"
            ));
        }
        if self.cores[r]
            .last_evidence_at
            .get(&key)
            .is_some_and(|at| *at >= began)
        {
            self.violations.push(format!(
                "{f} at {w}: an older observation overwrote a newer record"
            ));
        }
        if self.cores[r].in_progress.contains_key(&key)
            && copies == 0
            && !self.cores[r].warm_until.contains_key(&key)
        {
            self.violations.push(format!(
                "{f} at {w} is corrected to absent while it is loading"
            ));
        }
    }

    /// Passes a report to router `r` with `accept`, and checks that its differences from the records are then
    /// corrected: at once, or after the second successive report if the worker is doubted.
    #[allow(
        clippy::too_many_lines,
        reason = "one scenario or table of cases in order"
    )]
    fn check_report(
        &mut self,
        r: usize,
        w: usize,
        began: Micros,
        report: &Observation,
        accept: impl FnOnce(&mut Simulation),
    ) {
        let status = |simulation: &Simulation| {
            let name = worker_name(w);
            simulation.routers[r]
                .worker_statuses()
                .find(|s| s.worker == name)
                .map(|s| (s.doubt, s.incarnation))
                .expect("the router knows the worker")
        };
        let last_report_began = |simulation: &Simulation| {
            simulation.routers[r]
                .last_reports()
                .find(|o| **o.0 == *worker_name(w))
                .map(|o| o.1)
                .unwrap_or(Micros::MIN)
        };
        let (before, doubted) = (last_report_began(self), status(self).0 > 0);
        accept(self);
        if !self.cores[r].alive || last_report_began(self) <= before {
            return;
        }
        let incarnation = status(self).1;
        if incarnation != report.incarnation {
            return;
        }
        let recorded = self.cores[r]
            .warm_until
            .keys()
            .filter(|k| k.0 == w)
            .map(|k| k.1.clone());
        let all: BTreeSet<String> = recorded
            .chain(report.entries.iter().map(|e| e.function.to_string()))
            .collect();
        for f in all {
            let key = (w, f.clone());
            let entry = report.entries.iter().find(|e| *e.function == *f);
            let is_loaded = entry.is_some_and(|e| e.copies > 0);
            let core = &self.cores[r];
            let may_correct = !core.in_progress.contains_key(&key)
                && entry.is_none_or(|e| !e.loading)
                && core.last_evidence_at.get(&key).is_none_or(|at| *at < began);
            // A copy is not corrected if the worker may evict it before the next poll, or if its owner is not a member.
            let is_member = |by: &str| {
                (0..self.cores.len()).any(|r| self.cores[r].alive && router_name(r) == by)
            };
            let is_exempt = entry.is_some_and(|e| {
                e.ordered_by.as_deref().is_some_and(|by| !is_member(by))
                    || e.idle.is_some_and(|idle| idle > RECORD_LIFETIME / 2)
            });
            let recorded_warm = core
                .warm_until
                .get(&key)
                .is_some_and(|until| self.now < *until);
            let at = (r, w, f.clone());
            let before = self
                .differing
                .remove(&at)
                .filter(|a| a.1 == recorded_warm)
                .map_or(0, |a| a.0);
            if !may_correct || is_exempt || recorded_warm == is_loaded {
                continue;
            }
            let (reports, limit) = (
                before + 1,
                if doubted {
                    MAX_REPORTS_DOUBTED
                } else {
                    MAX_REPORTS
                },
            );
            if reports >= limit {
                self.violations.push(format!(
                    "{f} at {w}: router {r} has not corrected a difference within {reports} reports"
                ));
            }
            self.differing.insert(at, (reports, recorded_warm));
        }
    }

    /// What a worker reports now; possibly with false numbers.
    fn observe(&mut self, w: usize) -> Observation {
        let now = self.now;
        let corrupted_one_in = self.workers[w].corrupted_one_in;
        let mut entries = Vec::new();
        for (name, c) in self.workers[w]
            .loaded
            .clone()
            .iter()
            .filter(|(_, c)| c.copies > 0 || c.loading > 0)
        {
            let mut copies = c.copies;
            if corrupted_one_in.is_some_and(|n| self.random.draw() * (n as f64) < 1.0) {
                self.workers[w].reported_falsely = true;
                copies = if self.random.draw() < 0.5 {
                    0
                } else {
                    copies + 1
                };
            }
            let (busy, idle, loading) = (Some(0), Some(now - c.last_used_at), c.loading > 0);
            entries.push(FunctionReport {
                busy,
                idle,
                loading,
                ordered_by: c.ordered_by.clone(),
                ..FunctionReport::with_copies(name, copies)
            });
        }
        Observation {
            incarnation: Some(self.workers[w].incarnation),
            entries,
            truncated: false,
        }
    }

    /// Processes an event whose time has come.
    fn on_event(&mut self, event: Event) {
        match event {
            Event::PollArrives {
                router,
                worker,
                began,
            } => {
                let answer = match self.workers[worker].silent {
                    true => Event::PollTimesOut { router, worker },
                    false => Event::ReportArrives {
                        router,
                        worker,
                        began,
                        observation: self.observe(worker),
                    },
                };
                self.schedule(MAX_LOAD_TIME / 10, answer);
            }
            Event::ReportArrives {
                router,
                worker: w,
                began,
                observation,
            } => {
                self.began = began;
                self.check_report(router, w, began, &observation, |simulation| {
                    let observation = observation.clone();
                    simulation.handle(
                        router,
                        Input::Reported {
                            worker: &worker_name(w),
                            observation_began: began,
                            observation,
                        },
                    );
                });
            }
            Event::PollTimesOut { router, worker: w } => self.handle(
                router,
                Input::Unresponsive {
                    worker: &worker_name(w),
                },
            ),
            Event::NoteArrives { .. } => self.on_note(event),
            Event::LoadRequestArrives {
                router,
                worker,
                function,
                is_order,
            } => self.on_load_requested(router, worker, function, is_order),
            Event::LoadEnds { .. } => self.on_load_ended(event),
            Event::LoadResultArrives { .. } => self.on_load_result(event),
        }
    }

    fn on_note(&mut self, event: Event) {
        let Event::NoteArrives {
            router,
            id,
            version,
            sent_at,
            began,
            value,
        } = event
        else {
            return;
        };
        // The receiver knows only an upper bound of the transit time.
        let transit = self.now - sent_at + (self.random.draw() * MAX_LOAD_TIME as f64) as Micros;
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

    fn on_load_requested(&mut self, r: usize, w: usize, f: String, is_order: bool) {
        let incarnation = self.workers[w].incarnation;
        let is_loaded = self.copies_at(w, &f) > 0;
        if let Some(c) = self.workers[w].loaded.get_mut(&f).filter(|c| c.copies > 0) {
            c.last_used_at = self.now;
            if is_order {
                c.ordered_by = Some(arc(&router_name(r)));
            }
        }
        let result = Event::LoadResultArrives {
            router: r,
            worker: w,
            function: f.clone(),
            is_order,
            was_present: is_loaded,
            succeeded: true,
        };
        if is_loaded {
            self.schedule(MAX_LOAD_TIME / 10, result);
        } else {
            self.workers[w].loaded.entry(f.clone()).or_default().loading += 1;
            self.schedule(
                MAX_LOAD_TIME,
                Event::LoadEnds {
                    router: r,
                    worker: w,
                    function: f,
                    incarnation,
                    is_order,
                },
            );
        }
    }

    fn on_load_ended(&mut self, event: Event) {
        let Event::LoadEnds {
            router: r,
            worker: w,
            function: f,
            incarnation,
            is_order,
        } = event
        else {
            return;
        };
        let succeeded = self.workers[w].incarnation == incarnation;
        if succeeded {
            let copies = self.copies_at(w, &f).max(1);
            self.set_copies(w, &f, copies);
            let now = self.now;
            let c = self.workers[w].loaded.entry(f.clone()).or_default();
            (c.loading, c.last_used_at) = (c.loading.saturating_sub(1), now);
            c.ordered_by = if is_order {
                Some(arc(&router_name(r)))
            } else {
                c.ordered_by.clone()
            };
        }
        let result = Event::LoadResultArrives {
            router: r,
            worker: w,
            function: f,
            is_order,
            was_present: false,
            succeeded,
        };
        self.schedule(MAX_LOAD_TIME / 10, result);
    }

    fn on_load_result(&mut self, event: Event) {
        let Event::LoadResultArrives {
            router: r,
            worker: w,
            function: f,
            is_order,
            was_present,
            succeeded,
        } = event
        else {
            return;
        };
        let key = (w, f.clone());
        let core = &mut self.cores[r];
        if let Some(n) = core.in_progress.get_mut(&key) {
            *n -= 1;
            if *n == 0 {
                core.in_progress.remove(&key);
            }
        }
        if !core.alive {
            return;
        }
        core.last_evidence_at.insert(key.clone(), self.now);
        if succeeded {
            core.warm_until.insert(key, self.now + RECORD_LIFETIME);
        } else if is_order {
            core.warm_until.remove(&key);
        }
        let is_loaded = if succeeded {
            Some(true)
        } else if is_order {
            Some(false)
        } else {
            None
        };
        let change = match is_order {
            true => CopyChange::LoadOrderEnded {
                present: is_loaded,
                copies: None,
            },
            false => CopyChange::DispatchEnded {
                present: is_loaded,
                was_present,
                copy_mb: 10.0,
            },
        };
        self.change_record(r, w, &f, change);
    }

    /// Advances the time by `time` microseconds and processes the events and ticks that are due.
    pub fn advance(&mut self, time: Micros) {
        let until = self.now + time;
        loop {
            let router = (0..self.routers.len()).filter(|r| self.cores[*r].alive);
            let next_tick = router.map(|r| (self.routers[r].next_due(), r)).min();
            let next_event = self.queue.peek().map(|d| d.0);
            match (next_tick, next_event) {
                (Some((at, r)), next_event)
                    if at <= until && next_event.is_none_or(|d| at < d.0) =>
                {
                    self.now = self.now.max(at);
                    self.handle(r, Input::Tick);
                }
                (_, Some((at, serial))) if at <= until => {
                    self.queue.pop();
                    self.now = self.now.max(at);
                    if let Some(event) = self.events.remove(&serial) {
                        self.on_event(event);
                    }
                }
                _ => break,
            }
        }
        self.now = until;
    }

    /// Differences between records and loaded copies, except copies that are about to be evicted or are orphaned.
    pub fn differences(&self) -> Vec<String> {
        let mut all = Vec::new();
        for (r, core) in self.cores.iter().enumerate().filter(|(_, c)| c.alive) {
            let recorded = |w: usize, f: &str| {
                core.warm_until
                    .get(&(w, f.to_owned()))
                    .is_some_and(|u| self.now < *u)
            };
            for (w, worker) in self.workers.iter().enumerate() {
                let phantom = core
                    .warm_until
                    .iter()
                    .filter(|(k, u)| k.0 == w && self.now < **u);
                let phantom = phantom.filter(|(k, _)| self.copies_at(w, &k.1) == 0);
                all.extend(
                    phantom.map(|(k, _)| format!("router {r} records {} at {w} as warm", k.1)),
                );
                let fresh = worker.loaded.iter().filter(|(_, c)| {
                    c.copies > 0 && self.now - c.last_used_at < RECORD_LIFETIME / 2
                });
                // Copies ordered by router `x`, which is not a member, are not recorded.
                let fresh =
                    fresh.filter(|(_, c)| c.ordered_by.as_deref().is_none_or(|by| by != "x"));
                let unseen = fresh.filter(|(f, _)| !recorded(w, f));
                all.extend(unseen.map(|(f, _)| format!("router {r} has no record of {f} at {w}")));
            }
        }
        all
    }
}
