//! Metrics of an instance, read from `/metrics`.

use {super::system::get, std::collections::BTreeMap};

/// Metric values by name, including the labels.
#[derive(Clone, Debug, Default)]
pub struct Metrics(BTreeMap<String, f64>);

impl Metrics {
    /// Reads the metrics from the admin address of an instance.
    pub fn read(admin_address: &str) -> Self {
        let (_, page) = get(admin_address, "/metrics");
        let lines = page.lines().filter(|line| !line.starts_with('#'));
        Self(lines.filter_map(|line| line.rsplit_once(' ')).filter_map(parse_value).collect())
    }

    /// Returns the sum of all values whose name starts with `prefix` and that have all `labels`.
    pub fn sum(&self, prefix: &str, labels: &[&str]) -> f64 {
        let matching = self
            .0
            .iter()
            .filter(|(name, _)| name.starts_with(prefix) && labels.iter().all(|label| name.contains(label)));
        matching.map(|(_, value)| value).sum()
    }

    /// Returns the increase since an earlier reading of each value whose name starts with `prefix`.
    pub fn increases_since(&self, earlier: &Self, prefix: &str) -> BTreeMap<String, f64> {
        let matching = self.0.iter().filter(|(name, _)| name.starts_with(prefix));
        matching.map(|(name, value)| (name.clone(), value - earlier.0.get(name).unwrap_or(&0.0))).collect()
    }
}

fn parse_value((name, value): (&str, &str)) -> Option<(String, f64)> {
    Some((name.to_owned(), value.parse().ok()?))
}
