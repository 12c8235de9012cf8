//! Replicas and entries of a fleet, in which instances come and go.
//!
//! A [`Replica`] owns the replicated log with the ledger and a directory of servers, which the replicas
//! exchange. An [`EntryLink`] polls one current replica and installs its text and servers. Entries never talk
//! to each other. See section 6 of the design.

mod answer;
mod bounds;
mod directory;
mod entry;
mod log_event;
mod message;
mod record;
mod replica;
mod size;

use directory::{AnnouncementOutcome, Directory, MAX_SERVER_SILENCE};

pub use {
    answer::ReplicaAnswer,
    entry::{EntryAction, EntryEvent, EntryLink, EntryOptions},
    log_event::FleetLogEvent,
    message::{
        DirectoryRevision, FleetMessage, Poll, PollResponse, ReceivedRecord, Records, Renewal, ReplicaName, Reply,
        Request, Servers, StatusRequest, StatusResponse, UsableServer,
    },
    record::{MAX_NAME_BYTES, ServerRecord},
    replica::{Replica, ReplicaAction, ReplicaEvent, ReplicaOptions},
};
