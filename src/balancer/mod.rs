//! The decision module: a deterministic state machine that makes all routing decisions of a router.
//!
//! A caller creates one [`Balancer`] per router with [`Balancer::new`] and calls [`Balancer::handle`] for each event,
//! in order; the call returns the actions to carry out at once. Events, actions and settings are defined in
//! [`crate::interface`]. The same settings, seed and events always give the same actions.
//!
//! Suggested reading order:
//!
//! | file | concern |
//! | --- | --- |
//! | `routing.rs` | the ordinary path of an invocation, `Balancer::route`; docs/design.md names its source |
//! | `eligibility.rs` | the workers that an invocation may be sent to, and which of them have capacity |
//! | `deduplication.rs` | which workers drop a repeat of an invocation that may have run |
//! | `queue.rs` | invocations that wait for a lane |
//! | `attempts.rs` | dispatches with their timeouts, retries, final answers |
//! | `feedback.rs` | updates of the estimates and of worker state when a dispatch ends |
//! | `load_orders.rs` | loads of copies: orders, their quota, loads in progress |
//! | `endpoints.rs` | the endpoint list: workers that join, drain, restart and leave |
//! | `readiness.rs` | health checks while the endpoint list may be out of date |
//!
//! Mechanisms beside the ordinary path:
//!
//! 1. Outlier detection (`outlier_detection.rs`): a worker becomes an outlier for a trigger type by failing in its
//!    most recent outcomes or by staying silent. An outlier receives only rare probes.
//! 2. Attempt timeouts (`attempts.rs`): an invocation that may run again is dispatched with a timeout, and retried
//!    at another worker if enough time is left.
//! 3. Slow start (`slow_start.rs`): a worker that has just started is sent at most this router's part of the
//!    capacity that it has at its age.
//! 4. Preferred workers (`placement.rs`): a busy function has several preferred workers. Their number follows from
//!    the function's part of the work and from the load that workers report; each router starts with another one.
//! 5. Load shedding (`load_shedding.rs`, `account_quota.rs`, the concurrency limit in `workers.rs`): late answers and
//!    rejections lower the limit on this router's concurrency at a worker. While there are many of them, exploration
//!    stops, and invocations of low expected value (late ones, ones beyond a quota, ones of a low-value trigger type
//!    or with a short client timeout) are rejected.
//! 6. Draining (`endpoints.rs`, `workers.rs`): a warm worker that drains is still sent work within the drain grace.
//!
//! Comments refer to five numbered safety rules: 1. each invocation gets one final answer in time; 2. an invocation
//! runs again only if its effect allows that; 3. a worker gets no new work once its drain grace is over; 4. a worker
//! in slow start is not overloaded; 5. load orders stay within their quota.
//!
//! State: `functions.rs` with `copies.rs` and `ranking.rs`, `workers.rs`, `invocations.rs`. Measurements: `estimates.rs`, `latencies.rs`.

mod account_quota;
mod attempts;
mod copies;
mod deduplication;
mod eligibility;
mod endpoints;
mod estimates;
mod feedback;
mod functions;
mod invocations;
mod latencies;
mod load_orders;
mod load_shedding;
mod outlier_detection;
mod placement;
mod queue;
mod ranking;
mod readiness;
mod routing;
mod slow_start;
mod workers;

use crate::interface::*;
use crate::table_size::{TableSize, TableSizes};
use estimates::{DecayingSum, MachineSlowness, RandomDraws};
use functions::{Function, Functions};
use invocations::{Invocation, Invocations};
use latencies::Latencies;
use load_orders::{LoadOrderQuota, OrderEnded};
use load_shedding::LoadShedder;
use outlier_detection::OutlierDetector;
use queue::WaitingQueue;
use ranking::{Rankings, WorkersInService};
use readiness::ReadinessChecks;
use workers::WorkerState;

/// Interval between ticks while invocations are queued, as the design prescribes; also the shortest tick interval.
const RETRY_INTERVAL: Micros = 10_000;
/// Number of ticks within the idle retention time while the queue is empty.
const IDLE_TICKS_PER_RETENTION: Micros = 100;
/// The state of a function is dropped after the function has been unused for this multiple of the idle retention
/// time.
const FORGET_AFTER_RETENTIONS: Micros = 4;

/// Rankings of workers get the memory for functions divided by this number.
const RANKING_MEMORY_DIVISOR: usize = 4;

/// The settings of a balancer. They are fixed when it is created.
#[derive(Default)]
struct Settings {
    fleet: FleetPosition,
    limits: DispatchLimits,
    rules: RuleLimits,
    triggers: Vec<TriggerType>,
    loads: LoadSettings,
}

/// Decides which worker runs an invocation, and when.
#[derive(Default)]
pub struct Balancer {
    settings: Settings,
    draws: RandomDraws,
    /// The time of the event being handled.
    now: Micros,
    /// When the next tick is due; `None` if no tick is scheduled.
    next_tick: Option<Micros>,
    /// By worker index.
    workers: Vec<WorkerState>,
    in_service: WorkersInService,
    readiness: ReadinessChecks,
    outliers: OutlierDetector,
    functions: Functions,
    rankings: Rankings,
    invocations: Invocations,
    queue: WaitingQueue,
    load_shedder: LoadShedder,
    order_quota: LoadOrderQuota,
    latencies: Latencies,
    slowness: MachineSlowness,
    /// Expected work (microseconds) of the invocations accepted for all functions, decaying with the idle retention
    /// time.
    work_accepted: DecayingSum,
    /// Successful invocations per worker in service, decaying over a few overload windows.
    completions_per_worker: DecayingSum,
}

impl Balancer {
    /// Creates a balancer without workers. All its pseudo-random draws derive from `seed`.
    #[expect(
        clippy::too_many_arguments,
        reason = "one argument for each record of the start message"
    )]
    pub fn new(
        seed: u64,
        fleet: FleetPosition,
        limits: DispatchLimits,
        rules: RuleLimits,
        triggers: Vec<TriggerType>,
        accounts: Vec<Account>,
        loads: LoadSettings,
        prices: Prices,
        _reports: ReportSource,
    ) -> Self {
        Balancer {
            draws: RandomDraws::new(seed),
            load_shedder: LoadShedder::new(&triggers, &accounts, fleet.routers, &prices),
            latencies: Latencies::new(triggers.len()),
            outliers: OutlierDetector::new(triggers.len(), loads.idle_retention),
            settings: Settings {
                fleet,
                limits,
                rules,
                triggers,
                loads,
            },
            ..Balancer::default()
        }
    }

    /// Bounds the state of a balancer that has not handled any event.
    pub fn with_state_limits(mut self, limits: StateLimits) -> Self {
        if let Some(bytes) = limits.function_bytes {
            let bytes = usize::try_from(bytes).unwrap_or(usize::MAX);
            let ranking_bytes = bytes / RANKING_MEMORY_DIVISOR;
            self.functions = Functions::bounded(bytes - ranking_bytes);
            self.rankings = Rankings::bounded(ranking_bytes);
        }
        self
    }

    /// Whether health checks may be sent to workers.
    pub fn allows_health_checks(&self) -> bool {
        self.settings.limits.probes
    }

    /// Whether an invocation of a function that the balancer does not know can be taken: there is memory for the function,
    /// or there will be once a function that is not in use is released.
    pub fn has_room_for_function(&self) -> bool {
        self.functions.has_room()
    }

    /// Whether the function has an index that was not released.
    pub fn knows_function(&self, function: FunctionIndex) -> bool {
        self.functions.get(function).is_some()
    }

    /// Handles an event that happened at `now`, and appends the actions to carry out to `out`.
    pub fn handle(&mut self, now: Micros, event: &Event, out: &mut Vec<Action>) {
        self.now = now;
        match *event {
            Event::EndpointList { kind, endpoints } => self.on_endpoint_list(kind, endpoints, out),
            Event::EndpointListLease { until } => self.on_list_lease(until, out),
            Event::DrainLease(lease) => self.on_drain_lease(lease, out),
            Event::Invocation(arrival) => {
                self.accept(&arrival);
                self.route(arrival.invocation, out);
            }
            Event::ClientLeft { invocation } => self.on_client_left(invocation, out),
            Event::AnswerStarted { invocation, .. } => self.mark_answered(invocation),
            Event::DispatchEnded(ended) => self.on_dispatch_ended(&ended, out),
            Event::OrderEnded {
                worker,
                function,
                result,
                took,
                copies,
            } => {
                let ended = OrderEnded {
                    worker: worker as usize,
                    function,
                    result,
                    took,
                    copies,
                };
                self.on_order_ended(&ended, out);
            }
            Event::Timer { token } if self.next_tick == Some(token as Micros) => self.tick(out),
            Event::CopyWanted { worker, function } => {
                self.on_copy_wanted(worker as usize, &function, out);
            }
            Event::CopiesReported {
                worker,
                function,
                copies,
            } => self.on_copies_reported(worker as usize, function, copies, out),
            Event::ProbeEnded {
                worker,
                outcome,
                took,
                ..
            } => self.on_probe_ended(worker as usize, outcome, took, out),
            Event::Timer { .. } => {}
        }
        self.release_functions(out);
        self.schedule_tick(out);
    }

    /// The sizes of the tables that grow with the functions, the workers and the open invocations.
    pub fn table_sizes(&self) -> TableSizes {
        let (open, invocation_bytes) = self.invocations.size();
        let (rankings, ranking_bytes) = self.rankings.size();
        TableSizes(vec![
            TableSize {
                name: "balancer functions",
                entries: self.functions.len(),
                bytes: self.functions.bytes(),
            },
            TableSize {
                name: "balancer rankings",
                entries: rankings,
                bytes: ranking_bytes,
            },
            TableSize {
                name: "balancer invocations",
                entries: open,
                bytes: invocation_bytes,
            },
            TableSize {
                name: "balancer workers",
                entries: self.workers.len(),
                bytes: self.workers.len() * size_of::<WorkerState>(),
            },
        ])
    }

    /// Sets a timer for the next tick, unless an earlier tick is already scheduled.
    fn schedule_tick(&mut self, out: &mut Vec<Action>) {
        let interval = if self.queue.is_empty() {
            self.settings.loads.idle_retention / IDLE_TICKS_PER_RETENTION
        } else {
            RETRY_INTERVAL
        };
        let shortest = self.settings.fleet.granularity;
        let due = self.now + interval.max(shortest).max(RETRY_INTERVAL);
        if self.next_tick.is_none_or(|tick| due < tick) {
            self.next_tick = Some(due);
            out.push(Action::Timer {
                token: due as u64,
                after: due - self.now,
            });
        }
    }

    /// Drops expired state and retries all queued invocations.
    fn tick(&mut self, out: &mut Vec<Action>) {
        self.next_tick = None;
        self.order_quota
            .forget_until(self.now - self.settings.loads.order_quota_window);
        let idle = |worker| self.outliers.in_flight(worker) == 0;
        if !self.queue.is_empty() && workers::in_service(&self.workers).all(idle) {
            self.outliers.count_stalled_tick();
        }
        self.load_shedder
            .expire_pressure(self.now, self.settings.loads.idle_retention);
        self.retry_queued(None, out);
    }

    /// Drops the state of functions that have long been unused, and of the functions unused for the longest time while
    /// there is no memory for all, and releases their indices.
    fn release_functions(&mut self, out: &mut Vec<Action>) {
        let unused_after = FORGET_AFTER_RETENTIONS * self.settings.loads.idle_retention;
        while let Some(function) = self.functions.release_unused(self.now - unused_after) {
            self.rankings.forget(function);
            out.push(Action::ReleaseFunction { function });
        }
        self.functions.forget_copies_above_bound();
    }

    /// Records a new invocation, and updates its function from the fields of the arrival.
    fn accept(&mut self, arrival: &Arrival) {
        let now = self.now;
        let over_quota = self.load_shedder.use_quota(arrival.account as usize, now);
        let trigger = &self.settings.triggers[arrival.trigger as usize];
        let work_hint = arrival.cost_hint.unwrap_or(0);
        let objective = trigger.latency_objective
            + (work_hint as f64 * trigger.objective_work_multiple) as Micros;
        let client_timeout_at = now + arrival.client_timeout_in;
        let invocation = Invocation {
            function: arrival.function,
            trigger: arrival.trigger as usize,
            over_quota,
            short_timeout: arrival.waited + arrival.client_timeout_in < objective,
            work_hint,
            preferred_worker: arrival.preferred_worker,
            arrived_at: now,
            objective_at: (now - arrival.waited + objective).min(client_timeout_at),
            client_timeout_at,
            ..Invocation::default()
        };
        self.invocations.insert(arrival.invocation, invocation);
        self.load_shedder.record_value(trigger.billed_value);
        self.order_quota.record_accepted(now);
        let info = FunctionInfo {
            function: arrival.function,
            fingerprint: arrival.fingerprint,
            trigger: arrival.trigger,
            lanes: arrival.lanes,
        };
        self.functions.register(&info, now);
        self.functions.invocation_accepted(arrival.function);
        self.functions[arrival.function].hint_load_time(arrival.load_hint);
        self.update_placement(arrival.function);
    }

    /// Returns an unfinished invocation and its function.
    fn find_invocation(&self, index: InvocationIndex) -> Option<(&Invocation, &Function)> {
        let invocation = self.invocations.get(index)?;
        Some((invocation, self.functions.get(invocation.function)?))
    }
}
