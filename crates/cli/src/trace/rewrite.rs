//! `trace cut`, `trace strip` and `trace merge`: new trace files from old ones.

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

/// Shorter secrets are found by trying. In bytes.
const LEAST_SECRET: usize = 16;

// No doc comment: it would be printed as the subcommand's help.
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

/// Copies the selected part of a file; true if no block of it is damaged.
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

/// Copies a file with pseudonyms, made with the secret in the file `key`, in place of names; true if no block of it
/// is damaged.
pub fn strip(file: &Path, out: &Path, key: &Path) -> Result<bool, CliError> {
    let secret = std::fs::read(key).map_err(CliError::file(key))?;
    if secret.len() < LEAST_SECRET {
        return Err(CliError::SecretTooShort {
            file: key.display().to_string(),
            size: secret.len(),
            least: LEAST_SECRET,
        });
    }
    let mut strip = Pseudonymizer::new(&secret);
    rewrite_file(file, out, |reader, writer| {
        rewrite::strip(reader, &mut strip, writer)
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

/// Writes one file with the records of all, ordered by their clocks, which are aligned first unless `as_is`; true if
/// no block is damaged.
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

/// How far each file's clock is ahead, in microseconds; 0 where it cannot be estimated.
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
