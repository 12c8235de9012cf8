//! What another entry said of its configuration.

use {
    crate::{ids::ChangeNumber, membership::Status},
    std::{collections::VecDeque, time::Instant},
};

/// What another entry last said of its configuration.
#[derive(Clone, Copy, Debug)]
pub struct PeerReport<'a> {
    /// The other entry.
    pub peer: &'a str,
    /// It said so at this time or later.
    pub last_heard_at: Instant,
    /// What it said.
    pub status: &'a Status,
    /// Rising numbers that its present incarnation installed, with the times at which it was first heard to
    /// have done so.
    pub history: &'a VecDeque<(ChangeNumber, Instant)>,
}
