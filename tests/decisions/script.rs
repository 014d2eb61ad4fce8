//! A scripted environment for one router: a test sends events to the balancer and ends its dispatches. Records of each
//! invocation are used to check the five safety rules after every event.

use std::collections::{BTreeMap, BTreeSet};

use cedarpulley::Balancer;
use cedarpulley::interface::*;

pub const SECOND: Micros = 1_000_000;
pub const MS: Micros = 1_000;
pub const CONNECT_TIMEOUT: Micros = 250 * MS;
pub const DRAIN_GRACE: Micros = 500 * MS;
pub const ANSWER_SLACK: Micros = 16 * MS;
pub const SLOW_START_DURATION: Micros = 10 * SECOND;
pub const SLOW_START_FRACTION: f64 = 0.2;
pub const OVERLOAD_WINDOW: Micros = SECOND;
pub const OVERLOAD_MULTIPLE: f64 = 1.0;
/// Mean service time of an invocation in the random runs.
pub const MEAN_WORK: Micros = 95 * MS;
/// Less than a quarter of the latency objective, so that this limit determines the Retry-After.
pub const MAX_RETRY_AFTER: Micros = 100 * MS;
pub const IDLE_RETENTION: Micros = 10 * SECOND;

/// The settings in which the simulated sites differ.
#[derive(Clone, Copy, Debug)]
pub struct Site {
    /// Whether load orders may be sent.
    pub orders: bool,
    /// Whether workers load functions on demand.
    pub loads_when_absent: bool,
    pub hedged_requests: bool,
    pub order_quota: bool,
    pub key_scope: DeduplicationScope,
    /// Whether health checks may be sent to workers.
    pub health_checks: bool,
    pub routers: u32,
    pub quota_per_s: f64,
    /// Billed value of the third trigger type; of the others it is 1.
    pub third_type_value: f64,
}

/// The default site: workers load functions on demand only.
pub const PLAIN: Site = Site {
    orders: false,
    loads_when_absent: true,
    hedged_requests: false,
    order_quota: false,
    key_scope: DeduplicationScope::All,
    health_checks: true,
    routers: 1,
    quota_per_s: 10.0,
    third_type_value: 1.0,
};

/// The three trigger types, one for each effect: idempotent, idempotent by key, non-idempotent.
pub fn triggers(site: Site) -> Vec<TriggerType> {
    let idempotent_by_key = Effect::IdempotentByKey {
        scope: site.key_scope,
        window: 1_200 * MS,
    };
    [
        (Effect::Idempotent, 1.0),
        (idempotent_by_key, 1.0),
        (Effect::NonIdempotent, site.third_type_value),
    ]
    .map(|(effect, billed_value)| TriggerType {
        effect,
        latency_objective: 800 * MS,
        objective_work_multiple: 1.0,
        client_timeout: 2 * SECOND,
        billed_value,
        late_value_fraction: 0.1,
        streamed: false,
    })
    .to_vec()
}

/// Creates the balancer of the router at this position.
fn router(seed: u64, position: u32, site: Site) -> Balancer {
    Balancer::new(
        seed,
        FleetPosition {
            routers: site.routers,
            position,
            zone: 0,
            granularity: 4 * MS,
        },
        DispatchLimits {
            max_dispatches: 4,
            hedged_requests: site.hedged_requests,
            cancellation: true,
            probes: site.health_checks,
            connect_timeout: CONNECT_TIMEOUT,
            max_retry_after: MAX_RETRY_AFTER,
        },
        RuleLimits {
            answer_slack: ANSWER_SLACK,
            drain_grace: DRAIN_GRACE,
            list_request_timeout: 10 * SECOND,
            list_on_request: false,
            slow_start_fraction: SLOW_START_FRACTION,
            slow_start_duration: SLOW_START_DURATION,
            overload_multiple: OVERLOAD_MULTIPLE,
            overload_window: OVERLOAD_WINDOW,
        },
        triggers(site),
        vec![Account {
            quota_per_s: site.quota_per_s,
            share: 1.0,
        }],
        LoadSettings {
            idle_retention: IDLE_RETENTION,
            load_orders: site.orders,
            loads_when_absent: site.loads_when_absent,
            order_timeout: 10 * SECOND,
            order_quota_window: if site.order_quota { 5 * SECOND } else { 0 },
            order_quota_base: 2.0,
            order_quota_per_invocation: 0.02,
            reports_copy_status: true,
            reports_function_load: false,
            memory_mb: vec![8_000.0],
        },
        Prices::default(),
        ReportSource::Nothing,
    )
}

/// An entry of the endpoint list: workers alternate between two zones, and a cell has two workers.
pub fn entry(worker: WorkerIndex, state: EndpointState, started_at: Option<Micros>) -> Endpoint {
    let fingerprint = 0x9e37_79b9_u64.wrapping_mul(u64::from(worker) + 1);
    let zone = worker % 2;
    Endpoint {
        worker,
        fingerprint,
        zone,
        machine_kind: 0,
        cell: worker / 2,
        state,
        weight: 1.0,
        started_at,
    }
}

/// A dispatch that the balancer has sent.
struct SentDispatch {
    worker: WorkerIndex,
    at: Micros,
    in_flight: bool,
    not_executed: bool,
    /// The router had no connection for it, so it reached no worker.
    without_connection: bool,
}

impl SentDispatch {
    fn may_have_run(&self) -> bool {
        self.in_flight || !self.not_executed
    }
}

/// An invocation with all its dispatches.
struct InvocationRecord {
    effect: Effect,
    client_timeout_at: Micros,
    answered: bool,
    sent: Vec<SentDispatch>,
}

/// The balancer, its clock and timers, and the records from which the rules are checked.
pub struct Script {
    pub balancer: Balancer,
    pub now: Micros,
    /// The cost hint of arriving invocations; the latency objective is extended by it.
    pub cost_hint: Option<Micros>,
    /// The worker that has the session of arriving invocations.
    pub preferred_worker: Option<WorkerIndex>,
    site: Site,
    records: Vec<InvocationRecord>,
    open: BTreeSet<(Micros, InvocationIndex)>,
    /// When the router was notified that a worker drains or is gone.
    drained_at: BTreeMap<WorkerIndex, Micros>,
    /// When workers began to drain, for drains of which the router was not notified.
    pub unnoticed_drains: BTreeMap<WorkerIndex, Micros>,
    /// When the lease of the endpoint list ends; the router is notified of every drain until then.
    lease_until: Option<Micros>,
    started: BTreeMap<WorkerIndex, Micros>,
    sends: Vec<(Micros, WorkerIndex)>,
    successes: Vec<(Micros, WorkerIndex)>,
    orders: Vec<Micros>,
    arrivals: Vec<Micros>,
    pub timers: BTreeSet<(Micros, u64)>,
    pub warm: BTreeSet<(WorkerIndex, FunctionIndex)>,
}

impl Script {
    /// Creates the first router of the site, with this number of workers.
    pub fn new(seed: u64, site: Site, workers: u32) -> Self {
        Script::at_position(0, seed, site, workers)
    }

    /// Creates the router at this position among the routers of the site.
    pub fn at_position(position: u32, seed: u64, site: Site, workers: u32) -> Self {
        let mut script = Script {
            balancer: router(seed, position, site),
            now: 1_000 * SECOND,
            cost_hint: None,
            preferred_worker: None,
            site,
            records: Vec::new(),
            open: BTreeSet::new(),
            drained_at: BTreeMap::new(),
            unnoticed_drains: BTreeMap::new(),
            lease_until: None,
            started: BTreeMap::new(),
            sends: Vec::new(),
            successes: Vec::new(),
            orders: Vec::new(),
            arrivals: Vec::new(),
            timers: BTreeSet::new(),
            warm: BTreeSet::new(),
        };
        let entries: Vec<_> = (0..workers)
            .map(|w| entry(w, EndpointState::InService, None))
            .collect();
        script.send_list(EndpointListKind::Cached, &entries);
        script
    }

    /// Sends an endpoint list.
    pub fn send_list(&mut self, kind: EndpointListKind, endpoints: &[Endpoint]) -> Vec<Action> {
        for e in endpoints {
            match e.state {
                EndpointState::InService => {
                    self.drained_at.remove(&e.worker);
                    if let Some(at) = e.started_at {
                        self.started.insert(e.worker, at);
                        self.warm.retain(|(w, _)| *w != e.worker);
                    }
                }
                _ => {
                    self.drained_at.entry(e.worker).or_insert(self.now);
                }
            }
        }
        self.handle(&Event::EndpointList { kind, endpoints })
    }

    /// Renews the lease of the endpoint list for this span of time, for drains too.
    pub fn renew_lease(&mut self, span: Micros) -> Vec<Action> {
        let until = self.now + span;
        self.lease_until = Some(until);
        let mut actions = self.handle(&Event::EndpointListLease { until });
        if !self.site.health_checks {
            actions.extend(self.renew_drain_lease(until, true));
        }
        actions
    }

    /// Renews the lease of the endpoint list for drains.
    pub fn renew_drain_lease(&mut self, until: Micros, discovery_lost: bool) -> Vec<Action> {
        self.handle(&Event::DrainLease(DrainLease {
            until,
            discovery_lost,
        }))
    }

    /// Ends a health check that was sent `took` ago.
    pub fn end_probe(
        &mut self,
        worker: WorkerIndex,
        outcome: DispatchOutcome,
        took: Micros,
    ) -> Vec<Action> {
        self.handle(&Event::ProbeEnded {
            worker,
            outcome,
            took,
            report: LoadReport::default(),
        })
    }

    /// Sends an invocation, and returns its index and the actions.
    pub fn arrive(
        &mut self,
        trigger: u32,
        function: FunctionIndex,
        lanes: u32,
        client_timeout_in: Micros,
    ) -> (InvocationIndex, Vec<Action>) {
        let invocation = self.records.len() as InvocationIndex;
        let effect = triggers(self.site)[trigger as usize].effect;
        let client_timeout_at = self.now + client_timeout_in;
        self.records.push(InvocationRecord {
            effect,
            client_timeout_at,
            answered: false,
            sent: Vec::new(),
        });
        self.open.insert((client_timeout_at, invocation));
        self.arrivals.push(self.now);
        let arrival = Arrival {
            invocation,
            trigger,
            account: 0,
            function,
            fingerprint: 77 + u64::from(function),
            cost_hint: self.cost_hint,
            load_hint: Some(500 * MS),
            copy_mb: 300.0,
            lanes,
            client_timeout_in,
            waited: 0,
            repeat: false,
            preferred_worker: self.preferred_worker,
        };
        (invocation, self.handle(&Event::Invocation(arrival)))
    }

    /// Requests a copy at this worker.
    pub fn request_copy(&mut self, worker: WorkerIndex, function: FunctionIndex) -> Vec<Action> {
        let function_info = FunctionInfo {
            function,
            fingerprint: 77 + u64::from(function),
            trigger: 0,
            lanes: 1,
        };
        self.handle(&Event::CopyWanted {
            worker,
            function: function_info,
        })
    }

    /// Whether the invocation has no final answer yet.
    pub fn is_unanswered(&self, invocation: InvocationIndex) -> bool {
        !self.records[invocation as usize].answered
    }

    /// Whether a dispatch of the invocation is in flight.
    pub fn is_in_flight(&self, invocation: InvocationIndex) -> bool {
        self.records[invocation as usize]
            .sent
            .iter()
            .any(|d| d.in_flight)
    }

    /// When the client of the invocation stops waiting.
    pub fn client_timeout_at(&self, invocation: InvocationIndex) -> Micros {
        self.records[invocation as usize].client_timeout_at
    }

    /// Lets the client of the invocation leave.
    pub fn client_leaves(&mut self, invocation: InvocationIndex) -> Vec<Action> {
        self.records[invocation as usize].answered = true;
        self.handle(&Event::ClientLeft { invocation })
    }

    /// Ends a dispatch in flight.
    pub fn end(
        &mut self,
        invocation: InvocationIndex,
        dispatch: u32,
        outcome: DispatchOutcome,
        copy_status: CopyStatus,
    ) -> Vec<Action> {
        let record = &mut self.records[invocation as usize];
        let sent = &mut record.sent[dispatch as usize];
        assert!(sent.in_flight, "the script ends a dispatch twice");
        (sent.in_flight, sent.not_executed) = (false, outcome.not_executed());
        sent.without_connection = outcome == DispatchOutcome::NoConnection;
        let (worker, took) = (sent.worker, self.now - sent.at);
        record.answered |= outcome == DispatchOutcome::Succeeded;
        if outcome == DispatchOutcome::Succeeded {
            self.successes.push((self.now, worker));
        }
        let ending = DispatchEnded {
            invocation,
            dispatch,
            worker,
            outcome,
            took,
            answered: record.answered,
            copy_status,
            function_load: None,
            report: LoadReport::default(),
        };
        self.handle(&Event::DispatchEnded(ending))
    }

    /// Ends a load order that was given `took` ago. One that was not sent does not count against the quota.
    pub fn end_order(
        &mut self,
        worker: WorkerIndex,
        function: FunctionIndex,
        result: LoadOrderResult,
        took: Micros,
    ) -> Vec<Action> {
        if result == LoadOrderResult::NotSent {
            let given_at = self.now - took;
            let position = self.orders.iter().rposition(|&at| at == given_at);
            self.orders.remove(position.expect("an order of that time"));
        }
        self.handle(&Event::OrderEnded {
            worker,
            function,
            result,
            took,
            copies: u32::from(result == LoadOrderResult::Loaded),
        })
    }

    /// Advances the clock and sends the events of all timers that become due.
    pub fn advance(&mut self, span: Micros) -> Vec<Action> {
        let until = self.now + span;
        let mut all = Vec::new();
        while let Some(&(at, token)) = self.timers.first().filter(|(at, _)| *at <= until) {
            self.timers.remove(&(at, token));
            self.now = self.now.max(at);
            all.extend(self.handle(&Event::Timer { token }));
        }
        self.now = until;
        all
    }

    /// Sends an event to the balancer, and checks the rules against the returned actions.
    pub fn handle(&mut self, event: &Event) -> Vec<Action> {
        let mut actions = Vec::new();
        self.balancer.handle(self.now, event, &mut actions);
        for action in &actions {
            self.check(action);
        }
        while let Some(&(client_timeout_at, invocation)) = self.open.first() {
            if self.records[invocation as usize].answered {
                self.open.pop_first();
                continue;
            }
            assert!(
                self.now <= client_timeout_at + ANSWER_SLACK,
                "rule 1: {invocation} has no answer when its client gave up"
            );
            break;
        }
        actions
    }

    /// Checks the rules for one action and records it.
    fn check(&mut self, action: &Action) {
        match *action {
            Action::Dispatch {
                invocation, worker, ..
            } => {
                self.check_dispatch(invocation, worker);
                self.check_draining(worker);
                self.sends.push((self.now, worker));
                self.check_slow_start(worker);
            }
            Action::LoadOrder { worker, copies, .. } if copies > 0 => self.check_order(worker),
            Action::Reject {
                invocation,
                retry_after,
                ..
            } => self.check_rejection(invocation, retry_after),
            Action::Fail { invocation } => {
                let record = &mut self.records[invocation as usize];
                assert!(!record.answered, "rule 1: {invocation} is answered twice");
                record.answered = true;
            }
            Action::Timer { token, after } => {
                self.timers.insert((self.now + after, token));
            }
            _ => {}
        }
    }

    /// Rules 1 and 2.
    fn check_dispatch(&mut self, invocation: InvocationIndex, worker: WorkerIndex) {
        let now = self.now;
        let record = &mut self.records[invocation as usize];
        assert!(
            !record.answered,
            "rule 1: {invocation} is dispatched after its answer"
        );
        let in_flight = record.sent.iter().filter(|s| s.in_flight).count();
        assert!(
            in_flight == 0 || (self.site.hedged_requests && in_flight == 1),
            "rule 2: {invocation} is in flight twice"
        );
        let mut may_have_run = record.sent.iter().filter(|s| s.may_have_run());
        match record.effect {
            Effect::Idempotent => {}
            Effect::NonIdempotent => assert!(
                may_have_run.next().is_none(),
                "rule 2: {invocation} may run twice"
            ),
            Effect::IdempotentByKey { scope, window } => {
                for earlier in may_have_run {
                    let same = match scope {
                        DeduplicationScope::All => true,
                        DeduplicationScope::Zone => earlier.worker % 2 == worker % 2,
                        DeduplicationScope::Cell => earlier.worker / 2 == worker / 2,
                    };
                    assert!(
                        same && now - earlier.at < window,
                        "rule 2: {invocation} is repeated where workers do not drop the repeat"
                    );
                }
            }
        }
        record.sent.push(SentDispatch {
            worker,
            at: now,
            in_flight: true,
            not_executed: false,
            without_connection: false,
        });
        let attempts = record.sent.iter().filter(|s| !s.without_connection);
        assert!(
            attempts.count() <= 4,
            "{invocation} is dispatched too often"
        );
    }

    /// Rules 3 and 5.
    fn check_order(&mut self, worker: WorkerIndex) {
        let now = self.now;
        assert!(self.site.orders, "a load order where none is allowed");
        self.check_draining(worker);
        self.orders.push(now);
        let within = |q: &[Micros]| q.iter().filter(|t| now - **t < 5 * SECOND).count() as f64;
        let most = 2.0 + 0.02 * within(&self.arrivals);
        assert!(
            !self.site.order_quota || within(&self.orders) <= most,
            "rule 5: too many orders"
        );
    }

    /// Rules 1 and 2.
    fn check_rejection(&mut self, invocation: InvocationIndex, retry_after: Option<Micros>) {
        let within_limit = retry_after.is_none_or(|t| (1..=MAX_RETRY_AFTER).contains(&t));
        assert!(
            within_limit,
            "{invocation} has a longer Retry-After than the settings allow"
        );
        let record = &mut self.records[invocation as usize];
        assert!(!record.answered, "rule 1: {invocation} is answered twice");
        let ran = record.sent.iter().any(SentDispatch::may_have_run);
        let harmless = match record.effect {
            Effect::Idempotent => true,
            Effect::IdempotentByKey { scope, .. } => scope == DeduplicationScope::All,
            Effect::NonIdempotent => false,
        };
        assert!(
            !ran || harmless,
            "rule 2: {invocation} is rejected though it may have run"
        );
        record.answered = true;
    }

    /// Rule 3.
    fn check_draining(&self, worker: WorkerIndex) {
        let late = self
            .drained_at
            .get(&worker)
            .is_some_and(|t| self.now - t > DRAIN_GRACE);
        assert!(
            !late,
            "rule 3: worker {worker} is sent new work after the drain grace"
        );
        let drain_start = self.unnoticed_drains.get(&worker);
        let drain_start = drain_start.map(|&at| self.lease_until.map_or(at, |until| until.max(at)));
        assert!(
            drain_start.is_none_or(|drain_start| self.now - drain_start <= DRAIN_GRACE),
            "rule 3: worker {worker} drains without notice and is sent new work after the drain grace"
        );
    }

    /// Rule 4. The full capacity of a worker is taken to be the highest throughput of any worker in the last overload
    /// windows, or the throughput of one core if that is higher.
    fn check_slow_start(&self, worker: WorkerIndex) {
        let Some(age) = self
            .started
            .get(&worker)
            .map(|s| self.now - s)
            .filter(|a| *a < SLOW_START_DURATION)
        else {
            return;
        };
        let within = |q: &[(Micros, WorkerIndex)], w: WorkerIndex, from: Micros, to: Micros| {
            let recent = q
                .iter()
                .rev()
                .skip_while(|(t, _)| *t > to)
                .take_while(|(t, _)| *t > from);
            recent.filter(|(_, v)| *v == w).count() as f64
        };
        let full_capacity = (0..16)
            .flat_map(|w| (0..4).map(move |k| (w, k)))
            .map(|(w, k)| {
                within(
                    &self.successes,
                    w,
                    self.now - (k + 1) * OVERLOAD_WINDOW,
                    self.now - k * OVERLOAD_WINDOW,
                )
            })
            .fold(OVERLOAD_WINDOW as f64 / MEAN_WORK as f64, f64::max);
        let capacity_fraction = SLOW_START_FRACTION
            + (1.0 - SLOW_START_FRACTION) * age as f64 / SLOW_START_DURATION as f64;
        let most = (OVERLOAD_MULTIPLE * capacity_fraction * full_capacity).max(1.0);
        let sent = within(&self.sends, worker, self.now - OVERLOAD_WINDOW, self.now);
        assert!(
            sent <= most,
            "rule 4: worker {worker} in slow start is sent {sent}, its capacity is {most}"
        );
    }
}
