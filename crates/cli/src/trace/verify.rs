//! `trace verify`: reads whole files and reports damaged blocks and truncated ends.

use std::path::{Path, PathBuf};

use cedarpulley_errors::Remedy;
use cedarpulley_trace::reader::{BlockRead, FileEnd};

use super::input::{FileReader, open};
use crate::error::CliError;

/// Reads every file and prints a line for it; true if no file is damaged or truncated.
pub fn verify(files: &[PathBuf]) -> Result<bool, CliError> {
    let mut all_intact = true;
    for file in files {
        match open(file) {
            Ok(reader) => all_intact &= verify_file(file, reader)?,
            Err(error) => {
                print_line!("{}", error.causes());
                all_intact = false;
            }
        }
    }
    Ok(all_intact)
}

fn verify_file(file: &Path, mut reader: FileReader) -> Result<bool, CliError> {
    let (mut blocks, mut record_count, mut damaged_blocks) = (0, 0, 0);
    while let Some(found) = reader.next().map_err(CliError::trace(file.display()))? {
        match found {
            BlockRead::Block { records, .. } => {
                blocks += 1;
                record_count += records.len();
            }
            BlockRead::Damaged { offset, cause } => {
                damaged_blocks += 1;
                print_line!("{}: damaged at byte {offset}: {cause}", file.display());
            }
        }
    }
    let end = match &reader.ended {
        Some(FileEnd::Truncated { offset }) => format!("cut after byte {offset}"),
        _ => "ended well".to_owned(),
    };
    print_line!(
        "{}: {blocks} blocks, {record_count} records, {damaged_blocks} damaged, {end}",
        file.display()
    );
    Ok(damaged_blocks == 0 && reader.ended == Some(FileEnd::Complete))
}
