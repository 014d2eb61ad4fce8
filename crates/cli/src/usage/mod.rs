//! `cedarpulley meter ...`: reports, merges and reconciles the memory-seconds in usage stores (ledgers).

mod reconcile;
mod report;
mod stores;

use std::path::PathBuf;

use clap::{Subcommand, ValueEnum};

use crate::error::CliError;
use report::OutputFormat;
use stores::expand_folders;

#[derive(Subcommand)]
pub enum MeterCommand {
    /// Memory-seconds (MB-s), by tenant and kind unless told otherwise.
    Report {
        /// Ledgers of any number of routers; a folder stands for all in it.
        files: Vec<PathBuf>,
        #[arg(long, value_enum, value_delimiter = ',', default_value = "tenant,kind")]
        by: Vec<GroupBy>,
        #[arg(long)]
        json: bool,
        #[arg(long)]
        csv: bool,
    },
    /// One ledger of many; the same one twice, or in another order, makes no difference.
    Merge {
        files: Vec<PathBuf>,
        #[arg(long)]
        out: PathBuf,
    },
    /// Compares a day's ledgers with what its stand-in workers say they held; exit 1 beyond one percent.
    Reconcile {
        folder: PathBuf,
        #[arg(long)]
        json: bool,
    },
}

// No doc comments: clap would print them in the help of `--by`.
#[derive(Clone, Copy, PartialEq, Eq, ValueEnum)]
pub enum GroupBy {
    Tenant,
    Function,
    Hour,
    Kind,
}

/// Runs a subcommand; false if what it checks does not hold (exit code 1).
pub fn run(command: MeterCommand) -> Result<bool, CliError> {
    match command {
        MeterCommand::Report {
            files,
            by,
            json,
            csv,
        } => {
            let format = match (json, csv) {
                (true, _) => OutputFormat::Json,
                (false, true) => OutputFormat::Csv,
                (false, false) => OutputFormat::Table,
            };
            report::report(&expand_folders(&files)?, &by, format).map(|()| true)
        }
        MeterCommand::Merge { files, out } => {
            stores::merge(&expand_folders(&files)?, &out).map(|()| true)
        }
        MeterCommand::Reconcile { folder, json } => reconcile::reconcile(&folder, json),
    }
}
