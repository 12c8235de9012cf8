//! Result of a run of load.

use {
    super::call_stats::CallStats,
    crate::histogram::{histogram, quantiles},
    hdrhistogram::Histogram,
    serde_json::{Value, json},
    std::{collections::BTreeMap, fmt, time::Duration},
};

/// Result of a run of load.
#[derive(Clone, Debug)]
pub struct LoadSummary {
    /// Seed of the arrival times.
    pub seed: u64,
    /// Calls that were due.
    pub planned: u64,
    /// Time from the first arrival to the last answer.
    pub elapsed: Duration,
    /// How late calls were started, in microseconds.
    pub lateness: Histogram<u64>,
    /// All calls.
    pub total: CallStats,
    /// Calls by customer.
    pub customers: BTreeMap<Box<str>, CallStats>,
    /// What the control listener of the stand-in servers said after the run.
    pub verification: Option<Verification>,
}

/// What the stand-in servers ran, compared with what the callers were told.
#[derive(Clone, Debug, Default)]
pub struct Verification {
    /// Executions of non-idempotent requests after the first.
    pub repeated: u64,
    /// Uploads that arrived with another content.
    pub wrong_uploads: u64,
    /// Calls that ran although the caller was told that they did not.
    pub ran_but_denied: Vec<Box<str>>,
}

impl LoadSummary {
    pub(super) fn new(seed: u64) -> Self {
        Self {
            seed,
            planned: 0,
            elapsed: Duration::ZERO,
            lateness: histogram(),
            total: CallStats::default(),
            customers: BTreeMap::new(),
            verification: None,
        }
    }

    /// Returns whether every promise was kept: no answer was wrong, partial or repeated, no request ran
    /// twice that must not, and none ran that was said not to.
    pub fn is_clean(&self) -> bool {
        let is_verified = self.verification.as_ref().is_none_or(|verification| {
            verification.repeated == 0 && verification.wrong_uploads == 0 && verification.ran_but_denied.is_empty()
        });
        is_verified && self.total.fault_count() == 0
    }

    /// Returns good answers a second.
    pub fn goodput(&self) -> f64 {
        self.total.good() as f64 / self.elapsed.as_secs_f64().max(1e-9)
    }

    /// Returns the result for a machine.
    pub fn to_json(&self) -> Value {
        let customers: BTreeMap<_, _> = self.customers.iter().map(|(name, tally)| (name, tally.to_json())).collect();
        let verification = self.verification.as_ref().map(|verification| {
            json!({
                "repeated": verification.repeated,
                "wrong_uploads": verification.wrong_uploads,
                "ran_but_denied": verification.ran_but_denied,
            })
        });
        json!({
            "seed": self.seed,
            "planned": self.planned,
            "elapsed_s": self.elapsed.as_secs_f64(),
            "goodput": self.goodput(),
            "clean": self.is_clean(),
            "lateness_us": quantiles(&self.lateness),
            "total": self.total.to_json(),
            "customers": customers,
            "verification": verification,
        })
    }
}

impl fmt::Display for LoadSummary {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let late = |quantile| self.lateness.value_at_quantile(quantile);
        writeln!(
            f,
            "seed {}, {} calls in {:.3} s, goodput {:.0}/s",
            self.seed,
            self.planned,
            self.elapsed.as_secs_f64(),
            self.goodput()
        )?;
        writeln!(f, "start late by: p50 {} us, p99 {} us, max {} us", late(0.5), late(0.99), late(1.0))?;
        f.write_str(&self.total.to_lines("total"))?;
        for (name, tally) in &self.customers {
            f.write_str(&tally.to_lines(&format!("customer {name}")))?;
        }
        if let Some(verification) = &self.verification {
            writeln!(
                f,
                "servers: {} repeated, {} wrong uploads, {} ran although said not to",
                verification.repeated,
                verification.wrong_uploads,
                verification.ran_but_denied.len()
            )?;
        }
        Ok(())
    }
}
