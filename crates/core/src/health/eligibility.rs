//! Whether a server may get calls.

/// Whether a server may get calls, and how many.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Eligibility {
    /// It takes its full part of the load.
    Usable,
    /// It became ready, or was let back, a moment ago.
    WarmingUp {
        /// Part of its normal load that it should get now, above 0 and below 1.
        share: f64,
    },
    /// Its ejection is over; one call at a time may try it.
    Trial,
    /// It gets no calls.
    Ejected,
}
