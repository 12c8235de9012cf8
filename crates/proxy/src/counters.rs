//! Counters of the HTTP path, and the record of each finished call.

use {
    crate::customer_refusals::CustomerRefusals,
    error_stack::ResultExt,
    hemlockford_core::{
        errors::{ErrorKind, Result},
        ids::{CustomerId, ServiceId},
        outcome::Outcome,
    },
    prometheus::{Histogram, HistogramOpts, IntCounter, IntCounterVec, Opts, Registry},
    std::time::Duration,
};

/// Upper bounds of the latency buckets, in seconds.
const LATENCY_BUCKETS: [f64; 12] = [0.000_5, 0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5];
/// Upper bounds of the buckets of added latency, in seconds. The target is 0.54 ms for 99% of the calls.
const ADDED_BUCKETS: [f64; 9] = [0.000_1, 0.000_2, 0.000_3, 0.000_4, 0.000_54, 0.001, 0.005, 0.05, 0.5];

/// A finished call, for the report on service-level objectives.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CallRecord {
    /// Service that was called.
    pub service: ServiceId,
    /// Customer on whose behalf it was called.
    pub customer: CustomerId,
    /// Time from the request head to the end of the response.
    pub latency: Duration,
    /// The outcome sent to the caller; `None` if the caller left before.
    pub outcome: Option<Outcome>,
}

/// Counters of the HTTP path, shared by the workers of an instance.
#[derive(Clone, Debug)]
pub struct ProxyCounters {
    pub(crate) calls: IntCounterVec,
    /// Calls of customers with keys that were not run.
    pub(crate) refusals: CustomerRefusals,
    pub(crate) attempts: IntCounterVec,
    pub(crate) opened: IntCounter,
    pub(crate) reused: IntCounter,
    pub(crate) bytes: IntCounterVec,
    pub(crate) latency: Histogram,
    pub(crate) added: Histogram,
}

impl ProxyCounters {
    /// Creates the counters and registers them.
    ///
    /// ```
    /// let registry = prometheus::Registry::new();
    /// hemlockford_proxy::ProxyCounters::register(&registry).unwrap();
    /// assert!(hemlockford_proxy::ProxyCounters::register(&registry).is_err());
    /// ```
    pub fn register(registry: &Registry) -> Result<Self> {
        Self::build(registry).change_context(ErrorKind::Conflict)
    }

    fn build(registry: &Registry) -> prometheus::Result<Self> {
        let vec = |name: &str, help: &str, labels: &[&str]| {
            let counter = IntCounterVec::new(Opts::new(name, help), labels)?;
            registry.register(Box::new(counter.clone())).map(|()| counter)
        };
        let counter = |name: &str, help: &str| {
            let counter = IntCounter::new(name, help)?;
            registry.register(Box::new(counter.clone())).map(|()| counter)
        };
        let histogram = |name: &str, help: &str, buckets: &[f64]| {
            let histogram = Histogram::with_opts(HistogramOpts::new(name, help).buckets(buckets.to_vec()))?;
            registry.register(Box::new(histogram.clone())).map(|()| histogram)
        };
        Ok(Self {
            calls: vec("hemlockford_calls_total", "Calls by service and outcome.", &["service", "outcome"])?,
            refusals: CustomerRefusals::new(vec(
                "hemlockford_customer_refusals_total",
                "Calls not run, by customer and reason, if customers have keys.",
                &["customer", "reason"],
            )?),
            attempts: vec("hemlockford_attempts_total", "Attempts at servers by result.", &["result"])?,
            opened: counter("hemlockford_connections_opened_total", "Connections opened to servers.")?,
            reused: counter("hemlockford_connections_reused_total", "Requests sent on a pooled connection.")?,
            bytes: vec("hemlockford_body_bytes_total", "Body bytes passed on, by direction.", &["direction"])?,
            latency: histogram("hemlockford_call_seconds", "Time from request to whole answer.", &LATENCY_BUCKETS)?,
            added: histogram("hemlockford_added_seconds", "Part of it outside attempts.", &ADDED_BUCKETS)?,
        })
    }

    pub(crate) fn record(&self, service: &str, outcome: Option<Outcome>, latency: Duration, attempts: Duration) {
        let label = outcome.map_or("caller-left".into(), Outcome::header_value);
        self.calls.with_label_values(&[service, &label]).inc();
        if outcome == Some(Outcome::Answered) {
            self.latency.observe(latency.as_secs_f64());
            self.added.observe(latency.saturating_sub(attempts).as_secs_f64());
        }
    }
}
