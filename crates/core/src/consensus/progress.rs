//! Replication progress of another replica.

use {
    super::Snapshot,
    crate::ids::{Incarnation, LogIndex},
    std::{collections::VecDeque, sync::Arc, time::Instant},
};

/// Replication progress of another replica, as tracked by the leader.
#[derive(Clone, Debug)]
pub(super) struct Progress {
    /// Highest incarnation seen; replies from lower ones are stale.
    pub incarnation: Incarnation,
    /// Whether that incarnation has reported that it applied its own `Admit`.
    pub admitted: bool,
    /// Index of the last entry that is known to be durable on the replica.
    pub match_index: LogIndex,
    /// Index of the next entry to send.
    pub next_index: LogIndex,
    /// Whether the index at which the logs match is unknown, in which case no entries are sent ahead.
    pub probing: bool,
    /// Last index and size of each unacknowledged message with entries.
    pub in_flight: VecDeque<(LogIndex, usize)>,
    /// Last heartbeat round that was acknowledged.
    pub acknowledged_round: u64,
    /// Snapshot transfer in progress.
    pub snapshot_transfer: Option<SnapshotTransfer>,
    /// When this incarnation was first seen.
    pub known_since: Instant,
    /// When a message of this incarnation last arrived; initially the same as `known_since`.
    pub last_heard_at: Instant,
}

/// A snapshot transfer, one piece at a time.
#[derive(Clone, Debug, Hash)]
pub(super) struct SnapshotTransfer {
    /// The snapshot.
    pub snapshot: Arc<Snapshot>,
    /// Offset of the piece that was sent last.
    pub offset: u64,
    /// Whether a piece was acknowledged since the last heartbeat; if not, the piece is sent again.
    pub has_progressed: bool,
}

impl Progress {
    pub fn new(now: Instant, incarnation: Incarnation, next_index: LogIndex) -> Self {
        Self {
            incarnation,
            admitted: false,
            match_index: 0,
            next_index,
            probing: true,
            in_flight: VecDeque::new(),
            acknowledged_round: 0,
            snapshot_transfer: None,
            known_since: now,
            last_heard_at: now,
        }
    }

    /// Updates the incarnation from a message; returns whether the message is from the current one.
    pub fn observe(&mut self, now: Instant, incarnation: Incarnation, admitted: bool) -> bool {
        if incarnation < self.incarnation {
            return false;
        }
        if incarnation > self.incarnation {
            *self = Self::new(now, incarnation, self.next_index);
        }
        self.last_heard_at = now;
        self.admitted |= admitted;
        true
    }

    /// Whether another message with entries of size `next` may be sent.
    pub fn has_room(&self, messages: usize, bytes: usize, next: usize) -> bool {
        let in_flight_bytes: usize = self.in_flight.iter().map(|(_, size)| size).sum();
        self.in_flight.is_empty() || self.in_flight.len() < messages && in_flight_bytes + next <= bytes
    }

    /// Records that the log of the replica is durable up to an entry.
    pub fn acknowledge(&mut self, index: LogIndex) {
        self.match_index = self.match_index.max(index);
        while self.in_flight.pop_front_if(|(last, _)| *last <= index).is_some() {}
        self.next_index = if self.probing { self.match_index + 1 } else { self.next_index.max(self.match_index + 1) };
        self.probing = false;
        if self.snapshot_transfer.as_ref().is_some_and(|transfer| transfer.snapshot.index <= self.match_index) {
            self.snapshot_transfer = None;
        }
    }

    /// Moves `next_index` back after a conflict; returns whether this changed anything. The replica reports the start
    /// of a term, which may be before the last entry that is known to match.
    pub fn back_up_to(&mut self, index: LogIndex) -> bool {
        let index = index.max(self.match_index);
        if index + 1 >= self.next_index && (!self.probing || index + 1 == self.next_index) {
            return false;
        }
        self.next_index = index + 1;
        self.probing = true;
        self.in_flight.clear();
        true
    }
}
