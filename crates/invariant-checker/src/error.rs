//! Errors that keep a run from being checked.

use cedarpulley_errors::Remedy;

/// Reason why a run has no verdict.
#[derive(Debug, thiserror::Error)]
pub enum CheckError {
    /// A file or folder cannot be read.
    #[error("{file} cannot be read")]
    Unreadable {
        /// The file or folder.
        file: String,
        /// Cause of the error.
        source: std::io::Error,
    },
    /// The file with the settings of the rules is malformed.
    #[error("{file} does not contain the settings of the rules")]
    MalformedRules {
        /// The file.
        file: String,
        /// Cause of the error.
        source: serde_json::Error,
    },
    /// A line is not JSON, and it is not the last line of its log.
    #[error("{file}:{line} is not valid JSON")]
    MalformedLine {
        /// The log.
        file: String,
        /// Number of the line, from 1.
        line: usize,
        /// Cause of the error.
        source: serde_json::Error,
    },
    /// A line of a log has no timestamp.
    #[error("{file}:{line} has no timestamp")]
    MissingTime {
        /// The log.
        file: String,
        /// Number of the line, from 1.
        line: usize,
    },
    /// The logs are empty.
    #[error("{folder} contains no recorded traffic")]
    NoTraffic {
        /// The folder of the logs.
        folder: String,
    },
}

impl Remedy for CheckError {
    fn remedy(&self) -> &'static str {
        match self {
            CheckError::Unreadable { .. } => "give the output folder of a scenario (its --out)",
            CheckError::MalformedRules { .. }
            | CheckError::MalformedLine { .. }
            | CheckError::MissingTime { .. } => {
                "check the folder as the scenario wrote it; run the scenario again if a file was changed"
            }
            CheckError::NoTraffic { .. } => {
                "run the scenario again: its emulators recorded no traffic"
            }
        }
    }
}
