//! The choice among the probed servers.

use {
    super::{ActiveCall, Balancer, Cost, Server, ServiceState},
    crate::{dispatch::DispatchAction, outcome::NotRunReason, slots::NameHash},
    std::time::{Duration, Instant},
};

/// A server that needs a first call or a trial must be expected to answer within this share of the time left.
const MAX_TRIAL_TIME_SHARE: f64 = 0.9;
/// Time overdue after which a server gets its first call or trial regardless of the expected time.
const TRIAL_OVERDUE_AFTER: Duration = Duration::from_millis(800);
/// Time after the end of an ejection in which only a call that can be retried is used for the trial.
const SAFE_TRIAL_WAIT: Duration = Duration::from_secs(2);

impl Balancer {
    /// Sends a call to the best of the candidates, or of a sample of all servers if no candidate has room. If
    /// no server has room the call waits.
    pub(super) fn choose_server(
        &mut self,
        now: Instant,
        active: ActiveCall,
        candidates: &[NameHash],
        actions: &mut Vec<DispatchAction>,
    ) {
        let Some(state) = self.services.get(&active.service) else {
            return self.reject(now, &active, NotRunReason::NoServer, actions);
        };
        if !state.has_untried_server(now, &active) {
            return self.reject(now, &active, active.rejection_reason, actions);
        }
        if state.queue.has_call_before(&active) {
            return self.enqueue(now, active, actions);
        }
        match self.find_server(now, &active, candidates) {
            Some((server, work_factor)) => self.send(now, active, server, work_factor, actions),
            None => self.enqueue(now, active, actions),
        }
    }

    /// Returns the server for a call and its expected work factor, if one has room.
    pub(super) fn find_server(
        &mut self,
        now: Instant,
        active: &ActiveCall,
        candidates: &[NameHash],
    ) -> Option<(NameHash, f64)> {
        let state = self.services.get(&active.service)?;
        let chosen =
            state.trial_candidate(now, active, candidates).or_else(|| state.cheapest_of(now, active, candidates));
        let chosen = chosen.or_else(|| state.cheapest(now, active, state.servers.sample(&mut self.rng)));
        chosen.map(|(server, cost)| (server, cost.work_factor))
    }
}

impl ServiceState {
    /// Returns whether there is a server to which the call has not been sent.
    pub(super) fn has_untried_server(&self, now: Instant, active: &ActiveCall) -> bool {
        self.servers.iter().any(|server| server.is_available(now) && !active.tried.contains(&server.name_hash))
    }

    /// Returns a candidate that needs a first call or a trial, if it may get this call.
    fn trial_candidate(&self, now: Instant, active: &ActiveCall, candidates: &[NameHash]) -> Option<(NameHash, Cost)> {
        let servers = candidates.iter().filter_map(|server| self.servers.get(*server));
        servers
            .filter(|server| !active.tried.contains(&server.name_hash))
            .filter(|server| server.accepts_trial(now, active) && server.has_room_for(now, active, &self.baseline))
            .map(|server| (server, Cost::estimate(now, active, server, &self.baseline)))
            .find(|(server, cost)| {
                cost.seconds <= MAX_TRIAL_TIME_SHARE * active.time_to_objective(now).as_secs_f64()
                    || server.is_trial_overdue(now)
            })
            .map(|(server, cost)| (server.name_hash, cost))
    }
}

impl Server {
    /// Returns whether the server needs a first call or a trial and the call is suitable. As a trial may
    /// fail, calls that can be retried are preferred for some time.
    pub(super) fn accepts_trial(&self, now: Instant, active: &ActiveCall) -> bool {
        let is_suitable = match self.ejection.until() {
            Some(until) => active.can_be_retried() || now >= until + SAFE_TRIAL_WAIT,
            None => true,
        };
        self.needs_trial(now) && is_suitable
    }

    fn is_trial_overdue(&self, now: Instant) -> bool {
        let due = self.ejection.until().or(self.introduction_due);
        due.is_some_and(|due| now >= due + TRIAL_OVERDUE_AFTER)
    }
}
