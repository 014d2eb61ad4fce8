//! Reads the settings that the balancer (the decision module, `cedarpulley::Balancer`) starts with. A site gives them
//! in one of two forms, pairs of path and value or nested JSON, with the same names and units. [`RawSettings`] holds
//! the values as given, and [`StartupSettings::read`] converts them to typed settings. A caller that needs further
//! settings reads them from [`RawSettings`].
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
