//! Messages between the instances of a fleet.

use {
    super::ServerRecord,
    crate::{
        consensus::Message,
        ids::{ChangeNumber, DataCentreId, Incarnation, InstanceId, LogIndex, ServerId, ServiceId},
        ledger::ContentDigest,
    },
    serde::{Deserialize, Serialize},
    std::net::SocketAddr,
};

/// One message between instances. The link adds the sender and the incarnation of its process.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum FleetMessage {
    /// An entry asks a replica for news.
    Poll(Poll),
    /// Answer to a poll.
    PollResponse(PollResponse),
    /// A committed change for an entry to install.
    Install {
        /// Its number.
        number: ChangeNumber,
        /// Its text.
        text: Box<str>,
    },
    /// Usable servers for an entry.
    Servers(Servers),
    /// A message of the replicated log.
    Consensus(Message),
    /// A replica asks another one whether it is current, and for its directory.
    StatusRequest(StatusRequest),
    /// Answer to `StatusRequest`.
    StatusResponse(StatusResponse),
    /// What a replica heard from servers.
    Records(Records),
    /// A replica asks another one for records that it lacks.
    RecordRequest(Vec<ServerId>),
    /// Forwards a request to the leader.
    Request {
        /// Number of the request at its sender.
        number: u64,
        /// The request.
        request: Request,
    },
    /// Answers a forwarded request.
    Reply {
        /// Number of the request that is answered.
        number: u64,
        /// The answer.
        reply: Reply,
    },
}

/// An entry asks a replica for news.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Poll {
    /// Number of the poll; the answer repeats it.
    pub sequence: u64,
    /// Change that the entry holds; 0 for none.
    pub change: ChangeNumber,
    /// What the entry holds of this replica's directory.
    pub known: Option<DirectoryRevision>,
    /// Whether the entry only wants to know whether the replica is current.
    pub is_probe: bool,
}

/// What an entry holds of a replica's directory.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DirectoryRevision {
    /// Incarnation of the replica.
    pub incarnation: Incarnation,
    /// Revision of its directory.
    pub revision: u64,
    /// Whether the entry holds exactly this revision, and not more servers.
    pub is_exact: bool,
}

/// Name of a replica and where it runs.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReplicaName {
    /// The replica.
    pub id: InstanceId,
    /// Its data centre; empty if not known.
    pub data_centre: DataCentreId,
}

/// Answer to a poll.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PollResponse {
    /// Number of the poll that is answered.
    pub echo: u64,
    /// Whether the replica is in contact with the leader and has applied what was committed.
    pub is_current: bool,
    /// Whether its directory is complete.
    pub is_complete: bool,
    /// Newest change that it knows.
    pub change: ChangeNumber,
    /// Revision of its directory.
    pub revision: u64,
    /// Live entries of the fleet.
    pub entries: u32,
    /// Data centre of the replica.
    pub data_centre: DataCentreId,
    /// Other replicas.
    pub replicas: Vec<ReplicaName>,
}

/// Usable servers for an entry: the whole directory, or what changed after a revision.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Servers {
    /// Revision that this one builds on; none for a whole directory.
    pub from: Option<u64>,
    /// Revision that this one leads to.
    pub to: u64,
    /// Poll that this one answers; none if it is sent after a change.
    pub echo: Option<u64>,
    /// Whether the replica is current.
    pub is_current: bool,
    /// Whether its directory is complete.
    pub is_complete: bool,
    /// Usable servers.
    pub usable: Vec<UsableServer>,
    /// Servers that are no longer usable.
    pub removed: Vec<ServerId>,
    /// Committed departures, with the last incarnation that each binds.
    pub departed: Vec<(ServerId, u64)>,
}

/// A usable server.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct UsableServer {
    /// Name of the server.
    pub server: ServerId,
    /// Service that it belongs to.
    pub service: ServiceId,
    /// Where it listens.
    pub address: SocketAddr,
    /// Where it runs.
    pub data_centre: DataCentreId,
    /// Requests that it processes at a time.
    pub slots: u32,
    /// Time of its start.
    pub incarnation: u64,
    /// Time for which it is still slower than usual, in milliseconds.
    pub warm_up_ms: u32,
}

/// A replica asks another one whether it is current, and for its directory.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StatusRequest {
    /// Number of the question; the answer repeats it.
    pub number: u64,
    /// Whether the records are wanted too.
    pub include_records: bool,
    /// Data centre of the sender.
    pub data_centre: DataCentreId,
}

/// Answer to `StatusRequest`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StatusResponse {
    /// Number of the question.
    pub echo: u64,
    /// Time since the start of the sender, in milliseconds.
    pub clock_ms: u64,
    /// Whether the sender leads with a confirmed round.
    pub is_leading: bool,
    /// Whether its directory is complete, or was until contact was lost a short time ago.
    pub is_complete: bool,
    /// Last entry that it knows to be committed.
    pub commit: LogIndex,
    /// Data centre of the sender.
    pub data_centre: DataCentreId,
    /// Other replicas.
    pub replicas: Vec<ReplicaName>,
    /// Its directory, if it was asked for.
    pub records: Option<Vec<ReceivedRecord>>,
}

/// What a replica heard from servers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Records {
    /// Time since the start of the sender, in milliseconds. It shows a receiver that was frozen how long the
    /// message waited.
    pub clock_ms: u64,
    /// Live entries that poll the sender; none in messages between the batches.
    pub entries: Option<u32>,
    /// Last entry that the sender knows to be committed.
    pub commit: LogIndex,
    /// New and changed records.
    pub changed: Vec<ReceivedRecord>,
    /// Servers that announced themselves again without a change.
    pub renewed: Vec<Renewal>,
}

/// A record with the time since it was heard.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReceivedRecord {
    /// The record; the warm-up is what remained when it was heard.
    pub record: ServerRecord,
    /// Announcement that last changed the record.
    pub content: u64,
    /// Replica that heard it.
    pub received_by: InstanceId,
    /// Time since it was heard, in milliseconds.
    pub age_ms: u32,
}

/// A server that announced itself again without a change.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Renewal {
    /// The server.
    pub server: ServerId,
    /// Its incarnation.
    pub incarnation: u64,
    /// Number of the announcement.
    pub sequence: u64,
    /// Announcement that last changed the record. A receiver that holds an earlier one asks for the record.
    pub content: u64,
    /// Time since it was heard, in milliseconds.
    pub age_ms: u32,
}

/// A request that is forwarded to the leader.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Request {
    /// Submits a checked text.
    Submit {
        /// Number of the change.
        number: ChangeNumber,
        /// The text.
        text: Box<str>,
    },
    /// Records that an incarnation of a server takes no new work.
    Depart {
        /// The server.
        server: ServerId,
        /// Its incarnation; none for the one that is held, or any.
        incarnation: Option<u64>,
        /// Wall clock of the first receiver in Unix milliseconds.
        wall_ms: u64,
    },
    /// Asks for the newest change.
    Read,
}

/// Answer of the leader to a forwarded request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Reply {
    /// The departure is committed.
    Departed,
    /// The change is committed.
    Accepted(ContentDigest),
    /// Another text holds the number.
    Conflict(ContentDigest),
    /// The number is below the current one and is not known to have been accepted.
    Superseded(ChangeNumber),
    /// The text is too long for the log.
    TooLong,
    /// The newest change; number 0 before the first.
    Current {
        /// Its number.
        number: ChangeNumber,
        /// Its text.
        text: Box<str>,
    },
}
