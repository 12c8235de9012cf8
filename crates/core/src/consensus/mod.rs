//! Raft consensus among 1, 3 or 5 fixed replicas, or among a dynamic group of voters and learners.
//!
//! Implements pre-vote, check-quorum, pipelined log replication, snapshots, leadership transfer on a planned stop,
//! and re-admission of a replica that lost its data folder. See docs/notes/consensus.md.

mod action;
mod apply;
mod discovery;
mod election;
mod entry;
mod event;
mod fingerprint;
mod follower;
mod formation;
mod hard_state;
mod leadership_transfer;
mod log;
mod member;
mod membership;
mod message;
mod options;
mod progress;
mod proposal;
mod queries;
mod reads;
mod recovered;
mod replica;
mod replication;
mod role;
mod snapshot;
mod snapshot_transfer;
mod write;
mod writes;

use {
    discovery::Discovery,
    formation::Formation,
    log::Log,
    progress::{Progress, SnapshotTransfer},
    role::{Leader, Role},
    snapshot_transfer::IncomingSnapshot,
    writes::{Deferred, WriteEffect, Writes},
};

pub use {
    action::ConsensusAction,
    entry::{Entry, Payload},
    event::ConsensusEvent,
    hard_state::{GroupProposal, HardState},
    member::{Member, Members},
    message::{Message, MessageBody},
    options::{ConsensusOptions, MAX_COMMAND_BYTES, MAX_MESSAGE_BYTES, MAX_PAYLOAD_BYTES},
    proposal::ProposalResult,
    recovered::Recovered,
    replica::Consensus,
    snapshot::Snapshot,
    write::Write,
};
