//! A small router's trace, for tests; each uses its part.
#![allow(dead_code, reason = "each test binary uses its part")]

use std::io::Cursor;

use cedarpulley::interface::*;
use cedarpulley_router::{Fate, Reason};
use cedarpulley_startup::StartupSettings;
use cedarpulley_trace::block_index::BlockLocation;
use cedarpulley_trace::blocks::Gather;
use cedarpulley_trace::reader::Reader;
use cedarpulley_trace::records::{Record, RecordedEvent, Space};
use cedarpulley_trace::start::{Start, module_digest};
use cedarpulley_trace::writer::Sheet;

pub const MS: Micros = 1_000;

pub fn start() -> Start {
    Start {
        router: "router-0".into(),
        module: module_digest(),
        settings: [7; 32],
        file: 0,
        wall_at_zero: 1_700_000_000_000_000,
        triggers_named: vec!["quote".into()],
        accounts_named: vec!["amber".into()],
        fronts_named: vec!["amqp".into()],
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

/// What a small router would have seen, as its module decided it, in so many blocks.
pub fn written(blocks: usize, change: impl Fn(u64, &mut Vec<Action>)) -> Vec<u8> {
    let start = start();
    let mut control = start.balancer();
    let mut sheet = Sheet::begin(Vec::new(), &[start.clone().into()]).expect("written");
    let (mut now, mut decision) = (0, 0);
    for block in 0..blocks {
        let mut g = Gather::default();
        let mut told = |g: &mut Gather, now: Micros, happened: RecordedEvent| {
            let mut actions = Vec::new();
            control.handle(now, &happened.event(), &mut actions);
            decision += 1;
            let asked = actions.clone();
            change(decision, &mut actions);
            g.record(
                now,
                &Record::Decided {
                    event: happened,
                    actions,
                },
            );
            asked
        };
        g.name(now, Space::Function, 0, "quote:7");
        let entries = (0..3).map(|worker| Endpoint {
            worker,
            fingerprint: u64::from(worker) + 99,
            zone: 0,
            machine_kind: 0,
            cell: 0,
            state: EndpointState::InService,
            weight: 1.0,
            started_at: None,
        });
        if block == 0 {
            (0..3).for_each(|w| g.name(now, Space::Worker, w, &format!("127.0.0.1:{w}")));
            told(
                &mut g,
                now,
                RecordedEvent::List {
                    kind: EndpointListKind::Complete,
                    endpoints: entries.collect(),
                },
            );
        }
        for inv in 0..4 {
            now += 3 * MS;
            g.record(
                now,
                &Record::Taken {
                    inv,
                    front: 0,
                    mark: Some(u64::from(inv)),
                    redelivered: false,
                },
            );
            let arrival = Arrival {
                invocation: inv,
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
            let asked = told(
                &mut g,
                now,
                RecordedEvent::Other(Event::Invocation(arrival)),
            );
            now += MS;
            for action in asked {
                let Action::Dispatch {
                    invocation: inv,
                    worker,
                    ..
                } = action
                else {
                    continue;
                };
                let (fate, reason) = (Fate::Succeeded, Reason::Worker);
                g.record(
                    now,
                    &Record::Answered {
                        inv: Some(inv),
                        front: 0,
                        fate,
                        reason,
                        trigger: 0,
                        account: 0,
                        took: MS,
                    },
                );
                let ending = DispatchEnded {
                    invocation: inv,
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
                told(
                    &mut g,
                    now,
                    RecordedEvent::Other(Event::DispatchEnded(ending)),
                );
            }
        }
        sheet.block(0, &g.close()).expect("written");
    }
    sheet.end().expect("written")
}

/// Of all blocks, by the index.
pub fn block_locations(bytes: &[u8]) -> Vec<BlockLocation> {
    let mut reader = Reader::open(Cursor::new(bytes)).expect("a trace");
    assert!(reader.has_index());
    std::iter::from_fn(|| reader.next_place().expect("read")).collect()
}
