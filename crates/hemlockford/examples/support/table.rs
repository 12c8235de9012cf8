//! Result tables, printed as text and written as CSV.

use std::{fs, path::Path};

/// Result rows with a header. Each column name states its unit.
pub struct Table {
    header: Vec<&'static str>,
    rows: Vec<Vec<String>>,
}

impl Table {
    pub fn new(header: &[&'static str]) -> Self {
        Self { header: header.to_vec(), rows: Vec::new() }
    }

    pub fn add_row(&mut self, row: Vec<String>) {
        assert_eq!(row.len(), self.header.len(), "the row and the header have different numbers of columns");
        self.rows.push(row);
    }

    /// Returns the cell of a column in the last row.
    pub fn last_value(&self, name: &str) -> &str {
        let column = self.header.iter().position(|header| *header == name).expect("a column with this name");
        self.rows.last().map_or("", |row| &row[column])
    }

    /// Returns the last row as `name=value` pairs, for progress output during a run.
    pub fn last_row(&self) -> String {
        let row = self.rows.last().map_or(&[][..], Vec::as_slice);
        let pairs = self.header.iter().zip(row).filter(|(_, value)| !value.is_empty());
        pairs.map(|(name, value)| format!("{name}={value}")).collect::<Vec<_>>().join(" ")
    }

    /// Renders the rows with aligned columns. Columns that are empty in every row are left out.
    pub fn to_text(&self) -> String {
        let header: Vec<_> = self.header.iter().map(|name| (*name).to_owned()).collect();
        let lines: Vec<_> = std::iter::once(&header).chain(&self.rows).collect();
        let is_filled = |column: &usize| self.rows.iter().any(|row| !row[*column].is_empty());
        let width = |column: usize| lines.iter().map(|line| line[column].len()).max().unwrap_or_default();
        let widths: Vec<_> = (0..header.len()).filter(is_filled).map(|column| (column, width(column))).collect();
        let render = |line: &&Vec<String>| {
            let cells = widths.iter().map(|(column, width)| format!("{:<width$}", line[*column]));
            cells.collect::<Vec<_>>().join("  ").trim_end().to_owned() + "\n"
        };
        lines.iter().map(render).collect()
    }

    /// Prints the table, and writes it to a CSV file if a path is given.
    pub fn print_and_save(&self, path: Option<&Path>) {
        print!("{}", self.to_text());
        if let Some(path) = path {
            let lines = std::iter::once(self.header.join(",")).chain(self.rows.iter().map(|row| row.join(",")));
            fs::write(path, lines.map(|line| line + "\n").collect::<String>()).expect("the CSV file is written");
        }
    }
}
