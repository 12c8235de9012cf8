//! Rounds of probes before a choice.

use {
    super::{ActiveCall, Balancer, Cost, RunningProbe, Server, ServiceState, Stage, balancer::Wake},
    crate::{
        config::Service,
        dispatch::{DispatchAction, LoadReport},
        ids::CallId,
        slots::NameHash,
    },
    rand::RngExt,
    std::time::{Duration, Instant},
};

/// Servers that are compared in each round. A probe costs a thousandth of a call, and a quarter of the
/// servers are slow: without anything known, four probes find none that is not for one call in 256, where
/// three would for one in 64, and most of a late call's worth is lost.
const CANDIDATES: usize = 4;
/// Rounds of probes for one choice.
const MAX_ROUNDS: u32 = 2;
/// A choice is made at the latest this long after its round was begun; probes take 1 to 6 ms.
const ROUND: Duration = Duration::from_millis(12);
/// Probes of one server by one entry that may follow each other without the time between them. In a fleet of 36 entries
/// this time is 0.6 s, within which an entry has more than one call for the few servers of a small service.
const PROBE_BURST: u32 = 3;
/// Longest time of a probe; what comes later than a round still tells the next call something.
const PROBE_LIMIT: Duration = Duration::from_millis(50);
/// A probe whose end was not reported in this time is forgotten.
const PROBE_LOST: Duration = Duration::from_secs(1);
/// Age of a report up to which it is used in place of a probe. Within 5 ms a server turns slow with a chance
/// of 0.4%, by which a call loses up to four times the cost of a probe; a probe takes about as long.
const FRESH: Duration = Duration::from_millis(5);
/// Random part of the estimate, so that entries that know the same do not all choose the same servers.
const NOISE: f64 = 0.1;
/// Added to the estimate of a server that cannot be asked now, because this entry has probed it a moment ago.
/// It is about a quarter of the loss at a slow server, which is what an old report may hide.
const UNASKED: f64 = 0.3;
/// A loss that is above the least possible one by no more than this is not worth another probe or more time.
const GOOD_ENOUGH: f64 = 0.01;
/// A loss that is above the least possible one by more than this is worth another round: three probes at a
/// thousandth each, which find something better in most cases.
const POOR: f64 = 0.05;
/// A loss for time that is above the least possible one by more than this is worth waiting for another server: most
/// answers would be late, whereas the pace of servers is drawn anew within 300 ms and slots become free all the time.
const TOO_POOR: f64 = 0.8;
/// Age up to which a report is a reason to wait; the pace is drawn anew in this time.
const TOLD: Duration = Duration::from_millis(300);

impl Balancer {
    /// Begins a round of probes for a call, or makes the choice if nothing has to be asked.
    pub(super) fn begin_round(
        &mut self,
        now: Instant,
        mut active: ActiveCall,
        mut candidates: Vec<NameHash>,
        rounds: u32,
        actions: &mut Vec<DispatchAction>,
    ) {
        let added = self.select(now, &active, &candidates);
        let mut awaited = 0;
        for server in added {
            candidates.push(server);
            awaited += usize::from(self.ask(now, active.service, server, Some(active.call.id), actions));
        }
        if awaited == 0 {
            return self.decide(now, active, &candidates, actions);
        }
        let until = now + ROUND;
        let call = active.call.id;
        active.stage = Stage::Probing { candidates, awaited, rounds: rounds + 1, until };
        self.calls.insert(call, active);
        self.wake_at(until, Wake::Call(call));
    }

    /// Returns the most promising servers for a call, apart from those that are candidates already.
    fn select(&mut self, now: Instant, active: &ActiveCall, known: &[NameHash]) -> Vec<NameHash> {
        let interval = self.probe_interval(now);
        let Some(state) = self.services.get(&active.service) else { return Vec::new() };
        let sampled: Vec<_> = state.servers.sample(&mut self.rng).collect();
        let open = |server: &&Server| !active.tried.contains(&server.key) && !known.contains(&server.key);
        let due = sampled.iter().copied().filter(open).filter(|server| server.may_try(now, active));
        // The order of names is the same at every entry, and they must not meet at one server.
        let due = due.min_by_key(|server| server.due);
        let mut scored: Vec<_> = sampled
            .iter()
            .copied()
            .filter(open)
            .filter(|server| server.is_usable(now))
            // An old report that a server is full is no reason not to ask it again.
            .filter(|server| !server.is_fresh(now) || server.has_room(now, &state.usual))
            .map(|server| {
                let loss = Cost::of(now, active, server, &state.usual).loss;
                let unasked = if server.can_tell(now, interval) { 0.0 } else { UNASKED };
                (loss + unasked + self.rng.random_range(0.0..NOISE), server.key)
            })
            .collect();
        scored.sort_unstable_by(|a, b| a.0.total_cmp(&b.0));
        let mut chosen: Vec<_> = due.map(|server| server.key).into_iter().collect();
        for (_, server) in scored {
            if chosen.len() < CANDIDATES && !chosen.contains(&server) {
                chosen.push(server);
            }
        }
        chosen
    }

    /// Asks a server for its load if that is worth it; returns whether an answer is awaited.
    pub(super) fn ask(
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
        if server.is_fresh(now) {
            return false;
        }
        if let Some(running) = server.probe.and_then(|probe| self.probes.get_mut(&probe))
            && now.saturating_duration_since(running.begun) < ROUND
        {
            running.calls.extend(call);
            return true;
        }
        if !server.may_probe(now, interval) {
            return false;
        }
        self.last_probe += 1;
        server.probed_until = Some(server.probed_until.map_or(now, |until| until.max(now)) + interval);
        server.probe = Some(self.last_probe);
        actions.push(DispatchAction::Probe {
            probe: self.last_probe,
            server: server.view.id.clone(),
            address: server.view.address,
            path,
            limit: PROBE_LIMIT,
        });
        let running = RunningProbe {
            service,
            server: server.key,
            since: server.since,
            begun: now,
            sent: server.sent,
            calls: call.into_iter().collect(),
        };
        self.probes.insert(self.last_probe, running);
        while let Some(first) = self.probes.first_entry()
            && now.saturating_duration_since(first.get().begun) >= PROBE_LOST
        {
            first.remove();
        }
        true
    }

    /// Mean time between two probes of a server by this entry, at which all entries together keep to the rate.
    fn probe_interval(&mut self, now: Instant) -> Duration {
        let entries = self.entries.get(now, self.options.window) as u32;
        Duration::from_secs(1) * entries / self.options.probe_rate.max(1)
    }

    /// Takes the end of a probe; without a report it failed.
    pub(super) fn finish_probe(
        &mut self,
        now: Instant,
        probe: u64,
        report: Option<LoadReport>,
        actions: &mut Vec<DispatchAction>,
    ) {
        let Some(running) = self.probes.remove(&probe) else { return };
        if let Some(state) = self.services.get_mut(&running.service) {
            state.take_probe(now, &running, probe, report);
        }
        for call in running.calls {
            let Some(active) = self.calls.get_mut(&call) else { continue };
            if let Stage::Probing { candidates, awaited, .. } = &mut active.stage
                && candidates.contains(&running.server)
            {
                *awaited = awaited.saturating_sub(1);
                self.end_round(now, call, false, actions);
            }
        }
        self.pump(now, running.service, actions);
    }

    /// Makes the choice of a call if no more answers are worth waiting for, or begins another round.
    pub(super) fn end_round(
        &mut self,
        now: Instant,
        call: CallId,
        is_expired: bool,
        actions: &mut Vec<DispatchAction>,
    ) {
        let Some(active) = self.calls.get(&call) else { return };
        let Stage::Probing { candidates, awaited, rounds, .. } = &active.stage else { return };
        let Some(state) = self.services.get(&active.service) else { return };
        let least = Cost::least_loss(now, active, &state.usual);
        let best = state.best(now, active, candidates).map_or(f64::INFINITY, |(_, cost)| cost.loss);
        let is_good = best <= least + GOOD_ENOUGH;
        if *awaited > 0 && !is_good && !is_expired {
            return;
        }
        let (candidates, rounds) = (candidates.clone(), *rounds);
        let Some(active) = self.calls.remove(&call) else { return };
        if best > least + POOR && rounds < MAX_ROUNDS {
            self.begin_round(now, active, candidates, rounds, actions);
        } else {
            self.decide(now, active, &candidates, actions);
        }
    }
}

impl Server {
    /// Returns whether the server itself said lately how it does. Nothing is known of one whose probes fail, and
    /// waiting would not change that.
    fn is_told(&self, now: Instant) -> bool {
        self.silent == 0 && self.report.is_some_and(|report| report.age(now) < TOLD)
    }

    fn is_fresh(&self, now: Instant) -> bool {
        self.report.is_some_and(|report| report.age(now) < FRESH)
    }

    /// Returns whether the load of the server is known or can be asked for now.
    fn can_tell(&self, now: Instant, interval: Duration) -> bool {
        self.is_fresh(now) || self.probe.is_some() || self.may_probe(now, interval)
    }

    /// Returns whether the mean time between probes allows another one.
    fn may_probe(&self, now: Instant, interval: Duration) -> bool {
        self.probed_until.is_none_or(|until| now + interval * (PROBE_BURST - 1) >= until)
    }
}

impl ServiceState {
    fn take_probe(&mut self, now: Instant, running: &RunningProbe, probe: u64, report: Option<LoadReport>) {
        let Some(server) = self.servers.get_since(running.server, running.since) else { return };
        if server.probe == Some(probe) {
            server.probe = None;
        }
        let is_late = now.saturating_duration_since(running.begun) > ROUND;
        match report {
            Some(report) => {
                let seen = server.take_probe(now, report, running.sent);
                self.usual.take_report(report, seen);
            }
            None => server.ejection.put_off(now),
        }
        if report.is_none() || is_late {
            server.silent += 1;
        }
    }

    /// Returns the server among these that is expected to cost least and may get the call now.
    pub(super) fn best(&self, now: Instant, active: &ActiveCall, among: &[NameHash]) -> Option<(NameHash, Cost)> {
        let servers = among.iter().filter_map(|server| self.servers.get(*server));
        self.least(now, active, servers)
    }

    /// Returns the server that is expected to cost least and may get the call now. A call that can still make its
    /// objective rather waits than goes to a server where it most likely would not.
    pub(super) fn least<'a>(
        &self,
        now: Instant,
        active: &ActiveCall,
        servers: impl Iterator<Item = &'a Server>,
    ) -> Option<(NameHash, Cost)> {
        let most = match active.is_lapsed {
            true => f64::INFINITY,
            false => Cost::least_loss(now, active, &self.usual) + TOO_POOR,
        };
        servers
            .filter(|server| !active.tried.contains(&server.key))
            .filter(|server| server.is_usable(now) && server.has_room(now, &self.usual))
            .map(|server| (server, Cost::of(now, active, server, &self.usual)))
            .filter(|(server, cost)| cost.delay <= most || !server.is_told(now))
            .map(|(server, cost)| (server.key, cost))
            .min_by(|a, b| a.1.loss.total_cmp(&b.1.loss))
    }
}
