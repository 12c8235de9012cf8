//! State changes to be logged.

use {
    super::{OutOfBounds, RecordError},
    crate::{
        ids::{ChangeNumber, DataCentreId, Incarnation, InstanceId, ServerId, ServiceId, Term},
        quarantine::RequestFingerprint,
    },
    derive_more::Display,
};

/// A state change to be logged.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
pub enum FleetLogEvent {
    /// This replica became the leader of the replicated log.
    #[display("leading term {_0}")]
    BecameLeader(Term),
    /// This replica became a follower.
    #[display("following in term {_0}")]
    BecameFollower(Term),
    /// This replica is in contact with the leader and has applied all committed entries.
    #[display("replica is current")]
    Current,
    /// This replica may have outdated state.
    #[display("replica is no longer current")]
    NotCurrent,
    /// Records of an earlier run were restored.
    #[display("{_0} servers restored from the saved directory")]
    DirectoryRestored(usize),
    /// Another replica knows a later incarnation of this replica than its own.
    #[display("incarnation {_0} of this replica is known to others; taking a later one")]
    Renumbered(Incarnation),
    /// The directory of this replica is complete.
    #[display("directory is complete")]
    DirectoryComplete,
    /// A newer change was committed.
    #[display("change {_0} committed")]
    ChangeCommitted(ChangeNumber),
    /// A departure was committed.
    #[display("departure of server {_0} (incarnation {_1}) committed")]
    DepartureCommitted(ServerId, u64),
    /// A new incarnation of a server announced itself.
    #[display("server {_0} (incarnation {_1}) joined")]
    ServerJoined(ServerId, u64),
    /// A server was removed because it stopped announcing itself.
    #[display("server {_0} (incarnation {_1}) timed out and was removed")]
    ServerTimedOut(ServerId, u64),
    /// A server was removed because a newer one announced the same address.
    #[display("server {_0} (incarnation {_1}) was replaced by another server at the same address")]
    ServerReplaced(ServerId, u64),
    /// The entry installed a change.
    #[display("change {_0} installed")]
    ChangeInstalled(ChangeNumber),
    /// The replica in use has named a change for a second, and it has not arrived.
    #[display("change {_0} was named by the replica but has not arrived")]
    ChangeOverdue(ChangeNumber),
    /// A committed configuration cannot be parsed, for example because it was written by a newer version.
    #[display("change {_0} cannot be read by this version")]
    ChangeUnreadable(ChangeNumber),
    /// Parts of a message from an instance exceeded a limit and were dropped.
    #[display("message from {from}: {first} ({count} such parts)")]
    OutOfBounds {
        /// The sender.
        from: InstanceId,
        /// The first of the parts.
        first: OutOfBounds,
        /// Number of parts.
        count: usize,
    },
    /// A call names a server that cannot be in use, as its name exceeds the limit of a record.
    #[display("departure of a server whose name has {_0} bytes; no record can have it")]
    DepartureIgnored(usize),
    /// An announcement was refused.
    #[display("announcement refused: {_0}")]
    AnnouncementRefused(RecordError),
    /// An announcement with a service that the configuration does not name was ignored, because it concerns the id or the
    /// address of a server of a service that it names.
    #[display("announcement of server {_0} with the unknown service {_1} ignored")]
    UnknownService(ServerId, ServiceId),
    /// Several servers ended while they ran a request, which is not sent to any server for some time.
    #[display("request {_0} is quarantined")]
    RequestQuarantined(RequestFingerprint),
    /// The entry switched to another replica.
    #[display("using replica {_0}")]
    ReplicaSelected(InstanceId),
    /// The entry has no contact with a current replica and keeps its present configuration and servers.
    #[display("no contact with a current replica")]
    NoCurrentReplica,
    /// The evacuation of a data centre is committed.
    #[display("evacuation of data centre {_0} began")]
    EvacuationStarted(DataCentreId),
    /// The end of the evacuation of a data centre is committed.
    #[display("evacuation of data centre {_0} ended")]
    EvacuationEnded(DataCentreId),
    /// An order for a data centre may have waited until its sender gave it up.
    #[display("order to {} the evacuation of data centre {data_centre} may be outdated; its sender is redirected", if *is_active { "begin" } else { "end" })]
    EvacuationRedirected {
        /// The data centre.
        data_centre: DataCentreId,
        /// Whether the order is to evacuate it.
        is_active: bool,
    },
    /// An order for a data centre was not carried out.
    #[display("order to {} the evacuation of data centre {data_centre} not carried out: {reason}", if *is_active { "begin" } else { "end" })]
    EvacuationRefused {
        /// The data centre.
        data_centre: DataCentreId,
        /// Whether the order is to evacuate it.
        is_active: bool,
        /// Why it was not carried out.
        reason: &'static str,
    },
    /// A request waits because instances do not state that they read what it would put into the log.
    #[display("requests wait for instances that do not state level {level}: {instances}")]
    CapabilitiesMissing {
        /// The level that they need.
        level: u32,
        /// The instances, separated by commas. A replica is named for the entries that poll it too.
        instances: Box<str>,
    },
    /// The request of an operator that waited for instances is no longer held back.
    #[display("all instances state the level that the requests need")]
    CapabilitiesComplete,
}
