//! Checks the table of log events in the operations manual against the code that writes them.

#![allow(clippy::unwrap_used)]

use std::collections::{BTreeMap, BTreeSet};
use std::path::{Path, PathBuf};

use ragwortfold::host::EVENTS;

type Fields = BTreeSet<String>;

fn repository_root() -> PathBuf {
    env!("CARGO_MANIFEST_DIR").into()
}

fn read(path: &Path) -> String {
    std::fs::read_to_string(path).unwrap()
}

/// The events in the manual's table, each with its fields.
fn documented_fields() -> BTreeMap<String, Fields> {
    let manual = read(&repository_root().join("docs/OPERATIONS.md"));
    let table = manual.split("| `event` | Fields | When |").nth(1).unwrap();
    let rows = table
        .lines()
        .skip(2)
        .take_while(|line| line.starts_with('|'));
    let quoted = |cell: &str| -> Vec<String> {
        let parts = cell.split('`').skip(1).step_by(2);
        parts.map(str::to_owned).collect()
    };
    rows.map(|row| {
        let cells: Vec<&str> = row.split('|').collect();
        let event = quoted(cells[1]).remove(0);
        (event, quoted(cells[2]).into_iter().collect())
    })
    .collect()
}

/// The fields of each statement that logs an event.
fn logged_fields() -> BTreeSet<Fields> {
    let files = std::fs::read_dir(repository_root().join("src/host")).unwrap();
    let mut all = BTreeSet::new();
    for entry in files {
        let code = read(&entry.unwrap().path());
        for block in code.split("kv: {").skip(1) {
            let body = block.split("})").next().unwrap();
            let names = body.split([',', '\n']).filter_map(|part| {
                let name = part.trim().split(" = ").next()?.trim();
                let is_name_char = |c: char| c.is_ascii_lowercase() || c == '_';
                (!name.is_empty() && name.chars().all(is_name_char)).then(|| name.to_owned())
            });
            let mut names: Fields = names.collect();
            assert!(names.remove("event"), "a line without an event: {body}");
            all.insert(names);
        }
    }
    all
}

#[test]
fn the_manual_names_all_events_and_no_others() {
    let manual: BTreeSet<String> = documented_fields().into_keys().collect();
    let code: BTreeSet<String> = EVENTS.iter().map(|name| name.to_string()).collect();
    assert_eq!(manual, code);
}

#[test]
fn the_manual_names_the_fields_that_are_written() {
    let manual: BTreeSet<Fields> = documented_fields().into_values().collect();
    assert_eq!(manual, logged_fields());
}
