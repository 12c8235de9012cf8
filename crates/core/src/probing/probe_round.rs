//! Rounds of probes before the choice of a server.

use {
    super::{ActiveCall, Balancer, Cost, RunningProbe, Server, ServiceState, Stage, WarmUp, balancer::Timer},
    crate::{
        config::Service,
        dispatch::{DispatchAction, LoadReport},
        ids::CallId,
        slots::NameHash,
    },
    rand::RngExt,
    std::time::{Duration, Instant},
};

/// Servers to probe in each round. A probe costs a thousandth of a call's value. A quarter of the servers are
/// slow, and a call at one of them loses most of its value. If nothing is known, all of four probed servers
/// are slow for one call in 256, and all of three for one call in 64.
const CANDIDATES_PER_ROUND: usize = 4;
/// Maximum number of probe rounds for one choice.
const MAX_ROUNDS: u32 = 2;
/// Time after the start of a round after which the choice is made. Probes take 1 to 6 ms.
const ROUND_DURATION: Duration = Duration::from_millis(12);
/// Probes of one server that an entry may send in a row without waiting for the probe interval. In a fleet of
/// 36 entries the interval is 0.6 s, within which an entry has several calls for the few servers of a small
/// service.
const PROBE_BURST: u32 = 3;
/// Maximum duration of a probe. An answer after the end of its round is still of use for the next call.
const PROBE_TIMEOUT: Duration = Duration::from_millis(50);
/// A probe whose end is not reported within this time is removed.
const PROBE_EXPIRY: Duration = Duration::from_secs(1);
/// Age up to which a report is used instead of a probe. A server becomes slow within 5 ms with a probability
/// of 0.4%, and a call then loses up to four times the cost of a probe. A probe takes about as long.
const FRESH_REPORT_AGE: Duration = Duration::from_millis(5);
/// Maximum of the random part of the estimate, as a share of the call's value, so that entries with the same
/// information do not choose the same servers.
const NOISE: f64 = 0.1;
/// Penalty, as a share of the call's value, for a server that cannot be probed now because this entry has just
/// probed it. It is about a quarter of the loss at a slow server, which an old report may hide.
const UNPROBED_PENALTY: f64 = 0.3;
/// If the loss exceeds the minimum by no more than this share of the call's value, neither another probe nor
/// waiting is worthwhile.
const GOOD_MARGIN: f64 = 0.01;
/// If the loss exceeds the minimum by more than this share of the call's value, another round is worthwhile:
/// three probes at a thousandth each, which find a better server in most cases.
const POOR_MARGIN: f64 = 0.05;
/// If the loss due to time exceeds the minimum by more than this share of the call's value, the call waits for
/// another server. Most answers would be late, whereas the speed of servers changes within 300 ms and slots
/// become free continuously.
const UNACCEPTABLE_MARGIN: f64 = 0.8;
/// Age up to which a report is a reason to wait; the speed of a server changes in this time.
const RECENT_REPORT_AGE: Duration = Duration::from_millis(300);

impl Balancer {
    /// Starts a round of probes for a call, or makes the choice if no probe is needed.
    pub(super) fn start_round(
        &mut self,
        now: Instant,
        mut active: ActiveCall,
        mut candidates: Vec<NameHash>,
        rounds: u32,
        actions: &mut Vec<DispatchAction>,
    ) {
        self.check_limit(now, active.service, actions);
        let added = self.select_candidates(now, &active, &candidates);
        let mut pending_probes = 0;
        for server in added {
            candidates.push(server);
            pending_probes +=
                usize::from(self.probe_server(now, active.service, server, Some(active.call.id), actions));
        }
        if pending_probes == 0 {
            return self.choose_server(now, active, &candidates, actions);
        }
        let until = now + ROUND_DURATION;
        let call = active.call.id;
        active.stage = Stage::Probing { candidates, pending_probes, rounds: rounds + 1, until };
        self.calls.insert(call, active);
        self.set_timer(until, Timer::Call(call));
    }

    /// Probes a server for which it is due to learn whether its limit still holds. Entries that may not send it calls
    /// would not learn that otherwise.
    fn check_limit(&mut self, now: Instant, service: NameHash, actions: &mut Vec<DispatchAction>) {
        let position = self.position(now);
        let Some(state) = self.services.get_mut(&service) else { return };
        let due = state.servers.iter().find(|server| server.is_limit_check_due(now)).map(|server| server.name_hash);
        let Some(due) = due.and_then(|server| state.servers.get_mut(server)) else { return };
        let server = due.name_hash;
        let limits = due.limit.iter_mut().chain(due.warm_up.as_mut().map(WarmUp::limit_mut));
        limits.for_each(|limit| limit.postpone_check(now, position, &mut self.rng));
        self.probe_server(now, service, server, None, actions);
    }

    /// Returns the most promising servers for a call, apart from the current candidates.
    fn select_candidates(&mut self, now: Instant, active: &ActiveCall, known: &[NameHash]) -> Vec<NameHash> {
        let interval = self.probe_interval(now);
        let Some(state) = self.services.get(&active.service) else { return Vec::new() };
        let sampled: Vec<_> = state.servers.sample(&mut self.rng).collect();
        let open = |server: &&Server| !active.tried.contains(&server.name_hash) && !known.contains(&server.name_hash);
        let due = sampled
            .iter()
            .copied()
            .chain(state.servers.joined())
            .filter(open)
            .filter(|server| server.accepts_trial(now, active));
        // The earliest due time decides, because all entries have the same order of names and must not choose
        // the same server.
        let due = due.min_by_key(|server| server.introduction_due);
        let mut scored: Vec<_> = sampled
            .iter()
            .copied()
            .filter(open)
            .filter(|server| server.is_usable(now))
            // An old report of a full server does not prevent another probe.
            .filter(|server| !server.has_fresh_report(now) || server.has_room(now, &state.baseline))
            .map(|server| {
                let loss = Cost::estimate(now, active, server, &state.baseline).loss;
                let penalty = if server.is_load_available(now, interval) { 0.0 } else { UNPROBED_PENALTY };
                (loss + penalty + self.rng.random_range(0.0..NOISE), server.name_hash)
            })
            .collect();
        scored.sort_unstable_by(|a, b| a.0.total_cmp(&b.0));
        let mut chosen: Vec<_> = due.map(|server| server.name_hash).into_iter().collect();
        for (_, server) in scored {
            if chosen.len() < CANDIDATES_PER_ROUND && !chosen.contains(&server) {
                chosen.push(server);
            }
        }
        chosen
    }

    /// Probes a server if that is worthwhile; returns whether an answer is pending.
    pub(super) fn probe_server(
        &mut self,
        now: Instant,
        service: NameHash,
        server: NameHash,
        call: Option<CallId>,
        actions: &mut Vec<DispatchAction>,
    ) -> bool {
        let interval = self.probe_interval(now);
        let path = self.health_paths.get(&service).cloned().unwrap_or_else(|| Service::default().health_path);
        let Some(state) = self.services.get_mut(&service) else { return false };
        let Some(server) = state.servers.get_mut(server) else { return false };
        if server.has_fresh_report(now) {
            return false;
        }
        if let Some(running) = server.running_probe.and_then(|probe| self.probes.get_mut(&probe))
            && now.saturating_duration_since(running.started_at) < ROUND_DURATION
        {
            running.calls.extend(call);
            return true;
        }
        if !server.may_probe(now, interval) {
            return false;
        }
        self.last_probe += 1;
        server.probed_until = Some(server.probed_until.map_or(now, |until| until.max(now)) + interval);
        server.running_probe = Some(self.last_probe);
        actions.push(DispatchAction::Probe {
            probe: self.last_probe,
            server: server.view.id.clone(),
            address: server.view.address,
            path,
            limit: PROBE_TIMEOUT,
        });
        let running = RunningProbe {
            service,
            server: server.name_hash,
            known_since: server.known_since,
            started_at: now,
            sent_calls: server.sent_calls,
            calls: call.into_iter().collect(),
        };
        self.probes.insert(self.last_probe, running);
        while let Some(first) = self.probes.first_entry()
            && now.saturating_duration_since(first.get().started_at) >= PROBE_EXPIRY
        {
            first.remove();
        }
        true
    }

    /// Returns the mean interval between this entry's probes of a server, at which all entries together keep
    /// to the probe rate.
    fn probe_interval(&mut self, now: Instant) -> Duration {
        let entries = self.entries.get(now, self.options.retry_window) as u32;
        Duration::from_secs(1) * entries / self.options.probe_rate.max(1)
    }

    /// Processes the end of a probe; one without a report has failed. A report may come with the time for which the
    /// server stays cold.
    pub(super) fn finish_probe(
        &mut self,
        now: Instant,
        probe: u64,
        (report, warm_up): (Option<LoadReport>, Option<Duration>),
        actions: &mut Vec<DispatchAction>,
    ) {
        let Some(running) = self.probes.remove(&probe) else { return };
        let position = self.position(now);
        if let Some(state) = self.services.get_mut(&running.service) {
            state.servers.record_health(now, &running, report.map(|_| warm_up), position);
            state.record_probe(now, &running, probe, report);
        }
        self.check_path(now, running.service, actions);
        for call in running.calls {
            let Some(active) = self.calls.get_mut(&call) else { continue };
            if let Stage::Probing { candidates, pending_probes, .. } = &mut active.stage
                && candidates.contains(&running.server)
            {
                *pending_probes = pending_probes.saturating_sub(1);
                self.finish_round(now, call, false, actions);
            }
        }
        self.dispatch_waiting(now, running.service, actions);
    }

    /// Makes the choice for a call if waiting for more answers is not worthwhile, or starts another round.
    pub(super) fn finish_round(
        &mut self,
        now: Instant,
        call: CallId,
        is_expired: bool,
        actions: &mut Vec<DispatchAction>,
    ) {
        let Some(active) = self.calls.get(&call) else { return };
        let Stage::Probing { candidates, pending_probes, rounds, .. } = &active.stage else { return };
        let Some(state) = self.services.get(&active.service) else { return };
        let min_loss = Cost::minimum_loss(now, active, &state.baseline);
        let best_loss = state.cheapest_of(now, active, candidates).map_or(f64::INFINITY, |(_, cost)| cost.loss);
        let is_good = best_loss <= min_loss + GOOD_MARGIN;
        if *pending_probes > 0 && !is_good && !is_expired {
            return;
        }
        let (candidates, rounds) = (candidates.clone(), *rounds);
        let Some(active) = self.calls.remove(&call) else { return };
        if best_loss > min_loss + POOR_MARGIN && rounds < MAX_ROUNDS {
            self.start_round(now, active, candidates, rounds, actions);
        } else {
            self.choose_server(now, active, &candidates, actions);
        }
    }
}

impl Server {
    /// Returns whether the server has recently reported its load. For a server whose probes fail this is
    /// false, since waiting would not help.
    fn has_recent_report(&self, now: Instant) -> bool {
        self.failed_probes == 0 && self.load_sample.is_some_and(|sample| sample.age(now) < RECENT_REPORT_AGE)
    }

    fn has_fresh_report(&self, now: Instant) -> bool {
        self.load_sample.is_some_and(|sample| sample.age(now) < FRESH_REPORT_AGE)
    }

    /// Returns whether the load of the server is known or can be probed now.
    fn is_load_available(&self, now: Instant, interval: Duration) -> bool {
        self.has_fresh_report(now) || self.running_probe.is_some() || self.may_probe(now, interval)
    }

    /// Returns whether the probe interval allows another probe.
    fn may_probe(&self, now: Instant, interval: Duration) -> bool {
        self.probed_until.is_none_or(|until| now + interval * (PROBE_BURST - 1) >= until)
    }
}

impl ServiceState {
    fn record_probe(&mut self, now: Instant, running: &RunningProbe, probe: u64, report: Option<LoadReport>) {
        let Some(server) = self.servers.get_unchanged(running.server, running.known_since) else { return };
        if server.running_probe == Some(probe) {
            server.running_probe = None;
        }
        server.last_probe_end = Some(now);
        let is_late = now.saturating_duration_since(running.started_at) > ROUND_DURATION;
        match report {
            Some(_) => self.path.record_answer(),
            None => self.path.record_silence(running.server),
        }
        match report {
            Some(report) => {
                let own_calls = server.record_probe(now, report, running.sent_calls);
                self.baseline.record_report(report, own_calls);
            }
            None => server.ejection.postpone_trial(now),
        }
        if report.is_none() || is_late {
            server.failed_probes += 1;
        }
    }

    /// Returns the server with the lowest expected cost among the given ones that may get the call now.
    pub(super) fn cheapest_of(
        &self,
        now: Instant,
        active: &ActiveCall,
        among: &[NameHash],
    ) -> Option<(NameHash, Cost)> {
        let servers = among.iter().filter_map(|server| self.servers.get(*server));
        self.cheapest(now, active, servers)
    }

    /// Returns the server with the lowest expected cost that may get the call now. A call that can still meet
    /// its objective waits rather than going to a server at which it would probably miss it.
    pub(super) fn cheapest<'a>(
        &self,
        now: Instant,
        active: &ActiveCall,
        servers: impl Iterator<Item = &'a Server>,
    ) -> Option<(NameHash, Cost)> {
        let max_delay = match active.missed_objective {
            true => f64::INFINITY,
            false => Cost::minimum_loss(now, active, &self.baseline) + UNACCEPTABLE_MARGIN,
        };
        servers
            .filter(|server| !active.tried.contains(&server.name_hash))
            .filter(|server| server.is_usable(now) && server.has_room_for(now, active, &self.baseline))
            .map(|server| (server, Cost::estimate(now, active, server, &self.baseline)))
            .filter(|(server, cost)| cost.delay <= max_delay || !server.has_recent_report(now))
            .map(|(server, cost)| (server.name_hash, cost))
            .min_by(|a, b| a.1.loss.total_cmp(&b.1.loss))
    }
}
