//! Seeded random runs: whatever the workers do, the five rules hold after every step.

use std::collections::BTreeMap;

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
    Leave {
        nth: usize,
    },
    Drain {
        worker: WorkerIndex,
    },
    Restart {
        worker: WorkerIndex,
    },
    Mood {
        worker: WorkerIndex,
        mood: u32,
    },
    Want {
        worker: WorkerIndex,
        function: FunctionIndex,
    },
    Hold {
        worker: WorkerIndex,
        function: FunctionIndex,
        copies: u32,
    },
}

fn steps() -> impl Strategy<Value = Vec<(Micros, Step)>> {
    let step = prop_oneof![
        60 => (0..3u32, 0..FUNCTIONS, 300..2_000i64)
            .prop_map(|(trigger, function, ms)| Step::Arrive { trigger, function, client_timeout_in: ms * MS }),
        1 => (0..50usize).prop_map(|nth| Step::Leave { nth }),
        1 => (0..WORKERS).prop_map(|worker| Step::Drain { worker }),
        2 => (0..WORKERS).prop_map(|worker| Step::Restart { worker }),
        2 => (0..WORKERS, 0..6u32).prop_map(|(worker, mood)| Step::Mood { worker, mood }),
        3 => (0..WORKERS, 0..FUNCTIONS).prop_map(|(worker, function)| Step::Want { worker, function }),
        3 => (0..WORKERS, 0..FUNCTIONS, 0..2u32)
            .prop_map(|(worker, function, copies)| Step::Hold { worker, function, copies }),
    ];
    proptest::collection::vec((0..40 * MS, step), 100..500)
}

fn sites() -> impl Strategy<Value = Site> {
    let groups = [
        DeduplicationScope::All,
        DeduplicationScope::Zone,
        DeduplicationScope::Cell,
    ];
    (any::<[bool; 3]>(), 0..3usize).prop_map(
        move |([orders, hedged_requests, order_quota], group)| Site {
            orders,
            loads_when_absent: !orders || hedged_requests,
            hedged_requests,
            order_quota: orders && order_quota,
            key_scope: groups[group],
            routers: 1,
            quota_per_s: PLAIN.quota_per_s,
            third_type_value: if orders { 4.0 } else { 1.0 },
        },
    )
}

/// How a worker in this mood ends a dispatch, and after what time.
fn ending(mood: u32, draw: u64, warm: bool) -> (DispatchOutcome, Micros, CopyStatus) {
    let work = (20 + draw % 150) as Micros * MS;
    let (note, load) = if warm {
        (CopyStatus::Warm, 0)
    } else {
        (CopyStatus::LoadStarted, 500 * MS)
    };
    match mood {
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
        5 if draw.is_multiple_of(3) => (DispatchOutcome::NotLoaded, 3 * MS, CopyStatus::LoadFailed),
        _ => (DispatchOutcome::Succeeded, work + load, note),
    }
}

#[derive(Default)]
struct World {
    due: BTreeMap<(Micros, u64), Back>,
    moods: [u32; WORKERS as usize],
    serial: u64,
}

enum Back {
    Dispatch(
        InvocationIndex,
        u32,
        DispatchOutcome,
        CopyStatus,
        WorkerIndex,
        FunctionIndex,
    ),
    Order(WorkerIndex, FunctionIndex, u32, Micros),
}

impl World {
    fn take(
        &mut self,
        script: &Script,
        functions: &[FunctionIndex],
        counts: &mut BTreeMap<InvocationIndex, u32>,
        actions: &[Action],
    ) {
        for action in actions {
            self.serial += 1;
            let draw = self.serial.wrapping_mul(0x9e37_79b9_7f4a_7c15) >> 20;
            match *action {
                Action::Dispatch {
                    invocation,
                    worker,
                    timeout,
                } => {
                    let n = counts
                        .entry(invocation)
                        .and_modify(|n| *n += 1)
                        .or_insert(0);
                    let function = functions[invocation as usize];
                    let (mut outcome, after, mut note) = ending(
                        self.moods[worker as usize],
                        draw,
                        script.warm.contains(&(worker, function)),
                    );
                    let mut at = script.now.saturating_add(after);
                    let limit = timeout.map_or(script.client_timeout_at(invocation), |t| {
                        script.client_timeout_at(invocation).min(script.now + t)
                    });
                    if at >= limit {
                        (at, outcome, note) =
                            (limit, DispatchOutcome::TimedOut, CopyStatus::Unreported);
                    }
                    self.due.insert(
                        (at, self.serial),
                        Back::Dispatch(invocation, *n, outcome, note, worker, function),
                    );
                }
                Action::LoadOrder {
                    worker,
                    function,
                    copies,
                } => {
                    let after = (5 + draw % 900) as Micros * MS;
                    self.due.insert(
                        (script.now + after, self.serial),
                        Back::Order(worker, function, copies, after),
                    );
                }
                _ => {}
            }
        }
    }
}

fn run(seed: u64, site: Site, steps: &[(Micros, Step)]) -> Vec<Action> {
    let mut script = Script::new(seed, site, WORKERS);
    let (mut world, mut functions, mut counts, mut log) =
        (World::default(), Vec::new(), BTreeMap::new(), Vec::new());
    let quiet = [(100 * MS, None); 60];
    for (span, step) in steps
        .iter()
        .map(|(t, script)| (*t, Some(script)))
        .chain(quiet)
    {
        let until = script.now + span;
        loop {
            let back = world
                .due
                .first_key_value()
                .map(|(k, _)| k.0)
                .filter(|t| *t <= until);
            // Timer by timer, as what one sends may be due before the next.
            let timer = script.timers.first().map_or(until, |t| t.0).max(script.now);
            let next = back.unwrap_or(until).max(script.now).min(timer);
            let rung = script.pass(next - script.now);
            world.take(&script, &functions, &mut counts, &rung);
            log.extend(rung);
            if back.is_none_or(|at| at > next) {
                if next < until {
                    continue;
                }
                break;
            }
            let Some((_, back)) = world.due.pop_first() else {
                break;
            };
            let actions = match back {
                Back::Dispatch(invocation, n, outcome, note, worker, function) => {
                    if outcome == DispatchOutcome::Succeeded {
                        script.warm.insert((worker, function));
                    }
                    script.end(invocation, n, outcome, note)
                }
                Back::Order(worker, function, copies, took) => {
                    let result = match world.moods[worker as usize] {
                        3 => LoadOrderResult::Unreachable,
                        5 => LoadOrderResult::LoadFailed,
                        _ => LoadOrderResult::Loaded,
                    };
                    script.tell(&Event::OrderEnded {
                        worker,
                        function,
                        result,
                        took,
                        copies,
                    })
                }
            };
            world.take(&script, &functions, &mut counts, &actions);
            log.extend(actions);
        }
        let actions = match step {
            Some(&Step::Arrive {
                trigger,
                function,
                client_timeout_in,
            }) => {
                // A function has one trigger type.
                functions.push(function * 3 + trigger);
                script
                    .arrive(
                        trigger,
                        function * 3 + trigger,
                        1 + function % 2,
                        client_timeout_in,
                    )
                    .1
            }
            Some(&Step::Leave { nth }) => match functions.len().checked_sub(nth + 1) {
                Some(invocation) if script.owes(invocation as InvocationIndex) => {
                    script.depart(invocation as InvocationIndex)
                }
                _ => Vec::new(),
            },
            Some(&Step::Drain { worker }) => script.list(
                EndpointListKind::Changes,
                &[entry(worker, EndpointState::Draining, None)],
            ),
            Some(&Step::Restart { worker }) => {
                world.moods[worker as usize] = 0;
                script.list(
                    EndpointListKind::Changes,
                    &[entry(worker, EndpointState::InService, Some(script.now))],
                )
            }
            Some(&Step::Mood { worker, mood }) => {
                world.moods[worker as usize] = mood;
                Vec::new()
            }
            // Of trigger type 0, as the script asks for it.
            Some(&Step::Want { worker, function }) => script.want(worker, function * 3),
            Some(&Step::Hold {
                worker,
                function,
                copies,
            }) => script.tell(&Event::CopiesReported {
                worker,
                function: function * 3,
                copies,
            }),
            None => Vec::new(),
        };
        world.take(&script, &functions, &mut counts, &actions);
        log.extend(actions);
    }
    log
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
