//! Replicated log among 1, 3 or 5 replicas, or among a dynamic group of voters and learners.
//!
//! Terms, pre-vote, check-quorum, append with pipelining, snapshots and catch-up, hand-over on a planned
//! stop, and re-admission of a replica that lost its data folder. See docs/notes/consensus.md.

mod action;
mod apply;
mod contacts;
mod election;
mod entry;
mod event;
mod fingerprint;
mod follower;
mod formation;
mod hand_over;
mod log;
mod member;
mod membership;
mod message;
mod options;
mod progress;
mod proposal;
mod readers;
mod reads;
mod recovered;
mod replica;
mod replication;
mod role;
mod snapshot;
mod transfer;
mod vote;
mod write;
mod writes;

use {
    contacts::Contacts,
    formation::Formation,
    log::Log,
    progress::{Progress, Transfer},
    role::{Leader, Role},
    transfer::Incoming,
    writes::{Effect, Held, Writes},
};

pub use {
    action::ConsensusAction,
    entry::{Entry, Payload},
    event::ConsensusEvent,
    member::{Member, Members},
    message::{Message, MessageBody},
    options::{COMMAND_BYTES, ConsensusOptions, MESSAGE_BYTES, PAYLOAD_BYTES},
    proposal::ProposalResult,
    recovered::Recovered,
    replica::Consensus,
    snapshot::Snapshot,
    vote::{Binding, Vote},
    write::Write,
};
