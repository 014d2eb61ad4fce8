//! One value of every kind that a trace can hold, with numbers that differ from field to field.
#![allow(dead_code)] // Each user takes its part.

use cedarpulley::ids::fingerprint;
use cedarpulley::interface::*;
use cedarpulley_router::entry::Short;
use cedarpulley_router::{Fate, Reason};
use cedarpulley_startup::StartupSettings;
use cedarpulley_trace::blocks::Gather;
use cedarpulley_trace::records::{self, Happened, Record, Space};
use cedarpulley_trace::start::{Extent, Source, Start};
use cedarpulley_trace::wire::Put;
use cedarpulley_trace::writer::Sheet;

const FUNCTION: &str = "quote:7";
/// Between two records of a block.
const STEP: Micros = 5;

pub const EXTENTS: [Extent; 4] = [Extent::Whole, Extent::Cut, Extent::Stripped, Extent::Redone];
const REPORTS: [ReportsIn; 3] = [ReportsIn::Answers, ReportsIn::Probes, ReportsIn::Nothing];
const OUTCOMES: [Outcome; 9] = [
    Outcome::Succeeded,
    Outcome::Errored,
    Outcome::Throttled,
    Outcome::TimedOut,
    Outcome::Unreachable,
    Outcome::Broken,
    Outcome::Withdrawn,
    Outcome::NotSent,
    Outcome::Missed,
];
const NOTES: [CopyNote; 5] = [
    CopyNote::Untold,
    CopyNote::Found,
    CopyNote::Began,
    CopyNote::Waited,
    CopyNote::LoadErrored,
];
const RESULTS: [OrderResult; 6] = [
    OrderResult::Stand,
    OrderResult::NoRoom,
    OrderResult::LoadErrored,
    OrderResult::Broken,
    OrderResult::Unreachable,
    OrderResult::TimedOut,
];
const MODES: [ListMode; 4] = [
    ListMode::Changes,
    ListMode::Complete,
    ListMode::Saved,
    ListMode::Failed,
];
const STANDINGS: [Standing; 3] = [Standing::InService, Standing::Draining, Standing::Gone];
pub const FATES: [Fate; 3] = [Fate::Succeeded, Fate::Throttled, Fate::Errored];
pub const REASONS: [Reason; 11] = [
    Reason::Worker,
    Reason::GivenUp,
    Reason::Expired,
    Reason::MayHaveRun,
    Reason::Overdue,
    Reason::Functions,
    Reason::Size,
    Reason::Share,
    Reason::NoMajority,
    Reason::SessionOver,
    Reason::Alone,
];
pub const SHORTS: [Short; 7] = [
    Short::Stopping,
    Short::Memory,
    Short::All,
    Short::Front,
    Short::Account,
    Short::Connection,
    Short::Worth,
];

/// Every way of writing an optional field of a report, each alone and all together.
fn reports() -> Vec<Report> {
    let all = Report {
        held: Some(1.5),
        waiting: Some(2.5),
        busy: Some(0.25),
        loads: Some(3.0),
        memory_part: Some(0.75),
    };
    let none = Report::default();
    vec![
        none,
        Report {
            held: all.held,
            ..none
        },
        Report {
            waiting: all.waiting,
            ..none
        },
        Report {
            busy: all.busy,
            ..none
        },
        Report {
            loads: all.loads,
            ..none
        },
        Report {
            memory_part: all.memory_part,
            ..none
        },
        all,
    ]
}

fn list(mode: ListMode) -> Happened {
    let entry = |(n, standing): (usize, &Standing)| ListEntry {
        worker: n as u32,
        fingerprint: 1_000 + n as u64,
        zone: 1,
        kind: 2,
        cell: 3,
        standing: *standing,
        weight: 1.25,
        started: (n > 0).then_some(-17),
    };
    let entries = STANDINGS.iter().enumerate().map(entry).collect();
    Happened::List { mode, entries }
}

fn arrival(repeat: bool, prefers: Option<WorkerIx>) -> Event<'static> {
    Event::Invocation(Arrival {
        inv: 11,
        trigger: 1,
        account: 2,
        func: 0,
        fingerprint: fingerprint(FUNCTION),
        cost_hint: repeat.then_some(1_300),
        load_hint: prefers.map(|_| 1_400),
        copy_mb: 12.5,
        lanes: 8,
        client_gives_up_in: 3_000_000,
        waited: 15,
        repeat,
        prefers,
    })
}

fn ending(outcome: Outcome, note: CopyNote, report: Report) -> Event<'static> {
    Event::DispatchEnded(Ending {
        inv: 11,
        dispatch: 2,
        worker: 1,
        outcome,
        took: 1_700,
        concluded: outcome == Outcome::Succeeded,
        note,
        crowd: (note == CopyNote::Found).then_some(4),
        report,
    })
}

fn order_ended(result: OrderResult) -> Event<'static> {
    Event::OrderEnded {
        worker: 1,
        func: 0,
        result,
        took: 1_800,
        copies: 3,
    }
}

fn probed(outcome: Outcome, report: Report) -> Event<'static> {
    Event::Probed {
        worker: 2,
        outcome,
        took: 1_900,
        report,
    }
}

/// Every event with every value of its enumerations.
pub fn events() -> Vec<Happened> {
    let mut events = vec![
        arrival(false, None),
        arrival(true, Some(2)),
        Event::Departed { inv: 11 },
        Event::Answering {
            inv: 11,
            dispatch: 3,
            worker: 1,
        },
        Event::Timer { token: 1 << 40 },
        Event::Wanted {
            worker: 1,
            asked: Asked {
                func: 0,
                fingerprint: fingerprint(FUNCTION),
                trigger: 1,
                lanes: 6,
            },
        },
        Event::Held {
            worker: 1,
            func: 0,
            copies: 5,
        },
    ];
    let none = Report::default();
    events.extend(OUTCOMES.map(|outcome| ending(outcome, CopyNote::Untold, none)));
    events.extend(NOTES.map(|note| ending(Outcome::Succeeded, note, none)));
    events.extend(
        reports()
            .into_iter()
            .map(|r| ending(Outcome::Errored, CopyNote::Found, r)),
    );
    events.extend(RESULTS.map(order_ended));
    events.extend(OUTCOMES.map(|outcome| probed(outcome, none)));
    events.extend(reports().into_iter().map(|r| probed(Outcome::Succeeded, r)));
    let lists = MODES.into_iter().map(list);
    lists
        .chain(events.into_iter().map(Happened::Other))
        .collect()
}

/// Every action; those with an optional field twice.
pub fn actions() -> Vec<Action> {
    let (inv, worker, func) = (11, 1, 0);
    let dispatch = |time_out| Action::Dispatch {
        inv,
        worker,
        time_out,
    };
    let throttle = |return_after| Action::Throttle { inv, return_after };
    vec![
        dispatch(None),
        dispatch(Some(2_100)),
        Action::Withdraw { inv, dispatch: 3 },
        throttle(None),
        throttle(Some(2_200)),
        Action::Error { inv },
        Action::Order {
            worker,
            func,
            copies: 4,
        },
        Action::Unload { worker, func },
        Action::Probe { worker },
        Action::Timer {
            token: 1 << 41,
            after: 2_300,
        },
        Action::AskList { follow: false },
        Action::AskList { follow: true },
        Action::Forget { func },
    ]
}

fn names() -> Vec<Record> {
    let name = |space, ix, text: &str| Record::Name {
        space,
        ix,
        text: text.into(),
    };
    let workers = (0..3).map(|w| name(Space::Worker, w, &format!("127.0.0.1:{w}")));
    let function = name(Space::Function, 0, FUNCTION);
    std::iter::once(function).chain(workers).collect()
}

fn decided() -> Vec<Record> {
    let timer = Happened::Other(Event::Timer { token: 7 });
    let of_event = |happened| Record::Decided {
        happened,
        actions: Vec::new(),
    };
    let of_action = |action| Record::Decided {
        happened: timer.clone(),
        actions: vec![action],
    };
    let all = Record::Decided {
        happened: timer.clone(),
        actions: actions(),
    };
    let events = events().into_iter().map(of_event);
    let actions = actions().into_iter().map(of_action);
    events.chain(actions).chain([all]).collect()
}

fn answered(fate: Fate, reason: Reason, inv: Option<InvIx>) -> Record {
    Record::Answered {
        inv,
        front: 1,
        fate,
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
        [None, Some(0x0123_4567_89ab_cdef)].map(|mark| Record::Taken {
            inv: 11,
            front: 1,
            mark,
            redelivered: mark.is_some(),
        }),
    );
    all.extend(FATES.map(|fate| answered(fate, Reason::Worker, Some(11))));
    all.extend(REASONS.map(|reason| answered(Fate::Throttled, reason, None)));
    all.extend(SHORTS.map(|why| Record::TurnedAway {
        front: 1,
        trigger: 2,
        account: 3,
        why,
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
    let tokened = |group| Effect::Tokened {
        group,
        window: 8_000_000,
    };
    let effects = [
        Effect::Idempotent,
        Effect::NonIdempotent,
        tokened(RepeatGroup::All),
        tokened(RepeatGroup::Zone),
        tokened(RepeatGroup::Cell),
    ];
    let trigger = |effect| TriggerType {
        effect,
        latency_objective: 800_000,
        objective_stretch: 0.5,
        client_timeout: 4_000_000,
        billed_value: 2.5,
        late_part: 0.125,
        streamed: effect == Effect::Idempotent,
    };
    effects.map(trigger).into()
}

/// Flags alternate, so that two exchanged ones show.
fn startup(reports: ReportsIn) -> StartupSettings {
    StartupSettings {
        fleet: FleetPosition {
            routers: 5,
            position: 3,
            zone: 1,
            granularity: 1_000,
        },
        limits: DispatchLimits {
            max_dispatches: 4,
            second_copies: true,
            withdrawals: false,
            probes: true,
            connect_within: 250_000,
            max_advice: 260_000,
        },
        rules: RuleTerms {
            answer_slack: 1_001,
            drain_grace: 1_002,
            ask_within: 1_003,
            list_on_request: true,
            cold_part: 0.5,
            cold_for: 1_004,
            overload_multiple: 6.0,
            overload_window: 1_005,
        },
        triggers: triggers(),
        accounts: vec![
            Account {
                allowance_per_s: 100.0,
                share: 0.25,
            },
            Account {
                allowance_per_s: 200.0,
                share: 0.75,
            },
        ],
        loads: LoadTerms {
            idle_kept: 2_001,
            orders: true,
            loads_when_absent: false,
            order_answered_within: 2_002,
            ration_window: 2_003,
            ration_few: 7.0,
            ration_part: 0.0625,
            notes: true,
            crowds: false,
            memory_mb: vec![4096.0, 8192.0],
        },
        prices: Prices {
            crossing: 1.0,
            fetch: 2.0,
            waste: 3.0,
            probe: 4.0,
            late_error: 5.0,
            over_share: 6.0,
        },
        reports,
    }
}

/// The start record of a router; the digest of the module is a fixed one, as that of a source file would change.
pub fn start(n: usize) -> Start {
    Start {
        router: format!("router-{n}"),
        module: [5; 32],
        settings: [7; 32],
        file: 2,
        wall_at_zero: 1_700_000_000_000_000,
        triggers_named: ["quote", "reserve", "resize", "sum", "turn"]
            .map(String::from)
            .into(),
        accounts_named: vec!["amber".into(), "blue".into()],
        fronts_named: vec!["amqp".into(), "kserve".into()],
        seed: 9,
        startup: startup(REPORTS[n % REPORTS.len()]),
    }
}

/// A source of each extent.
pub fn sources() -> Vec<Source> {
    let source = |(n, extent): (usize, &Extent)| Source {
        start: start(n),
        ahead: 1_500 * n as Micros,
        extent: *extent,
    };
    EXTENTS.iter().enumerate().map(source).collect()
}

/// A whole file: all records in a block of its first source, one record in a block of its last.
pub fn file() -> Vec<u8> {
    let mut sheet = Sheet::begin(Vec::new(), &sources()).expect("written");
    let mut gather = Gather::default();
    for (at, record) in timed() {
        gather.record(at, &record);
    }
    sheet.block(0, &gather.close()).expect("written");
    gather.record(9_000, &answered(Fate::Errored, Reason::Overdue, Some(12)));
    sheet.block(3, &gather.close()).expect("written");
    sheet.end().expect("written")
}

/// A line for each record of [`all`]: its bytes in hexadecimal digits.
pub fn lines() -> String {
    let line = |record: &Record| {
        let mut put = Put::default();
        records::put(&mut put, record);
        let hex: String = put.bytes.iter().map(|b| format!("{b:02x}")).collect();
        hex + "\n"
    };
    all().iter().map(line).collect()
}
