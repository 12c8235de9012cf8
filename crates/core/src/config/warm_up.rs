//! Warm-up of the servers of a service.

use {crate::units::Decimal, std::time::Duration};

/// How long a server of the service is cold after its start, and which rate of calls it tolerates meanwhile.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct WarmUp {
    /// Time after the start of a server during which it is cold.
    pub duration: Duration,
    /// Calls per second that a cold server tolerates from all entries together; 0 for any number.
    pub rate: Decimal,
}
