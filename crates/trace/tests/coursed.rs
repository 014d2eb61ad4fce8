//! The course of a trace: bins that coarsen and lose nothing, and its chart.

mod small;

use cedarpulley::interface::Micros;
use cedarpulley_router::{AnswerReason, FinalOutcome};
use cedarpulley_trace::chart::svg;
use cedarpulley_trace::records::Record;
use cedarpulley_trace::start::Source;
use cedarpulley_trace::timeline::Timeline;

const SECOND: Micros = 1_000_000;

fn answered(fate: FinalOutcome, took: Micros) -> Record {
    let reason = AnswerReason::Worker;
    Record::Answered {
        invocation: None,
        front: 0,
        outcome: fate,
        reason,
        trigger: 0,
        account: 0,
        took,
    }
}

#[test]
fn a_long_span_has_wider_bins_and_counts_every_record() {
    let (of, mut course): (Source, _) = (small::start().into(), Timeline::default());
    let seconds = 100_000;
    for s in 0..seconds {
        // In any order: every other one from the end.
        let at = if s % 2 == 0 { s } else { seconds - s };
        let fate = if s % 4 == 0 {
            FinalOutcome::Throttled
        } else {
            FinalOutcome::Succeeded
        };
        course.record(&of, at * SECOND, &answered(fate, 70_000));
    }
    let bins = course.bins();
    assert!(bins.len() <= 600 && bins.len() > 300, "{}", bins.len());
    assert!(bins.windows(2).all(|w| w[1].0 - w[0].0 == course.width()));
    let sum = |figure: &dyn Fn(&cedarpulley_trace::timeline::TimelineBin) -> u64| {
        bins.iter().map(|b| figure(&b.1)).sum::<u64>()
    };
    assert_eq!(
        sum(&|b| b.succeeded) + sum(&|b| b.throttled),
        seconds as u64
    );
    assert_eq!(sum(&|b| b.latencies.len()), sum(&|b| b.succeeded));
    // Clocks that are out of all reason are borne, too.
    course.record(&of, Micros::MAX, &answered(FinalOutcome::Errored, 1));
    course.record(&of, Micros::MIN, &answered(FinalOutcome::Errored, 1));
    assert!(course.bins().len() <= 600);
    assert_eq!(course.bins().iter().map(|b| b.1.errored).sum::<u64>(), 2);
}

#[test]
fn a_chart_has_title_panels_and_the_marked_worst_span() {
    let (of, mut course): (Source, _) = (small::start().into(), Timeline::default());
    assert!(
        svg(&course, "nothing", None)
            .expect("drawn")
            .contains("nothing")
    );
    for s in 0..20 {
        course.record(
            &of,
            s * SECOND,
            &answered(FinalOutcome::Succeeded, 70_000 + s * 1_000),
        );
    }
    let start = of.wall(0);
    let drawn = svg(
        &course,
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
