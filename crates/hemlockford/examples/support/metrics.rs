//! Counters of an instance, read from `/metrics`.

use {super::system::get, std::collections::BTreeMap};

/// Values by name with labels.
#[derive(Clone, Debug, Default)]
pub struct Metrics(BTreeMap<String, f64>);

impl Metrics {
    /// Reads the counters from the admin address of an instance.
    pub fn read(admin: &str) -> Self {
        let (_, page) = get(admin, "/metrics");
        let lines = page.lines().filter(|line| !line.starts_with('#'));
        Self(lines.filter_map(|line| line.rsplit_once(' ')).filter_map(parse).collect())
    }

    /// Adds up the values whose name starts with a prefix and whose labels contain all parts.
    pub fn sum(&self, prefix: &str, parts: &[&str]) -> f64 {
        let matching =
            self.0.iter().filter(|(name, _)| name.starts_with(prefix) && parts.iter().all(|part| name.contains(part)));
        matching.map(|(_, value)| value).sum()
    }

    /// Returns what was added since an earlier reading to each value whose name starts with a prefix.
    pub fn since(&self, earlier: &Self, prefix: &str) -> BTreeMap<String, f64> {
        let matching = self.0.iter().filter(|(name, _)| name.starts_with(prefix));
        matching.map(|(name, value)| (name.clone(), value - earlier.0.get(name).unwrap_or(&0.0))).collect()
    }
}

fn parse((name, value): (&str, &str)) -> Option<(String, f64)> {
    Some((name.to_owned(), value.parse().ok()?))
}
