//! Contact of an entry with the pool of one leader.

use {
    super::{CUT_OFF_AFTER, OWN_PART_UNTIL},
    crate::ids::InstanceId,
    std::time::Instant,
};

/// Contact of an entry with the pool of one leader.
#[derive(Clone, Debug)]
pub(super) struct Session {
    pub(super) id: u32,
    pub(super) leader: InstanceId,
    /// Number of the last request that was answered.
    pub(super) answered: u64,
    /// When that request was sent.
    pub(super) answered_sent_at: Instant,
    /// Whether the instance has stated since that it does not lead, so that it lends nothing any more.
    pub(super) is_over: bool,
}

impl Session {
    /// Returns when the entry is cut off if no later request is answered.
    pub(super) fn cut_off_at(&self) -> Instant {
        self.answered_sent_at + CUT_OFF_AFTER
    }

    pub(super) fn is_cut_off(&self, now: Instant) -> bool {
        now >= self.cut_off_at()
    }

    /// Returns whether the entry may use its own part of the rates.
    pub(super) fn may_use_own_part(&self, now: Instant) -> bool {
        self.is_cut_off(now) && !self.is_outdated(now)
    }

    /// Returns whether the leader may have forgotten this entry.
    pub(super) fn is_outdated(&self, now: Instant) -> bool {
        now >= self.answered_sent_at + OWN_PART_UNTIL
    }

    /// Returns whether the leader no longer uses the part of this entry, so that another one may.
    pub(super) fn has_ended(&self, now: Instant) -> bool {
        self.is_over || self.is_cut_off(now)
    }
}
