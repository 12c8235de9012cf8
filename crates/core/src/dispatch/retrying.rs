//! The end of attempts, and retries of failed ones.

use {
    super::{ActiveCall, AttemptResult, DispatchAction, Dispatcher, FinishedAttempt},
    crate::{
        config::BalancingPolicy,
        ids::CallId,
        outcome::{NotRunReason, UnknownReason},
        retry::may_use_token,
        slots::name_hash,
    },
    std::time::Instant,
};

impl Dispatcher {
    /// Processes the end of an attempt. An unknown attempt has ended before and is ignored.
    pub(super) fn finish(&mut self, now: Instant, finish: &FinishedAttempt, actions: &mut Vec<DispatchAction>) {
        let server = name_hash(&finish.server);
        if self.calls.get(&finish.call).is_none_or(|active| active.server != Some(server)) {
            return;
        }
        let Some(mut active) = self.calls.remove(&finish.call) else { return };
        let service = active.service;
        active.server = None;
        let report_requested = std::mem::take(&mut active.report_requested);
        if report_requested {
            self.measurement.finish_report(now);
        }
        let report = finish.report.filter(|_| report_requested);
        if let Some(state) = self.services.get_mut(&service) {
            state.servers.update_load(server, false, &mut self.rng);
            state.end_call(&active.call.customer, active.call.upload);
            state.health.observe(now, &finish.server, finish.result, finish.latency, report);
            if finish.result != AttemptResult::CallerLeft && state.servers.view(server).is_some() {
                self.measurement.record_answer(now, server);
            }
            if finish.result == AttemptResult::Complete {
                state.latency_estimate.observe(active.call.upload, finish.latency);
            }
            if state.update_ejected(now, server) {
                self.update_open_servers(now, service);
            }
        }
        self.slots.end_call(now, service, server);
        let is_final = matches!(finish.result, AttemptResult::Complete | AttemptResult::CallerLeft);
        if finish.wants_decision && !is_final {
            self.retry_or_reject(now, active, server, finish.result, actions);
        }
        self.dispatch_waiting(now, service, actions);
    }

    /// Cancels a call in whatever state it is.
    pub(super) fn cancel(&mut self, now: Instant, call: CallId, actions: &mut Vec<DispatchAction>) {
        let Some(active) = self.calls.get(&call) else { return };
        let service = active.service;
        let running = active.server.and_then(|server| {
            let view = self.services.get(&service)?.servers.view(server);
            Some((server, view.map(|view| view.id.clone())))
        });
        match running {
            // The caller disconnected while the decision was being delivered.
            Some((server, id)) => {
                let Some(active) = self.calls.remove(&call) else { return };
                if active.report_requested {
                    self.measurement.finish_report(now);
                }
                if let Some(state) = self.services.get_mut(&service) {
                    state.servers.update_load(server, false, &mut self.rng);
                    state.end_call(&active.call.customer, active.call.upload);
                    if let Some(id) = id {
                        let result = AttemptResult::CallerLeft;
                        state.health.observe(now, &id, result, std::time::Duration::ZERO, None);
                    }
                }
                self.slots.end_call(now, service, server);
                self.dispatch_waiting(now, service, actions);
            }
            None => {
                self.remove_call(call);
                self.update_backlog(now, service);
            }
        }
    }

    /// Sends a call whose attempt failed to another server, or rejects it.
    fn retry_or_reject(
        &mut self,
        now: Instant,
        mut active: ActiveCall,
        server: u64,
        result: AttemptResult,
        actions: &mut Vec<DispatchAction>,
    ) {
        active.tried.push(server);
        let reason = match result {
            AttemptResult::Shed => NotRunReason::Overload,
            _ => NotRunReason::Refused,
        };
        match result {
            AttemptResult::Shed | AttemptResult::RefusedBeforeWrite | AttemptResult::Misdirected => {}
            AttemptResult::Timeout => active.unknown_reason = Some(UnknownReason::Timeout),
            AttemptResult::BadAnswer => active.unknown_reason = Some(UnknownReason::BadAnswer),
            _ => active.unknown_reason = Some(UnknownReason::ConnectionLost),
        }
        if !self.may_retry(now, &active, result) || !self.spend_token(now, &mut active, result) {
            return self.reject(now, &active, reason, actions);
        }
        let policy =
            self.config.services.get(&active.call.service).map_or(BalancingPolicy::Permits, |service| service.policy);
        let is_paused = self.services.get(&active.service).is_some_and(|state| state.servers.pause_end(now).is_some());
        match self.choose(now, &active, policy) {
            Some(server) => self.send(now, active, server, actions),
            None if policy == BalancingPolicy::Permits && !is_paused => self.queue_retry(now, active),
            None => self.reject(now, &active, reason, actions),
        }
    }

    /// Returns whether a failed call may be sent again, apart from its retry token.
    fn may_retry(&self, now: Instant, active: &ActiveCall, result: AttemptResult) -> bool {
        let call = &active.call;
        let is_safe = match result {
            // Nothing was written, so the request is still complete. The proxy checks whether the body of a
            // misdirected request is still available.
            AttemptResult::RefusedBeforeWrite | AttemptResult::Misdirected => true,
            // The body of an upload went to the server that rejected it.
            AttemptResult::Shed => call.replayable || !call.upload,
            _ => call.idempotent && call.replayable,
        };
        let Some(state) = self.services.get(&active.service) else { return false };
        let has_time = now + state.latency_estimate.upper_bound(call.upload) <= call.deadline;
        let has_other = state.servers.ready().iter().any(|server| !active.tried.contains(server));
        is_safe && has_time && has_other
    }

    /// Uses the call's own retry token, or one from the budget if this is the first entry of the chain.
    fn spend_token(&mut self, now: Instant, active: &mut ActiveCall, result: AttemptResult) -> bool {
        if std::mem::take(&mut active.has_retry_token) {
            return may_use_token(result, active.token_forwarded);
        }
        let is_first_entry = active.call.depth == 0;
        is_first_entry && self.services.get_mut(&active.service).is_some_and(|state| state.retry_budget.try_spend(now))
    }

    fn queue_retry(&mut self, now: Instant, active: ActiveCall) {
        let Some(state) = self.services.get_mut(&active.service) else { return };
        state.retry_queue.push(active.call.id);
        let time_needed = state.latency_estimate.upper_bound(active.call.upload);
        let (deadline, call, service) = (active.call.deadline, active.call.id, active.service);
        self.calls.insert(call, active);
        self.waiting += 1;
        self.backlogged.insert(service);
        self.schedule_expiry(now, deadline, time_needed, call);
    }
}
