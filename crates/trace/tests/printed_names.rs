//! Guards against changes of the names that `cedarpulley trace` prints for events, actions, causes, kinds of
//! differences and counts, in text and as JSON: they must equal `fixtures/printed-names.txt`.

mod every_record;

use std::fmt::Debug;
use std::path::Path;

use cedarpulley_trace::compare::{ComparisonResult, Decision, DifferenceCount, DifferenceKind};
use cedarpulley_trace::explain::{Cause, RankedCause};
use cedarpulley_trace::replay::describe_event;
use cedarpulley_trace::rule_check::RuleCheck;
use cedarpulley_trace::summary::{LatencyQuantiles, OutcomeCounts, Summary, WorkerCounts};
use serde::Serialize;

/// The value as text in [`Debug`] format, and as JSON.
fn text_and_json(value: impl Serialize + Debug) -> String {
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

fn difference_kinds() -> Vec<DifferenceKind> {
    let decisions = [
        Decision::Queued,
        Decision::Dispatched,
        Decision::Throttled,
        Decision::Errored,
        Decision::Cancelled,
    ];
    let mut kinds: Vec<DifferenceKind> = decisions
        .map(|decision| DifferenceKind::OtherDecision(decision, Decision::Queued))
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

fn ranked_cause() -> RankedCause {
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
    let (name, outcomes) = (|| "name".to_owned(), OutcomeCounts::default);
    Summary {
        by_trigger: [(name(), outcomes())].into(),
        by_account: [(name(), outcomes())].into(),
        by_reason: [(name(), 1)].into(),
        by_worker: [(name(), WorkerCounts::default())].into(),
        succeeded_in: LatencyQuantiles::default(),
        ..Default::default()
    }
}

fn comparison_result() -> ComparisonResult {
    ComparisonResult {
        by_kind: vec![(DifferenceKind::Timers, DifferenceCount::default())],
        ..Default::default()
    }
}

/// All names, in the order of the fixture.
fn all_names() -> String {
    let events = every_record::events();
    let events = events.iter().map(|e| describe_event(e) + "\n");
    let actions = every_record::actions();
    let actions = actions.iter().map(|a| format!("{a:?}\n"));
    let outcomes = every_record::FINAL_OUTCOMES.map(|o| format!("{o:?}\n"));
    let answers = every_record::ANSWER_REASONS.map(|r| format!("{r:?}\n"));
    let rejections = every_record::REJECTION_REASONS.map(|r| format!("{r:?}\n"));
    let values = outcomes.into_iter().chain(answers).chain(rejections);
    let causes = causes().into_iter().map(text_and_json);
    let kinds = difference_kinds().into_iter().map(text_and_json);
    let objects = [
        json(ranked_cause()),
        json(summary()),
        json(comparison_result()),
        json(RuleCheck::default()),
    ];
    let lines = events
        .chain(actions)
        .chain(values)
        .chain(causes)
        .chain(kinds);
    lines.chain(objects).collect()
}

/// The printed names are also written to the build folder, for comparison with the fixture.
#[test]
fn printed_names_equal_the_fixture() {
    let output_file = Path::new(env!("CARGO_TARGET_TMPDIR")).join("printed-names.txt");
    std::fs::write(&output_file, all_names()).expect("written");
    let expected = include_str!("fixtures/printed-names.txt");
    for (printed, expected) in all_names().lines().zip(expected.lines()) {
        assert_eq!(printed, expected);
    }
    assert!(all_names() == expected, "see {}", output_file.display());
}
