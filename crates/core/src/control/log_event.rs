//! State changes that are worth a log line.

use {
    crate::{
        freshness::NotCurrent,
        ids::{ChangeNumber, Incarnation, InstanceId, ServerId, Term},
        registry::AnnouncementError,
    },
    derive_more::Display,
};

/// A state change that is worth a log line.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
pub enum ControlLogEvent {
    /// A peer was silent for 1 s.
    #[display("peer {_0} is suspected")]
    PeerSuspected(InstanceId),
    /// A peer was silent for 2 s.
    #[display("peer {_0} is lost")]
    PeerLost(InstanceId),
    /// A peer is live.
    #[display("peer {_0} is live")]
    PeerLive(InstanceId),
    /// A peer has restarted.
    #[display("peer {_0} restarted as incarnation {_1}")]
    PeerRestarted(InstanceId, Incarnation),
    /// This instance leads the replicated log.
    #[display("leading term {_0}")]
    BecameLeader(Term),
    /// This instance follows.
    #[display("following in term {_0}")]
    BecameFollower(Term),
    /// A change was installed.
    #[display("change {_0} installed")]
    ChangeInstalled(ChangeNumber),
    /// A committed text cannot be parsed, for example because it was written by a newer version.
    #[display("change {_0} cannot be read by this version")]
    ChangeUnreadable(ChangeNumber),
    /// The instance may serve.
    #[display("ready to serve")]
    Ready,
    /// The instance may not serve.
    #[display("not ready to serve: {_0}")]
    NotReady(NotCurrent),
    /// An announcement was refused.
    #[display("announcement of {_0} refused: {_1}")]
    AnnouncementRefused(ServerId, AnnouncementError),
}
