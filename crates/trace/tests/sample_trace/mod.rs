//! Trace files of a simulated router with one function and three workers, for tests.
#![allow(dead_code, reason = "each test binary uses a part of this module")]

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

/// Microseconds in a millisecond.
pub const MILLISECOND: Micros = 1_000;

/// The start record of the simulated router.
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
            granularity: MILLISECOND,
        },
        limits: DispatchLimits {
            max_dispatches: 4,
            cancellation: true,
            connect_timeout: 250 * MILLISECOND,
            ..Default::default()
        },
        rules: RuleLimits {
            slow_start_fraction: 1.0,
            overload_multiple: 1e9,
            overload_window: 1_000 * MILLISECOND,
            ..Default::default()
        },
        triggers: vec![TriggerType {
            effect: Effect::IdempotentByKey {
                scope: DeduplicationScope::Zone,
                window: 8_000 * MILLISECOND,
            },
            latency_objective: 800 * MILLISECOND,
            objective_work_multiple: 0.5,
            client_timeout: 4_000 * MILLISECOND,
            billed_value: 2.5,
            late_value_fraction: 0.1,
            streamed: false,
        }],
        accounts: vec![Account {
            quota_per_s: 1e9,
            share: 1.0,
        }],
        loads: LoadSettings {
            idle_retention: 30_000 * MILLISECOND,
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
        state: StateLimits::default(),
    }
}

/// A simulated router with the current block of its trace.
struct SimulatedRouter<F> {
    balancer: cedarpulley::Balancer,
    block: BlockBuilder,
    now: Micros,
    decisions: u64,
    /// Changes the recorded actions of the decision with this number.
    change: F,
}

impl<F: Fn(u64, &mut Vec<Action>)> SimulatedRouter<F> {
    /// Records a decision; returns the actions before `change`.
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

    /// Records an endpoint list with three workers.
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

    /// Accepts an invocation; each dispatch of it succeeds after a millisecond.
    fn invoke(&mut self, invocation: InvocationIndex) {
        self.now += 3 * MILLISECOND;
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
            load_hint: Some(50 * MILLISECOND),
            copy_mb: 10.0,
            lanes: 8,
            client_timeout_in: 3_000 * MILLISECOND,
            waited: 5,
            repeat: false,
            preferred_worker: None,
        };
        let actions = self.decide(RecordedEvent::Other(Event::Invocation(arrival)));
        self.now += MILLISECOND;
        for action in actions {
            if let Action::Dispatch {
                invocation, worker, ..
            } = action
            {
                self.succeed(invocation, worker);
            }
        }
    }

    /// Records the successful answer and the end of a dispatch.
    fn succeed(&mut self, invocation: InvocationIndex, worker: WorkerIndex) {
        let answered = Record::Answered {
            invocation: Some(invocation),
            front: 0,
            outcome: FinalOutcome::Succeeded,
            reason: AnswerReason::Worker,
            trigger: 0,
            account: 0,
            took: MILLISECOND,
        };
        self.block.record(self.now, &answered);
        let ended = DispatchEnded {
            invocation,
            dispatch: 0,
            worker,
            outcome: DispatchOutcome::Succeeded,
            took: MILLISECOND,
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

/// A trace file with the given number of blocks, with four invocations each. `change` may change the recorded actions
/// of the decision whose number it is called with.
pub fn trace_file(blocks: usize, change: impl Fn(u64, &mut Vec<Action>)) -> Vec<u8> {
    let start = start();
    let mut file = TraceFileWriter::begin(Vec::new(), &[start.clone().into()]).expect("written");
    let mut router = SimulatedRouter {
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

/// The locations of all blocks, from the index.
pub fn block_locations(bytes: &[u8]) -> Vec<BlockLocation> {
    let mut reader = Reader::open(Cursor::new(bytes)).expect("a trace");
    assert!(reader.has_index());
    std::iter::from_fn(|| reader.next_location().expect("read")).collect()
}
