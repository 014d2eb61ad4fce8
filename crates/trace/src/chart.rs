//! A course as one SVG: fates, times of what succeeded, and work (dispatches, failures, loads, held), one above the
//! other over the same seconds, with the worst ten seconds marked.

use cedarpulley::interface::Micros;
use plotters::coord::Shift;
use plotters::prelude::*;

use crate::Error;
use crate::timeline::{Course, TimelineBin};

const SIZE: (u32, u32) = (1100, 900);
const WORST: RGBColor = RGBColor(255, 236, 200);
const SUCCEEDED: RGBColor = RGBColor(70, 150, 90);
const THROTTLED: RGBColor = RGBColor(225, 165, 40);
const ERRORED: RGBColor = RGBColor(200, 60, 50);
const TURNED_AWAY: RGBColor = RGBColor(130, 100, 170);
const CALM: RGBColor = RGBColor(50, 100, 180);

/// Seconds since the first bin, and the figure.
type Line = Vec<(f64, f64)>;

fn line(
    bins: &[(Micros, TimelineBin)],
    width: Micros,
    figure: impl Fn(&TimelineBin) -> f64,
) -> Line {
    let first = bins.first().map_or(0, |b| b.0);
    // In the middle of its bin.
    bins.iter()
        .map(|(at, b)| {
            (
                (at.saturating_sub(first).saturating_add(width / 2)) as f64 / 1e6,
                figure(b),
            )
        })
        .collect()
}

struct Panel<'a> {
    caption: &'a str,
    /// From the bottom up, each upon the one before.
    stacked: Vec<(&'a str, RGBColor, Line)>,
    lines: Vec<(&'a str, RGBColor, Line)>,
}

type Drawn<T> = Result<T, DrawingAreaErrorKind<std::io::Error>>;

fn panel(
    area: &DrawingArea<SVGBackend, Shift>,
    of: Panel,
    length: f64,
    worst: Option<(f64, f64)>,
) -> Drawn<()> {
    let mut tops: Vec<Line> = Vec::new();
    for (_, _, line) in &of.stacked {
        let below = tops.last();
        let top = line
            .iter()
            .enumerate()
            .map(|(n, (x, y))| (*x, y + below.map_or(0.0, |b| b[n].1)));
        let top = top.collect();
        tops.push(top);
    }
    let all = tops.iter().chain(of.lines.iter().map(|l| &l.2));
    let most = all.flatten().map(|p| p.1).fold(1.0, f64::max) * 1.08;
    let mut chart = ChartBuilder::on(area)
        .caption(of.caption, ("sans-serif", 17))
        .margin(8)
        .x_label_area_size(28)
        .y_label_area_size(58)
        .build_cartesian_2d(0.0..length.max(1.0), 0.0..most)?;
    if let Some((from, until)) = worst {
        let marked = Rectangle::new([(from, 0.0), (until.min(length), most)], WORST.filled());
        chart.draw_series([marked])?;
    }
    chart
        .configure_mesh()
        .light_line_style(WHITE)
        .x_desc("seconds")
        .draw()?;
    // The highest first: each lower one covers its part.
    for ((name, color, _), top) in of.stacked.iter().zip(&tops).rev() {
        let color = *color;
        chart
            .draw_series(AreaSeries::new(top.iter().copied(), 0.0, color.filled()))?
            .label(*name)
            .legend(move |(x, y)| Rectangle::new([(x, y - 5), (x + 14, y + 5)], color.filled()));
    }
    for (name, color, line) in of.lines {
        chart
            .draw_series(LineSeries::new(line, color.stroke_width(2)))?
            .label(name)
            .legend(move |(x, y)| PathElement::new([(x, y), (x + 14, y)], color.stroke_width(2)));
    }
    chart
        .configure_series_labels()
        .position(SeriesLabelPosition::UpperRight)
        .background_style(WHITE.mix(0.85))
        .border_style(BLACK.mix(0.3))
        .draw()
}

/// `worst`: wall's microseconds. An empty course is an empty chart.
pub fn svg(course: &Course, title: &str, worst: Option<(Micros, Micros)>) -> Result<String, Error> {
    let (bins, width) = (course.bins(), course.width());
    let first = bins.first().map_or(0, |b| b.0);
    let length = bins.len() as f64 * width as f64 / 1e6;
    let own = |at: Micros| at.saturating_sub(first) as f64 / 1e6;
    let worst = worst.map(|(from, until)| (own(from).max(0.0), own(until)));
    let rate = |n: u64| n as f64 * 1e6 / width as f64;
    let of = |figure: &dyn Fn(&TimelineBin) -> f64| line(&bins, width, figure);
    // Where nothing succeeded there is no time.
    let timed: Vec<_> = bins
        .iter()
        .filter(|(_, b)| !b.times.is_empty())
        .cloned()
        .collect();
    let late = timed.first().map_or(0.0, |b| own(b.0));
    let quantile = |q: f64| {
        let line = line(&timed, width, |b| b.times.value_at_quantile(q) as f64 / 1e3);
        line.into_iter()
            .map(|(x, y)| (x + late, y))
            .collect::<Line>()
    };
    let panels = [
        Panel {
            caption: "answers a second",
            stacked: vec![
                ("succeeded", SUCCEEDED, of(&|b| rate(b.succeeded))),
                ("throttled", THROTTLED, of(&|b| rate(b.throttled))),
                ("errored", ERRORED, of(&|b| rate(b.errored))),
                ("turned away", TURNED_AWAY, of(&|b| rate(b.turned_away))),
            ],
            lines: vec![("taken", BLACK, of(&|b| rate(b.taken)))],
        },
        Panel {
            caption: "time of what succeeded, ms",
            stacked: Vec::new(),
            lines: vec![
                ("p50", SUCCEEDED, quantile(0.5)),
                ("p90", THROTTLED, quantile(0.9)),
                ("p99", ERRORED, quantile(0.99)),
            ],
        },
        Panel {
            caption: "decisions a second",
            stacked: Vec::new(),
            lines: vec![
                ("dispatches", CALM, of(&|b| rate(b.dispatches))),
                ("failed dispatches", ERRORED, of(&|b| rate(b.failed))),
                ("held", THROTTLED, of(&|b| rate(b.held))),
                ("loads ordered", TURNED_AWAY, of(&|b| rate(b.orders))),
                ("records lost", BLACK, of(&|b| rate(b.lost_records))),
            ],
        },
    ];
    let mut text = String::new();
    let draw = || -> Drawn<()> {
        let whole = SVGBackend::with_string(&mut text, SIZE).into_drawing_area();
        whole.fill(&WHITE)?;
        let whole = whole.titled(title, ("sans-serif", 20))?;
        for (area, of) in whole.split_evenly((3, 1)).iter().zip(panels) {
            panel(area, of, length, worst)?;
        }
        whole.present()
    };
    draw().map_err(Error::Chart)?;
    Ok(text)
}
