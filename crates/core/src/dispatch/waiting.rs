//! Calls that wait at the entry.

use {
    super::{ActiveCall, Call, DispatchAction, Dispatcher},
    crate::{
        admission::{QueueLimits, QueuedCall},
        config::BalancingPolicy,
        ids::CallId,
        outcome::{NotRunReason, Outcome},
        slots::{NameHash, name_hash},
    },
    rand::RngExt,
    std::{
        cmp::Reverse,
        time::{Duration, Instant},
    },
};

/// Retry-After time if no estimate is available; servers announce themselves every 800 ms.
const DEFAULT_RETRY_AFTER: Duration = Duration::from_secs(1);
/// Range of the Retry-After time.
const RETRY_AFTER_RANGE: (Duration, Duration) = (Duration::from_millis(100), Duration::from_secs(30));
/// Tenths of a permit in one unit of a customer's share.
const TENTHS_PER_UNIT: f64 = 10.0;

impl Dispatcher {
    /// Sends a call if no call is waiting and a permit is free; otherwise the call waits or is rejected.
    pub(super) fn admit(&mut self, now: Instant, active: ActiveCall, actions: &mut Vec<DispatchAction>) {
        let service = active.service;
        let Some(state) = self.services.get(&service) else { return };
        let may_start = !active.call.upload || state.may_upload(now, self.slots.expected_permits(now, service));
        if state.waiting() == 0
            && may_start
            && let Some(server) = self.choose(now, &active, BalancingPolicy::Permits)
        {
            return self.send(now, active, server, actions);
        }
        let Some(settings) = self.config.services.get(&active.call.service) else { return };
        let max_calls = settings.queue_limit;
        if self.is_overloaded(&active.call) {
            return self.reject_new(now, &active.call, NotRunReason::Overload, actions);
        }
        let weight = self.customer_weight(now, &active.call);
        let limits = QueueLimits { weight, max_calls, slots: self.slots.expected_permits(now, service) };
        let Some(state) = self.services.get_mut(&service) else { return };
        let call = &active.call;
        let waiting = QueuedCall { call: call.id, upload: call.upload, deadline: call.deadline };
        match state.queue.try_push(now, &call.customer, waiting, &state.latency_estimate, limits) {
            Err(reason) => self.reject_new(now, &active.call, reason, actions),
            Ok(()) => {
                let time_needed = state.latency_estimate.upper_bound(call.upload);
                self.schedule_expiry(now, call.deadline, time_needed, call.id);
                self.waiting += 1;
                self.calls.insert(active.call.id, active);
                self.backlogged.insert(service);
                self.dispatch_waiting(now, service, actions);
            }
        }
    }

    /// Calls to services on which no other service depends are rejected from half of the limit on. Calls to
    /// the others still get through, because the calls in progress that depend on them would otherwise fail.
    fn is_overloaded(&self, call: &Call) -> bool {
        let limit = self.options.waiting_limit;
        self.waiting >= limit || self.waiting >= limit / 2 && !self.config.is_dependency(&call.service)
    }

    fn customer_weight(&self, now: Instant, call: &Call) -> f64 {
        let weight = f64::from(self.config.customer_weight(&call.service, &call.customer));
        let shares = self.slots.shares(now, name_hash(&call.service));
        if shares.is_empty() {
            return weight;
        }
        // A customer that had no calls when the shares were calculated gets its weight times the largest share, so
        // that it does not rank below the others.
        let customer = name_hash(&call.customer);
        let own_tenths = shares.iter().find(|share| share.customer == customer).map(|share| share.tenths);
        let max_tenths = shares.iter().map(|share| share.tenths).max().unwrap_or_default();
        own_tenths.map_or(weight * f64::from(max_tenths), f64::from) / TENTHS_PER_UNIT
    }

    pub(super) fn schedule_expiry(&mut self, now: Instant, deadline: Instant, time_needed: Duration, call: CallId) {
        let latest = deadline.checked_sub(time_needed).unwrap_or(deadline).max(now);
        self.expiries.push(Reverse((latest, call)));
    }

    /// Applies the customers' shares that the coordinator has set.
    pub(super) fn apply_shares(&mut self, now: Instant) {
        for service in &self.backlogged {
            let shares = self.slots.shares(now, *service);
            let Some(state) = self.services.get_mut(service) else { continue };
            if shares.is_empty() {
                continue;
            }
            let queued: Vec<_> = state.queue.waiting_customers().map(|(name, _)| name.clone()).collect();
            for name in queued {
                let customer = name_hash(&name);
                if let Some(share) = shares.iter().find(|share| share.customer == customer) {
                    state.queue.set_weight(&name, f64::from(share.tenths) / TENTHS_PER_UNIT);
                }
            }
        }
    }

    /// Sends waiting calls of every service with free permits.
    pub(super) fn dispatch_all_waiting(&mut self, now: Instant, actions: &mut Vec<DispatchAction>) {
        let services: Vec<_> = self.backlogged.iter().copied().collect();
        for service in services {
            self.dispatch_waiting(now, service, actions);
        }
    }

    /// Sends waiting calls of a service while permits are free.
    pub(super) fn dispatch_waiting(&mut self, now: Instant, service: NameHash, actions: &mut Vec<DispatchAction>) {
        if !self.backlogged.contains(&service) {
            return;
        }
        self.dispatch_retries(now, service, actions);
        while let Some(server) = self.choose_for_waiting(now, service) {
            let Some(state) = self.services.get_mut(&service) else { return };
            let with_uploads = state.may_upload(now, self.slots.expected_permits(now, service));
            let Some((_, waiting)) = state.queue.pop(&state.latency_estimate, with_uploads) else { break };
            let time_needed = state.latency_estimate.upper_bound(waiting.upload);
            let Some(active) = self.calls.remove(&waiting.call) else { continue };
            self.waiting -= 1;
            if now + time_needed > active.call.deadline {
                self.reject(now, &active, NotRunReason::Deadline, actions);
            } else {
                self.send(now, active, server, actions);
            }
        }
        self.update_backlog(now, service);
    }

    /// Sends calls whose earlier attempt failed. A call for which only servers that it has tried are free
    /// does not block the others.
    fn dispatch_retries(&mut self, now: Instant, service: NameHash, actions: &mut Vec<DispatchAction>) {
        let Some(state) = self.services.get_mut(&service) else { return };
        for call in std::mem::take(&mut state.retry_queue) {
            let Some(active) = self.calls.remove(&call) else { continue };
            match self.choose(now, &active, BalancingPolicy::Permits) {
                Some(server) => {
                    self.waiting -= 1;
                    self.send(now, active, server, actions);
                }
                None => {
                    self.calls.insert(call, active);
                    if let Some(state) = self.services.get_mut(&service) {
                        state.retry_queue.push(call);
                    }
                }
            }
        }
    }

    fn choose_for_waiting(&mut self, now: Instant, service: NameHash) -> Option<NameHash> {
        let state = self.services.get_mut(&service)?;
        if state.queue.is_empty() {
            return None;
        }
        let free = self.slots.free_servers(now, service);
        state.servers.pick_permitted(now, free, &[], &mut state.health, &mut self.rng)
    }

    pub(super) fn update_backlog(&mut self, now: Instant, service: NameHash) {
        let Some(state) = self.services.get(&service) else { return };
        let waiting = state.waiting();
        self.slots.set_waiting(now, service, waiting as u32, state.latency_estimate.mean(false));
        if waiting == 0 {
            self.backlogged.remove(&service);
        } else {
            self.backlogged.insert(service);
        }
    }

    /// Rejects waiting calls that can no longer meet their deadline.
    pub(super) fn reject_expired(&mut self, now: Instant, actions: &mut Vec<DispatchAction>) {
        while let Some(Reverse((at, call))) = self.expiries.peek().copied()
            && at <= now
        {
            self.expiries.pop();
            let is_waiting = self.calls.get(&call).is_some_and(|active| active.server.is_none());
            if !is_waiting {
                continue;
            }
            if let Some(active) = self.remove_call(call) {
                self.update_backlog(now, active.service);
                self.reject(now, &active, NotRunReason::Deadline, actions);
            }
        }
    }

    /// Removes a waiting call from its queue.
    pub(super) fn remove_call(&mut self, call: CallId) -> Option<ActiveCall> {
        let active = self.calls.remove(&call)?;
        self.waiting -= 1;
        if let Some(state) = self.services.get_mut(&active.service) {
            let is_queued = state.queue.remove(&active.call.customer, call, active.call.upload);
            if !is_queued {
                state.retry_queue.retain(|other| *other != call);
            }
        }
        Some(active)
    }

    /// Removes all waiting calls of a service from their queues.
    pub(super) fn remove_waiting(&mut self, service: NameHash) -> Vec<ActiveCall> {
        self.backlogged.remove(&service);
        let Some(state) = self.services.get_mut(&service) else { return Vec::new() };
        let queued = state.queue.drain().into_iter().map(|waiting| waiting.call);
        let calls: Vec<_> = queued.chain(std::mem::take(&mut state.retry_queue)).collect();
        let calls: Vec<_> = calls.into_iter().filter_map(|call| self.calls.remove(&call)).collect();
        self.waiting -= calls.len();
        calls
    }

    /// Rejects all waiting calls of a service.
    pub(super) fn reject_waiting(
        &mut self,
        now: Instant,
        service: NameHash,
        reason: NotRunReason,
        actions: &mut Vec<DispatchAction>,
    ) {
        for call in self.remove_waiting(service) {
            self.reject(now, &call, reason, actions);
        }
    }

    /// Rejects a call that has not been sent.
    pub(super) fn reject_new(
        &mut self,
        now: Instant,
        call: &Call,
        reason: NotRunReason,
        actions: &mut Vec<DispatchAction>,
    ) {
        let retry_after = self.retry_after(now, call, reason);
        actions.push(DispatchAction::Reject { call: call.id, outcome: Outcome::NotRun(reason), retry_after });
    }

    /// Rejects a call after which no further attempt is made.
    pub(super) fn reject(
        &mut self,
        now: Instant,
        active: &ActiveCall,
        reason: NotRunReason,
        actions: &mut Vec<DispatchAction>,
    ) {
        let retry_after = self.retry_after(now, &active.call, reason);
        actions.push(DispatchAction::Reject { call: active.call.id, outcome: active.outcome(reason), retry_after });
    }

    /// Estimates when a caller may try again: after the calls that are waiting now have been served. A random
    /// factor keeps callers that were rejected together from coming back together.
    fn retry_after(&mut self, now: Instant, call: &Call, reason: NotRunReason) -> Duration {
        let service = name_hash(&call.service);
        if let Some(end) = self.services.get(&service).and_then(|state| state.servers.pause_end(now)) {
            return end.saturating_duration_since(now).max(RETRY_AFTER_RANGE.0);
        }
        let wait = match (reason, self.services.get(&service)) {
            (NotRunReason::QueueFull | NotRunReason::Deadline | NotRunReason::Overload, Some(state)) => {
                let weight = f64::from(self.config.customer_weight(&call.service, &call.customer));
                state.queue.estimate_wait(
                    &call.customer,
                    weight,
                    &state.latency_estimate,
                    self.slots.expected_permits(now, service),
                )
            }
            _ => DEFAULT_RETRY_AFTER,
        };
        let jitter = self.rng.random_range(1.0..1.5);
        wait.mul_f64(jitter).clamp(RETRY_AFTER_RANGE.0, RETRY_AFTER_RANGE.1)
    }
}
