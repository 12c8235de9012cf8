//! State of one peer.

use {
    super::{Heartbeat, Status, peer_clock::PeerClock},
    crate::ids::{ChangeNumber, Incarnation},
    std::{collections::VecDeque, time::Instant},
};

/// Maximum number of installed change numbers that are kept with their times. If more changes than this are installed
/// within one round trip, only the acceptance of the oldest is delayed.
const MAX_HISTORY: usize = 16;

/// Liveness of a peer as last reported to the task.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Liveness {
    Unknown,
    Live,
    Suspected,
    Lost,
}

/// State of one peer.
#[derive(Clone, Debug)]
pub(super) struct Peer {
    pub(super) incarnation: Incarnation,
    pub(super) sequence: u64,
    /// Lower bound of the time at which the peer sent its last fresh heartbeat.
    pub(super) last_heard_at: Option<Instant>,
    pub(super) status: Status,
    pub(super) liveness: Liveness,
    pub(super) clock: PeerClock,
    /// Installed change numbers with the times at which they were first reported.
    pub(super) history: VecDeque<(ChangeNumber, Instant)>,
}

impl Peer {
    pub(super) fn new(now: Instant) -> Self {
        Self {
            incarnation: 0,
            sequence: 0,
            last_heard_at: None,
            status: Status::default(),
            liveness: Liveness::Unknown,
            clock: PeerClock::new(now),
            history: VecDeque::new(),
        }
    }

    /// Resets the state for a new incarnation; the reported liveness is kept.
    pub(super) fn restart(&mut self, now: Instant, incarnation: Incarnation) {
        *self = Self { incarnation, liveness: self.liveness, ..Self::new(now) };
    }

    /// Records a heartbeat. `sent` is a lower bound of its send time, known from its echo.
    pub(super) fn record_heartbeat(&mut self, now: Instant, heartbeat: Heartbeat, sent: Option<Instant>) {
        self.sequence = heartbeat.sequence;
        if let Some(sent) = sent {
            self.last_heard_at = self.last_heard_at.max(Some(sent));
            self.clock.calibrate(now, heartbeat.clock_ms, now.saturating_duration_since(sent));
        }
        let installed = heartbeat.status.installed;
        if self.history.back().is_none_or(|(number, _)| *number < installed) {
            self.history.push_back((installed, now));
            if self.history.len() > MAX_HISTORY {
                self.history.pop_front();
            }
        }
        self.status = heartbeat.status;
    }
}
