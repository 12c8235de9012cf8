//! Registry state of one server.

use {
    super::{Announcement, SERVER_LEASE, TOMBSTONE},
    crate::dispatch::{ServerState, ServerView},
    std::time::{Duration, Instant},
};

/// Inverse of the tolerated rate difference between two clocks (200 ppm). Without this tolerance a server whose clock
/// is 50 ppm slow would look 4.3 s late after a day and lose its lease.
const DRIFT_DIVISOR: i64 = 5_000;

/// Minimum time between the arrivals of two announcements that confirm each other: half the announcement interval.
/// Announcements that were delayed in the same queue arrive closer together.
const MIN_CONFIRMATION_GAP_MS: i64 = 400;

/// Maximum difference between the delays of two announcements that confirm each other. If the delays differ more, at
/// least one announcement was late.
const MAX_AGE_DIFFERENCE_MS: i64 = 100;

/// Remaining lifetime of a tombstone below which it is excluded from digests, because entries drop it at slightly
/// different times.
const DIGEST_EXCLUSION_MS: i64 = 5_000;

/// Registry state of one server. All times are in milliseconds since the start of the registry.
#[derive(Clone, Debug)]
pub(super) struct RegisteredServer {
    pub(super) announcement: Announcement,
    /// Smallest observed time at which the server's clock was zero.
    min_offset_ms: i64,
    min_offset_at_ms: i64,
    /// Time at which the server's clock was zero, according to the last announcement alone.
    last_offset_ms: i64,
    ready_since_ms: i64,
    /// Arrival time of the first announcement while its delay is unknown.
    unconfirmed_since_ms: Option<i64>,
    /// Whether the last relayed record is still correct except for the lease.
    pub(super) is_relayed: bool,
    /// Whether the dispatcher's latest view includes the server.
    pub(super) is_visible: bool,
}

impl RegisteredServer {
    pub(super) fn new(now_ms: i64, age_ms: i64, announcement: Announcement, is_delay_unknown: bool) -> Self {
        Self {
            min_offset_ms: now_ms - age_ms - announcement.uptime_ms as i64,
            min_offset_at_ms: now_ms,
            last_offset_ms: now_ms - age_ms - announcement.uptime_ms as i64,
            ready_since_ms: now_ms,
            unconfirmed_since_ms: is_delay_unknown.then_some(now_ms),
            is_relayed: false,
            is_visible: false,
            announcement,
        }
    }

    /// Applies an announcement of the same incarnation with a higher sequence number. Returns whether anything other
    /// than the lease changed.
    pub(super) fn renew(&mut self, now_ms: i64, age_ms: i64, mut announcement: Announcement) -> bool {
        self.calibrate(now_ms, age_ms, announcement.uptime_ms);
        self.last_offset_ms = now_ms - age_ms - announcement.uptime_ms as i64;
        if self.announcement.is_final() && !announcement.is_final() {
            announcement.state = self.announcement.state;
        }
        let previous = &self.announcement;
        if previous.state != ServerState::Ready && announcement.state == ServerState::Ready {
            self.ready_since_ms = now_ms;
        }
        let is_same = Announcement {
            sequence: previous.sequence,
            uptime_ms: previous.uptime_ms,
            in_flight: previous.in_flight,
            ..announcement.clone()
        } == *previous;
        self.announcement = announcement;
        self.is_relayed &= is_same;
        !is_same
    }

    /// Updates the clock offset from a message of this incarnation.
    pub(super) fn calibrate(&mut self, now_ms: i64, age_ms: i64, uptime_ms: u64) {
        let offset = now_ms - age_ms - uptime_ms as i64;
        if let Some(first) = self.unconfirmed_since_ms {
            if offset < self.min_offset_ms - MAX_AGE_DIFFERENCE_MS {
                // The first announcement was late, so this is the first one that may have been on time.
                self.unconfirmed_since_ms = Some(now_ms);
            } else if now_ms - first >= MIN_CONFIRMATION_GAP_MS && offset <= self.min_offset_ms + MAX_AGE_DIFFERENCE_MS
            {
                self.confirm_delay();
            }
        }
        let drift = (now_ms - self.min_offset_at_ms) / DRIFT_DIVISOR;
        let with_drift = self.min_offset_ms + drift;
        if offset < with_drift {
            self.min_offset_ms = offset;
            self.min_offset_at_ms = now_ms;
        } else if drift > 0 {
            self.min_offset_ms = with_drift;
            self.min_offset_at_ms = now_ms;
        }
    }

    /// Returns whether an announcement of this incarnation is known to have been late.
    pub(super) fn is_late(&self, now_ms: i64, age_ms: i64, uptime_ms: u64) -> bool {
        !self.is_delay_unknown() && now_ms - age_ms - uptime_ms as i64 > self.min_offset_ms + MAX_AGE_DIFFERENCE_MS
    }

    /// Marks the delay of announcements as known. The full record is relayed again so that other entries learn of it.
    pub(super) fn confirm_delay(&mut self) {
        if self.unconfirmed_since_ms.take().is_some() {
            self.is_relayed = false;
        }
    }

    /// Returns the age of the last announcement. While the delay is unknown this is the time since its arrival,
    /// because an age computed from an earlier message must not confirm that message at another entry.
    pub(super) fn age_ms(&self, now_ms: i64) -> i64 {
        let sent_ms = match self.is_delay_unknown() {
            true => self.last_offset_ms + self.announcement.uptime_ms as i64,
            false => self.sent_ms(),
        };
        (now_ms - sent_ms).max(0)
    }

    /// Returns whether the delay of the announcements is unknown.
    pub(super) fn is_delay_unknown(&self) -> bool {
        self.unconfirmed_since_ms.is_some()
    }

    pub(super) fn lease_end_ms(&self) -> i64 {
        self.sent_ms() + SERVER_LEASE.as_millis() as i64
    }

    /// Returns whether new calls may be sent now, or once the server has started.
    pub(super) fn is_usable(&self, now_ms: i64) -> bool {
        !self.announcement.is_final() && !self.is_delay_unknown() && now_ms < self.lease_end_ms()
    }

    /// Returns whether the server can be dropped from the registry.
    pub(super) fn is_expired(&self, now_ms: i64) -> bool {
        now_ms >= self.expiry_ms()
    }

    /// Returns whether digests include the server: while its lease is valid, or while its departure is remembered.
    pub(super) fn is_in_digest(&self, now_ms: i64) -> bool {
        self.is_usable(now_ms) || (self.announcement.is_final() && now_ms < self.expiry_ms() - DIGEST_EXCLUSION_MS)
    }

    pub(super) fn view(&self, base: Instant) -> ServerView {
        let at = |ms: i64| base + Duration::from_millis(ms.max(0) as u64);
        ServerView {
            id: self.announcement.server.clone(),
            incarnation: self.announcement.incarnation,
            address: self.announcement.address,
            data_centre: self.announcement.data_centre.clone(),
            slots: self.announcement.slots,
            connections: self.announcement.connections,
            state: self.announcement.state,
            lease_end: at(self.lease_end_ms()),
            ready_since: at(self.ready_since_ms),
            warm_at: at(self.ready_since_ms),
        }
    }

    fn sent_ms(&self) -> i64 {
        self.min_offset_ms + self.announcement.uptime_ms as i64
    }

    /// Expiry of the tombstone. It is counted from the send time of the last announcement, so that entries that repair
    /// each other do not extend it.
    fn expiry_ms(&self) -> i64 {
        self.sent_ms() + TOMBSTONE.as_millis() as i64
    }
}
