//! Reads the output folder of a run and checks all rules and promises.

use std::path::Path;

use crate::excused_intervals::ExcusedIntervals;
use crate::rules::{answers, drains, effects, load_quota, overload};
use crate::settings::RuleSettings;
use crate::traffic_log::{LogLine, read};
use crate::verdict::Verdict;
use crate::warm_capacity::{floors, prefixes, sessions};
use crate::{CheckError, history};

/// Input of every check.
pub(crate) struct Evidence<'a> {
    /// All lines of all logs, ordered by time.
    pub(crate) lines: &'a [LogLine],
    /// Intervals in which faults delayed or hid events.
    pub(crate) excused: &'a ExcusedIntervals,
    /// Settings of the rules that were in force for the run.
    pub(crate) settings: &'a RuleSettings,
}

/// Checks a run from `traffic/` and `terms.json` in its output folder.
///
/// # Errors
/// Returns an error if these cannot be read or are malformed, or if no traffic was recorded.
pub fn check(folder: &Path) -> Result<Verdict, CheckError> {
    let settings = read_settings(&folder.join("terms.json"))?;
    let lines = read(&folder.join("traffic"))?;
    let excused = ExcusedIntervals::read(&lines);
    let evidence = Evidence {
        lines: &lines,
        excused: &excused,
        settings: &settings,
    };
    let mut verdict = Verdict::without_violations();
    let invocations = history::collect_invocations(&evidence, &mut verdict);
    answers::check(&invocations, &evidence, &mut verdict);
    effects::check(&invocations, &evidence, &mut verdict);
    drains::check(&evidence, &mut verdict);
    overload::check(&evidence, &mut verdict);
    load_quota::check(&evidence, &mut verdict);
    sessions::check_one_version(&evidence, &mut verdict);
    sessions::check_one_planner(&evidence, &mut verdict);
    prefixes::count(&evidence, &mut verdict);
    floors::check(&evidence, &mut verdict);
    Ok(verdict)
}

fn read_settings(path: &Path) -> Result<RuleSettings, CheckError> {
    let file = || path.display().to_string();
    let text = std::fs::read_to_string(path).map_err(|source| CheckError::Unreadable {
        file: file(),
        source,
    })?;
    serde_json::from_str(&text).map_err(|source| CheckError::MalformedRules {
        file: file(),
        source,
    })
}
