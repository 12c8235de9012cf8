//! Messages between the instances of a fleet.

use {
    super::{ConfigUpdate, ServerRecord},
    crate::{
        consensus::Message,
        dispatch::RelayAddress,
        ids::{ChangeNumber, DataCentreId, Incarnation, InstanceId, LogIndex, ServerId, ServiceId},
        ledger::ContentDigest,
        quarantine::SuspectRecord,
        quota::{CreditRequest, CreditResponse},
    },
    derive_more::Debug,
    serde::{Deserialize, Serialize},
    std::net::SocketAddr,
};

/// A message between instances. The transport adds the sender and the incarnation of its process.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum FleetMessage {
    /// Requests updates from a replica; sent by an entry.
    Poll(Poll),
    /// Answer to `Poll`.
    PollResponse(PollResponse),
    /// A committed change for an entry to install.
    Install(ConfigUpdate),
    /// Usable servers for an entry.
    Servers(Servers),
    /// A message of the replicated log.
    Consensus(Message),
    /// Requests the status, and optionally the directory, of another replica.
    StatusRequest(StatusRequest),
    /// Answer to `StatusRequest`.
    StatusResponse(StatusResponse),
    /// Server records that the sender received.
    Records(Records),
    /// Requests the records of these servers from another replica.
    RecordRequest(Vec<ServerId>),
    /// Forwards a request to the leader.
    Request {
        /// Number of the request at its sender.
        number: u64,
        /// The request.
        request: Request,
    },
    /// Answer to a forwarded request.
    Reply {
        /// Number of the request that is answered.
        number: u64,
        /// The answer.
        reply: Reply,
    },
    /// The receiver has a lower incarnation than an earlier process under its name, the latest of which is this one.
    Outdated(Incarnation),
    /// Requests under which servers ended.
    Suspects(Suspects),
    /// Requests credit for calls of customers with a limit; sent by an entry to the leader.
    CreditRequest(CreditRequest),
    /// Answer to `CreditRequest`.
    CreditResponse(CreditResponse),
    /// States which configurations and commands the sender reads; an instance that does not send it reads those of
    /// level 1.
    Capabilities {
        /// Level of an entry, or the lowest level of a replica and the entries that poll it.
        level: u32,
    },
}

impl FleetMessage {
    /// Returns the name of the message for logs.
    pub(super) fn name(&self) -> &'static str {
        match self {
            Self::Poll(_) => "poll",
            Self::PollResponse(_) => "poll response",
            Self::Install(_) => "install",
            Self::Servers(_) => "servers",
            Self::Consensus(_) => "consensus",
            Self::StatusRequest(_) => "status request",
            Self::StatusResponse(_) => "status response",
            Self::Records(_) => "records",
            Self::RecordRequest(_) => "record request",
            Self::Request { .. } => "request",
            Self::Reply { .. } => "reply",
            Self::Outdated(_) => "outdated",
            Self::Suspects(_) => "suspects",
            Self::CreditRequest(_) => "credit request",
            Self::CreditResponse(_) => "credit response",
            Self::Capabilities { .. } => "capabilities",
        }
    }
}

/// Requests updates from a replica; sent by an entry.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Poll {
    /// Sequence number of the poll, which the answer repeats.
    pub sequence: u64,
    /// Number of the change that the entry has installed; 0 for none.
    pub change: ChangeNumber,
    /// Revision of this replica's directory that the entry has received.
    pub known: Option<DirectoryRevision>,
    /// Whether the entry only checks if the replica is current, and needs no updates.
    pub is_probe: bool,
    /// Servers, with their incarnations, that told the entry in an answer that they are leaving.
    pub leaving: Vec<(ServerId, u64)>,
    /// Digest of the suspected requests that the entry knows.
    pub suspects: u64,
    /// Address at which the entry takes calls from other entries, if it does.
    pub relay: Option<SocketAddr>,
}

/// Revision of a replica's directory that an entry has received.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DirectoryRevision {
    /// Incarnation of the replica.
    pub incarnation: Incarnation,
    /// Revision of its directory.
    pub revision: u64,
    /// Whether the entry's servers match this revision exactly. If not, the entry has additional servers.
    pub is_exact: bool,
}

/// Id and data centre of a replica.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReplicaName {
    /// Id of the replica.
    pub id: InstanceId,
    /// Data centre; empty if unknown.
    pub data_centre: DataCentreId,
}

/// Answer to a poll.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PollResponse {
    /// Sequence number of the poll.
    pub echo: u64,
    /// Whether the replica is in contact with the leader and has applied all committed entries.
    pub is_current: bool,
    /// Whether its directory is complete.
    pub is_complete: bool,
    /// Newest committed change that the replica has applied.
    pub change: ChangeNumber,
    /// Revision of its directory.
    pub revision: u64,
    /// Number of live entries in the fleet.
    pub entries: u32,
    /// Index of the entry among them: those of one replica after those of another, in the order of names.
    pub position: u32,
    /// Data centre of the replica.
    pub data_centre: DataCentreId,
    /// Other replicas.
    pub replicas: Vec<ReplicaName>,
    /// Some entries that take calls from other entries.
    pub relays: Vec<RelayAddress>,
}

/// Usable servers for an entry: the full directory, or the changes since a revision.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Servers {
    /// Revision to which the changes apply; `None` for a full directory.
    pub from: Option<u64>,
    /// Revision of the directory after this update.
    pub to: u64,
    /// Sequence number of the poll that is answered; `None` for an update that was not requested.
    pub echo: Option<u64>,
    /// Whether the replica is current.
    pub is_current: bool,
    /// Whether its directory is complete.
    pub is_complete: bool,
    /// Usable servers.
    pub usable: Vec<UsableServer>,
    /// Servers that are no longer usable.
    pub removed: Vec<ServerId>,
    /// Committed departures with the last departed incarnation of each server.
    pub departed: Vec<(ServerId, u64)>,
}

/// A usable server.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct UsableServer {
    /// Name of the server.
    pub server: ServerId,
    /// Service that it belongs to.
    pub service: ServiceId,
    /// Address on which it listens.
    pub address: SocketAddr,
    /// Data centre in which it runs.
    pub data_centre: DataCentreId,
    /// Maximum number of concurrent requests.
    pub slots: u32,
    /// Incarnation: the start time in Unix milliseconds.
    pub incarnation: u64,
    /// Remaining warm-up, during which it is slower than usual, in milliseconds.
    pub warm_up_ms: u32,
}

/// Requests the status, and optionally the directory, of another replica.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StatusRequest {
    /// Number of the request, which the answer repeats.
    pub number: u64,
    /// Whether the answer is to include the directory.
    pub include_records: bool,
    /// Data centre of the sender.
    pub data_centre: DataCentreId,
}

/// Answer to `StatusRequest`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StatusResponse {
    /// Number of the request.
    pub echo: u64,
    /// Uptime of the sender, in milliseconds.
    pub clock_ms: u64,
    /// Whether the sender leads and a majority has confirmed its leadership recently.
    pub is_leading: bool,
    /// Whether its directory is complete, or was so until it recently lost contact.
    pub is_complete: bool,
    /// Index of the last log entry that it knows to be committed.
    pub commit_index: LogIndex,
    /// Data centre of the sender.
    pub data_centre: DataCentreId,
    /// Other replicas.
    pub replicas: Vec<ReplicaName>,
    /// Its directory, if requested.
    pub records: Option<Vec<ReceivedRecord>>,
}

/// Server records that the sender received.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Records {
    /// Uptime of the sender, in milliseconds. A receiver that was frozen uses it to determine how long the message was
    /// delayed.
    pub clock_ms: u64,
    /// Number of live entries that poll the sender; `None` in messages that are not the first of a batch.
    pub entries: Option<u32>,
    /// Index of the last log entry that the sender knows to be committed.
    pub commit_index: LogIndex,
    /// Digest of the suspected requests that the sender knows.
    pub suspects: u64,
    /// Some entries that take calls from other entries and poll the sender.
    pub relays: Vec<RelayAddress>,
    /// New and changed records.
    pub changed: Vec<ReceivedRecord>,
    /// Servers that announced themselves again without changes.
    pub renewed: Vec<Renewal>,
}

/// Requests under which servers ended.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Suspects {
    /// Digest of all suspected requests that the sender knows, if these are all; `None` if they are only news.
    pub digest: Option<u64>,
    /// The requests.
    pub records: Vec<SuspectRecord>,
}

/// A server record with the time since it was received.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReceivedRecord {
    /// The record, with the warm-up that remained when it was received.
    pub record: ServerRecord,
    /// Sequence number of the announcement that last changed the record.
    pub content_sequence: u64,
    /// Replica that received the announcement from the server.
    pub received_by: InstanceId,
    /// Time since the last announcement was received, in milliseconds.
    pub age_ms: u32,
}

/// A server that announced itself again without changes.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Renewal {
    /// The server.
    pub server: ServerId,
    /// Incarnation of the server.
    pub incarnation: u64,
    /// Sequence number of the announcement.
    pub sequence: u64,
    /// Sequence number of the announcement that last changed the record. A receiver with an older record requests the
    /// record.
    pub content_sequence: u64,
    /// Time since the announcement was received, in milliseconds.
    pub age_ms: u32,
}

/// A request that is forwarded to the leader.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Request {
    /// Submits a validated configuration.
    Submit {
        /// Number of the change.
        number: ChangeNumber,
        /// Configuration text.
        #[debug("{} bytes", text.len())]
        text: Box<str>,
    },
    /// Records that an incarnation of a server no longer accepts requests.
    Depart {
        /// The server.
        server: ServerId,
        /// Departing incarnation; `None` for the one in the directory or, if there is none, any that started before
        /// now.
        incarnation: Option<u64>,
        /// Wall clock time at the first receiver, in Unix milliseconds.
        wall_ms: u64,
    },
    /// Asks for the newest change.
    Read,
    /// Orders that the servers of a data centre get no calls, or withdraws such an order.
    Evacuate {
        /// The data centre.
        data_centre: DataCentreId,
        /// Whether its servers get no calls.
        is_active: bool,
        /// Index of the last order for the data centre that the sender had applied when it received this one. The order
        /// is not carried out if a later one was recorded: it may be a late copy.
        known: LogIndex,
        /// Wall clock time at the first receiver, in Unix milliseconds.
        wall_ms: u64,
    },
}

/// Answer of the leader to a forwarded request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Reply {
    /// The departure is committed.
    Departed,
    /// The change is committed.
    Accepted(ContentDigest),
    /// A different change was accepted with this number.
    Conflict(ContentDigest),
    /// The number is below the current one and is not known to have been accepted.
    Superseded(ChangeNumber),
    /// The configuration is too long for the log.
    TooLong,
    /// The newest change; number 0 before the first.
    Current {
        /// Number of the change.
        number: ChangeNumber,
        /// Configuration text.
        #[debug("{} bytes", text.len())]
        text: Box<str>,
    },
    /// The order to evacuate a data centre, or its withdrawal, is committed.
    Evacuated,
    /// The request was not carried out and may be sent again.
    Unavailable,
}
