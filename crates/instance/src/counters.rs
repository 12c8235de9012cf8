//! Metrics of the control plane and of the dispatcher.

use {
    crate::{measure_metrics::MeasureMetrics, quota_metrics::QuotaMetrics},
    error_stack::ResultExt,
    hemlockford_core::{
        errors::{ErrorKind, Result},
        ledger::COMMAND_VERSION,
    },
    hemlockford_net::MESSAGE_VERSION,
    prometheus::{Gauge, Histogram, HistogramOpts, IntCounter, IntCounterVec, IntGauge, IntGaugeVec, Opts, Registry},
};

/// Version of the program.
pub(crate) const PROGRAM_VERSION: &str = env!("CARGO_PKG_VERSION");
/// Upper bounds of the histogram buckets for write times, in seconds.
const STORAGE_SECONDS_BUCKETS: [f64; 9] = [0.000_5, 0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 1.0];
/// Upper bounds of the histogram buckets for the time of an event, in seconds. A follower waits 0.35 s for a heartbeat.
const EVENT_SECONDS_BUCKETS: [f64; 6] = [0.001, 0.01, 0.05, 0.1, 0.35, 1.0];

/// Metrics of one instance, except for those of the HTTP path.
#[derive(Clone, Debug)]
pub(crate) struct Counters {
    pub(crate) peer_messages: IntCounterVec,
    pub(crate) peer_bytes: IntCounterVec,
    pub(crate) malformed_datagrams: IntCounter,
    pub(crate) unknown_senders: IntCounter,
    pub(crate) unreadable_messages: IntCounter,
    pub(crate) out_of_bounds: IntCounterVec,
    pub(crate) link_timeouts: IntCounter,
    pub(crate) server_notices: IntCounterVec,
    pub(crate) server_crashes: IntCounter,
    pub(crate) relayed_calls: IntCounter,
    pub(crate) lost_paths: IntGauge,
    pub(crate) quarantined: IntGauge,
    pub(crate) cold_servers: IntGauge,
    pub(crate) cold_call_rate: Gauge,
    pub(crate) cold_calls: IntCounter,
    pub(crate) copies_sent: IntCounter,
    pub(crate) copies_won: IntCounter,
    pub(crate) copies_refused: IntCounterVec,
    pub(crate) announcements: IntCounter,
    pub(crate) submits: IntCounterVec,
    pub(crate) claims: IntCounterVec,
    pub(crate) storage_seconds: Histogram,
    pub(crate) event_seconds: Histogram,
    pub(crate) full_disk_errors: IntCounter,
    pub(crate) change_number: IntGauge,
    pub(crate) ready: IntGauge,
    pub(crate) leading: IntGauge,
    pub(crate) live_instances: IntGauge,
    pub(crate) servers: IntGaugeVec,
    pub(crate) evacuated: IntGaugeVec,
    pub(crate) waiting_calls: IntGauge,
    pub(crate) active_calls: IntGauge,
    pub(crate) measure: MeasureMetrics,
    pub(crate) quota: QuotaMetrics,
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
        let build =
            Opts::new("hemlockford_build_info", "Version of the program, and versions of what it writes; always 1.");
        let build = IntGaugeVec::new(build, &["version", "messages", "commands"])?;
        registry.register(Box::new(build.clone()))?;
        let (messages, commands) = (MESSAGE_VERSION.to_string(), COMMAND_VERSION.to_string());
        build.with_label_values(&[PROGRAM_VERSION, &messages, &commands]).set(1);
        let servers = IntGaugeVec::new(Opts::new("hemlockford_servers", "Known servers by service."), &["service"])?;
        registry.register(Box::new(servers.clone()))?;
        let evacuated = "Whether the servers of a data centre get no calls, for those of which an order was applied.";
        let evacuated = IntGaugeVec::new(Opts::new("hemlockford_evacuated", evacuated), &["data_centre"])?;
        registry.register(Box::new(evacuated.clone()))?;
        let cold_call_rate = Gauge::new(
            "hemlockford_cold_call_rate",
            "Calls per second that this entry may send to the cold servers together.",
        )?;
        registry.register(Box::new(cold_call_rate.clone()))?;
        let options = HistogramOpts::new("hemlockford_storage_seconds", "Time until writes were durable.");
        let storage_seconds = Histogram::with_opts(options.buckets(STORAGE_SECONDS_BUCKETS.to_vec()))?;
        registry.register(Box::new(storage_seconds.clone()))?;
        let options = HistogramOpts::new(
            "hemlockford_event_seconds",
            "Time for one event of a replica or of the link of an entry; meanwhile nothing else is handled.",
        );
        let event_seconds = Histogram::with_opts(options.buckets(EVENT_SECONDS_BUCKETS.to_vec()))?;
        registry.register(Box::new(event_seconds.clone()))?;
        Ok(Self {
            peer_messages: vec(
                "hemlockford_peer_messages_total",
                "Messages between instances.",
                &["transport", "direction", "kind"],
            )?,
            peer_bytes: vec("hemlockford_peer_bytes_total", "Bytes of them.", &["transport", "direction", "kind"])?,
            malformed_datagrams: counter("hemlockford_peer_malformed_total", "Malformed datagrams from the network.")?,
            unknown_senders: counter("hemlockford_peer_unknown_total", "Messages from unknown instances.")?,
            unreadable_messages: counter(
                "hemlockford_peer_unreadable_total",
                "Messages from other instances that arrived intact, could not be read and were skipped.",
            )?,
            out_of_bounds: vec(
                "hemlockford_out_of_bounds_total",
                "Parts of messages and calls that were dropped or refused because they exceed a limit, by part.",
                &["part"],
            )?,
            link_timeouts: counter(
                "hemlockford_peer_link_timeouts_total",
                "Connections to other instances closed because a message was not acknowledged in time.",
            )?,
            server_notices: vec(
                "hemlockford_server_notices_total",
                "Answers in which servers asked for no or fewer calls, by kind.",
                &["kind"],
            )?,
            server_crashes: counter(
                "hemlockford_server_crashes_total",
                "Servers that ended while they ran a request of this entry.",
            )?,
            relayed_calls: counter(
                "hemlockford_relayed_calls_total",
                "Calls passed on to another entry because the path to the servers was lost.",
            )?,
            lost_paths: gauge("hemlockford_lost_paths", "Services to whose servers this entry has lost the path.")?,
            quarantined: gauge(
                "hemlockford_quarantined_requests",
                "Requests that are not sent to servers because several ended under them.",
            )?,
            cold_servers: gauge("hemlockford_cold_servers", "Servers that are cold and tolerate few calls.")?,
            cold_call_rate,
            cold_calls: counter(
                "hemlockford_cold_calls_total",
                "Calls that this entry has sent to servers while they were cold; counted when a server is warm.",
            )?,
            copies_sent: counter("hemlockford_copies_total", "Second copies of slow calls sent to servers.")?,
            copies_won: counter("hemlockford_copies_won_total", "Second copies whose answer went to the caller.")?,
            copies_refused: vec(
                "hemlockford_copies_refused_total",
                "Slow calls of which no second copy was sent, by reason.",
                &["reason"],
            )?,
            announcements: counter("hemlockford_announcements_total", "Announcements of servers.")?,
            submits: vec("hemlockford_submits_total", "Submitted texts by result.", &["result"])?,
            claims: vec("hemlockford_claims_total", "Claims of idempotency keys by result.", &["result"])?,
            storage_seconds,
            event_seconds,
            full_disk_errors: counter("hemlockford_storage_full_total", "Writes refused by a full disk.")?,
            change_number: gauge("hemlockford_change_number", "Number of the installed change.")?,
            ready: gauge("hemlockford_ready", "Whether the instance may serve.")?,
            leading: gauge("hemlockford_leading", "Whether the instance leads the replicated log.")?,
            live_instances: gauge("hemlockford_live_instances", "Live instances, this one included.")?,
            servers,
            evacuated,
            waiting_calls: gauge("hemlockford_waiting_calls", "Calls that wait for a server.")?,
            active_calls: gauge("hemlockford_active_calls", "Calls that wait or run.")?,
            measure: MeasureMetrics::register(registry)?,
            quota: QuotaMetrics::register(registry)?,
        })
    }

    /// Counts one message between instances and its size.
    pub(crate) fn count_message(&self, transport: &str, direction: &str, kind: &str, bytes: usize) {
        let labels = [transport, direction, kind];
        self.peer_messages.with_label_values(&labels).inc();
        self.peer_bytes.with_label_values(&labels).inc_by(bytes as u64);
    }
}
