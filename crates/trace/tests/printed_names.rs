//! Names of events, actions, causes, kinds of differences and counts as `cedarpulley trace` prints them, in text and as
//! JSON: those in `fixtures/printed-names.txt`.

mod every_record;

use std::fmt::Debug;
use std::path::Path;

use cedarpulley_trace::compare::{ComparisonResult, Decision, DifferenceCount, DifferenceKind};
use cedarpulley_trace::explain::{Cause, RankedCause};
use cedarpulley_trace::replay::describe_event;
use cedarpulley_trace::rule_check::RuleCheck;
use cedarpulley_trace::summary::{LatencyQuantiles, OutcomeCounts, Summary, WorkerCounts};
use serde::Serialize;

/// In text as [`Debug`] has it, and as JSON.
fn both(value: impl Serialize + Debug) -> String {
    let json = serde_json::to_string(&value).expect("JSON");
    format!("{value:?} {json}\n")
}

fn json(value: impl Serialize) -> String {
    serde_json::to_string(&value).expect("JSON") + "\n"
}

fn causes() -> Vec<Cause> {
    let causes = [
        Cause::ShareExceeded,
        Cause::AdmissionLimit,
        Cause::ExpiredOnArrival,
        Cause::WorkerUnresponsive,
        Cause::WorkerErrored,
        Cause::WorkerSlow,
        Cause::WorkersOverloaded,
        Cause::NoLoadCapacity,
        Cause::FunctionLoad,
        Cause::ManyFunctionLoads,
        Cause::Queued,
        Cause::Redelivered,
        Cause::OwnExecution,
        Cause::Other,
    ];
    causes.map(|cause| cause("subject".into())).into()
}

fn kinds() -> Vec<DifferenceKind> {
    let did = [
        Decision::Queued,
        Decision::Dispatched,
        Decision::Throttled,
        Decision::Errored,
        Decision::Cancelled,
    ];
    let mut kinds: Vec<DifferenceKind> = did
        .map(|d| DifferenceKind::OtherDecision(d, Decision::Queued))
        .into();
    kinds.extend([
        DifferenceKind::OtherWorker,
        DifferenceKind::OtherParameters,
        DifferenceKind::MoreLoadOrders,
        DifferenceKind::FewerLoadOrders,
        DifferenceKind::OtherLoadWorkers,
        DifferenceKind::Maintenance,
        DifferenceKind::Timers,
    ]);
    kinds
}

fn ranked() -> RankedCause {
    RankedCause {
        cause: Cause::Queued("subject".into()),
        cost: 1.5,
        lost: 2,
        late: 3,
        from_us: 4,
        until_us: 5,
    }
}

fn summary() -> Summary {
    let (name, fates) = (|| "name".to_owned(), OutcomeCounts::default);
    Summary {
        by_trigger: [(name(), fates())].into(),
        by_account: [(name(), fates())].into(),
        by_reason: [(name(), 1)].into(),
        by_worker: [(name(), WorkerCounts::default())].into(),
        succeeded_in: LatencyQuantiles::default(),
        ..Default::default()
    }
}

fn compared() -> ComparisonResult {
    ComparisonResult {
        by_kind: vec![(DifferenceKind::Timers, DifferenceCount::default())],
        ..Default::default()
    }
}

fn all() -> String {
    let events = every_record::events();
    let events = events.iter().map(|e| describe_event(e) + "\n");
    let actions = every_record::actions();
    let actions = actions.iter().map(|a| format!("{a:?}\n"));
    let fates = every_record::FATES.map(|f| format!("{f:?}\n"));
    let reasons = every_record::REASONS.map(|r| format!("{r:?}\n"));
    let shorts = every_record::SHORTS.map(|s| format!("{s:?}\n"));
    let words = fates.into_iter().chain(reasons).chain(shorts);
    let named = causes().into_iter().map(both);
    let kinds = kinds().into_iter().map(both);
    let objects = [
        json(ranked()),
        json(summary()),
        json(compared()),
        json(RuleCheck::default()),
    ];
    let lines = events.chain(actions).chain(words).chain(named).chain(kinds);
    lines.chain(objects).collect()
}

/// What was seen is left beside the other files of the build.
#[test]
fn printed_names_stay() {
    let left = Path::new(env!("CARGO_TARGET_TMPDIR")).join("printed-names.txt");
    std::fs::write(&left, all()).expect("written");
    let kept = include_str!("fixtures/printed-names.txt");
    for (seen, kept) in all().lines().zip(kept.lines()) {
        assert_eq!(seen, kept);
    }
    assert!(all() == kept, "see {}", left.display());
}
