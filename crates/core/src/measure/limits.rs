//! The budget in absolute figures.

use {
    super::{MeasureCost, WINDOW},
    crate::{config::MeasureConfig, units::Share},
    std::time::Duration,
};

/// What one entry may spend in any one-second window without a loan.
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
    /// The part of one entry.
    pub per_entry: MeasureCost,
}

impl MeasureLimits {
    /// Divides the budget of the text. `slots` counts the slots of all servers whose lease is valid;
    /// `roster` is the number of entries in the settings, whether they live or not.
    pub fn new(measure: &MeasureConfig, slots: u32, roster: u32) -> Self {
        let slot_time = part(measure.server_share, WINDOW.saturating_mul(slots));
        let system = MeasureCost { slot_time, processor: Duration::ZERO, bytes: measure.bytes };
        // The share of the processor time of all entries, divided among them, is that share of one's per_entry.
        let processor = part(measure.entry_share, WINDOW);
        Self { per_entry: MeasureCost { processor, ..system.divided(roster) } }
    }
}

fn part(share: Share, whole: Duration) -> Duration {
    whole.mul_f64(share.fraction())
}
