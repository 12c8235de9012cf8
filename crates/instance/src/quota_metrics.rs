//! Metrics of the customers' limits.

use {
    hemlockford_core::{ids::CustomerId, quota::CreditStatistics},
    prometheus::{GaugeVec, IntCounterVec, Opts, Registry},
    std::{
        sync::{Arc, Mutex, PoisonError},
        time::{Duration, Instant},
    },
};

/// Interval between updates of the metrics of a leader.
const UPDATE_INTERVAL: Duration = Duration::from_secs(1);

/// Metrics of the customers' limits.
#[derive(Clone, Debug)]
pub(crate) struct QuotaMetrics {
    calls: IntCounterVec,
    left: GaugeVec,
    lent: GaugeVec,
    last_update: Arc<Mutex<Option<Instant>>>,
}

impl QuotaMetrics {
    pub(crate) fn register(registry: &Registry) -> prometheus::Result<Self> {
        let calls = IntCounterVec::new(
            Opts::new(
                "hemlockford_quota_calls_total",
                "Calls of customers with a limit that this entry admitted or refused, by result.",
            ),
            &["result"],
        )?;
        registry.register(Box::new(calls.clone()))?;
        let gauge = |name: &str, help: &str| {
            let gauge = GaugeVec::new(Opts::new(name, help), &["customer"])?;
            registry.register(Box::new(gauge.clone())).map(|()| gauge)
        };
        let left = gauge("hemlockford_quota_credit_left", "Credit that this leader can lend at once, by customer.")?;
        let lent = gauge(
            "hemlockford_quota_credit_lent",
            "Credit that this leader has lent since it began to lead, without what was given back, by customer.",
        )?;
        Ok(Self { calls, left, lent, last_update: Arc::default() })
    }

    /// Updates the metrics of an entry.
    pub(crate) fn count_calls(&self, statistics: CreditStatistics) {
        let results = [
            ("admitted", statistics.admitted),
            ("limit", statistics.over_limit),
            ("no-answer", statistics.no_answer),
            ("cut-off", statistics.cut_off),
        ];
        if results.iter().all(|(_, calls)| *calls == 0) {
            return;
        }
        for (result, calls) in results {
            let counter = self.calls.with_label_values(&[result]);
            counter.inc_by(calls.saturating_sub(counter.get()));
        }
    }

    /// Updates the metrics of a leader, at most once a second.
    pub(crate) fn update_credits<'a>(&self, now: Instant, credits: impl Iterator<Item = (&'a CustomerId, f64, f64)>) {
        let mut last = self.last_update.lock().unwrap_or_else(PoisonError::into_inner);
        if last.is_some_and(|last| now.saturating_duration_since(last) < UPDATE_INTERVAL) {
            return;
        }
        *last = Some(now);
        self.left.reset();
        self.lent.reset();
        for (customer, left, lent) in credits {
            self.left.with_label_values(&[customer]).set(left);
            self.lent.with_label_values(&[customer]).set(lent);
        }
    }
}
