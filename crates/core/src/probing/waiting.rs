//! Calls that wait until a server has room.

use {
    super::{ActiveCall, Balancer, Cost, Stage, balancer::Timer, headroom::leaves_headroom},
    crate::{dispatch::DispatchAction, ids::CallId, outcome::NotRunReason, slots::NameHash},
    std::time::{Duration, Instant},
};

/// Time that a call needs to meet its objective once it leaves the queue, as a multiple of the mean work.
/// Higher factors give up calls that could have met it, lower ones spend slots on late answers.
const REQUIRED_WORK_FACTOR: f64 = 1.5;
/// Time that a late call needs before its deadline, as a multiple of the mean work, because it gets the
/// slowest servers.
const REQUIRED_WORK_FACTOR_LATE: f64 = 3.0;
/// A call is rejected immediately if this multiple of its estimated wait is too long. A call that is queued
/// and rejected later costs up to its whole value, and slots become free irregularly.
const WAIT_MARGIN: u32 = 2;
/// Interval between probes for the waiting calls. About one slot of a service becomes free in this time: 20
/// slots with calls of 200 ms.
const REVIEW_INTERVAL: Duration = Duration::from_millis(15);
/// Servers to probe in each interval.
const PROBES_PER_REVIEW: usize = 2;

impl Balancer {
    /// Queues a call until it is too late for its objective, and then until it is too late for its deadline.
    /// A full queue rejects the call that would be served last. A call that could not meet its objective
    /// behind the waiting ones is rejected immediately.
    pub(super) fn enqueue(&mut self, now: Instant, mut active: ActiveCall, actions: &mut Vec<DispatchAction>) {
        let limit = self.config.as_ref().and_then(|config| config.services.get(&active.call.service));
        let limit = limit.map_or(self.options.queue_limit, |service| service.queue_limit);
        let Some(state) = self.services.get(&active.service) else {
            return self.reject(now, &active, NotRunReason::NoServer, actions);
        };
        if state.queue.len() >= limit {
            match state.queue.lowest_after(&active).and_then(|last| self.remove_call(last)) {
                Some(last) => self.reject(now, &last, NotRunReason::Overload, actions),
                None => return self.reject(now, &active, NotRunReason::Overload, actions),
            }
        }
        let entries = self.entries.get(now, self.options.retry_window);
        let Some(state) = self.services.get_mut(&active.service) else { return };
        state.servers.restore_capacity(now);
        let has_spare_capacity = state.has_spare_capacity(now, &active);
        let objective = active.call.options.objective;
        let work = state.baseline.work.of(objective);
        let last_start =
            |left: Duration, work_factor: f64| now + left.saturating_sub(Duration::from_secs_f64(work * work_factor));
        let mut until = last_start(active.time_to_objective(now), REQUIRED_WORK_FACTOR);
        if active.missed_objective || until <= now {
            active.missed_objective = true;
            until = last_start(active.call.deadline.saturating_duration_since(now), REQUIRED_WORK_FACTOR_LATE);
        } else if !has_spare_capacity
            && now + state.estimate_wait(now, state.queue.calls_before(&active) + 1, objective, entries) * WAIT_MARGIN
                > until
        {
            return self.reject(now, &active, NotRunReason::Overload, actions);
        }
        let (call, service) = (active.call.id, active.service);
        active.stage = Stage::Waiting { until };
        state.queue.push(&active);
        let review = (state.next_review.is_none()).then(|| now + REVIEW_INTERVAL);
        state.next_review = state.next_review.or(review);
        self.waiting += 1;
        self.calls.insert(call, active);
        self.set_timer(until, Timer::Call(call));
        if let Some(at) = review {
            self.set_timer(at, Timer::Service(service));
        }
    }

    /// Sends waiting calls while servers have room.
    pub(super) fn dispatch_waiting(&mut self, now: Instant, service: NameHash, actions: &mut Vec<DispatchAction>) {
        let Some(state) = self.services.get(&service) else { return };
        if state.queue.len() == 0 {
            return;
        }
        let mut may_serve_timely = true;
        for call in state.queue.calls() {
            let Some(active) = self.calls.get(&call) else { continue };
            if !may_serve_timely && !active.missed_objective && active.tried.is_empty() {
                continue;
            }
            let Some(state) = self.services.get(&service) else { return };
            if !state.has_untried_server(now, active) {
                let reason = active.rejection_reason;
                if let Some(active) = self.remove_call(call) {
                    self.reject(now, &active, reason, actions);
                }
                continue;
            }
            let chosen = state.cheapest(now, active, state.servers.sample(&mut self.rng));
            match chosen {
                Some((server, cost)) => {
                    if let Some(active) = self.remove_call(call) {
                        self.send(now, active, server, cost.work_factor, actions);
                    }
                }
                // If no server has room for this call, there is none for the next one, unless servers were
                // excluded that this call has tried, or slots are kept free of it. A call that can meet its objective leaves poor servers
                // to calls that cannot.
                None if leaves_headroom(now, active, &state.baseline.work) => {}
                None if active.tried.is_empty() && active.missed_objective => return,
                None if active.tried.is_empty() => may_serve_timely = false,
                None => {}
            }
        }
    }

    /// Ends the wait of a call. A call that can no longer meet its objective is queued behind those that can.
    /// A call that waited for its deadline goes to the least loaded server that would queue it, or is
    /// rejected.
    pub(super) fn on_wait_expired(&mut self, now: Instant, call: CallId, actions: &mut Vec<DispatchAction>) {
        let Some(mut active) = self.remove_call(call) else { return };
        if !active.missed_objective {
            active.missed_objective = true;
            return self.enqueue(now, active, actions);
        }
        let Some(state) = self.services.get(&active.service) else { return };
        let left = active.call.deadline.saturating_duration_since(now).as_secs_f64();
        let open = state
            .servers
            .sample(&mut self.rng)
            .filter(|server| server.is_usable(now) && !active.tried.contains(&server.name_hash))
            .filter(|server| server.has_queue_room(now, &state.baseline))
            .map(|server| (server.name_hash, Cost::estimate(now, &active, server, &state.baseline)))
            .filter(|(_, cost)| cost.seconds <= left);
        let least_loaded = open.min_by(|a, b| {
            (a.1.load, a.1.loss).partial_cmp(&(b.1.load, b.1.loss)).unwrap_or(std::cmp::Ordering::Equal)
        });
        match least_loaded {
            Some((server, cost)) => self.send(now, active, server, cost.work_factor, actions),
            None => self.reject(now, &active, NotRunReason::Overload, actions),
        }
    }

    /// Probes servers for room while calls wait.
    pub(super) fn probe_for_waiting(&mut self, now: Instant, service: NameHash, actions: &mut Vec<DispatchAction>) {
        let Some(state) = self.services.get_mut(&service) else { return };
        state.next_review = None;
        let Some(first) = state.queue.calls().first().copied() else { return };
        let Some(active) = self.calls.get(&first) else { return };
        let open = state.servers.sample(&mut self.rng).filter(|server| server.is_usable(now));
        let open = open.filter(|server| !active.tried.contains(&server.name_hash));
        let mut oldest: Vec<_> =
            open.map(|server| (server.load_sample.map(|sample| sample.at), server.name_hash)).collect();
        oldest.sort_unstable();
        let at = now + REVIEW_INTERVAL;
        state.next_review = Some(at);
        self.set_timer(at, Timer::Service(service));
        for (_, server) in oldest.into_iter().take(PROBES_PER_REVIEW) {
            self.probe_server(now, service, server, None, actions);
        }
        self.dispatch_waiting(now, service, actions);
    }

    /// Removes a call, and takes it out of the queue if it is waiting.
    pub(super) fn remove_call(&mut self, call: CallId) -> Option<ActiveCall> {
        let active = self.calls.remove(&call)?;
        if matches!(active.stage, Stage::AwaitingCredit { .. }) {
            self.credit.stop_waiting(&active);
        }
        if matches!(active.stage, Stage::Waiting { .. }) {
            self.waiting -= 1;
            if let Some(state) = self.services.get_mut(&active.service) {
                state.queue.remove(&active);
            }
        }
        Some(active)
    }
}
