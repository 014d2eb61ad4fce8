//! File names derived from a router's name.

/// Limit on the characters of a router's name that are used in a file name.
const MAX_CHARACTERS: usize = 64;

/// The first [`MAX_CHARACTERS`] characters of a router's name, with `_` in place of each character that is not an ASCII
/// letter or digit.
pub(crate) fn file_name_of(router: &str) -> String {
    let safe = |c: char| if c.is_ascii_alphanumeric() { c } else { '_' };
    router.chars().map(safe).take(MAX_CHARACTERS).collect()
}
