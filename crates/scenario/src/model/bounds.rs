//! Bounds of a state space search.

use derive_more::Display;

/// Maximum number of steps of each kind on one path, and maximum size of the search.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Display)]
#[display(
    "steps {steps}, states {states}, changes {changes}, reads {reads}, timers {timers}, crashes {crashes}, lost folders \
     {losses}, drops {drops}, overtakes {overtakes}, delays {delays}, interrupts {interrupts}, slow writes {slow}, \
     stops {stops}"
)]
pub struct Bounds {
    /// Maximum number of steps on a path.
    pub steps: u32,
    /// Number of states after which the search stops as incomplete.
    pub states: usize,
    /// Submitted changes.
    pub changes: u64,
    /// Reads.
    pub reads: u64,
    /// Timers that fire: heartbeats of leaders, election timeouts, and hello messages of replicas without a leader.
    pub timers: u32,
    /// Crashes.
    pub crashes: u32,
    /// Lost data folders.
    pub losses: u32,
    /// Lost messages.
    pub drops: u32,
    /// Messages delivered before an older one.
    pub overtakes: u32,
    /// Periods in which all messages to one replica are delayed.
    pub delays: u32,
    /// Steps other than deliveries while messages are in flight.
    pub interrupts: u32,
    /// Writes that become durable after later events.
    pub slow: u32,
    /// Planned stops.
    pub stops: u32,
}
