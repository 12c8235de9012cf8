//! What a leader knows of another replica.

use {
    super::Snapshot,
    crate::ids::{Incarnation, LogIndex},
    std::{collections::VecDeque, sync::Arc},
};

/// What a leader knows of another replica.
#[derive(Debug)]
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
    /// Last entry of each message with entries that has not been answered.
    pub in_flight: VecDeque<LogIndex>,
    /// Last heartbeat round answered.
    pub round: u64,
    /// Snapshot on its way there.
    pub transfer: Option<Transfer>,
}

/// A snapshot on its way to a replica, one piece at a time.
#[derive(Debug)]
pub(super) struct Transfer {
    /// The snapshot.
    pub snapshot: Arc<Snapshot>,
    /// Position of the piece that was sent last.
    pub offset: u64,
    /// Whether a piece was answered since the last heartbeat; if not, the piece is sent again.
    pub moved: bool,
}

impl Progress {
    pub fn new(incarnation: Incarnation, next: LogIndex) -> Self {
        Self {
            incarnation,
            admitted: false,
            matched: 0,
            next,
            probing: true,
            in_flight: VecDeque::new(),
            round: 0,
            transfer: None,
        }
    }

    /// Takes the sender's incarnation; returns whether the message is of the current one.
    pub fn observe(&mut self, incarnation: Incarnation, admitted: bool) -> bool {
        if incarnation < self.incarnation {
            return false;
        }
        if incarnation > self.incarnation {
            *self = Self::new(incarnation, self.next);
        }
        self.admitted |= admitted;
        true
    }

    /// Notes that the log is durable there up to an entry.
    pub fn matched(&mut self, index: LogIndex) {
        self.matched = self.matched.max(index);
        while self.in_flight.pop_front_if(|last| *last <= index).is_some() {}
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
