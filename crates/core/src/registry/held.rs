//! A server as the registry holds it.

use {
    super::{Announcement, SERVER_LEASE, TOMBSTONE},
    crate::dispatch::{ServerState, ServerView},
    std::time::{Duration, Instant},
};

/// Permitted difference between the rates of two clocks is 1 in this many (200 ppm). Without an allowance a
/// server whose clock is 50 ppm slow would look 4.3 s late after a day and lose its lease.
const DRIFT_DIVISOR: i64 = 5_000;

/// Time between the arrivals of two announcements that show that they did not wait in one queue: half the
/// time between two announcements.
const APART_MS: i64 = 400;

/// Permitted difference between the ages of two such announcements. Two that were late by different times
/// do not confirm each other.
const AGREE_MS: i64 = 100;

/// Remaining life of a tombstone below which it is no longer compared, because entries drop it at slightly
/// different times.
const UNCOMPARED_MS: i64 = 5_000;

/// A server as the registry holds it. All times are in milliseconds since the start of the registry.
#[derive(Clone, Debug)]
pub(super) struct Held {
    pub(super) announcement: Announcement,
    /// Least time seen at which the server's clock was zero.
    least_ms: i64,
    least_at_ms: i64,
    /// Time at which the server's clock was zero, as the last announcement shows it by itself.
    last_ms: i64,
    ready_since_ms: i64,
    /// Time of the first announcement while it is unknown how late it was.
    doubted_ms: Option<i64>,
    /// Whether what was relayed last still holds but for the lease.
    pub(super) is_relayed: bool,
    /// Whether the last view given to the dispatcher shows the server.
    pub(super) is_shown: bool,
}

impl Held {
    pub(super) fn new(now_ms: i64, age_ms: i64, announcement: Announcement, doubted: bool) -> Self {
        Self {
            least_ms: now_ms - age_ms - announcement.uptime_ms as i64,
            least_at_ms: now_ms,
            last_ms: now_ms - age_ms - announcement.uptime_ms as i64,
            ready_since_ms: now_ms,
            doubted_ms: doubted.then_some(now_ms),
            is_relayed: false,
            is_shown: false,
            announcement,
        }
    }

    /// Takes an announcement with a higher sequence of the same incarnation; returns whether something else
    /// than the lease has changed.
    pub(super) fn take(&mut self, now_ms: i64, age_ms: i64, mut announcement: Announcement) -> bool {
        self.calibrate(now_ms, age_ms, announcement.uptime_ms);
        self.last_ms = now_ms - age_ms - announcement.uptime_ms as i64;
        if self.announcement.is_final() && !announcement.is_final() {
            announcement.state = self.announcement.state;
        }
        let was = &self.announcement;
        if was.state != ServerState::Ready && announcement.state == ServerState::Ready {
            self.ready_since_ms = now_ms;
        }
        let is_same = Announcement {
            sequence: was.sequence,
            uptime_ms: was.uptime_ms,
            in_flight: was.in_flight,
            ..announcement.clone()
        } == *was;
        self.announcement = announcement;
        self.is_relayed &= is_same;
        !is_same
    }

    /// Takes the time of a message of this incarnation.
    pub(super) fn calibrate(&mut self, now_ms: i64, age_ms: i64, uptime_ms: u64) {
        let offset = now_ms - age_ms - uptime_ms as i64;
        if let Some(first) = self.doubted_ms {
            if offset < self.least_ms - AGREE_MS {
                // The first one was late, so this one is the first that may not have been.
                self.doubted_ms = Some(now_ms);
            } else if now_ms - first >= APART_MS && offset <= self.least_ms + AGREE_MS {
                self.trust();
            }
        }
        let drift = (now_ms - self.least_at_ms) / DRIFT_DIVISOR;
        let risen = self.least_ms + drift;
        if offset < risen {
            self.least_ms = offset;
            self.least_at_ms = now_ms;
        } else if drift > 0 {
            self.least_ms = risen;
            self.least_at_ms = now_ms;
        }
    }

    /// Returns whether it is certain here that an announcement of this incarnation was late.
    pub(super) fn is_late(&self, now_ms: i64, age_ms: i64, uptime_ms: u64) -> bool {
        !self.is_doubted() && now_ms - age_ms - uptime_ms as i64 > self.least_ms + AGREE_MS
    }

    /// Takes the ages of announcements for true from now on; the other entries are told.
    pub(super) fn trust(&mut self) {
        if self.doubted_ms.take().is_some() {
            self.is_relayed = false;
        }
    }

    /// Returns the age of the last announcement. While it is doubted, this is the time since it arrived:
    /// an age that relies on an earlier message must not confirm that message at another entry.
    pub(super) fn age_ms(&self, now_ms: i64) -> i64 {
        let sent_ms = match self.is_doubted() {
            true => self.last_ms + self.announcement.uptime_ms as i64,
            false => self.sent_ms(),
        };
        (now_ms - sent_ms).max(0)
    }

    /// Returns whether it is unknown how old the announcements are.
    pub(super) fn is_doubted(&self) -> bool {
        self.doubted_ms.is_some()
    }

    pub(super) fn lease_end_ms(&self) -> i64 {
        self.sent_ms() + SERVER_LEASE.as_millis() as i64
    }

    /// Returns whether new calls may be sent now, or soon if the server is still starting.
    pub(super) fn is_usable(&self, now_ms: i64) -> bool {
        !self.announcement.is_final() && !self.is_doubted() && now_ms < self.lease_end_ms()
    }

    /// Returns whether the server is to be forgotten.
    pub(super) fn is_over(&self, now_ms: i64) -> bool {
        now_ms >= self.over_ms()
    }

    /// Returns whether entries compare it: while its lease holds, or while its departure is remembered.
    pub(super) fn is_compared(&self, now_ms: i64) -> bool {
        self.is_usable(now_ms) || (self.announcement.is_final() && now_ms < self.over_ms() - UNCOMPARED_MS)
    }

    pub(super) fn view(&self, base: Instant) -> ServerView {
        let at = |ms: i64| base + Duration::from_millis(ms.max(0) as u64);
        ServerView {
            id: self.announcement.server.clone(),
            address: self.announcement.address,
            data_centre: self.announcement.data_centre.clone(),
            slots: self.announcement.slots,
            connections: self.announcement.connections,
            state: self.announcement.state,
            lease_end: at(self.lease_end_ms()),
            ready_since: at(self.ready_since_ms),
        }
    }

    fn sent_ms(&self) -> i64 {
        self.least_ms + self.announcement.uptime_ms as i64
    }

    /// The end of the tombstone is counted from when the last announcement was sent, so that entries which
    /// repair each other do not prolong it.
    fn over_ms(&self) -> i64 {
        self.sent_ms() + TOMBSTONE.as_millis() as i64
    }
}
