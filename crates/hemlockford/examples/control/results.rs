//! Measured figures with their units.

use {
    crate::support::{machine, table::Table},
    std::{path::Path, time::Duration},
};

/// Table of measured figures.
pub struct Results(Table);

impl Results {
    pub fn new() -> Self {
        Self(Table::new(&["part", "figure", "instance", "value", "unit", "load_average"]))
    }

    pub fn add(&mut self, part: &str, figure: &str, instance: &str, value: f64, unit: &str) {
        let cells = [part, figure, instance, &format!("{value:.3}"), unit, &format!("{:.1}", machine::load_average())];
        self.0.add_row(cells.map(str::to_owned).to_vec());
    }

    /// Adds the median, the 90th percentile and the maximum of a series of times.
    pub fn add_times(&mut self, part: &str, figure: &str, instance: &str, mut times: Vec<Duration>) {
        times.sort();
        let Some(last) = times.len().checked_sub(1) else { return };
        let quantiles = [("median", last.div_ceil(2)), ("p90", (times.len() * 9).div_ceil(10) - 1), ("maximum", last)];
        for (name, index) in quantiles {
            let milliseconds = times[index].as_secs_f64() * 1_000.0;
            self.add(part, &format!("{figure} {name} of {}", times.len()), instance, milliseconds, "ms");
        }
    }

    pub fn print_and_save(&self, path: Option<&Path>) {
        self.0.print_and_save(path);
    }
}
