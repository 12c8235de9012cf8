//! Configuration reports of peers.

use {
    crate::{ids::ChangeNumber, membership::Status},
    std::{collections::VecDeque, time::Instant},
};

/// The last report of a peer about its configuration.
#[derive(Clone, Copy, Debug)]
pub struct PeerReport<'a> {
    /// Name of the peer.
    pub peer: &'a str,
    /// Earliest time at which the report can have been made.
    pub last_heard_at: Instant,
    /// The reported status.
    pub status: &'a Status,
    /// Change numbers that the current incarnation of the peer installed, in increasing order, with the times of the
    /// first reports of them.
    pub history: &'a VecDeque<(ChangeNumber, Instant)>,
}
