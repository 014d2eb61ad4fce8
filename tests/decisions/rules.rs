//! Seeded random runs: the five safety rules hold after every step, whatever the workers do.

use std::collections::BTreeMap;

use crate::helpers::sent;
use crate::script::*;
use cedarpulley::interface::*;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed, TestRunner};

const WORKERS: u32 = 8;
const FUNCTIONS: u32 = 6;

/// One step of a run: some time passes, then something happens.
#[derive(Clone, Debug)]
enum Step {
    Arrive {
        trigger: u32,
        function: FunctionIndex,
        client_timeout_in: Micros,
    },
    /// The client of the last invocation but `nth` leaves.
    Leave {
        nth: usize,
    },
    Drain {
        worker: WorkerIndex,
    },
    Restart {
        worker: WorkerIndex,
    },
    /// From now on the worker behaves as [`ending`] describes.
    Behave {
        worker: WorkerIndex,
        behavior: u32,
    },
    /// A copy is wanted.
    Want {
        worker: WorkerIndex,
        function: FunctionIndex,
    },
    /// A worker reports its copies.
    Report {
        worker: WorkerIndex,
        function: FunctionIndex,
        copies: u32,
    },
    /// Discovery is reachable: all drains are announced, and the lease of the list is renewed.
    Renew {
        span: Micros,
    },
    /// A worker begins to drain while discovery is unreachable, so the router is not notified.
    DrainUnnoticed {
        worker: WorkerIndex,
    },
}

/// Random steps as in [`steps`], with outages of discovery.
fn steps_with_outages() -> impl Strategy<Value = Vec<(Micros, Step)>> {
    let step = prop_oneof![
        60 => (0..3u32, 0..FUNCTIONS, 300..2_000i64)
            .prop_map(|(trigger, function, ms)| Step::Arrive { trigger, function, client_timeout_in: ms * MS }),
        2 => (0..WORKERS, 0..7u32).prop_map(|(worker, behavior)| Step::Behave { worker, behavior }),
        3 => (0..WORKERS, 0..FUNCTIONS).prop_map(|(worker, function)| Step::Want { worker, function }),
        1 => (0..WORKERS).prop_map(|worker| Step::Drain { worker }),
        2 => (0..WORKERS).prop_map(|worker| Step::Restart { worker }),
        2 => (0..WORKERS).prop_map(|worker| Step::DrainUnnoticed { worker }),
        2 => (0..1_000i64).prop_map(|ms| Step::Renew { span: ms * MS }),
    ];
    proptest::collection::vec((0..40 * MS, step), 100..500)
}

/// Random steps without outages of discovery.
fn steps() -> impl Strategy<Value = Vec<(Micros, Step)>> {
    let step = prop_oneof![
        60 => (0..3u32, 0..FUNCTIONS, 300..2_000i64)
            .prop_map(|(trigger, function, ms)| Step::Arrive { trigger, function, client_timeout_in: ms * MS }),
        1 => (0..50usize).prop_map(|nth| Step::Leave { nth }),
        1 => (0..WORKERS).prop_map(|worker| Step::Drain { worker }),
        2 => (0..WORKERS).prop_map(|worker| Step::Restart { worker }),
        2 => (0..WORKERS, 0..7u32).prop_map(|(worker, behavior)| Step::Behave { worker, behavior }),
        3 => (0..WORKERS, 0..FUNCTIONS).prop_map(|(worker, function)| Step::Want { worker, function }),
        3 => (0..WORKERS, 0..FUNCTIONS, 0..2u32)
            .prop_map(|(worker, function, copies)| Step::Report { worker, function, copies }),
    ];
    proptest::collection::vec((0..40 * MS, step), 100..500)
}

/// Random sites.
fn sites() -> impl Strategy<Value = Site> {
    let key_scopes = [
        DeduplicationScope::All,
        DeduplicationScope::Zone,
        DeduplicationScope::Cell,
    ];
    (any::<[bool; 3]>(), 0..3usize).prop_map(
        move |([orders, hedged_requests, order_quota], key_scope)| Site {
            health_checks: true,
            orders,
            loads_when_absent: !orders || hedged_requests,
            hedged_requests,
            order_quota: orders && order_quota,
            key_scope: key_scopes[key_scope],
            routers: 1,
            quota_per_s: PLAIN.quota_per_s,
            third_type_value: if orders { 4.0 } else { 1.0 },
        },
    )
}

/// How a worker with this behavior ends a dispatch, after what time, and with which status of the copy. 1 hangs, 2
/// rejects, 3 is unreachable, 4 loses half of the connections, 5 gives errors and fails to load, for 6 the router has no
/// connection, all others succeed.
fn ending(behavior: u32, draw: u64, warm: bool) -> (DispatchOutcome, Micros, CopyStatus) {
    let work = (20 + draw % 150) as Micros * MS;
    let (copy_status, load) = if warm {
        (CopyStatus::Warm, 0)
    } else {
        (CopyStatus::LoadStarted, 500 * MS)
    };
    match behavior {
        1 => (
            DispatchOutcome::TimedOut,
            Micros::MAX,
            CopyStatus::Unreported,
        ),
        2 => (DispatchOutcome::Rejected, 2 * MS, CopyStatus::Unreported),
        3 => (
            DispatchOutcome::Unreachable,
            250 * MS,
            CopyStatus::Unreported,
        ),
        4 if draw.is_multiple_of(2) => (
            DispatchOutcome::ConnectionLost,
            work / 2,
            CopyStatus::Unreported,
        ),
        5 if draw.is_multiple_of(2) => (DispatchOutcome::Errored, work, CopyStatus::Unreported),
        6 => (DispatchOutcome::NoConnection, 0, CopyStatus::Unreported),
        5 if draw.is_multiple_of(3) => (DispatchOutcome::NotLoaded, 3 * MS, CopyStatus::LoadFailed),
        _ => (DispatchOutcome::Succeeded, work + load, copy_status),
    }
}

/// The result of an action at a worker.
enum WorkerResult {
    Dispatch {
        invocation: InvocationIndex,
        number: u32,
        outcome: DispatchOutcome,
        copy_status: CopyStatus,
        worker: WorkerIndex,
        function: FunctionIndex,
    },
    Order {
        worker: WorkerIndex,
        function: FunctionIndex,
        took: Micros,
    },
    Probe {
        worker: WorkerIndex,
        outcome: DispatchOutcome,
        took: Micros,
    },
}

/// A script with simulated workers that answer.
struct Simulation {
    script: Script,
    /// Results of workers that have not been delivered yet, by time and serial number.
    due: BTreeMap<(Micros, u64), WorkerResult>,
    behaviors: [u32; WORKERS as usize],
    serial: u64,
    /// The function of each invocation, and the number of its last dispatch.
    functions: Vec<FunctionIndex>,
    last_dispatch: BTreeMap<InvocationIndex, u32>,
    log: Vec<Action>,
}

impl Simulation {
    fn new(seed: u64, site: Site) -> Self {
        Simulation {
            script: Script::new(seed, site, WORKERS),
            due: BTreeMap::new(),
            behaviors: [0; WORKERS as usize],
            serial: 0,
            functions: Vec::new(),
            last_dispatch: BTreeMap::new(),
            log: Vec::new(),
        }
    }

    /// Simulates the balancer's actions and appends them to the log.
    fn carry_out(&mut self, actions: Vec<Action>) {
        for action in &actions {
            self.serial += 1;
            let draw = self.serial.wrapping_mul(0x9e37_79b9_7f4a_7c15) >> 20;
            match *action {
                Action::Dispatch {
                    invocation,
                    worker,
                    timeout,
                } => self.dispatch(invocation, worker, timeout, draw),
                Action::LoadOrder {
                    worker, function, ..
                } => {
                    let took = match self.behaviors[worker as usize] {
                        6 => 0,
                        _ => (5 + draw % 900) as Micros * MS,
                    };
                    let result = WorkerResult::Order {
                        worker,
                        function,
                        took,
                    };
                    self.due
                        .insert((self.script.now + took, self.serial), result);
                }
                Action::Probe { worker } => self.probe(worker, draw),
                _ => {}
            }
        }
        self.log.extend(actions);
    }

    /// Simulates a health check. The worker answers with its state at the time when the check is sent, and may begin
    /// to drain right after.
    fn probe(&mut self, worker: WorkerIndex, draw: u64) {
        let is_draining = self.script.unnoticed_drains.contains_key(&worker);
        let (outcome, took) = match self.behaviors[worker as usize] {
            1 => (DispatchOutcome::ConnectionLost, 250 * MS),
            3 => (DispatchOutcome::Unreachable, 250 * MS),
            6 => (DispatchOutcome::NotSent, 0),
            _ if is_draining => (DispatchOutcome::Rejected, 5 * MS),
            _ => (DispatchOutcome::Succeeded, (1 + draw % 200) as Micros * MS),
        };
        let result = WorkerResult::Probe {
            worker,
            outcome,
            took,
        };
        self.due
            .insert((self.script.now + took, self.serial), result);
    }

    /// Simulates a dispatch.
    fn dispatch(
        &mut self,
        invocation: InvocationIndex,
        worker: WorkerIndex,
        timeout: Option<Micros>,
        draw: u64,
    ) {
        let number = *self
            .last_dispatch
            .entry(invocation)
            .and_modify(|number| *number += 1)
            .or_insert(0);
        let function = self.functions[invocation as usize];
        let is_warm = self.script.warm.contains(&(worker, function));
        let (mut outcome, after, mut copy_status) =
            ending(self.behaviors[worker as usize], draw, is_warm);
        let mut at = self.script.now.saturating_add(after);
        let client_timeout_at = self.script.client_timeout_at(invocation);
        let limit = timeout.map_or(client_timeout_at, |timeout| {
            client_timeout_at.min(self.script.now + timeout)
        });
        if at >= limit {
            at = limit;
            outcome = DispatchOutcome::TimedOut;
            copy_status = CopyStatus::Unreported;
        }
        let result = WorkerResult::Dispatch {
            invocation,
            number,
            outcome,
            copy_status,
            worker,
            function,
        };
        self.due.insert((at, self.serial), result);
    }

    /// Hands a worker's result to the balancer.
    fn deliver(&mut self, result: WorkerResult) -> Vec<Action> {
        match result {
            WorkerResult::Dispatch {
                invocation,
                number,
                outcome,
                copy_status,
                worker,
                function,
            } => {
                if outcome == DispatchOutcome::Succeeded {
                    self.script.warm.insert((worker, function));
                }
                self.script.end(invocation, number, outcome, copy_status)
            }
            WorkerResult::Order {
                worker,
                function,
                took,
            } => {
                let result = match self.behaviors[worker as usize] {
                    3 => LoadOrderResult::Unreachable,
                    5 => LoadOrderResult::LoadFailed,
                    6 => LoadOrderResult::NotSent,
                    _ => LoadOrderResult::Loaded,
                };
                self.script.end_order(worker, function, result, took)
            }
            WorkerResult::Probe {
                worker,
                outcome,
                took,
            } => self.script.end_probe(worker, outcome, took),
        }
    }

    /// Lets time pass, with all timers and results that are due.
    fn pass_until(&mut self, until: Micros) {
        loop {
            let due = self.due.keys().next().map(|(at, _)| *at);
            let due = due.filter(|at| *at <= until);
            // Each timer is handled alone, as its actions may have results that are due before the next timer.
            let now = self.script.now;
            let timer = self.script.timers.first().map_or(until, |t| t.0).max(now);
            let next = due.unwrap_or(until).max(now).min(timer);
            let actions = self.script.advance(next - now);
            self.carry_out(actions);
            if due.is_none_or(|at| at > next) {
                if next < until {
                    continue;
                }
                break;
            }
            let Some((_, result)) = self.due.pop_first() else {
                break;
            };
            let actions = self.deliver(result);
            self.carry_out(actions);
        }
    }

    /// Simulates one step and returns the balancer's actions.
    fn step(&mut self, step: &Step) -> Vec<Action> {
        let script = &mut self.script;
        let state = |worker, state, started| [entry(worker, state, started)];
        match *step {
            Step::Arrive {
                trigger,
                function,
                client_timeout_in,
            } => {
                // A function has one trigger type.
                let (lanes, function) = (1 + function % 2, function * 3 + trigger);
                self.functions.push(function);
                script.arrive(trigger, function, lanes, client_timeout_in).1
            }
            Step::Leave { nth } => match self.functions.len().checked_sub(nth + 1) {
                Some(invocation) if script.is_unanswered(invocation as InvocationIndex) => {
                    script.client_leaves(invocation as InvocationIndex)
                }
                _ => Vec::new(),
            },
            Step::Drain { worker } => {
                let draining = state(worker, EndpointState::Draining, None);
                script.send_list(EndpointListKind::Changes, &draining)
            }
            Step::Restart { worker } => {
                self.behaviors[worker as usize] = 0;
                script.unnoticed_drains.remove(&worker);
                let restarted = state(worker, EndpointState::InService, Some(script.now));
                script.send_list(EndpointListKind::Changes, &restarted)
            }
            Step::Behave { worker, behavior } => {
                self.behaviors[worker as usize] = behavior;
                Vec::new()
            }
            // The index is a multiple of 3 as the script requests copies of functions of trigger type 0.
            Step::Want { worker, function } => script.request_copy(worker, function * 3),
            Step::Report {
                worker,
                function,
                copies,
            } => script.handle(&Event::CopiesReported {
                worker,
                function: function * 3,
                copies,
            }),
            Step::Renew { span } => {
                let gone: Vec<Endpoint> = std::mem::take(&mut script.unnoticed_drains)
                    .into_keys()
                    .map(|worker| entry(worker, EndpointState::Gone, None))
                    .collect();
                let mut actions = script.send_list(EndpointListKind::Changes, &gone);
                actions.extend(script.renew_lease(span));
                actions
            }
            Step::DrainUnnoticed { worker } => {
                let now = script.now;
                script.unnoticed_drains.entry(worker).or_insert(now);
                Vec::new()
            }
        }
    }
}

/// Simulates these steps and then 6 s without steps, and returns all actions.
fn run(seed: u64, site: Site, steps: &[(Micros, Step)]) -> Vec<Action> {
    let mut simulation = Simulation::new(seed, site);
    let quiet = [(100 * MS, None); 60];
    let steps = steps.iter().map(|(span, step)| (*span, Some(step)));
    for (span, step) in steps.chain(quiet) {
        simulation.pass_until(simulation.script.now + span);
        if let Some(step) = step {
            let actions = simulation.step(step);
            simulation.carry_out(actions);
        }
    }
    simulation.log
}

#[test]
fn the_rules_hold_after_every_step() {
    let config = Config {
        cases: 100,
        rng_seed: RngSeed::Fixed(20_261_201),
        failure_persistence: None,
        max_shrink_iters: 200,
        ..Config::default()
    };
    let mut runner = TestRunner::new(config);
    let runs = (any::<u64>(), sites(), steps());
    let result = runner.run(&runs, |(seed, site, steps)| {
        let once = run(seed, site, &steps);
        prop_assert!(
            once == run(seed, site, &steps),
            "the same events gave other actions"
        );
        Ok(())
    });
    if let Err(e) = result {
        panic!("{e}");
    }
}

/// Runs random steps with outages of discovery. `check`: whether these numbers of health checks and of dispatches are right.
fn runs_with_outages(health_checks: bool, check: impl Fn(usize, usize) -> bool) {
    let config = Config {
        cases: 100,
        rng_seed: RngSeed::Fixed(20_261_202),
        failure_persistence: None,
        max_shrink_iters: 200,
        ..Config::default()
    };
    let mut runner = TestRunner::new(config);
    let runs = (any::<u64>(), sites(), steps_with_outages());
    let result = runner.run(&runs, |(seed, site, steps)| {
        let renewed_once = (0, Step::Renew { span: SECOND });
        let steps: Vec<_> = std::iter::once(renewed_once).chain(steps).collect();
        let site = Site {
            health_checks,
            ..site
        };
        let log = run(seed, site, &steps);
        let is_probe = |action: &&Action| matches!(action, Action::Probe { .. });
        let probes = log.iter().filter(is_probe).count();
        prop_assert!(check(probes, sent(&log).len()), "{probes} health checks");
        prop_assert!(log == run(seed, site, &steps));
        Ok(())
    });
    if let Err(e) = result {
        panic!("{e}");
    }
}

#[test]
fn the_rules_hold_while_discovery_is_unreachable() {
    runs_with_outages(true, |health_checks, _| health_checks > 0);
}

/// Guards against new work for workers that drained unannounced where health checks are not allowed.
#[test]
fn the_rules_hold_while_discovery_is_unreachable_and_health_checks_are_not_allowed() {
    runs_with_outages(false, |health_checks, sent| health_checks == 0 && sent > 0);
}
