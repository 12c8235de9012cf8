//! Sending of a call to the chosen server.

use {
    super::{ActiveCall, Balancer, RunningAttempt, Stage},
    crate::{dispatch::DispatchAction, outcome::NotRunReason, slots::NameHash},
    std::time::Instant,
};

impl Balancer {
    /// Sends a call to a server. Attempts beyond the first are charged to the retry budget.
    pub(super) fn send(
        &mut self,
        now: Instant,
        mut active: ActiveCall,
        server: NameHash,
        work_factor: f64,
        actions: &mut Vec<DispatchAction>,
    ) {
        if self.quarantine_wait(now, &active).is_some() {
            return self.reject(now, &active, NotRunReason::Quarantined, actions);
        }
        let position = self.position(now);
        let Some(state) = self.services.get_mut(&active.service) else {
            return self.reject(now, &active, NotRunReason::NoServer, actions);
        };
        let is_extra = !active.tried.is_empty();
        if is_extra && !state.retry_budget.may_spend(now, position.entries) {
            return self.reject(now, &active, active.rejection_reason, actions);
        }
        if !self.spend_credit(now, &mut active) {
            let reason = if is_extra { active.rejection_reason } else { NotRunReason::Quota };
            return self.reject(now, &active, reason, actions);
        }
        let Some(state) = self.services.get_mut(&active.service) else { return };
        if is_extra {
            state.retry_budget.try_spend(now, position.entries);
        }
        let Some(chosen) = state.servers.get_mut(server) else {
            self.restore_credit(now, &mut active);
            return self.reject(now, &active, NotRunReason::NoServer, actions);
        };
        chosen.start_call(now);
        if let Some(limit) = &mut chosen.limit {
            limit.record_call(now, position, &mut self.rng);
        }
        actions.push(DispatchAction::Send {
            call: active.call.id,
            server: chosen.view.id.clone(),
            address: chosen.view.address,
            fresh_connection: !active.call.idempotent,
            pass_allowance: false,
            want_report: false,
        });
        active.tried.push(server);
        let first = RunningAttempt { server, since: chosen.known_since, work_factor, sent_at: now, is_copy: false };
        active.stage = Stage::Running { first, copy: None, hedge: None };
        self.begin_suspect_trial(now, &active);
        self.calls.insert(active.call.id, active);
    }
}
