//! `trace replay --all` and `--against`: compares every decision of this build with the recorded decision, or with the
//! decision that another build makes on the same events.

use std::fs::File;
use std::io::BufReader;
use std::path::{Path, PathBuf};
use std::process::Command;

use cedarpulley_trace::Error;
use cedarpulley_trace::compare::{Comparison, ComparisonResult, DifferenceKind};
use cedarpulley_trace::replay::{DecisionReader, ReplayStep, describe_event, replay_steps};
use serde_json::json;

use super::input::{IncarnationFiles, by_incarnation, open};
use super::replay::redone_file;
use crate::error::CliError;

/// Prints the differences by kind; true if there are none. `other_build` is another build of this program.
pub fn compare(
    files: &[PathBuf],
    other_build: Option<&Path>,
    json: bool,
) -> Result<bool, CliError> {
    let comparison = match other_build {
        None => compare_incarnations(files, None)?,
        Some(program) => compare_with_build(files, program)?,
    };
    if json {
        print_line!("{}", serde_json::to_string_pretty(&comparison)?);
    } else {
        print_table(&comparison);
    }
    Ok(comparison.differing == 0)
}

fn print_table(comparison: &ComparisonResult) {
    print_line!("{:<44} {:>16} {:>10}", "kind", "first in a life", "later");
    for (kind, count) in &comparison.by_kind {
        let kind = match kind {
            DifferenceKind::OtherDecision(before, now) => format!("{before:?} before, now {now:?}"),
            other => format!("{other:?}"),
        };
        print_line!("{kind:<44} {:>16} {:>10}", count.first, count.later);
    }
    print_line!(
        "{} of {} lives differ, {} of {} decisions; {} decisions are exact, up to the first difference of each life",
        comparison.incarnations_differing,
        comparison.incarnations,
        comparison.differing,
        comparison.decisions,
        comparison.decisions_exact
    );
}

fn compare_with_build(files: &[PathBuf], program: &Path) -> Result<ComparisonResult, CliError> {
    let folder = std::env::temp_dir().join(format!("cedarpulley-redone-{}", std::process::id()));
    let comparison = redo_with_build(program, files, &folder)
        .and_then(|()| compare_incarnations(files, Some(&folder)));
    let _ = std::fs::remove_dir_all(&folder);
    comparison
}

/// Runs `trace redo` of another build on the same events, which writes a file for each incarnation into `out`.
fn redo_with_build(program: &Path, files: &[PathBuf], out: &Path) -> Result<(), CliError> {
    let output = Command::new(program)
        .args(["trace", "redo", "--out"])
        .arg(out)
        .args(files)
        .output()
        .map_err(CliError::file(program))?;
    if output.status.success() {
        return Ok(());
    }
    let stderr = String::from_utf8_lossy(&output.stderr);
    Err(CliError::RedoFailed {
        program: program.display().to_string(),
        first_line: stderr
            .lines()
            .next()
            .unwrap_or("no output on standard error")
            .to_owned(),
    })
}

/// Compares with the recorded decisions, or with those that another build has written into the folder `redone`.
fn compare_incarnations(
    files: &[PathBuf],
    redone: Option<&Path>,
) -> Result<ComparisonResult, CliError> {
    let mut comparison = Comparison::default();
    for (index, incarnation) in by_incarnation(files)?.into_iter().enumerate() {
        comparison.begin_incarnation();
        let other_decisions = match redone {
            Some(folder) => Some(DecisionReader::new(open(&redone_file(folder, index))?)),
            None => None,
        };
        compare_incarnation(incarnation, other_decisions, &mut comparison)?;
    }
    Ok(comparison.finish())
}

fn compare_incarnation(
    mut incarnation: IncarnationFiles,
    mut other_decisions: Option<DecisionReader<BufReader<File>>>,
    comparison: &mut Comparison,
) -> Result<(), CliError> {
    let result = replay_steps(&mut incarnation.readers, |step| {
        let ReplayStep::Decided {
            at,
            event: own_event,
            recorded,
            replayed,
        } = step
        else {
            return Ok(true);
        };
        let Some(other_decisions) = &mut other_decisions else {
            comparison.decision(&recorded, &replayed);
            return Ok(true);
        };
        let Some((other_at, other_event, other_actions)) = other_decisions.next()? else {
            return Err(Error::OtherBuild {
                how: "recorded fewer decisions",
            });
        };
        if other_at != at || describe_event(&other_event) != describe_event(&own_event) {
            return Err(Error::OtherBuild {
                how: "received other events",
            });
        }
        comparison.decision(&other_actions, &replayed);
        Ok(true)
    });
    let result = result.map_err(CliError::trace(&incarnation.router))?;
    if let Some(cause) = &result.stopped {
        print_line!(
            "{}",
            json!({"router": incarnation.router, "wall_at_zero": incarnation.wall_at_zero, "stopped": cause})
        );
    }
    Ok(())
}
