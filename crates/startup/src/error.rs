//! [`SettingsError`]: the reasons for which settings are rejected.

use cedarpulley_errors::Remedy;
use thiserror::Error;

/// The reason for which settings are rejected.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum SettingsError {
    /// The nested form is not a JSON object.
    #[error("the settings are not a JSON object")]
    NotAnObject,
    /// A pair has no `=`.
    #[error("setting '{part}' has no =")]
    NotAPair {
        /// The text of the pair.
        part: String,
    },
    /// A setting is nested more deeply than any known setting.
    #[error("setting {path} is nested too deeply")]
    TooDeep {
        /// The setting's path.
        path: String,
    },
    /// A value does not have the type of its setting.
    #[error("setting {path}={value} is not {expected}")]
    WrongType {
        /// The setting's path.
        path: String,
        /// The value given.
        value: String,
        /// The type that is expected.
        expected: &'static str,
    },
    /// A value is not among the values that its setting can have.
    #[error("setting {path}={value} is not one of the known values")]
    UnknownValue {
        /// The setting's path.
        path: String,
        /// The value given.
        value: String,
    },
    /// The length of a list is negative, is not a whole number, or exceeds the number of all settings given.
    #[error("setting {path}={value} is not a valid list length")]
    InvalidCount {
        /// The path of the setting that gives the length.
        path: String,
        /// The length given.
        value: String,
    },
}

impl Remedy for SettingsError {
    fn remedy(&self) -> &'static str {
        match self {
            SettingsError::NotAnObject => "give the settings as one JSON object",
            SettingsError::NotAPair { .. } => {
                "give each setting as PATH=VALUE, separated by spaces"
            }
            SettingsError::TooDeep { .. } => "remove it: no known setting is nested that deeply",
            SettingsError::WrongType { .. } => {
                "give a value of that type; times are whole nanoseconds, flags are true or false"
            }
            SettingsError::UnknownValue { .. } => {
                "use a value that this build supports, or run a newer build"
            }
            SettingsError::InvalidCount { .. } => {
                "set the length to the number of entries in the list"
            }
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
