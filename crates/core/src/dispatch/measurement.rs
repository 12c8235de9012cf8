//! Probes and requested load reports of one entry, within its measuring budget.

use {
    super::{DispatchAction, Dispatcher, LoadReport},
    crate::{
        collections::{FastMap, FastSet},
        config::MeasureConfig,
        ids::{Incarnation, ServerId},
        measure::{MeasureBudget, MeasureCost, MeasureCounters, MeasureLimits, MeasureOptions, PROBE_TIMEOUT},
        slots::{NameHash, name_hash},
    },
    std::time::{Duration, Instant},
};

/// Time without an answer after which the estimate of a server is stale. A report has then lost 86% of its
/// weight.
const STALE_AFTER: Duration = Duration::from_secs(1);
/// Slot time reserved for the first probe of a server: 6 ms to answer it, plus a new connection and the round
/// trip.
const INITIAL_RESERVE: Duration = Duration::from_millis(12);
/// Minimum and maximum slot time reserved for a probe. A probe takes 6 ms at today's users. The maximum of 48
/// ms is below the 51 ms of one entry out of seven, so that one such probe per second can run.
const RESERVE_RANGE: (Duration, Duration) = (Duration::from_millis(6), Duration::from_millis(48));
/// Header lines of a report: 26 bytes for the request and 41 for an answer with two numbers of 10 digits.
const REPORT_BYTES: u64 = 67;
/// Request and response headers of a probe. They take 300 bytes with the headers that the prober sends.
const PROBE_BYTES: u64 = 512;
/// Processor time for writing one header and parsing one, an assumed upper bound.
const REPORT_PROCESSOR: Duration = Duration::from_micros(5);
/// Processor time of a connection and one exchange without a body. Two runs with 700 probes each gave 29 and
/// 71 us, on a clock with ticks of 10 ms over the whole process; hence the margin.
const PROBE_PROCESSOR: Duration = Duration::from_micros(200);

const REPORT_COST: MeasureCost =
    MeasureCost { slot_time: Duration::ZERO, processor: REPORT_PROCESSOR, bytes: REPORT_BYTES };

/// State of the measurements of one entry.
#[derive(Debug, Default)]
pub(super) struct Measurement {
    /// Created at the first event, which provides the current time.
    budget: Option<MeasureBudget>,
    limits: MeasureLimits,
    /// When each server last answered or was last probed.
    last_heard: FastMap<NameHash, Instant>,
    /// Slot time to reserve for the next probe of a server.
    reserves: FastMap<NameHash, Duration>,
    running: FastMap<u64, RunningProbe>,
    /// Highest recent utilization of each service's slots, and when it was seen.
    peak_utilization: FastMap<NameHash, (f64, Instant)>,
    last_probe: u64,
}

#[derive(Debug)]
struct RunningProbe {
    service: NameHash,
    server: ServerId,
    reserve: Duration,
    until: Instant,
}

impl Measurement {
    /// Creates the budget at the first event, with which its startup delay begins.
    pub(super) fn start(&mut self, now: Instant, incarnation: Incarnation) {
        self.budget.get_or_insert_with(|| MeasureBudget::new(now, incarnation, MeasureOptions::default()));
    }

    /// Returns whether to request a load report from the server, and reserves its cost if so.
    pub(super) fn request_report(&mut self, now: Instant, server: &str) -> bool {
        self.budget.as_mut().is_some_and(|budget| budget.request_report(now, server, REPORT_COST))
    }

    /// Ends an exchange in which a report was requested.
    pub(super) fn finish_report(&mut self, now: Instant) {
        if let Some(budget) = &mut self.budget {
            budget.finish_report(now, REPORT_COST);
        }
    }

    pub(super) fn record_answer(&mut self, now: Instant, server: NameHash) {
        self.last_heard.insert(server, now);
    }

    pub(super) fn remove_server(&mut self, server: &str) {
        self.last_heard.remove(&name_hash(server));
        self.reserves.remove(&name_hash(server));
        if let Some(budget) = &mut self.budget {
            budget.remove_server(server);
        }
    }

    /// Removes the state of services that are no longer shared by permits.
    pub(super) fn retain(&mut self, services: &FastSet<NameHash>) {
        self.peak_utilization.retain(|service, _| services.contains(service));
    }

    fn set_limits(&mut self, measure: &MeasureConfig, slots: u32, entries: u32) {
        self.limits = MeasureLimits::new(measure, slots, entries);
        if let Some(budget) = &mut self.budget {
            budget.set_limits(self.limits);
        }
    }

    /// Returns the highest recent utilization. An entry estimates the utilization from its own few calls, so
    /// that a single value is often far below the actual one.
    fn recent_peak(&mut self, now: Instant, service: NameHash, utilization: f64) -> f64 {
        let peak = self.peak_utilization.entry(service).or_insert((utilization, now));
        if utilization >= peak.0 || now.saturating_duration_since(peak.1) >= STALE_AFTER {
            *peak = (utilization, now);
        }
        peak.0
    }

    /// Starts a probe if the budget allows it; returns its identifier and the time within which it must end.
    fn try_probe(
        &mut self,
        now: Instant,
        (service, server): (NameHash, &ServerId),
        utilization: f64,
    ) -> Option<(u64, Duration)> {
        let reserve = self.reserves.get(&name_hash(server)).copied().unwrap_or(INITIAL_RESERVE);
        // A reserve that grew while the server was slow must not prevent all later probes.
        let reserve = reserve.min(self.limits.per_entry.slot_time).max(RESERVE_RANGE.0);
        if !self.budget.as_mut()?.try_probe(now, server, probe_cost(reserve), utilization) {
            return None;
        }
        self.last_probe += 1;
        let probe = RunningProbe { service, server: server.clone(), reserve, until: now + PROBE_TIMEOUT };
        self.running.insert(self.last_probe, probe);
        self.last_heard.insert(name_hash(server), now);
        Some((self.last_probe, reserve))
    }

    /// Ends a probe; returns the service and the server if the probe was running.
    fn finish_probe(&mut self, now: Instant, probe: u64, latency: Duration, ok: bool) -> Option<(NameHash, ServerId)> {
        let RunningProbe { service, server, reserve, until } = self.running.remove(&probe)?;
        if now >= until {
            // The budget has already been charged with the whole reserve.
            return None;
        }
        let is_cut_off = !ok && latency >= reserve;
        // The latency is an upper bound of the slot time used.
        self.budget.as_mut()?.finish_probe(now, &server, probe_cost(latency));
        let is_known = self.last_heard.contains_key(&name_hash(&server));
        if is_known && (ok || is_cut_off) {
            let next = if ok { latency.saturating_mul(2) } else { reserve.saturating_mul(2) };
            self.reserves.insert(name_hash(&server), next.clamp(RESERVE_RANGE.0, RESERVE_RANGE.1));
        }
        Some((service, server))
    }
}

impl Dispatcher {
    /// Returns the counters of measurements.
    pub fn measure_counters(&self) -> MeasureCounters {
        self.measurement.budget.as_ref().map(MeasureBudget::counters).unwrap_or_default()
    }

    /// Returns what this entry may spend on measurements in any second.
    pub fn measure_limits(&self) -> MeasureLimits {
        self.measurement.limits
    }

    /// Updates the limits from the configuration and the servers with a valid lease.
    pub(super) fn update_measure_limits(&mut self, now: Instant) {
        let views = self.services.values().flat_map(|state| state.servers.views());
        let slots = views.filter(|view| now < view.lease_end).map(|view| view.slots).sum();
        self.measurement.set_limits(&self.config.measure, slots, self.options.roster as u32);
    }

    /// Probes servers that have not answered for a while, those with the oldest answer first.
    pub(super) fn probe_stale_servers(&mut self, now: Instant, actions: &mut Vec<DispatchAction>) {
        self.measurement.running.retain(|_, probe| now < probe.until);
        let own_hash = name_hash(&self.options.id);
        let mut stale = Vec::new();
        for service in &self.permit_services {
            let Some(state) = self.services.get(service) else { continue };
            let open = state.servers.open(now);
            let total: u32 = open.values().sum();
            if total == 0 {
                continue;
            }
            let utilization =
                if state.waiting() > 0 { 1.0 } else { f64::from(self.slots.slots_in_use(*service)) / f64::from(total) };
            let utilization = self.measurement.recent_peak(now, *service, utilization);
            for server in open.into_keys().filter(|server| state.servers.in_flight(*server) == 0) {
                let last_heard = self.measurement.last_heard.get(&server).copied();
                if last_heard.is_none_or(|at| now.saturating_duration_since(at) >= STALE_AFTER) {
                    // Entries probe equally stale servers in different orders, so that they do not probe the
                    // same one at the same time.
                    stale.push((last_heard, server ^ own_hash, *service, server, utilization));
                }
            }
        }
        stale.sort_unstable_by_key(|(last_heard, order, service, ..)| (*last_heard, *order, *service));
        for (_, _, service, server, utilization) in stale {
            let Some(view) = self.services.get(&service).and_then(|state| state.servers.view(server)) else { continue };
            let over_budget_before = self.measure_counters().over_budget;
            match self.measurement.try_probe(now, (service, &view.id), utilization) {
                Some((probe, limit)) => {
                    let path = self.services.get(&service).map(|state| state.health_path.clone()).unwrap_or_default();
                    let (server, address) = (view.id.clone(), view.address);
                    actions.push(DispatchAction::Probe { probe, server, address, path, limit });
                }
                // If the budget has no room for this probe, it has none for the next one.
                None if self.measure_counters().over_budget > over_budget_before => return,
                None => {}
            }
        }
    }

    /// Processes the end of a probe. A probe that is no longer running is ignored.
    pub(super) fn finish_probe(
        &mut self,
        now: Instant,
        probe: u64,
        latency: Duration,
        report: Option<LoadReport>,
        ok: bool,
    ) {
        let Some((service, server)) = self.measurement.finish_probe(now, probe, latency, ok) else { return };
        if let Some(report) = report.filter(|_| ok)
            && let Some(state) = self.services.get_mut(&service)
        {
            state.health.record_report(now, &server, report);
        }
    }
}

fn probe_cost(slot_time: Duration) -> MeasureCost {
    MeasureCost { slot_time, processor: PROBE_PROCESSOR, bytes: PROBE_BYTES }
}
