//! Entries that poll this replica.

use {
    crate::{
        collections::FastMap,
        fleet::{DirectoryRevision, Poll},
        ids::{ChangeNumber, Incarnation, InstanceId},
    },
    std::time::{Duration, Instant},
};

/// Silence after which an entry does not count as live.
const SUBSCRIBER_TIMEOUT: Duration = Duration::from_secs(2);
/// Most entries that are told of changes without asking; the others are told by the answers to their polls.
const MAX_SUBSCRIBERS: usize = 1_024;
/// Least time between two copies of a text or a whole directory to one entry.
const RETRY_INTERVAL: Duration = Duration::from_millis(500);

/// An entry that polls this replica.
#[derive(Clone, Debug)]
pub(super) struct Subscriber {
    incarnation: Incarnation,
    sequence: u64,
    polled_at: Instant,
    /// Revision that the entry holds if nothing was lost; none before it holds any of this replica.
    pub(super) revision: Option<u64>,
    /// Change that the entry holds.
    change: ChangeNumber,
    /// Change that was sent last, and the time before which it is not sent again.
    installed: (ChangeNumber, Instant),
    next_full_at: Instant,
}

impl Subscriber {
    /// Whether a change is to be sent now, and notes that it is.
    pub(super) fn should_install(&mut self, now: Instant, number: ChangeNumber, length: usize) -> bool {
        let (sent, after) = self.installed;
        if number <= self.change || number <= sent && now < after {
            return false;
        }
        // A long text is on its way for some time: 1 us per byte is that of a link with 8 Mbit/s.
        self.installed = (number, now + RETRY_INTERVAL + Duration::from_micros(length as u64));
        true
    }

    /// Whether a whole directory may be sent now, and notes that it is.
    pub(super) fn should_send_full(&mut self, now: Instant) -> bool {
        let is_due = now >= self.next_full_at;
        if is_due {
            self.next_full_at = now + RETRY_INTERVAL;
        }
        is_due
    }
}

/// Entries that polled this replica a short time ago.
#[derive(Debug, Default)]
pub(super) struct Subscribers(FastMap<InstanceId, Subscriber>);

impl Subscribers {
    /// Takes a poll and what the entry holds of this replica. Returns nothing for an old or surplus poll, and
    /// whether the entry is new.
    pub(super) fn record_poll(
        &mut self,
        now: Instant,
        from: &InstanceId,
        incarnation: Incarnation,
        poll: &Poll,
        held: Option<DirectoryRevision>,
    ) -> Option<(&mut Subscriber, bool)> {
        let known = self.0.get(from).map(|subscriber| subscriber.incarnation);
        if known.is_some_and(|known| incarnation < known) || known.is_none() && self.0.len() >= MAX_SUBSCRIBERS {
            return None;
        }
        let is_new = known != Some(incarnation);
        if is_new {
            let subscriber = Subscriber {
                incarnation,
                sequence: poll.sequence,
                polled_at: now,
                revision: None,
                change: poll.change,
                installed: (0, now),
                next_full_at: now,
            };
            self.0.insert(from.clone(), subscriber);
        }
        let subscriber = self.0.get_mut(from)?;
        // A poll that was overtaken by a later one says what the entry no longer holds.
        if poll.sequence < subscriber.sequence {
            return None;
        }
        (subscriber.sequence, subscriber.polled_at, subscriber.change) = (poll.sequence, now, poll.change);
        subscriber.revision = held.map(|held| held.revision);
        Some((subscriber, is_new))
    }

    pub(super) fn iter_mut(&mut self) -> impl Iterator<Item = (&InstanceId, &mut Subscriber)> {
        self.0.iter_mut()
    }

    /// Notes that an entry was sent what leads to a revision.
    pub(super) fn set_revision(&mut self, name: &InstanceId, revision: u64) {
        if let Some(subscriber) = self.0.get_mut(name) {
            subscriber.revision = Some(revision);
        }
    }

    /// Live entries.
    pub(super) fn live_count(&self, now: Instant) -> u32 {
        let live = self.0.values().filter(|subscriber| subscriber.is_live(now)).count();
        u32::try_from(live).unwrap_or(u32::MAX)
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
