//! Entries that poll this replica.

use {
    crate::{
        collections::FastMap,
        fleet::{ConfigUpdate, DirectoryRevision, Poll},
        ids::{ChangeNumber, Incarnation, InstanceId},
    },
    std::time::{Duration, Instant},
};

/// Time without a poll after which an entry no longer counts as live.
const SUBSCRIBER_TIMEOUT: Duration = Duration::from_secs(2);
/// Maximum number of subscribers. Further entries are told that the replica is not current, so that they use another
/// one.
const MAX_SUBSCRIBERS: usize = 1_024;
/// Minimum time between two copies of a configuration or a full directory to one entry.
const MIN_RESEND_INTERVAL: Duration = Duration::from_millis(500);

/// The update that an entry was last sent.
#[derive(Clone, Copy, Debug)]
struct SentUpdate {
    number: ChangeNumber,
    /// Change that the entry must have to apply it.
    base: ChangeNumber,
    /// Time before which it is not resent.
    resend_at: Instant,
}

/// An entry that polls this replica.
#[derive(Clone, Debug)]
pub(super) struct Subscriber {
    incarnation: Incarnation,
    sequence: u64,
    polled_at: Instant,
    /// Revision that the entry has if no message was lost; `None` before it has any of this replica.
    pub(super) revision: Option<u64>,
    /// Change that the entry has installed.
    change: ChangeNumber,
    last_sent: SentUpdate,
    /// Time before which no further update replaces one that the entry cannot apply.
    next_repair_at: Instant,
    next_full_at: Instant,
}

impl Subscriber {
    /// Returns the change that the entry has installed if no message was lost.
    pub(super) fn expected_change(&self) -> ChangeNumber {
        self.change.max(self.last_sent.number)
    }

    /// Returns whether an update is to be sent now, and if so records that it was sent.
    pub(super) fn should_install(&mut self, now: Instant, update: &ConfigUpdate) -> bool {
        // An update was lost, and those sent after it are based on it. Waiting for `resend_at` would hold the entry up
        // for as long as changes follow each other.
        let is_repair = self.change < self.last_sent.base && update.base <= self.change && now >= self.next_repair_at;
        let is_sent = update.number <= self.last_sent.number && now < self.last_sent.resend_at;
        if update.number <= self.change || is_sent && !is_repair {
            return false;
        }
        // Adds the transmission time: 2 us per byte, as on a link with 4 Mbit/s.
        let transmission = Duration::from_micros(2 * update.size() as u64);
        let resend_at = now + MIN_RESEND_INTERVAL + transmission;
        self.last_sent = SentUpdate { number: update.number, base: update.base, resend_at };
        if is_repair {
            self.next_repair_at = resend_at;
        }
        true
    }

    /// Returns whether a full directory may be sent now, and if so records that it was sent.
    pub(super) fn should_send_full(&mut self, now: Instant) -> bool {
        let is_due = now >= self.next_full_at;
        if is_due {
            self.next_full_at = now + MIN_RESEND_INTERVAL;
        }
        is_due
    }
}

/// Entries that polled this replica recently.
#[derive(Debug, Default)]
pub(super) struct Subscribers(FastMap<InstanceId, Subscriber>);

impl Subscribers {
    /// Records a poll and the revision of this replica's directory that the entry has. Returns the subscriber and
    /// whether it is new, or `None` if the poll is outdated or there are too many subscribers.
    pub(super) fn record_poll(
        &mut self,
        now: Instant,
        from: &InstanceId,
        incarnation: Incarnation,
        poll: &Poll,
        known: Option<DirectoryRevision>,
    ) -> Option<(&mut Subscriber, bool)> {
        let previous = self.0.get(from).map(|subscriber| subscriber.incarnation);
        if previous.is_some_and(|previous| incarnation < previous)
            || previous.is_none() && self.0.len() >= MAX_SUBSCRIBERS
        {
            return None;
        }
        let is_new = previous != Some(incarnation);
        if is_new {
            let subscriber = Subscriber {
                incarnation,
                sequence: poll.sequence,
                polled_at: now,
                revision: None,
                change: poll.change,
                last_sent: SentUpdate { number: 0, base: 0, resend_at: now },
                next_repair_at: now,
                next_full_at: now,
            };
            self.0.insert(from.clone(), subscriber);
        }
        let subscriber = self.0.get_mut(from)?;
        // A poll that was overtaken by a later one has outdated information.
        if poll.sequence < subscriber.sequence {
            return None;
        }
        (subscriber.sequence, subscriber.polled_at, subscriber.change) = (poll.sequence, now, poll.change);
        subscriber.revision = known.map(|known| known.revision);
        Some((subscriber, is_new))
    }

    /// Returns whether there is no room for this entry.
    pub(super) fn is_full_for(&self, entry: &InstanceId) -> bool {
        self.0.len() >= MAX_SUBSCRIBERS && !self.0.contains_key(entry)
    }

    pub(super) fn iter_mut(&mut self) -> impl Iterator<Item = (&InstanceId, &mut Subscriber)> {
        self.0.iter_mut()
    }

    pub(super) fn contains(&self, name: &InstanceId) -> bool {
        self.0.contains_key(name)
    }

    /// Returns the live entries with their incarnations.
    pub(super) fn live(&self, now: Instant) -> impl Iterator<Item = (&InstanceId, Incarnation)> {
        let live = self.0.iter().filter(move |(_, subscriber)| subscriber.is_live(now));
        live.map(|(name, subscriber)| (name, subscriber.incarnation))
    }

    /// Returns the names of the entries.
    pub(super) fn names(&self) -> impl Iterator<Item = &InstanceId> {
        self.0.keys()
    }

    /// Records that an entry was sent the changes up to a revision.
    pub(super) fn set_revision(&mut self, name: &InstanceId, revision: u64) {
        if let Some(subscriber) = self.0.get_mut(name) {
            subscriber.revision = Some(revision);
        }
    }

    /// Returns the number of live entries.
    pub(super) fn live_count(&self, now: Instant) -> u32 {
        let live = self.0.values().filter(|subscriber| subscriber.is_live(now)).count();
        u32::try_from(live).unwrap_or(u32::MAX)
    }

    /// Returns the index of an entry among the live ones, in the order of names.
    pub(super) fn position(&self, now: Instant, entry: &InstanceId) -> u32 {
        let before = self.0.iter().filter(|(name, subscriber)| *name < entry && subscriber.is_live(now)).count();
        u32::try_from(before).unwrap_or(u32::MAX)
    }

    pub(super) fn remove_inactive(&mut self, now: Instant) {
        self.0.retain(|_, subscriber| subscriber.is_live(now));
    }
}

impl Subscriber {
    fn is_live(&self, now: Instant) -> bool {
        now.saturating_duration_since(self.polled_at) < SUBSCRIBER_TIMEOUT
    }
}
