//! Runs `cedarpulley check` on the settings files in `fixtures/check` and compares the exit code, and the file, line number
//! and key of each printed line, with `fixtures/check.txt`. The text after the key is not compared.

mod pinned;

use std::path::Path;

use pinned::*;

const FILES: [&str; 10] = [
    "good.toml",
    "good-list.toml",
    "unknown-key.toml",
    "unknown-section.toml",
    "wrong-type.toml",
    "out-of-range.toml",
    "missing-key.toml",
    "bad-syntax.toml",
    "refers-to-nothing.toml",
    "several.toml",
];

/// Returns the part of `FILE:LINE: KEY: CAUSE` before the cause; for a syntax error, which has no key, `FILE:LINE`.
fn up_to_key(line: &str) -> String {
    let parts: Vec<&str> = line.splitn(3, ": ").collect();
    let key = |part: &&str| {
        let is_key_char = |c: char| c.is_ascii_alphanumeric() || "_.[]".contains(c);
        part.chars().all(is_key_char)
    };
    match parts[..] {
        [location, second, _] if key(&second) => format!("{location}: {second}"),
        [location, ..] => location.to_owned(),
        [] => String::new(),
    }
}

/// Returns the exit code and the printed lines without their causes.
fn check_result(folder: &Path, file: &str) -> String {
    let output = run_in(folder, &["check", file]);
    let code = output.status.code().expect("the program exits by itself");
    let lines = text(&output.stdout) + &text(&output.stderr);
    let lines: String = lines.lines().map(|l| up_to_key(l) + "\n").collect();
    format!("{file} ends with {code}\n{lines}")
}

#[test]
fn errors_of_settings_keep_their_lines_and_keys() {
    let folder = fixtures().join("check");
    let outputs: Vec<String> = FILES
        .iter()
        .map(|file| check_result(&folder, file))
        .collect();
    assert_equals_fixture("check.txt", &outputs.concat());
}
