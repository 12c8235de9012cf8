//! The end of attempts, and what follows a failed one.

use {
    super::{ActiveCall, Balancer, ServiceState, Stage},
    crate::{
        dispatch::{AttemptResult, DispatchAction, FinishedAttempt},
        ids::CallId,
        outcome::{NotRunReason, UnknownReason},
        slots::{NameHash, name_hash},
    },
    std::time::Instant,
};

impl Balancer {
    /// Takes the end of an attempt. An attempt that is not known has ended before and is ignored.
    pub(super) fn finish(&mut self, now: Instant, finish: &FinishedAttempt, actions: &mut Vec<DispatchAction>) {
        let server = name_hash(&finish.server);
        let Some(active) = self.calls.get(&finish.call) else { return };
        let Stage::Running { server: running, since, factor } = active.stage else { return };
        if running != server {
            return;
        }
        let Some(active) = self.calls.remove(&finish.call) else { return };
        let service = active.service;
        if let Some(state) = self.services.get_mut(&service) {
            state.observe(now, &active, (server, since, factor), finish);
        }
        let is_final = matches!(finish.result, AttemptResult::Complete | AttemptResult::CallerLeft);
        if finish.wants_decision && !is_final {
            self.follow(now, active, finish.result, actions);
        }
        self.pump(now, service, actions);
    }

    /// Withdraws a call, wherever it is.
    pub(super) fn cancel(&mut self, now: Instant, call: CallId, actions: &mut Vec<DispatchAction>) {
        let Some(active) = self.withdraw(call) else { return };
        // The caller may have left while the decision was on its way to it.
        if let Stage::Running { server, since, .. } = active.stage
            && let Some(state) = self.services.get_mut(&active.service)
            && let Some(server) = state.servers.get_since(server, since)
        {
            server.end(now);
            server.ejection.abandon_trial();
        }
        self.pump(now, active.service, actions);
    }

    /// Sends a call whose attempt failed to another server, or gives it up.
    fn follow(
        &mut self,
        now: Instant,
        mut active: ActiveCall,
        result: AttemptResult,
        actions: &mut Vec<DispatchAction>,
    ) {
        active.refusal = match result {
            AttemptResult::Shed => NotRunReason::Overload,
            _ => NotRunReason::Refused,
        };
        match result {
            AttemptResult::Shed | AttemptResult::RefusedBeforeWrite | AttemptResult::Misdirected => {}
            AttemptResult::Timeout => active.doubt = Some(UnknownReason::Timeout),
            AttemptResult::BadAnswer => active.doubt = Some(UnknownReason::BadAnswer),
            _ => active.doubt = Some(UnknownReason::ConnectionLost),
        }
        let may_repeat = may_repeat(&active, result) && self.has_time(now, &active) && self.has_budget(now, &active);
        if may_repeat {
            self.begin_round(now, active, Vec::new(), 0, actions);
        } else {
            let reason = active.refusal;
            self.give_up(now, &active, reason, actions);
        }
    }

    fn has_budget(&mut self, now: Instant, active: &ActiveCall) -> bool {
        let entries = self.entries.get(now, self.options.window);
        let state = self.services.get_mut(&active.service);
        state.is_some_and(|state| state.budget.may_spend(now, entries))
    }
}

/// Returns whether a failed call may be sent to another server, its budget and time apart.
fn may_repeat(active: &ActiveCall, result: AttemptResult) -> bool {
    let call = &active.call;
    let is_harmless = match result {
        // Nothing was written, so the whole request is still there.
        AttemptResult::RefusedBeforeWrite => true,
        // The request did not run, but the body of an upload may have gone to the server.
        AttemptResult::Shed | AttemptResult::Misdirected => call.replayable || !call.upload,
        _ => call.idempotent && call.replayable,
    };
    is_harmless && active.tried.len() < call.options.attempts as usize
}

impl ServiceState {
    /// Takes what the end of an attempt tells of the server.
    fn observe(
        &mut self,
        now: Instant,
        active: &ActiveCall,
        (id, since, factor): (NameHash, Instant, f64),
        finish: &FinishedAttempt,
    ) {
        let Some(server) = self.servers.get_since(id, since) else { return };
        server.end(now);
        if let Some(report) = finish.report {
            server.take_report(now, report);
        }
        let objective = active.call.options.objective;
        let is_failure = match finish.result {
            AttemptResult::Complete => {
                server.succeed(now);
                self.usual.observe(finish.latency.as_secs_f64(), factor, objective);
                if server.ejection.is_on_trial() {
                    server.pass_trial();
                    self.servers.let_back(id);
                }
                return;
            }
            AttemptResult::CallerLeft => return server.ejection.abandon_trial(),
            AttemptResult::Misdirected => {
                server.is_misdirected = true;
                server.ejection.let_back();
                return self.servers.keep_enough(now);
            }
            AttemptResult::Shed => server.shed(now, finish.report),
            // A deadline that left no time for the work says nothing about the server.
            AttemptResult::Timeout if finish.latency.as_secs_f64() < self.usual.work(objective) => false,
            AttemptResult::Timeout
            | AttemptResult::ServerError
            | AttemptResult::RefusedBeforeWrite
            | AttemptResult::BrokenAfterWrite
            | AttemptResult::BadAnswer => {
                server.fail(now);
                true
            }
        };
        // A call from before an ejection shows nothing new.
        let is_old = server.ejection.is_out() && !server.ejection.is_on_trial();
        match is_failure {
            true if !is_old => self.servers.eject(now, id),
            true => {}
            false => server.ejection.abandon_trial(),
        }
    }
}
