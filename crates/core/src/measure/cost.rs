//! Cost of a probe or a load report.

use {
    serde::{Deserialize, Serialize},
    std::time::Duration,
};

/// Cost of a probe or a load report, or an amount of budget per window.
///
/// ```
/// use {hemlockford_core::measure::MeasureCost, std::time::Duration};
/// let probe = MeasureCost { slot_time: Duration::from_millis(6), processor: Duration::ZERO, bytes: 300 };
/// let budget = MeasureCost { slot_time: Duration::from_millis(5), processor: Duration::ZERO, bytes: 3_000 };
/// assert!(!probe.fits(&budget));
/// ```
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct MeasureCost {
    /// Time for which a slot of a server is used.
    pub slot_time: Duration,
    /// Processor time of the entry.
    pub processor: Duration,
    /// Bytes sent and received.
    pub bytes: u64,
}

impl MeasureCost {
    /// Returns whether no component exceeds that of `limit`.
    pub fn fits(&self, limit: &Self) -> bool {
        self.slot_time <= limit.slot_time && self.processor <= limit.processor && self.bytes <= limit.bytes
    }

    /// Returns the sum of two costs.
    pub fn plus(self, other: Self) -> Self {
        Self {
            slot_time: self.slot_time.saturating_add(other.slot_time),
            processor: self.processor.saturating_add(other.processor),
            bytes: self.bytes.saturating_add(other.bytes),
        }
    }

    /// Returns the difference of two costs, with components of at least zero.
    pub fn minus(self, other: Self) -> Self {
        Self {
            slot_time: self.slot_time.saturating_sub(other.slot_time),
            processor: self.processor.saturating_sub(other.processor),
            bytes: self.bytes.saturating_sub(other.bytes),
        }
    }

    /// Returns one of `count` equal parts, rounded down.
    pub fn divided(self, count: u32) -> Self {
        let count = count.max(1);
        Self {
            slot_time: self.slot_time / count,
            processor: self.processor / count,
            bytes: self.bytes / u64::from(count),
        }
    }
}
