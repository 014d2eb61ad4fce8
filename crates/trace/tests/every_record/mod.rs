//! A value of every kind that a trace can contain. The numbers differ from field to field, so that exchanged fields are
//! detected.
#![allow(dead_code, reason = "each test binary uses a part of this module")]

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

/// Name of the only function.
const FUNCTION: &str = "quote:7";
/// Microseconds between two records of a block.
const RECORD_INTERVAL: Micros = 5;

pub const PROVENANCES: [Provenance; 4] = [
    Provenance::Original,
    Provenance::Cut,
    Provenance::Stripped,
    Provenance::Redone,
];
const REPORT_SOURCES: [ReportSource; 3] = [
    ReportSource::Answers,
    ReportSource::Probes,
    ReportSource::Nothing,
];
const DISPATCH_OUTCOMES: [DispatchOutcome; 9] = [
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
const COPY_STATUSES: [CopyStatus; 5] = [
    CopyStatus::Unreported,
    CopyStatus::Warm,
    CopyStatus::LoadStarted,
    CopyStatus::LoadAwaited,
    CopyStatus::LoadFailed,
];
const LOAD_ORDER_RESULTS: [LoadOrderResult; 6] = [
    LoadOrderResult::Loaded,
    LoadOrderResult::NoCapacity,
    LoadOrderResult::LoadFailed,
    LoadOrderResult::ConnectionLost,
    LoadOrderResult::Unreachable,
    LoadOrderResult::TimedOut,
];
const LIST_KINDS: [EndpointListKind; 4] = [
    EndpointListKind::Changes,
    EndpointListKind::Complete,
    EndpointListKind::Cached,
    EndpointListKind::Failed,
];
const ENDPOINT_STATES: [EndpointState; 3] = [
    EndpointState::InService,
    EndpointState::Draining,
    EndpointState::Gone,
];
pub const FINAL_OUTCOMES: [FinalOutcome; 3] = [
    FinalOutcome::Succeeded,
    FinalOutcome::Throttled,
    FinalOutcome::Errored,
];
pub const ANSWER_REASONS: [AnswerReason; 11] = [
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
pub const REJECTION_REASONS: [RejectionReason; 7] = [
    RejectionReason::Stopping,
    RejectionReason::Memory,
    RejectionReason::All,
    RejectionReason::Front,
    RejectionReason::Account,
    RejectionReason::Connection,
    RejectionReason::Worth,
];

/// Load reports without fields, with each field alone, and with all fields.
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
    let endpoint = |(n, state): (usize, &EndpointState)| Endpoint {
        worker: n as u32,
        fingerprint: 1_000 + n as u64,
        zone: 1,
        machine_kind: 2,
        cell: 3,
        state: *state,
        weight: 1.25,
        started_at: (n > 0).then_some(-17),
    };
    let endpoints = ENDPOINT_STATES.iter().enumerate().map(endpoint).collect();
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

fn dispatch_ended(
    outcome: DispatchOutcome,
    copy_status: CopyStatus,
    report: LoadReport,
) -> Event<'static> {
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

fn probe_ended(outcome: DispatchOutcome, report: LoadReport) -> Event<'static> {
    Event::ProbeEnded {
        worker: 2,
        outcome,
        took: 1_900,
        report,
    }
}

/// Every kind of event, with every value of its enumerations.
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
    events.extend(
        DISPATCH_OUTCOMES.map(|outcome| dispatch_ended(outcome, CopyStatus::Unreported, none)),
    );
    events.extend(
        COPY_STATUSES.map(|status| dispatch_ended(DispatchOutcome::Succeeded, status, none)),
    );
    events.extend(
        reports()
            .into_iter()
            .map(|r| dispatch_ended(DispatchOutcome::Errored, CopyStatus::Warm, r)),
    );
    events.extend(LOAD_ORDER_RESULTS.map(order_ended));
    events.extend(DISPATCH_OUTCOMES.map(|outcome| probe_ended(outcome, none)));
    events.extend(
        reports()
            .into_iter()
            .map(|r| probe_ended(DispatchOutcome::Succeeded, r)),
    );
    let lists = LIST_KINDS.into_iter().map(list);
    lists
        .chain(events.into_iter().map(RecordedEvent::Other))
        .collect()
}

/// Every kind of action; actions with an optional field occur with and without it.
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
    let name = |kind, index, name: &str| Record::Name {
        kind,
        index,
        name: name.into(),
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
    let with_all_actions = Record::Decided {
        event: timer.clone(),
        actions: actions(),
    };
    let events = events().into_iter().map(of_event);
    let actions = actions().into_iter().map(of_action);
    events.chain(actions).chain([with_all_actions]).collect()
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

/// Every kind of record; the names of the function and the workers come first, as in any block.
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
    all.extend(FINAL_OUTCOMES.map(|outcome| answered(outcome, AnswerReason::Worker, Some(11))));
    all.extend(ANSWER_REASONS.map(|reason| answered(FinalOutcome::Throttled, reason, None)));
    all.extend(REJECTION_REASONS.map(|reason| Record::Rejected {
        front: 1,
        trigger: 2,
        account: 3,
        reason,
    }));
    all.push(Record::Gap {
        records: 300,
        from: -5,
        until: 70_000,
    });
    all
}

/// The records of [`all`] with their router times.
pub fn timed() -> Vec<(Micros, Record)> {
    let at = (100..).step_by(RECORD_INTERVAL as usize);
    at.zip(all()).collect()
}

fn triggers() -> Vec<TriggerType> {
    let idempotent_by_key = |scope| Effect::IdempotentByKey {
        scope,
        window: 8_000_000,
    };
    let effects = [
        Effect::Idempotent,
        Effect::NonIdempotent,
        idempotent_by_key(DeduplicationScope::All),
        idempotent_by_key(DeduplicationScope::Zone),
        idempotent_by_key(DeduplicationScope::Cell),
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

/// Flags alternate, so that exchanged flags are detected.
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
        state: StateLimits::default(),
    }
}

/// The start record of a router. The digest of the balancer is a constant, since the digest of its source code changes.
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
        startup: startup(REPORT_SOURCES[n % REPORT_SOURCES.len()]),
    }
}

/// A source of each provenance.
pub fn sources() -> Vec<Source> {
    let source = |(n, provenance): (usize, &Provenance)| Source {
        start: start(n),
        clock_ahead: 1_500 * n as Micros,
        provenance: *provenance,
    };
    PROVENANCES.iter().enumerate().map(source).collect()
}

/// A whole file: all records in a block of the first source, and one record in a block of the last source.
pub fn file() -> Vec<u8> {
    let mut file = TraceFileWriter::begin(Vec::new(), &sources()).expect("written");
    let mut block = BlockBuilder::default();
    for (at, record) in timed() {
        block.record(at, &record);
    }
    file.write_block(0, &block.close()).expect("written");
    block.record(
        9_000,
        &answered(FinalOutcome::Errored, AnswerReason::Overdue, Some(12)),
    );
    file.write_block(3, &block.close()).expect("written");
    file.finish().expect("written")
}

/// A line for each record of [`all`] with its encoding in hexadecimal digits.
pub fn lines() -> String {
    let line = |record: &Record| {
        let mut encoder = Encoder::default();
        record_codec::encode_record(&mut encoder, record);
        let hex: String = encoder.bytes.iter().map(|b| format!("{b:02x}")).collect();
        hex + "\n"
    };
    all().iter().map(line).collect()
}
