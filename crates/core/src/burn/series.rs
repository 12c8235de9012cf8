//! Call counts of one service or customer over time, in bounded memory.

use {
    super::{Window, WindowCount},
    std::time::Duration,
};

/// Bucket width and number of buckets of each ring buffer: one for 5 min, one for up to 1 h and one for up to 3 d.
/// Each has one bucket more than its longest window needs because the newest bucket is incomplete; a window
/// therefore covers up to one bucket more than its length.
const RINGS: [(Duration, usize); 3] =
    [(Duration::from_secs(30), 11), (Duration::from_secs(5 * 60), 13), (Duration::from_secs(60 * 60), 73)];

/// Counts of one time interval. An hour at the target rate of 150,000 calls/s is 540 million calls, which fits in
/// 32 bits.
#[derive(Clone, Copy, Debug, Default)]
struct Bucket {
    good: u32,
    total: u32,
}

/// Ring buffer of buckets of one width. The position of a bucket is its index modulo the length.
#[derive(Clone, Debug)]
struct Ring {
    width: Duration,
    buckets: Box<[Bucket]>,
    newest: u64,
}

impl Ring {
    fn index(&self, age: Duration) -> u64 {
        age.as_secs() / self.width.as_secs()
    }

    fn add(&mut self, age: Duration, good: bool) {
        let index = self.index(age);
        let length = self.buckets.len() as u64;
        if index > self.newest {
            for stale in (self.newest + 1..=index).rev().take(self.buckets.len()) {
                self.buckets[(stale % length) as usize] = Bucket::default();
            }
            self.newest = index;
        }
        let bucket = &mut self.buckets[(self.newest % length) as usize];
        bucket.total = bucket.total.saturating_add(1);
        bucket.good = bucket.good.saturating_add(u32::from(good));
    }

    fn sum(&self, age: Duration, window: Duration) -> WindowCount {
        let length = self.buckets.len() as u64;
        let now = self.index(age).max(self.newest);
        let first = now.saturating_sub(window.as_secs() / self.width.as_secs());
        let oldest = (self.newest + 1).saturating_sub(length);
        let mut sum = WindowCount::default();
        for index in first.max(oldest)..=self.newest {
            let bucket = self.buckets[(index % length) as usize];
            sum.add(WindowCount { good: bucket.good.into(), total: bucket.total.into() });
        }
        sum
    }
}

/// Call counts of one service or customer at several resolutions.
#[derive(Clone, Debug)]
pub(super) struct Series([Ring; RINGS.len()]);

impl Series {
    pub(super) fn new() -> Self {
        Self(RINGS.map(|(width, length)| Ring { width, buckets: vec![Bucket::default(); length].into(), newest: 0 }))
    }

    /// Counts a call. `age` is the time since the counter was created.
    pub(super) fn add(&mut self, age: Duration, good: bool) {
        self.0.iter_mut().for_each(|ring| ring.add(age, good));
    }

    pub(super) fn sum(&self, age: Duration, window: Window) -> WindowCount {
        let ring = match window {
            Window::FiveMinutes => 0,
            Window::ThirtyMinutes | Window::OneHour => 1,
            Window::SixHours | Window::ThreeDays => 2,
        };
        self.0[ring].sum(age, window.length())
    }
}
