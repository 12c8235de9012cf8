//! Polls that may still be answered.

use {
    crate::ids::InstanceId,
    std::{collections::VecDeque, time::Instant},
};

/// Maximum number of polls to remember. A search sends four every 50 ms, and an answer that takes longer than 600 ms is
/// not used.
const MAX_SENT_POLLS: usize = 64;

#[derive(Clone, Debug)]
struct SentPoll {
    sequence: u64,
    to: InstanceId,
    at: Instant,
}

/// Polls that may still be answered. The state in an answer is at least as new as the send time of its poll.
#[derive(Debug)]
pub(super) struct SentPolls {
    next: u64,
    sent: VecDeque<SentPoll>,
}

impl SentPolls {
    pub(super) fn new(first: u64) -> Self {
        Self { next: first, sent: VecDeque::new() }
    }

    /// Records a poll; returns its sequence number.
    pub(super) fn record(&mut self, now: Instant, to: InstanceId) -> u64 {
        let sequence = self.next;
        self.next += 1;
        self.sent.push_back(SentPoll { sequence, to, at: now });
        if self.sent.len() > MAX_SENT_POLLS {
            self.sent.pop_front();
        }
        sequence
    }

    /// Returns the sequence number of the next poll.
    pub(super) fn next_sequence(&self) -> u64 {
        self.next
    }

    /// Returns the time at which a poll was sent to a replica.
    pub(super) fn sent_at(&self, sequence: u64, to: &InstanceId) -> Option<Instant> {
        self.sent.iter().find(|sent| sent.sequence == sequence && sent.to == *to).map(|sent| sent.at)
    }
}
