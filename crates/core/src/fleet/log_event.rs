//! State changes that are worth a log line.

use {
    crate::ids::{ChangeNumber, InstanceId, ServerId, Term},
    derive_more::Display,
};

/// A state change that is worth a log line.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
pub enum FleetLogEvent {
    /// This replica leads the replicated log.
    #[display("leading term {_0}")]
    BecameLeader(Term),
    /// This replica follows.
    #[display("following in term {_0}")]
    BecameFollower(Term),
    /// This replica is in contact with the leader and has applied what was committed.
    #[display("current")]
    Current,
    /// This replica may present old state.
    #[display("not current")]
    NotCurrent,
    /// Records of an earlier run were read back.
    #[display("{_0} servers read back from the saved directory")]
    DirectoryRestored(usize),
    /// The directory of this replica is complete.
    #[display("directory settled")]
    DirectoryComplete,
    /// The log holds a newer change.
    #[display("change {_0} committed")]
    ChangeCommitted(ChangeNumber),
    /// A departure was committed.
    #[display("departure of server {_0} incarnation {_1} committed")]
    DepartureCommitted(ServerId, u64),
    /// A server was heard for the first time in this incarnation.
    #[display("server {_0} incarnation {_1} joined")]
    ServerJoined(ServerId, u64),
    /// A server was removed after a silence.
    #[display("server {_0} incarnation {_1} is silent and was removed")]
    ServerTimedOut(ServerId, u64),
    /// A server was removed because a later one announced its address.
    #[display("server {_0} incarnation {_1} was replaced at its address")]
    ServerReplaced(ServerId, u64),
    /// The entry installed a change.
    #[display("change {_0} installed")]
    ChangeInstalled(ChangeNumber),
    /// A committed text cannot be parsed, for example because it was written by a newer version.
    #[display("change {_0} cannot be read by this version")]
    ChangeUnreadable(ChangeNumber),
    /// The entry uses another replica.
    #[display("using replica {_0}")]
    ReplicaSelected(InstanceId),
    /// The entry hears no current replica and keeps what it holds.
    #[display("no current replica is heard")]
    NoCurrentReplica,
}
