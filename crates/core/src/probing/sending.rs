//! Sending a call to the chosen server.

use {
    super::{ActiveCall, Balancer, Stage},
    crate::{dispatch::DispatchAction, outcome::NotRunReason, slots::NameHash},
    std::time::Instant,
};

impl Balancer {
    /// Sends a call to a server. An attempt beyond the first needs a part of the budget.
    pub(super) fn send(
        &mut self,
        now: Instant,
        mut active: ActiveCall,
        server: NameHash,
        factor: f64,
        actions: &mut Vec<DispatchAction>,
    ) {
        let entries = self.entries.get(now, self.options.window);
        let Some(state) = self.services.get_mut(&active.service) else {
            return self.give_up(now, &active, NotRunReason::NoServer, actions);
        };
        let is_extra = !active.tried.is_empty();
        if is_extra && !state.budget.try_spend(now, entries) {
            return self.give_up(now, &active, active.refusal, actions);
        }
        let Some(chosen) = state.servers.get_mut(server) else {
            return self.give_up(now, &active, NotRunReason::NoServer, actions);
        };
        chosen.begin(now);
        actions.push(DispatchAction::Send {
            call: active.call.id,
            server: chosen.view.id.clone(),
            address: chosen.view.address,
            fresh_connection: !active.call.idempotent,
            pass_allowance: false,
            want_report: false,
        });
        active.tried.push(server);
        active.stage = Stage::Running { server, since: chosen.since, factor };
        self.calls.insert(active.call.id, active);
    }
}
