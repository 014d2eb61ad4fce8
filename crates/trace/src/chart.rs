//! Draws a timeline as an SVG with three panels, one above the other over the same time axis: outcomes, latencies of
//! successful invocations, and work (dispatches, failures, load orders, queued invocations). The worst ten seconds are
//! marked.

use cedarpulley::interface::Micros;
use plotters::coord::Shift;
use plotters::prelude::*;

use crate::Error;
use crate::timeline::{Timeline, TimelineBin};

/// Width and height of the image in pixels.
const SIZE: (u32, u32) = (1100, 900);
const WORST: RGBColor = RGBColor(255, 236, 200);
const SUCCEEDED: RGBColor = RGBColor(70, 150, 90);
const THROTTLED: RGBColor = RGBColor(225, 165, 40);
const ERRORED: RGBColor = RGBColor(200, 60, 50);
const REJECTED: RGBColor = RGBColor(130, 100, 170);
const DISPATCHED: RGBColor = RGBColor(50, 100, 180);

/// Points of a curve: seconds since the first bin, and the value.
type Curve = Vec<(f64, f64)>;

/// A labelled curve.
struct Series {
    label: &'static str,
    color: RGBColor,
    curve: Curve,
}

/// One panel of the chart.
struct Panel {
    caption: &'static str,
    /// Areas from bottom to top, each stacked on the previous one.
    stacked: Vec<Series>,
    /// Curves drawn as lines.
    lines: Vec<Series>,
}

type DrawResult<T> = Result<T, DrawingAreaErrorKind<std::io::Error>>;

/// Adds the values of the series below to each series.
fn stack(series: Vec<Series>) -> Vec<Series> {
    let mut stacked: Vec<Series> = Vec::new();
    for mut next in series {
        if let Some(below) = stacked.last() {
            for (point, below) in next.curve.iter_mut().zip(&below.curve) {
                point.1 += below.1;
            }
        }
        stacked.push(next);
    }
    stacked
}

/// Draws one panel. `length` is the length of the time axis in seconds; `worst` is the span to mark, in seconds since
/// the first bin.
fn draw_panel(
    area: &DrawingArea<SVGBackend, Shift>,
    panel: Panel,
    length: f64,
    worst: Option<(f64, f64)>,
) -> DrawResult<()> {
    let stacked = stack(panel.stacked);
    let points = stacked.iter().chain(&panel.lines).flat_map(|s| &s.curve);
    let top = points.map(|point| point.1).fold(1.0, f64::max) * 1.08;
    let mut chart = ChartBuilder::on(area)
        .caption(panel.caption, ("sans-serif", 17))
        .margin(8)
        .x_label_area_size(28)
        .y_label_area_size(58)
        .build_cartesian_2d(0.0..length.max(1.0), 0.0..top)?;
    if let Some((from, until)) = worst {
        let marked = Rectangle::new([(from, 0.0), (until.min(length), top)], WORST.filled());
        chart.draw_series([marked])?;
    }
    chart
        .configure_mesh()
        .light_line_style(WHITE)
        .x_desc("seconds")
        .draw()?;
    // From top to bottom: each area covers the lower part of the one before it.
    for series in stacked.into_iter().rev() {
        let color = series.color;
        chart
            .draw_series(AreaSeries::new(series.curve, 0.0, color.filled()))?
            .label(series.label)
            .legend(move |(x, y)| Rectangle::new([(x, y - 5), (x + 14, y + 5)], color.filled()));
    }
    for series in panel.lines {
        let color = series.color;
        chart
            .draw_series(LineSeries::new(series.curve, color.stroke_width(2)))?
            .label(series.label)
            .legend(move |(x, y)| PathElement::new([(x, y), (x + 14, y)], color.stroke_width(2)));
    }
    chart
        .configure_series_labels()
        .position(SeriesLabelPosition::UpperRight)
        .background_style(WHITE.mix(0.85))
        .border_style(BLACK.mix(0.3))
        .draw()
}

/// The bins of a timeline, from which the curves are made.
struct Bins {
    /// Bins with the wall clock in microseconds at which they begin.
    bins: Vec<(Micros, TimelineBin)>,
    /// Width of a bin in microseconds.
    width: Micros,
}

impl Bins {
    /// Seconds from the beginning of the first bin to this wall clock.
    fn seconds(&self, wall: Micros) -> f64 {
        let first = self.bins.first().map_or(0, |bin| bin.0);
        wall.saturating_sub(first) as f64 / 1e6
    }

    /// Length of the time axis in seconds.
    fn length(&self) -> f64 {
        self.bins.len() as f64 * self.width as f64 / 1e6
    }

    /// Counts per second, at the middle of each bin.
    fn rate(
        &self,
        label: &'static str,
        color: RGBColor,
        count: impl Fn(&TimelineBin) -> u64,
    ) -> Series {
        let first = self.bins.first().map_or(0, |bin| bin.0);
        let curve = self.bins.iter().map(|(at, bin)| {
            let middle = at.saturating_sub(first).saturating_add(self.width / 2);
            (
                middle as f64 / 1e6,
                count(bin) as f64 * 1e6 / self.width as f64,
            )
        });
        Series {
            label,
            color,
            curve: curve.collect(),
        }
    }

    /// A latency quantile in milliseconds; bins without a successful invocation have no point.
    fn latency(&self, label: &'static str, color: RGBColor, quantile: f64) -> Series {
        let measured = || {
            self.bins
                .iter()
                .filter(|(_, bin)| !bin.latencies.is_empty())
        };
        let first = measured().next().map_or(0, |bin| bin.0);
        let offset = measured().next().map_or(0.0, |bin| self.seconds(bin.0));
        let curve = measured().map(|(at, bin)| {
            let middle = at.saturating_sub(first).saturating_add(self.width / 2);
            let value = bin.latencies.value_at_quantile(quantile) as f64 / 1e3;
            (middle as f64 / 1e6 + offset, value)
        });
        Series {
            label,
            color,
            curve: curve.collect(),
        }
    }

    fn panels(&self) -> [Panel; 3] {
        [
            Panel {
                caption: "answers a second",
                stacked: vec![
                    self.rate("succeeded", SUCCEEDED, |bin| bin.succeeded),
                    self.rate("throttled", THROTTLED, |bin| bin.throttled),
                    self.rate("errored", ERRORED, |bin| bin.errored),
                    self.rate("turned away", REJECTED, |bin| bin.rejected),
                ],
                lines: vec![self.rate("taken", BLACK, |bin| bin.accepted)],
            },
            Panel {
                caption: "time of what succeeded, ms",
                stacked: Vec::new(),
                lines: vec![
                    self.latency("p50", SUCCEEDED, 0.5),
                    self.latency("p90", THROTTLED, 0.9),
                    self.latency("p99", ERRORED, 0.99),
                ],
            },
            Panel {
                caption: "decisions a second",
                stacked: Vec::new(),
                lines: vec![
                    self.rate("dispatches", DISPATCHED, |bin| bin.dispatches),
                    self.rate("failed dispatches", ERRORED, |bin| bin.failed_dispatches),
                    self.rate("held", THROTTLED, |bin| bin.queued),
                    self.rate("loads ordered", REJECTED, |bin| bin.load_orders),
                    self.rate("records lost", BLACK, |bin| bin.lost_records),
                ],
            },
        ]
    }
}

/// Draws the chart and returns it as SVG text. `worst` is the span to mark, as wall clock in microseconds. An empty
/// timeline gives an empty chart.
pub fn svg(
    timeline: &Timeline,
    title: &str,
    worst: Option<(Micros, Micros)>,
) -> Result<String, Error> {
    let bins = Bins {
        bins: timeline.bins(),
        width: timeline.width(),
    };
    let worst = worst.map(|(from, until)| (bins.seconds(from).max(0.0), bins.seconds(until)));
    let mut text = String::new();
    let mut draw = || -> DrawResult<()> {
        let whole = SVGBackend::with_string(&mut text, SIZE).into_drawing_area();
        whole.fill(&WHITE)?;
        let whole = whole.titled(title, ("sans-serif", 20))?;
        for (area, panel) in whole.split_evenly((3, 1)).iter().zip(bins.panels()) {
            draw_panel(area, panel, bins.length(), worst)?;
        }
        whole.present()
    };
    draw().map_err(Error::Chart)?;
    Ok(text)
}
