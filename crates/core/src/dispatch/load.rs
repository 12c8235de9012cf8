//! Load reports of servers.

use serde::{Deserialize, Serialize};

/// Name of the response header in which a server reports its load.
pub const LOAD_HEADER: &str = "hemlockford-load";

/// Name of the request header, with value 1, that asks for a load report in the answer.
pub const WANT_LOAD_HEADER: &str = "hemlockford-want-load";

/// Pace of a machine that runs at its nominal speed, in percent.
pub const NOMINAL_PACE: u32 = 100;

/// Load that a server reports about itself.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadReport {
    /// Calls that the server is running or has queued.
    pub in_flight: u32,
    /// Calls that it can run concurrently.
    pub slots: u32,
    /// Current duration of work on the server's machine, in percent of the nominal duration.
    pub pace: u32,
}

impl LoadReport {
    /// Parses the header value `in_flight/slots`, which does not contain the pace.
    ///
    /// ```
    /// use hemlockford_core::dispatch::LoadReport;
    /// assert_eq!(LoadReport::parse("1/2"), Some(LoadReport { in_flight: 1, slots: 2, pace: 100 }));
    /// assert_eq!(LoadReport::parse("busy"), None);
    /// ```
    pub fn parse(text: &str) -> Option<Self> {
        let (in_flight, slots) = text.split_once('/')?;
        Some(Self { in_flight: in_flight.parse().ok()?, slots: slots.parse().ok()?, pace: NOMINAL_PACE })
    }
}
