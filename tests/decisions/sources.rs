//! Checks that the list of the module's source files is complete and equals the list in the deploy file.

use std::collections::BTreeSet;
use std::fs;
use std::path::Path;

/// The paths in `MODULE_SOURCES`.
fn listed_sources() -> BTreeSet<String> {
    let sources = cedarpulley::MODULE_SOURCES.iter();
    sources.map(|source| source.path.to_owned()).collect()
}

#[test]
fn every_file_of_the_decision_module_is_listed() {
    let src = Path::new(env!("CARGO_MANIFEST_DIR")).join("src");
    let folder = fs::read_dir(src.join("balancer")).expect("the module's folder");
    let mut expected: BTreeSet<String> = folder
        .map(|entry| entry.expect("an entry").file_name())
        .map(|name| format!("balancer/{}", name.to_string_lossy()))
        .collect();
    expected.insert("interface.rs".to_owned());
    assert_eq!(listed_sources(), expected);
    for source in cedarpulley::MODULE_SOURCES {
        let text = fs::read_to_string(src.join(source.path)).expect("a source");
        assert_eq!(source.text, text, "{}", source.path);
    }
}

#[test]
fn the_deploy_file_lists_the_same_files_as_policy() {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("deploy/balancer.toml");
    let text = fs::read_to_string(path).expect("the deploy file");
    let (_, policy) = text.split_once("policy = [").expect("a policy list");
    let (policy, _) = policy.split_once(']').expect("its end");
    let mut files: BTreeSet<String> = policy
        .split(',')
        .map(|line| line.trim().trim_matches('"'))
        .filter(|file| !file.is_empty())
        .map(|file| file.trim_start_matches("src/").to_owned())
        .collect();
    files.insert("interface.rs".to_owned());
    assert_eq!(listed_sources(), files);
}
