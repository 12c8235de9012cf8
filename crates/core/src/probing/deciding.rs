//! The choice among the servers that were asked.

use {
    super::{ActiveCall, Balancer, Cost, Server, ServiceState},
    crate::{dispatch::DispatchAction, outcome::NotRunReason, slots::NameHash},
    std::time::{Duration, Instant},
};

/// Part of the time left within which a server that is due must be expected to answer.
const DUE_PART: f64 = 0.9;
/// Time after which a server that is due gets a call whatever is expected of it.
const OVERDUE: Duration = Duration::from_millis(800);
/// Time after the end of an ejection in which a call that another server could take over is waited for.
const FIT_WAIT: Duration = Duration::from_secs(2);

impl Balancer {
    /// Sends a call to the best of the candidates, or of the others if none of them has room; without any the
    /// call waits.
    pub(super) fn decide(
        &mut self,
        now: Instant,
        active: ActiveCall,
        candidates: &[NameHash],
        actions: &mut Vec<DispatchAction>,
    ) {
        let Some(state) = self.services.get(&active.service) else {
            return self.give_up(now, &active, NotRunReason::NoServer, actions);
        };
        if !state.has_other(now, &active) {
            return self.give_up(now, &active, active.refusal, actions);
        }
        if state.queue.outranks(&active) {
            return self.enqueue(now, active, actions);
        }
        match self.place(now, &active, candidates) {
            Some((server, factor)) => self.send(now, active, server, factor, actions),
            None => self.enqueue(now, active, actions),
        }
    }

    /// Returns the server for a call and the expected factor on its work, if one has room.
    pub(super) fn place(
        &mut self,
        now: Instant,
        active: &ActiveCall,
        candidates: &[NameHash],
    ) -> Option<(NameHash, f64)> {
        let state = self.services.get(&active.service)?;
        let chosen = state.due(now, active, candidates).or_else(|| state.best(now, active, candidates));
        let chosen = chosen.or_else(|| state.least(now, active, state.servers.sample(&mut self.rng)));
        chosen.map(|(server, cost)| (server, cost.factor))
    }
}

impl ServiceState {
    /// Returns whether a server is left to which the call was not sent.
    pub(super) fn has_other(&self, now: Instant, active: &ActiveCall) -> bool {
        self.servers.iter().any(|server| server.is_announced(now) && !active.tried.contains(&server.key))
    }

    /// Returns a candidate that is new or on trial, if it may get the call.
    fn due(&self, now: Instant, active: &ActiveCall, candidates: &[NameHash]) -> Option<(NameHash, Cost)> {
        let servers = candidates.iter().filter_map(|server| self.servers.get(*server));
        servers
            .filter(|server| !active.tried.contains(&server.key))
            .filter(|server| server.may_try(now, active) && server.has_room(now, &self.usual))
            .map(|server| (server, Cost::of(now, active, server, &self.usual)))
            .find(|(server, cost)| {
                cost.seconds <= DUE_PART * active.objective_left(now).as_secs_f64() || server.is_overdue(now)
            })
            .map(|(server, cost)| (server.key, cost))
    }
}

impl Server {
    /// Returns whether the server is due and the call fits: a trial may fail, so that a call which another
    /// server can take over is preferred for some time.
    pub(super) fn may_try(&self, now: Instant, active: &ActiveCall) -> bool {
        let is_fit = match self.ejection.until() {
            Some(until) => active.may_fail() || now >= until + FIT_WAIT,
            None => true,
        };
        self.is_due(now) && is_fit
    }

    fn is_overdue(&self, now: Instant) -> bool {
        let due = self.ejection.until().or(self.due);
        due.is_some_and(|due| now >= due + OVERDUE)
    }
}
