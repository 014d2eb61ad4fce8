//! The names in `GET /state` and `GET /metrics` are those in `fixtures/state-names.txt` and
//! `fixtures/metric-names.txt`: every key path, every name that stands for a state, and every metric with its labels.
//! What only a running group shows is tested in `crates/cli/tests/running_state_names.rs`.

use std::cell::Cell;
use std::collections::{BTreeMap, BTreeSet};
use std::path::Path;
use std::rc::Rc;

use bytes::Bytes;
use cedarpulley_gateway::context::GatewayContext;
use cedarpulley_gateway::peer_transport::TransportCounts;
use cedarpulley_gateway::peers::{Peers, RestoredState, SendOptions, Transport};
use cedarpulley_gateway::{settings, state_endpoint};
use cedarpulley_membership::{MemberState, StateReason};
use cedarpulley_net::Clock;
use cedarpulley_reconcile::drift::DRIFT_KINDS;
use cedarpulley_replica::record::Choice;
use cedarpulley_replica::store::Origin;
use cedarpulley_replica::{
    DispatchIntent, IntentState, Invocation, Note, Record, RecordCopy, RecoveryState, StoredAnswer,
};
use cedarpulley_upgrade::{Phase, Stage};
use serde::Serialize;
use serde_json::{Value, json};

struct Nowhere;

impl Transport for Nowhere {
    fn send(&self, _: u16, _: Bytes, _: SendOptions) {}
}

fn context() -> Rc<GatewayContext> {
    Rc::new(GatewayContext {
        clock: Clock::start(),
        executor: Rc::default(),
        name: "r0".into(),
        seed: 1,
        local_address: None,
        names: Default::default(),
        tracks_sessions: false,
        malformed_inputs: Cell::new(0),
        core_input: Box::new(|_| {}),
    })
}

fn peers(name: &str, restored: Option<RestoredState>) -> Peers {
    let members = ["r0", "r1", "r2"]
        .map(|m| format!("[[peers.member]]\nname = {m:?}\naddress = \"127.0.0.1:7101\"\n"));
    let text = format!(
        "[[trigger]]\nname = \"t\"\neffect = \"idempotent\"\nlatency_objective_ms = 100\nclient_timeout_ms = 1000\n\
         [[kserve]]\nlisten = \"127.0.0.1:7100\"\n[workers]\nwatch = \"127.0.0.1:7102\"\n\
         [peers]\nlisten = \"127.0.0.1:7101\"\ngroup = \"g\"\nname = {name:?}\n{}",
        members.concat()
    );
    let parts = settings::read("router.toml", &text, false).unwrap_or_else(|e| panic!("{e}"));
    let settings = parts.peers.expect("peers");
    Peers::new(context(), &settings, 1, restored, None, Box::new(Nowhere))
}

/// One record at each stage.
fn records() -> Vec<Record> {
    let taken = Invocation {
        taken: true,
        ..Default::default()
    };
    let sent = |state| Invocation {
        intents: BTreeMap::from([(
            (1, 1),
            DispatchIntent {
                member: 0,
                state,
                deduplication_scope: 0,
            },
        )]),
        ..taken.clone()
    };
    let effects = [
        Invocation::default(),
        taken.clone(),
        sent(IntentState::Intended),
        sent(IntentState::Indeterminate),
        Invocation {
            answer: Some(StoredAnswer::TooLarge),
            ..taken.clone()
        },
        Invocation {
            has_conflict: true,
            ..taken.clone()
        },
        Invocation {
            closed: true,
            ..taken.clone()
        },
    ];
    let choice = Choice {
        promised: Default::default(),
        accepted: None,
    };
    let note = Note {
        version: (1, 1),
        value: Bytes::new(),
    };
    let others = [Record::Choice(choice), Record::Note(note)];
    effects
        .map(Record::Invocation)
        .into_iter()
        .chain(others)
        .collect()
}

fn restored() -> RestoredState {
    let shared = |(n, record)| {
        let shared = RecordCopy {
            record,
            origin: Origin::default(),
            expires_in: 60_000_000,
            first_dispatch_ago: None,
            proof_expires_in: None,
        };
        (format!("key-{n}").into(), shared)
    };
    RestoredState {
        incarnation: 1,
        records: records().into_iter().enumerate().map(shared).collect(),
    }
}

/// With records of all stages, a member of another version and a stranger.
fn state_with_all_stages() -> (Peers, Value) {
    let (here, there) = (peers("r0", Some(restored())), peers("r1", None));
    let mut other = there.envelope(0, Vec::new());
    other.version -= 1;
    let other = postcard::to_stdvec(&other).expect("encoded");
    assert!(here.receive(None, &other).is_err() && here.receive(None, &other[..1]).is_err());
    let counts = json!({"counts": cedarpulley_reconcile::Counts::default()});
    here.add_state_provider("reconcile", Box::new(move || counts.clone()));
    let state = state_endpoint::state(&here, TransportCounts::default());
    (here, state)
}

/// All key paths below `path`, those of all elements of an array as one.
fn paths(value: &Value, path: &str, all: &mut BTreeSet<String>) {
    match value {
        Value::Object(object) => {
            for (key, value) in object {
                let dot = if path.is_empty() { "" } else { "." };
                let path = format!("{path}{dot}{key}");
                paths(value, &path, all);
                all.insert(path);
            }
        }
        Value::Array(array) => {
            for value in array {
                paths(value, &format!("{path}[]"), all);
            }
        }
        _ => {}
    }
}

fn names<T: Serialize>(of: &str, values: impl IntoIterator<Item = T>) -> Vec<String> {
    let text = |value| serde_json::to_string(&value).expect("JSON");
    let line = |value| format!("{of} = {}", text(value));
    values.into_iter().map(line).collect()
}

/// Values whose names are shown.
fn named_values() -> Vec<String> {
    let whys = [
        StateReason::NothingReceived,
        StateReason::Itself,
        StateReason::Answered,
        StateReason::AnsweredIndirectly,
        StateReason::Unresponsive,
        StateReason::SuspicionTimedOut,
        StateReason::ReportedByPeer,
    ];
    let phases = [
        Phase::Waiting,
        Phase::Canary,
        Phase::Rolling,
        Phase::Paused,
        Phase::RollingBack,
        Phase::Done,
        Phase::RolledBack,
        Phase::Cancelled,
    ];
    let stages = [Stage::Pending, Stage::Loading, Stage::Draining, Stage::Done];
    let mut all = names("members[].why", whys);
    all.extend(names(
        "memory",
        [
            RecoveryState::Empty,
            RecoveryState::Restored,
            RecoveryState::Complete,
        ],
    ));
    all.extend(names("upgrade.plans[].phase", phases));
    all.extend(names("upgrade.plans[].regions[].stage", stages));
    all.extend(names("reconcile.workers[].found", DRIFT_KINDS));
    all
}

/// Compared with the file line by line; what was seen is left beside the program's other files.
fn assert_matches_fixture(name: &str, seen: &BTreeSet<String>) {
    let seen: String = seen.iter().map(|line| format!("{line}\n")).collect();
    let left = Path::new(env!("CARGO_TARGET_TMPDIR")).join(name);
    std::fs::write(&left, &seen).expect("written");
    let file = Path::new(env!("CARGO_MANIFEST_DIR"))
        .join("tests/fixtures")
        .join(name);
    let kept = std::fs::read_to_string(&file).expect("a fixture");
    assert!(
        seen == kept,
        "{} differs from {}",
        left.display(),
        file.display()
    );
}

#[test]
fn state_key_names_are_pinned() {
    let (_, state) = state_with_all_stages();
    let mut all = BTreeSet::new();
    paths(&state, "", &mut all);
    all.extend(named_values());
    assert_matches_fixture("state-names.txt", &all);
}

#[test]
fn session_count_names_are_pinned() {
    let counts = serde_json::to_value(cedarpulley_upgrade::sessions::Counts::default());
    let mut all = BTreeSet::new();
    paths(&counts.expect("JSON"), "upgrade.sessions.counts", &mut all);
    assert_matches_fixture("session-count-names.txt", &all);
}

#[test]
fn member_state_is_one_of_four_names() {
    let (here, state) = state_with_all_stages();
    let standing = |n: usize| {
        state["members"][n]["standing"]
            .as_str()
            .expect("a name")
            .to_owned()
    };
    assert_eq!([standing(0), standing(1)], ["alive", "unknown"]);
    let known = here.inspect(|state| state.membership.status(1).state);
    assert_eq!(known, MemberState::Unknown);
}

/// A metric's name with its labels, without their values but those that are names of states.
fn metric(line: &str) -> String {
    let (name, _) = line.rsplit_once(' ').expect("a value");
    let Some((name, labels)) = name.trim_end_matches('}').split_once('{') else {
        return name.to_owned();
    };
    let label = |l: &str| match l.split_once('=') {
        Some((key @ ("state" | "standing"), value)) => format!("{key}={value}"),
        Some((key, _)) => format!("{key}=*"),
        None => l.to_owned(),
    };
    let labels: Vec<String> = labels.split(',').map(label).collect();
    format!("{name}{{{}}}", labels.join(","))
}

#[test]
fn metric_names_are_pinned() {
    let (here, _) = state_with_all_stages();
    let text = state_endpoint::metrics(&here, TransportCounts::default());
    let (kinds, values): (Vec<&str>, Vec<&str>) = text
        .lines()
        .filter(|line| !line.is_empty())
        .partition(|line| line.starts_with('#'));
    let mut all: BTreeSet<String> = values.into_iter().map(metric).collect();
    all.extend(kinds.into_iter().map(str::to_owned));
    assert_matches_fixture("metric-names.txt", &all);
}
