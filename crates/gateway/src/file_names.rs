//! File names made from a router's name.

/// Characters of a router's name that go into a file name.
const MAX_CHARACTERS: usize = 64;

/// The start of a router's name, with `_` for all that is not an ASCII letter or digit.
pub(crate) fn file_name_of(router: &str) -> String {
    let safe = |c: char| if c.is_ascii_alphanumeric() { c } else { '_' };
    router.chars().map(safe).take(MAX_CHARACTERS).collect()
}
