//! Replicas and entries of a fleet with dynamic membership.
//!
//! An entry is an instance that accepts calls and forwards them to servers. A [`Replica`] owns the replicated log with
//! the ledger, and a directory of servers that the replicas synchronize with each other. An [`EntryLink`] polls one
//! current replica and installs its configuration and servers. Entries do not send each other messages, only
//! calls that they pass on. See section 6 of the design.

mod answer;
mod bounds;
mod config_update;
mod directory;
mod entry;
mod log_event;
mod message;
mod out_of_bounds;
mod record;
mod replica;
mod size;

use directory::{AnnouncementOutcome, Directory, MAX_SERVER_SILENCE};

pub use {
    answer::{ReplicaAnswer, check_submission},
    config_update::ConfigUpdate,
    entry::{EntryAction, EntryEvent, EntryLink, EntryOptions},
    log_event::FleetLogEvent,
    message::{
        DirectoryRevision, FleetMessage, Poll, PollResponse, ReceivedRecord, Records, Renewal, ReplicaName, Reply,
        Request, Servers, StatusRequest, StatusResponse, Suspects, UsableServer,
    },
    out_of_bounds::{BoundedPart, OutOfBounds},
    record::{MAX_INCARNATION, MAX_NAME_BYTES, RecordError, ServerRecord},
    replica::{Arrival, Replica, ReplicaAction, ReplicaEvent, ReplicaOptions},
};
