//! Errors of a cluster: a malformed scenario file, a cluster that cannot be set up. An invariant that routers broke is
//! the checker's finding, and no error.

use std::io;
use std::net::SocketAddr;
use std::path::Path;

use cedarpulley_errors::Remedy;
use thiserror::Error;

/// Why a scenario cannot be played.
#[derive(Debug, Error)]
pub enum ClusterError {
    /// A file cannot be read or written.
    #[error("{file}: the day cannot be read, or its part not be written")]
    File {
        /// The file.
        file: String,
        /// Its cause.
        source: io::Error,
    },
    /// The scenario is not TOML of its form.
    #[error("{file}:{line}: it is not written as a day is: {detail}")]
    MalformedScenario {
        /// The file.
        file: String,
        /// The line, from 1.
        line: usize,
        /// What the parser says.
        detail: String,
    },
    /// A value is outside of its range.
    #[error("{file}: {key}: {value} is out of its range, {within}")]
    OutOfRange {
        /// The file.
        file: String,
        /// The key.
        key: String,
        /// Its value.
        value: f64,
        /// The range.
        within: &'static str,
    },
    /// A list needs at least one element.
    #[error("{file}: {key}: there must be one at least")]
    Empty {
        /// The file.
        file: String,
        /// The key.
        key: &'static str,
    },
    /// A name that the scenario does not define.
    #[error("{file}: {key}: the day has no '{name}'")]
    UnknownName {
        /// The file.
        file: String,
        /// The key.
        key: String,
        /// The name.
        name: String,
    },
    /// A key needs another one.
    #[error("{file}: {key} needs {what}")]
    MissingRequirement {
        /// The file.
        file: String,
        /// The key.
        key: String,
        /// What it needs.
        what: &'static str,
    },
    /// Emulators, relays or settings cannot be set up.
    #[error("{folder}: no fleet can be set up here")]
    Setup {
        /// The folder.
        folder: String,
        /// Its cause.
        source: io::Error,
    },
    /// A router's process cannot be started or signalled.
    #[error("router {number} cannot be started or told")]
    Router {
        /// The router's number.
        number: usize,
        /// Its cause.
        source: io::Error,
    },
    /// The routers do not consume in time.
    #[error("the routers did not come up")]
    RoutersNotReady,
    /// The routers' group may not vote in time.
    #[error("the routers' group does not remember enough to vote")]
    GroupNotReady,
    /// A router or worker does not answer.
    #[error("{address} cannot be asked, or its answer not be read")]
    Request {
        /// Its address.
        address: SocketAddr,
        /// Its cause.
        source: io::Error,
    },
    /// A router or worker answers without success.
    #[error("{address} answers with status {status}")]
    Status {
        /// Its address.
        address: SocketAddr,
        /// The HTTP status.
        status: u16,
    },
    /// The logs cannot be checked.
    #[error(transparent)]
    Checker(#[from] cedarpulley_invariant_checker::CheckError),
}

impl ClusterError {
    pub(crate) fn file(file: &Path) -> impl FnOnce(io::Error) -> ClusterError {
        move |source| ClusterError::File {
            file: file.display().to_string(),
            source,
        }
    }
}

impl Remedy for ClusterError {
    fn remedy(&self) -> &'static str {
        match self {
            ClusterError::File { .. } => {
                "see that its path is right, may be read or written, and has room"
            }
            ClusterError::MalformedScenario { .. } => {
                "write that line as the files in days/ have it"
            }
            ClusterError::OutOfRange { .. } => "give that key a value within its range",
            ClusterError::Empty { .. } => "give the day one of them",
            ClusterError::UnknownName { .. } => {
                "name one that the day has; workers and routers count from 0"
            }
            ClusterError::MissingRequirement { .. } => {
                "give the day that as well, or take the key out"
            }
            ClusterError::Setup { .. } => {
                "give --out a folder that may be written to, and see that loopback is free"
            }
            ClusterError::Router { .. }
            | ClusterError::RoutersNotReady
            | ClusterError::GroupNotReady => "see the routers' logs under routers/",
            ClusterError::Request { .. } | ClusterError::Status { .. } => {
                "see that the router or worker runs, and that the address is a router's peers.listen or a worker's"
            }
            ClusterError::Checker(error) => error.remedy(),
        }
    }
}
