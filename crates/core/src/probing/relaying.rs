//! Calls that are passed on to another entry because this one has lost the path to the servers.

use {
    super::{ActiveCall, Balancer, Stage, path_monitor::CHECK_TIMEOUT},
    crate::{
        dispatch::{AttemptResult, DispatchAction, FinishedAttempt},
        ids::ServerId,
        outcome::{NotRunReason, UnknownReason},
        slots::{NameHash, name_hash},
    },
    rand::seq::SliceRandom,
    std::time::Instant,
};

/// Maximum number of entries to which a call is passed on. Each may have lost the path too.
const MAX_RELAYS: usize = 3;

impl Balancer {
    /// Returns whether this entry has lost the path to all servers of a service.
    pub(super) fn is_path_lost(&self, service: NameHash) -> bool {
        self.services.get(&service).is_some_and(|state| state.path.is_lost())
    }

    /// Returns the number of services to whose servers this entry has lost the path.
    pub fn lost_paths(&self) -> usize {
        self.services.values().filter(|state| state.path.is_lost()).count()
    }

    /// Records that a connection to a server was opened for a call, or could not be.
    pub(super) fn record_connection(
        &mut self,
        now: Instant,
        server: &ServerId,
        is_open: bool,
        actions: &mut Vec<DispatchAction>,
    ) {
        let server = name_hash(server);
        for service in self.services_of(server) {
            if let Some(state) = self.services.get_mut(&service) {
                state.path.record_connection(server, is_open);
            }
            self.check_path(now, service, actions);
        }
    }

    /// Records the end of a check of the path. If the path is lost, the calls that wait for a server are passed on.
    pub(super) fn finish_path_check(
        &mut self,
        now: Instant,
        server: &ServerId,
        is_open: bool,
        actions: &mut Vec<DispatchAction>,
    ) {
        let server = name_hash(server);
        for service in self.services_of(server) {
            let Some(state) = self.services.get_mut(&service) else { continue };
            if state.path.finish_check(server, is_open) {
                self.relay_waiting(now, service, actions);
            }
        }
    }

    /// Opens connections to some servers if the path to them is in doubt or lost.
    pub(super) fn check_path(&mut self, now: Instant, service: NameHash, actions: &mut Vec<DispatchAction>) {
        let Some(state) = self.services.get_mut(&service) else { return };
        let servers = &state.servers;
        let due = state.path.due_checks(now, || servers.iter().filter(|server| server.is_available(now)).count());
        if due == 0 {
            return;
        }
        let mut servers: Vec<_> = state.servers.iter().filter(|server| server.is_available(now)).collect();
        servers.shuffle(&mut self.rng);
        // Servers that have failed may have ended.
        servers.sort_by_key(|server| state.path.has_failed(server.name_hash));
        servers.truncate(due);
        for server in &servers {
            let (server, address) = (server.view.id.clone(), server.view.address);
            actions.push(DispatchAction::CheckPath { server, address, limit: CHECK_TIMEOUT });
        }
        let checks = servers.len();
        state.path.begin_checks(checks);
    }

    /// Passes a call on to another entry if the path to the servers is lost; returns the call if that is not possible.
    pub(super) fn try_relay(
        &mut self,
        now: Instant,
        mut active: ActiveCall,
        actions: &mut Vec<DispatchAction>,
    ) -> Option<ActiveCall> {
        let has_run = active.unknown_reason.is_some();
        let may_repeat = active.call.idempotent && active.call.replayable;
        let attempts = active.call.options.attempts.saturating_sub(if has_run { active.tried.len() as u32 } else { 0 });
        let is_possible = !active.call.relayed
            && self.is_path_lost(active.service)
            && active.relays.len() < MAX_RELAYS
            && attempts > 0
            && (!has_run || may_repeat);
        if !is_possible {
            return Some(active);
        }
        let Some((entry, relay)) = self.relays.choose(now, active.service, &active.relays, &mut self.rng) else {
            return Some(active);
        };
        let entries = self.entries.get(now, self.options.retry_window);
        let budget = self.services.get_mut(&active.service).map(|state| &mut state.retry_budget);
        if has_run && !budget.is_some_and(|budget| budget.try_spend(now, entries)) {
            self.relays.finish(now, entry, active.service, true);
            let reason = active.rejection_reason;
            self.reject(now, &active, reason, actions);
            return None;
        }
        actions.push(DispatchAction::Relay {
            call: active.call.id,
            entry: relay.entry,
            address: relay.address,
            attempts,
            fresh_connection: !active.call.idempotent,
        });
        // The other entry takes credit for the call itself.
        self.credit.give_back(now, active.credit.take());
        active.relays.push(entry);
        active.stage = Stage::Relayed { entry };
        self.calls.insert(active.call.id, active);
        None
    }

    /// Processes the end of a call at another entry. That entry has made all attempts, unless it reports that it did not
    /// run the call.
    pub(super) fn finish_relay(
        &mut self,
        now: Instant,
        mut active: ActiveCall,
        entry: NameHash,
        finish: &FinishedAttempt,
        actions: &mut Vec<DispatchAction>,
    ) {
        let could_serve = match finish.result {
            AttemptResult::RefusedBeforeWrite | AttemptResult::Misdirected | AttemptResult::Timeout => false,
            AttemptResult::Complete
            | AttemptResult::ServerError
            | AttemptResult::Shed
            | AttemptResult::BrokenAfterWrite
            | AttemptResult::BadAnswer
            | AttemptResult::CallerLeft
            | AttemptResult::Superseded => true,
        };
        self.relays.finish(now, entry, active.service, could_serve);
        if !finish.wants_decision {
            return;
        }
        active.rejection_reason = match finish.result {
            AttemptResult::RefusedBeforeWrite | AttemptResult::Misdirected => {
                if let Some(active) = self.try_relay(now, active, actions) {
                    self.reject(now, &active, NotRunReason::NoServer, actions);
                }
                return;
            }
            AttemptResult::Shed => NotRunReason::Overload,
            AttemptResult::Timeout => {
                active.unknown_reason = Some(UnknownReason::Timeout);
                NotRunReason::Deadline
            }
            _ => {
                active.unknown_reason = Some(UnknownReason::ConnectionLost);
                NotRunReason::Refused
            }
        };
        let reason = active.rejection_reason;
        self.reject(now, &active, reason, actions);
    }

    /// Passes on the calls that wait for a server, if there are other entries.
    fn relay_waiting(&mut self, now: Instant, service: NameHash, actions: &mut Vec<DispatchAction>) {
        let is_waiting = |active: &ActiveCall| {
            active.service == service && matches!(active.stage, Stage::Probing { .. } | Stage::Waiting { .. })
        };
        let mut waiting: Vec<_> =
            self.calls.values().filter(|active| is_waiting(active)).map(|active| active.call.id).collect();
        waiting.sort_unstable();
        for call in waiting {
            let Some(active) = self.remove_call(call) else { continue };
            if let Some(active) = self.try_relay(now, active, actions) {
                self.enqueue(now, active, actions);
            }
        }
    }

    fn services_of(&self, server: NameHash) -> Vec<NameHash> {
        let has_server = |(_, state): &(&NameHash, &super::ServiceState)| state.servers.get(server).is_some();
        self.services.iter().filter(has_server).map(|(service, _)| *service).collect()
    }
}
