//! Errors of a cluster, such as a malformed scenario file or a cluster that cannot be set up. A violated invariant is
//! not an error but a finding of the invariant checker.

use std::io;
use std::net::SocketAddr;
use std::path::Path;

use cedarpulley_errors::Remedy;
use thiserror::Error;

/// Reasons why a scenario or a cluster cannot be run.
#[derive(Debug, Error)]
pub enum ClusterError {
    /// A file cannot be read or written.
    #[error("{file}: the file cannot be read or written")]
    File {
        /// The file.
        file: String,
        /// Its cause.
        source: io::Error,
    },
    /// The scenario is not valid TOML, or its keys or types are wrong.
    #[error("{file}:{line}: the scenario is malformed: {detail}")]
    MalformedScenario {
        /// The file.
        file: String,
        /// Number of the line, starting at 1.
        line: usize,
        /// Message of the parser.
        detail: String,
    },
    /// A value is out of range.
    #[error("{file}: {key}: {value} is out of range; the range is {within}")]
    OutOfRange {
        /// The file.
        file: String,
        /// The key.
        key: String,
        /// The value.
        value: f64,
        /// The range.
        within: &'static str,
    },
    /// A list that needs at least one element is empty.
    #[error("{file}: {key}: at least one is required")]
    Empty {
        /// The file.
        file: String,
        /// The key.
        key: &'static str,
    },
    /// The scenario refers to a name that it does not define.
    #[error("{file}: {key}: the scenario does not define '{name}'")]
    UnknownName {
        /// The file.
        file: String,
        /// The key.
        key: String,
        /// The name.
        name: String,
    },
    /// A key requires another key.
    #[error("{file}: {key} requires {what}")]
    MissingRequirement {
        /// The file.
        file: String,
        /// The key.
        key: String,
        /// The requirement.
        what: &'static str,
    },
    /// Emulators, relays or settings cannot be set up.
    #[error("{folder}: the cluster cannot be set up")]
    Setup {
        /// The folder of the cluster.
        folder: String,
        /// Its cause.
        source: io::Error,
    },
    /// The process of a router cannot be started or signalled, or its state cannot be copied.
    #[error(
        "router {number}: the process cannot be started or signalled, or its state cannot be copied"
    )]
    Router {
        /// Number of the router.
        number: usize,
        /// Its cause.
        source: io::Error,
    },
    /// The routers do not consume from the broker in time.
    #[error("the routers did not consume from the broker in time")]
    RoutersNotReady,
    /// The members of the routers' group may not vote in time, because they have not restored their records.
    #[error("the group of routers was not ready to vote in time")]
    GroupNotReady,
    /// A request to a router or worker fails.
    #[error("the request to {address} failed, or its response cannot be read")]
    Request {
        /// Its address.
        address: SocketAddr,
        /// Its cause.
        source: io::Error,
    },
    /// A router or worker responds with a status other than success.
    #[error("{address} responds with status {status}")]
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
                "check that the path is correct, that it may be read and written, and that the disk has free space"
            }
            ClusterError::MalformedScenario { .. } => {
                "correct that line; the files in days/ show the format"
            }
            ClusterError::OutOfRange { .. } => "set the key to a value within its range",
            ClusterError::Empty { .. } => "add at least one to the scenario",
            ClusterError::UnknownName { .. } => {
                "use a name that the scenario defines; workers and routers are numbered from 0"
            }
            ClusterError::MissingRequirement { .. } => {
                "add the requirement to the scenario, or remove the key"
            }
            ClusterError::Setup { .. } => {
                "set --out to a folder that may be written to, and check that loopback addresses can be bound"
            }
            ClusterError::Router { .. }
            | ClusterError::RoutersNotReady
            | ClusterError::GroupNotReady => "check the routers' logs under routers/",
            ClusterError::Request { .. } | ClusterError::Status { .. } => {
                "check that the process runs, and that the address is a router's peers.listen or a worker's address"
            }
            ClusterError::Checker(error) => error.remedy(),
        }
    }
}
