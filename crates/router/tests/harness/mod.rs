//! A test harness around a router core with a real balancer: it passes inputs to the core and retains the outputs of the
//! last one.
#![allow(dead_code, reason = "each test file uses a part of the harness")]

use std::sync::Arc;

use bytes::Bytes;
use cedarpulley::Balancer;
use cedarpulley::interface::*;
use cedarpulley_router::concurrency_limit::FrontState;
use cedarpulley_router::endpoint_list::ListedWorker;
use cedarpulley_router::replication::{ReplicationEvent, ReplicationRequest};
use cedarpulley_router::*;

/// Microseconds in a millisecond.
pub const MILLISECOND: Micros = 1_000;
/// Microseconds in a second.
pub const SECOND: Micros = 1_000_000;
/// Index of the trigger type whose invocations are idempotent.
pub const IDEMPOTENT: u32 = 0;
/// Index of the trigger type whose invocations are idempotent by key.
pub const IDEMPOTENT_BY_KEY: u32 = 1;
/// Index of the trigger type whose invocations are non-idempotent.
pub const NON_IDEMPOTENT: u32 = 2;
/// Deduplication window of the workers, in microseconds.
pub const DEDUPLICATION_WINDOW: Micros = 8 * SECOND;
/// Client timeout of all trigger types, in microseconds.
pub const CLIENT_TIMEOUT: Micros = 10 * SECOND;
/// How long before the client timeout the final answer is due, in microseconds.
pub const ANSWER_MARGIN: Micros = 50 * MILLISECOND;

/// A router core, its clock and its outputs.
pub struct RouterHarness {
    pub core: Router,
    /// The current time in microseconds.
    pub now: Micros,
    /// The outputs of the last input, or of all inputs of the last [`RouterHarness::advance`].
    pub outputs: Vec<Output>,
}

/// One trigger type for each effect, in the order of their indices.
pub fn triggers() -> Vec<TriggerType> {
    triggers_with(DeduplicationScope::All)
}

/// As [`triggers`], with this deduplication scope of the invocations that are idempotent by key.
fn triggers_with(scope: DeduplicationScope) -> Vec<TriggerType> {
    let effects = [
        Effect::Idempotent,
        Effect::IdempotentByKey {
            scope,
            window: DEDUPLICATION_WINDOW,
        },
        Effect::NonIdempotent,
    ];
    let trigger_type = |effect| TriggerType {
        effect,
        latency_objective: 800 * MILLISECOND,
        objective_work_multiple: 0.0,
        client_timeout: CLIENT_TIMEOUT,
        billed_value: 1.0,
        late_value_fraction: 0.1,
        streamed: false,
    };
    effects.map(trigger_type).to_vec()
}

/// A balancer with one account whose quota is never used up.
fn balancer(load_orders: bool, triggers: Vec<TriggerType>) -> Balancer {
    let limits = DispatchLimits {
        max_dispatches: 4,
        hedged_requests: false,
        cancellation: true,
        probes: false,
        connect_timeout: 250 * MILLISECOND,
        max_retry_after: SECOND,
    };
    let rules = RuleLimits {
        drain_grace: 500 * MILLISECOND,
        slow_start_fraction: 1.0,
        overload_multiple: 1e9,
        overload_window: SECOND,
        ..RuleLimits::default()
    };
    let loads = LoadSettings {
        idle_retention: 30 * SECOND,
        loads_when_absent: true,
        load_orders,
        ..LoadSettings::default()
    };
    let fleet = FleetPosition {
        routers: 1,
        position: 0,
        zone: 0,
        granularity: MILLISECOND,
    };
    let accounts = vec![Account {
        quota_per_s: 1e9,
        share: 1.0,
    }];
    let prices = Prices::default();
    Balancer::new(
        1,
        fleet,
        limits,
        rules,
        triggers,
        accounts,
        loads,
        prices,
        ReportSource::Nothing,
    )
}

/// A worker in the endpoint list.
pub fn listed_worker(address: &str, state: EndpointState) -> ListedWorker {
    ListedWorker {
        address: address.into(),
        zone: 0,
        machine_kind: 0,
        cell: 0,
        state,
        weight: 1.0,
        started_at: None,
    }
}

impl RouterHarness {
    /// A router with `workers` workers in service and one front that is up. Like the following constructors, it starts
    /// one second after time 0.
    pub fn new(workers: u32) -> RouterHarness {
        RouterHarness::with_settings(workers, [false; 2], None)
    }

    /// A member of a group of routers. `without_majority`: for each trigger type, whether it may run without a majority.
    pub fn in_group(workers: u32, without_majority: [bool; 3]) -> RouterHarness {
        let replication = replication::ReplicationSettings {
            without_majority: without_majority.to_vec(),
            permission_validity: SECOND,
        };
        RouterHarness::with_settings(workers, [false; 2], Some(replication))
    }

    /// A router in which only the balancer decides.
    pub fn balancer_only(workers: u32) -> RouterHarness {
        RouterHarness::with_settings(workers, [true, false], None)
    }

    /// A router whose balancer sends load orders.
    pub fn with_load_orders(workers: u32) -> RouterHarness {
        RouterHarness::with_settings(workers, [false, true], None)
    }

    /// A router in which only the balancer decides, with this deduplication scope.
    pub fn with_key_scope(workers: u32, scope: DeduplicationScope) -> RouterHarness {
        RouterHarness::with_triggers(workers, [true, false], None, triggers_with(scope))
    }

    fn with_settings(
        workers: u32,
        flags: [bool; 2],
        replication: Option<replication::ReplicationSettings>,
    ) -> RouterHarness {
        RouterHarness::with_triggers(workers, flags, replication, triggers())
    }

    fn with_triggers(
        workers: u32,
        [balancer_only, load_orders]: [bool; 2],
        replication: Option<replication::ReplicationSettings>,
        triggers: Vec<TriggerType>,
    ) -> RouterHarness {
        let settings = CoreSettings {
            answer_margin: ANSWER_MARGIN,
            clock_margin: 50 * MILLISECOND,
            memory_bytes: 1 << 20,
            front_weights: vec![1.0, 1.0],
            account_shares: vec![1.0],
            order_timeout: 5 * SECOND,
            balancer_only,
            drain_grace: SECOND,
            replication,
        };
        let mut harness = RouterHarness {
            core: Router::new(balancer(load_orders, triggers.clone()), triggers, settings),
            now: SECOND,
            outputs: Vec::new(),
        };
        let addresses: Vec<String> = (0..workers)
            .map(|n| format!("127.0.0.1:{}", 9000 + n))
            .collect();
        let workers = addresses
            .iter()
            .map(|address| listed_worker(address, EndpointState::InService))
            .collect();
        harness.handle(Input::EndpointList {
            kind: EndpointListKind::Complete,
            workers,
        });
        harness.set_front_state(FrontState::Up);
        harness
    }

    /// Passes an input to the core.
    pub fn handle(&mut self, input: Input) {
        self.outputs.clear();
        self.core.handle(self.now, input, &mut self.outputs);
    }

    /// Reports changes of the endpoint list.
    pub fn update_endpoints(&mut self, workers: &[(&str, EndpointState)]) {
        let workers = workers
            .iter()
            .map(|(address, state)| listed_worker(address, *state))
            .collect();
        self.handle(Input::EndpointList {
            kind: EndpointListKind::Changes,
            workers,
        });
    }

    /// Changes the state of the front's connection.
    pub fn set_front_state(&mut self, state: FrontState) {
        self.handle(Input::FrontChanged { front: 0, state });
    }

    /// Advances the clock by `duration` and lets every timer fire at its time; collects the outputs of all timers.
    pub fn advance(&mut self, duration: Micros) {
        let until = self.now + duration;
        let mut all = Vec::new();
        while let Some(due) = self.core.next_due().filter(|due| *due <= until) {
            self.now = self.now.max(due);
            self.handle(Input::Tick);
            all.append(&mut self.outputs);
        }
        self.now = until;
        self.outputs = all;
    }

    /// Builds a message whose identity, name and idempotency key are all `id`.
    pub fn message(
        &self,
        id: &str,
        trigger: u32,
        incarnation: u32,
        tag: u64,
    ) -> IncomingInvocation {
        IncomingInvocation {
            delivery: Delivery {
                front: 0,
                incarnation,
                tag,
            },
            identity: Some(Arc::from(id)),
            name: Some(Arc::from(id)),
            redelivered: false,
            client_retry: false,
            trigger,
            account: 0,
            function: Arc::from("f"),
            idempotency_key: Some(Arc::from(id)),
            waited: 0,
            client_timeout: CLIENT_TIMEOUT,
            cost_hint: None,
            load_hint: Some(50 * MILLISECOND),
            copy_mb: 1.0,
            lanes: 100_000,
            session: None,
            requested_function: None,
            preferred_worker: None,
            predetermined_answer: None,
            body: Bytes::from_static(b"{}").into(),
        }
    }

    /// Delivers a message for the first time. `incarnation`: of the front's connection.
    pub fn receive(&mut self, id: &str, trigger: u32, incarnation: u32, tag: u64) {
        let message = self.message(id, trigger, incarnation, tag);
        self.handle(Input::MessageArrived(message));
    }

    /// Redelivers a message that its client sent `waited` microseconds ago.
    pub fn redeliver(
        &mut self,
        id: &str,
        trigger: u32,
        incarnation: u32,
        tag: u64,
        waited: Micros,
    ) {
        let message = IncomingInvocation {
            redelivered: true,
            waited,
            ..self.message(id, trigger, incarnation, tag)
        };
        self.handle(Input::MessageArrived(message));
    }

    /// The dispatches among the outputs.
    pub fn sent_tickets(&self) -> Vec<Ticket> {
        self.outputs
            .iter()
            .filter_map(|output| {
                if let Output::Send { ticket, .. } = output {
                    Some(*ticket)
                } else {
                    None
                }
            })
            .collect()
    }

    /// The answers among the outputs: tag of the delivery, outcome and reason.
    pub fn answers(&self) -> Vec<(u64, FinalOutcome, AnswerReason)> {
        let answer = |output: &Output| match output {
            Output::Answer { delivery, answer } => {
                Some((delivery.tag, answer.outcome, answer.reason))
            }
            _ => None,
        };
        self.outputs.iter().filter_map(answer).collect()
    }

    /// The requests to the group of routers among the outputs.
    pub fn replication_requests(&self) -> Vec<ReplicationRequest> {
        self.outputs
            .iter()
            .filter_map(|output| {
                if let Output::Replication(request) = output {
                    Some(request.clone())
                } else {
                    None
                }
            })
            .collect()
    }

    /// Passes an event of the group of routers to the core.
    pub fn handle_replication_event(&mut self, event: ReplicationEvent) {
        self.handle(Input::Replication(event));
    }

    /// Ends a dispatch with this outcome.
    pub fn end_dispatch(&mut self, ticket: Ticket, outcome: DispatchOutcome) {
        self.handle(Input::DispatchEnded {
            ticket,
            outcome,
            copy_status: CopyStatus::Unreported,
            function_load: None,
            report: LoadReport::default(),
            memory_held: None,
            body: Bytes::from_static(b"done").into(),
        });
    }
}
