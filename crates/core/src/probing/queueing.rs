//! Calls that wait until a server has room.

use {
    super::{ActiveCall, Balancer, Cost, Stage, balancer::Wake},
    crate::{dispatch::DispatchAction, ids::CallId, outcome::NotRunReason, slots::NameHash},
    std::time::{Duration, Instant},
};

/// Factor on the usual work that a call needs to make its objective once it leaves the queue. Higher factors
/// give up calls that could have made it, lower ones spend slots on late answers.
const NEEDED: f64 = 1.5;
/// Factor on the usual work that a late call needs before its deadline, as the slowest servers are left to it.
const NEEDED_LATE: f64 = 3.0;
/// Factor on the estimated wait in the queue above which a call is rejected at once. A call that is held and
/// rejected later costs up to its worth, and slots become free unevenly.
const WAIT_MARGIN: u32 = 2;
/// Time between two rounds of probes for the calls that wait, within which about one slot of a service
/// becomes free: 20 slots with calls of 200 ms.
const REVIEW: Duration = Duration::from_millis(15);
/// Servers that are probed in each of these rounds.
const REVIEWED: usize = 2;

impl Balancer {
    /// Makes a call wait, until it is too late for its objective, and then until it is too late for its deadline.
    /// A full queue rejects the call that would be served last, and a call that could not make its objective
    /// behind those that wait already is rejected at once.
    pub(super) fn enqueue(&mut self, now: Instant, mut active: ActiveCall, actions: &mut Vec<DispatchAction>) {
        let limit = self.text.as_ref().and_then(|text| text.services.get(&active.call.service));
        let limit = limit.map_or(self.options.queue, |service| service.queue_limit);
        let Some(state) = self.services.get(&active.service) else {
            return self.give_up(now, &active, NotRunReason::NoServer, actions);
        };
        if state.queue.len() >= limit {
            match state.queue.last_below(&active).and_then(|last| self.withdraw(last)) {
                Some(last) => self.give_up(now, &last, NotRunReason::Overload, actions),
                None => return self.give_up(now, &active, NotRunReason::Overload, actions),
            }
        }
        let entries = self.entries.get(now, self.options.window);
        let Some(state) = self.services.get_mut(&active.service) else { return };
        state.servers.keep_enough(now);
        let has_spare = state.has_spare(now, &active);
        let objective = active.call.options.objective;
        let work = state.usual.work(objective);
        let last_start =
            |left: Duration, factor: f64| now + left.saturating_sub(Duration::from_secs_f64(work * factor));
        let mut until = last_start(active.objective_left(now), NEEDED);
        if active.is_lapsed || until <= now {
            active.is_lapsed = true;
            until = last_start(active.call.deadline.saturating_duration_since(now), NEEDED_LATE);
        } else if !has_spare
            && now + state.wait(now, state.queue.ahead(&active) + 1, objective, entries) * WAIT_MARGIN > until
        {
            return self.give_up(now, &active, NotRunReason::Overload, actions);
        }
        let (call, service) = (active.call.id, active.service);
        active.stage = Stage::Waiting { until };
        state.queue.push(&active);
        let review = (state.review.is_none()).then(|| now + REVIEW);
        state.review = state.review.or(review);
        self.waiting += 1;
        self.calls.insert(call, active);
        self.wake_at(until, Wake::Call(call));
        if let Some(at) = review {
            self.wake_at(at, Wake::Service(service));
        }
    }

    /// Sends waiting calls while servers have room.
    pub(super) fn pump(&mut self, now: Instant, service: NameHash, actions: &mut Vec<DispatchAction>) {
        let Some(state) = self.services.get(&service) else { return };
        if state.queue.len() == 0 {
            return;
        }
        let mut is_timely_served = true;
        for call in state.queue.calls() {
            let Some(active) = self.calls.get(&call) else { continue };
            if !is_timely_served && !active.is_lapsed && active.tried.is_empty() {
                continue;
            }
            let Some(state) = self.services.get(&service) else { return };
            if !state.has_other(now, active) {
                let reason = active.refusal;
                if let Some(active) = self.withdraw(call) {
                    self.give_up(now, &active, reason, actions);
                }
                continue;
            }
            let chosen = state.least(now, active, state.servers.sample(&mut self.rng));
            match chosen {
                Some((server, cost)) => {
                    if let Some(active) = self.withdraw(call) {
                        self.send(now, active, server, cost.factor, actions);
                    }
                }
                // What has no room for this call has none for the next, unless this one was there before. A call that
                // can make its objective leaves poor servers to those that cannot.
                None if active.tried.is_empty() && active.is_lapsed => return,
                None if active.tried.is_empty() => is_timely_served = false,
                None => {}
            }
        }
    }

    /// Ends the wait of a call. One that cannot make its objective any more waits behind those that can; one
    /// that waited for its deadline goes to the least loaded server that would queue it, or is rejected.
    pub(super) fn leave_queue(&mut self, now: Instant, call: CallId, actions: &mut Vec<DispatchAction>) {
        let Some(mut active) = self.withdraw(call) else { return };
        if !active.is_lapsed {
            active.is_lapsed = true;
            return self.enqueue(now, active, actions);
        }
        let Some(state) = self.services.get(&active.service) else { return };
        let left = active.call.deadline.saturating_duration_since(now).as_secs_f64();
        let open = state
            .servers
            .sample(&mut self.rng)
            .filter(|server| server.is_usable(now) && !active.tried.contains(&server.key))
            .filter(|server| server.has_queue(now, &state.usual))
            .map(|server| (server.key, Cost::of(now, &active, server, &state.usual)))
            .filter(|(_, cost)| cost.seconds <= left);
        let least = open.min_by(|a, b| {
            (a.1.load, a.1.loss).partial_cmp(&(b.1.load, b.1.loss)).unwrap_or(std::cmp::Ordering::Equal)
        });
        match least {
            Some((server, cost)) => self.send(now, active, server, cost.factor, actions),
            None => self.give_up(now, &active, NotRunReason::Overload, actions),
        }
    }

    /// Asks servers for room while calls wait.
    pub(super) fn review(&mut self, now: Instant, service: NameHash, actions: &mut Vec<DispatchAction>) {
        let Some(state) = self.services.get_mut(&service) else { return };
        state.review = None;
        let Some(first) = state.queue.calls().first().copied() else { return };
        let Some(active) = self.calls.get(&first) else { return };
        let open = state.servers.sample(&mut self.rng).filter(|server| server.is_usable(now));
        let open = open.filter(|server| !active.tried.contains(&server.key));
        let mut oldest: Vec<_> = open.map(|server| (server.report.map(|report| report.at), server.key)).collect();
        oldest.sort_unstable();
        let at = now + REVIEW;
        state.review = Some(at);
        self.wake_at(at, Wake::Service(service));
        for (_, server) in oldest.into_iter().take(REVIEWED) {
            self.ask(now, service, server, None, actions);
        }
        self.pump(now, service, actions);
    }

    /// Takes a waiting call out of its queue.
    pub(super) fn withdraw(&mut self, call: CallId) -> Option<ActiveCall> {
        let active = self.calls.remove(&call)?;
        if matches!(active.stage, Stage::Waiting { .. }) {
            self.waiting -= 1;
            if let Some(state) = self.services.get_mut(&active.service) {
                state.queue.remove(&active);
            }
        }
        Some(active)
    }
}
