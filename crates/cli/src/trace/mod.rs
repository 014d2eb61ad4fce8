//! `cedarpulley trace ...`: shows from trace files alone what happened and what was decided. Related subcommands share
//! a module; the function that implements a subcommand prints the result on standard output.

mod compare;
mod explain;
mod input;
mod output;
mod replay;
mod rewrite;
mod rules;
mod show;
mod summary;
mod verify;

use std::path::PathBuf;

use clap::Subcommand;

use crate::error::CliError;
use input::expand_folders;

#[derive(Subcommand)]
pub enum TraceCommand {
    /// Reads each file whole and tells what is damaged or cut; exit 1 if anything is.
    Verify { files: Vec<PathBuf> },
    /// Counts by fate, trigger type, account and worker, times, the worst ten seconds.
    Summary {
        files: Vec<PathBuf>,
        #[arg(long)]
        json: bool,
    },
    /// Fates, times and decisions over time, as an SVG.
    Chart {
        files: Vec<PathBuf>,
        #[arg(long)]
        out: PathBuf,
    },
    /// The life of the invocation that bears this mark (correlation id, request id).
    Show { mark: String, files: Vec<PathBuf> },
    /// One file of many, with the offsets of their clocks estimated from the worker list.
    Merge {
        files: Vec<PathBuf>,
        #[arg(long)]
        out: PathBuf,
        /// Takes all clocks as they are.
        #[arg(long)]
        as_is: bool,
    },
    /// A part of a file. By time alone, other blocks are not read.
    Cut(rewrite::CutArgs),
    /// The same under pseudonyms, to be given away.
    Strip {
        file: PathBuf,
        #[arg(long)]
        out: PathBuf,
        /// A file with a secret: the same secret gives the same pseudonyms.
        #[arg(long)]
        key: PathBuf,
    },
    /// What cost most, dearest first: for each lost or late invocation the one cause.
    Explain {
        files: Vec<PathBuf>,
        /// Seconds since 1970.
        #[arg(long)]
        from: Option<f64>,
        #[arg(long)]
        until: Option<f64>,
        #[arg(long)]
        json: bool,
    },
    /// Judges the rules from the core's decisions; what follows on the sockets `audit` judges. Exit 1 on a break.
    Rules {
        files: Vec<PathBuf>,
        #[arg(long)]
        json: bool,
    },
    /// Drives this build's module with what was recorded; exit 1 at the first decision that differs.
    Replay {
        /// Files of whole rows, from file 0 on; several rows are replayed one after the other.
        files: Vec<PathBuf>,
        /// Goes through to the end and counts all that differs, by kind.
        #[arg(long)]
        all: bool,
        /// Compares with what this other build's module decides, not with what was recorded.
        #[arg(long)]
        against: Option<PathBuf>,
        #[arg(long)]
        json: bool,
    },
    /// Writes rows anew, a file each, with this build's decisions in place of what was decided.
    Redo {
        files: Vec<PathBuf>,
        #[arg(long)]
        out: PathBuf,
    },
}

/// Converts seconds, as given on the command line, to microseconds.
fn micros(seconds: f64) -> i64 {
    (seconds * 1e6) as i64
}

/// Runs a subcommand; false if what it checks does not hold (exit code 1).
pub fn run(command: TraceCommand) -> Result<bool, CliError> {
    match command {
        TraceCommand::Verify { files } => verify::verify(&expand_folders(&files)?),
        TraceCommand::Summary { files, json } => {
            summary::summary(&expand_folders(&files)?, json).map(|()| true)
        }
        TraceCommand::Chart { files, out } => {
            summary::chart(&expand_folders(&files)?, &out).map(|()| true)
        }
        TraceCommand::Show { mark, files } => {
            show::show(&mark, &expand_folders(&files)?).map(|()| true)
        }
        TraceCommand::Explain {
            files,
            from,
            until,
            json,
        } => {
            let span_us = (
                from.map_or(i64::MIN, micros),
                until.map_or(i64::MAX, micros),
            );
            explain::explain(&expand_folders(&files)?, span_us, json).map(|()| true)
        }
        TraceCommand::Rules { files, json } => rules::check_rules(&expand_folders(&files)?, json),
        TraceCommand::Merge { files, out, as_is } => {
            rewrite::merge(&expand_folders(&files)?, &out, as_is)
        }
        TraceCommand::Cut(args) => rewrite::cut(args),
        TraceCommand::Strip { file, out, key } => rewrite::strip(&file, &out, &key),
        TraceCommand::Replay {
            files,
            all: false,
            against: None,
            ..
        } => replay::replay_until_difference(&expand_folders(&files)?),
        TraceCommand::Replay {
            files,
            against,
            json,
            ..
        } => compare::compare(&expand_folders(&files)?, against.as_deref(), json),
        TraceCommand::Redo { files, out } => {
            replay::redo(&expand_folders(&files)?, &out).map(|()| true)
        }
    }
}
