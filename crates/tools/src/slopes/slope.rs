//! Result of a scaling measurement.

use {
    error_stack::ResultExt,
    hemlockford_core::errors::{ErrorKind, Result},
    std::{fmt::Write, fs, path::Path},
};

/// Result of a scaling measurement: quantities measured while one parameter is varied, grouped into lines.
#[derive(Clone, Debug)]
pub struct Slope {
    /// Name of the CSV file and of the plot, without extension.
    pub name: &'static str,
    /// Title of the plot.
    pub title: &'static str,
    /// Name of the varied parameter, shown on the horizontal axis.
    pub x_label: &'static str,
    /// Names of the measured quantities with their units, one for each value of a row.
    pub quantities: Vec<&'static str>,
    /// Points of all lines, in the order of the lines.
    pub rows: Vec<Row>,
}

/// A point of a line.
#[derive(Clone, Debug)]
pub struct Row {
    /// Name of the line to which the point belongs.
    pub line: Box<str>,
    /// Value of the varied parameter.
    pub x: f64,
    /// Measured values.
    pub values: Vec<f64>,
}

impl Slope {
    /// Creates a slope without points.
    pub fn new(name: &'static str, title: &'static str, x_label: &'static str, quantities: &[&'static str]) -> Self {
        Self { name, title, x_label, quantities: quantities.into(), rows: Vec::new() }
    }

    /// Adds a point to a line.
    pub fn push(&mut self, line: &str, x: f64, values: &[f64]) {
        self.rows.push(Row { line: line.into(), x, values: values.into() });
    }

    /// Returns the names of the lines in the order of their first point.
    pub fn lines(&self) -> Vec<&str> {
        let mut lines: Vec<&str> = Vec::new();
        for row in &self.rows {
            if !lines.contains(&&*row.line) {
                lines.push(&row.line);
            }
        }
        lines
    }

    /// Returns the table as CSV.
    ///
    /// ```
    /// use hemlockford_tools::slopes::Slope;
    /// let mut slope = Slope::new("size", "Size", "servers", &["bytes"]);
    /// slope.push("all", 20.0, &[1.25]);
    /// assert_eq!(slope.to_csv(), "line,servers,bytes\nall,20,1.2500\n");
    /// ```
    pub fn to_csv(&self) -> String {
        let mut csv = format!("line,{},{}\n", self.x_label, self.quantities.join(","));
        for row in &self.rows {
            let values: Vec<_> = row.values.iter().map(|value| format_number(*value)).collect();
            // Writing to a string cannot fail.
            let _ = writeln!(csv, "{},{},{}", row.line, row.x, values.join(","));
        }
        csv
    }

    /// Writes the table as a CSV file into a folder.
    pub fn write(&self, folder: &Path) -> Result<()> {
        let path = folder.join(format!("{}.csv", self.name));
        let written = fs::write(&path, self.to_csv()).change_context(ErrorKind::Io);
        written.attach_with(|| format!("cannot write {}", path.display()))
    }
}

/// Formats a number with at least four significant digits; further ones would be noise.
fn format_number(value: f64) -> String {
    let decimals = match value.abs() {
        size if size >= 1_000.0 || value == value.trunc() => 0,
        size if size >= 10.0 => 2,
        _ => 4,
    };
    format!("{value:.decimals$}")
}
