//! What membership is told.

use {
    super::{Heartbeat, Status},
    crate::ids::InstanceId,
};

/// One thing that membership is told.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum MembershipEvent {
    /// Time has passed.
    Tick,
    /// A heartbeat has arrived.
    Receive {
        /// Sender.
        from: InstanceId,
        /// Message.
        heartbeat: Heartbeat,
    },
    /// The state of this instance to report from now on.
    Report(Status),
    /// Send a heartbeat to every peer at once.
    Hasten,
    /// Send a heartbeat to every peer at once, and ask for one in return.
    Prompt,
}
