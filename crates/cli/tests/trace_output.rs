//! Compares the output of `cedarpulley trace` for stored trace files with `fixtures/trace-output.txt`, byte for byte.
//! `causes.trace` was written once by the example `pinned_trace` of `crates/trace`.
//!
//! The output of `replay` depends on the decisions of the balancer of this build. Only its names are compared: the keys of
//! its JSON, and the recorded actions.

mod pinned;

use std::collections::BTreeSet;
use std::path::PathBuf;

use pinned::*;

const CAUSES_TRACE: &str = "cli/tests/fixtures/causes.trace";
const FORMAT_3_TRACE: &str = "trace/tests/fixtures/format-3.trace";
const FORMAT_2_TRACE: &str = "trace/tests/kept/format-2.trace";
/// Seconds since 1970 at which the loads in `causes.trace` begin.
const LOADS_BEGIN_S: &str = "1700000100";

fn crates() -> PathBuf {
    PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("..")
}

/// Returns the command, its output and its exit code.
fn run_trace(args: &[&str]) -> String {
    let output = run_in(&crates(), &[&["trace"], args].concat());
    let code = output.status.code().expect("the program exits by itself");
    let (out, err) = (text(&output.stdout), text(&output.stderr));
    assert!(err.is_empty(), "{args:?}: {err}");
    format!("$ trace {}\n{out}ends with {code}\n\n", args.join(" "))
}

#[test]
fn printed_names_and_json_keys_stay() {
    let mut all = String::new();
    for file in [CAUSES_TRACE, FORMAT_3_TRACE, FORMAT_2_TRACE] {
        all += &run_trace(&["verify", file]);
        all += &run_trace(&["summary", file]);
        all += &run_trace(&["summary", "--json", file]);
        all += &run_trace(&["rules", file]);
        all += &run_trace(&["rules", "--json", file]);
        all += &run_trace(&["explain", file]);
        all += &run_trace(&["explain", "--json", file]);
    }
    all += &run_trace(&["explain", "--until", LOADS_BEGIN_S, CAUSES_TRACE]);
    all += &run_trace(&["explain", "--from", LOADS_BEGIN_S, CAUSES_TRACE]);
    // Invocations that were answered, late, lost, cancelled and queued.
    for mark in [
        "mark-1", "mark-3", "mark-11", "mark-12", "mark-15", "mark-18", "mark-19",
    ] {
        all += &run_trace(&["show", mark, CAUSES_TRACE]);
    }
    assert_equals_fixture("trace-output.txt", &all);
}

#[test]
fn a_comparison_keeps_the_keys_of_its_json() {
    let output = run_in(
        &crates(),
        &["trace", "replay", "--all", "--json", CAUSES_TRACE],
    );
    assert_eq!(output.status.code(), Some(1), "{}", text(&output.stderr));
    let printed = text(&output.stdout);
    let json = &printed[printed.find("{\n").expect("an object")..];
    let mut all = BTreeSet::new();
    // A kind with fields is an object, one without fields a string; `trace/tests/printed_names.rs` checks all of them.
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
    assert_equals_fixture("trace-comparison-names.txt", &lines(&all));
}

#[test]
fn the_first_difference_is_printed_with_the_names_of_events_and_actions() {
    let output = run_in(&crates(), &["trace", "replay", CAUSES_TRACE]);
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
