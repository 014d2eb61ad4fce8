//! A simulation of upgrades: routers with planners, workers with limited memory, a store from which copies are loaded,
//! sessions that begin and end, and a register that grants leadership like the shared state does. Time advances in
//! steps of a tenth of a second, and a seed determines everything that is random. Violated invariants are recorded in
//! [`Simulation::violations`].
#![allow(dead_code, reason = "each target uses a part of this module")]

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

/// One millisecond, in microseconds.
pub const MILLISECOND: Micros = 1_000;
/// One second, in microseconds.
pub const SECOND: Micros = 1_000_000;
/// Time between two steps of the simulation.
pub const TIME_STEP: Micros = 100 * MILLISECOND;
/// The model that is upgraded.
pub const MODEL: &str = "m";
/// Lanes of each copy.
pub const LANES_PER_COPY: u32 = 2;
/// Memory of each copy, in MB.
const COPY_MB: u32 = 400;
/// How long a worker caches a session's prefix after its last use; longer than an observation of a worker is valid.
const PREFIX_RETENTION: Micros = 8 * SECOND;
/// Time after which a worker evicts an idle copy.
const IDLE_COPY_RETENTION: Micros = 12 * SECOND;
/// Shortest time of a load.
const MIN_LOAD_TIME: Micros = 3 * SECOND;
/// Additional service time of an invocation whose session has no cached prefix at the worker.
const PREFIX_REBUILD_TIME: Micros = 300 * MILLISECOND;
/// Service time of an invocation.
const SERVICE_TIME: Micros = 100 * MILLISECOND;
/// Latency objective of all invocations.
const LATENCY_OBJECTIVE: Micros = 600 * MILLISECOND;
/// Time after which a waiting invocation fails.
const QUEUE_TIMEOUT: Micros = 3 * SECOND;

/// Planner settings with shorter times than the defaults.
pub fn planner_settings() -> PlannerSettings {
    PlannerSettings {
        lease: 3 * SECOND,
        evaluation_interval: 200 * MILLISECOND,
        majority_timeout: 4 * SECOND,
        order_delivery_timeout: 1500 * MILLISECOND,
        observation_lifetime: 4 * SECOND,
        quiet_period: 6 * SECOND,
        concurrent_loads: 2,
        load_timeout: 25 * SECOND,
        load_backoff: 2 * SECOND,
        renewal_interval: 3 * SECOND,
        announcement_time: SECOND,
        canary_min_time: 5 * SECOND,
        canary_max_time: 30 * SECOND,
        pause_limit: 15 * SECOND,
        member_gone_after: 15 * SECOND,
        record_refresh_interval: 600 * SECOND,
    }
}

/// An order to upgrade the model between two versions.
pub fn order(serial: u64, from: &str, to: &str) -> Order {
    Order {
        model: MODEL.into(),
        from: from.into(),
        to: to.into(),
        serial,
        canary: 1,
        canary_part: 100,
        floor: 750,
        drain_limit: 40 * SECOND,
        copy_mb: 0,
        withdrawn: false,
    }
}

/// How the new version is brought into service.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Policy {
    /// By the planners of the routers.
    Planner,
    /// All old copies are replaced by new ones at the same time.
    AllAtOnce,
    /// The old copies are replaced by new ones on one worker after another.
    OneByOne,
}

/// A fault and its duration. The index is that of a member or a worker.
#[derive(Clone, Debug)]
pub enum Fault {
    /// The member crashes and restarts without its state.
    Crash(usize, Micros),
    /// The member stops, and resumes later with its state.
    Pause(usize, Micros),
    /// The member reaches neither other members nor workers.
    Isolated(usize, Micros),
    /// The member receives no plan and continues with the plan that it knows.
    MissesPlans(usize, Micros),
    /// The two regions cannot reach each other.
    Cut(Micros),
    /// The worker loses all its copies and is down.
    WorkerDies(usize, Micros),
    /// All loads at the worker fail.
    LoadsFail(usize, Micros),
    /// Loads take four times as long.
    SlowStore(Micros),
    /// Half of the load and unload requests are lost.
    LostRequests(Micros),
    /// A quarter of the invocations of the new version fail.
    MoreErrors(Micros),
    /// Invocations of the new version take longer than their objective.
    Slower(Micros),
}

/// A router.
struct Member {
    planner: Planner,
    region: Name,
    is_up: bool,
    paused_until: Micros,
    isolated_until: Micros,
    misses_plans_until: Micros,
    /// Number of the router's incarnation.
    nonce: u64,
    /// For each member, whether it is considered alive, and when that last agreed with whether it is connected.
    considered_alive: Vec<(bool, Micros)>,
    /// The members considered alive when the planner was last informed of them.
    announced_alive: Vec<bool>,
    /// Counters of each version.
    counts: BTreeMap<Name, VersionCounters>,
    /// The version of each session known here.
    bindings: BTreeMap<u64, Name>,
    /// Speed of the router's clock, in thousandths of real time.
    clock_rate: Micros,
    clock_offset: Micros,
    /// Whether the router has received the latest plan since its start.
    caught_up: bool,
}

/// A copy, loading or warm.
#[derive(Default)]
struct Copy {
    /// When the load ends.
    ready_at: Micros,
    /// Whether the load fails.
    fails: bool,
    /// The member that requested the load.
    loaded_by: usize,
    last_used: Micros,
    /// When each running invocation ends.
    busy: Vec<Micros>,
    /// The cached prefix of each session: when it was built and when it was last used.
    prefixes: BTreeMap<u64, (Micros, Micros)>,
}

impl Copy {
    fn is_warm(&self, now: Micros) -> bool {
        self.ready_at <= now && !self.fails
    }
}

/// A worker.
struct Worker {
    name: Name,
    region: Name,
    /// Memory for copies, in MB.
    memory: u32,
    dead_until: Micros,
    loads_fail_until: Micros,
    /// The copy of each function.
    copies: BTreeMap<Name, Copy>,
}

/// A session of a client.
struct Session {
    region: Name,
    remaining_invocations: u32,
    next_invocation_at: Micros,
    /// Whether its first invocation was sent.
    has_begun: bool,
    version: Option<Name>,
    worker: Option<usize>,
    last_invocation_at: Micros,
}

/// An invocation that waits for a worker.
struct Invocation {
    /// The router that took it.
    member: usize,
    region: Name,
    session: Option<u64>,
    function: Name,
    version: Name,
    arrived_at: Micros,
}

/// A request to load or to unload a copy, in transit to a worker.
struct CopyRequest {
    member: usize,
    worker: Name,
    function: Name,
    load: bool,
    term: Name,
    /// The leader certainly knows sessions that came to the worker before this time.
    sessions_known_until: Micros,
    /// Whether the region is draining. If so, the leader counts as knowing later sessions too.
    region_drains: bool,
    /// Whether the drain limit has passed.
    drain_limit_passed: bool,
}

/// An event that is delivered later; `m` is the index of a member.
enum Event {
    /// A member requests leadership.
    RequestLeadership {
        m: usize,
        nonce: u64,
        key: Name,
    },
    /// A member proposes a value.
    Propose {
        m: usize,
        nonce: u64,
        key: Name,
        ballot: Ballot,
        value: Vec<u8>,
    },
    /// An input for the planner of a member.
    Input {
        m: usize,
        nonce: u64,
        input: Input,
    },
    CopyRequest(CopyRequest),
    /// A fault begins.
    InjectFault(Fault),
    /// The operator's file changes.
    OrdersChanged(Vec<Order>),
}

/// Counts of a whole run.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Totals {
    /// Invocations that a router took and routed to a version.
    pub invocations: u64,
    /// Invocations that succeeded within their objective.
    pub in_objective: u64,
    /// Prefixes that were built again.
    pub rebuilt: u64,
    /// Prefixes that were built again because the copy with the cached prefix was gone, and not only busy.
    pub lost: u64,
    /// Loads that began.
    pub loads: u64,
    /// Invocations that ended in an error.
    pub failed: u64,
    /// Invocations rejected because no majority could be reached.
    pub refused: u64,
    /// Sessions that ended because their version was unloaded.
    pub sessions_over: u64,
    /// Invocations of a session that were routed to another version than the one before.
    pub two_versions: u64,
    /// When a baseline policy had completed the upgrade.
    pub done_at: Option<Micros>,
}

/// The state of the simulation.
pub struct Simulation {
    /// The time, in microseconds since the beginning.
    pub now: Micros,
    seed: u64,
    /// Number of random numbers drawn so far.
    draws: u64,
    policy: Policy,
    members: Vec<Member>,
    workers: Vec<Worker>,
    /// The promised ballot, and the accepted value with its ballot.
    register: (Ballot, Option<(Ballot, Vec<u8>)>),
    /// The version to which a majority has bound each session.
    bindings: BTreeMap<u64, Name>,
    sessions: BTreeMap<u64, Session>,
    next_session: u64,
    waiting: Vec<Invocation>,
    /// Events by their time and number.
    events: BTreeMap<(Micros, u64), Event>,
    event_count: u64,
    partition_until: Micros,
    slow_store_until: Micros,
    /// Until this time, routers need not know that a worker has died, so the floor of lanes is not checked at an
    /// unload.
    death_known_at: Micros,
    lost_requests_until: Micros,
    errors_until: Micros,
    slower_until: Micros,
    /// The operator's file.
    order_file: Vec<Order>,
    /// The member and incarnation that acted in each term.
    term_owners: BTreeMap<Name, (usize, u64)>,
    /// The highest ballot under which an unload was requested.
    highest_unload_ballot: Ballot,
    /// Whether the floors are checked: only if no fault takes away capacity.
    pub check_floors: bool,
    /// Whether a baseline policy has started to load copies.
    pub baseline_started: bool,
    /// Number of workers whose copies the baseline policy has replaced.
    replaced_workers: usize,
    /// Probability in percent, per region and step, that a session begins. For each of two invocations without a
    /// session it is four times as high.
    pub traffic_rate: u64,
    /// Counts so far.
    pub totals: Totals,
    /// Violated invariants, as text.
    pub violations: Vec<String>,
    /// Log lines of the planners, and faults.
    pub log: Vec<String>,
}

fn hash_of(value: impl std::hash::Hash) -> u64 {
    BuildHasherDefault::<DefaultHasher>::default().hash_one(value)
}

/// The function of the old version.
pub fn old_function() -> Name {
    function_name(MODEL, "")
}

/// The function of the new version.
pub fn new_function() -> Name {
    function_name(MODEL, "2")
}

impl Simulation {
    /// Three routers in region a and two in region b, with `workers` workers in each region, on each of which
    /// `copies_per_worker` copies fit.
    #[allow(
        clippy::too_many_lines,
        reason = "one scenario or table of cases in order"
    )]
    pub fn new(seed: u64, policy: Policy, workers: usize, copies_per_worker: u32) -> Simulation {
        let region = |n: usize| Name::from(if n.is_multiple_of(2) { "a" } else { "b" });
        let mut sim = Simulation {
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
            event_count: 0,
            partition_until: 0,
            slow_store_until: 0,
            death_known_at: 0,
            lost_requests_until: 0,
            errors_until: 0,
            slower_until: 0,
            order_file: Vec::new(),
            term_owners: BTreeMap::new(),
            highest_unload_ballot: Ballot::default(),
            check_floors: true,
            baseline_started: false,
            replaced_workers: 0,
            traffic_rate: 12,
            totals: Totals::default(),
            violations: Vec::new(),
            log: Vec::new(),
        };
        for n in 0..5 {
            let (clock_rate, clock_offset) = (
                990 + sim.draw(20) as Micros,
                sim.draw(300) as Micros * SECOND,
            );
            sim.members.push(Member {
                planner: Planner::new(planner_settings()),
                region: region(n),
                is_up: true,
                paused_until: 0,
                isolated_until: 0,
                misses_plans_until: 0,
                nonce: 1,
                considered_alive: vec![(true, 0); 5],
                announced_alive: Vec::new(),
                counts: BTreeMap::new(),
                bindings: BTreeMap::new(),
                clock_rate,
                clock_offset,
                caught_up: true,
            });
        }
        for n in 0..workers * 2 {
            let copy = Copy {
                last_used: 0,
                ..Copy::default()
            };
            sim.workers.push(Worker {
                name: Name::from(format!("w{n}")),
                region: region(n),
                memory: COPY_MB * copies_per_worker,
                dead_until: 0,
                loads_fail_until: 0,
                copies: [(old_function(), copy)].into(),
            });
        }
        sim
    }

    /// A random number below `below`.
    fn draw(&mut self, below: u64) -> u64 {
        self.draws += 1;
        hash_of((self.seed, self.draws)) % below
    }

    /// Schedules an event.
    fn schedule(&mut self, when: Micros, event: Event) {
        self.event_count += 1;
        self.events.insert((when, self.event_count), event);
    }

    /// Schedules a fault.
    pub fn schedule_fault(&mut self, at: Micros, fault: Fault) {
        // The floors can be checked only under these faults. Where requests are lost, renewals are lost too, and
        // workers evict copies as idle.
        let faults_that_keep_capacity = [
            Fault::LoadsFail(0, 0),
            Fault::SlowStore(0),
            Fault::MoreErrors(0),
            Fault::Slower(0),
            Fault::MissesPlans(0, 0),
        ];
        self.check_floors &= faults_that_keep_capacity
            .iter()
            .any(|kind| std::mem::discriminant(kind) == std::mem::discriminant(&fault));
        self.schedule(at, Event::InjectFault(fault));
    }

    /// Schedules a change of the operator's file.
    pub fn schedule_orders(&mut self, at: Micros, orders: Vec<Order>) {
        self.schedule(at, Event::OrdersChanged(orders));
    }

    /// The time by the clock of a member.
    fn clock(&self, m: usize) -> Micros {
        self.members[m].clock_offset + self.now / 1000 * self.members[m].clock_rate
    }

    /// Whether a member is neither crashed nor paused.
    fn is_running(&self, m: usize) -> bool {
        self.members[m].is_up && self.members[m].paused_until <= self.now
    }

    /// The index of the worker with this name.
    fn worker(&self, name: &str) -> Option<usize> {
        self.workers.iter().position(|w| *w.name == *name)
    }

    /// Advances the simulation by one step.
    pub fn step(&mut self) {
        self.now += TIME_STEP;
        self.deliver_events();
        self.update_membership();
        if self.now % SECOND == 0 {
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
            _ => self.run_baseline(),
        }
    }

    /// The plan as the leader shows it or, without a leader, the running router with the latest step.
    pub fn plan_status(&self) -> Option<PlanStatus> {
        let plans = (0..self.members.len())
            .filter(|m| self.is_running(*m))
            .flat_map(|m| self.members[m].planner.status());
        plans.max_by_key(|s| (s.is_leader, s.step))
    }

    /// Runs until `stop` returns true or the time `until` is reached. Returns whether `stop` returned true.
    pub fn run(&mut self, until: Micros, mut stop: impl FnMut(&Simulation) -> bool) -> bool {
        while self.now < until {
            self.step();
            if stop(self) {
                return true;
            }
        }
        false
    }

    /// The phase of the plan.
    pub fn phase(&self) -> Option<Phase> {
        self.plan_status().map(|s| s.phase)
    }

    /// Number of workers with a copy of the function, warm or loading.
    pub fn workers_with(&self, function: &Name) -> usize {
        self.workers
            .iter()
            .filter(|w| w.copies.contains_key(function))
            .count()
    }

    /// Number of workers that are loading a copy of the function.
    pub fn workers_loading(&self, function: &Name) -> usize {
        self.workers
            .iter()
            .filter_map(|w| w.copies.get(function))
            .filter(|copy| copy.ready_at > self.now)
            .count()
    }
}
