//! `trace explain`: attributes each lost or late invocation to one cause, sums by cause and ranks the causes by cost.

use std::path::PathBuf;

use cedarpulley_trace::explain::CauseRanker;

use super::input::TraceFile;
use crate::error::CliError;

/// Prints the causes of the lost and late invocations in this span of wall time (microseconds since 1970), those with
/// the highest cost first.
pub fn explain(files: &[PathBuf], span_us: (i64, i64), json: bool) -> Result<(), CliError> {
    let mut ranker = CauseRanker::default();
    // Source numbers continue from one file to the next, so that they are unique.
    let mut first_source = 0;
    for path in files {
        let mut file = TraceFile::open(path)?;
        file.for_each_record(|entry| {
            let source_index = first_source + entry.source_index;
            ranker.record(source_index, entry.source, span_us, entry.at, entry.record);
        })?;
        first_source += file.sources().len() as u32;
    }
    let ranked = ranker.ranked();
    if json {
        print_line!("{}", serde_json::to_string_pretty(&ranked)?);
        return Ok(());
    }
    print_line!(
        "{:<52} {:>9} {:>7} {:>7}  span (wall, s)",
        "cause",
        "cost",
        "lost",
        "late"
    );
    for row in ranked {
        let (from_s, until_s) = (row.from_us / 1_000_000, row.until_us / 1_000_000);
        let cause = format!("{:?}", row.cause);
        print_line!(
            "{cause:<52} {:>9.1} {:>7} {:>7}  {from_s} to {until_s}",
            row.cost,
            row.lost,
            row.late
        );
    }
    Ok(())
}
