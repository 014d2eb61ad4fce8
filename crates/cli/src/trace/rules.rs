//! `trace rules`: checks the recorded decisions against those delivery rules that can be checked from a trace.

use std::collections::HashMap;
use std::path::PathBuf;

use cedarpulley_trace::rule_check::RuleChecker;

use super::input::TraceFile;
use crate::error::CliError;

/// Prints all violations of the rules; true if there are none.
pub fn check_rules(files: &[PathBuf], json: bool) -> Result<bool, CliError> {
    // Source numbers continue from one file to the next, so that they are unique.
    let (mut rules, mut all_sources) = (RuleChecker::default(), HashMap::new());
    for path in files {
        let mut file = TraceFile::open(path)?;
        let first_source = all_sources.len() as u32;
        file.for_each_record(|entry| {
            let source_index = first_source + entry.source_index;
            rules.record(source_index, entry.source, entry.at, entry.record);
        })?;
        all_sources.extend((first_source..).zip(file.sources().to_vec()));
    }
    let report = rules.finish(&all_sources);
    let broken: u64 = report.violations_by_rule.values().sum();
    if json {
        print_line!("{}", serde_json::to_string_pretty(&report)?);
    } else {
        report
            .violations
            .iter()
            .for_each(|line| print_line!("{line}"));
        let (invocations, open) = (report.invocations, report.unseen);
        print_line!(
            "{invocations} invocations, {broken} breaks of rules 1, 2, 3 and 5; {open} still open where their trace ends"
        );
        print_line!(
            "not seen here: rule 4, and what became of answers and dispatches on the sockets (see audit)"
        );
    }
    Ok(broken == 0)
}
