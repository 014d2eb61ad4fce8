//! The timeline of a trace: bins that widen and lose no record, and its chart.

mod small;

use cedarpulley::interface::Micros;
use cedarpulley_router::{AnswerReason, FinalOutcome};
use cedarpulley_trace::chart::svg;
use cedarpulley_trace::records::Record;
use cedarpulley_trace::start::Source;
use cedarpulley_trace::timeline::Timeline;

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
    let (of, mut timeline): (Source, _) = (small::start().into(), Timeline::default());
    let seconds = 100_000;
    for second in 0..seconds {
        // In any order: every other one from the end.
        let at = if second % 2 == 0 {
            second
        } else {
            seconds - second
        };
        let fate = if second % 4 == 0 {
            FinalOutcome::Throttled
        } else {
            FinalOutcome::Succeeded
        };
        timeline.record(&of, at * SECOND, &answered(fate, 70_000));
    }
    let bins = timeline.bins();
    assert!(bins.len() <= 600 && bins.len() > 300, "{}", bins.len());
    assert!(bins.windows(2).all(|w| w[1].0 - w[0].0 == timeline.width()));
    let sum = |figure: &dyn Fn(&cedarpulley_trace::timeline::TimelineBin) -> u64| {
        bins.iter().map(|b| figure(&b.1)).sum::<u64>()
    };
    assert_eq!(
        sum(&|b| b.succeeded) + sum(&|b| b.throttled),
        seconds as u64
    );
    assert_eq!(sum(&|b| b.latencies.len()), sum(&|b| b.succeeded));
    // Clock readings far out of range are counted, too.
    timeline.record(&of, Micros::MAX, &answered(FinalOutcome::Errored, 1));
    timeline.record(&of, Micros::MIN, &answered(FinalOutcome::Errored, 1));
    assert!(timeline.bins().len() <= 600);
    assert_eq!(timeline.bins().iter().map(|b| b.1.errored).sum::<u64>(), 2);
}

#[test]
fn a_chart_has_title_panels_and_the_marked_worst_span() {
    let (of, mut timeline): (Source, _) = (small::start().into(), Timeline::default());
    assert!(
        svg(&timeline, "nothing", None)
            .expect("drawn")
            .contains("nothing")
    );
    for second in 0..20 {
        timeline.record(
            &of,
            second * SECOND,
            &answered(FinalOutcome::Succeeded, 70_000 + second * 1_000),
        );
    }
    let start = of.wall(0);
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
    assert!(drawn.contains("#FFECC8"), "the worst seconds are marked");
}
