//! Options of membership.

use {
    super::{HEARTBEAT_INTERVAL, LOST_AFTER, SUSPECT_AFTER},
    crate::ids::{Incarnation, InstanceId},
    std::time::Duration,
};

/// Options of [`Membership`](super::Membership).
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MembershipOptions {
    /// Id of this instance.
    pub id: InstanceId,
    /// Incarnation of this process.
    pub incarnation: Incarnation,
    /// The other instances of the roster.
    pub peers: Vec<InstanceId>,
    /// Interval between heartbeats.
    pub heartbeat_interval: Duration,
    /// Time without a heartbeat after which a peer is suspected.
    pub suspect_after: Duration,
    /// Time without a heartbeat after which a peer counts as lost.
    pub lost_after: Duration,
}

impl Default for MembershipOptions {
    fn default() -> Self {
        Self {
            id: "entry".into(),
            incarnation: 1,
            peers: Vec::new(),
            heartbeat_interval: HEARTBEAT_INTERVAL,
            suspect_after: SUSPECT_AFTER,
            lost_after: LOST_AFTER,
        }
    }
}
