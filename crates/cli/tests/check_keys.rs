//! `cedarpulley check` on the settings files in `fixtures/check`: the exit code and, of each line, file, line and key
//! are those in `fixtures/check.txt`. What is said after the key is not held.

mod pinned;

use std::path::Path;

use pinned::*;

const FILES: [&str; 9] = [
    "good.toml",
    "good-list.toml",
    "unknown-key.toml",
    "wrong-type.toml",
    "out-of-range.toml",
    "missing-key.toml",
    "bad-syntax.toml",
    "refers-to-nothing.toml",
    "several.toml",
];

/// Of `FILE:LINE: KEY: CAUSE` all before the cause; of a syntax error, which has no key, file and line.
fn up_to_key(line: &str) -> String {
    let parts: Vec<&str> = line.splitn(3, ": ").collect();
    let key = |part: &&str| {
        let of_key = |c: char| c.is_ascii_alphanumeric() || "_.[]".contains(c);
        part.chars().all(of_key)
    };
    match parts[..] {
        [place, second, _] if key(&second) => format!("{place}: {second}"),
        [place, ..] => place.to_owned(),
        [] => String::new(),
    }
}

fn said(folder: &Path, file: &str) -> String {
    let output = run_in(folder, &["check", file]);
    let code = output.status.code().expect("it ends by itself");
    let lines = text(&output.stdout) + &text(&output.stderr);
    let lines: String = lines.lines().map(|l| up_to_key(l) + "\n").collect();
    format!("{file} ends with {code}\n{lines}")
}

#[test]
fn errors_of_settings_keep_their_lines_and_keys() {
    let folder = fixtures().join("check");
    let seen: Vec<String> = FILES.iter().map(|file| said(&folder, file)).collect();
    same_as_kept("check.txt", &seen.concat());
}
