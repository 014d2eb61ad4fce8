//! Rule 4 over a whole fleet: a worker that has just started gets no more than its capacity from all routers together, be
//! they few or many, evenly or unevenly loaded, running for a while or all restarted at once.

use std::collections::BTreeMap;

use cedarpulley::interface::*;

use crate::helpers::sent;
use crate::script::*;

const WARM_WORKERS: u32 = 4;
const STARTING: WorkerIndex = WARM_WORKERS;
/// Cores of a worker: what it serves at once without becoming slower.
const CORES: usize = 3;
const STEP: Micros = 10 * MS;
/// Long enough for what workers carry to be known.
const WARM_UP: Micros = 3 * SECOND;
/// The ramp is steepest in its first part.
const WATCHED: Micros = 5 * SECOND / 2;
const FUNCTION: FunctionIndex = 0;
const LANES: u32 = 64;

/// How a fleet of routers is loaded.
#[derive(Clone, Copy, Debug)]
struct Load {
    routers: u32,
    /// Calls that the starting worker can take in a window as it starts.
    starting_capacity: f64,
    /// Every fifth router gets so many times what the others get.
    uneven: f64,
    /// Calls that come, of what the warm workers serve.
    demand: f64,
    /// The routers start together with the worker.
    restarted: bool,
}

impl Load {
    /// Calls that a warm worker serves in a window.
    fn capacity(&self) -> f64 {
        self.starting_capacity / (SLOW_START_FRACTION * OVERLOAD_MULTIPLE)
    }

    fn work(&self) -> Micros {
        (OVERLOAD_WINDOW as f64 * CORES as f64 / self.capacity())
            .clamp(MS as f64, 300.0 * MS as f64) as Micros
    }

    fn weight(&self, router: usize) -> f64 {
        if router.is_multiple_of(5) {
            self.uneven
        } else {
            1.0
        }
    }

    /// Calls that the worker can take in a window at this age, with the slack that the rule has for chance.
    fn allowed(&self, age: Micros) -> f64 {
        let capacity_fraction = SLOW_START_FRACTION
            + (1.0 - SLOW_START_FRACTION) * age as f64 / SLOW_START_DURATION as f64;
        let calls = OVERLOAD_MULTIPLE * capacity_fraction * self.capacity();
        if calls < 30.0 {
            calls + 3.0 * calls.sqrt() + 3.0
        } else {
            calls + 2.0 * calls.sqrt() + 2.0
        }
    }
}

/// Attempts in flight, by when they end: at which router, for which invocation, and how.
type InFlight = BTreeMap<(Micros, usize, InvocationIndex), DispatchOutcome>;

struct Fleet {
    load: Load,
    /// By worker: when each core has done what it was given.
    free_at: Vec<[Micros; CORES]>,
    routers: Vec<Script>,
    in_flight: InFlight,
    /// When each attempt at the starting worker began.
    sent: Vec<Micros>,
    /// Parts of a call that have not arrived yet.
    arriving: Vec<f64>,
}

impl Fleet {
    fn new(load: Load) -> Self {
        let site = Site {
            routers: load.routers,
            quota_per_s: 1e9,
            ..PLAIN
        };
        let routers = (0..load.routers)
            .map(|p| Script::at(p, u64::from(p), site, WARM_WORKERS))
            .collect();
        let arriving = (0..load.routers)
            .map(|p| f64::from(p) / f64::from(load.routers))
            .collect();
        let free_at = vec![[0; CORES]; WARM_WORKERS as usize + 1];
        Fleet {
            load,
            free_at,
            routers,
            in_flight: InFlight::new(),
            sent: Vec::new(),
            arriving,
        }
    }

    fn now(&self) -> Micros {
        self.routers[0].now
    }

    fn carry_out(&mut self, router: usize, actions: &[Action]) {
        for action in actions {
            if let Action::Dispatch {
                invocation, worker, ..
            } = *action
            {
                let core = self.free_at[worker as usize]
                    .iter_mut()
                    .min()
                    .expect("a core");
                *core = (*core).max(self.routers[0].now) + self.load.work();
                let client_timeout_at = self.routers[router].client_timeout_at(invocation);
                let outcome = if *core < client_timeout_at {
                    DispatchOutcome::Succeeded
                } else {
                    DispatchOutcome::TimedOut
                };
                self.in_flight.insert(
                    ((*core).min(client_timeout_at), router, invocation),
                    outcome,
                );
                if worker == STARTING {
                    self.sent.push(self.now());
                }
            }
        }
    }

    /// The copy is loaded everywhere: nothing but the rule keeps calls from the starting worker.
    fn report_copies(&mut self, workers: std::ops::Range<WorkerIndex>) {
        for router in 0..self.routers.len() {
            for worker in workers.clone() {
                let actions = self.routers[router].tell(&Event::CopiesReported {
                    worker,
                    function: FUNCTION,
                    copies: 1,
                });
                self.carry_out(router, &actions);
            }
        }
    }

    fn step(&mut self) {
        for router in 0..self.routers.len() {
            let actions = self.routers[router].pass(STEP);
            self.carry_out(router, &actions);
        }
        while let Some(first) = self
            .in_flight
            .first_entry()
            .filter(|out| out.key().0 <= self.routers[0].now)
        {
            let ((_, router, invocation), outcome) = first.remove_entry();
            let actions = self.routers[router].end(invocation, 0, outcome, CopyStatus::Warm);
            self.carry_out(router, &actions);
        }
        let weights: f64 = (0..self.routers.len()).map(|r| self.load.weight(r)).sum();
        let capacity = self.load.capacity() * f64::from(WARM_WORKERS);
        let calls = self.load.demand * capacity * STEP as f64 / OVERLOAD_WINDOW as f64;
        for router in 0..self.routers.len() {
            self.arriving[router] += calls * self.load.weight(router) / weights;
            while self.arriving[router] >= 1.0 {
                self.arriving[router] -= 1.0;
                let (_, actions) = self.routers[router].arrive(0, FUNCTION, LANES, 2 * SECOND);
                self.carry_out(router, &actions);
            }
        }
    }

    fn run(&mut self, span: Micros) {
        let until = self.now() + span;
        while self.now() < until {
            self.step();
        }
    }

    /// The most that the starting worker got in a window, over its capacity then.
    fn worst(&self, started: Micros) -> f64 {
        let share = |(n, at): (usize, &Micros)| {
            let within = self.sent[..=n]
                .iter()
                .rev()
                .take_while(|t| **t > at - OVERLOAD_WINDOW)
                .count();
            within as f64 / self.load.allowed(at - started)
        };
        self.sent.iter().enumerate().map(share).fold(0.0, f64::max)
    }
}

/// The part of its allowance that a starting worker gets at the worst, and the calls that it got in all.
fn play(load: Load, into_window: Micros) -> (f64, usize) {
    let mut fleet = Fleet::new(load);
    if !load.restarted {
        fleet.run(SECOND);
        fleet.report_copies(0..WARM_WORKERS);
        fleet.run(WARM_UP - SECOND + into_window);
    }
    let started = fleet.now();
    let starting = entry(STARTING, EndpointState::InService, Some(started));
    for router in 0..fleet.routers.len() {
        let actions = fleet.routers[router].list(EndpointListKind::Changes, &[starting]);
        fleet.carry_out(router, &actions);
    }
    fleet.step();
    fleet.report_copies(0..STARTING + 1);
    fleet.run(WATCHED);
    (fleet.worst(started), fleet.sent.len())
}

#[test]
fn a_fleet_keeps_to_the_slow_start_budget() {
    for routers in [1, 3, 30, 300] {
        for starting_capacity in [1.0, 12.0, 100.0, 400.0] {
            // More than is served, as well, where it takes the test no long time to queue it.
            let overloads = if starting_capacity < 400.0 { 1 } else { 0 };
            for (uneven, demand) in [(5.0, 1.0), (1.0, 1.3)].into_iter().take(1 + overloads) {
                // A worker starts at any moment of the routers' windows.
                let into_window =
                    OVERLOAD_WINDOW * i64::from(routers % 7) / 10 + OVERLOAD_WINDOW / 2;
                let load = Load {
                    routers,
                    starting_capacity,
                    uneven,
                    demand,
                    restarted: false,
                };
                let (worst, _) = play(load, into_window);
                assert!(worst <= 1.0, "{load:?}: {worst:.2} of its capacity");
            }
        }
    }
}

#[test]
fn a_restarted_fleet_keeps_to_the_slow_start_budget() {
    for routers in [1, 3, 30, 300] {
        for starting_capacity in [1.0, 12.0, 100.0] {
            let load = Load {
                routers,
                starting_capacity,
                uneven: 5.0,
                demand: 1.0,
                restarted: true,
            };
            let (worst, _) = play(load, 0);
            assert!(worst <= 1.0, "{load:?}: {worst:.2} of its capacity");
        }
    }
}

/// The rule must not starve a worker that starts: of its capacity it gets a quarter or more.
#[test]
fn a_worker_in_slow_start_is_used_by_few_routers_and_by_many() {
    // With fewer calls to a worker than its capacity for each router, a part of one call may find none to take it.
    for (routers, starting_capacity) in [
        (1, 30.0),
        (1, 100.0),
        (30, 30.0),
        (30, 100.0),
        (300, 100.0),
        (300, 400.0),
    ] {
        let load = Load {
            routers,
            starting_capacity,
            uneven: 1.0,
            demand: 1.0,
            restarted: false,
        };
        let (_, calls) = play(load, 0);
        let windows = (WATCHED / OVERLOAD_WINDOW) as f64;
        assert!(
            calls as f64 > starting_capacity * windows / 4.0,
            "{load:?}: {calls} calls"
        );
    }
}

/// Rule 4 over all routers: each alone may send a just started worker less than one dispatch a window.
#[test]
fn many_routers_do_not_overload_a_worker_in_slow_start() {
    let site = Site {
        routers: 100,
        ..PLAIN
    };
    let mut sends = 0;
    for position in 0..100 {
        let mut script = Script::at(position, position.into(), site, 1);
        script.list(
            EndpointListKind::Cached,
            &[entry(0, EndpointState::InService, Some(script.now))],
        );
        for trigger in 0..3 {
            sends += sent(&script.arrive(trigger, trigger, 1, 500 * MS).1).len();
        }
    }
    // With 100 ms of work each its cores do ten a window or more, a cold fifth of that at first.
    assert!(sends <= 10, "{sends}");
}
