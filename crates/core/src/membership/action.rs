//! What membership asks its task to do.

use {super::Heartbeat, crate::ids::InstanceId};

/// One thing for the task to do or to know.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum MembershipAction {
    /// Send a heartbeat.
    Send {
        /// Recipient.
        to: InstanceId,
        /// Message.
        heartbeat: Heartbeat,
    },
    /// A peer has been silent for the first limit.
    Suspected(InstanceId),
    /// A peer has been silent for the second limit.
    Lost(InstanceId),
    /// A peer that was unknown, suspected or lost is live again.
    Returned(InstanceId),
    /// A peer runs as a newer incarnation.
    Restarted(InstanceId, u64),
}
