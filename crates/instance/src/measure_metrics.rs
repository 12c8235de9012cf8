//! Metrics of the measuring budget.

use {
    hemlockford_core::measure::{MeasureCost, MeasureCounters, MeasureLimits},
    prometheus::{Counter, CounterVec, Gauge, GaugeVec, IntCounter, IntCounterVec, Opts, Registry},
};

/// Metrics of the measuring budget of one instance. The values of the label `amount` have the same units in `spent`
/// and `allowed`.
#[derive(Clone, Debug)]
pub(crate) struct MeasureMetrics {
    probes: IntCounter,
    reports: IntCounter,
    refused: IntCounterVec,
    overruns: IntCounter,
    spent: CounterVec,
    allowed: GaugeVec,
}

impl MeasureMetrics {
    pub(crate) fn register(registry: &Registry) -> prometheus::Result<Self> {
        let counter = |name: &str, help: &str| {
            let counter = IntCounter::new(name, help)?;
            registry.register(Box::new(counter.clone())).map(|()| counter)
        };
        let refused = Opts::new("hemlockford_measure_refused_total", "Refused uses of the budget by reason.");
        let refused = IntCounterVec::new(refused, &["reason"])?;
        registry.register(Box::new(refused.clone()))?;
        let spent = Opts::new("hemlockford_measure_spent_total", "Seconds and bytes spent on measuring.");
        let spent = CounterVec::new(spent, &["amount", "kind"])?;
        registry.register(Box::new(spent.clone()))?;
        let allowed = Opts::new("hemlockford_measure_allowed", "Seconds and bytes that each second may take.");
        let allowed = GaugeVec::new(allowed, &["amount"])?;
        registry.register(Box::new(allowed.clone()))?;
        Ok(Self {
            probes: counter("hemlockford_measure_probes_total", "Probes that were begun.")?,
            reports: counter("hemlockford_measure_reports_total", "Answers that were asked for a load report.")?,
            refused,
            overruns: counter("hemlockford_measure_overruns_total", "Probes that cost more than was reserved.")?,
            spent,
            allowed,
        })
    }

    /// Updates the metrics. `before` contains the counters at the last update.
    pub(crate) fn update(&self, before: &MeasureCounters, now: &MeasureCounters, limits: &MeasureLimits) {
        self.probes.inc_by(now.probes - before.probes);
        self.reports.inc_by(now.reports - before.reports);
        self.overruns.inc_by(now.overruns - before.overruns);
        self.refused.with_label_values(&["budget"]).inc_by(now.over_budget - before.over_budget);
        self.refused.with_label_values(&["gave-way"]).inc_by(now.gave_way - before.gave_way);
        let reports = now.report_spent.minus(before.report_spent);
        let probes = now.spent.minus(before.spent).minus(reports);
        for (kind, spent) in [("probe", probes), ("report", reports)] {
            for (amount, value) in amounts(&spent) {
                let counter: Counter = self.spent.with_label_values(&[amount, kind]);
                counter.inc_by(value);
            }
        }
        for (amount, value) in amounts(&limits.per_entry) {
            let gauge: Gauge = self.allowed.with_label_values(&[amount]);
            gauge.set(value);
        }
    }
}

fn amounts(cost: &MeasureCost) -> [(&'static str, f64); 3] {
    [
        ("slot-seconds", cost.slot_time.as_secs_f64()),
        ("processor-seconds", cost.processor.as_secs_f64()),
        ("bytes", cost.bytes as f64),
    ]
}
