//! Bounds of a search.

use derive_more::Display;

/// How often each kind of step may happen on one path, and the size of the search.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Display)]
#[display(
    "steps {steps}, states {states}, changes {changes}, reads {reads}, timers {timers}, crashes {crashes}, lost folders \
     {losses}, drops {drops}, overtakes {overtakes}, delays {delays}, interrupts {interrupts}, slow writes {slow}, \
     stops {stops}"
)]
pub struct Bounds {
    /// Longest path.
    pub steps: u32,
    /// States after which the search ends without being complete.
    pub states: usize,
    /// Changes submitted.
    pub changes: u64,
    /// Reads.
    pub reads: u64,
    /// Timers that fire: heartbeats of leaders, elections, and hellos of replicas without a leader.
    pub timers: u32,
    /// Crashes.
    pub crashes: u32,
    /// Folders lost.
    pub losses: u32,
    /// Messages lost.
    pub drops: u32,
    /// Messages that arrive before an older one.
    pub overtakes: u32,
    /// Times that everything sent to one replica is held back for a while.
    pub delays: u32,
    /// Steps other than a delivery that happen while messages are on their way.
    pub interrupts: u32,
    /// Writes that become durable after later events.
    pub slow: u32,
    /// Planned stops.
    pub stops: u32,
}
