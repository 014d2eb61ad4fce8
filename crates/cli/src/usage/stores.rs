//! Reads and merges usage stores.

use std::path::{Path, PathBuf};

use cedarpulley_usage_metering::UsageReport;
use cedarpulley_usage_store::Ledger;

use crate::error::CliError;

/// The files as given, with each folder replaced by the usage stores in it.
pub fn expand_folders(paths: &[PathBuf]) -> Result<Vec<PathBuf>, CliError> {
    let mut files = Vec::new();
    for path in paths {
        if !path.is_dir() {
            files.push(path.clone());
            continue;
        }
        let entries = std::fs::read_dir(path).map_err(CliError::file(path))?;
        let mut stores: Vec<_> = entries
            .flatten()
            .map(|entry| entry.path())
            .filter(|entry| entry.extension().is_some_and(|e| e == "ledger"))
            .collect();
        stores.sort();
        files.extend(stores);
    }
    if files.is_empty() {
        Err(CliError::NoInputFile { what: "ledger" })
    } else {
        Ok(files)
    }
}

/// The usage in all files together; a store that is given more than once counts once.
pub fn read(files: &[PathBuf]) -> Result<UsageReport, CliError> {
    let mut usage = UsageReport::default();
    for file in files {
        // Opening a store that does not exist would create it.
        if !file.is_file() {
            return Err(CliError::FileNotFound {
                file: file.display().to_string(),
            });
        }
        usage.merge(
            Ledger::open(file)
                .and_then(|store| store.report())
                .map_err(CliError::usage_store(file))?,
        );
    }
    Ok(usage)
}

/// Merges all files into the store `out`, which is created if it does not exist.
pub fn merge(files: &[PathBuf], out: &Path) -> Result<(), CliError> {
    let usage = read(files)?;
    Ledger::open(out)
        .and_then(|store| store.merge(&usage))
        .map_err(CliError::usage_store(out))?;
    print_line!(
        "{} lives of routers in {}",
        usage.by_source.len(),
        out.display()
    );
    Ok(())
}
