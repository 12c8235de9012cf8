//! What a balancer keeps for one service.

use {
    super::{ActiveCall, BalancerOptions, Baseline, Queue, Server, Servers},
    crate::retry::SlidingBudget,
    std::time::{Duration, Instant},
};

/// Bounds of the time after which a caller may come back. A caller honours it up to a third of its time left,
/// which is 0.4 s of the shortest deadline.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(20);
pub(super) const MAX_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Part of the estimated time until a slot is free after which a rejected caller may come back. Its objective
/// counts from its first attempt, so that after the whole time its answer would be late, whereas it may soon
/// find a shorter queue at another entry.
const RETRY_AFTER_SHARE: f64 = 0.1;
/// Mean calls per slot below which a service has room for all calls, however slow its servers are.
const SPARE_LOAD: f64 = 0.3;
/// Bound of estimated waits; no call has as much time.
const MAX_WAIT: Duration = Duration::from_secs(60);

/// What a balancer keeps for one service.
#[derive(Debug)]
pub(super) struct ServiceState {
    pub(super) servers: Servers,
    pub(super) queue: Queue,
    pub(super) retry_budget: SlidingBudget,
    pub(super) baseline: Baseline,
    /// When servers are probed next for the calls that wait, if any do.
    pub(super) next_review: Option<Instant>,
}

impl ServiceState {
    pub(super) fn new(options: &BalancerOptions) -> Self {
        Self {
            servers: Servers::default(),
            queue: Queue::default(),
            retry_budget: SlidingBudget::new(options.retry_ratio, options.retry_slack, options.retry_window),
            baseline: Baseline::new(),
            next_review: None,
        }
    }

    /// Returns whether a call that waits does so for a better server rather than for room.
    pub(super) fn has_spare_capacity(&self, now: Instant, active: &ActiveCall) -> bool {
        let mut open = self.servers.iter().filter(|server| server.is_usable(now));
        let has_room = open.any(|server| !active.tried.contains(&server.key) && server.has_room(now, &self.baseline));
        self.baseline.load < SPARE_LOAD && has_room
    }

    /// Estimates the time until as many waiting calls of this entry have started; the entries are taken to get
    /// equal shares of the slots.
    pub(super) fn estimate_wait(&self, now: Instant, calls: usize, objective: Duration, entries: usize) -> Duration {
        let usable = self.servers.iter().filter(|server| server.is_usable(now));
        let slots: u32 = usable.map(Server::useful_slots).sum();
        if slots == 0 {
            return MAX_WAIT;
        }
        let seconds =
            self.baseline.work(objective) * self.baseline.slowdown * (calls * entries) as f64 / f64::from(slots);
        Duration::from_secs_f64(seconds.min(MAX_WAIT.as_secs_f64()))
    }

    /// Returns a part of the estimated time until a slot is free for a call that comes after those that wait.
    /// Other entries are taken to have as many waiting calls.
    pub(super) fn retry_after(&self, now: Instant, objective: Duration, entries: usize, jitter: f64) -> Duration {
        let (mut slots, mut load) = (0.0, 0.0);
        for server in self.servers.iter().filter(|server| server.is_usable(now)) {
            slots += f64::from(server.slots());
            load += server.load(now, &self.baseline);
        }
        if slots == 0.0 {
            return MAX_RETRY_AFTER;
        }
        let waiting = (self.queue.len() + 1) * entries;
        let ahead = (load + waiting as f64 - slots).max(0.0);
        let seconds = RETRY_AFTER_SHARE * self.baseline.work(objective) * self.baseline.slowdown * ahead / slots;
        Duration::from_secs_f64((seconds * jitter).min(MAX_RETRY_AFTER.as_secs_f64())).max(MIN_RETRY_AFTER)
    }
}
