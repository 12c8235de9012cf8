//! Budget of extra attempts of one service over a sliding window.

use std::time::{Duration, Instant};

/// Parts into which a window is divided.
const PARTS: usize = 50;
/// Buckets that overlap a window: one more than its parts, because a window may start within a bucket.
const BUCKETS: usize = PARTS + 1;
/// Usable share of the ratio. An observer sees requests and attempts at other times than the entry counts
/// them, so that the two windows differ by some calls.
const USABLE_RATIO: f64 = 0.9;
/// Usable share of the slack. Entries may have different counts of live entries for a while.
const USABLE_SLACK: f64 = 0.7;

/// Requests and extra attempts in one part of the window.
#[derive(Clone, Copy, Debug, Default)]
struct Bucket {
    requests: u32,
    extra: u32,
}

/// Budget of the attempts beyond the first one of each call, for one service at one entry.
///
/// In the window that ends with an extra attempt, the number of extra attempts is at most 0.9 x ratio x own
/// requests + 0.7 x slack / live entries. Requests at the edge of the window are not counted, extra attempts
/// are.
///
/// ```
/// use {hemlockford_core::retry::SlidingBudget, std::time::{Duration, Instant}};
/// let now = Instant::now();
/// let mut budget = SlidingBudget::new(0.2, 10.0, Duration::from_secs(10));
/// for _ in 0..50 {
///     budget.record_request(now);
/// }
/// let extra = (0..100).filter(|_| budget.try_spend(now, 7)).count();
/// assert_eq!(extra, 10); // 0.9 x 0.2 x 50 + 0.7 x 10 / 7
/// ```
#[derive(Clone, Debug)]
pub struct SlidingBudget {
    ratio: f64,
    slack: f64,
    part_length: Duration,
    start: Option<Instant>,
    newest: u64,
    buckets: Box<[Bucket; BUCKETS]>,
    requests: u32,
    extra: u32,
}

impl SlidingBudget {
    /// Creates a budget without requests. The slack is that of all entries together.
    pub fn new(ratio: f64, slack: f64, window: Duration) -> Self {
        Self {
            ratio,
            slack,
            part_length: (window / PARTS as u32).max(Duration::from_nanos(1)),
            start: None,
            newest: 0,
            buckets: Box::new([Bucket::default(); BUCKETS]),
            requests: 0,
            extra: 0,
        }
    }

    /// Counts a request of the service.
    pub fn record_request(&mut self, now: Instant) {
        self.advance(now);
        self.newest_bucket().requests += 1;
        self.requests += 1;
    }

    /// Returns whether an extra attempt may be sent now, given the number of live entries.
    pub fn may_spend(&mut self, now: Instant, entries: usize) -> bool {
        self.advance(now);
        // The oldest bucket is partly outside the window.
        let oldest = self.buckets[((self.newest + 1) % BUCKETS as u64) as usize].requests;
        let requests = f64::from(self.requests - oldest);
        let limit = USABLE_RATIO * self.ratio * requests + USABLE_SLACK * self.slack / entries.max(1) as f64;
        f64::from(self.extra + 1) <= limit
    }

    /// Counts an extra attempt if it may be sent now; returns whether it may.
    pub fn try_spend(&mut self, now: Instant, entries: usize) -> bool {
        let may_spend = self.may_spend(now, entries);
        if may_spend {
            self.newest_bucket().extra += 1;
            self.extra += 1;
        }
        may_spend
    }

    fn advance(&mut self, now: Instant) {
        let start = *self.start.get_or_insert(now);
        let index = (now.saturating_duration_since(start).as_nanos() / self.part_length.as_nanos()) as u64;
        if index.saturating_sub(self.newest) > BUCKETS as u64 {
            self.newest = index - BUCKETS as u64;
        }
        while self.newest < index {
            self.newest += 1;
            let stale = std::mem::take(self.newest_bucket());
            self.requests -= stale.requests;
            self.extra -= stale.extra;
        }
    }

    fn newest_bucket(&mut self) -> &mut Bucket {
        &mut self.buckets[(self.newest % BUCKETS as u64) as usize]
    }
}
