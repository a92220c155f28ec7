//! JSON as small tables for people.

use std::collections::BTreeSet;

use serde_json::{Map, Value};

/// How results are printed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Format {
    /// As tables.
    Table,
    /// As the JSON that came.
    Json,
}

/// Spaces between columns.
const GAP: usize = 2;

/// Prints a JSON value in a format.
pub(crate) fn text(value: &Value, format: Format) -> String {
    match format {
        Format::Json => format!("{value:#}\n"),
        Format::Table => tables("", value),
    }
}

/// Scalars of an object as lines of key and value, then each list or object inside as its own
/// table.
fn tables(name: &str, value: &Value) -> String {
    match value {
        Value::Object(map) if is_table(map.values()) => {
            let rows = map.iter().map(|(key, row)| (Some(key.as_str()), row));
            titled(name, &grid(rows.collect()))
        }
        Value::Object(map) => object(name, map),
        Value::Array(rows) => titled(name, &grid(rows.iter().map(|row| (None, row)).collect())),
        scalar => format!("{}\n", cell(scalar)),
    }
}

fn is_table<'v>(mut values: impl Iterator<Item = &'v Value>) -> bool {
    let mut count = 0;
    values.all(|value| {
        count += 1;
        value.is_object()
    }) && count > 0
}

fn object(name: &str, map: &Map<String, Value>) -> String {
    let (inner, scalars): (Vec<_>, Vec<_>) = map
        .iter()
        .partition(|(_, value)| value.is_object() || value.is_array());
    let lines: Vec<Vec<String>> = scalars
        .iter()
        .map(|(key, value)| vec![(*key).clone(), cell(value)])
        .collect();
    let mut text = titled(name, &aligned(&lines));
    for (key, value) in inner {
        let path = if name.is_empty() {
            key.clone()
        } else {
            format!("{name}.{key}")
        };
        let table = tables(&path, value);
        if !text.is_empty() && !table.is_empty() {
            text.push('\n');
        }
        text.push_str(&table);
    }
    text
}

fn titled(name: &str, body: &str) -> String {
    match (name, body) {
        (_, "") => String::new(),
        ("", body) => body.into(),
        (name, body) => format!("{name}:\n{body}"),
    }
}

/// Rows of objects under one head; rows of scalars without one.
fn grid(rows: Vec<(Option<&str>, &Value)>) -> String {
    let heads: BTreeSet<&str> = rows
        .iter()
        .filter_map(|(_, row)| row.as_object())
        .flat_map(|row| row.keys().map(String::as_str))
        .collect();
    let has_names = rows.iter().any(|(name, _)| name.is_some());
    let mut lines = Vec::with_capacity(rows.len() + 1);
    if !heads.is_empty() {
        let first = has_names.then(|| "name".to_owned());
        let others = heads.iter().map(|&head| head.to_owned());
        lines.push(first.into_iter().chain(others).collect());
    }
    for (name, row) in rows {
        let first = name.map(str::to_owned);
        let others: Vec<String> = match row.as_object() {
            Some(row) => heads
                .iter()
                .map(|&head| row.get(head).map_or(String::new(), cell))
                .collect(),
            None => vec![cell(row)],
        };
        lines.push(first.into_iter().chain(others).collect());
    }
    aligned(&lines)
}

fn cell(value: &Value) -> String {
    match value {
        Value::String(text) => text.clone(),
        other => other.to_string(),
    }
}

/// Lines of cells, each column as wide as its widest cell.
fn aligned(lines: &[Vec<String>]) -> String {
    let columns = lines.iter().map(Vec::len).max().unwrap_or(0);
    let width = |column: usize| {
        let cells = lines.iter().filter_map(|line| line.get(column));
        cells.map(|cell| cell.chars().count()).max().unwrap_or(0)
    };
    let widths: Vec<usize> = (0..columns).map(width).collect();
    let mut text = String::new();
    for line in lines {
        let cells = line.iter().zip(&widths);
        let padded: String = cells
            .map(|(cell, &width)| format!("{cell:<0$}", width + GAP))
            .collect();
        text.push_str(padded.trim_end());
        text.push('\n');
    }
    text
}
