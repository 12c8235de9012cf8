//! Steps ordered by virtual time.

use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

/// Steps ordered by virtual time, with a clock that stands at the last one taken.
#[derive(Debug)]
pub(super) struct EventQueue<S> {
    base: Instant,
    pub(super) now: Duration,
    steps: BTreeMap<(Duration, u64), S>,
    number: u64,
}

impl<S> EventQueue<S> {
    pub(super) fn new() -> Self {
        Self { base: Instant::now(), now: Duration::ZERO, steps: BTreeMap::new(), number: 0 }
    }

    /// Returns the virtual time as an instant.
    pub(super) fn instant(&self) -> Instant {
        self.base + self.now
    }

    /// Adds a step some time from now.
    pub(super) fn push(&mut self, wait: Duration, step: S) {
        self.number += 1;
        self.steps.insert((self.now + wait, self.number), step);
    }

    /// Takes the next step that is due by a time; the clock moves to it, or to that time if there is none.
    pub(super) fn next(&mut self, until: Duration) -> Option<S> {
        let is_due = self.steps.first_key_value().is_some_and(|((at, _), _)| *at <= until);
        let Some(((at, _), step)) = is_due.then(|| self.steps.pop_first()).flatten() else {
            self.now = self.now.max(until);
            return None;
        };
        self.now = self.now.max(at);
        Some(step)
    }
}
