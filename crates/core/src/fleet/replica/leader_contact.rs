//! Tracks whether this replica is current and whether its directory is complete.

use {
    crate::ids::LogIndex,
    std::time::{Duration, Instant},
};

/// Time between two events above which this process is assumed to have been frozen, so that messages in its sockets may
/// be old. It is shorter than the minimum election timeout, so that no leader is replaced during an undetected freeze.
const FREEZE_THRESHOLD: Duration = Duration::from_millis(300);
/// Time after which the directory counts as complete: within it every server announces itself to some replica. It
/// covers two announcements and their exchange between replicas.
const COMPLETE_AFTER: Duration = Duration::from_millis(3_500);
/// Time after a loss of contact during which the directory of this replica still counts as complete for other replicas.
/// It covers two elections.
const COMPLETE_GRACE: Duration = Duration::from_secs(3);
/// Maximum time for which a follower may lag behind the commit index of the leader and stay current.
const MAX_LAG: Duration = Duration::from_millis(500);

/// Time after a freeze within which the connections that were opened meanwhile are accepted.
const BACKLOG_TIME: Duration = Duration::from_secs(2);

/// Time without contact after which announcements are refused. It is longer than an election and the start of an entire
/// fleet, during which no replica is current and servers have no alternative.
const ISOLATED_AFTER: Duration = Duration::from_secs(3);

/// State of the contact with the leader since it was last lost.
///
/// A replica that lost contact or was frozen becomes current again once a leader has answered a status request sent
/// after that, and all entries committed at the time of the answer are applied. Older messages that were queued in a
/// socket do not count.
#[derive(Clone, Debug)]
pub(super) struct LeaderContact {
    last_activity: Instant,
    /// End of the last freeze.
    resumed_at: Option<Instant>,
    /// Number of the first status request sent since contact was lost.
    pub(super) min_request: u64,
    /// Commit index of the leader when it answered.
    target_index: Option<LogIndex>,
    current_since: Option<Instant>,
    /// Time at which contact was lost; before the first contact, the start time of the process.
    lost_at: Instant,
    is_directory_complete: bool,
    /// Whether a complete directory has been received since contact was lost.
    has_full_directory: bool,
    complete_until: Option<Instant>,
    /// Index of a committed entry that is not applied here, and the time at which this was detected.
    lag: Option<(LogIndex, Instant)>,
}

impl LeaderContact {
    pub(super) fn new(now: Instant, min_request: u64) -> Self {
        Self {
            last_activity: now,
            resumed_at: None,
            min_request,
            target_index: None,
            current_since: None,
            lost_at: now,
            is_directory_complete: false,
            has_full_directory: false,
            complete_until: None,
            lag: None,
        }
    }

    /// Records that the process is running; returns whether it was frozen before.
    pub(super) fn record_activity(&mut self, now: Instant) -> bool {
        let was_frozen = now.saturating_duration_since(self.last_activity) > FREEZE_THRESHOLD;
        self.last_activity = now;
        if was_frozen {
            self.resumed_at = Some(now);
        }
        was_frozen
    }

    /// Returns whether a connection that was accepted at this time may have been open while this process was frozen.
    pub(super) fn may_have_waited(&self, accepted_at: Instant) -> bool {
        self.resumed_at.is_some_and(|resumed_at| accepted_at < resumed_at + BACKLOG_TIME)
    }

    /// Records a loss of contact. Only status requests from number `min_request` on count from now on.
    pub(super) fn mark_lost(&mut self, now: Instant, was_frozen: bool, min_request: u64) {
        self.complete_until = match self.is_directory_complete {
            _ if was_frozen => None,
            true => Some(now + COMPLETE_GRACE),
            false => self.complete_until,
        };
        // A loss while there is no contact does not restart the period, unless the process was frozen.
        if self.is_current() || was_frozen {
            self.lost_at = now;
        }
        self.min_request = min_request;
        (self.target_index, self.current_since, self.lag) = (None, None, None);
        (self.is_directory_complete, self.has_full_directory) = (false, false);
    }

    /// Records that the leader answered a recent status request.
    pub(super) fn leader_responded(&mut self, commit: LogIndex) {
        self.target_index.get_or_insert(commit);
    }

    /// Records that a complete directory was received in answer to a recent status request.
    pub(super) fn received_full_directory(&mut self) {
        self.has_full_directory = true;
    }

    /// Records the commit index of the leader.
    pub(super) fn leader_committed(&mut self, now: Instant, commit: LogIndex, applied: LogIndex) {
        if self.lag.is_none() && commit > applied {
            self.lag = Some((commit, now));
        }
    }

    /// Returns whether this replica may become or stay current.
    pub(super) fn may_be_current(&mut self, now: Instant, is_leader: bool, applied: LogIndex) -> bool {
        if self.lag.is_some_and(|(index, _)| index <= applied) {
            self.lag = None;
        }
        let is_late = self.lag.is_some_and(|(_, since)| now.saturating_duration_since(since) > MAX_LAG);
        // A leader is confirmed by the answers of a majority to its own messages.
        is_leader || self.target_index.is_some_and(|target_index| applied >= target_index) && !is_late
    }

    pub(super) fn mark_current(&mut self, now: Instant) {
        self.current_since = Some(now);
    }

    pub(super) fn is_current(&self) -> bool {
        self.current_since.is_some()
    }

    /// Returns whether servers must announce themselves to another replica, because announcements received here do not
    /// reach the others.
    pub(super) fn is_isolated(&self, now: Instant) -> bool {
        !self.is_current() && now.saturating_duration_since(self.lost_at) >= ISOLATED_AFTER
    }

    pub(super) fn is_directory_complete(&self) -> bool {
        self.is_directory_complete
    }

    /// Returns whether the directory is complete, or was so until contact was recently lost.
    pub(super) fn is_or_was_complete(&self, now: Instant) -> bool {
        self.is_directory_complete || self.complete_until.is_some_and(|until| now < until)
    }

    /// Checks whether the directory has become complete; returns whether it became so in this call.
    pub(super) fn update_completeness(&mut self, now: Instant) -> bool {
        let is_due = self.current_since.is_some_and(|since| now.saturating_duration_since(since) >= COMPLETE_AFTER);
        let settles = !self.is_directory_complete && (is_due || self.is_current() && self.has_full_directory);
        self.is_directory_complete |= settles;
        settles
    }
}
