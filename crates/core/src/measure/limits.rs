//! Limits of the measuring budget in absolute figures.

use {
    super::{MeasureCost, WINDOW},
    crate::{config::MeasureConfig, units::Share},
    std::time::Duration,
};

/// Limits of one entry in any window of one second, without loans.
///
/// ```
/// use {hemlockford_core::{measure::MeasureLimits, config::MeasureConfig}, std::time::Duration};
/// // 36 servers with 2 slots each and 7 entries: 0.5% of 72 s of slot time, in 7 parts.
/// let limits = MeasureLimits::new(&MeasureConfig::default(), 72, 7);
/// assert_eq!(limits.per_entry.slot_time, Duration::from_millis(360) / 7);
/// assert_eq!(limits.per_entry.bytes, 3_000);
/// ```
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct MeasureLimits {
    /// The share of one entry.
    pub per_entry: MeasureCost,
}

impl MeasureLimits {
    /// Divides the configured budget among the entries. `slots` is the number of slots of all servers with a
    /// valid lease; `entries` is the number of entries in the settings, live or not.
    pub fn new(measure: &MeasureConfig, slots: u32, entries: u32) -> Self {
        let slot_time = share_of(measure.server_share, WINDOW.saturating_mul(slots));
        let system = MeasureCost { slot_time, processor: Duration::ZERO, bytes: measure.bytes };
        // An equal part of a share of all entries' processor time is the same share of this entry's.
        let processor = share_of(measure.entry_share, WINDOW);
        Self { per_entry: MeasureCost { processor, ..system.divided(entries) } }
    }
}

fn share_of(share: Share, whole: Duration) -> Duration {
    whole.mul_f64(share.fraction())
}
