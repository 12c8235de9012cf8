//! Probes and load reports in virtual time, and their cost.

use {
    super::{Cluster, server::FIRST_PROBE},
    hemlockford_core::{
        dispatch::{DispatchAction, DispatchEvent, LoadReport, NOMINAL_PACE},
        measure::{MeasureCost, PROBE_TIMEOUT, WINDOW},
    },
    std::time::Duration,
};

/// A probe of 173 bytes and its answer of 120 bytes, as exchanged by a running entry, rounded up.
const PROBE_BYTES: u64 = 300;

/// One use of the measuring budget.
#[derive(Clone, Copy, Debug)]
pub struct BudgetUse {
    pub begin: Duration,
    pub end: Duration,
    pub cost: MeasureCost,
}

/// One running probe.
#[derive(Debug)]
pub struct Probe {
    entry: usize,
    starts: u64,
    number: u64,
    server: usize,
    begin: Duration,
    /// When it started to use a slot.
    started: Option<Duration>,
}

impl Cluster {
    pub fn probe(&mut self, entry: usize, action: &DispatchAction) {
        let DispatchAction::Probe { probe, server, limit, .. } = action else { return };
        let server = self.servers.iter().position(|known| known.id == *server).expect("a known server");
        assert!(*limit <= PROBE_TIMEOUT, "the reserve expires during the probe");
        let id = FIRST_PROBE + self.probe_starts.len() as u64;
        self.probe_starts.push(self.now);
        let probe =
            Probe { entry, starts: self.start_counts[entry], number: *probe, server, begin: self.now, started: None };
        self.probes.insert(id, probe);
        self.cut_off_at(self.now + *limit, id);
        self.servers[server].push(id, self.probe_time);
        self.start_queued_calls(server);
    }

    /// Records that a call or probe started to use a slot.
    pub fn record_start(&mut self, id: u64) {
        if let Some(probe) = self.probes.get_mut(&id) {
            probe.started = Some(self.now);
        }
    }

    /// Ends a probe; returns whether the identifier is that of a probe.
    pub fn end_probe(&mut self, id: u64, ok: bool) -> bool {
        let Some(probe) = self.probes.remove(&id) else { return id >= FIRST_PROBE };
        let report = self.load(probe.server);
        self.servers[probe.server].remove(id);
        self.start_queued_calls(probe.server);
        let slot_time = probe.started.map(|started| self.now - started).unwrap_or_default();
        let cost = MeasureCost { slot_time, processor: Duration::ZERO, bytes: PROBE_BYTES };
        self.budget_uses.push(BudgetUse { begin: probe.begin, end: self.now, cost });
        if self.start_counts[probe.entry] == probe.starts {
            let latency = self.now - probe.begin;
            let event =
                DispatchEvent::ProbeFinished { probe: probe.number, latency, report: Some(report), warm_up: None, ok };
            self.handle(probe.entry, event);
        }
        true
    }

    /// Ends the probes of an entry that was killed, as its connections are closed.
    pub fn end_probes(&mut self, entry: usize) {
        let ids: Vec<_> = self.probes.iter().filter(|(_, probe)| probe.entry == entry).map(|(id, _)| *id).collect();
        for id in ids {
            self.end_probe(id, false);
        }
    }

    pub fn load(&self, server: usize) -> LoadReport {
        let server = &self.servers[server];
        let in_flight = (server.running.len() + server.queued.len()) as u32;
        LoadReport { in_flight, slots: server.slots as u32, pace: NOMINAL_PACE }
    }

    /// Counts a header that requests a report or contains one.
    pub fn count_header(&mut self, header: &str) {
        let cost = MeasureCost { bytes: header.len() as u64, ..MeasureCost::default() };
        self.budget_uses.push(BudgetUse { begin: self.now, end: self.now, cost });
    }

    /// Returns the maximum that all entries used in any window of one second. A use counts whole in each
    /// window that it overlaps.
    pub fn peak_use(&mut self) -> MeasureCost {
        self.budget_uses.sort_by_key(|spent| spent.begin);
        let mut peak = MeasureCost::default();
        for window in self.budget_uses.iter().map(|spent| spent.end) {
            let from = self.budget_uses.partition_point(|spent| spent.begin + PROBE_TIMEOUT < window);
            let to = self.budget_uses.partition_point(|spent| spent.begin < window + WINDOW);
            let within = self.budget_uses[from..to].iter().filter(|spent| spent.end >= window);
            let sum = within.fold(MeasureCost::default(), |sum, spent| sum.plus(spent.cost));
            peak.slot_time = peak.slot_time.max(sum.slot_time);
            peak.bytes = peak.bytes.max(sum.bytes);
        }
        peak
    }
}
