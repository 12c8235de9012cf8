//! Whether this replica is current, and whether its directory is complete.

use {
    crate::ids::LogIndex,
    std::time::{Duration, Instant},
};

/// Time between two events after which this process counts as frozen. What is in its sockets may be old. It is
/// shorter than the shortest election timeout, so that no leader is replaced during a freeze that goes unnoticed.
const FREEZE_THRESHOLD: Duration = Duration::from_millis(300);
/// Time within which every server announces itself to some replica: two announcements and their exchange.
const COMPLETE_AFTER: Duration = Duration::from_millis(3_500);
/// Time after a loss of contact within which a complete directory of this replica helps others. It is that of
/// two elections.
const COMPLETE_GRACE: Duration = Duration::from_secs(3);
/// Time for which a follower may lag behind what the leader has committed.
const MAX_LAG: Duration = Duration::from_millis(500);

/// Time without contact after which announcements are refused. Longer than an election, and than the start of a whole
/// fleet, during which no replica is current and servers have nobody else to turn to.
const ISOLATED_AFTER: Duration = Duration::from_secs(3);

/// Contact with the leader since the last time that it was lost.
///
/// A replica that has lost contact, or was frozen, is current again only once a leader has answered a question
/// that was asked since, and everything is applied that was committed when it answered. Messages that waited
/// in a socket show nothing.
#[derive(Clone, Debug)]
pub(super) struct LeaderContact {
    last_activity: Instant,
    /// First number of the questions that count.
    pub(super) min_request: u64,
    /// Last committed entry of the leader when it answered.
    target_index: Option<LogIndex>,
    current_since: Option<Instant>,
    /// When contact was lost; before the first contact, when the process started.
    lost_at: Instant,
    is_directory_complete: bool,
    /// Whether a complete directory was received since contact was lost.
    has_full_directory: bool,
    complete_until: Option<Instant>,
    /// An entry that was committed and not applied here, and the time at which that was noticed.
    lag: Option<(LogIndex, Instant)>,
}

impl LeaderContact {
    pub(super) fn new(now: Instant, min_request: u64) -> Self {
        Self {
            last_activity: now,
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

    /// Notes that the process runs; returns whether it was frozen.
    pub(super) fn record_activity(&mut self, now: Instant) -> bool {
        let was_frozen = now.saturating_duration_since(self.last_activity) > FREEZE_THRESHOLD;
        self.last_activity = now;
        was_frozen
    }

    /// Contact is lost; questions from `asked_from` on count.
    pub(super) fn mark_lost(&mut self, now: Instant, was_frozen: bool, min_request: u64) {
        self.complete_until = match self.is_directory_complete {
            _ if was_frozen => None,
            true => Some(now + COMPLETE_GRACE),
            false => self.complete_until,
        };
        // A loss while there is no contact does not begin the time anew, unless the process was frozen.
        if self.is_current() || was_frozen {
            self.lost_at = now;
        }
        self.min_request = min_request;
        (self.target_index, self.current_since, self.lag) = (None, None, None);
        (self.is_directory_complete, self.has_full_directory) = (false, false);
    }

    /// The leader answered a question that counts.
    pub(super) fn leader_responded(&mut self, commit: LogIndex) {
        self.target_index.get_or_insert(commit);
    }

    /// A complete directory was received in answer to a question that counts.
    pub(super) fn received_full_directory(&mut self) {
        self.has_full_directory = true;
    }

    /// The leader has committed an entry.
    pub(super) fn leader_committed(&mut self, now: Instant, commit: LogIndex, applied: LogIndex) {
        if self.lag.is_none() && commit > applied {
            self.lag = Some((commit, now));
        }
    }

    /// Whether this replica may become, or stay, current.
    pub(super) fn may_be_current(&mut self, now: Instant, leads: bool, applied: LogIndex) -> bool {
        if self.lag.is_some_and(|(index, _)| index <= applied) {
            self.lag = None;
        }
        let is_late = self.lag.is_some_and(|(_, since)| now.saturating_duration_since(since) > MAX_LAG);
        // The rounds of a leader are confirmed by answers to its own messages.
        leads || self.target_index.is_some_and(|target_index| applied >= target_index) && !is_late
    }

    pub(super) fn mark_current(&mut self, now: Instant) {
        self.current_since = Some(now);
    }

    pub(super) fn is_current(&self) -> bool {
        self.current_since.is_some()
    }

    /// Whether servers are to announce themselves to another replica, as what is heard here reaches nobody.
    pub(super) fn is_isolated(&self, now: Instant) -> bool {
        !self.is_current() && now.saturating_duration_since(self.lost_at) >= ISOLATED_AFTER
    }

    pub(super) fn is_directory_complete(&self) -> bool {
        self.is_directory_complete
    }

    /// Whether the directory is complete, or was until contact was lost a short time ago.
    pub(super) fn is_or_was_complete(&self, now: Instant) -> bool {
        self.is_directory_complete || self.complete_until.is_some_and(|until| now < until)
    }

    /// Checks whether the directory has become complete; returns whether it has just become so.
    pub(super) fn update_completeness(&mut self, now: Instant) -> bool {
        let is_due = self.current_since.is_some_and(|since| now.saturating_duration_since(since) >= COMPLETE_AFTER);
        let settles = !self.is_directory_complete && (is_due || self.is_current() && self.has_full_directory);
        self.is_directory_complete |= settles;
        settles
    }
}
