//! Result of a run of the load generator.

use {
    super::call_stats::CallStats,
    crate::histogram::{histogram, quantiles},
    hdrhistogram::Histogram,
    serde_json::{Value, json},
    std::{collections::BTreeMap, fmt, time::Duration},
};

/// Result of a run of the load generator.
#[derive(Clone, Debug)]
pub struct LoadSummary {
    /// Seed of the arrival times.
    pub seed: u64,
    /// Number of calls that were due.
    pub planned: u64,
    /// Time from the first arrival to the last answer.
    pub elapsed: Duration,
    /// Delay between the intended and the actual start of calls, in microseconds.
    pub lateness: Histogram<u64>,
    /// Statistics of all calls.
    pub total: CallStats,
    /// Statistics by customer.
    pub customers: BTreeMap<Box<str>, CallStats>,
    /// Comparison with the executions that the stand-in servers counted, if a control listener was given.
    pub verification: Option<Verification>,
}

/// Comparison of the executions at the stand-in servers with the outcomes at the callers.
#[derive(Clone, Debug, Default)]
pub struct Verification {
    /// Repeated executions of non-idempotent requests.
    pub repeated: u64,
    /// Uploads that arrived with wrong content.
    pub wrong_uploads: u64,
    /// Calls that were executed although their outcome was "not run".
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

    /// Returns whether no fault was found: no answer was wrong, partial or repeated, no upload was wrong, no
    /// non-idempotent request was executed twice, and no request was executed that was reported as not run.
    pub fn is_clean(&self) -> bool {
        let is_verified = self.verification.as_ref().is_none_or(|verification| {
            verification.repeated == 0 && verification.wrong_uploads == 0 && verification.ran_but_denied.is_empty()
        });
        is_verified && self.total.fault_count() == 0
    }

    /// Returns the rate of good answers per second.
    pub fn goodput(&self) -> f64 {
        self.total.good() as f64 / self.elapsed.as_secs_f64().max(1e-9)
    }

    /// Returns the result as JSON.
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
        let lateness = |quantile| self.lateness.value_at_quantile(quantile);
        writeln!(
            f,
            "seed {}, {} calls in {:.3} s, goodput {:.0}/s",
            self.seed,
            self.planned,
            self.elapsed.as_secs_f64(),
            self.goodput()
        )?;
        writeln!(f, "start delay: p50 {} us, p99 {} us, max {} us", lateness(0.5), lateness(0.99), lateness(1.0))?;
        f.write_str(&self.total.to_lines("total"))?;
        for (name, tally) in &self.customers {
            f.write_str(&tally.to_lines(&format!("customer {name}")))?;
        }
        if let Some(verification) = &self.verification {
            writeln!(
                f,
                "servers: {} repeated executions, {} wrong uploads, {} executed although reported as not run",
                verification.repeated,
                verification.wrong_uploads,
                verification.ran_but_denied.len()
            )?;
        }
        Ok(())
    }
}
