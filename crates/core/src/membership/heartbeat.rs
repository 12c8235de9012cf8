//! The heartbeat message.

use {
    crate::{
        ids::{ChangeNumber, Incarnation, InstanceId, Term},
        registry::Digest,
    },
    serde::{Deserialize, Serialize},
};

/// The last heartbeat that the sender received from the recipient.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Echo {
    /// Incarnation of the recipient that sent it.
    pub incarnation: Incarnation,
    /// Its sequence.
    pub sequence: u64,
}

/// What an instance knows of the consensus leader.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConsensusHint {
    /// Highest term seen.
    pub term: Term,
    /// Leader of that term, where known.
    pub leader: Option<InstanceId>,
}

/// State of an instance, as its heartbeats report it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Status {
    /// Number of the installed change; 0 before the first.
    pub installed: ChangeNumber,
    /// Whether the instance has learned, since it started, the highest number accepted before its start.
    /// Only then does its report say anything about what was accepted.
    pub informed: bool,
    /// Whether it serves calls.
    pub ready: bool,
    /// Digest of its announced servers.
    pub digest: Digest,
    /// What it knows of the consensus leader.
    pub hint: ConsensusHint,
}

/// A message that shows that its sender is alive.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// Incarnation of the sender.
    pub incarnation: Incarnation,
    /// Number that rises with every heartbeat of one incarnation.
    pub sequence: u64,
    /// Time since the start of the sender, in milliseconds.
    pub clock_ms: u64,
    /// The last heartbeat that the sender received from the recipient.
    pub echo: Option<Echo>,
    /// Whether the recipient is asked to send a heartbeat at once.
    pub prompt: bool,
    /// State of the sender.
    pub status: Status,
}
