//! Reads a run's folder and checks all rules.

use std::path::Path;

use crate::excused_intervals::ExcusedIntervals;
use crate::rules::{answers, drains, effects, load_quota, overload};
use crate::settings::RuleSettings;
use crate::traffic_log::{LogLine, read};
use crate::verdict::Verdict;
use crate::warm_capacity::{floors, prefixes, sessions};
use crate::{CheckError, history};

/// What the checks are made from.
pub(crate) struct Evidence<'a> {
    /// All lines of all logs, in the order of their times.
    pub(crate) lines: &'a [LogLine],
    pub(crate) excused: &'a ExcusedIntervals,
    pub(crate) settings: &'a RuleSettings,
}

/// Checks a run from `traffic/` and `terms.json` in its folder.
///
/// # Errors
/// When these cannot be read, or there is no traffic.
pub fn check(folder: &Path) -> Result<Verdict, CheckError> {
    let settings = read_settings(&folder.join("terms.json"))?;
    let lines = read(&folder.join("traffic"))?;
    let excused = ExcusedIntervals::read(&lines);
    let evidence = Evidence {
        lines: &lines,
        excused: &excused,
        settings: &settings,
    };
    let mut verdict = Verdict::unbroken();
    let invocations = history::gather(&evidence, &mut verdict);
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
