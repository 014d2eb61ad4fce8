//! Compares the subcommands and their long options with `fixtures/options.txt`.

mod pinned;

use std::collections::BTreeSet;
use std::path::Path;

use pinned::*;

/// Returns the help text of a command.
fn help(command: &[&str]) -> String {
    let output = run_in(Path::new("."), &[command, &["--help"]].concat());
    assert!(output.status.success(), "{command:?}");
    text(&output.stdout)
}

/// Returns the lines of the section with this heading.
fn section<'a>(help: &'a str, heading: &str) -> Vec<&'a str> {
    let lines = help.lines().skip_while(|l| *l != heading).skip(1);
    lines
        .take_while(|l| l.is_empty() || l.starts_with(' '))
        .collect()
}

/// Returns the long options in a help text.
fn options(help: &str) -> BTreeSet<String> {
    let lines = section(help, "Options:").into_iter().map(str::trim_start);
    let options = lines.filter(|l| l.starts_with('-'));
    let long = options.filter_map(|l| l.split_whitespace().find(|w| w.starts_with("--")));
    long.map(|w| w.trim_end_matches(',').to_owned()).collect()
}

/// Returns the subcommands in a help text, without `help`.
fn subcommands(help: &str) -> Vec<String> {
    let indented = |l: &&str| l.starts_with("  ") && !l.starts_with("   ");
    let lines = section(help, "Commands:").into_iter().filter(indented);
    let names = lines.filter_map(|l| l.split_whitespace().next());
    names.filter(|n| *n != "help").map(str::to_owned).collect()
}

/// Collects this command, its options and, recursively, its subcommands.
fn collect(command: &[&str], all: &mut BTreeSet<String>) {
    let (output, name) = (help(command), command.join(" "));
    all.insert(format!("cedarpulley {name}").trim_end().to_owned());
    for option in options(&output) {
        all.insert(format!("cedarpulley {name} {option}").replace("  ", " "));
    }
    for sub in subcommands(&output) {
        collect(&[command, &[sub.as_str()]].concat(), all);
    }
}

#[test]
fn subcommands_and_options_keep_their_names() {
    let mut all = BTreeSet::new();
    collect(&[], &mut all);
    assert!(all.len() > 60, "{all:#?}");
    assert_equals_fixture("options.txt", &lines(&all));
}

/// These options are not shown in the help. The tests of the invariant checker use them.
#[test]
fn hidden_options_of_serve_keep_their_names() {
    let output = run_in(
        Path::new("."),
        &["serve", "--rig", "--tamper", "none", "absent.toml"],
    );
    let error = text(&output.stderr);
    assert_eq!(output.status.code(), Some(2), "{error}");
    assert!(
        error.contains("absent.toml"),
        "the arguments are accepted: {error}"
    );
}
