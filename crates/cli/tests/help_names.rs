//! Subcommands and their long options are those of `fixtures/options.txt`.

mod pinned;

use std::collections::BTreeSet;
use std::path::Path;

use pinned::*;

fn help(command: &[&str]) -> String {
    let said = run_in(Path::new("."), &[command, &["--help"]].concat());
    assert!(said.status.success(), "{command:?}");
    text(&said.stdout)
}

/// The lines below a heading that belong to it.
fn below<'a>(help: &'a str, heading: &str) -> Vec<&'a str> {
    let lines = help.lines().skip_while(|l| *l != heading).skip(1);
    lines
        .take_while(|l| l.is_empty() || l.starts_with(' '))
        .collect()
}

fn options(help: &str) -> BTreeSet<String> {
    let lines = below(help, "Options:").into_iter().map(str::trim_start);
    let options = lines.filter(|l| l.starts_with('-'));
    let long = options.filter_map(|l| l.split_whitespace().find(|w| w.starts_with("--")));
    long.map(|w| w.trim_end_matches(',').to_owned()).collect()
}

fn subcommands(help: &str) -> Vec<String> {
    let indented = |l: &&str| l.starts_with("  ") && !l.starts_with("   ");
    let lines = below(help, "Commands:").into_iter().filter(indented);
    let names = lines.filter_map(|l| l.split_whitespace().next());
    names.filter(|n| *n != "help").map(str::to_owned).collect()
}

/// This command with each of its options, and all below it.
fn collect(command: &[&str], all: &mut BTreeSet<String>) {
    let (said, name) = (help(command), command.join(" "));
    all.insert(format!("cedarpulley {name}").trim_end().to_owned());
    for option in options(&said) {
        all.insert(format!("cedarpulley {name} {option}").replace("  ", " "));
    }
    for sub in subcommands(&said) {
        collect(&[command, &[sub.as_str()]].concat(), all);
    }
}

#[test]
fn subcommands_and_options_keep_their_names() {
    let mut all = BTreeSet::new();
    collect(&[], &mut all);
    assert!(all.len() > 60, "{all:#?}");
    same_as_kept("options.txt", &lines(&all));
}

/// They are in no help, and the rig's tests of the judge use them.
#[test]
fn hidden_options_of_serve_keep_their_names() {
    let said = run_in(
        Path::new("."),
        &["serve", "--rig", "--tamper", "none", "absent.toml"],
    );
    let why = text(&said.stderr);
    assert_eq!(said.status.code(), Some(2), "{why}");
    assert!(
        why.contains("absent.toml"),
        "it is past its arguments: {why}"
    );
}
