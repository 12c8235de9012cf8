//! What is known of one peer.

use {
    super::{Heartbeat, Status, peer_clock::PeerClock},
    crate::ids::{ChangeNumber, Incarnation},
    std::{collections::VecDeque, time::Instant},
};

/// Installed numbers that are remembered with their times. More changes than this within one round trip
/// only delay the acceptance of the oldest of them.
const MAX_HISTORY: usize = 16;

/// Judgement that was last reported.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Phase {
    Unknown,
    Live,
    Suspected,
    Lost,
}

/// What is known of one peer.
#[derive(Clone, Debug)]
pub(super) struct Peer {
    pub(super) incarnation: Incarnation,
    pub(super) sequence: u64,
    /// The peer sent its last heartbeat at this time or later.
    pub(super) heard: Option<Instant>,
    pub(super) status: Status,
    pub(super) phase: Phase,
    pub(super) clock: PeerClock,
    /// Installed numbers with the times at which they were first reported.
    pub(super) history: VecDeque<(ChangeNumber, Instant)>,
}

impl Peer {
    pub(super) fn new(now: Instant) -> Self {
        Self {
            incarnation: 0,
            sequence: 0,
            heard: None,
            status: Status::default(),
            phase: Phase::Unknown,
            clock: PeerClock::new(now),
            history: VecDeque::new(),
        }
    }

    /// Forgets everything that an older incarnation said.
    pub(super) fn restart(&mut self, now: Instant, incarnation: Incarnation) {
        *self = Self { incarnation, phase: self.phase, ..Self::new(now) };
    }

    /// Takes a heartbeat that was sent at `sent` or later.
    pub(super) fn take(&mut self, now: Instant, heartbeat: Heartbeat, sent: Option<Instant>) {
        self.sequence = heartbeat.sequence;
        if let Some(sent) = sent {
            self.heard = self.heard.max(Some(sent));
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
