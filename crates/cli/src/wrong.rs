//! What goes wrong before anything is judged: the packages' errors with the file that they are of, and what the
//! command line itself can get wrong. One line a cause on standard error, exit code 2.

use std::io;
use std::net::SocketAddr;
use std::path::Path;

use cedarpulley_errors::Remedy;
use thiserror::Error;

#[derive(Debug, Error)]
pub enum Wrong {
    #[error("--level {level}: it is no log filter")]
    Level { level: String },
    #[error("--tamper {name}: there is no such kind")]
    Tamper { name: String },
    #[error("{address} is not on loopback")]
    Outside { address: SocketAddr },
    #[error("no {what} is given")]
    NoFile { what: &'static str },
    #[error("{file}: there is no such file")]
    Absent { file: String },
    #[error("{file}: it cannot be read or written")]
    File { file: String, source: io::Error },
    #[error("{0}")]
    Settings(cedarpulley_gateway::config_reader::ConfigErrors),
    #[error("{file}: the router cannot run")]
    Serve {
        file: String,
        source: cedarpulley_gateway::serve::StartError,
    },
    #[error(transparent)]
    Node(#[from] cedarpulley_platform_node::StartError),
    #[error(transparent)]
    Day(#[from] cedarpulley_test_cluster::error::ClusterError),
    #[error("a router did not end in good order")]
    Unended,
    #[error("a stand-in cannot start")]
    Standin(#[source] io::Error),
    #[error("the router cannot start")]
    Router(#[source] io::Error),
    #[error(transparent)]
    Audit(#[from] cedarpulley_invariant_checker::CheckError),
    #[error("{of}")]
    Trace {
        of: String,
        source: cedarpulley_trace::Error,
    },
    #[error("{file}")]
    Ledger {
        file: String,
        source: cedarpulley_usage_store::StoreError,
    },
    #[error("{file}: a secret of {size} bytes, where {least} are the least")]
    ShortSecret {
        file: String,
        size: usize,
        least: usize,
    },
    #[error("'{mark}' is in none of the files")]
    NoMark { mark: String },
    #[error("{program}: it could not redo these files: {said}")]
    NotRedone { program: String, said: String },
    #[error("the result has no form in JSON")]
    Json(#[from] serde_json::Error),
    #[error("the result has no form in CSV")]
    Csv(#[from] csv::Error),
}

impl Wrong {
    pub fn file(file: &Path) -> impl FnOnce(io::Error) -> Wrong {
        move |source| Wrong::File {
            file: file.display().to_string(),
            source,
        }
    }

    /// Of this file, or of the row of this router.
    pub fn trace(of: impl ToString) -> impl FnOnce(cedarpulley_trace::Error) -> Wrong {
        move |source| Wrong::Trace {
            of: of.to_string(),
            source,
        }
    }
}

impl Remedy for Wrong {
    fn remedy(&self) -> &'static str {
        match self {
            Wrong::Level { .. } => {
                "give one as in RUST_LOG, such as info or cedarpulley_gateway=debug"
            }
            Wrong::Tamper { .. } => "give one that `cedarpulley day --help` names",
            Wrong::Outside { .. } => {
                "give an address in 127.0.0.0/8: stand-ins listen on loopback only"
            }
            Wrong::NoFile { .. } => "name at least one, or a folder that holds some",
            Wrong::Absent { .. } => "name a file that is there, or a folder that holds some",
            Wrong::File { .. } => {
                "see that its path is right, may be read or written, and has room"
            }
            Wrong::Settings(_) => {
                "mend each of these lines; docs/operate/settings.md has all settings"
            }
            Wrong::Serve { source, .. } => source.remedy(),
            Wrong::Node(why) => why.remedy(),
            Wrong::Day(why) => why.remedy(),
            Wrong::Unended => "see the routers' logs under routers/",
            Wrong::Standin(_) => {
                "give it an address that is free and a folder for logs that may be written to"
            }
            Wrong::Router(_) => "see that this program may be started again from where it lies",
            Wrong::Audit(why) => why.remedy(),
            Wrong::Trace { source, .. } => source.remedy(),
            Wrong::Ledger { source, .. } => source.remedy(),
            Wrong::ShortSecret { .. } => "write more random bytes into it",
            Wrong::NoMark { .. } => {
                "give the mark as its client gave it, and the files of that time"
            }
            Wrong::NotRedone { .. } => {
                "see that it is a build of cedarpulley that knows `trace redo`"
            }
            Wrong::Json(_) => "ask without --json, and report it",
            Wrong::Csv(_) => "ask without --csv, and report it",
        }
    }
}
