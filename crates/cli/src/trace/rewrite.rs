//! `trace cut`, `trace strip` and `trace merge`: write new trace files from existing ones.

use std::fs::File;
use std::io::BufWriter;
use std::path::{Path, PathBuf};

use cedarpulley_trace::Error;
use cedarpulley_trace::merge::{self, Offsets};
use cedarpulley_trace::rewrite::{self, Rewritten};
use cedarpulley_trace::selection::SelectionCriteria;
use cedarpulley_trace::strip::Pseudonymizer;
use clap::Args;

use super::input::{FileReader, open};
use super::micros;
use super::output::write_atomically;
use crate::error::CliError;

/// Shortest secret for pseudonyms, in bytes: shorter secrets can be found by brute force.
const MIN_SECRET_BYTES: usize = 16;

// No doc comment: clap would print it as the help of the subcommand.
#[derive(Args)]
pub struct CutArgs {
    file: PathBuf,
    #[arg(long)]
    out: PathBuf,
    /// Seconds since 1970, by the file's (first) wall clock.
    #[arg(long)]
    from: Option<f64>,
    #[arg(long)]
    until: Option<f64>,
    #[arg(long)]
    function: Option<String>,
    #[arg(long)]
    account: Option<String>,
    /// Its address.
    #[arg(long)]
    worker: Option<String>,
    /// The mark that its client gave it.
    #[arg(long)]
    invocation: Option<String>,
}

/// Copies the selected part of a file; true if no block that was read is damaged.
pub fn cut(args: CutArgs) -> Result<bool, CliError> {
    let selection = SelectionCriteria {
        from: args.from.map(micros),
        until: args.until.map(micros),
        function: args.function,
        account: args.account,
        worker: args.worker,
        correlation_id: args.invocation,
    };
    rewrite_file(&args.file, &args.out, |reader, writer| {
        rewrite::cut(reader, &selection, writer)
    })
}

/// Copies a file and replaces names by pseudonyms, which are derived from the secret in the file `key`; true if no
/// block of the file is damaged.
pub fn strip(file: &Path, out: &Path, key: &Path) -> Result<bool, CliError> {
    let secret = std::fs::read(key).map_err(CliError::file(key))?;
    if secret.len() < MIN_SECRET_BYTES {
        return Err(CliError::SecretTooShort {
            file: key.display().to_string(),
            size: secret.len(),
            least: MIN_SECRET_BYTES,
        });
    }
    let mut pseudonymizer = Pseudonymizer::new(&secret);
    rewrite_file(file, out, |reader, writer| {
        rewrite::strip(reader, &mut pseudonymizer, writer)
    })
}

fn rewrite_file(
    file: &Path,
    out: &Path,
    rewrite: impl FnOnce(&mut FileReader, &mut BufWriter<File>) -> Result<Rewritten, Error>,
) -> Result<bool, CliError> {
    let mut reader = open(file)?;
    let result = write_atomically(out, |writer| {
        rewrite(&mut reader, writer).map_err(CliError::trace(file.display()))
    })?;
    print_line!(
        "{} records of {} blocks read, {} damaged",
        result.records,
        result.blocks_read,
        result.damaged
    );
    Ok(result.damaged == 0)
}

/// Writes the records of all files into one file, ordered by time. The clocks of the files are aligned first, unless
/// `as_is`. True if no block is damaged.
pub fn merge(files: &[PathBuf], out: &Path, as_is: bool) -> Result<bool, CliError> {
    let mut readers = Vec::new();
    for file in files {
        readers.push(open(file)?);
    }
    let clock_offsets = if as_is {
        vec![0; readers.len()]
    } else {
        estimate_offsets(files, &mut readers)?
    };
    let damaged = write_atomically(out, |writer| {
        merge::merge(&mut readers, &clock_offsets, writer).map_err(CliError::trace(out.display()))
    })?;
    if damaged > 0 {
        print_line!("{damaged} damaged blocks were left out");
    }
    Ok(damaged == 0)
}

/// By how many microseconds the clock of each file is ahead; 0 for a file whose offset cannot be estimated.
fn estimate_offsets(files: &[PathBuf], readers: &mut [FileReader]) -> Result<Vec<i64>, CliError> {
    let mut offsets = Offsets::default();
    for (reader, file) in readers.iter_mut().zip(files) {
        offsets
            .file(reader)
            .map_err(CliError::trace(file.display()))?;
    }
    let mut ahead_us = vec![0; files.len()];
    for ((file, estimate), ahead_us) in files.iter().zip(offsets.estimate()).zip(&mut ahead_us) {
        match estimate {
            Some((estimated_us, changes)) => {
                *ahead_us = estimated_us;
                print_line!(
                    "{}: {:.1} ms ahead, by {changes} changes",
                    file.display(),
                    estimated_us as f64 / 1e3
                );
            }
            None => print_line!("{}: offset unknown, taken as it is", file.display()),
        }
    }
    Ok(ahead_us)
}
