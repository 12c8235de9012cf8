//! Actions that membership requests from the task that drives it.

use {super::Heartbeat, crate::ids::InstanceId};

/// An action or notification for the task that drives membership.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum MembershipAction {
    /// Send a heartbeat.
    Send {
        /// Recipient.
        to: InstanceId,
        /// The heartbeat.
        heartbeat: Heartbeat,
    },
    /// No heartbeat of a peer for [`suspect_after`](super::MembershipOptions::suspect_after).
    Suspected(InstanceId),
    /// No heartbeat of a peer for [`lost_after`](super::MembershipOptions::lost_after).
    Lost(InstanceId),
    /// A peer that was unknown, suspected or lost is live.
    Returned(InstanceId),
    /// A peer has restarted with a newer incarnation.
    Restarted(InstanceId, u64),
}
