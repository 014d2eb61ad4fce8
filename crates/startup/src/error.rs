//! Why settings are rejected.

use cedarpulley_errors::Remedy;
use thiserror::Error;

/// Why settings are rejected.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum SettingsError {
    /// The nested form is no JSON object.
    #[error("the settings are no object")]
    NotAnObject,
    /// A pair without `=`.
    #[error("setting '{part}' has no =")]
    NotAPair {
        /// The text that was given.
        part: String,
    },
    /// A setting is nested deeper than any that is known.
    #[error("setting {path} lies too deep")]
    TooDeep {
        /// Its path.
        path: String,
    },
    /// A value of another type than the setting's.
    #[error("setting {path}={value} is not {expected}")]
    WrongType {
        /// The setting's path.
        path: String,
        /// The value that was given.
        value: String,
        /// What it should have been.
        expected: &'static str,
    },
    /// A value that is none of those the setting can have.
    #[error("setting {path}={value} is a word that has no meaning here")]
    UnknownValue {
        /// The setting's path.
        path: String,
        /// The value that was given.
        value: String,
    },
    /// A list's length is no whole number, or more than was given.
    #[error("setting {path}={value} does not fit the settings that were given")]
    InvalidCount {
        /// The path of the length.
        path: String,
        /// The length that was given.
        value: String,
    },
}

impl Remedy for SettingsError {
    fn remedy(&self) -> &'static str {
        match self {
            SettingsError::NotAnObject => "give the settings as one JSON object",
            SettingsError::NotAPair { .. } => {
                "give each setting as PATH=VALUE, set apart by blanks"
            }
            SettingsError::TooDeep { .. } => {
                "take it out: no setting that counts here nests so deep"
            }
            SettingsError::WrongType { .. } => {
                "give it what the cause names; times are whole nanoseconds, flags true or false"
            }
            SettingsError::UnknownValue { .. } => {
                "give one of the words that this build knows, or run a newer build"
            }
            SettingsError::InvalidCount { .. } => "give as many entries as the count says",
        }
    }
}

pub(crate) type Result<T> = std::result::Result<T, SettingsError>;

pub(crate) fn wrong_type(path: &str, value: &str, expected: &'static str) -> SettingsError {
    SettingsError::WrongType {
        path: path.to_owned(),
        value: value.to_owned(),
        expected,
    }
}

pub(crate) fn unknown_value(path: &str, value: &str) -> SettingsError {
    SettingsError::UnknownValue {
        path: path.to_owned(),
        value: value.to_owned(),
    }
}
