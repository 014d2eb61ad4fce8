//! Errors of the command line: those of the packages together with the file they concern, and its own. Each is
//! printed as one line on standard error and ends the process with exit code 2.
//!
//! The texts, and the names of the fields that they quote, are listed in `docs/operate/errors.md`.

use std::io;
use std::net::SocketAddr;
use std::path::Path;

use cedarpulley_errors::Remedy;
use thiserror::Error;

/// Why a command could not be carried out.
#[derive(Debug, Error)]
pub enum CliError {
    /// The filter of `--level` does not parse.
    #[error("--level {level}: it is no log filter")]
    InvalidLogFilter { level: String },
    /// The fault of `--tamper` does not exist.
    #[error("--tamper {name}: there is no such kind")]
    UnknownFault { name: String },
    /// An emulator was given an address that other machines could reach.
    #[error("{address} is not on loopback")]
    NotLoopback { address: SocketAddr },
    /// No input file was given, and no folder that has one.
    #[error("no {what} is given")]
    NoInputFile { what: &'static str },
    /// An input file does not exist.
    #[error("{file}: there is no such file")]
    FileNotFound { file: String },
    /// The operating system refused to read or write a file.
    #[error("{file}: it cannot be read or written")]
    FileAccess { file: String, source: io::Error },
    /// All that is wrong with a settings file, one line each.
    #[error("{0}")]
    Settings(cedarpulley_gateway::config_reader::ConfigErrors),
    /// The router of this settings file could not start.
    #[error("{file}: the router cannot run")]
    Serve {
        file: String,
        source: cedarpulley_gateway::serve::StartError,
    },
    /// The router on the users' platform (`node`) could not start.
    #[error(transparent)]
    Node(#[from] cedarpulley_platform_node::StartError),
    /// A scenario could not be read, or its cluster not be run.
    #[error(transparent)]
    TestCluster(#[from] cedarpulley_test_cluster::error::ClusterError),
    /// A router of a scenario had to be killed at its end.
    #[error("a router did not end in good order")]
    UncleanShutdown,
    /// An emulator could not be started.
    #[error("a stand-in cannot start")]
    EmulatorStart(#[source] io::Error),
    /// The router's process could not be started, or no port was free for it.
    #[error("the router cannot start")]
    RouterStart(#[source] io::Error),
    /// A run that was left in a folder cannot be judged.
    #[error(transparent)]
    InvariantCheck(#[from] cedarpulley_invariant_checker::CheckError),
    /// A trace file, or the files of one router, could not be read or written.
    #[error("{of}")]
    Trace {
        of: String,
        source: cedarpulley_trace::Error,
    },
    /// A usage store (ledger) could not be read or written.
    #[error("{file}")]
    UsageStore {
        file: String,
        source: cedarpulley_usage_store::StoreError,
    },
    /// Sizes in bytes.
    #[error("{file}: a secret of {size} bytes, where {least} are the least")]
    SecretTooShort {
        file: String,
        size: usize,
        least: usize,
    },
    /// No invocation in the files has this correlation id or request id.
    #[error("'{mark}' is in none of the files")]
    MarkNotFound { mark: String },
    /// Another build's `trace redo` failed; the first line of its standard error.
    #[error("{program}: it could not redo these files: {said}", said = .first_line)]
    RedoFailed { program: String, first_line: String },
    /// A result could not be encoded as JSON.
    #[error("the result has no form in JSON")]
    Json(#[from] serde_json::Error),
    /// A result could not be encoded as CSV.
    #[error("the result has no form in CSV")]
    Csv(#[from] csv::Error),
}

impl CliError {
    /// For `map_err`: an input or output error of this file.
    pub fn file(file: &Path) -> impl FnOnce(io::Error) -> CliError {
        move |source| CliError::FileAccess {
            file: file.display().to_string(),
            source,
        }
    }

    /// For `map_err`: a trace error of this file, or of the files of this router.
    pub fn trace(of: impl ToString) -> impl FnOnce(cedarpulley_trace::Error) -> CliError {
        move |source| CliError::Trace {
            of: of.to_string(),
            source,
        }
    }

    /// For `map_err`: an error of this usage store.
    pub fn usage_store(
        file: &Path,
    ) -> impl FnOnce(cedarpulley_usage_store::StoreError) -> CliError {
        move |source| CliError::UsageStore {
            file: file.display().to_string(),
            source,
        }
    }
}

impl Remedy for CliError {
    fn remedy(&self) -> &'static str {
        match self {
            CliError::InvalidLogFilter { .. } => {
                "give one as in RUST_LOG, such as info or cedarpulley_gateway=debug"
            }
            CliError::UnknownFault { .. } => "give one that `cedarpulley day --help` names",
            CliError::NotLoopback { .. } => {
                "give an address in 127.0.0.0/8: stand-ins listen on loopback only"
            }
            CliError::NoInputFile { .. } => "name at least one, or a folder that holds some",
            CliError::FileNotFound { .. } => {
                "name a file that is there, or a folder that holds some"
            }
            CliError::FileAccess { .. } => {
                "see that its path is right, may be read or written, and has room"
            }
            CliError::Settings(_) => {
                "mend each of these lines; docs/operate/settings.md has all settings"
            }
            CliError::Serve { source, .. } => source.remedy(),
            CliError::Node(source) => source.remedy(),
            CliError::TestCluster(source) => source.remedy(),
            CliError::UncleanShutdown => "see the routers' logs under routers/",
            CliError::EmulatorStart(_) => {
                "give it an address that is free and a folder for logs that may be written to"
            }
            CliError::RouterStart(_) => {
                "see that this program may be started again from where it lies"
            }
            CliError::InvariantCheck(source) => source.remedy(),
            CliError::Trace { source, .. } => source.remedy(),
            CliError::UsageStore { source, .. } => source.remedy(),
            CliError::SecretTooShort { .. } => "write more random bytes into it",
            CliError::MarkNotFound { .. } => {
                "give the mark as its client gave it, and the files of that time"
            }
            CliError::RedoFailed { .. } => {
                "see that it is a build of cedarpulley that knows `trace redo`"
            }
            CliError::Json(_) => "ask without --json, and report it",
            CliError::Csv(_) => "ask without --csv, and report it",
        }
    }
}
