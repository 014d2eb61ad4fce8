//! `trace show`: prints the history of one invocation from all files.

use std::path::PathBuf;

use cedarpulley_trace::invocation_history::InvocationHistory;

use super::input::TraceFile;
use crate::error::CliError;

/// Prints all records about the invocation with this name (correlation id or request id), in order of time.
pub fn show(mark: &str, files: &[PathBuf]) -> Result<(), CliError> {
    let mut lines = Vec::new();
    for path in files {
        let mut file = TraceFile::open(path)?;
        let mut histories: Vec<InvocationHistory> = file
            .sources()
            .iter()
            .map(|_| InvocationHistory::new(mark))
            .collect();
        file.for_each_record(|entry| {
            histories[entry.source_index as usize].record(entry.source, entry.at, entry.record);
        })?;
        histories
            .iter_mut()
            .for_each(|history| lines.append(&mut history.lines));
    }
    lines.sort();
    lines.iter().for_each(|line| print_line!("{line}"));
    if lines.is_empty() {
        Err(CliError::MarkNotFound {
            mark: mark.to_owned(),
        })
    } else {
        Ok(())
    }
}
