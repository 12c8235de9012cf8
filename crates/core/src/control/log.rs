//! State changes that are worth a log line.

use {
    crate::{
        currency::NotCurrent,
        ids::{ChangeNumber, Incarnation, InstanceId, ServerId, Term},
        registry::AnnouncementError,
    },
    derive_more::Display,
};

/// A state change that is worth a log line.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
pub enum ControlLog {
    /// A peer was silent for 1 s.
    #[display("peer {_0} is suspected")]
    Suspected(InstanceId),
    /// A peer was silent for 2 s.
    #[display("peer {_0} is lost")]
    Lost(InstanceId),
    /// A peer is live.
    #[display("peer {_0} is live")]
    Returned(InstanceId),
    /// A peer has restarted.
    #[display("peer {_0} restarted as incarnation {_1}")]
    Restarted(InstanceId, Incarnation),
    /// This instance leads the replicated log.
    #[display("leading term {_0}")]
    Leading(Term),
    /// This instance follows.
    #[display("following in term {_0}")]
    Following(Term),
    /// A change was installed.
    #[display("change {_0} installed")]
    Installed(ChangeNumber),
    /// A committed text cannot be parsed, for example because it was written by a newer version.
    #[display("change {_0} cannot be read by this version")]
    Unreadable(ChangeNumber),
    /// The instance may serve.
    #[display("ready to serve")]
    Ready,
    /// The instance may not serve.
    #[display("not ready to serve: {_0}")]
    NotReady(NotCurrent),
    /// An announcement was refused.
    #[display("announcement of {_0} refused: {_1}")]
    Refused(ServerId, AnnouncementError),
}
