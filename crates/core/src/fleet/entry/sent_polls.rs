//! Polls whose answers may yet arrive.

use {
    crate::ids::InstanceId,
    std::{collections::VecDeque, time::Instant},
};

/// Polls that are remembered. A search sends four each 50 ms, and an answer that takes longer than 600 ms is of no use.
const MAX_SENT_POLLS: usize = 64;

#[derive(Clone, Debug)]
struct SentPoll {
    sequence: u64,
    to: InstanceId,
    at: Instant,
}

/// Polls whose answers may yet arrive. What an answer says was true after its poll was sent.
#[derive(Debug)]
pub(super) struct SentPolls {
    next: u64,
    sent: VecDeque<SentPoll>,
}

impl SentPolls {
    pub(super) fn new(first: u64) -> Self {
        Self { next: first, sent: VecDeque::new() }
    }

    /// Notes a poll; returns its number.
    pub(super) fn record(&mut self, now: Instant, to: InstanceId) -> u64 {
        let sequence = self.next;
        self.next += 1;
        self.sent.push_back(SentPoll { sequence, to, at: now });
        if self.sent.len() > MAX_SENT_POLLS {
            self.sent.pop_front();
        }
        sequence
    }

    /// Number of the next poll.
    pub(super) fn next_sequence(&self) -> u64 {
        self.next
    }

    /// When a poll was sent to a replica.
    pub(super) fn sent_at(&self, sequence: u64, to: &InstanceId) -> Option<Instant> {
        self.sent.iter().find(|sent| sent.sequence == sequence && sent.to == *to).map(|sent| sent.at)
    }
}
