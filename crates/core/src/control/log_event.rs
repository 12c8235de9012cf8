//! State changes that are logged.

use {
    crate::{
        freshness::NotCurrent,
        ids::{ChangeNumber, Incarnation, InstanceId, ServerId, Term},
        registry::AnnouncementError,
    },
    derive_more::Display,
};

/// A state change that is logged.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
pub enum ControlLogEvent {
    /// No message from a peer for 1 s.
    #[display("peer {_0} is suspected")]
    PeerSuspected(InstanceId),
    /// No message from a peer for 2 s.
    #[display("peer {_0} is lost")]
    PeerLost(InstanceId),
    /// A peer is live, either for the first time or again.
    #[display("peer {_0} is live")]
    PeerLive(InstanceId),
    /// A peer has restarted.
    #[display("peer {_0} restarted as incarnation {_1}")]
    PeerRestarted(InstanceId, Incarnation),
    /// This instance became the leader of the replicated log.
    #[display("leading term {_0}")]
    BecameLeader(Term),
    /// This instance became a follower, or its leader changed.
    #[display("following in term {_0}")]
    BecameFollower(Term),
    /// A change was installed.
    #[display("change {_0} installed")]
    ChangeInstalled(ChangeNumber),
    /// A committed configuration cannot be parsed, for example because a newer version wrote it.
    #[display("change {_0} cannot be read by this version")]
    ChangeUnreadable(ChangeNumber),
    /// The instance may serve calls.
    #[display("ready to serve")]
    Ready,
    /// The instance must not serve calls.
    #[display("not ready to serve: {_0}")]
    NotReady(NotCurrent),
    /// An announcement was rejected.
    #[display("announcement of server {_0} rejected: {_1}")]
    AnnouncementRefused(ServerId, AnnouncementError),
}
