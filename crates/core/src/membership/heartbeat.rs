//! Heartbeat message.

use {
    crate::{
        ids::{ChangeNumber, Incarnation, InstanceId, Term},
        registry::Digest,
    },
    serde::{Deserialize, Serialize},
};

/// Identifies the last heartbeat that the sender received from the recipient.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Echo {
    /// Incarnation of the recipient when it sent that heartbeat.
    pub incarnation: Incarnation,
    /// Sequence number of that heartbeat.
    pub sequence: u64,
}

/// What an instance knows of the consensus leader.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConsensusHint {
    /// Highest term seen.
    pub term: Term,
    /// Leader of that term, if known.
    pub leader: Option<InstanceId>,
}

/// State of an instance as reported in its heartbeats.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Status {
    /// Number of the installed change; 0 before the first.
    pub installed: ChangeNumber,
    /// Whether the instance has learned, since it started, the highest change number that was accepted before its
    /// start. Until then its report says nothing about which changes were accepted.
    pub informed: bool,
    /// Whether the instance serves calls.
    pub ready: bool,
    /// Digest of the servers it knows.
    pub digest: Digest,
    /// The consensus leader it knows of.
    pub hint: ConsensusHint,
}

/// A message that shows that its sender is alive and reports its state.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// Incarnation of the sender.
    pub incarnation: Incarnation,
    /// Sequence number, which increases with every heartbeat of one incarnation.
    pub sequence: u64,
    /// Uptime of the sender, in milliseconds.
    pub clock_ms: u64,
    /// The last heartbeat that the sender received from the recipient.
    pub echo: Option<Echo>,
    /// Whether the recipient is asked to send a heartbeat immediately.
    pub reply_requested: bool,
    /// State of the sender.
    pub status: Status,
}
