//! Counters of the control part and of the dispatcher.

use {
    crate::measure_metrics::MeasureMetrics,
    error_stack::ResultExt,
    hemlockford_core::errors::{ErrorKind, Result},
    prometheus::{Histogram, HistogramOpts, IntCounter, IntCounterVec, IntGauge, IntGaugeVec, Opts, Registry},
};

/// Bounds of the buckets of storage time, in seconds.
const STORAGE_SECONDS_BUCKETS: [f64; 9] = [0.000_5, 0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 1.0];

/// Counters of one instance apart from the HTTP path.
#[derive(Clone, Debug)]
pub(crate) struct Counters {
    pub(crate) messages: IntCounterVec,
    pub(crate) bytes: IntCounterVec,
    pub(crate) malformed: IntCounter,
    pub(crate) unknown_sender: IntCounter,
    pub(crate) announcements: IntCounter,
    pub(crate) submits: IntCounterVec,
    pub(crate) claims: IntCounterVec,
    pub(crate) storage_seconds: Histogram,
    pub(crate) storage_full: IntCounter,
    pub(crate) change: IntGauge,
    pub(crate) ready: IntGauge,
    pub(crate) leading: IntGauge,
    pub(crate) live: IntGauge,
    pub(crate) servers: IntGaugeVec,
    pub(crate) waiting: IntGauge,
    pub(crate) active: IntGauge,
    pub(crate) measure: MeasureMetrics,
}

impl Counters {
    pub(crate) fn register(registry: &Registry) -> Result<Self> {
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
        let gauge = |name: &str, help: &str| {
            let gauge = IntGauge::new(name, help)?;
            registry.register(Box::new(gauge.clone())).map(|()| gauge)
        };
        let servers = IntGaugeVec::new(Opts::new("hemlockford_servers", "Known servers by service."), &["service"])?;
        registry.register(Box::new(servers.clone()))?;
        let options = HistogramOpts::new("hemlockford_storage_seconds", "Time until writes were durable.");
        let storage_seconds = Histogram::with_opts(options.buckets(STORAGE_SECONDS_BUCKETS.to_vec()))?;
        registry.register(Box::new(storage_seconds.clone()))?;
        Ok(Self {
            messages: vec(
                "hemlockford_peer_messages_total",
                "Messages between instances.",
                &["transport", "direction", "kind"],
            )?,
            bytes: vec("hemlockford_peer_bytes_total", "Bytes of them.", &["transport", "direction", "kind"])?,
            malformed: counter("hemlockford_peer_malformed_total", "Malformed datagrams from the network.")?,
            unknown_sender: counter("hemlockford_peer_unknown_total", "Messages from unknown instances.")?,
            announcements: counter("hemlockford_announcements_total", "Announcements of servers.")?,
            submits: vec("hemlockford_submits_total", "Submitted texts by result.", &["result"])?,
            claims: vec("hemlockford_claims_total", "PendingClaims of idempotency keys by result.", &["result"])?,
            storage_seconds,
            storage_full: counter("hemlockford_storage_full_total", "Writes refused by a full disk.")?,
            change: gauge("hemlockford_change_number", "Number of the installed change.")?,
            ready: gauge("hemlockford_ready", "Whether the instance may serve.")?,
            leading: gauge("hemlockford_leading", "Whether the instance leads the replicated log.")?,
            live: gauge("hemlockford_live_instances", "Live instances, this one included.")?,
            servers,
            waiting: gauge("hemlockford_waiting_calls", "Calls that wait for a server.")?,
            active: gauge("hemlockford_active_calls", "Calls that wait or run.")?,
            measure: MeasureMetrics::register(registry)?,
        })
    }

    /// Counts one message between instances.
    pub(crate) fn count(&self, transport: &str, direction: &str, kind: &str, bytes: usize) {
        let labels = [transport, direction, kind];
        self.messages.with_label_values(&labels).inc();
        self.bytes.with_label_values(&labels).inc_by(bytes as u64);
    }
}
