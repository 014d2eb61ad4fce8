//! Why a run cannot be checked.

use cedarpulley_errors::Remedy;

/// Why there is no verdict.
#[derive(Debug, thiserror::Error)]
pub enum CheckError {
    /// A file or folder cannot be read.
    #[error("{file} cannot be read")]
    Unreadable {
        /// The file or folder.
        file: String,
        /// Its cause.
        source: std::io::Error,
    },
    /// The file of the rules' figures is not of its form.
    #[error("{file} does not hold the figures of the rules")]
    MalformedRules {
        /// The file.
        file: String,
        /// Its cause.
        source: serde_json::Error,
    },
    /// A line other than a log's last is no JSON.
    #[error("{file}:{line} is not a line of a log")]
    MalformedLine {
        /// The log.
        file: String,
        /// The line, from 1.
        line: usize,
        /// Its cause.
        source: serde_json::Error,
    },
    /// A line has no time.
    #[error("{file}:{line} has no time")]
    MissingTime {
        /// The log.
        file: String,
        /// The line, from 1.
        line: usize,
    },
    /// The logs are empty.
    #[error("{folder} has no traffic to judge")]
    NoTraffic {
        /// The folder of the logs.
        folder: String,
    },
}

impl Remedy for CheckError {
    fn remedy(&self) -> &'static str {
        match self {
            CheckError::Unreadable { .. } => "name the folder that a day was told to leave (--out)",
            CheckError::MalformedRules { .. }
            | CheckError::MalformedLine { .. }
            | CheckError::MissingTime { .. } => {
                "judge a folder as its day left it; play the day again if it was changed"
            }
            CheckError::NoTraffic { .. } => "play the day again: its stand-ins wrote nothing",
        }
    }
}
