//! Reads the settings that the policy module starts with, in either of the two forms in which a site gives them: pairs
//! of path and value, or nested JSON, with the same names and units. [`RawSettings`] holds them as given, and
//! [`StartupSettings::read`] makes typed settings of them; a caller that needs more asks [`RawSettings`] for it.
#![warn(missing_docs)]

mod error;
mod names;
mod raw_settings;
mod report_field;
mod startup_settings;

pub use error::SettingsError;
pub use names::Names;
pub use raw_settings::{RawSettings, micros_from_nanos};
pub use report_field::ReportField;
pub use startup_settings::StartupSettings;
