//! What a leader knows of another replica.

use {
    super::Snapshot,
    crate::ids::{Incarnation, LogIndex},
    std::{collections::VecDeque, sync::Arc, time::Instant},
};

/// What a leader knows of another replica.
#[derive(Clone, Debug)]
pub(super) struct Progress {
    /// Highest incarnation heard from; replies of lower ones are stale.
    pub incarnation: Incarnation,
    /// Whether that incarnation said that it has applied its own `Admit`.
    pub admitted: bool,
    /// Last entry that is durable there.
    pub match_index: LogIndex,
    /// Next entry to send.
    pub next_index: LogIndex,
    /// Whether it is not known yet where the logs agree, so that no entries are sent ahead.
    pub probing: bool,
    /// Last entry of each message with entries that has not been answered, with the size of its entries.
    pub in_flight: VecDeque<(LogIndex, usize)>,
    /// Last heartbeat round answered.
    pub acknowledged_round: u64,
    /// Snapshot on its way there.
    pub snapshot_transfer: Option<SnapshotTransfer>,
    /// Since when this incarnation is known.
    pub known_since: Instant,
    /// When this incarnation was heard last; before that, since when it is known.
    pub last_heard_at: Instant,
}

/// A snapshot on its way to a replica, one piece at a time.
#[derive(Clone, Debug, Hash)]
pub(super) struct SnapshotTransfer {
    /// The snapshot.
    pub snapshot: Arc<Snapshot>,
    /// Position of the piece that was sent last.
    pub offset: u64,
    /// Whether a piece was answered since the last heartbeat; if not, the piece is sent again.
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

    /// Takes the sender's incarnation; returns whether the message is of the current one.
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

    /// Whether one more message with entries may be on the way.
    pub fn has_room(&self, messages: usize, bytes: usize, next: usize) -> bool {
        let in_flight_bytes: usize = self.in_flight.iter().map(|(_, size)| size).sum();
        self.in_flight.is_empty() || self.in_flight.len() < messages && in_flight_bytes + next <= bytes
    }

    /// Notes that the log is durable there up to an entry.
    pub fn acknowledge(&mut self, index: LogIndex) {
        self.match_index = self.match_index.max(index);
        while self.in_flight.pop_front_if(|(last, _)| *last <= index).is_some() {}
        self.next_index = if self.probing { self.match_index + 1 } else { self.next_index.max(self.match_index + 1) };
        self.probing = false;
        if self.snapshot_transfer.as_ref().is_some_and(|transfer| transfer.snapshot.index <= self.match_index) {
            self.snapshot_transfer = None;
        }
    }

    /// Goes back to an entry that the logs may agree on; returns whether that is news. A replica names
    /// the start of a term, which may lie before what is known to match.
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
