//! Formats JSON values as text tables.

use std::collections::BTreeSet;

use serde_json::{Map, Value};

/// The output format of results.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Format {
    /// Text tables.
    Table,
    /// The JSON value itself, pretty-printed.
    Json,
}

/// The number of spaces between columns.
const COLUMN_GAP: usize = 2;

/// Formats a JSON value as JSON or as tables.
pub(crate) fn format_value(value: &Value, format: Format) -> String {
    match format {
        Format::Json => format!("{value:#}\n"),
        Format::Table => format_tables("", value),
    }
}

/// Formats the scalars of an object as lines of key and value, followed by a separate table for
/// each nested list or object. `name` is the title of the table, empty for the root.
fn format_tables(name: &str, value: &Value) -> String {
    match value {
        Value::Object(map) if is_table(map.values()) => {
            let rows = map.iter().map(|(key, row)| (Some(key.as_str()), row));
            let table = with_title(name, &format_rows(rows.collect()));
            map.iter().fold(table, |text, (key, row)| {
                append_nested_tables(text, &join_path(name, key), row)
            })
        }
        Value::Object(map) => format_object(name, map),
        Value::Array(rows) => with_title(
            name,
            &format_rows(rows.iter().map(|row| (None, row)).collect()),
        ),
        scalar => format!("{}\n", format_cell(scalar)),
    }
}

/// Whether there are values and all of them are objects, so that they can be rows of one table.
fn is_table<'v>(mut values: impl Iterator<Item = &'v Value>) -> bool {
    let mut count = 0;
    values.all(|value| {
        count += 1;
        value.is_object()
    }) && count > 0
}

/// Formats an object as lines of its scalars, followed by tables of its nested values.
fn format_object(name: &str, map: &Map<String, Value>) -> String {
    let (inner_tables, scalars): (Vec<_>, Vec<_>) = map
        .iter()
        .partition(|(_, value)| value.is_object() || value.is_array());
    let lines: Vec<Vec<String>> = scalars
        .iter()
        .map(|(key, value)| vec![(*key).clone(), format_cell(value)])
        .collect();
    let text = with_title(name, &align_columns(&lines));
    inner_tables.into_iter().fold(text, |text, (key, value)| {
        append_table(text, &format_tables(&join_path(name, key), value))
    })
}

/// Returns the dotted path of `key` under `name`.
fn join_path(name: &str, key: &str) -> String {
    if name.is_empty() {
        key.into()
    } else {
        format!("{name}.{key}")
    }
}

/// Appends the tables of the objects nested in `row` to `text`.
fn append_nested_tables(text: String, name: &str, row: &Value) -> String {
    let Value::Object(row) = row else {
        return text;
    };
    if is_table(row.values()) {
        return append_table(text, &format_tables(name, &Value::Object(row.clone())));
    }
    let nested = row.iter().filter(|(_, value)| value.is_object());
    nested.fold(text, |text, (key, value)| {
        append_table(text, &format_tables(&join_path(name, key), value))
    })
}

/// Appends a table after an empty line.
fn append_table(mut text: String, table: &str) -> String {
    if !text.is_empty() && !table.is_empty() {
        text.push('\n');
    }
    text + table
}

/// Puts the line `name:` before a body, unless one of them is empty.
fn with_title(name: &str, body: &str) -> String {
    match (name, body) {
        (_, "") => String::new(),
        ("", body) => body.into(),
        (name, body) => format!("{name}:\n{body}"),
    }
}

/// Formats rows as aligned columns. Rows that are objects get a header line with all their keys;
/// rows of scalars have none.
fn format_rows(rows: Vec<(Option<&str>, &Value)>) -> String {
    let column_keys: BTreeSet<&str> = rows
        .iter()
        .filter_map(|(_, row)| row.as_object())
        .flat_map(|row| row.iter().filter(|(_, value)| !value.is_object()))
        .map(|(key, _)| key.as_str())
        .collect();
    if column_keys.is_empty() && rows.iter().any(|(_, row)| row.is_object()) {
        return String::new();
    }
    let has_names = rows.iter().any(|(name, _)| name.is_some());
    let mut lines = Vec::with_capacity(rows.len() + 1);
    if !column_keys.is_empty() {
        let name_cell = has_names.then(|| "name".to_owned());
        let other_cells = column_keys.iter().map(|&key| key.to_owned());
        lines.push(name_cell.into_iter().chain(other_cells).collect());
    }
    for (name, row) in rows {
        let name_cell = name.map(str::to_owned);
        let other_cells: Vec<String> = match row.as_object() {
            Some(row) => column_keys
                .iter()
                .map(|&key| row.get(key).map_or(String::new(), format_cell))
                .collect(),
            None => vec![format_cell(row)],
        };
        lines.push(name_cell.into_iter().chain(other_cells).collect());
    }
    align_columns(&lines)
}

/// Formats a value as one cell.
fn format_cell(value: &Value) -> String {
    match value {
        Value::String(text) => text.clone(),
        Value::Null => "-".into(),
        Value::Number(number) if number.is_f64() => {
            format_float(number.as_f64().unwrap_or_default())
        }
        other => other.to_string(),
    }
}

/// Formats a number with at most 3 decimals and without trailing zeros.
fn format_float(number: f64) -> String {
    let text = format!("{number:.3}");
    let text = text.trim_end_matches('0').trim_end_matches('.');
    text.to_owned()
}

/// Formats lines of cells, with each column as wide as its widest cell.
pub(crate) fn align_columns(lines: &[Vec<String>]) -> String {
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
            .map(|(cell, &width)| format!("{cell:<0$}", width + COLUMN_GAP))
            .collect();
        text.push_str(padded.trim_end());
        text.push('\n');
    }
    text
}
