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
    pub matched: LogIndex,
    /// Next entry to send.
    pub next: LogIndex,
    /// Whether it is not known yet where the logs agree, so that no entries are sent ahead.
    pub probing: bool,
    /// Last entry of each message with entries that has not been answered, with the size of its entries.
    pub in_flight: VecDeque<(LogIndex, usize)>,
    /// Last heartbeat round answered.
    pub round: u64,
    /// Snapshot on its way there.
    pub transfer: Option<Transfer>,
    /// Since when this incarnation is known.
    pub since: Instant,
    /// When this incarnation was heard last; before that, since when it is known.
    pub heard_at: Instant,
}

/// A snapshot on its way to a replica, one piece at a time.
#[derive(Clone, Debug, Hash)]
pub(super) struct Transfer {
    /// The snapshot.
    pub snapshot: Arc<Snapshot>,
    /// Position of the piece that was sent last.
    pub offset: u64,
    /// Whether a piece was answered since the last heartbeat; if not, the piece is sent again.
    pub moved: bool,
}

impl Progress {
    pub fn new(now: Instant, incarnation: Incarnation, next: LogIndex) -> Self {
        Self {
            incarnation,
            admitted: false,
            matched: 0,
            next,
            probing: true,
            in_flight: VecDeque::new(),
            round: 0,
            transfer: None,
            since: now,
            heard_at: now,
        }
    }

    /// Takes the sender's incarnation; returns whether the message is of the current one.
    pub fn observe(&mut self, now: Instant, incarnation: Incarnation, admitted: bool) -> bool {
        if incarnation < self.incarnation {
            return false;
        }
        if incarnation > self.incarnation {
            *self = Self::new(now, incarnation, self.next);
        }
        self.heard_at = now;
        self.admitted |= admitted;
        true
    }

    /// Whether one more message with entries may be on the way.
    pub fn has_room(&self, messages: usize, bytes: usize, next: usize) -> bool {
        let on_the_way: usize = self.in_flight.iter().map(|(_, size)| size).sum();
        self.in_flight.is_empty() || self.in_flight.len() < messages && on_the_way + next <= bytes
    }

    /// Notes that the log is durable there up to an entry.
    pub fn matched(&mut self, index: LogIndex) {
        self.matched = self.matched.max(index);
        while self.in_flight.pop_front_if(|(last, _)| *last <= index).is_some() {}
        self.next = if self.probing { self.matched + 1 } else { self.next.max(self.matched + 1) };
        self.probing = false;
        if self.transfer.as_ref().is_some_and(|transfer| transfer.snapshot.index <= self.matched) {
            self.transfer = None;
        }
    }

    /// Goes back to an entry that the logs may agree on; returns whether that is news. A replica names
    /// the start of a term, which may lie before what is known to match.
    pub fn retry_after(&mut self, index: LogIndex) -> bool {
        let index = index.max(self.matched);
        if index + 1 >= self.next && (!self.probing || index + 1 == self.next) {
            return false;
        }
        self.next = index + 1;
        self.probing = true;
        self.in_flight.clear();
        true
    }
}
