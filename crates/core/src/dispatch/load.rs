//! Load as a server reports it.

use serde::{Deserialize, Serialize};

/// Name of the response header in which a server reports its load.
pub const LOAD_HEADER: &str = "hemlockford-load";

/// Name of the request header, with value 1, that asks for a report in the answer.
pub const WANT_LOAD_HEADER: &str = "hemlockford-want-load";

/// Pace of a machine on which work takes its usual time, in percent.
pub const NOMINAL_PACE: u32 = 100;

/// Load of a server as the server reports it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadReport {
    /// Calls that the server is running or holds in its own queue.
    pub in_flight: u32,
    /// Calls that it can run at a time.
    pub slots: u32,
    /// How long work takes on the server's machine at this moment, in percent of the usual time.
    pub pace: u32,
}

impl LoadReport {
    /// Parses the header form `in_flight/slots`, which says nothing of the pace.
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
