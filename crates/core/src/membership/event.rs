//! Input events of membership.

use {
    super::{Heartbeat, Status},
    crate::ids::InstanceId,
};

/// An input event of membership.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum MembershipEvent {
    /// Periodic timer.
    Tick,
    /// A heartbeat has arrived.
    Receive {
        /// Sender.
        from: InstanceId,
        /// The heartbeat.
        heartbeat: Heartbeat,
    },
    /// Sets the state of this instance that heartbeats carry from now on.
    Report(Status),
    /// Sends a heartbeat to every peer immediately.
    SendNow,
    /// Sends a heartbeat to every peer immediately and requests one in return.
    RequestHeartbeats,
}
