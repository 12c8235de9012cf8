//! An entry as the leader's pool knows it.

use {
    crate::ids::Incarnation,
    std::{
        collections::VecDeque,
        time::{Duration, Instant},
    },
};

/// Time for which an entry counts as connected after the leader received a request whose answer the entry has
/// acknowledged. With the longest time between two reviews of the pool it is shorter than the difference of
/// [`CUT_OFF_AFTER`](super::CUT_OFF_AFTER) and [`ANSWER_TIMEOUT`](super::ANSWER_TIMEOUT).
const CONNECTED_FOR: Duration = Duration::from_millis(650);
/// Maximum number of answers of which the entry may acknowledge one.
const MAX_ANSWERS: usize = 64;

/// An entry as the leader's pool knows it.
#[derive(Clone, Debug)]
pub(super) struct PoolEntry {
    /// Number that stands for the entry in the customers' tables.
    pub(super) id: u32,
    pub(super) incarnation: Incarnation,
    /// Number of the last request.
    pub(super) last: Option<u64>,
    /// When it was received.
    pub(super) seen_at: Instant,
    /// Numbers of the last requests that were answered, and when they were received.
    answers: VecDeque<(u64, Instant)>,
    /// Number of the last acknowledged answer, and when its request was received.
    pub(super) acknowledged: Option<(u64, Instant)>,
    /// Part of the rates that the entry was told to be its own.
    pub(super) part: f64,
}

impl PoolEntry {
    pub(super) fn new(now: Instant, id: u32, incarnation: Incarnation) -> Self {
        Self { id, incarnation, last: None, seen_at: now, answers: VecDeque::new(), acknowledged: None, part: 0.0 }
    }

    /// Records the acknowledgement of an answer of this pool.
    pub(super) fn acknowledge(&mut self, number: u64) {
        let answer = self.answers.iter().find(|(answered, _)| *answered == number).copied();
        self.acknowledged = self.acknowledged.max(answer);
    }

    /// Records that a request is answered, and the part of the rates that the answer names.
    pub(super) fn answer(&mut self, now: Instant, number: u64, part: f64) {
        if self.answers.len() >= MAX_ANSWERS {
            self.answers.pop_front();
        }
        self.answers.push_back((number, now));
        self.part = part;
    }

    /// Returns whether the leader uses this entry's part of the rates.
    pub(super) fn is_connected(&self, now: Instant) -> bool {
        self.acknowledged.is_some_and(|(_, at)| now.saturating_duration_since(at) < CONNECTED_FOR)
    }
}
