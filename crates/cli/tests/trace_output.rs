//! What `cedarpulley trace` prints of kept files is byte for byte as in `fixtures/trace-output.txt`. `causes.trace` was
//! written once by the example `pinned_trace` of `crates/trace`.
//!
//! What depends on this build's decisions (`replay`) is held by its names only: the keys of its JSON, and what was
//! recorded.

mod pinned;

use std::collections::BTreeSet;
use std::path::PathBuf;

use pinned::*;

const CAUSES: &str = "cli/tests/fixtures/causes.trace";
const RECORDS: &str = "trace/tests/fixtures/format-3.trace";
const TWO: &str = "trace/tests/kept/format-2.trace";
/// Seconds since 1970 at which the loads of `causes.trace` begin.
const LOADS_AT: &str = "1700000100";

fn crates() -> PathBuf {
    PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("..")
}

/// The command, its exit code, and what it printed.
fn said(args: &[&str]) -> String {
    let output = run_in(&crates(), &[&["trace"], args].concat());
    let code = output.status.code().expect("it ends by itself");
    let (out, err) = (text(&output.stdout), text(&output.stderr));
    assert!(err.is_empty(), "{args:?}: {err}");
    format!("$ trace {}\n{out}ends with {code}\n\n", args.join(" "))
}

#[test]
fn printed_names_and_json_keys_stay() {
    let mut all = String::new();
    for file in [CAUSES, RECORDS, TWO] {
        all += &said(&["verify", file]);
        all += &said(&["summary", file]);
        all += &said(&["summary", "--json", file]);
        all += &said(&["rules", file]);
        all += &said(&["rules", "--json", file]);
        all += &said(&["explain", file]);
        all += &said(&["explain", "--json", file]);
    }
    all += &said(&["explain", "--until", LOADS_AT, CAUSES]);
    all += &said(&["explain", "--from", LOADS_AT, CAUSES]);
    // One that was answered, one that was late, lost, called back and held.
    for mark in [
        "mark-1", "mark-3", "mark-11", "mark-12", "mark-15", "mark-18", "mark-19",
    ] {
        all += &said(&["show", mark, CAUSES]);
    }
    same_as_kept("trace-output.txt", &all);
}

#[test]
fn a_comparison_keeps_the_keys_of_its_json() {
    let output = run_in(&crates(), &["trace", "replay", "--all", "--json", CAUSES]);
    assert_eq!(output.status.code(), Some(1), "{}", text(&output.stderr));
    let printed = text(&output.stdout);
    let json = &printed[printed.find("{\n").expect("an object")..];
    let mut all = BTreeSet::new();
    // A kind of two parts is an object, one of its own a word; `trace/tests/printed_names.rs` has them all.
    let value: serde_json::Value = serde_json::from_str(json).expect("JSON");
    for (key, value) in value.as_object().expect("an object") {
        all.insert(key.clone());
        if key == "by_kind" {
            let counts = value.as_array().expect("pairs");
            counts
                .iter()
                .for_each(|c| paths(&c[1], "by_kind[][1]", &[], &mut all));
        }
    }
    same_as_kept("trace-comparison-names.txt", &lines(&all));
}

#[test]
fn the_first_difference_is_told_by_the_names_of_events_and_actions() {
    let output = run_in(&crates(), &["trace", "replay", CAUSES]);
    let printed = text(&output.stdout);
    let told: Vec<&str> = printed
        .lines()
        .filter(|l| l.starts_with("  told:") || l.starts_with("  recorded:"))
        .collect();
    assert_eq!(
        (output.status.code(), told),
        (
            Some(1),
            vec![
                "  told:     List Complete of 5",
                "  recorded: [RequestEndpointList { watch: true }]"
            ]
        ),
        "{printed}"
    );
}
