//! Whether a server may get calls.

/// Whether a server may get calls, and how many.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Eligibility {
    /// The server takes its normal load.
    Usable,
    /// The server has recently become ready or was reinstated.
    WarmingUp {
        /// Share of its normal load that the server should get now, above 0 and below 1.
        share: f64,
    },
    /// The ejection is over; the server gets one trial call at a time.
    Trial,
    /// The server gets no calls.
    Ejected,
}
