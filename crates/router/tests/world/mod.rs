//! A router core with its module, and a small world of one answer at a time around it.
#![allow(dead_code, reason = "each test file uses its part")]

use std::sync::Arc;

use bytes::Bytes;
use cedarpulley::Balancer;
use cedarpulley::interface::*;
use cedarpulley_router::concurrency_limit::FrontState;
use cedarpulley_router::endpoint_list::ListedWorker;
use cedarpulley_router::replication::{ReplicationEvent, ReplicationRequest};
use cedarpulley_router::*;

pub const MS: Micros = 1_000;
pub const SECOND: Micros = 1_000_000;
pub const IDEMPOTENT: u32 = 0;
pub const TOKENED: u32 = 1;
pub const NON_IDEMPOTENT: u32 = 2;
pub const WINDOW: Micros = 8 * SECOND;
pub const TIMEOUT: Micros = 10 * SECOND;
pub const MARGIN: Micros = 50 * MS;

pub struct World {
    pub router: Router,
    pub now: Micros,
    pub out: Vec<Output>,
}

pub fn triggers() -> Vec<TriggerType> {
    let scope = DeduplicationScope::All;
    let effects = [
        Effect::Idempotent,
        Effect::IdempotentByKey {
            scope,
            window: WINDOW,
        },
        Effect::NonIdempotent,
    ];
    let kind = |effect| TriggerType {
        effect,
        latency_objective: 800 * MS,
        objective_work_multiple: 0.0,
        client_timeout: TIMEOUT,
        billed_value: 1.0,
        late_value_fraction: 0.1,
        streamed: false,
    };
    effects.map(kind).to_vec()
}

fn control(load_orders: bool) -> Balancer {
    let limits = DispatchLimits {
        max_dispatches: 4,
        hedged_requests: false,
        cancellation: true,
        probes: false,
        connect_timeout: 250 * MS,
        max_retry_after: SECOND,
    };
    let rules = RuleLimits {
        drain_grace: 500 * MS,
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
        granularity: MS,
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
        triggers(),
        accounts,
        loads,
        prices,
        ReportSource::Nothing,
    )
}

pub fn listed(id: &str, state: EndpointState) -> ListedWorker {
    ListedWorker {
        address: id.into(),
        zone: 0,
        machine_kind: 0,
        cell: 0,
        state,
        weight: 1.0,
        started_at: None,
    }
}

impl World {
    /// With so many workers in service and one front that is up.
    pub fn new(workers: u32) -> World {
        World::with(workers, [false; 2], None)
    }

    /// One of a group; types that go alone are named.
    pub fn shared(workers: u32, alone: [bool; 3]) -> World {
        let sharing = replication::ReplicationSettings {
            without_majority: alone.to_vec(),
            permission_validity: SECOND,
        };
        World::with(workers, [false; 2], Some(sharing))
    }

    /// Where nothing beside the module chooses.
    pub fn alone(workers: u32) -> World {
        World::with(workers, [true, false], None)
    }

    /// Where loads are ordered.
    pub fn ordering(workers: u32) -> World {
        World::with(workers, [false, true], None)
    }

    fn with(
        workers: u32,
        [balancer_only, orders]: [bool; 2],
        sharing: Option<replication::ReplicationSettings>,
    ) -> World {
        let terms = CoreSettings {
            answer_margin: MARGIN,
            clock_margin: 50 * MS,
            memory_bytes: 1 << 20,
            front_weights: vec![1.0, 1.0],
            account_shares: vec![1.0],
            order_timeout: 5 * SECOND,
            balancer_only,
            drain_grace: SECOND,
            replication: sharing,
        };
        let mut w = World {
            router: Router::new(control(orders), triggers(), terms),
            now: SECOND,
            out: Vec::new(),
        };
        let ids: Vec<String> = (0..workers)
            .map(|n| format!("127.0.0.1:{}", 9000 + n))
            .collect();
        let workers = ids
            .iter()
            .map(|id| listed(id, EndpointState::InService))
            .collect();
        w.feed(Input::EndpointList {
            kind: EndpointListKind::Complete,
            workers,
        });
        w.front(FrontState::Up);
        w
    }

    pub fn feed(&mut self, input: Input) {
        self.out.clear();
        self.router.handle(self.now, input, &mut self.out);
    }

    /// Changes of the list.
    pub fn list(&mut self, workers: &[(&str, EndpointState)]) {
        let workers = workers
            .iter()
            .map(|(id, standing)| listed(id, *standing))
            .collect();
        self.feed(Input::EndpointList {
            kind: EndpointListKind::Changes,
            workers,
        });
    }

    pub fn front(&mut self, state: FrontState) {
        self.feed(Input::FrontChanged { front: 0, state });
    }

    /// Lets time pass, with every timer at its moment; gathers all that comes out.
    pub fn pass(&mut self, time: Micros) {
        let until = self.now + time;
        let mut all = Vec::new();
        while let Some(due) = self.router.next_due().filter(|d| *d <= until) {
            self.now = self.now.max(due);
            self.feed(Input::Tick);
            all.append(&mut self.out);
        }
        self.now = until;
        self.out = all;
    }

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
            client_timeout: TIMEOUT,
            cost_hint: None,
            load_hint: Some(50 * MS),
            copy_mb: 1.0,
            lanes: 100_000,
            session: None,
            requested_function: None,
            preferred_worker: None,
            predetermined_answer: None,
            body: Bytes::from_static(b"{}").into(),
        }
    }

    pub fn take(&mut self, id: &str, trigger: u32, life: u32, tag: u64) {
        let message = self.message(id, trigger, life, tag);
        self.feed(Input::MessageArrived(message));
    }

    pub fn again(&mut self, id: &str, trigger: u32, life: u32, tag: u64, waited: Micros) {
        let message = IncomingInvocation {
            redelivered: true,
            waited,
            ..self.message(id, trigger, life, tag)
        };
        self.feed(Input::MessageArrived(message));
    }

    pub fn sent(&self) -> Vec<Ticket> {
        self.out
            .iter()
            .filter_map(|o| {
                if let Output::Send { ticket, .. } = o {
                    Some(*ticket)
                } else {
                    None
                }
            })
            .collect()
    }

    pub fn answers(&self) -> Vec<(u64, FinalOutcome, AnswerReason)> {
        let answer = |o: &Output| match o {
            Output::Answer { delivery, answer } => {
                Some((delivery.tag, answer.outcome, answer.reason))
            }
            _ => None,
        };
        self.out.iter().filter_map(answer).collect()
    }

    pub fn asked(&self) -> Vec<ReplicationRequest> {
        self.out
            .iter()
            .filter_map(|o| {
                if let Output::Replication(a) = o {
                    Some(a.clone())
                } else {
                    None
                }
            })
            .collect()
    }

    pub fn told(&mut self, told: ReplicationEvent) {
        self.feed(Input::Replication(told));
    }

    pub fn end(&mut self, ticket: Ticket, outcome: DispatchOutcome) {
        self.feed(Input::DispatchEnded {
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
