//! `trace replay` and `trace redo`: feed recorded events to the balancer of this build.

use std::path::{Path, PathBuf};

use cedarpulley_trace::replay::{self, Difference, describe_event};
use serde_json::json;

use super::input::{IncarnationFiles, by_incarnation};
use super::output::write_atomically;
use crate::error::CliError;

/// The file in `folder` that `trace redo` writes for an incarnation, named by the index of the incarnation in the input.
pub fn redone_file(folder: &Path, incarnation_index: usize) -> PathBuf {
    folder.join(format!("{incarnation_index:05}.trace"))
}

/// Writes the events of each incarnation into a new file in the folder `out`, with the decisions of this build.
pub fn redo(files: &[PathBuf], out: &Path) -> Result<(), CliError> {
    std::fs::create_dir_all(out).map_err(CliError::file(out))?;
    for (index, mut incarnation) in by_incarnation(files)?.into_iter().enumerate() {
        let file = redone_file(out, index);
        let result = write_atomically(&file, |writer| {
            replay::redo(&mut incarnation.readers, writer)
                .map_err(CliError::trace(&incarnation.router))
        })?;
        let stopped = result
            .stopped
            .map(|cause| format!("; stopped: {cause}"))
            .unwrap_or_default();
        print_line!(
            "{}: {} decisions, in {}{stopped}",
            incarnation.router,
            result.decisions,
            file.display()
        );
    }
    Ok(())
}

/// Replays each incarnation up to the first decision that differs from the recorded one; true if none differs.
pub fn replay_until_difference(files: &[PathBuf]) -> Result<bool, CliError> {
    let mut all_same = true;
    for incarnation in by_incarnation(files)? {
        let IncarnationFiles {
            router,
            mut readers,
            ..
        } = incarnation;
        let result = replay::replay(&mut readers).map_err(CliError::trace(&router))?;
        let seconds = result.span as f64 / 1e6;
        let module = if result.same_module {
            "the same module"
        } else {
            "another module"
        };
        match &result.difference {
            None => print_line!(
                "{router}: {} decisions over {seconds:.1} s, none differs; {module}",
                result.decisions
            ),
            Some(difference) => {
                all_same = false;
                print_difference(&router, difference, module);
            }
        }
        if let Some(cause) = &result.stopped {
            print_line!("{}", json!({"router": router, "stopped": cause}));
        }
    }
    Ok(all_same)
}

fn print_difference(router: &str, difference: &Difference, module: &str) {
    print_line!(
        "{router}: decision {} at {} us differs; {module}",
        difference.decision,
        difference.at
    );
    print_line!("  told:     {}", describe_event(&difference.event));
    print_line!("  recorded: {:?}", difference.recorded);
    print_line!("  replayed: {:?}", difference.replayed);
    difference
        .before
        .iter()
        .for_each(|line| print_line!("  before:   {line}"));
}
