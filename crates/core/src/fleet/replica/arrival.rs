//! What a replica knows of the time at which an order was sent.

use {crate::ids::LogIndex, std::time::Instant};

/// What a replica knows of the time at which an order was sent. An order has no version, so that one whose sender has given
/// it up cannot be told from a new one by its content.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Arrival {
    /// The order is the first request on a connection that was accepted at this time, and the sender waits for the answer.
    Accepted(Instant),
    /// The order may have been sent at any earlier time.
    Unknown,
    /// The sender was redirected, and sent the order again with the index of the last order for the data centre at that
    /// time; 0 if there was none.
    Redirected(LogIndex),
}
