//! Bounds and readers of single values that several sections of the settings share.

use std::path::{Path, PathBuf};

use cedarpulley::interface::Micros;

use crate::config_reader::Section;

/// A day in milliseconds: the upper limit of all durations in the settings.
pub(crate) const DAY_MS: u64 = 86_400_000;
/// Upper limit of numbers in the settings that have no other limit.
pub(crate) const MAX_NUMBER: f64 = 1e12;
/// A time later than any clock reaches, in microseconds.
pub(crate) const NEVER: Micros = i64::MAX / 8;

/// The path that a key gives, relative to the folder of the settings file; `None` without the key.
pub(crate) fn path_of(section: &Section, key: &str, folder: &Path) -> Option<PathBuf> {
    section
        .has(key)
        .then(|| folder.join(section.string(key, Some(""))))
}

/// The index of the zone that a key names; 0 without the key, or on an error.
pub(crate) fn zone_index(section: &Section, key: &str, zones: &[String]) -> u32 {
    let name = section.string(key, Some(""));
    if name.is_empty() {
        return 0;
    }
    zones.iter().position(|zone| *zone == name).map_or_else(
        || {
            section.error(key, &format!("'{name}' is not among the zones"));
            0
        },
        |index| index as u32,
    )
}
