//! Compares the event numbers in the sources with the catalogue
//! docs/EVENTS.md.

use std::collections::BTreeMap;
use std::fs;
use std::path::Path;
use std::path::PathBuf;

fn root() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../..")
}

fn collect_sources(folder: &Path, found: &mut Vec<PathBuf>) {
    for entry in fs::read_dir(folder).expect("a folder of the repository") {
        let path = entry.expect("an entry").path();
        match path.is_dir() {
            true => collect_sources(&path, found),
            false if path.extension().is_some_and(|extension| extension == "rs") => {
                found.push(path);
            }
            false => {}
        }
    }
}

/// Finds the event numbers in a text: `E` and four digits, not within a word.
fn event_numbers(text: &str) -> Vec<&str> {
    let bytes = text.as_bytes();
    let is_word = |byte: Option<&u8>| byte.is_some_and(u8::is_ascii_alphanumeric);
    (0..bytes.len().saturating_sub(4))
        .filter(|&at| bytes[at] == b'E')
        .filter(|&at| at == 0 || !is_word(bytes.get(at - 1)))
        .filter(|&at| bytes[at + 1..at + 5].iter().all(u8::is_ascii_digit))
        .filter(|&at| !is_word(bytes.get(at + 5)))
        .map(|at| &text[at..at + 5])
        .collect()
}

#[test]
fn every_event_number_has_exactly_one_row_and_every_row_is_used() {
    let page = fs::read_to_string(root().join("docs/EVENTS.md")).expect("docs/EVENTS.md");
    let rows: Vec<&str> = page
        .lines()
        .filter(|line| line.starts_with("| E"))
        .map(|line| &line[2..7])
        .collect();
    let mut sorted = rows.clone();
    sorted.sort_unstable();
    sorted.dedup();
    assert_eq!(
        rows, sorted,
        "rows are out of order, or a number is repeated"
    );

    let mut files = Vec::new();
    for folder in fs::read_dir(root().join("crates")).expect("crates") {
        let source = folder.expect("a package").path().join("src");
        collect_sources(&source, &mut files);
    }
    collect_sources(&root().join("platform/src"), &mut files);
    let mut first_use: BTreeMap<String, PathBuf> = BTreeMap::new();
    for file in files {
        let text = fs::read_to_string(&file).expect("a source file");
        for number in event_numbers(&text) {
            first_use
                .entry(number.to_owned())
                .or_insert_with(|| file.clone());
        }
    }
    let missing: Vec<_> = first_use
        .iter()
        .filter(|(number, _)| !rows.contains(&number.as_str()))
        .collect();
    assert!(missing.is_empty(), "events without a row: {missing:#?}");
    let unused: Vec<_> = rows
        .iter()
        .filter(|row| !first_use.contains_key(**row))
        .collect();
    assert!(unused.is_empty(), "rows without an event: {unused:?}");
}
