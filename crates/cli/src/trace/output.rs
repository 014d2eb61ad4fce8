//! Writes files atomically: a partly written file never has the final name.

use std::fs::File;
use std::io::{BufWriter, Write};
use std::path::Path;

use crate::error::CliError;

/// Calls `write` on a temporary file in the folder of `out`, and renames that file to `out` once it is complete; removes
/// it if writing fails.
pub fn write_atomically<T>(
    out: &Path,
    write: impl FnOnce(&mut BufWriter<File>) -> Result<T, CliError>,
) -> Result<T, CliError> {
    let temporary = out.with_extension("part");
    let mut writer = BufWriter::new(File::create(&temporary).map_err(CliError::file(out))?);
    let result = write(&mut writer)
        .and_then(|value| writer.flush().map(|()| value).map_err(CliError::file(out)));
    match result {
        Ok(value) => std::fs::rename(&temporary, out)
            .map(|()| value)
            .map_err(CliError::file(out)),
        Err(error) => {
            let _ = std::fs::remove_file(&temporary);
            Err(error)
        }
    }
}
