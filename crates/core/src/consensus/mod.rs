//! Replicated log among 1, 3 or 5 replicas.
//!
//! Terms, pre-vote, check-quorum, append with pipelining, snapshots and catch-up, hand-over on a planned
//! stop, and re-admission of a replica that lost its data folder. See docs/notes/consensus.md.

mod action;
mod entry;
mod event;
mod member;
mod message;
mod options;
mod proposal;
mod recovered;
mod snapshot;
mod vote;

pub use {
    action::ConsensusAction,
    entry::{Entry, Payload},
    event::ConsensusEvent,
    member::{Member, Members},
    message::{Message, MessageBody},
    options::{COMMAND_BYTES, ConsensusOptions, MESSAGE_BYTES, PAYLOAD_BYTES},
    proposal::ProposalResult,
    recovered::Recovered,
    snapshot::Snapshot,
    vote::{Binding, Vote},
};
