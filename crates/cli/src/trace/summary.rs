//! `trace summary` and `trace chart`: counts and times, as text, JSON or an SVG chart.

use std::io::Write;
use std::path::{Path, PathBuf};

use cedarpulley_trace::chart;
use cedarpulley_trace::summary::{SummaryBuilder, WORST_SPAN_SECONDS};
use cedarpulley_trace::timeline::Timeline;

use super::input::{RecordInFile, TraceFile};
use super::output::write_atomically;
use crate::error::CliError;

/// Counts every record of every file, and passes each to `visit` as well.
fn count(
    files: &[PathBuf],
    counter: &mut SummaryBuilder,
    mut visit: impl FnMut(&RecordInFile),
) -> Result<(), CliError> {
    for path in files {
        let mut file = TraceFile::open(path)?;
        counter.begin_file(file.sources());
        let damaged_blocks = file.for_each_record(|entry| {
            counter.record(entry.source_index, entry.source, entry.at, entry.record);
            visit(&entry);
        })?;
        (0..damaged_blocks).for_each(|_| counter.damaged_block());
    }
    Ok(())
}

/// Prints the summary as a table or as JSON.
pub fn summary(files: &[PathBuf], json: bool) -> Result<(), CliError> {
    let mut counter = SummaryBuilder::default();
    count(files, &mut counter, |_| {})?;
    let summary = counter.finish();
    match json {
        true => print_line!("{}", serde_json::to_string_pretty(&summary)?),
        false => print_line!("{}", summary.table().trim_end()),
    }
    Ok(())
}

/// Writes the chart as SVG to `out` and prints its path.
pub fn chart(files: &[PathBuf], out: &Path) -> Result<(), CliError> {
    let (mut counter, mut timeline) = (SummaryBuilder::default(), Timeline::default());
    count(files, &mut counter, |entry| {
        timeline.record(entry.source, entry.at, entry.record)
    })?;
    let summary = counter.finish();
    let routers = if summary.routers == 1 {
        "router life"
    } else {
        "router lives"
    };
    let title = format!(
        "{} invocations, {} {routers}",
        summary.invocations, summary.routers
    );
    let worst_span_us = summary.worst.map(|(start_s, _)| {
        (
            start_s * 1_000_000,
            (start_s + WORST_SPAN_SECONDS) * 1_000_000,
        )
    });
    let svg =
        chart::svg(&timeline, &title, worst_span_us).map_err(CliError::trace(out.display()))?;
    write_atomically(out, |writer| {
        writer
            .write_all(svg.as_bytes())
            .map_err(CliError::file(out))
    })?;
    print_line!("{}", out.display());
    Ok(())
}
