//! Event queue of a discrete-event simulation.

use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

/// Events ordered by virtual time. The clock stands at the time of the last event taken.
#[derive(Debug)]
pub(super) struct EventQueue<E> {
    base: Instant,
    pub(super) now: Duration,
    events: BTreeMap<(Duration, u64), E>,
    sequence: u64,
}

impl<E> EventQueue<E> {
    pub(super) fn new() -> Self {
        Self { base: Instant::now(), now: Duration::ZERO, events: BTreeMap::new(), sequence: 0 }
    }

    /// Returns the virtual time as an instant.
    pub(super) fn instant(&self) -> Instant {
        self.base + self.now
    }

    /// Schedules an event after a delay.
    pub(super) fn push(&mut self, delay: Duration, event: E) {
        self.sequence += 1;
        self.events.insert((self.now + delay, self.sequence), event);
    }

    /// Takes the next event that is due by the given time. The clock advances to the event, or to the given time if
    /// there is none.
    pub(super) fn next(&mut self, until: Duration) -> Option<E> {
        let is_due = self.events.first_key_value().is_some_and(|((at, _), _)| *at <= until);
        let Some(((at, _), event)) = is_due.then(|| self.events.pop_first()).flatten() else {
            self.now = self.now.max(until);
            return None;
        };
        self.now = self.now.max(at);
        Some(event)
    }
}
