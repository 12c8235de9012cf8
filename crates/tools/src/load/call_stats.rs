//! Statistics of a group of calls.

use {
    super::outcome::{CallOutcome, FaultKind},
    crate::histogram::{QUANTILES, histogram, quantiles},
    hdrhistogram::Histogram,
    serde_json::{Value, json},
    std::{collections::BTreeMap, fmt::Debug, time::Duration},
};

/// Counts and latencies of a group of calls. Latency is measured from the intended start.
#[derive(Clone, Debug)]
pub struct CallStats {
    /// Latency of answers with a status below 500, in microseconds.
    pub latency: Histogram<u64>,
    /// Time until a call was reported as not run, in microseconds.
    pub rejection: Histogram<u64>,
    /// Answers by status.
    pub answered: BTreeMap<u16, u64>,
    /// Calls that were not executed, by reason.
    pub not_run: BTreeMap<Box<str>, u64>,
    /// Calls for which it is unknown whether they were executed, by reason.
    pub unknown: BTreeMap<Box<str>, u64>,
    /// Faulty answers, by kind.
    pub faults: BTreeMap<FaultKind, u64>,
    /// Calls that were due, but not sent because too many calls were in flight.
    pub unsent: u64,
}

impl Default for CallStats {
    fn default() -> Self {
        Self {
            latency: histogram(),
            rejection: histogram(),
            answered: BTreeMap::new(),
            not_run: BTreeMap::new(),
            unknown: BTreeMap::new(),
            faults: BTreeMap::new(),
            unsent: 0,
        }
    }
}

impl CallStats {
    /// Records the outcome of a call.
    pub fn record(&mut self, outcome: CallOutcome, latency: Duration) {
        let microseconds = latency.as_micros() as u64;
        match outcome {
            CallOutcome::Answered(status) => {
                if status < 500 {
                    self.latency.saturating_record(microseconds);
                }
                *self.answered.entry(status).or_default() += 1;
            }
            CallOutcome::NotRun(reason) => {
                self.rejection.saturating_record(microseconds);
                *self.not_run.entry(reason).or_default() += 1;
            }
            CallOutcome::Unknown(reason) => *self.unknown.entry(reason).or_default() += 1,
            CallOutcome::Fault(kind) => *self.faults.entry(kind).or_default() += 1,
        }
    }

    /// Adds the statistics of another group.
    pub fn merge(&mut self, other: &Self) {
        // Adding histograms with the same bounds cannot fail.
        let _ = self.latency.add(&other.latency);
        let _ = self.rejection.add(&other.rejection);
        add_counts(&mut self.answered, &other.answered);
        add_counts(&mut self.not_run, &other.not_run);
        add_counts(&mut self.unknown, &other.unknown);
        add_counts(&mut self.faults, &other.faults);
        self.unsent += other.unsent;
    }

    /// Returns the number of answers with a status below 500.
    pub fn good(&self) -> u64 {
        self.answered.iter().filter(|(status, _)| **status < 500).map(|(_, count)| count).sum()
    }

    /// Returns the number of faulty answers.
    pub fn fault_count(&self) -> u64 {
        self.faults.values().sum()
    }

    /// Returns a quantile of the latency, in microseconds.
    pub fn quantile(&self, quantile: f64) -> u64 {
        self.latency.value_at_quantile(quantile)
    }

    /// Returns the statistics as JSON.
    pub fn to_json(&self) -> Value {
        json!({
            "good": self.good(),
            "answered": counts_to_json(&self.answered, u16::to_string),
            "not_run": counts_to_json(&self.not_run, |reason| reason.to_string()),
            "unknown": counts_to_json(&self.unknown, |reason| reason.to_string()),
            "faults": counts_to_json(&self.faults, FaultKind::to_string),
            "unsent": self.unsent,
            "latency_us": quantiles(&self.latency),
            "rejection_us": quantiles(&self.rejection),
        })
    }

    /// Returns the statistics as human-readable lines.
    pub fn to_lines(&self, name: &str) -> String {
        let list = |counts: Vec<String>| if counts.is_empty() { "none".into() } else { counts.join(", ") };
        let counted = |counts: &BTreeMap<Box<str>, u64>| list(counts.iter().map(|(k, n)| format!("{k} {n}")).collect());
        let latency: Vec<_> =
            QUANTILES.iter().map(|(name, quantile)| format!("{name} {} us", self.quantile(*quantile))).collect();
        format!(
            "{name}: {} good\n  answered: {}\n  not run: {}\n  unknown: {}\n  faults: {}; unsent: {}\n  latency: {}\n",
            self.good(),
            list(self.answered.iter().map(|(status, count)| format!("{status} {count}")).collect()),
            counted(&self.not_run),
            counted(&self.unknown),
            list(self.faults.iter().map(|(kind, count)| format!("{kind} {count}")).collect()),
            self.unsent,
            latency.join(", "),
        )
    }
}

fn add_counts<K: Ord + Clone>(to: &mut BTreeMap<K, u64>, from: &BTreeMap<K, u64>) {
    for (key, count) in from {
        *to.entry(key.clone()).or_default() += count;
    }
}

fn counts_to_json<K: Debug>(counts: &BTreeMap<K, u64>, name: impl Fn(&K) -> String) -> Value {
    Value::Object(counts.iter().map(|(key, count)| (name(key), (*count).into())).collect())
}
