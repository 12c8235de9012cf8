//! Clock that counts the time for which the machine is suspended.

use {
    rustix::time::{ClockId, clock_gettime},
    std::{
        sync::{
            OnceLock,
            atomic::{AtomicU64, Ordering},
        },
        time::{Duration, Instant},
    },
};

/// Difference between the clocks that is not taken for a suspension.
const TOLERANCE: Duration = Duration::from_millis(5);

static SYSTEM: OnceLock<BootClock> = OnceLock::new();
/// Time for which the machine was suspended since the clock was first read, in milliseconds.
static SUSPENDED_MS: AtomicU64 = AtomicU64::new(0);

/// Clock that counts the time for which the machine is suspended, unlike [`Instant::now`] (`CLOCK_MONOTONIC`).
///
/// Leases, ages of messages and timeouts that other instances rely on are measured with it. Otherwise an instance that
/// wakes would take what it held before for recent, and its messages would look as old to others as it was suspended.
/// Its times are `Instant`s, which must not be compared with those of `Instant::now`.
#[derive(Clone, Copy, Debug)]
pub struct BootClock {
    base: Instant,
    /// Reading of the boot clock at `base`.
    base_reading: Duration,
}

impl BootClock {
    /// Creates a clock that shows `base` when the boot clock reads `base_reading`.
    pub fn new(base: Instant, base_reading: Duration) -> Self {
        Self { base, base_reading }
    }

    /// Returns the time at a reading of the boot clock.
    ///
    /// ```
    /// use {hemlockford_net::BootClock, std::time::{Duration, Instant}};
    /// let base = Instant::now();
    /// let clock = BootClock::new(base, Duration::from_secs(60));
    /// assert_eq!(clock.at(Duration::from_secs(65)), base + Duration::from_secs(5));
    /// ```
    pub fn at(&self, reading: Duration) -> Instant {
        self.base + reading.saturating_sub(self.base_reading)
    }

    /// Returns the present time. All callers in a process use the same clock.
    ///
    /// ```
    /// use hemlockford_net::BootClock;
    /// let earlier = BootClock::now();
    /// assert!(BootClock::now() >= earlier);
    /// ```
    pub fn now() -> Instant {
        let reading = read();
        SYSTEM.get_or_init(|| Self::new(Instant::now(), reading)).at(reading)
    }

    /// Returns the time of `Instant::now` that corresponds to a time of this clock, for timers and for parts that use
    /// the steady clock. Equal times give equal results until the machine is suspended.
    ///
    /// ```
    /// use {hemlockford_net::BootClock, std::time::{Duration, Instant}};
    /// let steady = BootClock::to_steady(BootClock::now() + Duration::from_secs(9));
    /// assert!(steady > Instant::now() + Duration::from_secs(8));
    /// ```
    pub fn to_steady(at: Instant) -> Instant {
        at.checked_sub(suspended_time()).unwrap_or(at)
    }
}

/// Returns the time for which the machine was suspended since the clock was first read.
fn suspended_time() -> Duration {
    let before = Instant::now();
    let now = BootClock::now();
    let after = Instant::now();
    // The process may have waited for the processor between the readings.
    let (least, most) = (now.saturating_duration_since(after), now.saturating_duration_since(before));
    let known = Duration::from_millis(SUSPENDED_MS.load(Ordering::Relaxed));
    if least <= known + TOLERANCE && known <= most + TOLERANCE {
        return known;
    }
    let millis = u64::try_from(least.as_millis()).unwrap_or(u64::MAX);
    SUSPENDED_MS.store(millis, Ordering::Relaxed);
    Duration::from_millis(millis)
}

fn read() -> Duration {
    let reading = clock_gettime(ClockId::Boottime);
    Duration::new(u64::try_from(reading.tv_sec).unwrap_or_default(), u32::try_from(reading.tv_nsec).unwrap_or_default())
}
