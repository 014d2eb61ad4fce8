//! Checks that the operators' page of errors lists every error of the packages, and no error that no longer exists.

use std::collections::BTreeSet;
use std::path::{Path, PathBuf};

fn root() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../..")
}

/// Returns all files below a folder.
fn files_below(folder: &Path) -> Vec<PathBuf> {
    let mut files = Vec::new();
    for entry in std::fs::read_dir(folder).into_iter().flatten().flatten() {
        let path = entry.path();
        if path.is_dir() {
            files.extend(files_below(&path));
        } else {
            files.push(path);
        }
    }
    files
}

/// Returns the package name and the text of every source file, without the tests in it.
fn sources() -> Vec<(String, String)> {
    let mut found = Vec::new();
    for package in std::fs::read_dir(root().join("crates"))
        .expect("packages")
        .flatten()
    {
        let name = package.file_name().to_string_lossy().into_owned();
        let files = files_below(&package.path().join("src"));
        for file in files
            .iter()
            .filter(|file| file.extension().is_some_and(|e| e == "rs"))
        {
            let source = std::fs::read_to_string(file).expect("a source");
            let before_tests = source.split("#[cfg(test)]").next().unwrap_or_default();
            found.push((name.clone(), before_tests.to_owned()));
        }
    }
    found
}

/// Returns the string literal at the start of the text, without its quotes.
fn literal(text: &str) -> Option<String> {
    let inner = text.trim_start().strip_prefix('"')?;
    let mut escaped = false;
    let end = inner.find(|c| {
        let ends = c == '"' && !escaped;
        escaped = c == '\\' && !escaped;
        ends
    })?;
    Some(inner[..end].replace("\\\"", "\""))
}

/// Returns whether an error text has letters outside its placeholders.
fn has_words(text: &str) -> bool {
    let said = text
        .split('{')
        .flat_map(|part| part.split_once('}').map_or([part, ""], |(_, s)| [s, ""]));
    said.flat_map(str::chars).any(char::is_alphabetic)
}

/// Returns the error texts of the sources, each with its package, and the remedies.
fn errors_and_remedies_in_sources() -> (BTreeSet<(String, String)>, BTreeSet<String>) {
    let (mut texts, mut remedies) = (BTreeSet::new(), BTreeSet::new());
    for (package, source) in sources() {
        let said = source
            .split("#[error(")
            .skip(1)
            .filter_map(literal)
            .filter(|t| has_words(t));
        texts.extend(said.map(|text| (package.clone(), text)));
        for body in source.split("fn remedy(&self) -> &'static str {").skip(1) {
            let body = body.split("\n    }\n").next().unwrap_or_default();
            let starts = body.match_indices('"').map(|(at, _)| at).step_by(2);
            remedies.extend(starts.filter_map(|at| literal(&body[at..])));
        }
    }
    (texts, remedies)
}

fn page() -> String {
    std::fs::read_to_string(root().join("docs/operate/errors.md")).expect("the page")
}

/// Returns package and error text of the rows with four cells in the page.
fn errors_in_page() -> BTreeSet<(String, String)> {
    let rows = page();
    let rows = rows.lines().map(|l| {
        l.trim_matches('|')
            .split(" | ")
            .map(str::trim)
            .collect::<Vec<_>>()
    });
    let rows = rows.filter(|cells| cells.len() == 4 && cells[1].starts_with('`'));
    rows.map(|cells| (cells[0].to_owned(), cells[1].trim_matches('`').to_owned()))
        .collect()
}

#[test]
fn the_page_lists_exactly_the_errors_of_the_packages() {
    let (code, page) = (errors_and_remedies_in_sources().0, errors_in_page());
    assert!(code.len() > 80, "{} errors were found", code.len());
    let missing: Vec<_> = code.difference(&page).collect();
    assert!(missing.is_empty(), "not in the page: {missing:#?}");
    let outdated: Vec<_> = page.difference(&code).collect();
    assert!(
        outdated.is_empty(),
        "in the page, but in no package: {outdated:#?}"
    );
}

#[test]
fn the_page_lists_all_remedies() {
    let (remedies, page) = (errors_and_remedies_in_sources().1, page());
    // A sentence outside a table may be wrapped.
    let page = page.split_whitespace().collect::<Vec<_>>().join(" ");
    assert!(
        remedies.len() > 50,
        "{} remedies were found",
        remedies.len()
    );
    // A remedy fills a table cell or ends a sentence.
    let has = |r: &&String| page.contains(&format!("| {r} |")) || page.contains(&format!(": {r}."));
    let missing: Vec<_> = remedies.iter().filter(|r| !has(r)).collect();
    assert!(missing.is_empty(), "not in the page: {missing:#?}");
}
