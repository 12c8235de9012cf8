//! Plain-text rendering of JSON objects: single values become lines, and lists of objects become tables.

use serde_json::{Map, Value};

/// Keys that come first, in this order. The other keys follow in alphabetical order.
const LEADING_KEYS: [&str; 6] = ["id", "instance", "name", "service", "data_centre", "state"];

/// Renders a JSON value.
pub(crate) fn render(value: &Value) -> String {
    let Value::Object(object) = value else { return format!("{}\n", render_cell(value)) };
    let mut lines = String::new();
    for key in sorted_keys(object.keys()) {
        if !is_object_list(&object[key]) {
            lines += &format!("{key}: {}\n", render_cell(&object[key]));
        }
    }
    for key in sorted_keys(object.keys()) {
        if let Value::Array(rows) = &object[key]
            && is_object_list(&object[key])
        {
            lines += &format!("\n{key}:\n{}", render_table(rows));
        }
    }
    lines
}

fn is_object_list(value: &Value) -> bool {
    value.as_array().is_some_and(|rows| rows.iter().all(Value::is_object))
}

fn render_table(rows: &[Value]) -> String {
    let rows: Vec<&Map<String, Value>> = rows.iter().filter_map(Value::as_object).collect();
    if rows.is_empty() {
        return "  none\n".into();
    }
    let mut columns = sorted_keys(rows.iter().flat_map(|row| row.keys()));
    columns.dedup();
    let cells = |row: &&Map<String, Value>| -> Vec<String> {
        columns.iter().map(|column| row.get(*column).map_or_else(String::new, render_cell)).collect()
    };
    let header = columns.iter().map(ToString::to_string).collect();
    let lines: Vec<Vec<String>> = std::iter::once(header).chain(rows.iter().map(cells)).collect();
    let width = |index: usize| lines.iter().map(|line| line[index].chars().count()).max().unwrap_or_default();
    let widths: Vec<_> = (0..columns.len()).map(width).collect();
    let line = |cells: &Vec<String>| {
        let cells = cells.iter().zip(&widths).map(|(cell, width)| format!("{cell:<width$}"));
        format!("  {}\n", cells.collect::<Vec<_>>().join("  ").trim_end())
    };
    lines.iter().map(line).collect()
}

fn sorted_keys<'a>(keys: impl Iterator<Item = &'a String>) -> Vec<&'a String> {
    let mut keys: Vec<_> = keys.collect();
    let rank = |key: &str| LEADING_KEYS.iter().position(|first| *first == key).unwrap_or(LEADING_KEYS.len());
    keys.sort_by_key(|key| (rank(key), *key));
    keys
}

fn render_cell(value: &Value) -> String {
    match value {
        Value::String(text) => text.clone(),
        Value::Null => "-".into(),
        Value::Array(values) => values.iter().map(render_cell).collect::<Vec<_>>().join(","),
        Value::Bool(_) | Value::Number(_) | Value::Object(_) => value.to_string(),
    }
}
