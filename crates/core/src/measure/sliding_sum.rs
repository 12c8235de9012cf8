//! Sum of costs over a sliding window.

use {
    super::{MeasureCost, WINDOW},
    std::time::{Duration, Instant},
};

/// Parts into which a window is divided. A cost counts for up to one part longer than the window.
const PARTS: u32 = 64;
/// Buckets that overlap a window: one more than its parts, because a window may start within a bucket.
const BUCKETS: usize = PARTS as usize + 1;

/// Sum of costs over the window that ends now; it is never below the exact sum.
#[derive(Clone, Debug)]
pub(super) struct SlidingSum {
    start: Instant,
    buckets: Box<[MeasureCost; BUCKETS]>,
    newest: u64,
    total: MeasureCost,
}

impl SlidingSum {
    pub(super) fn new(now: Instant) -> Self {
        Self {
            start: now,
            buckets: Box::new([MeasureCost::default(); BUCKETS]),
            newest: 0,
            total: MeasureCost::default(),
        }
    }

    pub(super) fn add(&mut self, now: Instant, cost: MeasureCost) {
        self.advance(now);
        let bucket = self.newest_bucket();
        *bucket = bucket.plus(cost);
        self.total = self.total.plus(cost);
    }

    pub(super) fn sum(&mut self, now: Instant) -> MeasureCost {
        self.advance(now);
        self.total
    }

    fn advance(&mut self, now: Instant) {
        let width: Duration = WINDOW / PARTS;
        let index = (now.saturating_duration_since(self.start).as_nanos() / width.as_nanos()) as u64;
        let steps = index.saturating_sub(self.newest);
        if steps > BUCKETS as u64 {
            self.newest = index - BUCKETS as u64;
        }
        while self.newest < index {
            self.newest += 1;
            let stale = std::mem::take(self.newest_bucket());
            self.total = self.total.minus(stale);
        }
    }

    fn newest_bucket(&mut self) -> &mut MeasureCost {
        &mut self.buckets[(self.newest % BUCKETS as u64) as usize]
    }
}
