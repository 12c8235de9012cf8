//! Second copies of running calls.

use {
    super::{
        ActiveCall, Balancer, Cost, HedgeCase, HedgeCounts, HedgeRefusal, HedgeTimer, Hedging, RunningAttempt, Server,
        Stage, balancer::Timer,
    },
    crate::{
        dispatch::DispatchAction,
        ids::CallId,
        slots::{NameHash, name_hash},
    },
    std::time::{Duration, Instant},
};

/// Time before the decision at which servers are probed for it. Probes take 1 to 6 ms.
const PROBE_LEAD: Duration = Duration::from_millis(12);
/// Servers that are probed for a copy.
const PROBED_SERVERS: usize = 2;
/// Failure rate from which a server is under suspicion. A single failure counts for some seconds.
const MAX_FAILURE_RATE: f64 = 0.1;

impl Balancer {
    /// Returns the counts of second copies.
    pub fn hedge_counts(&self) -> &HedgeCounts {
        &self.hedge_counts
    }

    /// Sets the timer for a second copy of a call that may be repeated, once its worker can run one.
    pub(super) fn schedule_copy(&mut self, now: Instant, call: CallId) {
        let Some(active) = self.calls.get_mut(&call) else { return };
        let Stage::Running { first, copy: None, hedge } = &mut active.stage else { return };
        let hedging = self.services.get(&active.service).and_then(|state| state.hedging.as_ref());
        let may_repeat = active.call.idempotent && active.call.replayable && !active.call.upload;
        // The entry that passed a call on counts its requests.
        if !may_repeat || active.call.relayed {
            return;
        }
        let objective = active.call.options.objective;
        let Some(delay) = hedging.and_then(|hedging| hedging.delay(objective, first.work_factor)) else { return };
        let at = first.sent_at + delay;
        if at >= active.call.deadline {
            return;
        }
        let timer = HedgeTimer::Probe(at.checked_sub(PROBE_LEAD).unwrap_or(now).max(now));
        *hedge = Some(timer);
        self.set_timer(timer.at(), Timer::Call(call));
    }

    /// Probes servers for a second copy, or decides on it.
    pub(super) fn on_hedge_timer(&mut self, now: Instant, call: CallId, actions: &mut Vec<DispatchAction>) {
        let Some(active) = self.calls.get(&call) else { return };
        let Stage::Running { copy: None, hedge: Some(timer), .. } = active.stage else { return };
        match timer {
            HedgeTimer::Probe(_) => self.probe_for_copy(now, call, actions),
            HedgeTimer::Decide(_) => self.decide_copy(now, call, actions),
        }
    }

    fn probe_for_copy(&mut self, now: Instant, call: CallId, actions: &mut Vec<DispatchAction>) {
        let Some(active) = self.calls.get(&call) else { return };
        let service = active.service;
        if let Err(refusal) = self.check_copy(now, active, Some(Duration::ZERO)) {
            return self.refuse_copy(call, refusal);
        }
        if !self.may_spend_copy(now, service) {
            return self.refuse_copy(call, HedgeRefusal::Share);
        }
        let Some(state) = self.services.get(&service) else { return };
        let Some(active) = self.calls.get(&call) else { return };
        let mut scored: Vec<_> = state
            .servers
            .sample(&mut self.rng)
            .filter(|server| server.accepts_copy(now, active))
            .map(|server| (Cost::estimate(now, active, server, &state.baseline).loss, server.name_hash))
            .collect();
        scored.sort_unstable_by(|a, b| a.0.total_cmp(&b.0));
        self.set_hedge_timer(call, Some(HedgeTimer::Decide(now + PROBE_LEAD)));
        for (_, server) in scored.into_iter().take(PROBED_SERVERS) {
            self.probe_server(now, service, server, None, actions);
        }
    }

    /// Sends a second copy if that helps and is allowed.
    fn decide_copy(&mut self, now: Instant, call: CallId, actions: &mut Vec<DispatchAction>) {
        let Some(active) = self.calls.get(&call) else { return };
        let service = active.service;
        let Some(state) = self.services.get(&service) else { return };
        let best = state
            .servers
            .sample(&mut self.rng)
            .filter(|server| server.accepts_copy(now, active) && server.has_room(now, &state.baseline))
            .map(|server| (Cost::estimate(now, active, server, &state.baseline), server.name_hash))
            .min_by(|a, b| a.0.loss.total_cmp(&b.0.loss));
        let expected = best.and_then(|(cost, _)| Duration::try_from_secs_f64(cost.seconds).ok());
        if let Err(refusal) = self.check_copy(now, active, expected) {
            return self.refuse_copy(call, refusal);
        }
        let Some((cost, server)) = best else { return };
        let customer = name_hash(&active.call.customer);
        let entries = self.entries.get(now, self.options.retry_window);
        if !self.may_spend_copy(now, service) {
            return self.refuse_copy(call, HedgeRefusal::Share);
        }
        if !self.spend_credit_for_copy(now, customer) {
            return self.refuse_copy(call, HedgeRefusal::Quota);
        }
        let Some(state) = self.services.get_mut(&service) else { return };
        let Some(hedging) = &mut state.hedging else { return };
        if let Err(refusal) = hedging.try_spend(now, &mut state.retry_budget, entries) {
            return self.refuse_copy(call, refusal);
        }
        let Some(chosen) = state.servers.get_mut(server) else { return };
        chosen.start_call(now);
        let attempt = RunningAttempt {
            server,
            since: chosen.known_since,
            work_factor: cost.work_factor,
            sent_at: now,
            is_copy: true,
        };
        actions.push(DispatchAction::Hedge { call, server: chosen.view.id.clone(), address: chosen.view.address });
        self.hedge_counts.sent += 1;
        let Some(active) = self.calls.get_mut(&call) else { return };
        active.tried.push(server);
        if let Stage::Running { copy, hedge, .. } = &mut active.stage {
            (*copy, *hedge) = (Some(attempt), None);
        }
    }

    fn check_copy(&self, now: Instant, active: &ActiveCall, expected: Option<Duration>) -> Result<(), HedgeRefusal> {
        let Some(state) = self.services.get(&active.service) else { return Err(HedgeRefusal::NoServer) };
        Hedging::check(&HedgeCase {
            has_queue: state.queue.len() > 0,
            load: state.baseline.load,
            has_attempts: active.tried.len() < active.call.options.attempts as usize,
            is_suspected: self.is_suspected(now, active),
            is_path_open: !state.path.is_lost(),
            expected,
            left: active.call.deadline.saturating_duration_since(now),
        })
    }

    fn may_spend_copy(&mut self, now: Instant, service: NameHash) -> bool {
        let hedging = self.services.get_mut(&service).and_then(|state| state.hedging.as_mut());
        hedging.is_some_and(|hedging| hedging.may_spend(now))
    }

    fn refuse_copy(&mut self, call: CallId, refusal: HedgeRefusal) {
        *self.hedge_counts.refused.entry(refusal).or_default() += 1;
        self.set_hedge_timer(call, None);
    }

    fn set_hedge_timer(&mut self, call: CallId, timer: Option<HedgeTimer>) {
        let Some(active) = self.calls.get_mut(&call) else { return };
        if let Stage::Running { hedge, .. } = &mut active.stage {
            *hedge = timer;
        }
        if let Some(timer) = timer {
            self.set_timer(timer.at(), Timer::Call(call));
        }
    }
}

impl Server {
    /// Returns whether the server may get a second copy of a call: it is warm, not ejected and not under suspicion.
    fn accepts_copy(&self, now: Instant, active: &ActiveCall) -> bool {
        !active.tried.contains(&self.name_hash)
            && self.is_usable(now)
            && !self.is_cold(now)
            && self.limit.is_none()
            && self.introduction_due.is_none()
            && self.failed_probes == 0
            && self.failure_rate(now) < MAX_FAILURE_RATE
    }
}
