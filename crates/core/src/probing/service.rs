//! State of a balancer for one service.

use {
    super::{ActiveCall, BalancerOptions, Baseline, Hedging, PathMonitor, Queue, Server, Servers},
    crate::retry::SlidingBudget,
    std::time::{Duration, Instant},
};

/// Range of the Retry-After time. A caller waits for at most a third of its time left, which is 0.4 s with
/// the shortest deadline.
pub(super) const MIN_RETRY_AFTER: Duration = Duration::from_millis(20);
pub(super) const MAX_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Share of the estimated time until a slot is free after which a rejected caller may try again. The
/// objective counts from the first attempt, so that an answer after the whole time would be late, whereas
/// another entry may soon have a shorter queue.
const RETRY_AFTER_SHARE: f64 = 0.1;
/// Mean calls per slot below which a service has room for all calls, however slow its servers are.
const SPARE_LOAD: f64 = 0.3;
/// Upper bound of estimated waits, longer than any deadline.
const MAX_WAIT: Duration = Duration::from_secs(60);

/// State of a balancer for one service.
#[derive(Debug)]
pub(super) struct ServiceState {
    pub(super) servers: Servers,
    pub(super) queue: Queue,
    pub(super) retry_budget: SlidingBudget,
    pub(super) baseline: Baseline,
    pub(super) path: PathMonitor,
    /// Decides on second copies, if there are any.
    pub(super) hedging: Option<Hedging>,
    /// When servers are probed next for the waiting calls, if there are any.
    pub(super) next_review: Option<Instant>,
}

impl ServiceState {
    pub(super) fn new(options: &BalancerOptions) -> Self {
        Self {
            servers: Servers::default(),
            queue: Queue::default(),
            retry_budget: SlidingBudget::new(options.retry_ratio, options.retry_slack, options.retry_window),
            baseline: Baseline::new(),
            path: PathMonitor::default(),
            hedging: Hedging::new(options.hedge_share, options.retry_window),
            next_review: None,
        }
    }

    /// Returns whether a call waits for a better server rather than for a free slot.
    pub(super) fn has_spare_capacity(&self, now: Instant, active: &ActiveCall) -> bool {
        let mut open = self.servers.iter().filter(|server| server.is_usable(now));
        let has_room =
            open.any(|server| !active.tried.contains(&server.name_hash) && server.has_room(now, &self.baseline));
        self.baseline.load < SPARE_LOAD && has_room
    }

    /// Estimates the time until this many waiting calls of this entry have started, assuming that the entries
    /// get equal shares of the slots.
    pub(super) fn estimate_wait(&self, now: Instant, calls: usize, objective: Duration, entries: usize) -> Duration {
        let usable = self.servers.iter().filter(|server| server.is_usable(now));
        let slots: u32 = usable.map(Server::useful_slots).sum();
        if slots == 0 {
            return MAX_WAIT;
        }
        let seconds =
            self.baseline.work.mean(objective) * self.baseline.slowdown * (calls * entries) as f64 / f64::from(slots);
        Duration::from_secs_f64(seconds.min(MAX_WAIT.as_secs_f64()))
    }

    /// Returns a share of the estimated time until a slot is free for one more call after the waiting ones,
    /// assuming that other entries have as many waiting calls.
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
        let seconds = RETRY_AFTER_SHARE * self.baseline.work.mean(objective) * self.baseline.slowdown * ahead / slots;
        Duration::from_secs_f64((seconds * jitter).min(MAX_RETRY_AFTER.as_secs_f64())).max(MIN_RETRY_AFTER)
    }
}
