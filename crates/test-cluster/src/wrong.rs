//! What goes wrong outside of what is tried: a day's file that is none or cannot be meant, a fleet that cannot be had.
//! What routers did wrong is the judge's, and no error.

use std::io;
use std::net::SocketAddr;
use std::path::Path;

use cedarpulley_errors::Remedy;
use thiserror::Error;

#[derive(Debug, Error)]
pub enum Wrong {
    #[error("{file}: the day cannot be read, or its part not be written")]
    File { file: String, source: io::Error },
    #[error("{file}:{line}: it is not written as a day is: {said}")]
    NoDay {
        file: String,
        line: usize,
        said: String,
    },
    #[error("{file}: {key}: {value} is out of its range, {within}")]
    OutOfRange {
        file: String,
        key: String,
        value: f64,
        within: &'static str,
    },
    #[error("{file}: {key}: there must be one at least")]
    Empty { file: String, key: &'static str },
    #[error("{file}: {key}: the day has no '{name}'")]
    Absent {
        file: String,
        key: String,
        name: String,
    },
    #[error("{file}: {key} needs {what}")]
    Needs {
        file: String,
        key: String,
        what: &'static str,
    },
    #[error("{folder}: no fleet can be set up here")]
    NoFleet { folder: String, source: io::Error },
    #[error("router {number} cannot be started or told")]
    Router { number: usize, source: io::Error },
    #[error("the routers did not come up")]
    NotUp,
    #[error("the routers' group does not remember enough to vote")]
    NotWhole,
    #[error("{address} cannot be asked, or its answer not be read")]
    Asked {
        address: SocketAddr,
        source: io::Error,
    },
    #[error("{address} answers with status {status}")]
    Status { address: SocketAddr, status: u16 },
    #[error(transparent)]
    Audit(#[from] cedarpulley_invariant_checker::Unjudged),
}

impl Wrong {
    pub(crate) fn file(file: &Path) -> impl FnOnce(io::Error) -> Wrong {
        move |source| Wrong::File {
            file: file.display().to_string(),
            source,
        }
    }
}

impl Remedy for Wrong {
    fn remedy(&self) -> &'static str {
        match self {
            Wrong::File { .. } => {
                "see that its path is right, may be read or written, and has room"
            }
            Wrong::NoDay { .. } => "write that line as the files in days/ have it",
            Wrong::OutOfRange { .. } => "give that key a value within its range",
            Wrong::Empty { .. } => "give the day one of them",
            Wrong::Absent { .. } => "name one that the day has; workers and routers count from 0",
            Wrong::Needs { .. } => "give the day that as well, or take the key out",
            Wrong::NoFleet { .. } => {
                "give --out a folder that may be written to, and see that loopback is free"
            }
            Wrong::Router { .. } | Wrong::NotUp | Wrong::NotWhole => {
                "see the routers' logs under routers/"
            }
            Wrong::Asked { .. } | Wrong::Status { .. } => {
                "see that the router or worker runs, and that the address is a router's peers.listen or a worker's"
            }
            Wrong::Audit(why) => why.remedy(),
        }
    }
}
