//! The end of attempts, and retries of failed ones.

use {
    super::{ActiveCall, Balancer, RunningAttempt, ServiceState, Stage},
    crate::{
        dispatch::{AttemptResult, DispatchAction, FinishedAttempt},
        ids::CallId,
        outcome::{NotRunReason, UnknownReason},
        slots::{NameHash, name_hash},
    },
    std::time::Instant,
};

impl Balancer {
    /// Processes the end of an attempt. An unknown attempt has ended before and is ignored.
    pub(super) fn finish(&mut self, now: Instant, finish: &FinishedAttempt, actions: &mut Vec<DispatchAction>) {
        let server = name_hash(&finish.server);
        let Some(active) = self.calls.get(&finish.call) else { return };
        if let Stage::Relayed { entry } = active.stage {
            if entry == server
                && let Some(active) = self.calls.remove(&finish.call)
            {
                self.finish_relay(now, active, entry, finish, actions);
            }
            return;
        }
        let Stage::Running { first, copy, .. } = active.stage else { return };
        let (attempt, mut other) = match copy {
            _ if first.server == server => (first, copy),
            Some(copy) if copy.server == server => (copy, Some(first)),
            _ => return,
        };
        let Some(mut active) = self.calls.remove(&finish.call) else { return };
        let service = active.service;
        if finish.wants_decision
            && let Some(other) = other.take()
        {
            self.end_attempt(now, service, other);
        }
        if attempt.is_copy && finish.result == AttemptResult::Complete {
            self.hedge_counts.won += 1;
        }
        let position = self.position(now);
        if let Some(state) = self.services.get_mut(&service) {
            state.observe(now, &active, attempt, finish);
            if finish.result == AttemptResult::RefusedBeforeWrite {
                state.servers.assume_cold(now, server, attempt.since, position);
            }
        }
        self.observe_suspect(now, &active, finish.result, actions);
        let is_final =
            matches!(finish.result, AttemptResult::Complete | AttemptResult::CallerLeft | AttemptResult::Superseded);
        if let Some(first) = other {
            // The worker decides what the end of one copy means for the call.
            active.stage = Stage::Running { first, copy: None, hedge: None };
            self.calls.insert(finish.call, active);
        } else if finish.wants_decision && !is_final {
            self.retry_or_reject(now, active, finish.result, actions);
        }
        self.dispatch_waiting(now, service, actions);
    }

    /// Cancels a call in whatever state it is.
    pub(super) fn cancel(&mut self, now: Instant, call: CallId, actions: &mut Vec<DispatchAction>) {
        let Some(active) = self.remove_call(call) else { return };
        self.credit.give_back(now, active.credit);
        // The caller may have disconnected while the decision was being delivered.
        if let Stage::Relayed { entry } = active.stage {
            self.relays.finish(now, entry, active.service, true);
        }
        if let Stage::Running { first, copy, .. } = active.stage {
            std::iter::once(first).chain(copy).for_each(|attempt| self.end_attempt(now, active.service, attempt));
        }
        self.dispatch_waiting(now, active.service, actions);
    }

    /// Gives back the slot of an attempt of which nothing more is learnt.
    fn end_attempt(&mut self, now: Instant, service: NameHash, attempt: RunningAttempt) {
        if let Some(state) = self.services.get_mut(&service)
            && let Some(server) = state.servers.get_unchanged(attempt.server, attempt.since)
        {
            server.end_call(now);
            server.ejection.cancel_trial();
        }
    }

    /// Sends a call whose attempt failed to another server, or rejects it.
    fn retry_or_reject(
        &mut self,
        now: Instant,
        mut active: ActiveCall,
        result: AttemptResult,
        actions: &mut Vec<DispatchAction>,
    ) {
        let did_not_run =
            matches!(result, AttemptResult::Shed | AttemptResult::RefusedBeforeWrite | AttemptResult::Misdirected);
        if did_not_run {
            self.restore_credit(now, &mut active);
        }
        active.rejection_reason = match result {
            AttemptResult::Shed => NotRunReason::Overload,
            _ => NotRunReason::Refused,
        };
        match result {
            AttemptResult::Shed | AttemptResult::RefusedBeforeWrite | AttemptResult::Misdirected => {}
            AttemptResult::Timeout => active.unknown_reason = Some(UnknownReason::Timeout),
            AttemptResult::BadAnswer => active.unknown_reason = Some(UnknownReason::BadAnswer),
            _ => active.unknown_reason = Some(UnknownReason::ConnectionLost),
        }
        let has_run = active.unknown_reason.is_some();
        let may_retry = may_retry(&active, result)
            && !(has_run && self.is_suspected(now, &active))
            && self.has_time(now, &active)
            && self.has_retry_budget(now, &active);
        let active = match may_retry || result == AttemptResult::RefusedBeforeWrite {
            true => self.try_relay(now, active, actions),
            false => Some(active),
        };
        let Some(active) = active else { return };
        if may_retry {
            self.start_round(now, active, Vec::new(), 0, actions);
        } else {
            let reason = active.rejection_reason;
            self.reject(now, &active, reason, actions);
        }
    }

    fn has_retry_budget(&mut self, now: Instant, active: &ActiveCall) -> bool {
        let entries = self.entries.get(now, self.options.retry_window);
        let state = self.services.get_mut(&active.service);
        state.is_some_and(|state| state.retry_budget.may_spend(now, entries))
    }
}

/// Returns whether a failed call may be sent to another server, apart from its retry budget and time.
fn may_retry(active: &ActiveCall, result: AttemptResult) -> bool {
    let call = &active.call;
    let is_safe = match result {
        // Nothing was written, so the request is still complete.
        AttemptResult::RefusedBeforeWrite => true,
        // The request did not run, but the body of an upload may have been sent to the server.
        AttemptResult::Shed | AttemptResult::Misdirected => call.replayable || !call.upload,
        _ => call.idempotent && call.replayable,
    };
    is_safe && active.tried.len() < call.options.attempts as usize
}

impl ServiceState {
    /// Updates the state of the server from the end of an attempt.
    fn observe(&mut self, now: Instant, active: &ActiveCall, attempt: RunningAttempt, finish: &FinishedAttempt) {
        let id = attempt.server;
        let Some(server) = self.servers.get_unchanged(id, attempt.since) else { return };
        server.end_call(now);
        let has_answered = matches!(
            finish.result,
            AttemptResult::Complete | AttemptResult::ServerError | AttemptResult::Shed | AttemptResult::Misdirected
        );
        if has_answered {
            self.path.record_answer();
        }
        if let Some(report) = finish.report {
            server.record_report(now, report);
        }
        let objective = active.call.options.objective;
        let is_failure = match finish.result {
            AttemptResult::Complete => {
                server.record_success(now);
                self.baseline.work.observe(finish.latency.as_secs_f64(), attempt.work_factor, objective);
                if let Some(hedging) = &mut self.hedging {
                    hedging.record_answer(objective, finish.latency, attempt.work_factor);
                }
                if server.ejection.is_on_trial() {
                    server.pass_trial();
                    self.servers.reinstate(id);
                }
                return;
            }
            AttemptResult::CallerLeft => return server.ejection.cancel_trial(),
            AttemptResult::Superseded => {
                if let Some(hedging) = &mut self.hedging {
                    hedging.record_cancelled(objective, finish.latency, attempt.work_factor);
                }
                return server.ejection.cancel_trial();
            }
            AttemptResult::Misdirected => {
                server.is_misdirected = true;
                server.ejection.reinstate();
                return self.servers.restore_capacity(now);
            }
            AttemptResult::Shed => server.record_shed(now, finish.report),
            // A deadline that left too little time for the work is no fault of the server.
            AttemptResult::Timeout if finish.latency.as_secs_f64() < self.baseline.work.of(objective) => false,
            AttemptResult::Timeout
            | AttemptResult::ServerError
            | AttemptResult::RefusedBeforeWrite
            | AttemptResult::BrokenAfterWrite
            | AttemptResult::BadAnswer => {
                server.record_failure(now);
                true
            }
        };
        // A call that was sent before the ejection provides no new information.
        let is_old = server.ejection.is_ejected() && !server.ejection.is_on_trial();
        match is_failure {
            true if !is_old => self.servers.eject(now, id),
            true => {}
            false => server.ejection.cancel_trial(),
        }
    }
}
