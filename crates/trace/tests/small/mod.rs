//! A small router's trace, for tests; each uses its part.
#![allow(dead_code, reason = "each test binary uses its part")]

use std::io::Cursor;

use cedarpulley::interface::*;
use cedarpulley_router::{AnswerReason, FinalOutcome};
use cedarpulley_startup::StartupSettings;
use cedarpulley_trace::block_index::BlockLocation;
use cedarpulley_trace::blocks::BlockBuilder;
use cedarpulley_trace::reader::Reader;
use cedarpulley_trace::records::{NameKind, Record, RecordedEvent};
use cedarpulley_trace::start::{StartRecord, module_digest};
use cedarpulley_trace::writer::TraceFileWriter;

pub const MS: Micros = 1_000;

pub fn start() -> StartRecord {
    StartRecord {
        router: "router-0".into(),
        module_digest: module_digest(),
        settings_digest: [7; 32],
        file_number: 0,
        wall_at_zero: 1_700_000_000_000_000,
        trigger_names: vec!["quote".into()],
        account_names: vec!["amber".into()],
        front_names: vec!["amqp".into()],
        seed: 9,
        startup: startup(),
    }
}

fn startup() -> StartupSettings {
    StartupSettings {
        fleet: FleetPosition {
            routers: 1,
            position: 0,
            zone: 0,
            granularity: MS,
        },
        limits: DispatchLimits {
            max_dispatches: 4,
            cancellation: true,
            connect_timeout: 250 * MS,
            ..Default::default()
        },
        rules: RuleLimits {
            slow_start_fraction: 1.0,
            overload_multiple: 1e9,
            overload_window: 1_000 * MS,
            ..Default::default()
        },
        triggers: vec![TriggerType {
            effect: Effect::IdempotentByKey {
                scope: DeduplicationScope::Zone,
                window: 8_000 * MS,
            },
            latency_objective: 800 * MS,
            objective_work_multiple: 0.5,
            client_timeout: 4_000 * MS,
            billed_value: 2.5,
            late_value_fraction: 0.1,
            streamed: false,
        }],
        accounts: vec![Account {
            quota_per_s: 1e9,
            share: 1.0,
        }],
        loads: LoadSettings {
            idle_retention: 30_000 * MS,
            loads_when_absent: true,
            reports_copy_status: true,
            memory_mb: vec![4096.0],
            ..Default::default()
        },
        prices: Prices {
            over_quota: 1.0,
            ..Default::default()
        },
        reports: ReportSource::Answers,
    }
}

/// A small router with the present block of its trace.
struct SmallRouter<F> {
    balancer: cedarpulley::Balancer,
    block: BlockBuilder,
    now: Micros,
    decisions: u64,
    /// Changes the recorded actions of the decision with this number.
    change: F,
}

impl<F: Fn(u64, &mut Vec<Action>)> SmallRouter<F> {
    /// Records a decision; returns the actions as they were decided.
    fn decide(&mut self, event: RecordedEvent) -> Vec<Action> {
        let mut actions = Vec::new();
        self.balancer.handle(self.now, &event.event(), &mut actions);
        self.decisions += 1;
        let decided = actions.clone();
        (self.change)(self.decisions, &mut actions);
        self.block
            .record(self.now, &Record::Decided { event, actions });
        decided
    }

    fn list_workers(&mut self) {
        let endpoint = |worker| Endpoint {
            worker,
            fingerprint: u64::from(worker) + 99,
            zone: 0,
            machine_kind: 0,
            cell: 0,
            state: EndpointState::InService,
            weight: 1.0,
            started_at: None,
        };
        for worker in 0..3 {
            let address = format!("127.0.0.1:{worker}");
            self.block
                .name(self.now, NameKind::Worker, worker, &address);
        }
        self.decide(RecordedEvent::List {
            kind: EndpointListKind::Complete,
            endpoints: (0..3).map(endpoint).collect(),
        });
    }

    /// Accepts an invocation and succeeds at once in every dispatch.
    fn invoke(&mut self, invocation: InvocationIndex) {
        self.now += 3 * MS;
        let accepted = Record::Accepted {
            invocation,
            front: 0,
            correlation_hash: Some(u64::from(invocation)),
            redelivered: false,
        };
        self.block.record(self.now, &accepted);
        let arrival = Arrival {
            invocation,
            trigger: 0,
            account: 0,
            function: 0,
            fingerprint: cedarpulley::ids::fingerprint("quote:7"),
            cost_hint: None,
            load_hint: Some(50 * MS),
            copy_mb: 10.0,
            lanes: 8,
            client_timeout_in: 3_000 * MS,
            waited: 5,
            repeat: false,
            preferred_worker: None,
        };
        let actions = self.decide(RecordedEvent::Other(Event::Invocation(arrival)));
        self.now += MS;
        for action in actions {
            if let Action::Dispatch {
                invocation, worker, ..
            } = action
            {
                self.succeed(invocation, worker);
            }
        }
    }

    fn succeed(&mut self, invocation: InvocationIndex, worker: WorkerIndex) {
        let answered = Record::Answered {
            invocation: Some(invocation),
            front: 0,
            outcome: FinalOutcome::Succeeded,
            reason: AnswerReason::Worker,
            trigger: 0,
            account: 0,
            took: MS,
        };
        self.block.record(self.now, &answered);
        let ended = DispatchEnded {
            invocation,
            dispatch: 0,
            worker,
            outcome: DispatchOutcome::Succeeded,
            took: MS,
            answered: true,
            copy_status: CopyStatus::Warm,
            function_load: Some(1),
            report: LoadReport {
                utilization: Some(0.25),
                ..Default::default()
            },
        };
        self.decide(RecordedEvent::Other(Event::DispatchEnded(ended)));
    }
}

/// What a small router would have seen, as its module decided it, in so many blocks.
pub fn written(blocks: usize, change: impl Fn(u64, &mut Vec<Action>)) -> Vec<u8> {
    let start = start();
    let mut file = TraceFileWriter::begin(Vec::new(), &[start.clone().into()]).expect("written");
    let mut router = SmallRouter {
        balancer: start.balancer(),
        block: BlockBuilder::default(),
        now: 0,
        decisions: 0,
        change,
    };
    for block in 0..blocks {
        router
            .block
            .name(router.now, NameKind::Function, 0, "quote:7");
        if block == 0 {
            router.list_workers();
        }
        (0..4).for_each(|invocation| router.invoke(invocation));
        file.write_block(0, &router.block.close()).expect("written");
    }
    file.finish().expect("written")
}

/// Of all blocks, by the index.
pub fn block_locations(bytes: &[u8]) -> Vec<BlockLocation> {
    let mut reader = Reader::open(Cursor::new(bytes)).expect("a trace");
    assert!(reader.has_index());
    std::iter::from_fn(|| reader.next_location().expect("read")).collect()
}
