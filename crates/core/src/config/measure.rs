//! Configuration of load measurement.

use crate::units::Share;

/// Budget for load measurement in the whole system, section `[measure]`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MeasureConfig {
    /// Maximum share of the slot time of all servers that probes may use.
    pub server_share: Share,
    /// Maximum share of the entries' processor time that probes and reports may use.
    pub entry_share: Share,
    /// Maximum number of bytes per second that probes and reports may send.
    pub bytes: u64,
}

impl Default for MeasureConfig {
    fn default() -> Self {
        Self { server_share: Share::from_millionths(5_000), entry_share: Share::from_millionths(5_000), bytes: 21_000 }
    }
}
