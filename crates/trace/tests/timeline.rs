//! Tests that the bins of a timeline widen without losing records, and that its chart is drawn.

mod sample_trace;

use cedarpulley::interface::Micros;
use cedarpulley_router::{AnswerReason, FinalOutcome};
use cedarpulley_trace::chart::svg;
use cedarpulley_trace::records::Record;
use cedarpulley_trace::start::Source;
use cedarpulley_trace::timeline::Timeline;

/// Microseconds in a second.
const SECOND: Micros = 1_000_000;

fn answered(outcome: FinalOutcome, took: Micros) -> Record {
    let reason = AnswerReason::Worker;
    Record::Answered {
        invocation: None,
        front: 0,
        outcome,
        reason,
        trigger: 0,
        account: 0,
        took,
    }
}

#[test]
fn a_long_span_has_wider_bins_and_counts_every_record() {
    let (source, mut timeline): (Source, _) = (sample_trace::start().into(), Timeline::default());
    let seconds = 100_000;
    for second in 0..seconds {
        // Not in order of time: every other record is counted from the end.
        let at = if second % 2 == 0 {
            second
        } else {
            seconds - second
        };
        let outcome = if second % 4 == 0 {
            FinalOutcome::Throttled
        } else {
            FinalOutcome::Succeeded
        };
        timeline.record(&source, at * SECOND, &answered(outcome, 70_000));
    }
    let bins = timeline.bins();
    assert!(bins.len() <= 600 && bins.len() > 300, "{}", bins.len());
    assert!(bins.windows(2).all(|w| w[1].0 - w[0].0 == timeline.width()));
    let sum = |count: &dyn Fn(&cedarpulley_trace::timeline::TimelineBin) -> u64| {
        bins.iter().map(|b| count(&b.1)).sum::<u64>()
    };
    assert_eq!(
        sum(&|b| b.succeeded) + sum(&|b| b.throttled),
        seconds as u64
    );
    assert_eq!(sum(&|b| b.latencies.len()), sum(&|b| b.succeeded));
    // Records with times far outside the usual range are counted too.
    timeline.record(&source, Micros::MAX, &answered(FinalOutcome::Errored, 1));
    timeline.record(&source, Micros::MIN, &answered(FinalOutcome::Errored, 1));
    assert!(timeline.bins().len() <= 600);
    assert_eq!(timeline.bins().iter().map(|b| b.1.errored).sum::<u64>(), 2);
}

#[test]
fn a_chart_has_title_panels_and_the_marked_worst_span() {
    let (source, mut timeline): (Source, _) = (sample_trace::start().into(), Timeline::default());
    assert!(
        svg(&timeline, "nothing", None)
            .expect("drawn")
            .contains("nothing")
    );
    for second in 0..20 {
        timeline.record(
            &source,
            second * SECOND,
            &answered(FinalOutcome::Succeeded, 70_000 + second * 1_000),
        );
    }
    let start = source.wall(0);
    let drawn = svg(
        &timeline,
        "twenty < seconds",
        Some((start, start + 10 * SECOND)),
    )
    .expect("drawn");
    assert!(
        drawn.starts_with("<svg") && drawn.contains("answers a second") && drawn.contains("p99")
    );
    assert!(drawn.contains("twenty &lt; seconds"));
    assert!(drawn.contains("#FFECC8"), "the worst span is marked");
}
