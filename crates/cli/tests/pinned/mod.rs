//! Compares what the built program says with files in `fixtures`.
#![allow(dead_code)] // Each test file uses its part.

use std::collections::BTreeSet;
use std::path::{Path, PathBuf};
use std::process::{Command, Output};

use serde_json::Value;

pub const PROGRAM: &str = env!("CARGO_BIN_EXE_cedarpulley");

pub fn fixtures() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/fixtures")
}

/// Run in a folder, so that paths in its output are relative.
pub fn run_in(folder: &Path, args: &[&str]) -> Output {
    Command::new(PROGRAM)
        .current_dir(folder)
        .args(args)
        .output()
        .expect("the program starts")
}

pub fn text(bytes: &[u8]) -> String {
    String::from_utf8(bytes.to_vec()).expect("UTF-8")
}

/// Byte for byte; what was seen is left beside the other files of the build.
pub fn same_as_kept(name: &str, seen: &str) {
    let left = Path::new(env!("CARGO_TARGET_TMPDIR")).join(name);
    std::fs::write(&left, seen).expect("written");
    let file = fixtures().join(name);
    let kept = std::fs::read_to_string(&file).expect("a fixture");
    let (left, file) = (left.display(), file.display());
    assert!(seen == kept, "{left} differs from {file}");
}

pub fn lines(all: &BTreeSet<String>) -> String {
    all.iter().map(|line| format!("{line}\n")).collect()
}

/// All key paths below `path`, those of all elements of an array as one. Objects at the paths `open` have names of things
/// for keys: not followed.
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
