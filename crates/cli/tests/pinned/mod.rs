//! Compares the output of the built program with files in `fixtures`.
#![allow(dead_code, reason = "each test file uses only a part of this module")]

use std::collections::BTreeSet;
use std::path::{Path, PathBuf};
use std::process::{Command, Output};

use serde_json::Value;

/// Path of the built program.
pub const PROGRAM: &str = env!("CARGO_BIN_EXE_cedarpulley");

/// Returns the folder of the expected outputs.
pub fn fixtures() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/fixtures")
}

/// Runs the program in a folder, so that paths in its output are relative.
pub fn run_in(folder: &Path, args: &[&str]) -> Output {
    Command::new(PROGRAM)
        .current_dir(folder)
        .args(args)
        .output()
        .expect("the program starts")
}

/// Decodes output of the program.
pub fn text(bytes: &[u8]) -> String {
    String::from_utf8(bytes.to_vec()).expect("UTF-8")
}

/// Asserts that the output equals the fixture byte for byte. The output is written to the temporary folder of the build.
pub fn assert_equals_fixture(name: &str, output: &str) {
    let output_file = Path::new(env!("CARGO_TARGET_TMPDIR")).join(name);
    std::fs::write(&output_file, output).expect("written");
    let fixture_file = fixtures().join(name);
    let expected = std::fs::read_to_string(&fixture_file).expect("a fixture");
    let (output_file, fixture_file) = (output_file.display(), fixture_file.display());
    assert!(
        output == expected,
        "{output_file} differs from {fixture_file}"
    );
}

/// Returns the entries as text, one a line.
pub fn lines(all: &BTreeSet<String>) -> String {
    all.iter().map(|line| format!("{line}\n")).collect()
}

/// Collects all key paths of a JSON value below `path`. All elements of an array share one path. The keys of the objects at
/// the paths in `open` are data, for example function names; these objects are not followed.
pub fn paths(value: &Value, path: &str, open: &[&str], all: &mut BTreeSet<String>) {
    match value {
        Value::Object(_) if open.contains(&path) => {}
        Value::Object(object) => {
            for (key, value) in object {
                let dot = if path.is_empty() { "" } else { "." };
                let path = format!("{path}{dot}{key}");
                paths(value, &path, open, all);
                all.insert(path);
            }
        }
        Value::Array(array) => {
            for value in array {
                paths(value, &format!("{path}[]"), open, all);
            }
        }
        _ => {}
    }
}
