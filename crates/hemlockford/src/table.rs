//! Text form of JSON objects: single values as lines, lists of objects as tables.

use serde_json::{Map, Value};

/// Columns that come first, in this order; the others follow in alphabetical order.
const FIRST_COLUMNS: [&str; 6] = ["id", "instance", "name", "service", "data_centre", "state"];

/// Renders a value.
pub(crate) fn render(value: &Value) -> String {
    let Value::Object(object) = value else { return format!("{}\n", cell(value)) };
    let mut lines = String::new();
    for key in sorted(object.keys()) {
        if !is_list(&object[key]) {
            lines += &format!("{key}: {}\n", cell(&object[key]));
        }
    }
    for key in sorted(object.keys()) {
        if let Value::Array(rows) = &object[key]
            && is_list(&object[key])
        {
            lines += &format!("\n{key}:\n{}", table(rows));
        }
    }
    lines
}

fn is_list(value: &Value) -> bool {
    value.as_array().is_some_and(|rows| rows.iter().all(Value::is_object))
}

fn table(rows: &[Value]) -> String {
    let rows: Vec<&Map<String, Value>> = rows.iter().filter_map(Value::as_object).collect();
    if rows.is_empty() {
        return "  none\n".into();
    }
    let mut columns = sorted(rows.iter().flat_map(|row| row.keys()));
    columns.dedup();
    let cells = |row: &&Map<String, Value>| -> Vec<String> {
        columns.iter().map(|column| row.get(*column).map_or_else(String::new, cell)).collect()
    };
    let title = columns.iter().map(ToString::to_string).collect();
    let lines: Vec<Vec<String>> = std::iter::once(title).chain(rows.iter().map(cells)).collect();
    let width = |index: usize| lines.iter().map(|line| line[index].chars().count()).max().unwrap_or_default();
    let widths: Vec<_> = (0..columns.len()).map(width).collect();
    let line = |cells: &Vec<String>| {
        let cells = cells.iter().zip(&widths).map(|(cell, width)| format!("{cell:<width$}"));
        format!("  {}\n", cells.collect::<Vec<_>>().join("  ").trim_end())
    };
    lines.iter().map(line).collect()
}

fn sorted<'a>(keys: impl Iterator<Item = &'a String>) -> Vec<&'a String> {
    let mut keys: Vec<_> = keys.collect();
    let rank = |key: &str| FIRST_COLUMNS.iter().position(|first| *first == key).unwrap_or(FIRST_COLUMNS.len());
    keys.sort_by_key(|key| (rank(key), *key));
    keys
}

fn cell(value: &Value) -> String {
    match value {
        Value::String(text) => text.clone(),
        Value::Null => "-".into(),
        Value::Array(values) => values.iter().map(cell).collect::<Vec<_>>().join(","),
        Value::Bool(_) | Value::Number(_) | Value::Object(_) => value.to_string(),
    }
}
