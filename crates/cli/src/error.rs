//! Errors of the command line: its own, and errors of other packages with the file that they concern. Each is printed
//! as one line on standard error and ends the process with exit code 2.
//!
//! The texts and the names of the fields in their placeholders are listed in `docs/operate/errors.md`.

use std::io;
use std::net::SocketAddr;
use std::path::Path;

use cedarpulley_errors::Remedy;
use thiserror::Error;

/// Why a command failed.
#[derive(Debug, Error)]
pub enum CliError {
    /// The filter given with `--level` does not parse.
    #[error("--level {level}: not a valid log filter")]
    InvalidLogFilter { level: String },
    /// The fault given with `--tamper` does not exist.
    #[error("--tamper {name}: unknown kind of fault")]
    UnknownFault { name: String },
    /// An emulator was given an address that other machines could reach.
    #[error("{address} is not on loopback")]
    NotLoopback { address: SocketAddr },
    /// No input file was given, and no folder that contains one.
    #[error("no {what} is given")]
    NoInputFile { what: &'static str },
    /// An input file does not exist.
    #[error("{file}: there is no such file")]
    FileNotFound { file: String },
    /// The operating system refused to read or write a file.
    #[error("{file}: cannot be read or written")]
    FileAccess { file: String, source: io::Error },
    /// All errors in a settings file, one line each.
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
    /// A scenario could not be read, or its test cluster could not be run.
    #[error(transparent)]
    TestCluster(#[from] cedarpulley_test_cluster::error::ClusterError),
    /// A router had to be killed at the end of a scenario because it did not stop in time.
    #[error("a router did not shut down gracefully")]
    UncleanShutdown,
    /// An emulator could not be started.
    #[error("an emulator cannot start")]
    EmulatorStart(#[source] io::Error),
    /// The process of a router could not be started, or no port was free for it.
    #[error("the router cannot start")]
    RouterStart(#[source] io::Error),
    /// The invariants of an earlier run cannot be checked from the files in its folder.
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
    /// The secret for pseudonyms is too short. Sizes in bytes.
    #[error("{file}: the secret has {size} bytes, but at least {least} are required")]
    SecretTooShort {
        file: String,
        size: usize,
        least: usize,
    },
    /// No invocation in the files has this correlation id or request id.
    #[error("'{mark}' was not found in any of the files")]
    MarkNotFound { mark: String },
    /// `trace redo` of another build failed; has the first line of its standard error.
    #[error("{program}: `trace redo` of these files failed: {said}", said = .first_line)]
    RedoFailed { program: String, first_line: String },
    /// A result could not be encoded as JSON.
    #[error("the result cannot be encoded as JSON")]
    Json(#[from] serde_json::Error),
    /// A result could not be encoded as CSV.
    #[error("the result cannot be encoded as CSV")]
    Csv(#[from] csv::Error),
}

impl CliError {
    /// For `map_err`: adds the file to an I/O error.
    pub fn file(file: &Path) -> impl FnOnce(io::Error) -> CliError {
        move |source| CliError::FileAccess {
            file: file.display().to_string(),
            source,
        }
    }

    /// For `map_err`: adds the file, or the router whose files are read, to a trace error.
    pub fn trace(of: impl ToString) -> impl FnOnce(cedarpulley_trace::Error) -> CliError {
        move |source| CliError::Trace {
            of: of.to_string(),
            source,
        }
    }

    /// For `map_err`: adds the file to an error of a usage store.
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
                "use the syntax of RUST_LOG, such as info or cedarpulley_gateway=debug"
            }
            CliError::UnknownFault { .. } => {
                "give one of those that `cedarpulley day --help` lists"
            }
            CliError::NotLoopback { .. } => {
                "give an address in 127.0.0.0/8: emulators listen on loopback only"
            }
            CliError::NoInputFile { .. } => "name at least one, or a folder that contains some",
            CliError::FileNotFound { .. } => {
                "name an existing file, or a folder that contains some"
            }
            CliError::FileAccess { .. } => {
                "check the path, its permissions and the free space of its disk"
            }
            CliError::Settings(_) => {
                "correct each of these lines; docs/operate/settings.md lists all settings"
            }
            CliError::Serve { source, .. } => source.remedy(),
            CliError::Node(source) => source.remedy(),
            CliError::TestCluster(source) => source.remedy(),
            CliError::UncleanShutdown => "see the routers' logs under routers/",
            CliError::EmulatorStart(_) => {
                "give it an address that is not in use and a writable folder for logs"
            }
            CliError::RouterStart(_) => {
                "check that the file of this program still exists and may be executed"
            }
            CliError::InvariantCheck(source) => source.remedy(),
            CliError::Trace { source, .. } => source.remedy(),
            CliError::UsageStore { source, .. } => source.remedy(),
            CliError::SecretTooShort { .. } => "write more random bytes into it",
            CliError::MarkNotFound { .. } => {
                "give the correlation id or request id as the client sent it, and the files of that time"
            }
            CliError::RedoFailed { .. } => {
                "check that it is a build of cedarpulley that has `trace redo`"
            }
            CliError::Json(_) => "run the command without --json, and report the error",
            CliError::Csv(_) => "run the command without --csv, and report the error",
        }
    }
}
