//! Rule 4 (slow start) over a whole fleet: a worker that has just started gets no more than its capacity from all
//! routers together. The fleets have few or many routers, which are evenly or unevenly loaded, and which have run for
//! a while or are all restarted at once.

use std::collections::BTreeMap;

use cedarpulley::interface::*;

use crate::helpers::sent;
use crate::script::*;

const WARM_WORKERS: u32 = 4;
const STARTING: WorkerIndex = WARM_WORKERS;
/// Cores of a worker: the number of invocations that it runs at once without becoming slower.
const CORES: usize = 3;
/// Simulated time between two steps.
const STEP: Micros = 10 * MS;
/// Long enough for routers to measure the throughput of workers.
const WARM_UP: Micros = 3 * SECOND;
/// How long the starting worker is observed. The relative growth of its capacity is largest in the first part of slow
/// start.
const OBSERVED_TIME: Micros = 5 * SECOND / 2;
const FUNCTION: FunctionIndex = 0;
const LANES: u32 = 64;

/// The load of a fleet of routers.
#[derive(Clone, Copy, Debug)]
struct Load {
    routers: u32,
    /// Invocations that the starting worker can take in the first overload window.
    starting_capacity: f64,
    /// Every fifth router gets this multiple of the invocations of the other routers.
    uneven: f64,
    /// Arriving invocations, as a multiple of the capacity of the warm workers.
    demand: f64,
    /// Whether the routers start together with the worker.
    restarted: bool,
}

impl Load {
    /// Invocations that a warm worker serves in an overload window.
    fn capacity(&self) -> f64 {
        self.starting_capacity / (SLOW_START_FRACTION * OVERLOAD_MULTIPLE)
    }

    /// Time that a core works on one invocation.
    fn work(&self) -> Micros {
        (OVERLOAD_WINDOW as f64 * CORES as f64 / self.capacity())
            .clamp(MS as f64, 300.0 * MS as f64) as Micros
    }

    /// The relative number of invocations that this router gets.
    fn weight(&self, router: usize) -> f64 {
        if router.is_multiple_of(5) {
            self.uneven
        } else {
            1.0
        }
    }

    /// Invocations that the worker may be sent in an overload window at this age, with the tolerance that the rule
    /// has for random variation.
    fn allowed(&self, age: Micros) -> f64 {
        let capacity_fraction = SLOW_START_FRACTION
            + (1.0 - SLOW_START_FRACTION) * age as f64 / SLOW_START_DURATION as f64;
        let invocations = OVERLOAD_MULTIPLE * capacity_fraction * self.capacity();
        if invocations < 30.0 {
            invocations + 3.0 * invocations.sqrt() + 3.0
        } else {
            invocations + 2.0 * invocations.sqrt() + 2.0
        }
    }
}

/// Attempts in flight with their outcomes, by end time, router and invocation.
type InFlight = BTreeMap<(Micros, usize, InvocationIndex), DispatchOutcome>;

/// Routers with simulated workers.
struct Fleet {
    load: Load,
    /// By worker: when each core becomes idle.
    free_at: Vec<[Micros; CORES]>,
    routers: Vec<Script>,
    in_flight: InFlight,
    /// When each attempt was sent to the starting worker.
    sent: Vec<Micros>,
    /// By router: the fraction of the next invocation that has accumulated so far.
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
            .map(|p| Script::at_position(p, u64::from(p), site, WARM_WORKERS))
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

    /// Simulates the dispatches among these actions of a router.
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

    /// Reports to all routers that these workers have a copy loaded, so that only rule 4 limits the invocations at the
    /// starting worker.
    fn report_copies(&mut self, workers: std::ops::Range<WorkerIndex>) {
        for router in 0..self.routers.len() {
            for worker in workers.clone() {
                let actions = self.routers[router].handle(&Event::CopiesReported {
                    worker,
                    function: FUNCTION,
                    copies: 1,
                });
                self.carry_out(router, &actions);
            }
        }
    }

    /// Simulates one step: timers, attempts that end, and arriving invocations.
    fn step(&mut self) {
        for router in 0..self.routers.len() {
            let actions = self.routers[router].advance(STEP);
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
        let invocations = self.load.demand * capacity * STEP as f64 / OVERLOAD_WINDOW as f64;
        for router in 0..self.routers.len() {
            self.arriving[router] += invocations * self.load.weight(router) / weights;
            while self.arriving[router] >= 1.0 {
                self.arriving[router] -= 1.0;
                let (_, actions) = self.routers[router].arrive(0, FUNCTION, LANES, 2 * SECOND);
                self.carry_out(router, &actions);
            }
        }
    }

    /// Simulates this span of time.
    fn run(&mut self, span: Micros) {
        let until = self.now() + span;
        while self.now() < until {
            self.step();
        }
    }

    /// The largest ratio, over all overload windows, of the attempts sent to the starting worker to those allowed.
    fn worst_share(&self, started: Micros) -> f64 {
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

/// Simulates a fleet to which a worker is added; `into_window` shifts the worker's start within the routers' overload
/// windows. Returns the largest share of its allowance that the worker is sent, and the number of all attempts sent to
/// it.
fn simulate(load: Load, into_window: Micros) -> (f64, usize) {
    let mut fleet = Fleet::new(load);
    if !load.restarted {
        fleet.run(SECOND);
        fleet.report_copies(0..WARM_WORKERS);
        fleet.run(WARM_UP - SECOND + into_window);
    }
    let started = fleet.now();
    let starting = entry(STARTING, EndpointState::InService, Some(started));
    for router in 0..fleet.routers.len() {
        let actions = fleet.routers[router].send_list(EndpointListKind::Changes, &[starting]);
        fleet.carry_out(router, &actions);
    }
    fleet.step();
    fleet.report_copies(0..STARTING + 1);
    fleet.run(OBSERVED_TIME);
    (fleet.worst_share(started), fleet.sent.len())
}

#[test]
fn a_fleet_keeps_to_the_slow_start_budget() {
    for routers in [1, 3, 30, 300] {
        for starting_capacity in [1.0, 12.0, 100.0, 400.0] {
            // Demand above the capacity is tested only for small capacities, where the queued invocations cost the
            // test little time.
            let overloads = if starting_capacity < 400.0 { 1 } else { 0 };
            for (uneven, demand) in [(5.0, 1.0), (1.0, 1.3)].into_iter().take(1 + overloads) {
                // The worker starts at different moments within the routers' windows.
                let into_window =
                    OVERLOAD_WINDOW * i64::from(routers % 7) / 10 + OVERLOAD_WINDOW / 2;
                let load = Load {
                    routers,
                    starting_capacity,
                    uneven,
                    demand,
                    restarted: false,
                };
                let (worst, _) = simulate(load, into_window);
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
            let (worst, _) = simulate(load, 0);
            assert!(worst <= 1.0, "{load:?}: {worst:.2} of its capacity");
        }
    }
}

/// Rule 4 must not starve a starting worker: it gets at least a quarter of its capacity.
#[test]
fn a_worker_in_slow_start_is_used_by_few_routers_and_by_many() {
    // These capacities are large enough for the number of routers. With smaller ones, a budget below one invocation
    // may be granted in a window in which the router has no invocation to send.
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
        let (_, invocations) = simulate(load, 0);
        let windows = (OBSERVED_TIME / OVERLOAD_WINDOW) as f64;
        assert!(
            invocations as f64 > starting_capacity * windows / 4.0,
            "{load:?}: {invocations} invocations"
        );
    }
}

/// Rule 4 over all routers: the budget of each single router for the starting worker is below one dispatch in a
/// window.
#[test]
fn many_routers_do_not_overload_a_worker_in_slow_start() {
    let site = Site {
        routers: 100,
        ..PLAIN
    };
    let mut sends = 0;
    for position in 0..100 {
        let mut script = Script::at_position(position, position.into(), site, 1);
        script.send_list(
            EndpointListKind::Cached,
            &[entry(0, EndpointState::InService, Some(script.now))],
        );
        for trigger in 0..3 {
            sends += sent(&script.arrive(trigger, trigger, 1, 500 * MS).1).len();
        }
    }
    // With 100 ms of work per invocation, the worker runs ten or more in a window, and a fifth of that at first.
    assert!(sends <= 10, "{sends}");
}
