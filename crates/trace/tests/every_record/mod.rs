//! One value of every kind that a trace can hold, with numbers that differ from field to field.
#![allow(dead_code, reason = "each test binary uses its part")]

use cedarpulley::ids::fingerprint;
use cedarpulley::interface::*;
use cedarpulley_router::admission_control::RejectionReason;
use cedarpulley_router::{AnswerReason, FinalOutcome};
use cedarpulley_startup::StartupSettings;
use cedarpulley_trace::blocks::BlockBuilder;
use cedarpulley_trace::codec::Encoder;
use cedarpulley_trace::record_codec;
use cedarpulley_trace::records::{NameKind, Record, RecordedEvent};
use cedarpulley_trace::start::{Provenance, Source, StartRecord};
use cedarpulley_trace::writer::TraceFileWriter;

const FUNCTION: &str = "quote:7";
/// Between two records of a block.
const STEP: Micros = 5;

pub const EXTENTS: [Provenance; 4] = [
    Provenance::Original,
    Provenance::Cut,
    Provenance::Stripped,
    Provenance::Redone,
];
const REPORTS: [ReportSource; 3] = [
    ReportSource::Answers,
    ReportSource::Probes,
    ReportSource::Nothing,
];
const OUTCOMES: [DispatchOutcome; 9] = [
    DispatchOutcome::Succeeded,
    DispatchOutcome::Errored,
    DispatchOutcome::Rejected,
    DispatchOutcome::TimedOut,
    DispatchOutcome::Unreachable,
    DispatchOutcome::ConnectionLost,
    DispatchOutcome::Cancelled,
    DispatchOutcome::NotSent,
    DispatchOutcome::NotLoaded,
];
const NOTES: [CopyStatus; 5] = [
    CopyStatus::Unreported,
    CopyStatus::Warm,
    CopyStatus::LoadStarted,
    CopyStatus::LoadAwaited,
    CopyStatus::LoadFailed,
];
const RESULTS: [LoadOrderResult; 6] = [
    LoadOrderResult::Loaded,
    LoadOrderResult::NoCapacity,
    LoadOrderResult::LoadFailed,
    LoadOrderResult::ConnectionLost,
    LoadOrderResult::Unreachable,
    LoadOrderResult::TimedOut,
];
const MODES: [EndpointListKind; 4] = [
    EndpointListKind::Changes,
    EndpointListKind::Complete,
    EndpointListKind::Cached,
    EndpointListKind::Failed,
];
const STANDINGS: [EndpointState; 3] = [
    EndpointState::InService,
    EndpointState::Draining,
    EndpointState::Gone,
];
pub const FATES: [FinalOutcome; 3] = [
    FinalOutcome::Succeeded,
    FinalOutcome::Throttled,
    FinalOutcome::Errored,
];
pub const REASONS: [AnswerReason; 11] = [
    AnswerReason::Worker,
    AnswerReason::GivenUp,
    AnswerReason::Expired,
    AnswerReason::MayHaveRun,
    AnswerReason::Overdue,
    AnswerReason::Functions,
    AnswerReason::Size,
    AnswerReason::Share,
    AnswerReason::NoMajority,
    AnswerReason::SessionOver,
    AnswerReason::Alone,
];
pub const SHORTS: [RejectionReason; 7] = [
    RejectionReason::Stopping,
    RejectionReason::Memory,
    RejectionReason::All,
    RejectionReason::Front,
    RejectionReason::Account,
    RejectionReason::Connection,
    RejectionReason::Worth,
];

/// Every way of writing an optional field of a report, each alone and all together.
fn reports() -> Vec<LoadReport> {
    let all = LoadReport {
        in_flight: Some(1.5),
        queued: Some(2.5),
        utilization: Some(0.25),
        loads_in_progress: Some(3.0),
        memory_fraction: Some(0.75),
    };
    let none = LoadReport::default();
    vec![
        none,
        LoadReport {
            in_flight: all.in_flight,
            ..none
        },
        LoadReport {
            queued: all.queued,
            ..none
        },
        LoadReport {
            utilization: all.utilization,
            ..none
        },
        LoadReport {
            loads_in_progress: all.loads_in_progress,
            ..none
        },
        LoadReport {
            memory_fraction: all.memory_fraction,
            ..none
        },
        all,
    ]
}

fn list(kind: EndpointListKind) -> RecordedEvent {
    let entry = |(n, standing): (usize, &EndpointState)| Endpoint {
        worker: n as u32,
        fingerprint: 1_000 + n as u64,
        zone: 1,
        machine_kind: 2,
        cell: 3,
        state: *standing,
        weight: 1.25,
        started_at: (n > 0).then_some(-17),
    };
    let endpoints = STANDINGS.iter().enumerate().map(entry).collect();
    RecordedEvent::List { kind, endpoints }
}

fn arrival(repeat: bool, preferred_worker: Option<WorkerIndex>) -> Event<'static> {
    Event::Invocation(Arrival {
        invocation: 11,
        trigger: 1,
        account: 2,
        function: 0,
        fingerprint: fingerprint(FUNCTION),
        cost_hint: repeat.then_some(1_300),
        load_hint: preferred_worker.map(|_| 1_400),
        copy_mb: 12.5,
        lanes: 8,
        client_timeout_in: 3_000_000,
        waited: 15,
        repeat,
        preferred_worker,
    })
}

fn ending(outcome: DispatchOutcome, copy_status: CopyStatus, report: LoadReport) -> Event<'static> {
    Event::DispatchEnded(DispatchEnded {
        invocation: 11,
        dispatch: 2,
        worker: 1,
        outcome,
        took: 1_700,
        answered: outcome == DispatchOutcome::Succeeded,
        copy_status,
        function_load: (copy_status == CopyStatus::Warm).then_some(4),
        report,
    })
}

fn order_ended(result: LoadOrderResult) -> Event<'static> {
    Event::OrderEnded {
        worker: 1,
        function: 0,
        result,
        took: 1_800,
        copies: 3,
    }
}

fn probed(outcome: DispatchOutcome, report: LoadReport) -> Event<'static> {
    Event::ProbeEnded {
        worker: 2,
        outcome,
        took: 1_900,
        report,
    }
}

/// Every event with every value of its enumerations.
pub fn events() -> Vec<RecordedEvent> {
    let mut events = vec![
        arrival(false, None),
        arrival(true, Some(2)),
        Event::ClientLeft { invocation: 11 },
        Event::AnswerStarted {
            invocation: 11,
            dispatch: 3,
            worker: 1,
        },
        Event::Timer { token: 1 << 40 },
        Event::CopyWanted {
            worker: 1,
            function: FunctionInfo {
                function: 0,
                fingerprint: fingerprint(FUNCTION),
                trigger: 1,
                lanes: 6,
            },
        },
        Event::CopiesReported {
            worker: 1,
            function: 0,
            copies: 5,
        },
    ];
    let none = LoadReport::default();
    events.extend(OUTCOMES.map(|outcome| ending(outcome, CopyStatus::Unreported, none)));
    events.extend(NOTES.map(|note| ending(DispatchOutcome::Succeeded, note, none)));
    events.extend(
        reports()
            .into_iter()
            .map(|r| ending(DispatchOutcome::Errored, CopyStatus::Warm, r)),
    );
    events.extend(RESULTS.map(order_ended));
    events.extend(OUTCOMES.map(|outcome| probed(outcome, none)));
    events.extend(
        reports()
            .into_iter()
            .map(|r| probed(DispatchOutcome::Succeeded, r)),
    );
    let lists = MODES.into_iter().map(list);
    lists
        .chain(events.into_iter().map(RecordedEvent::Other))
        .collect()
}

/// Every action; those with an optional field twice.
pub fn actions() -> Vec<Action> {
    let (invocation, worker, function) = (11, 1, 0);
    let dispatch = |timeout| Action::Dispatch {
        invocation,
        worker,
        timeout,
    };
    let throttle = |retry_after| Action::Reject {
        invocation,
        retry_after,
    };
    vec![
        dispatch(None),
        dispatch(Some(2_100)),
        Action::Cancel {
            invocation,
            dispatch: 3,
        },
        throttle(None),
        throttle(Some(2_200)),
        Action::Fail { invocation },
        Action::LoadOrder {
            worker,
            function,
            copies: 4,
        },
        Action::Unload { worker, function },
        Action::Probe { worker },
        Action::Timer {
            token: 1 << 41,
            after: 2_300,
        },
        Action::RequestEndpointList { watch: false },
        Action::RequestEndpointList { watch: true },
        Action::ReleaseFunction { function },
    ]
}

fn names() -> Vec<Record> {
    let name = |space, ix, text: &str| Record::Name {
        kind: space,
        index: ix,
        name: text.into(),
    };
    let workers = (0..3).map(|w| name(NameKind::Worker, w, &format!("127.0.0.1:{w}")));
    let function = name(NameKind::Function, 0, FUNCTION);
    std::iter::once(function).chain(workers).collect()
}

fn decided() -> Vec<Record> {
    let timer = RecordedEvent::Other(Event::Timer { token: 7 });
    let of_event = |event| Record::Decided {
        event,
        actions: Vec::new(),
    };
    let of_action = |action| Record::Decided {
        event: timer.clone(),
        actions: vec![action],
    };
    let all = Record::Decided {
        event: timer.clone(),
        actions: actions(),
    };
    let events = events().into_iter().map(of_event);
    let actions = actions().into_iter().map(of_action);
    events.chain(actions).chain([all]).collect()
}

fn answered(
    outcome: FinalOutcome,
    reason: AnswerReason,
    invocation: Option<InvocationIndex>,
) -> Record {
    Record::Answered {
        invocation,
        front: 1,
        outcome,
        reason,
        trigger: 2,
        account: 3,
        took: 2_400,
    }
}

/// Every record; function and workers are named first, as in any block.
pub fn all() -> Vec<Record> {
    let mut all = names();
    all.extend(decided());
    all.extend(
        [None, Some(0x0123_4567_89ab_cdef)].map(|correlation_hash| Record::Accepted {
            invocation: 11,
            front: 1,
            correlation_hash,
            redelivered: correlation_hash.is_some(),
        }),
    );
    all.extend(FATES.map(|fate| answered(fate, AnswerReason::Worker, Some(11))));
    all.extend(REASONS.map(|reason| answered(FinalOutcome::Throttled, reason, None)));
    all.extend(SHORTS.map(|why| Record::Rejected {
        front: 1,
        trigger: 2,
        account: 3,
        reason: why,
    }));
    all.push(Record::Gap {
        records: 300,
        from: -5,
        until: 70_000,
    });
    all
}

/// Times of [`all`] in its block.
pub fn timed() -> Vec<(Micros, Record)> {
    let at = (100..).step_by(STEP as usize);
    at.zip(all()).collect()
}

fn triggers() -> Vec<TriggerType> {
    let tokened = |scope| Effect::IdempotentByKey {
        scope,
        window: 8_000_000,
    };
    let effects = [
        Effect::Idempotent,
        Effect::NonIdempotent,
        tokened(DeduplicationScope::All),
        tokened(DeduplicationScope::Zone),
        tokened(DeduplicationScope::Cell),
    ];
    let trigger = |effect| TriggerType {
        effect,
        latency_objective: 800_000,
        objective_work_multiple: 0.5,
        client_timeout: 4_000_000,
        billed_value: 2.5,
        late_value_fraction: 0.125,
        streamed: effect == Effect::Idempotent,
    };
    effects.map(trigger).into()
}

/// Flags alternate, so that two exchanged ones show.
fn startup(reports: ReportSource) -> StartupSettings {
    StartupSettings {
        fleet: FleetPosition {
            routers: 5,
            position: 3,
            zone: 1,
            granularity: 1_000,
        },
        limits: DispatchLimits {
            max_dispatches: 4,
            hedged_requests: true,
            cancellation: false,
            probes: true,
            connect_timeout: 250_000,
            max_retry_after: 260_000,
        },
        rules: RuleLimits {
            answer_slack: 1_001,
            drain_grace: 1_002,
            list_request_timeout: 1_003,
            list_on_request: true,
            slow_start_fraction: 0.5,
            slow_start_duration: 1_004,
            overload_multiple: 6.0,
            overload_window: 1_005,
        },
        triggers: triggers(),
        accounts: vec![
            Account {
                quota_per_s: 100.0,
                share: 0.25,
            },
            Account {
                quota_per_s: 200.0,
                share: 0.75,
            },
        ],
        loads: LoadSettings {
            idle_retention: 2_001,
            load_orders: true,
            loads_when_absent: false,
            order_timeout: 2_002,
            order_quota_window: 2_003,
            order_quota_base: 7.0,
            order_quota_per_invocation: 0.0625,
            reports_copy_status: true,
            reports_function_load: false,
            memory_mb: vec![4096.0, 8192.0],
        },
        prices: Prices {
            crossing: 1.0,
            fetch: 2.0,
            waste: 3.0,
            probe: 4.0,
            late_error: 5.0,
            over_quota: 6.0,
        },
        reports,
    }
}

/// The start record of a router; the digest of the module is a fixed one, as that of a source file would change.
pub fn start(n: usize) -> StartRecord {
    StartRecord {
        router: format!("router-{n}"),
        module_digest: [5; 32],
        settings_digest: [7; 32],
        file_number: 2,
        wall_at_zero: 1_700_000_000_000_000,
        trigger_names: ["quote", "reserve", "resize", "sum", "turn"]
            .map(String::from)
            .into(),
        account_names: vec!["amber".into(), "blue".into()],
        front_names: vec!["amqp".into(), "kserve".into()],
        seed: 9,
        startup: startup(REPORTS[n % REPORTS.len()]),
    }
}

/// A source of each provenance.
pub fn sources() -> Vec<Source> {
    let source = |(n, provenance): (usize, &Provenance)| Source {
        start: start(n),
        clock_ahead: 1_500 * n as Micros,
        provenance: *provenance,
    };
    EXTENTS.iter().enumerate().map(source).collect()
}

/// A whole file: all records in a block of its first source, one record in a block of its last.
pub fn file() -> Vec<u8> {
    let mut sheet = TraceFileWriter::begin(Vec::new(), &sources()).expect("written");
    let mut gather = BlockBuilder::default();
    for (at, record) in timed() {
        gather.record(at, &record);
    }
    sheet.write_block(0, &gather.close()).expect("written");
    gather.record(
        9_000,
        &answered(FinalOutcome::Errored, AnswerReason::Overdue, Some(12)),
    );
    sheet.write_block(3, &gather.close()).expect("written");
    sheet.finish().expect("written")
}

/// A line for each record of [`all`]: its bytes in hexadecimal digits.
pub fn lines() -> String {
    let line = |record: &Record| {
        let mut put = Encoder::default();
        record_codec::encode_record(&mut put, record);
        let hex: String = put.bytes.iter().map(|b| format!("{b:02x}")).collect();
        hex + "\n"
    };
    all().iter().map(line).collect()
}
